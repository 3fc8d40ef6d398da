"""Flows that this instance has seen, and what their packets tell.

Only packets towards the upstreams pass through an instance, so answers are seen by
the acknowledgements of the client. The table is soft state: it is empty after a
restart and wrong for flows that have moved to another instance, until they age out.
"""

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.packet import FlowKey, Packet
from cardamomtiller.forwarding.upstreams import Upstream

SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE = 1 << 31
# A client sends a packet again after 200 ms at the earliest.
RETRANSMISSION_PAUSE_MS = 150


class Observation(Enum):
    """What one packet tells of its flow."""

    NOTHING = 'nothing'
    REQUEST = 'request'
    ANSWER = 'answer'
    RETRANSMISSION = 'retransmission'
    END = 'end'


class FlowOptions(NamedTuple):
    """Bounds of the table."""

    capacity: int
    idle_ms: float
    longest_request_ms: float


class Flow:
    """What is remembered of one flow."""

    __slots__ = (
        'acknowledged',
        'is_opened',
        'key',
        'last_packet_ms',
        'last_payload_ms',
        'request_started_ms',
        'requests',
        'retransmissions',
        'sent_sequence',
        'unanswered_since_ms',
        'upstream',
    )

    def __init__(self, key: FlowKey, upstream: Upstream, now_ms: float) -> None:
        """Start a flow that has carried nothing."""
        self.key = key
        self.upstream = upstream
        self.last_payload_ms = now_ms
        self.last_packet_ms = now_ms
        self.is_opened = False
        self.acknowledged: int | None = None
        self.sent_sequence: int | None = None
        # Start of the request in progress, None between requests.
        self.request_started_ms: float | None = None
        # When the request that has no answer yet was sent, however long ago.
        self.unanswered_since_ms: float | None = None
        self.requests = 0
        self.retransmissions = 0

    def observe(self, packet: Packet, now_ms: float) -> Observation:
        """Update the flow by a packet and say what the packet tells."""
        self.last_packet_ms = now_ms
        is_answered = self._update_acknowledged(packet.acknowledged)
        if packet.is_closing or packet.is_reset:
            return Observation.END
        if packet.payload_bytes:
            return self._observe_payload(packet, is_answered, now_ms)
        return Observation.ANSWER if is_answered else Observation.NOTHING

    def _observe_payload(
        self,
        packet: Packet,
        is_answered: bool,
        now_ms: float,
    ) -> Observation:
        is_new = self.sent_sequence is None or is_after(
            packet.sequence,
            self.sent_sequence,
        )
        pause_ms = now_ms - self.last_payload_ms
        self.last_payload_ms = now_ms
        if not is_new:
            # Packets of one window may overtake each other; a retransmission comes
            # after a pause.
            if pause_ms < RETRANSMISSION_PAUSE_MS:
                return Observation.NOTHING
            self.retransmissions += 1
            return Observation.RETRANSMISSION
        self.sent_sequence = packet.sequence
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        if self.request_started_ms is not None and not is_answered:
            return Observation.NOTHING
        return Observation.REQUEST

    def _update_acknowledged(self, acknowledged: int) -> bool:
        """Return whether the client has received more than before."""
        previous = self.acknowledged
        if previous is not None and not is_after(acknowledged, previous):
            return False
        self.acknowledged = acknowledged
        self.retransmissions = 0
        self.is_opened = True
        self.unanswered_since_ms = None
        return previous is not None


class FlowTable:
    """The flows of this instance in the order of their last packet."""

    def __init__(self, options: FlowOptions) -> None:
        """Start empty."""
        self._options = options
        self._flows: OrderedDict[FlowKey, Flow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over all flows, the longest idle ones first."""
        return iter(self._flows.values())

    def find(self, key: FlowKey) -> Flow | None:
        """Return a flow and count it as the most recent one."""
        flow = self._flows.get(key)
        if flow is not None:
            self._flows.move_to_end(key)
        return flow

    def add(self, flow: Flow) -> Flow | None:
        """Add a flow; return the one that had to make room for it."""
        self._flows[flow.key] = flow
        self._flows.move_to_end(flow.key)
        if len(self._flows) > self._options.capacity:
            return self._flows.popitem(last=False)[1]
        return None

    def remove(self, key: FlowKey) -> Flow | None:
        """Remove and return a flow."""
        return self._flows.pop(key, None)

    def pop_idle(self, now_ms: float) -> Iterator[Flow]:
        """Remove and iterate over the flows that have been idle for too long."""
        while self._flows:
            key = next(iter(self._flows))
            if now_ms - self._flows[key].last_packet_ms < self._options.idle_ms:
                return
            yield self._flows.pop(key)


def is_after(position: int, other: int) -> bool:
    """Return whether a sequence position is after another, modulo 2**32."""
    return 0 < (position - other & SEQUENCE_MASK) < HALF_SEQUENCE
