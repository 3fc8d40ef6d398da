"""Queue of the datagrams that wait for the link of the instance.

The packets of a window arrive within 2 ms and in random order. Forwarded at once, they
overflow the send buffer of a slow link: the tail of each window is lost and sent again
after 200 ms, when it is lost in the same way. The queue therefore sends at the rate of
the link, and by sequence number within a flow.

Flows take turns by deficit round robin (Shreedhar and Varghese, 1995), so that a transfer
delays a flow with few packets by one packet only.
"""

from abc import abstractmethod
from bisect import insort
from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import Enum
from typing import Generic, NamedTuple, Protocol, TypeVar

from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.packet import (
    FlowKey,
    Packet,
    is_after,
    sequence_offset,
)


class Outgoing(Protocol):
    """A datagram to send; ``packet`` is the client's packet that it carries."""

    @property
    @abstractmethod
    def datagram(self) -> bytes:
        """Bytes to send."""

    @property
    @abstractmethod
    def packet(self) -> Packet | None:
        """Packet of a client, None for a packet of the instance's own."""

    @property
    @abstractmethod
    def priority(self) -> int:
        """Rank of the route, 0 is the most urgent."""


Item = TypeVar('Item', bound=Outgoing)


class EgressOptions(NamedTuple):
    """
    Limits of the queue.

    Attributes
    ----------
    short_payload_bytes
        Payload up to which a packet does not wait, unless earlier packets of its flow
        do.
    control_share
        Share of the link that stays free for messages between instances.
    min_burst_packets, max_burst_packets
        Bounds on the packets that may be sent at once after a pause.
    credit_ms
        Link time that may be caught up when the timer fires late.
    max_short_share, max_short_ms
        Share of the link, and link time in a row, for which bulk packets give way to
        short ones. A flood of short packets beyond it does not stop transfers.
    max_backlog_ms, min_backlog_bytes
        Bound on the waiting bytes, as link time; never less than the second.
    round_trip_ms
        Time after sending for which an acknowledgement may still be under way.
    sent_memory_ms, max_sent_packets
        How long and for how many packets it is known that they were sent; the longest
        retransmission timeout of a client is 1.6 s.
    quantum_bytes
        Bytes of the least urgent flow in each turn; at least one packet.
    max_weight
        Factor of the quantum for flows of priority 0, halved with each rank.
    """

    short_payload_bytes: int
    control_share: float
    min_burst_packets: int
    max_burst_packets: int
    credit_ms: float
    max_short_share: float
    max_short_ms: float
    max_backlog_ms: float
    min_backlog_bytes: int
    round_trip_ms: float
    sent_memory_ms: float
    max_sent_packets: int
    quantum_bytes: int
    max_weight: int


class PutResult(Enum):
    """What happened to a datagram that was put into the queue."""

    READY = 'ready'
    QUEUED = 'queued'
    COPY = 'copy'
    OVERFLOW = 'overflow'


class _FlowQueue(Generic[Item]):
    """Waiting packets of one flow, ordered by sequence number."""

    __slots__ = ('_items', '_offsets', '_origin', 'deficit_bytes', 'has_turn', 'size')

    def __init__(self, origin: int) -> None:
        self._origin = origin
        self._offsets: list[int] = []
        self._items: dict[int, Item] = {}
        self.size = 0
        self.deficit_bytes = 0
        self.has_turn = False

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: Item, packet: Packet) -> int:
        """Add a packet; return the growth in bytes, 0 for a copy of a waiting one."""
        offset = sequence_offset(packet.sequence, self._origin)
        waiting = self._items.get(offset)
        growth = len(item.datagram)
        if waiting is None:
            insort(self._offsets, offset)
        else:
            # A copy may have been cut anew and have more payload than its original.
            growth = max(0, growth - len(waiting.datagram))
        if growth:
            self._items[offset] = item
        self.size += growth
        return growth

    def head(self) -> Item:
        return self._items[self._offsets[0]]

    def pop(self, index: int) -> Item:
        item = self._items.pop(self._offsets.pop(index))
        self.size -= len(item.datagram)
        return item


class _Progress:
    """Latest payload of a flow, and the copies since the one before."""

    __slots__ = ('copies', 'highest', 'updated_ms')

    def __init__(self, sequence: int, now_ms: float) -> None:
        self.highest = sequence
        self.copies = 0
        self.updated_ms = now_ms


class EgressQueue(Generic[Item]):
    """
    Datagrams that wait for the link, and the credit for those that may be sent.

    Attributes
    ----------
    queued_bytes
        Bytes that wait.
    """

    def __init__(self, rate: LinkRate, options: EgressOptions) -> None:
        """Start empty, with the credit of an idle link."""
        self._rate = rate
        self._options = options
        self._ready: deque[Item] = deque()
        self._flows: OrderedDict[FlowKey, _FlowQueue[Item]] = OrderedDict()
        self._sent: OrderedDict[tuple[FlowKey, int], float] = OrderedDict()
        self._progress: OrderedDict[FlowKey, _Progress] = OrderedDict()
        self.queued_bytes = 0
        self._credit_bytes = self._burst_bytes()
        # Short packets that may still be charged to the credit.
        self._short_bytes = self._max_short_bytes()
        self._credited_ms: float | None = None

    def __bool__(self) -> bool:
        """Return whether a datagram waits."""
        return bool(self._ready or self._flows)

    def put(self, outgoing: Item, now_ms: float) -> PutResult:
        """
        Add a datagram.

        Parameters
        ----------
        outgoing
            The datagram and the packet that it carries.
        now_ms
            Current time.

        Returns
        -------
        PutResult
            Whether it waits; ``OVERFLOW`` if a datagram of the longest flow, perhaps
            this one, was dropped for it.
        """
        packet = outgoing.packet
        if packet is None or self._rate.is_unpaced:
            self._ready.append(outgoing)
            return PutResult.READY
        waiting = self._flows.get(packet.flow)
        if packet.is_reset and waiting is not None:
            self._discard(packet.flow, waiting)
            waiting = None
        is_bulk = packet.payload_bytes > self._options.short_payload_bytes
        needs_order = waiting is not None and (
            packet.payload_bytes > 0 or packet.is_closing
        )
        if not is_bulk and not needs_order:
            self._ready.append(outgoing)
            return PutResult.READY
        return self._put_bulk(outgoing, packet, now_ms)

    def due(self, now_ms: float) -> Iterator[Item]:
        """Remove and iterate over the datagrams that may be sent now."""
        if self._rate.is_unpaced and not self._flows:
            while self._ready:
                yield self._ready.popleft()
            return
        self._update_credit(now_ms)
        while self._ready:
            ready = self._ready.popleft()
            self.charge(len(ready.datagram))
            yield ready
        while self._flows:
            key, flow = self._next_flow()
            size = len(flow.head().datagram)
            if size > self._credit_bytes and not self._rate.is_unpaced:
                return
            self._credit_bytes -= size
            yield self._pop_head(key, flow, now_ms)

    def drain(self, now_ms: float) -> Iterator[Item]:
        """Remove and iterate over all datagrams, for a process that stops."""
        while self._ready:
            yield self._ready.popleft()
        while self._flows:
            key, flow = self._next_flow()
            yield self._pop_head(key, flow, now_ms)

    def charge(self, sent_bytes: int) -> None:
        """Count bytes that were sent on the link without waiting."""
        charged = min(sent_bytes, self._short_bytes)
        self._short_bytes -= charged
        self._credit_bytes -= charged

    def next_due_ms(self, now_ms: float) -> float | None:
        """Return when the next datagram may be sent, None if none waits."""
        if self._ready:
            return now_ms
        if not self._flows:
            return None
        self._update_credit(now_ms)
        _, flow = self._next_flow()
        missing = len(flow.head().datagram) - self._credit_bytes
        return now_ms + max(0, missing) / self._paced_bytes_per_ms()

    def backlog_ms(self, now_ms: float) -> float:
        """Return the time that the link takes for what waits now."""
        if not self._flows:
            return 0
        self._update_credit(now_ms)
        missing = self.queued_bytes - self._credit_bytes
        return max(0, missing) / self._paced_bytes_per_ms()

    def has_waiting(self, flow: FlowKey) -> bool:
        """Return whether packets of a flow wait."""
        return flow in self._flows

    def expire(self, now_ms: float) -> None:
        """Delete the memory of packets that were sent long ago."""
        oldest_ms = now_ms - self._options.sent_memory_ms
        while self._sent:
            key, sent_ms = next(iter(self._sent.items()))
            is_kept = len(self._sent) <= self._options.max_sent_packets
            if is_kept and sent_ms >= oldest_ms:
                break
            del self._sent[key]
        while self._progress:
            flow = next(iter(self._progress))
            if self._progress[flow].updated_ms >= oldest_ms:
                break
            del self._progress[flow]

    def _put_bulk(self, outgoing: Item, packet: Packet, now_ms: float) -> PutResult:
        if self._is_under_way(packet, now_ms):
            return PutResult.COPY
        # The link was idle until now if nothing waits.
        self._update_credit(now_ms)
        flow = self._flows.get(packet.flow)
        if flow is None:
            flow = self._flows[packet.flow] = _FlowQueue(packet.sequence)
        growth = flow.add(outgoing, packet)
        if not growth:
            return PutResult.COPY
        self._count_losses(packet, now_ms)
        self.queued_bytes += growth
        if self.queued_bytes <= self._max_queued_bytes():
            return PutResult.QUEUED
        longest = max(self._flows, key=lambda key: self._flows[key].size)
        self._drop_last(longest)
        return PutResult.OVERFLOW

    def _is_under_way(self, packet: Packet, now_ms: float) -> bool:
        """Return whether the original was sent less than a round trip ago."""
        sent_ms = self._sent.get((packet.flow, packet.sequence))
        return sent_ms is not None and now_ms - sent_ms < self._options.round_trip_ms

    def _count_losses(self, packet: Packet, now_ms: float) -> None:
        """
        Count the copies of a flow as losses once it goes on.

        New payload after a copy shows that the upstream acknowledges, so the original was
        lost on the way; a silent upstream says nothing about the link.
        """
        flow = packet.flow
        progress = self._progress.get(flow)
        if progress is None:
            self._progress[flow] = _Progress(packet.sequence, now_ms)
            return
        progress.updated_ms = now_ms
        self._progress.move_to_end(flow)
        if (flow, packet.sequence) in self._sent:
            progress.copies += 1
        elif is_after(packet.sequence, progress.highest):
            progress.highest = packet.sequence
            self._rate.record_losses(progress.copies)
            progress.copies = 0

    def _next_flow(self) -> tuple[FlowKey, _FlowQueue[Item]]:
        """Return the flow whose turn it is; it keeps its turn until it used its bytes."""
        while True:
            key = next(iter(self._flows))
            flow = self._flows[key]
            head = flow.head()
            if not flow.has_turn:
                flow.has_turn = True
                weight = max(1, self._options.max_weight >> head.priority)
                flow.deficit_bytes += self._options.quantum_bytes * weight
            if flow.deficit_bytes >= len(head.datagram):
                return key, flow
            flow.has_turn = False
            self._flows.move_to_end(key)

    def _pop_head(self, key: FlowKey, flow: _FlowQueue[Item], now_ms: float) -> Item:
        item = flow.pop(0)
        size = len(item.datagram)
        flow.deficit_bytes -= size
        self.queued_bytes -= size
        if not flow:
            del self._flows[key]
        if item.packet is not None:
            sent_key = key, item.packet.sequence
            self._sent[sent_key] = now_ms
            self._sent.move_to_end(sent_key)
        self._rate.record_sent(now_ms)
        return item

    def _drop_last(self, key: FlowKey) -> None:
        flow = self._flows[key]
        self.queued_bytes -= len(flow.pop(-1).datagram)
        if not flow:
            del self._flows[key]

    def _discard(self, key: FlowKey, flow: _FlowQueue[Item]) -> None:
        self.queued_bytes -= flow.size
        del self._flows[key]

    def _update_credit(self, now_ms: float) -> None:
        if self._credited_ms is not None:
            elapsed_ms = max(0, now_ms - self._credited_ms)
            if self._flows:
                self._rate.record_busy(elapsed_ms)
            earned = elapsed_ms * self._paced_bytes_per_ms()
            self._credit_bytes = min(self._burst_bytes(), self._credit_bytes + earned)
            self._short_bytes = min(
                self._max_short_bytes(),
                self._short_bytes + earned * self._options.max_short_share,
            )
        self._credited_ms = now_ms

    def _paced_bytes_per_ms(self) -> float:
        return self._rate.bytes_per_ms * (1 - self._options.control_share)

    def _burst_bytes(self) -> float:
        quantum = self._options.quantum_bytes
        credit = self._options.credit_ms * self._rate.bytes_per_ms
        highest = self._options.max_burst_packets * quantum
        return max(self._options.min_burst_packets * quantum, min(highest, credit))

    def _max_short_bytes(self) -> float:
        return self._options.max_short_ms * self._rate.bytes_per_ms

    def _max_queued_bytes(self) -> float:
        longest = self._options.max_backlog_ms * self._rate.bytes_per_ms
        return max(self._options.min_backlog_bytes, longest)


DEFAULT_EGRESS = EgressOptions(
    short_payload_bytes=1000,
    control_share=0.05,
    min_burst_packets=3,
    max_burst_packets=16,
    credit_ms=5,
    max_short_share=0.75,
    max_short_ms=20,
    max_backlog_ms=1000,
    min_backlog_bytes=65_536,
    round_trip_ms=30,
    sent_memory_ms=2000,
    max_sent_packets=4096,
    quantum_bytes=1250,
    max_weight=4,
)
