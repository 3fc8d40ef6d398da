"""Lease protocol that divides the allowances of customers among instances."""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from cardamomtiller import rendezvous
from cardamomtiller.accounts.allowance import (
    ZERO_ALLOWANCE,
    Allowance,
    LeaseTimes,
    plan_allowance,
    reserved_floor,
)
from cardamomtiller.accounts.grantor import AllowanceByCustomer, Grantor, Pool
from cardamomtiller.accounts.holder import Holder, Shares
from cardamomtiller.identity import CustomerId, DomainName, Incarnation, InstanceId
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport
from cardamomtiller.settings_pb2 import LeaseSettings

ROOT_SCOPE = 'root'
DOMAIN_SCOPE_PREFIX = 'domain/'
# Reports per ``silence_ms``, so that one lost report does not end a pledge.
REPORTS_PER_SILENCE = 3
# First wait for an answer before the next report is sent; it doubles up to the
# regular interval.
FIRST_RESEND_MS = 150.0
# Interval of urgent reports; it doubles up to the regular one, so that a
# customer that stays at its limit does not raise the control traffic.
URGENT_INTERVAL_MS = 25.0
INTERVAL_GROWTH = 2.0
# A domain grantor grants nothing from shares or floors that it has for less than this
# part of a lease, because every share granted from them would end as early.
MIN_REMAINING_LEASE_RATIO = 0.25
# Size at which the floor cache is cleared, so that entries of outdated instance
# counts do not accumulate.
MAX_CACHED_FLOORS = 10_000


class _ReportSchedule:
    """Time of the next report of one holder."""

    def __init__(self, interval_ms: float) -> None:
        """Create a schedule whose first report is due immediately."""
        self._interval_ms = interval_ms
        self._urgent_interval_ms = URGENT_INTERVAL_MS
        self._last_ms = -math.inf
        self._resend_ms = FIRST_RESEND_MS
        self._is_urgent = False
        self._is_answered = True

    def record_answer(self) -> None:
        """Record that the last report was answered."""
        self._is_answered = True
        self._resend_ms = FIRST_RESEND_MS

    def request_early(self, *, is_new: bool) -> None:
        """Send the next report early, a new need after the shortest interval."""
        self._is_urgent = True
        if is_new:
            self._urgent_interval_ms = URGENT_INTERVAL_MS

    def next_ms(self) -> float:
        """Return the time at which the next report is due."""
        interval_ms = self._interval_ms
        if self._is_urgent:
            interval_ms = min(interval_ms, self._urgent_interval_ms)
        if not self._is_answered:
            interval_ms = min(interval_ms, self._resend_ms)
        return self._last_ms + interval_ms

    def is_due(self, now_ms: float) -> bool:
        """Return whether a report is due."""
        return now_ms >= self.next_ms()

    def record_sent(self, now_ms: float) -> None:
        """Record that a report was sent and update the intervals."""
        self._last_ms = now_ms
        if not self._is_answered:
            self._resend_ms = min(self._resend_ms * INTERVAL_GROWTH, self._interval_ms)
        self._is_answered = False
        if self._is_urgent:
            next_interval_ms = self._urgent_interval_ms * INTERVAL_GROWTH
            self._urgent_interval_ms = min(next_interval_ms, self._interval_ms)
        else:
            self._urgent_interval_ms = URGENT_INTERVAL_MS
        self._is_urgent = False


@dataclass(frozen=True, slots=True)
class _InstanceCount:
    """Instance count in force, and a lower published count that is pending."""

    count: int
    pending_count: int
    pending_since_ms: float


class LeaseAgent:
    """
    Holder and grantor roles of one instance.

    An instance is a holder at the grantor of its failure domain and may be that
    grantor; a domain grantor is itself a holder at the root grantor. The agent
    does no I/O: the caller sends the reports that ``reports_due`` yields and
    passes on received messages. Any message may be lost, delayed or repeated.
    """

    def __init__(
        self,
        own_name: InstanceId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        now_ms: float,
        start_wait_ms: float | None = None,
    ) -> None:
        """
        Create an agent without plans, which allows no usage.

        Parameters
        ----------
        own_name
            Name of this instance.
        incarnation
            Higher than that of every earlier process of this name.
        settings
            Length of leases and pledges.
        now_ms
            Monotonic time of this process.
        start_wait_ms
            Time for which the floors are not used, because an earlier process
            of this name may have pledged them; by default the longest pledge.
        """
        self.generation = 0
        self._own_name = own_name
        self._incarnation = incarnation
        self._reserved_share = settings.reserved_share
        self._times = LeaseTimes(settings.lease_ms, settings.silence_ms)
        wait_ms = self._times.reclaim_ms if start_wait_ms is None else start_wait_ms
        self._floors_usable_ms = now_ms + wait_ms
        self._plans: dict[CustomerId, Allowance] = {}
        # Reserved and pledged parts of a floor, by customer and instance count.
        self._floor_cache: dict[
            tuple[CustomerId, int], tuple[Allowance, Allowance]
        ] = {}
        self._instance_count: _InstanceCount | None = None
        self._demands: AllowanceByCustomer = {}
        self._usages: AllowanceByCustomer = {}
        interval_ms = settings.silence_ms / REPORTS_PER_SILENCE
        self._domain_schedule = _ReportSchedule(interval_ms)
        self._root_schedule = _ReportSchedule(interval_ms)
        self._domain_holder = self._make_holder('', self._times.reclaim_ms)
        self._root_holder = self._make_holder(ROOT_SCOPE, self._times.domain_reclaim_ms)
        self._domain_grantor = self._make_grantor('')
        self._root_grantor = self._make_grantor(ROOT_SCOPE)

    def set_plans(self, catalog: Catalog, now_ms: float) -> None:
        """
        Apply the plans of the customers in a catalog.

        A lowered plan takes effect immediately: the shares in force are lowered
        in proportion. A raised plan takes effect with the next grants.
        """
        plans = {
            customer: plan_allowance(plan)
            for customer in catalog.customers
            if (plan := catalog.find_plan(customer)) is not None
        }
        factors = {
            customer: _reduction_factors(previous, plans.get(customer, ZERO_ALLOWANCE))
            for customer, previous in self._plans.items()
            if previous.minimum(plans.get(customer, ZERO_ALLOWANCE)) != previous
        }
        for holder in (self._domain_holder, self._root_holder):
            holder.scale_shares(factors)
        self._plans = plans
        self._floor_cache.clear()
        self.generation += 1

    def set_view(
        self,
        domain: DomainName,
        live: Mapping[DomainName, Sequence[InstanceId]],
        published_count: int,
        now_ms: float,
    ) -> None:
        """
        Set this instance's failure domain, live instances and published count.

        A higher count lowers the floors immediately. A lower one raises them
        after the longest pledge, when the removed instances use nothing.
        """
        scope = f'{DOMAIN_SCOPE_PREFIX}{domain}'
        if scope != self._domain_holder.scope:
            if self._domain_holder.scope:
                # The grantor of the former domain may still count the pledge.
                wait_ms = self._times.reclaim_ms
                self._floors_usable_ms = max(self._floors_usable_ms, now_ms + wait_ms)
            self._domain_holder = self._make_holder(scope, self._times.reclaim_ms)
            self._domain_grantor = self._make_grantor(scope)
        domain_instances = {self._own_name, *live.get(domain, ())}
        all_instances = domain_instances.union(*live.values())
        self._domain_holder.set_grantor(rendezvous.pick(scope, domain_instances))
        self._root_holder.set_grantor(rendezvous.pick(ROOT_SCOPE, all_instances))
        self._set_instance_count(max(1, published_count), now_ms)
        self.generation += 1

    def set_traffic(
        self, demands: AllowanceByCustomer, usages: AllowanceByCustomer
    ) -> None:
        """Replace the demand and usage of the customers with traffic here."""
        self._demands = demands
        self._usages = usages

    def request_report(self, *, is_new: bool = True) -> None:
        """Send the next report early, a new need after the shortest interval."""
        self._domain_schedule.request_early(is_new=is_new)

    def next_report_ms(self) -> float:
        """Return the time from which ``reports_due`` yields a report."""
        return min(self._domain_schedule.next_ms(), self._root_schedule.next_ms())

    def reports_due(self, now_ms: float) -> Iterator[tuple[InstanceId, LeaseReport]]:
        """Yield the reports to send now, each with its receiver."""
        if (
            self._domain_schedule.is_due(now_ms)
            and self._domain_holder.grantor is not None
        ):
            self._domain_schedule.record_sent(now_ms)
            yield from self._deliver(
                self._domain_holder, self._make_domain_report(now_ms), now_ms
            )
        if self._root_schedule.is_due(now_ms) and self._root_holder.grantor is not None:
            self._root_schedule.record_sent(now_ms)
            report = self._make_root_report(now_ms)
            if report is None:
                self._root_schedule.record_answer()
            else:
                yield from self._deliver(self._root_holder, report, now_ms)

    def handle_report(self, report: LeaseReport, now_ms: float) -> LeaseGrant:
        """Process a report as grantor and return the grant that answers it."""
        if report.scope == ROOT_SCOPE:
            return self._root_grantor.grant(report, self._root_pool(now_ms), now_ms)
        grantor = self._domain_grantor
        grant = grantor.grant(report, self._domain_pool(now_ms), now_ms)
        if grantor.is_pool_short and not grant.is_refused:
            self._root_schedule.request_early(is_new=self._has_new_customer(report))
        return grant

    def handle_grant(self, grant: LeaseGrant, now_ms: float) -> None:
        """Apply a grant that answers a report of this instance."""
        is_root = grant.scope == ROOT_SCOPE
        holder = self._root_holder if is_root else self._domain_holder
        previous = holder.latest_shares()
        if not holder.accept(grant, now_ms):
            return
        self.generation += 1
        schedule = self._root_schedule if is_root else self._domain_schedule
        schedule.record_answer()
        if holder.is_reduced_from(previous):
            # The grantor can give the difference to other holders only after this
            # holder has echoed the stamp of the grant in a report.
            schedule.request_early(is_new=False)

    def share_until(
        self, customer: CustomerId, now_ms: float
    ) -> tuple[Allowance, float]:
        """
        Return the share of a customer and the time until which it is valid.

        It is valid for a shorter time if ``generation`` changes.
        """
        plan = self._plans.get(customer)
        if plan is None or self._instance_count is None:
            # Without a published instance count the floor is unknown.
            return ZERO_ALLOWANCE, math.inf
        self._apply_pending_count(now_ms)
        reserved, pledgeable = self._split_floor(customer)
        total = reserved
        until_ms = self._next_change_ms(now_ms)
        floors, end_ms = self._usable_floors(now_ms)
        if floors:
            total += pledgeable
            until_ms = min(until_ms, end_ms)
        for shares in self._domain_holder.shares(now_ms):
            total += shares.by_customer.get(customer, ZERO_ALLOWANCE)
            until_ms = min(until_ms, shares.end_ms)
        return total.minimum(plan), until_ms

    def share(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return the allowance of a customer on this instance now."""
        return self.share_until(customer, now_ms)[0]

    def plan(self, customer: CustomerId) -> Allowance:
        """Return the allowance of a customer's plan for all instances together."""
        return self._plans.get(customer, ZERO_ALLOWANCE)

    def grantors(self) -> tuple[InstanceId | None, InstanceId | None]:
        """Return the grantor of this failure domain and the root grantor."""
        return self._domain_holder.grantor, self._root_holder.grantor

    def _make_holder(self, scope: str, reclaim_ms: float) -> Holder:
        return Holder(scope, self._own_name, self._incarnation, self._times, reclaim_ms)

    def _make_grantor(self, scope: str) -> Grantor:
        return Grantor(scope, self._own_name, self._incarnation, self._times)

    def _deliver(
        self, holder: Holder, report: LeaseReport, now_ms: float
    ) -> Iterator[tuple[InstanceId, LeaseReport]]:
        """Answer the report if this instance is the grantor, else yield it."""
        grantor = holder.grantor
        if grantor == self._own_name:
            self.handle_grant(self.handle_report(report, now_ms), now_ms)
        elif grantor is not None:
            yield grantor, report

    def _make_domain_report(self, now_ms: float) -> LeaseReport:
        self._apply_pending_count(now_ms)
        floors = 1 if now_ms >= self._floors_usable_ms else 0
        was_unpledged = self._domain_holder.is_unpledged(now_ms)
        report = self._domain_holder.report(floors, self._current_count(), now_ms)
        if was_unpledged and not self._domain_holder.is_unpledged(now_ms):
            self.generation += 1
        held = dict(self._domain_held(now_ms))
        return self._domain_holder.write_demands(report, self._demands, held)

    def _domain_held(self, now_ms: float) -> Iterator[tuple[CustomerId, Allowance]]:
        """Yield the usage beyond the local floors that exceeds the granted share."""
        for customer, usage in self._usages.items():
            share = self._domain_holder.granted_share(customer, now_ms)
            direct = self.share(customer, now_ms) - share
            held = usage - direct
            if held.minimum(share) != held:
                yield customer, held

    def _make_root_report(self, now_ms: float) -> LeaseReport | None:
        """Return the report of the domain grantor, or None without holders."""
        grantor = self._domain_grantor
        demands = {
            customer: demand.minimum(self.plan(customer))
            for customer, demand in grantor.demands(now_ms).items()
        }
        floors = grantor.floors(now_ms)
        if not floors and not demands and not grantor.published_counts():
            return None
        published = max(self._current_count(), *grantor.published_counts(), 1)
        report = self._root_holder.report(floors, published, now_ms)
        held = dict(self._root_held(now_ms))
        return self._root_holder.write_demands(report, demands, held)

    def _root_held(self, now_ms: float) -> Iterator[tuple[CustomerId, Allowance]]:
        direct_sources = tuple(self._domain_sources(now_ms, 0))
        for customer, usage in self._domain_grantor.outstanding(now_ms).items():
            share = self._root_holder.granted_share(customer, now_ms)
            held = usage
            for source in direct_sources:
                held -= self._source_allowance(source, customer)
            held = usage.minimum(held + share)
            if held.minimum(share) != held:
                yield customer, held

    def _has_new_customer(self, report: LeaseReport) -> bool:
        return any(
            not self._root_holder.latest_includes(CustomerId(demand.customer))
            for demand in report.demands
        )

    def _root_pool(self, now_ms: float) -> Pool:
        grantor = self._root_grantor
        floors = min(grantor.floors(now_ms), self._current_count())
        counts = grantor.published_counts()
        return Pool(
            lambda customer: self._pledged_allowance(customer, floors, counts), math.inf
        )

    def _domain_pool(self, now_ms: float) -> Pool:
        min_remaining_ms = MIN_REMAINING_LEASE_RATIO * self._times.lease_ms
        sources = tuple(self._domain_sources(now_ms, min_remaining_ms))
        until_ms = min((end_ms for _, end_ms in sources), default=math.inf)
        return Pool(lambda customer: self._sum_sources(sources, customer), until_ms)

    def _domain_sources(
        self, now_ms: float, min_remaining_ms: float
    ) -> Iterator[tuple[int | Shares, float]]:
        """Yield the floors and shares that a domain grantor may divide."""
        floors, end_ms = self._root_holder.usable_floors(
            min(self._domain_grantor.floors(now_ms), self._current_count()), now_ms
        )
        if floors and end_ms > now_ms + min_remaining_ms:
            yield floors, end_ms
        for shares in self._root_holder.shares(now_ms):
            if shares.end_ms > now_ms + min_remaining_ms:
                yield shares, shares.end_ms

    def _sum_sources(
        self, sources: Sequence[tuple[int | Shares, float]], customer: CustomerId
    ) -> Allowance:
        total = ZERO_ALLOWANCE
        for source in sources:
            total += self._source_allowance(source, customer)
        return total.minimum(self.plan(customer))

    def _source_allowance(
        self, source: tuple[int | Shares, float], customer: CustomerId
    ) -> Allowance:
        backing = source[0]
        if isinstance(backing, Shares):
            return backing.by_customer.get(customer, ZERO_ALLOWANCE)
        counts = self._domain_grantor.published_counts()
        return self._pledged_allowance(customer, backing, counts)

    def _pledged_allowance(
        self, customer: CustomerId, floors: int, counts: frozenset[int]
    ) -> Allowance:
        """Return the smallest pledged part of floors over the reported counts."""
        own_count = self._current_count()
        smallest = self._split_floor(customer, own_count)[1]
        for count in counts:
            if count > 0 and count != own_count:
                smallest = smallest.minimum(self._split_floor(customer, count)[1])
        return smallest.scaled(floors)

    def _split_floor(
        self, customer: CustomerId, count: int = 0
    ) -> tuple[Allowance, Allowance]:
        """Return the reserved and the pledged part of a floor."""
        key = (customer, count or self._current_count())
        split = self._floor_cache.get(key)
        if split is None:
            floor = self.plan(customer).scaled(1 / key[1])
            reserved = reserved_floor(floor, self._reserved_share)
            split = self._floor_cache[key] = (reserved, floor - reserved)
        return split

    def _usable_floors(self, now_ms: float) -> tuple[int, float]:
        if now_ms < self._floors_usable_ms:
            return 0, now_ms
        return self._domain_holder.usable_floors(1, now_ms)

    def _next_change_ms(self, now_ms: float) -> float:
        """Return when a floor may grow without a received message."""
        until_ms = self._domain_holder.reclaim_at_ms()
        instance_count = self._instance_count
        if (
            instance_count is not None
            and instance_count.count != instance_count.pending_count
        ):
            applied_ms = instance_count.pending_since_ms + self._times.reclaim_ms
            until_ms = min(until_ms, applied_ms)
        if now_ms < self._floors_usable_ms:
            until_ms = min(until_ms, self._floors_usable_ms)
        return until_ms

    def _current_count(self) -> int:
        return self._instance_count.count if self._instance_count else 1

    def _set_instance_count(self, count: int, now_ms: float) -> None:
        if len(self._floor_cache) > MAX_CACHED_FLOORS:
            self._floor_cache.clear()
        instance_count = self._instance_count
        if instance_count is None or count >= instance_count.count:
            self._instance_count = _InstanceCount(count, count, now_ms)
        elif count != instance_count.pending_count:
            self._instance_count = _InstanceCount(instance_count.count, count, now_ms)

    def _apply_pending_count(self, now_ms: float) -> None:
        """Apply a lower instance count once the longest pledge has ended."""
        instance_count = self._instance_count
        if (
            instance_count is None
            or instance_count.count == instance_count.pending_count
        ):
            return
        if now_ms >= instance_count.pending_since_ms + self._times.reclaim_ms:
            count = instance_count.pending_count
            self._instance_count = _InstanceCount(count, count, now_ms)


def _reduction_factors(previous: Allowance, current: Allowance) -> Allowance:
    """Return the factor by which each field was lowered, at most 1."""
    factors = (
        min(1, new / old) if old > 0 else 1
        for old, new in zip(previous.as_tuple(), current.as_tuple(), strict=True)
    )
    return Allowance(*factors)
