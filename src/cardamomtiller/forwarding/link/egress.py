"""Queue of the datagrams that wait for the link of the instance.

Clients send a window at once, and its packets may arrive reordered. Forwarded at once,
they overflow the send buffer of a slow link, and retransmissions do so again. The queue
therefore sends at the rate of the link, and by sequence number within a flow.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import Generic, NamedTuple

from cardamomtiller.forwarding.link.copies import (
    DEFAULT_COPIES,
    CopyOptions,
    SentPackets,
)
from cardamomtiller.forwarding.link.credit import (
    DEFAULT_CREDIT,
    CreditOptions,
    LinkCredit,
)
from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.link.turns import (
    DEFAULT_TURNS,
    FlowTurns,
    Item,
    TurnOptions,
)
from cardamomtiller.forwarding.packet import Packet


class EgressOptions(NamedTuple):
    """
    Limits of the queue.

    Attributes
    ----------
    short_payload_bytes
        Payload up to which a packet does not wait, unless earlier packets of its flow
        do.
    max_backlog_ms, min_backlog_bytes
        Bound on the waiting bytes, as link time; never less than the second.
    """

    short_payload_bytes: int
    max_backlog_ms: float
    min_backlog_bytes: int
    credit: CreditOptions
    turns: TurnOptions
    copies: CopyOptions


class PutResult(Enum):
    """What happened to a datagram that was put into the queue."""

    READY = 'ready'
    QUEUED = 'queued'
    COPY = 'copy'
    OVERFLOW = 'overflow'


class EgressQueue(Generic[Item]):
    """Datagrams that wait for the link, and the credit for those that may be sent."""

    def __init__(self, rate: LinkRate, options: EgressOptions) -> None:
        """Start empty, with the credit of an idle link."""
        self._rate = rate
        self._options = options
        self._ready: deque[Item] = deque()
        self._turns: FlowTurns[Item] = FlowTurns(options.turns)
        self._sent = SentPackets(options.copies)
        self._credit = LinkCredit(rate, options.credit)

    def __bool__(self) -> bool:
        """Return whether a datagram waits."""
        return bool(self._ready or self._turns)

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait for the link."""
        return self._turns.queued_bytes

    @property
    def queued_flows(self) -> int:
        """Flows with packets that wait for the link."""
        return len(self._turns)

    def passes(self, outgoing: Item) -> bool:
        """
        Return whether a datagram may be sent at once, and charge it to the link then.

        Spares most datagrams the queue: short ones, while nothing waits.
        """
        if self._turns or self._ready:
            return False
        packet = outgoing.packet
        if packet is None or packet.payload_bytes <= self._options.short_payload_bytes:
            self._credit.charge(len(outgoing.datagram))
            return True
        return self._rate.is_unpaced

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
        if packet.is_reset:
            self._turns.discard(packet.flow)
        is_bulk = packet.payload_bytes > self._options.short_payload_bytes
        has_order = packet.payload_bytes > 0 or packet.is_closing
        if is_bulk or (has_order and packet.flow in self._turns):
            return self._put_bulk(outgoing, packet, now_ms)
        self._ready.append(outgoing)
        return PutResult.READY

    def due(self, now_ms: float) -> Iterator[Item]:
        """Remove and iterate over the datagrams that may be sent now."""
        if self._rate.is_unpaced and not self._turns:
            while self._ready:
                yield self._ready.popleft()
            return
        self._credit.update(now_ms, is_busy=bool(self._turns))
        while self._ready:
            ready = self._ready.popleft()
            self._credit.charge(len(ready.datagram))
            yield ready
        while self._turns:
            size = self._turns.next_bytes()
            if not self._credit.covers(size) and not self._rate.is_unpaced:
                return
            self._credit.spend(size)
            yield self._pop(now_ms)

    def drain(self, now_ms: float) -> Iterator[Item]:
        """Remove and iterate over all datagrams, for a process that stops."""
        while self._ready:
            yield self._ready.popleft()
        while self._turns:
            yield self._pop(now_ms)

    def charge(self, sent_bytes: float, now_ms: float) -> None:
        """Count bytes that were sent on the link past this queue."""
        self._credit.update(now_ms, is_busy=bool(self._turns))
        self._credit.charge(sent_bytes)

    def next_due_ms(self, now_ms: float) -> float | None:
        """Return when the next datagram may be sent, None if none waits."""
        if self._ready:
            return now_ms
        if not self._turns:
            return None
        self._credit.update(now_ms, is_busy=True)
        return now_ms + self._credit.wait_ms(self._turns.next_bytes())

    def backlog_ms(self, now_ms: float) -> float:
        """Return the time that the link takes for what waits now."""
        if not self._turns:
            return 0
        self._credit.update(now_ms, is_busy=True)
        return self._credit.wait_ms(self.queued_bytes)

    def expire(self, now_ms: float) -> None:
        """Delete the memory of packets that were sent long ago."""
        self._sent.expire(now_ms)

    def _put_bulk(self, outgoing: Item, packet: Packet, now_ms: float) -> PutResult:
        if self._sent.is_under_way(packet, now_ms):
            return PutResult.COPY
        # The link was idle until now if nothing waits.
        self._credit.update(now_ms, is_busy=bool(self._turns))
        if not self._turns.add(outgoing, packet):
            return PutResult.COPY
        self._rate.record_losses(self._sent.count_losses(packet, now_ms))
        if self.queued_bytes <= self._max_queued_bytes():
            return PutResult.QUEUED
        self._turns.drop_last_of_longest()
        return PutResult.OVERFLOW

    def _pop(self, now_ms: float) -> Item:
        item = self._turns.pop()
        if item.packet is not None:
            self._sent.record_sent(item.packet, now_ms)
        self._rate.record_sent(now_ms)
        return item

    def _max_queued_bytes(self) -> float:
        longest = self._options.max_backlog_ms * self._rate.bytes_per_ms
        return max(self._options.min_backlog_bytes, longest)


DEFAULT_EGRESS = EgressOptions(
    short_payload_bytes=1000,
    max_backlog_ms=1000,
    min_backlog_bytes=65_536,
    credit=DEFAULT_CREDIT,
    turns=DEFAULT_TURNS,
    copies=DEFAULT_COPIES,
)
