"""Opening packets of bulk transfers that wait until the link has room for them."""

from collections.abc import Iterable, Iterator

from cardamomtiller.forwarding.admission.waitqueue import WaitingOpening, WaitQueue
from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.link.requests import FinishedTransfer
from cardamomtiller.forwarding.link.transfers import (
    TransferDecision,
    TransferTable,
    TransferVerdict,
)
from cardamomtiller.forwarding.packet import FlowKey, Packet, RouteAddress
from cardamomtiller.forwarding.published.configuration import Route
from cardamomtiller.forwarding.routing.options import ForwardingOptions

UNLIMITED = TransferDecision(TransferVerdict.FORWARD)


class TransferOpenings:
    """
    Wait queue of the link; without a stated rate, no opening waits.

    Attributes
    ----------
    rate
        Rate of the link, None if it is not stated.
    """

    def __init__(self, options: ForwardingOptions) -> None:
        """Start without transfers."""
        self._queue = WaitQueue(options.admission.wait)
        self._waiting: set[FlowKey] = set()
        # Number of openings that were dropped because their clients no longer wait.
        self.abandoned = 0
        self.rate: LinkRate | None = None
        self._transfers: TransferTable | None = None
        link = options.link
        if link is not None:
            self.rate = LinkRate(link.bytes_per_ms, link.rate)
            self._transfers = TransferTable(self.rate, link.transfers)

    def __len__(self) -> int:
        """Return the number of openings that wait."""
        return len(self._queue)

    def decide(
        self, packet: Packet, datagram: bytes, route: Route, now_ms: float
    ) -> TransferDecision:
        """Decide about an opening packet; keep it if it has to wait."""
        if self._transfers is None:
            return UNLIMITED
        if packet.flow in self._queue:
            decision = TransferDecision(TransferVerdict.WAIT)
        else:
            decision = self._transfers.decide(route, now_ms, self._waiting)
        if decision.verdict is TransferVerdict.WAIT:
            self._queue.put(packet, datagram, route, now_ms)
            self._waiting.add(packet.flow)
        elif decision.verdict is TransferVerdict.FORWARD:
            self._transfers.start(packet, now_ms)
        return decision

    def release(self, now_ms: float) -> Iterator[WaitingOpening]:
        """
        Remove and iterate over the openings that need not wait any longer.

        Each of them counts as a transfer in progress from then on.
        """
        if self._transfers is None or not self._queue:
            return
        for abandoned in self._queue.pop_abandoned(now_ms):
            self._waiting.discard(abandoned.packet.flow)
            self.abandoned += 1
        for overdue in self._queue.pop_overdue(now_ms):
            yield self._begin(overdue, self._transfers, now_ms)
        while self._queue and self._transfers.can_start(now_ms):
            opening = self._queue.pop_next(0, now_ms)
            yield self._begin(opening, self._transfers, now_ms)

    def release_all(self) -> Iterator[WaitingOpening]:
        """Remove and iterate over all openings, for a process that stops."""
        self._waiting.clear()
        return self._queue.pop_all()

    def cancel(self, flow: FlowKey) -> None:
        """Forget a transfer whose opening packet was not forwarded after all."""
        if self._transfers is not None:
            self._transfers.cancel(flow)

    def record_packet(self, packet: Packet, now_ms: float) -> FinishedTransfer | None:
        """Update the transfer of a flow; return the bulk transfer that has ended."""
        if self._transfers is None:
            return None
        return self._transfers.record_packet(packet, now_ms)

    def retain_routes(self, routes: Iterable[RouteAddress]) -> None:
        """Forget the request sizes of all routes except the given ones."""
        if self._transfers is not None:
            self._transfers.retain(routes)

    def expire(self, now_ms: float) -> None:
        """Delete the transfers whose packets have not arrived for a while."""
        if self._transfers is not None:
            self._transfers.expire(now_ms)

    def _begin(
        self, opening: WaitingOpening, transfers: TransferTable, now_ms: float
    ) -> WaitingOpening:
        self._waiting.discard(opening.packet.flow)
        transfers.start(opening.packet, now_ms)
        return opening
