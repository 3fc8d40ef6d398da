"""Decides whether an opening packet is forwarded at once, waits, or is rejected."""

from collections.abc import Iterator, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.admission.claims import Claims
from cardamomtiller.forwarding.admission.limit import (
    LimitOptions,
    PoolUse,
    StartWindow,
    fluctuation_allowance,
    instance_limit,
    measure_pool,
)
from cardamomtiller.forwarding.admission.shortage import (
    ServiceDemand,
    ShortageOptions,
)
from cardamomtiller.forwarding.admission.waitqueue import (
    WaitingOpening,
    WaitOptions,
    WaitQueue,
)
from cardamomtiller.forwarding.observation.capacity import CapacityTable
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import (
    PathState,
    Reachability,
)
from cardamomtiller.forwarding.packet import Packet
from cardamomtiller.forwarding.placement.gates import GateSet
from cardamomtiller.forwarding.placement.selection import min_latency_ms
from cardamomtiller.forwarding.published.configuration import Route
from cardamomtiller.forwarding.published.directory import UpstreamDirectory
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.ids import ServiceName


class Verdict(Enum):
    """What happens to an opening packet."""

    FORWARD = 'forward'
    WAIT = 'wait'
    REJECT = 'reject'


class ReleaseReason(Enum):
    """Why a waiting opening packet is forwarded."""

    CAPACITY = 'capacity'
    AGE = 'age'


class AdmissionOptions(NamedTuple):
    """
    Options of the concurrency limit and of the wait queues.

    Attributes
    ----------
    shortage
        Order and limits of the services whose configuration asks for them, None for
        the same order and limit of all services.
    """

    limit: LimitOptions
    wait: WaitOptions
    shortage: ShortageOptions | None = None


class Decision(NamedTuple):
    """
    Verdict on an opening packet, with the values that it is based on.

    Attributes
    ----------
    limit
        Requests that this instance may have in progress; None if it was not computed,
        because the packet is far below it.
    waiting
        Packets that wait for the service, including this one.
    """

    verdict: Verdict
    in_progress: int
    limit: float | None
    waiting: int


class Release(NamedTuple):
    """A packet that has waited, and the values that its release is based on."""

    opening: WaitingOpening
    service: ServiceName
    reason: ReleaseReason
    in_progress: int
    limit: float
    waiting: int


class Admission:
    """Wait queues of all services under the concurrency limit of the instance."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        loads: LoadTable,
        reachability: Reachability,
        options: AdmissionOptions,
        start_window: StartWindow,
        gates: GateSet,
        capacity: CapacityTable | None = None,
    ) -> None:
        """Initialise without waiting packets, and with an unknown fleet."""
        self._directory = directory
        self._loads = loads
        self._reachability = reachability
        self._options = options
        self._queues: dict[ServiceName, WaitQueue] = {}
        self._start_window = start_window
        self._gates = gates
        self._capacity = capacity
        self.demands: Mapping[ServiceName, ServiceDemand] = {}
        # Number of packets that were dropped because their clients no longer wait.
        self.abandoned = 0
        # Number of instances, None until the announcements of the others have arrived.
        self.instances: int | None = None

    @property
    def waiting(self) -> int:
        """Number of all waiting packets."""
        return sum(len(queue) for queue in self._queues.values())

    def decide(
        self,
        packet: Packet,
        datagram: bytes,
        route: Route,
        service: ServiceName,
        now_ms: float,
    ) -> Decision:
        """
        Decide about an opening packet; keep it if it has to wait.

        Another copy of a waiting packet replaces the earlier one and waits too.
        """
        queue = self._queues.get(service)
        can_place = self._can_place(service, now_ms)
        if not queue and can_place and self._is_far_below_limit(service):
            return Decision(Verdict.FORWARD, self._loads.total_in_progress, None, 0)
        use, limit = self._measure(service, now_ms)
        if self._is_first(queue, service, route) and (
            can_place and use.in_progress < self._limit_of(service, route, limit)
        ):
            return Decision(Verdict.FORWARD, use.in_progress, limit, 0)
        if queue is None:
            queue = self._queues[service] = WaitQueue(self._options.wait)
        shortage = self._shortage_of(service)
        if shortage is None:
            queue.claims = None
        elif queue.claims is None:
            queue.claims = Claims(shortage.claims)
        if packet.flow not in queue and (
            self._is_hopeless(
                queue, route, limit, self._expected_latency_ms(service, now_ms)
            )
            or self._is_held_too_long(queue, packet, route, service, now_ms)
        ):
            return Decision(Verdict.REJECT, use.in_progress, limit, len(queue))
        queue.put(packet, datagram, route, now_ms)
        return Decision(Verdict.WAIT, use.in_progress, limit, len(queue))

    def release(self, now_ms: float) -> Iterator[Release]:
        """
        Remove and iterate over the packets that may leave their queue now.

        The caller forwards each packet before it requests the next one, because a
        forwarded packet counts as a request in progress.
        """
        for service, queue in self._queues.items():
            if queue:
                yield from self._release_from(service, queue, now_ms)

    def release_all(self) -> Iterator[WaitingOpening]:
        """Remove and iterate over all waiting packets, for a process that stops."""
        for queue in self._queues.values():
            yield from queue.pop_all()

    def _release_from(
        self, service: ServiceName, queue: WaitQueue, now_ms: float
    ) -> Iterator[Release]:
        self.abandoned += sum(1 for _ in queue.pop_abandoned(now_ms))
        shortage = self._shortage_of(service)
        if shortage is None:
            yield from self._release_overdue(service, queue, now_ms)
            yield from self._release_below_limit(service, queue, now_ms)
            return
        # Overdue packets above the limit would fill the upstreams with requests that are
        # late already, and every other request would be late too.
        gone = queue.pop_older(shortage.give_up_ms, now_ms)
        self.abandoned += sum(1 for _ in gone)
        yield from self._release_below_limit(service, queue, now_ms)
        yield from self._release_refused(service, queue, now_ms)

    def _is_first(
        self, queue: WaitQueue | None, service: ServiceName, route: Route
    ) -> bool:
        """Return whether a new packet goes before all that wait."""
        if not queue:
            return True
        return self._is_urgent(service, route) and not queue.count_ahead(route.priority)

    def _is_urgent(self, service: ServiceName, route: Route) -> bool:
        demand = self.demands.get(service)
        return demand is not None and demand.urgent_priority == route.priority

    def _limit_of(self, service: ServiceName, route: Route, limit: float) -> float:
        """Return the limit without the reserve that a route may not use."""
        shortage = self._shortage_of(service)
        demand = self.demands.get(service)
        if shortage is None or demand is None or demand.urgent_priority is None:
            return limit
        if demand.urgent_priority == route.priority:
            return limit
        return max(1, limit * (1 - shortage.reserve_share))

    def _shortage_of(self, service: ServiceName) -> ShortageOptions | None:
        """Return the options for a shortage if the configuration asks for them."""
        if self._capacity is None or not self._capacity.is_observed(service):
            return None
        return self._options.shortage

    def _release_refused(
        self, service: ServiceName, queue: WaitQueue, now_ms: float
    ) -> Iterator[Release]:
        """Release overdue packets that only a gate refuses, not the limit."""
        for overdue in tuple(queue.pop_overdue(now_ms)):
            use, limit = self._measure(service, now_ms)
            if use.in_progress >= self._limit_of(service, overdue.route, limit):
                queue.put_back(overdue)
                continue
            yield Release(
                overdue,
                service,
                ReleaseReason.AGE,
                use.in_progress,
                limit,
                len(queue),
            )

    def _release_overdue(
        self, service: ServiceName, queue: WaitQueue, now_ms: float
    ) -> Iterator[Release]:
        for overdue in queue.pop_overdue(now_ms):
            use, limit = self._measure(service, now_ms)
            yield Release(
                overdue,
                service,
                ReleaseReason.AGE,
                use.in_progress,
                limit,
                len(queue),
            )

    def _release_below_limit(
        self, service: ServiceName, queue: WaitQueue, now_ms: float
    ) -> Iterator[Release]:
        latency_ms = self._expected_latency_ms(service, now_ms)
        while queue:
            use, limit = self._measure(service, now_ms)
            if use.in_progress >= limit or not self._can_place(service, now_ms):
                return
            opening = queue.pop_next(latency_ms, now_ms)
            if use.in_progress >= self._limit_of(service, opening.route, limit):
                queue.put_back(opening)
                return
            if queue.claims is not None:
                queue.claims.record_release(opening.packet.flow.client, now_ms)
            yield Release(
                opening,
                service,
                ReleaseReason.CAPACITY,
                use.in_progress,
                limit,
                len(queue),
            )

    def _can_place(self, service: ServiceName, now_ms: float) -> bool:
        """Return whether some upstream that can be reached may get another flow."""
        if not self._gates.is_active(now_ms):
            return True
        return self._gates.can_place(self._reachable_pool(service), now_ms)

    def _is_held_too_long(
        self,
        queue: WaitQueue,
        packet: Packet,
        route: Route,
        service: ServiceName,
        now_ms: float,
    ) -> bool:
        """Return whether mandatory gates hold an opening until it can only be reset."""
        if not self._gates.is_active(now_ms):
            return False
        pool = self._reachable_pool(service)
        wait_ms = self._gates.wait_ms(pool, len(queue), now_ms) if pool else 0
        if wait_ms <= 0:
            return False
        wait = self._options.wait
        last_copy = len(wait.copy_ages_ms) - 1
        age_ms = wait.copy_ages_ms[min(packet.copy_number, last_copy)]
        return age_ms + wait_ms >= min(route.timeout_ms, wait.max_age_ms)

    def _reachable_pool(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams that can be reached, or all if none can."""
        pool = self._directory.pool(service)
        reachable = [
            upstream
            for upstream in pool
            if self._reachability.state(upstream.token) is not PathState.UNREACHABLE
        ]
        return reachable or pool

    def _is_far_below_limit(self, service: ServiceName) -> bool:
        """
        Return whether all requests of this instance are fewer than its equal part.

        Spares most opening packets the sum over a large pool.
        """
        if self._capacity is not None and self._capacity.has_falls:
            return False
        slots = self._directory.slots(service)
        capacity = slots * self._options.limit.requests_per_slot
        if self.instances is None:
            share = min(capacity, self._start_window.size)
        else:
            share = capacity / self.instances
        # Half of it, because some upstreams of the pool may be unreachable.
        return self._loads.total_in_progress < share / 2

    def _measure(self, service: ServiceName, now_ms: float) -> tuple[PoolUse, float]:
        use = measure_pool(
            self._directory.pool(service),
            self._loads,
            self._reachability,
            self._options.limit,
            now_ms,
            self._capacity,
        )
        if self.instances is None:
            return use, max(1, min(use.capacity, self._start_window.size))
        limit = instance_limit(use, self.instances)
        if self._shortage_of(service) is not None:
            limit += fluctuation_allowance(use, self.instances)
        return use, limit

    def _expected_latency_ms(self, service: ServiceName, now_ms: float) -> float:
        loads = (
            self._loads.get_or_create(upstream.token)
            for upstream in self._directory.pool(service)
        )
        return min_latency_ms(loads, now_ms) or 0

    def _is_hopeless(
        self, queue: WaitQueue, route: Route, limit: float, latency_ms: float
    ) -> bool:
        """Return whether the packets ahead take longer than the client waits at most."""
        ahead = len(queue)
        if queue.claims is not None:
            ahead = queue.count_ahead(route.priority)
        if ahead >= self._options.wait.max_waiting:
            return True
        return ahead * latency_ms / limit > route.timeout_ms
