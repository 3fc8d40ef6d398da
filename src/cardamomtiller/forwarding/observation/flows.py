"""Table of the flows that pass through this instance.

Only packets from clients to upstreams pass through an instance; the answers of the
upstreams do not. An answer is therefore detected by the client's acknowledgement of
it. The table is soft state: it is empty after a restart, and a flow that has moved to
another instance stays in it until its idle timeout.
"""

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.packet import (
    SEQUENCE_MASK,
    FlowKey,
    Packet,
    is_after,
)
from cardamomtiller.forwarding.published.upstreams import Upstream

# Shorter than the minimum retransmission timeout of a client, 200 ms.
RETRANSMISSION_PAUSE_MS = 150


class Observation(Enum):
    """Event of a flow that is derived from one packet."""

    NOTHING = 'nothing'
    REQUEST = 'request'
    ANSWER = 'answer'
    RETRANSMISSION = 'retransmission'
    END = 'end'


class FlowOptions(NamedTuple):
    """
    Limits of the flow table.

    Attributes
    ----------
    capacity
        Largest number of flows; one more displaces the flow that is idle longest.
    idle_ms
        Time without a packet after which a flow is removed.
    max_request_ms
        Time after which a request without an answer no longer counts as load.
    max_handshake_ms
        Time after which a flow that its client has not opened no longer counts as load.
        The client has given up then, or its packets reach another instance.
    """

    capacity: int
    idle_ms: float
    max_request_ms: float
    max_handshake_ms: float


class Flow:
    """State of one flow, derived from the packets of its client."""

    __slots__ = (
        'acknowledged',
        'answer_start',
        'is_opened',
        'is_opened_here',
        'key',
        'last_packet_ms',
        'last_payload_ms',
        'progressed_ms',
        'quick_latency_ms',
        'request_started_ms',
        'requests',
        'retransmissions',
        'sent_sequence',
        'target_latency_ms',
        'unanswered_since_ms',
        'upstream',
    )

    def __init__(self, key: FlowKey, upstream: Upstream, now_ms: float) -> None:
        """Initialise a flow without payload or acknowledgements."""
        self.key = key
        self.upstream = upstream
        self.last_payload_ms = now_ms
        self.last_packet_ms = now_ms
        # Arrival of the last packet that was not a copy, the opening one included.
        self.progressed_ms = now_ms
        self.is_opened = False
        # Whether the opening packet came through this instance.
        self.is_opened_here = False
        self.acknowledged: int | None = None
        # Position of the first byte of the answer that is expected or arriving; None
        # if this instance has not seen the start of the flow.
        self.answer_start: int | None = None
        self.sent_sequence: int | None = None
        # Start of the request that counts as load, None if there is none.
        self.request_started_ms: float | None = None
        # Time of the first payload without an answer, kept after the request stopped
        # counting as load.
        self.unanswered_since_ms: float | None = None
        self.target_latency_ms: float | None = None
        # Latency of an answer that may say "full", until its size is known.
        self.quick_latency_ms: float | None = None
        self.requests = 0
        self.retransmissions = 0

    def take_answer_bytes(self) -> int:
        """Return the size of the answer so far, and expect another one after it."""
        if self.answer_start is None or self.acknowledged is None:
            return 0
        answer_bytes = self.acknowledged - self.answer_start & SEQUENCE_MASK
        self.answer_start = self.acknowledged
        return answer_bytes

    def observe(self, packet: Packet, now_ms: float) -> Observation:
        """Update the flow with a packet and return the resulting event."""
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
            # Packets of one window may arrive out of order without a pause; a
            # retransmission arrives after the retransmission timeout.
            if pause_ms < RETRANSMISSION_PAUSE_MS:
                return Observation.NOTHING
            self.retransmissions += 1
            return Observation.RETRANSMISSION
        self.sent_sequence = packet.sequence
        self.progressed_ms = now_ms
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        if self.request_started_ms is not None and not is_answered:
            return Observation.NOTHING
        return Observation.REQUEST

    def _update_acknowledged(self, acknowledged: int) -> bool:
        """Return whether the client acknowledged more than in earlier packets."""
        previous = self.acknowledged
        if previous is not None and not is_after(acknowledged, previous):
            return False
        self.acknowledged = acknowledged
        self.retransmissions = 0
        self.is_opened = True
        self.unanswered_since_ms = None
        return previous is not None


class FlowTable:
    """Flows of this instance by key, in the order of their last packet."""

    def __init__(self, options: FlowOptions) -> None:
        """Initialise an empty table."""
        self._options = options
        self._flows: OrderedDict[FlowKey, Flow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of flows in the table."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over all flows, least recently used first."""
        return iter(self._flows.values())

    def find(self, key: FlowKey) -> Flow | None:
        """Return a flow, or None, and mark it as most recently used."""
        flow = self._flows.get(key)
        if flow is not None:
            self._flows.move_to_end(key)
        return flow

    def add(self, flow: Flow) -> Flow | None:
        """Add a flow; return the least recently used one if it was displaced."""
        self._flows[flow.key] = flow
        self._flows.move_to_end(flow.key)
        if len(self._flows) > self._options.capacity:
            return self._flows.popitem(last=False)[1]
        return None

    def remove(self, key: FlowKey) -> Flow | None:
        """Remove and return a flow, or return None if it is not in the table."""
        return self._flows.pop(key, None)

    def pop_idle(self, now_ms: float) -> Iterator[Flow]:
        """Remove and iterate over the flows whose idle timeout has passed."""
        while self._flows:
            key = next(iter(self._flows))
            if now_ms - self._flows[key].last_packet_ms < self._options.idle_ms:
                return
            yield self._flows.pop(key)
