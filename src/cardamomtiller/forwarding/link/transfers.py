"""Transfers that share the link, and whether another one may begin.

Each transfer keeps up to 16 packets in flight. More transfers than the link carries
within the clients' retransmission timeout of 200 ms cause copies, and all become late
together; a few at a time finish one after the other. An opening therefore waits while
enough transfers are in progress, and is rejected when its client would wait too long: a
retry usually arrives at another instance.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.link.requests import (
    FinishedTransfer,
    RequestSizes,
    Transfer,
)
from cardamomtiller.forwarding.packet import FlowKey, Packet, RouteAddress, is_after
from cardamomtiller.forwarding.published.configuration import Route


class TransferOptions(NamedTuple):
    """
    Limits of the transfers that share the link.

    Attributes
    ----------
    bulk_bytes
        Mean size of the requests of a route from which it is a bulk route: half a window.
    size_gain
        Weight of the newest request in the moving average of a route.
    window_bytes
        Bytes that a client keeps in flight: 16 packets.
    max_queue_ms
        Link time of the windows in flight. The retransmission timeout of clients is
        200 ms, of which the path and the upstream need a part.
    bulk_share
        Share of the link that estimates allow for bulk routes; the others keep the rest.
    min_wait_ms, max_wait_ms
        Bounds on the estimated wait of an opening. Within them, it may wait as long as
        the objective of the route leaves.
    active_ms
        Time without a packet after which a transfer of the expected size has ended.
    idle_ms
        The same for a transfer that has not reached its expected size: its client has
        given up, or its packets reach another instance. Longer than the second
        retransmission timeout, 400 ms.
    """

    bulk_bytes: float
    size_gain: float
    window_bytes: int
    max_queue_ms: float
    bulk_share: float
    min_wait_ms: float
    max_wait_ms: float
    active_ms: float
    idle_ms: float


class TransferVerdict(Enum):
    """What happens to the opening packet of a transfer."""

    FORWARD = 'forward'
    WAIT = 'wait'
    REJECT = 'reject'


class TransferDecision(NamedTuple):
    """
    Verdict on an opening packet, with the values that it is based on.

    Attributes
    ----------
    in_progress
        Transfers in progress.
    expected_bytes
        Mean size of the requests of the route.
    wait_ms
        Estimated time until the transfer may begin.
    finish_ms
        Estimated time until the link has carried it.
    """

    verdict: TransferVerdict
    in_progress: int = 0
    expected_bytes: float = 0
    wait_ms: float = 0
    finish_ms: float = 0


class TransferTable:
    """Sizes of the requests of each route, and the requests whose payload arrives."""

    def __init__(self, rate: LinkRate, options: TransferOptions) -> None:
        """Start without any route or transfer."""
        self._rate = rate
        self._options = options
        self._sizes = RequestSizes(options.size_gain)
        self._transfers: dict[FlowKey, Transfer] = {}
        # Those of bulk routes.
        self._bulk: dict[FlowKey, Transfer] = {}

    def decide(
        self, route: Route, now_ms: float, waiting: Iterable[FlowKey] = ()
    ) -> TransferDecision:
        """
        Decide about the opening packet of a flow that is not in progress.

        Parameters
        ----------
        route
            Route of the flow.
        now_ms
            Current time.
        waiting
            Flows whose opening packets wait before it.
        """
        expected_bytes = self._sizes.mean_bytes(route.address)
        if expected_bytes < self._options.bulk_bytes or self._rate.is_unpaced:
            return TransferDecision(TransferVerdict.FORWARD)
        active = [
            transfer
            for transfer in self._bulk.values()
            if self._is_active(transfer, now_ms)
        ]
        ahead = [transfer.remaining_bytes() for transfer in active]
        ahead += [self._sizes.mean_bytes(flow.route) for flow in waiting]
        parallel = self.max_parallel()
        bulk_bytes_per_ms = self._rate.bytes_per_ms * self._options.bulk_share
        ahead_ms = sum(ahead) / bulk_bytes_per_ms
        own_ms = expected_bytes / bulk_bytes_per_ms
        if len(ahead) < parallel:
            wait_ms: float = 0
        else:
            # The link is shared until fewer than `parallel` of those ahead are left.
            wait_ms = ahead_ms * (len(ahead) - parallel + 1) / len(ahead)
        verdict = self._verdict(route, wait_ms, own_ms, ahead_ms + own_ms)
        # An idle link takes any transfer: the mean may be wrong, and without another
        # transfer it would never be corrected.
        if not ahead:
            verdict = TransferVerdict.FORWARD
        return TransferDecision(
            verdict, len(active), expected_bytes, wait_ms, ahead_ms + own_ms
        )

    def max_parallel(self) -> int:
        """Return how many transfers may share the link."""
        bytes_in_flight = self._options.max_queue_ms * self._rate.bytes_per_ms
        return max(1, int(bytes_in_flight / self._options.window_bytes))

    def can_start(self, now_ms: float) -> bool:
        """Return whether the link has room for another transfer."""
        active = sum(
            self._is_active(transfer, now_ms) for transfer in self._bulk.values()
        )
        return active < self.max_parallel()

    def start(self, packet: Packet, now_ms: float) -> None:
        """Record that the opening packet of a flow is forwarded."""
        if not self._rate.is_unpaced:
            # The opening packet takes one sequence number.
            self._start(packet.flow, packet.sequence + 1, now_ms, is_whole=True)

    def cancel(self, flow: FlowKey) -> None:
        """Forget a transfer whose opening packet was not forwarded after all."""
        self._transfers.pop(flow, None)
        self._bulk.pop(flow, None)

    def record_packet(self, packet: Packet, now_ms: float) -> FinishedTransfer | None:
        """
        Update the transfer of a flow with a later packet.

        Returns
        -------
        FinishedTransfer or None
            The bulk transfer that the packet shows to have ended, None if there is none.
        """
        if self._rate.is_unpaced:
            return None
        transfer = self._transfers.get(packet.flow)
        if packet.is_closing or packet.is_reset:
            if transfer is None:
                return None
            return self._finish(
                packet.flow, transfer, now_ms, is_aborted=packet.is_reset
            )
        finished = None
        if transfer is None:
            if not packet.payload_bytes:
                return None
            transfer = self._start(packet.flow, packet.sequence, now_ms, is_whole=False)
        elif transfer.acknowledged is not None and is_after(
            packet.acknowledged, transfer.acknowledged
        ):
            # The client has an answer, so the payload before it was one request.
            finished = self._finish(packet.flow, transfer, now_ms, is_aborted=False)
            if not packet.payload_bytes:
                return finished
            next_start = transfer.start + transfer.sent_bytes
            transfer = self._start(packet.flow, next_start, now_ms, is_whole=True)
        if transfer.acknowledged is None:
            transfer.acknowledged = packet.acknowledged
        if packet.payload_bytes:
            transfer.add(packet, now_ms)
        return finished

    def expire(self, now_ms: float) -> None:
        """Delete the transfers whose packets have not arrived for a while."""
        for flow, transfer in tuple(self._transfers.items()):
            if now_ms - transfer.updated_ms > self._options.idle_ms:
                # The rest of it may have gone through another instance.
                mean_bytes = self._sizes.mean_bytes(flow.route)
                is_aborted = transfer.sent_bytes < mean_bytes
                self._finish(flow, transfer, now_ms, is_aborted=is_aborted)

    def retain(self, routes: Iterable[RouteAddress]) -> None:
        """Delete the sizes of all routes except the given ones."""
        self._sizes.retain(routes)

    def _verdict(
        self, route: Route, wait_ms: float, own_ms: float, finish_ms: float
    ) -> TransferVerdict:
        if finish_ms > route.timeout_ms:
            return TransferVerdict.REJECT
        if not wait_ms:
            return TransferVerdict.FORWARD
        spare_ms = max(route.target_latency_ms - own_ms, self._options.min_wait_ms)
        if wait_ms > min(spare_ms, self._options.max_wait_ms):
            return TransferVerdict.REJECT
        return TransferVerdict.WAIT

    def _is_active(self, transfer: Transfer, now_ms: float) -> bool:
        idle_ms = now_ms - transfer.updated_ms
        if transfer.remaining_bytes():
            return idle_ms <= self._options.idle_ms
        return idle_ms <= self._options.active_ms

    def _start(
        self, flow: FlowKey, sequence: int, now_ms: float, *, is_whole: bool
    ) -> Transfer:
        expected_bytes = self._sizes.mean_bytes(flow.route)
        transfer = Transfer(sequence, expected_bytes, now_ms, is_whole=is_whole)
        self._transfers[flow] = transfer
        self._bulk.pop(flow, None)
        if expected_bytes >= self._options.bulk_bytes:
            self._bulk[flow] = transfer
        return transfer

    def _finish(
        self, flow: FlowKey, transfer: Transfer, now_ms: float, *, is_aborted: bool
    ) -> FinishedTransfer | None:
        del self._transfers[flow]
        self._bulk.pop(flow, None)
        if is_aborted or not transfer.is_whole or not transfer.sent_bytes:
            return None
        self._sizes.record(flow.route, transfer.sent_bytes)
        if transfer.sent_bytes < self._options.bulk_bytes:
            return None
        return FinishedTransfer(
            flow,
            transfer.sent_bytes,
            transfer.arrived_bytes,
            now_ms - transfer.started_ms,
        )


DEFAULT_TRANSFERS = TransferOptions(
    bulk_bytes=9600,
    size_gain=0.05,
    window_bytes=20_000,
    max_queue_ms=150,
    bulk_share=0.8,
    min_wait_ms=200,
    max_wait_ms=400,
    active_ms=50,
    idle_ms=700,
)
