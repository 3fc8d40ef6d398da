"""Shares of customers' allowances, leased between instances."""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from cardamomtiller import rendezvous
from cardamomtiller.accounts.allowance import (
    ZERO_ALLOWANCE,
    Allowance,
    LeaseTimes,
    kept_part,
    plan_allowance,
)
from cardamomtiller.accounts.grantor import Grantor, Pool, Vectors
from cardamomtiller.accounts.holder import Holder, Shares
from cardamomtiller.identity import CustomerId, DomainName, Incarnation, InstanceId
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport
from cardamomtiller.settings_pb2 import LeaseSettings

ROOT_SCOPE = 'root'
DOMAIN_SCOPE_PREFIX = 'domain/'
# Reports per silence, so that one lost report does not end a pledge.
REPORTS_PER_SILENCE = 3
# First wait for an answer before the report is repeated; it doubles up to the
# regular interval.
RETRY_MS = 150.0
# Interval of urgent reports; it doubles up to the regular one, so that a
# customer that stays at its limit does not raise the control traffic.
URGENT_INTERVAL_MS = 25.0
URGENT_GROWTH = 2.0
# A grantor gives nothing out of leases of its own that end sooner than this
# part of a lease, because every share would end with them.
LEAST_REST = 0.25
# Floors remembered; published numbers that are gone must not fill the memory.
PARTS_KEPT = 10_000


class _Schedule:
    """When the next report of one role is due."""

    def __init__(self, interval_ms: float) -> None:
        """Be due at once."""
        self._interval_ms = interval_ms
        self._urgent_interval_ms = URGENT_INTERVAL_MS
        self._last_ms = -math.inf
        self._retry_ms = RETRY_MS
        self._is_urgent = False
        self._is_answered = True

    def answered(self) -> None:
        """Note an answer to the last report."""
        self._is_answered = True
        self._retry_ms = RETRY_MS

    def request(self, *, is_new: bool) -> None:
        """Shorten the wait; new needs start again at the shortest interval."""
        self._is_urgent = True
        if is_new:
            self._urgent_interval_ms = URGENT_INTERVAL_MS

    def next_ms(self) -> float:
        """Return the time of the next report."""
        interval_ms = self._interval_ms
        if self._is_urgent:
            interval_ms = min(interval_ms, self._urgent_interval_ms)
        if not self._is_answered:
            interval_ms = min(interval_ms, self._retry_ms)
        return self._last_ms + interval_ms

    def is_due(self, now_ms: float) -> bool:
        """Tell whether a report is due."""
        return now_ms >= self.next_ms()

    def sent(self, now_ms: float) -> None:
        """Note that a report was sent."""
        self._last_ms = now_ms
        if not self._is_answered:
            self._retry_ms = min(self._retry_ms * URGENT_GROWTH, self._interval_ms)
        self._is_answered = False
        if self._is_urgent:
            longer_ms = self._urgent_interval_ms * URGENT_GROWTH
            self._urgent_interval_ms = min(longer_ms, self._interval_ms)
        else:
            self._urgent_interval_ms = URGENT_INTERVAL_MS
        self._is_urgent = False


@dataclass(frozen=True, slots=True)
class _Division:
    """Published number of instances, and one that is still to be waited for."""

    count: int
    next_count: int
    since_ms: float


class LeaseAgent:
    """
    All lease roles of one instance.

    The agent does no I/O: the caller sends what ``reports_due`` returns, hands
    received messages over, and may lose, delay or repeat any of them.
    """

    def __init__(
        self,
        own: InstanceId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        now_ms: float,
        start_wait_ms: float | None = None,
    ) -> None:
        """
        Start without plans; nothing may be used.

        Parameters
        ----------
        own
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
        self._own = own
        self._incarnation = incarnation
        self._reserved_share = settings.reserved_share
        self._times = LeaseTimes(settings.lease_ms, settings.silence_ms)
        wait_ms = self._times.reclaim_ms if start_wait_ms is None else start_wait_ms
        self._started_ms = now_ms + wait_ms
        self._plans: dict[CustomerId, Allowance] = {}
        # Kept and pledged parts of floors, by customer and published number.
        self._parts: dict[tuple[CustomerId, int], tuple[Allowance, Allowance]] = {}
        self._division: _Division | None = None
        self._demands: Vectors = {}
        self._uses: Vectors = {}
        interval_ms = settings.silence_ms / REPORTS_PER_SILENCE
        self._schedule = _Schedule(interval_ms)
        self._upper_schedule = _Schedule(interval_ms)
        self._holder = self._make_holder('', self._times.reclaim_ms)
        self._upper = self._make_holder(ROOT_SCOPE, self._times.domain_reclaim_ms)
        self._domain_grantor = self._make_grantor('')
        self._root_grantor = self._make_grantor(ROOT_SCOPE)

    def set_plans(self, catalog: Catalog, now_ms: float) -> None:
        """
        Take over plans and customers.

        A lowered allowance is in force here at once: shares in force are
        lowered in proportion. A raised one arrives with the next grants.
        """
        plans = {
            customer: plan_allowance(plan)
            for customer in catalog.customers
            if (plan := catalog.plan_of(customer)) is not None
        }
        factors = {
            customer: _lowering(before, plans.get(customer, ZERO_ALLOWANCE))
            for customer, before in self._plans.items()
            if before.smaller(plans.get(customer, ZERO_ALLOWANCE)) != before
        }
        for holder in (self._holder, self._upper):
            holder.scale(factors)
        self._plans = plans
        self._parts.clear()
        self.generation += 1

    def set_view(
        self,
        domain: DomainName,
        live: Mapping[DomainName, Sequence[InstanceId]],
        published_count: int,
        now_ms: float,
    ) -> None:
        """
        Take over the own domain, the live instances, the published number.

        A higher number lowers the floors at once. A lower one raises them
        after the longest pledge, when the instances that are gone use nothing.
        """
        scope = f'{DOMAIN_SCOPE_PREFIX}{domain}'
        if scope != self._holder.scope:
            if self._holder.scope:
                # The former domain may still count the pledge.
                wait_ms = self._times.reclaim_ms
                self._started_ms = max(self._started_ms, now_ms + wait_ms)
            self._holder = self._make_holder(scope, self._times.reclaim_ms)
            self._domain_grantor = self._make_grantor(scope)
        members = {self._own, *live.get(domain, ())}
        everyone = members.union(*live.values())
        self._holder.set_grantor(rendezvous.pick(scope, members))
        self._upper.set_grantor(rendezvous.pick(ROOT_SCOPE, everyone))
        self._set_count(max(1, published_count), now_ms)
        self.generation += 1

    def set_traffic(self, demands: Vectors, uses: Vectors) -> None:
        """Replace demand and use of the customers with traffic here."""
        self._demands = demands
        self._uses = uses

    def request_report(self, *, is_new: bool = True) -> None:
        """Ask for a report soon, at once if a need is new."""
        self._schedule.request(is_new=is_new)

    def next_report_ms(self) -> float:
        """Return the time from which ``reports_due`` has something to send."""
        return min(self._schedule.next_ms(), self._upper_schedule.next_ms())

    def reports_due(self, now_ms: float) -> Iterator[tuple[InstanceId, LeaseReport]]:
        """Iterate over the reports to send now, each with its receiver."""
        if self._schedule.is_due(now_ms) and self._holder.grantor is not None:
            self._schedule.sent(now_ms)
            yield from self._deliver(self._holder, self._make_report(now_ms), now_ms)
        if self._upper_schedule.is_due(now_ms) and self._upper.grantor is not None:
            self._upper_schedule.sent(now_ms)
            report = self._make_upper_report(now_ms)
            if report is None:
                self._upper_schedule.answered()
            else:
                yield from self._deliver(self._upper, report, now_ms)

    def handle_report(self, report: LeaseReport, now_ms: float) -> LeaseGrant:
        """Answer the report of another instance."""
        if report.scope == ROOT_SCOPE:
            return self._root_grantor.grant(report, self._root_pool(now_ms), now_ms)
        grantor = self._domain_grantor
        grant = grantor.grant(report, self._domain_pool(now_ms), now_ms)
        if grantor.is_short and not grant.is_refused:
            self._upper_schedule.request(is_new=self._is_upper_need_new(report))
        return grant

    def handle_grant(self, grant: LeaseGrant, now_ms: float) -> None:
        """Accept the answer to a report."""
        is_upper = grant.scope == ROOT_SCOPE
        holder = self._upper if is_upper else self._holder
        before = holder.latest()
        if not holder.accept(grant, now_ms):
            return
        self.generation += 1
        schedule = self._upper_schedule if is_upper else self._schedule
        schedule.answered()
        if holder.is_smaller_than(before):
            # Another holder can grow only after this one has confirmed.
            schedule.request(is_new=False)

    def share_until(
        self, customer: CustomerId, now_ms: float
    ) -> tuple[Allowance, float]:
        """
        Return the share and the time until which it holds.

        It may change earlier when ``generation`` changes.
        """
        plan = self._plans.get(customer)
        if plan is None or self._division is None:
            # Without the published number the floor is unknown.
            return ZERO_ALLOWANCE, math.inf
        self._settle_count(now_ms)
        kept, rest = self._floor_parts(customer)
        total = kept
        until_ms = self._next_change_ms(now_ms)
        floors, end_ms = self._own_floors(now_ms)
        if floors:
            total += rest
            until_ms = min(until_ms, end_ms)
        for shares in self._holder.shares(now_ms):
            total += shares.of.get(customer, ZERO_ALLOWANCE)
            until_ms = min(until_ms, shares.end_ms)
        return total.smaller(plan), until_ms

    def share(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return what a customer may use on this instance now."""
        return self.share_until(customer, now_ms)[0]

    def plan(self, customer: CustomerId) -> Allowance:
        """Return what the plan allows over all instances together."""
        return self._plans.get(customer, ZERO_ALLOWANCE)

    def grantors(self) -> tuple[InstanceId | None, InstanceId | None]:
        """Return the grantors of the own domain and of all domains."""
        return self._holder.grantor, self._upper.grantor

    def _make_holder(self, scope: str, reclaim_ms: float) -> Holder:
        return Holder(scope, self._own, self._incarnation, self._times, reclaim_ms)

    def _make_grantor(self, scope: str) -> Grantor:
        return Grantor(scope, self._own, self._incarnation, self._times)

    def _deliver(
        self, holder: Holder, report: LeaseReport, now_ms: float
    ) -> Iterator[tuple[InstanceId, LeaseReport]]:
        """Answer an own report here, or return it for sending."""
        grantor = holder.grantor
        if grantor == self._own:
            self.handle_grant(self.handle_report(report, now_ms), now_ms)
        elif grantor is not None:
            yield grantor, report

    def _make_report(self, now_ms: float) -> LeaseReport:
        self._settle_count(now_ms)
        floors = 1 if now_ms >= self._started_ms else 0
        was_free = self._holder.is_free(now_ms)
        report = self._holder.report(floors, self._count(), now_ms)
        if was_free and not self._holder.is_free(now_ms):
            self.generation += 1
        held = dict(self._held(now_ms))
        return self._holder.write_demands(report, self._demands, held)

    def _held(self, now_ms: float) -> Iterator[tuple[CustomerId, Allowance]]:
        """Iterate over the use beyond the share, as the grantor sees it."""
        for customer, use in self._uses.items():
            share = self._holder.granted(customer, now_ms)
            direct = self.share(customer, now_ms) - share
            held = use - direct
            if held.smaller(share) != held:
                yield customer, held

    def _make_upper_report(self, now_ms: float) -> LeaseReport | None:
        """Return the report of the domain's grantor, or None without holders."""
        grantor = self._domain_grantor
        demands = {
            customer: demand.smaller(self.plan(customer))
            for customer, demand in grantor.demands(now_ms).items()
        }
        floors = grantor.floors(now_ms)
        if not floors and not demands and not grantor.published_counts():
            return None
        published = max(self._count(), *grantor.published_counts(), 1)
        report = self._upper.report(floors, published, now_ms)
        held = dict(self._upper_held(now_ms))
        return self._upper.write_demands(report, demands, held)

    def _upper_held(self, now_ms: float) -> Iterator[tuple[CustomerId, Allowance]]:
        direct_parts = tuple(self._upper_parts(now_ms, 0))
        for customer, used in self._domain_grantor.outstanding(now_ms).items():
            share = self._upper.granted(customer, now_ms)
            held = used
            for part in direct_parts:
                held -= self._part_of(part, customer)
            held = used.smaller(held + share)
            if held.smaller(share) != held:
                yield customer, held

    def _is_upper_need_new(self, report: LeaseReport) -> bool:
        return any(
            not self._upper.latest_has(CustomerId(row.customer))
            for row in report.demands
        )

    def _root_pool(self, now_ms: float) -> Pool:
        grantor = self._root_grantor
        floors = min(grantor.floors(now_ms), self._count())
        counts = grantor.published_counts()
        return Pool(lambda customer: self._pledged(customer, floors, counts), math.inf)

    def _domain_pool(self, now_ms: float) -> Pool:
        least_rest_ms = LEAST_REST * self._times.lease_ms
        parts = tuple(self._upper_parts(now_ms, least_rest_ms))
        until_ms = min((end_ms for _, end_ms in parts), default=math.inf)
        return Pool(lambda customer: self._sum_parts(parts, customer), until_ms)

    def _upper_parts(
        self, now_ms: float, least_rest_ms: float
    ) -> Iterator[tuple[int | Shares, float]]:
        """Iterate over what a domain grantor may give: floors or shares."""
        floors, end_ms = self._upper.own_floors(
            min(self._domain_grantor.floors(now_ms), self._count()), now_ms
        )
        if floors and end_ms > now_ms + least_rest_ms:
            yield floors, end_ms
        for shares in self._upper.shares(now_ms):
            if shares.end_ms > now_ms + least_rest_ms:
                yield shares, shares.end_ms

    def _sum_parts(
        self, parts: Sequence[tuple[int | Shares, float]], customer: CustomerId
    ) -> Allowance:
        total = ZERO_ALLOWANCE
        for part in parts:
            total += self._part_of(part, customer)
        return total.smaller(self.plan(customer))

    def _part_of(
        self, part: tuple[int | Shares, float], customer: CustomerId
    ) -> Allowance:
        source = part[0]
        if isinstance(source, Shares):
            return source.of.get(customer, ZERO_ALLOWANCE)
        counts = self._domain_grantor.published_counts()
        return self._pledged(customer, source, counts)

    def _pledged(
        self, customer: CustomerId, floors: int, counts: frozenset[int]
    ) -> Allowance:
        """Return the pledged part of floors; in doubt the smallest known one."""
        own = self._count()
        smallest = self._floor_parts(customer, own)[1]
        for count in counts:
            if count > 0 and count != own:
                smallest = smallest.smaller(self._floor_parts(customer, count)[1])
        return smallest.scaled(floors)

    def _floor_parts(
        self, customer: CustomerId, count: int = 0
    ) -> tuple[Allowance, Allowance]:
        """Return the kept and the pledged part of a floor."""
        key = (customer, count or self._count())
        parts = self._parts.get(key)
        if parts is None:
            floor = self.plan(customer).scaled(1 / key[1])
            kept = kept_part(floor, self._reserved_share)
            parts = self._parts[key] = (kept, floor - kept)
        return parts

    def _own_floors(self, now_ms: float) -> tuple[int, float]:
        if now_ms < self._started_ms:
            return 0, now_ms
        return self._holder.own_floors(1, now_ms)

    def _next_change_ms(self, now_ms: float) -> float:
        """Return when a floor may become larger without a message."""
        until_ms = self._holder.reclaimed_ms()
        division = self._division
        if division is not None and division.count != division.next_count:
            settled_ms = division.since_ms + self._times.reclaim_ms
            until_ms = min(until_ms, settled_ms)
        if now_ms < self._started_ms:
            until_ms = min(until_ms, self._started_ms)
        return until_ms

    def _count(self) -> int:
        return self._division.count if self._division else 1

    def _set_count(self, count: int, now_ms: float) -> None:
        if len(self._parts) > PARTS_KEPT:
            self._parts.clear()
        division = self._division
        if division is None or count >= division.count:
            self._division = _Division(count, count, now_ms)
        elif count != division.next_count:
            self._division = _Division(division.count, count, now_ms)

    def _settle_count(self, now_ms: float) -> None:
        """Raise the floors when a lower number has been known for long."""
        division = self._division
        if division is None or division.count == division.next_count:
            return
        if now_ms >= division.since_ms + self._times.reclaim_ms:
            count = division.next_count
            self._division = _Division(count, count, now_ms)


def _lowering(before: Allowance, after: Allowance) -> Allowance:
    """Return by what factor each part was lowered, at most 1."""
    factors = (
        min(1, new / old) if old > 0 else 1
        for old, new in zip(before.as_tuple(), after.as_tuple(), strict=True)
    )
    return Allowance(*factors)
