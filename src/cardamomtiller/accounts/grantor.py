"""Grantor: divides the floors that holders pledge to it into leased shares."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from google.protobuf.internal.containers import (
    RepeatedCompositeFieldContainer,
    RepeatedScalarFieldContainer,
)

from cardamomtiller.accounts.allowance import (
    WIRE_ROUNDING,
    ZERO_ALLOWANCE,
    Allowance,
    LeaseTimes,
    fair_part,
    fair_units,
    read_allowance,
    whole_units,
)
from cardamomtiller.identity import CustomerId, Incarnation, InstanceId
from cardamomtiller.peer_pb2 import CustomerAllowance, LeaseGrant, LeaseReport

# Latest grant stamps of a holder that its reports may echo.
MAX_STAMPS = 64
# Latest reports of a holder whose demands may be the base of its next report.
MAX_BASE_REPORTS = 4
# A sufficient share that would grow by less than this part is left unchanged, so that
# it is not sent again.
MIN_SHARE_GROWTH = 0.2
# Units that cannot be divided equally go to the next holder after this many leases.
ROTATION_LEASES = 4
# Sums of shares below this consist of rounding errors only.
NEGLIGIBLE_AMOUNT = 1e-6

AllowanceByCustomer = Mapping[CustomerId, Allowance]
HolderKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True, slots=True)
class Pool:
    """Allowance by customer that a grantor may divide, and the end of its validity."""

    allowance_for: Callable[[CustomerId], Allowance]
    until_ms: float


@dataclass(frozen=True, slots=True)
class _Lease:
    stamp_ms: int
    end_ms: float
    shares: AllowanceByCustomer


@dataclass(slots=True)
class _HolderState:
    """Reports, pledges and leases of one holder, as recorded by the grantor."""

    sequence: int = 0
    last_report_ms: float = 0
    contact_end_ms: float = 0
    # Stamp that the last report echoed; 0 if this grantor did not issue it.
    echoed_ms: int = 0
    published_count: int = 0
    # Times and numbers of the pledged floors, oldest first.
    floor_history: list[tuple[float, int]] = field(default_factory=list)
    stamps: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_STAMPS))
    leases: list[_Lease] = field(default_factory=list)
    # Usage beyond the share, from the last report.
    held: AllowanceByCustomer = field(default_factory=dict)
    held_end_ms: float = 0
    demands: AllowanceByCustomer = field(default_factory=dict)
    # Demands by sequence number of the report.
    reported_demands: dict[int, AllowanceByCustomer] = field(default_factory=dict)
    # Inputs and result of the last decision, by customer with demand.
    decisions: dict[CustomerId, tuple[tuple[Allowance, ...], Allowance]] = field(
        default_factory=dict
    )
    # Largest usage that the leases in force and the held usage allow, by customer.
    outstanding: AllowanceByCustomer = field(default_factory=dict)

    def floors(self, now_ms: float, maturity_ms: float) -> int:
        """Return the floors that were pledged throughout the last ``maturity_ms``."""
        if now_ms >= self.contact_end_ms or not self.floor_history:
            return 0
        begin_ms = now_ms - maturity_ms
        if self.floor_history[0][0] > begin_ms:
            return 0
        while len(self.floor_history) > 1 and self.floor_history[1][0] <= begin_ms:
            self.floor_history.pop(0)
        return min(floors for _, floors in self.floor_history)

    def record_pledge(self, floors: int, now_ms: float) -> None:
        """Record the pledged floors; clear their history if the contact has ended."""
        if now_ms >= self.contact_end_ms:
            self.floor_history = []
        elif not self.floor_history or self.floor_history[-1][1] != floors:
            self.floor_history.append((now_ms, floors))

    def max_usage(self, now_ms: float) -> dict[CustomerId, Allowance]:
        """Drop ended leases and return the largest possible usage by customer."""
        self.leases = [lease for lease in self.leases if lease.end_ms > now_ms]
        max_usages: dict[CustomerId, Allowance] = {}
        for lease in self.leases:
            _merge_maximum(max_usages, lease.shares)
        if now_ms < self.held_end_ms:
            _merge_maximum(max_usages, self.held)
        return max_usages


class Grantor:
    """
    Divide pledged floors among the holders that report demand.

    The sum of the shares that may be in use never exceeds the pool at the time
    when the latest of them was granted. Each holder keeps its pledge to that
    pool for longer than the lease of that share.
    """

    def __init__(
        self,
        scope: str,
        own_name: InstanceId,
        incarnation: Incarnation,
        times: LeaseTimes,
    ) -> None:
        """Create a grantor without holders."""
        self.scope = scope
        self._own_name = own_name
        self._incarnation = incarnation
        self._times = times
        self._holders: dict[HolderKey, _HolderState] = {}
        self._newest_incarnations: dict[InstanceId, Incarnation] = {}
        self._expiries: list[tuple[float, HolderKey]] = []
        self._demands: dict[CustomerId, dict[HolderKey, Allowance]] = {}
        self._outstanding: dict[CustomerId, Allowance] = {}
        # Cached fair shares by customer and holder, with their pool and rotation.
        self._targets: dict[
            CustomerId, tuple[tuple[Allowance, int], dict[HolderKey, Allowance]]
        ] = {}
        self.is_pool_short = False

    def floors(self, now_ms: float) -> int:
        """Return the number of pledged floors that count for the pool now."""
        maturity_ms = self._times.grantor_lease_ms
        return sum(
            holder.floors(now_ms, maturity_ms) for holder in self._holders.values()
        )

    def published_counts(self) -> frozenset[int]:
        """Return the published instance counts that the holders report."""
        return frozenset(holder.published_count for holder in self._holders.values())

    def demands(self, now_ms: float) -> dict[CustomerId, Allowance]:
        """Return the total demand by customer."""
        self._expire(now_ms)
        return {
            customer: _total(demand_by_holder.values())
            for customer, demand_by_holder in self._demands.items()
        }

    def outstanding(self, now_ms: float) -> AllowanceByCustomer:
        """Return the total of the shares that may be in use, by customer."""
        self._expire(now_ms)
        return self._outstanding

    def grant(self, report: LeaseReport, pool: Pool, now_ms: float) -> LeaseGrant:
        """
        Record a report and return the grant that answers it.

        Parameters
        ----------
        report
            Report for the scope of this grantor.
        pool
            Allowance to divide.

        Returns
        -------
        LeaseGrant
            Shares of the customers with demand; refused if the report is not
            newer than the last one of the same holder or its base is missing.
        """
        self._expire(now_ms)
        answer = LeaseGrant(
            scope=self.scope,
            grantor=self._own_name,
            grantor_incarnation=self._incarnation,
            sequence=report.sequence,
            stamp_ms=int(now_ms),
        )
        key = (InstanceId(report.holder), Incarnation(report.holder_incarnation))
        if not self._is_newer(key, report, answer.stamp_ms):
            answer.is_refused = True
            return answer
        holder = self._holders.setdefault(key, _HolderState())
        self._record_report(key, holder, report, now_ms)
        self._fill_grant(key, holder, pool, answer, now_ms)
        return answer

    def _is_newer(self, key: HolderKey, report: LeaseReport, stamp_ms: int) -> bool:
        newest = self._newest_incarnations.get(key[0], key[1])
        if report.scope != self.scope or key[1] < newest:
            return False
        holder = self._holders.get(key)
        base = report.base_sequence
        if holder is None:
            return not base
        if base and base not in holder.reported_demands:
            return False
        # A stamp must identify a single grant.
        is_stamp_new = not holder.stamps or holder.stamps[-1] < stamp_ms
        return report.sequence > holder.sequence and is_stamp_new

    def _record_report(
        self,
        key: HolderKey,
        holder: _HolderState,
        report: LeaseReport,
        now_ms: float,
    ) -> None:
        self._withdraw_older_process(key)
        holder.sequence = report.sequence
        holder.last_report_ms = now_ms
        holder.published_count = report.published_instances
        echoed_ms = report.echoed_stamp_ms
        if echoed_ms and echoed_ms in holder.stamps:
            end_ms = echoed_ms + self._times.silence_ms
            if now_ms >= holder.contact_end_ms:
                holder.floor_history = []
            holder.contact_end_ms = max(holder.contact_end_ms, end_ms)
            # The holder has accepted the grant of this stamp and uses no older one.
            holder.leases = [
                lease for lease in holder.leases if lease.stamp_ms >= echoed_ms
            ]
            holder.echoed_ms = echoed_ms
        else:
            holder.echoed_ms = 0
        holder.record_pledge(report.pledged_floors, now_ms)
        holder.held = read_allowances(report.held)
        holder.held_end_ms = now_ms + self._times.grantor_lease_ms
        demands = merge_changes(
            holder.reported_demands.get(report.base_sequence, {}),
            report.demands,
            report.ended,
        )
        holder.reported_demands[report.sequence] = demands
        if len(holder.reported_demands) > MAX_BASE_REPORTS:
            holder.reported_demands.pop(next(iter(holder.reported_demands)))
        self._set_demands(key, holder, demands)
        self._update_outstanding(holder, now_ms)

    def _withdraw_older_process(self, key: HolderKey) -> None:
        """End the pledge of an earlier process; its shares may still be in use."""
        newest = self._newest_incarnations.get(key[0])
        if newest is not None and newest < key[1]:
            older_key = (key[0], newest)
            if older_key in self._holders:
                self._holders[older_key].contact_end_ms = 0
                self._set_demands(older_key, self._holders[older_key], {})
        self._newest_incarnations[key[0]] = key[1]

    def _set_demands(
        self, key: HolderKey, holder: _HolderState, demands: AllowanceByCustomer
    ) -> None:
        for ended_customer in holder.demands.keys() - demands.keys():
            demand_by_holder = self._demands[ended_customer]
            demand_by_holder.pop(key)
            holder.decisions.pop(ended_customer, None)
            self._targets.pop(ended_customer, None)
            if not demand_by_holder:
                self._demands.pop(ended_customer)
        for customer, demand in demands.items():
            demand_by_holder = self._demands.setdefault(customer, {})
            if demand_by_holder.get(key) != demand:
                demand_by_holder[key] = demand
                self._targets.pop(customer, None)
        holder.demands = demands

    def _update_outstanding(self, holder: _HolderState, now_ms: float) -> None:
        """Update the totals of the outstanding shares for one holder."""
        previous = holder.outstanding
        holder.outstanding = holder.max_usage(now_ms)
        for customer in previous.keys() | holder.outstanding.keys():
            previous_usage = previous.get(customer, ZERO_ALLOWANCE)
            current_usage = holder.outstanding.get(customer, ZERO_ALLOWANCE)
            if previous_usage is current_usage or previous_usage == current_usage:
                continue
            total = (
                self._outstanding.get(customer, ZERO_ALLOWANCE)
                - previous_usage
                + current_usage
            )
            if _is_negligible(total):
                self._outstanding.pop(customer, None)
            else:
                self._outstanding[customer] = total

    def _fill_grant(
        self,
        key: HolderKey,
        holder: _HolderState,
        pool: Pool,
        answer: LeaseGrant,
        now_ms: float,
    ) -> None:
        lease_ms = min(self._times.lease_ms, pool.until_ms - now_ms)
        answer.lease_ms = max(0, int(lease_ms))
        # The grant lists the changes from the lease that the last report echoed, the
        # oldest one that is kept. Without such a lease it lists all shares.
        base_lease = holder.leases[0] if holder.leases else None
        if base_lease is None or base_lease.stamp_ms != holder.echoed_ms:
            base_lease = _Lease(0, 0, {})
        shares = dict(self._decide_shares(key, holder, base_lease.shares, pool, now_ms))
        answer.base_stamp_ms = base_lease.stamp_ms
        write_changes(answer.shares, answer.ended, base_lease.shares, shares)
        end_ms = now_ms + answer.lease_ms * self._times.grantor_lease_ms / (
            self._times.lease_ms
        )
        holder.stamps.append(answer.stamp_ms)
        holder.leases.append(_Lease(answer.stamp_ms, end_ms, shares))
        self._update_outstanding(holder, now_ms)
        ends_ms = (end_ms, now_ms + self._times.grantor_lease_ms, holder.contact_end_ms)
        for due_ms in ends_ms:
            heapq.heappush(self._expiries, (due_ms, key))

    def _decide_shares(
        self,
        key: HolderKey,
        holder: _HolderState,
        previous: AllowanceByCustomer,
        pool: Pool,
        now_ms: float,
    ) -> Iterator[tuple[CustomerId, Allowance]]:
        rotation = int(now_ms / (ROTATION_LEASES * self._times.lease_ms))
        self.is_pool_short = False
        for customer, demand in holder.demands.items():
            available = pool.allowance_for(customer)
            target = self._target(customer, key, available, rotation)
            inputs = (
                demand,
                available,
                target,
                self._outstanding.get(customer, ZERO_ALLOWANCE),
                holder.outstanding.get(customer, ZERO_ALLOWANCE),
                previous.get(customer, ZERO_ALLOWANCE),
            )
            decision = holder.decisions.get(customer)
            if decision is None or decision[0] != inputs:
                decision = holder.decisions[customer] = (inputs, _decide(*inputs))
            share = decision[1]
            self.is_pool_short |= share.minimum(demand) != demand
            if share != ZERO_ALLOWANCE:
                yield customer, share

    def _target(
        self, customer: CustomerId, key: HolderKey, pool: Allowance, rotation: int
    ) -> Allowance:
        """Return the fair share of a holder, cached until demands or pool change."""
        inputs = (pool, rotation)
        cached = self._targets.get(customer)
        if cached is None or cached[0] != inputs:
            cached = self._targets[customer] = (inputs, {})
        targets = cached[1]
        if key not in targets:
            targets[key] = _divide(self._demands[customer], key, pool, rotation)
        return targets[key]

    def _expire(self, now_ms: float) -> None:
        """Drop the leases, demands and holders that have ended since the last call."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            holder = self._holders.get(key)
            if holder is None:
                continue
            self._update_outstanding(holder, now_ms)
            if now_ms >= holder.last_report_ms + self._times.grantor_lease_ms:
                self._set_demands(key, holder, {})
                if not holder.outstanding and now_ms >= holder.contact_end_ms:
                    self._holders.pop(key)


def read_allowances(
    messages: Iterable[CustomerAllowance],
) -> dict[CustomerId, Allowance]:
    """Return the allowances of a message field by customer."""
    return {
        CustomerId(message.customer): read_allowance(message.allowance)
        for message in messages
    }


def write_allowances(
    field_messages: RepeatedCompositeFieldContainer[CustomerAllowance],
    allowances: AllowanceByCustomer,
) -> None:
    """Append allowances to a message field."""
    field_messages.extend(
        CustomerAllowance(customer=customer, allowance=allowance.to_wire())
        for customer, allowance in allowances.items()
    )


def merge_changes(
    base: AllowanceByCustomer,
    messages: Iterable[CustomerAllowance],
    ended: Iterable[str],
) -> dict[CustomerId, Allowance]:
    """Return the allowances of a base after the changes of a message."""
    merged = {**base, **read_allowances(messages)}
    for customer in ended:
        merged.pop(CustomerId(customer), None)
    return merged


def write_changes(
    field_messages: RepeatedCompositeFieldContainer[CustomerAllowance],
    ended: RepeatedScalarFieldContainer[str],
    base: AllowanceByCustomer,
    allowances: AllowanceByCustomer,
) -> None:
    """Write the changes from a base: new, changed and ended allowances."""
    changed = {
        customer: allowance
        for customer, allowance in allowances.items()
        if base.get(customer) != allowance
    }
    write_allowances(field_messages, changed)
    ended.extend(base.keys() - allowances.keys())


def _decide(
    demand: Allowance,
    available: Allowance,
    target: Allowance,
    outstanding: Allowance,
    own_outstanding: Allowance,
    previous: Allowance,
) -> Allowance:
    """Return a share that fits into the pool beside the shares of other holders."""
    others_outstanding = outstanding - own_outstanding
    share = _round_down(target.minimum(available - others_outstanding))
    return previous if _is_previous_kept(previous, share, demand) else share


def _is_previous_kept(previous: Allowance, share: Allowance, demand: Allowance) -> bool:
    """
    Return whether the previous share suffices and the new one is little larger.

    A share above the fair share is never kept, because many small excesses
    would leave nothing for the last holder.
    """
    if previous.minimum(share) != previous or not previous.is_near(
        share, MIN_SHARE_GROWTH
    ):
        return False
    return demand.minimum(share).minimum(previous) == demand.minimum(share)


def _merge_maximum(
    maximums: dict[CustomerId, Allowance], allowances: AllowanceByCustomer
) -> None:
    for customer, allowance in allowances.items():
        current = maximums.get(customer)
        if current is None:
            maximums[customer] = allowance
        elif current is not allowance:
            maximums[customer] = current.maximum(allowance)


def _total(allowances: Iterable[Allowance]) -> Allowance:
    total = ZERO_ALLOWANCE
    for allowance in allowances:
        total += allowance
    return total


def _is_negligible(total: Allowance) -> bool:
    """Return whether a running sum consists of rounding errors only."""
    return max(total.as_tuple()) < NEGLIGIBLE_AMOUNT


def _divide(
    demands: Mapping[HolderKey, Allowance],
    key: HolderKey,
    pool: Allowance,
    rotation: int,
) -> Allowance:
    keys = sorted(demands)
    index = keys.index(key)
    rates, requests, flows, sizes = zip(
        *(demands[holder_key].as_tuple() for holder_key in keys), strict=True
    )
    return Allowance(
        fair_part(rates, rates[index], pool.rate_per_s),
        fair_units(requests, index, pool.concurrent_requests, rotation),
        fair_units(flows, index, pool.open_flows, rotation),
        fair_part(sizes, sizes[index], pool.bytes_in_flight),
    )


def _round_down(share: Allowance) -> Allowance:
    return Allowance(
        share.rate_per_s * (1 - WIRE_ROUNDING),
        whole_units(share.concurrent_requests),
        whole_units(share.open_flows),
        share.bytes_in_flight * (1 - WIRE_ROUNDING),
    )
