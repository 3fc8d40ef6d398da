"""Grantor of shares out of the floors that are pledged to it."""

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
    read_vector,
    whole,
)
from cardamomtiller.identity import CustomerId, Incarnation, InstanceId
from cardamomtiller.peer_pb2 import CustomerAllowance, LeaseGrant, LeaseReport

STAMPS_KEPT = 64
# Reports whose demands the next report may refer to.
REPORTS_KEPT = 4
# A share that is enough and would grow by less stays as it is, which costs no
# bytes.
LEAST_GROWTH = 0.2
# Units that cannot be divided move on to the next holder after this many leases.
ROTATION_LEASES = 4
# Sums of shares below this are rounding errors.
NEGLIGIBLE = 1e-6

Vectors = Mapping[CustomerId, Allowance]
MemberKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True, slots=True)
class Pool:
    """What a grantor may give away, and until when."""

    of: Callable[[CustomerId], Allowance]
    until_ms: float


@dataclass(frozen=True, slots=True)
class _Lease:
    stamp_ms: int
    end_ms: float
    shares: Vectors


@dataclass(slots=True)
class _Member:
    """A holder, as the grantor knows it."""

    sequence: int = 0
    heard_ms: float = 0
    contact_end_ms: float = 0
    # Stamp that the last report echoed, 0 if it is not one of this grantor.
    echoed_ms: int = 0
    published: int = 0
    # Floors declared and when, oldest first.
    steps: list[tuple[float, int]] = field(default_factory=list)
    stamps: deque[int] = field(default_factory=lambda: deque(maxlen=STAMPS_KEPT))
    leases: list[_Lease] = field(default_factory=list)
    held: Vectors = field(default_factory=dict)
    held_end_ms: float = 0
    demands: Vectors = field(default_factory=dict)
    # Demands by sequence of the report.
    reported: dict[int, Vectors] = field(default_factory=dict)
    # Last decision and what it was based on, by customer with demand.
    decided: dict[CustomerId, tuple[tuple[Allowance, ...], Allowance]] = field(
        default_factory=dict
    )
    # Largest use that is possible, by customer.
    outstanding: Vectors = field(default_factory=dict)

    def floors(self, now_ms: float, maturity_ms: float) -> int:
        """Return the floors that were pledged throughout the last lease."""
        if now_ms >= self.contact_end_ms or not self.steps:
            return 0
        begin_ms = now_ms - maturity_ms
        if self.steps[0][0] > begin_ms:
            return 0
        while len(self.steps) > 1 and self.steps[1][0] <= begin_ms:
            self.steps.pop(0)
        return min(floors for _, floors in self.steps)

    def declare(self, floors: int, now_ms: float) -> None:
        """Note a pledge; one that had lapsed starts anew."""
        if now_ms >= self.contact_end_ms:
            self.steps = []
        elif not self.steps or self.steps[-1][1] != floors:
            self.steps.append((now_ms, floors))

    def usable(self, now_ms: float) -> dict[CustomerId, Allowance]:
        """Return the largest use that is possible now, by customer."""
        self.leases = [lease for lease in self.leases if lease.end_ms > now_ms]
        largest: dict[CustomerId, Allowance] = {}
        for lease in self.leases:
            _raise_to(largest, lease.shares)
        if now_ms < self.held_end_ms:
            _raise_to(largest, self.held)
        return largest


class Grantor:
    """
    Divide pledged floors among the holders that report demand.

    The sum of shares that may be in use never exceeds the pool as it was when
    the youngest of them was granted. Every pledge behind that pool stays in
    force at its holder for longer than the lease of that share.
    """

    def __init__(
        self,
        scope: str,
        own: InstanceId,
        incarnation: Incarnation,
        times: LeaseTimes,
    ) -> None:
        """Start without holders."""
        self.scope = scope
        self._own = own
        self._incarnation = incarnation
        self._times = times
        self._members: dict[MemberKey, _Member] = {}
        self._newest: dict[InstanceId, Incarnation] = {}
        self._expiries: list[tuple[float, MemberKey]] = []
        self._demands: dict[CustomerId, dict[MemberKey, Allowance]] = {}
        self._outstanding: dict[CustomerId, Allowance] = {}
        # Fair shares by customer and holder, for one pool and rotation.
        self._targets: dict[
            CustomerId, tuple[tuple[Allowance, int], dict[MemberKey, Allowance]]
        ] = {}
        self.is_short = False

    def floors(self, now_ms: float) -> int:
        """Return the number of floors that back the pool now."""
        maturity_ms = self._times.outstanding_ms
        return sum(row.floors(now_ms, maturity_ms) for row in self._members.values())

    def published_counts(self) -> frozenset[int]:
        """Return the published numbers of instances that the holders know."""
        return frozenset(row.published for row in self._members.values())

    def demands(self, now_ms: float) -> dict[CustomerId, Allowance]:
        """Return the sum of demands by customer."""
        self._expire(now_ms)
        return {
            customer: _total(rows.values()) for customer, rows in self._demands.items()
        }

    def outstanding(self, now_ms: float) -> Vectors:
        """Return the sum of shares that may be in use, by customer."""
        self._expire(now_ms)
        return self._outstanding

    def grant(self, report: LeaseReport, pool: Pool, now_ms: float) -> LeaseGrant:
        """
        Take note of a report and answer it.

        Parameters
        ----------
        report
            Report for the scope of this grantor.
        pool
            What may be given away.

        Returns
        -------
        LeaseGrant
            Shares of the customers with demand; refused if the report is not
            newer than the last one of the same holder.
        """
        self._expire(now_ms)
        answer = LeaseGrant(
            scope=self.scope,
            grantor=self._own,
            grantor_incarnation=self._incarnation,
            sequence=report.sequence,
            stamp_ms=int(now_ms),
        )
        key = (InstanceId(report.holder), Incarnation(report.holder_incarnation))
        if not self._is_newer(key, report, answer.stamp_ms):
            answer.is_refused = True
            return answer
        member = self._members.setdefault(key, _Member())
        self._note(key, member, report, now_ms)
        self._fill(key, member, pool, answer, now_ms)
        return answer

    def _is_newer(self, key: MemberKey, report: LeaseReport, stamp_ms: int) -> bool:
        newest = self._newest.get(key[0], key[1])
        if report.scope != self.scope or key[1] < newest:
            return False
        member = self._members.get(key)
        base = report.base_sequence
        if member is None:
            return not base
        if base and base not in member.reported:
            return False
        # A stamp must identify one answer.
        is_stamp_new = not member.stamps or member.stamps[-1] < stamp_ms
        return report.sequence > member.sequence and is_stamp_new

    def _note(
        self,
        key: MemberKey,
        member: _Member,
        report: LeaseReport,
        now_ms: float,
    ) -> None:
        self._withdraw_older(key)
        member.sequence = report.sequence
        member.heard_ms = now_ms
        member.published = report.published_instances
        echoed = report.echoed_stamp_ms
        if echoed and echoed in member.stamps:
            end_ms = echoed + self._times.silence_ms
            if now_ms >= member.contact_end_ms:
                member.steps = []
            member.contact_end_ms = max(member.contact_end_ms, end_ms)
            # The holder has accepted that grant and uses no older one.
            member.leases = [row for row in member.leases if row.stamp_ms >= echoed]
            member.echoed_ms = echoed
        else:
            member.echoed_ms = 0
        member.declare(report.pledged_floors, now_ms)
        member.held = read_vectors(report.held)
        member.held_end_ms = now_ms + self._times.outstanding_ms
        demands = merge_vectors(
            member.reported.get(report.base_sequence, {}), report.demands, report.ended
        )
        member.reported[report.sequence] = demands
        if len(member.reported) > REPORTS_KEPT:
            member.reported.pop(next(iter(member.reported)))
        self._set_demands(key, member, demands)
        self._recount(member, now_ms)

    def _withdraw_older(self, key: MemberKey) -> None:
        """End the pledge of an earlier process; its shares may still be in use."""
        newest = self._newest.get(key[0])
        if newest is not None and newest < key[1]:
            older = (key[0], newest)
            if older in self._members:
                self._members[older].contact_end_ms = 0
                self._set_demands(older, self._members[older], {})
        self._newest[key[0]] = key[1]

    def _set_demands(self, key: MemberKey, member: _Member, demands: Vectors) -> None:
        for gone in member.demands.keys() - demands.keys():
            rows = self._demands[gone]
            rows.pop(key)
            member.decided.pop(gone, None)
            self._targets.pop(gone, None)
            if not rows:
                self._demands.pop(gone)
        for customer, demand in demands.items():
            rows = self._demands.setdefault(customer, {})
            if rows.get(key) != demand:
                rows[key] = demand
                self._targets.pop(customer, None)
        member.demands = demands

    def _recount(self, member: _Member, now_ms: float) -> None:
        """Bring the sums of shares in use up to date for one holder."""
        before = member.outstanding
        member.outstanding = member.usable(now_ms)
        for customer in before.keys() | member.outstanding.keys():
            old = before.get(customer, ZERO_ALLOWANCE)
            new = member.outstanding.get(customer, ZERO_ALLOWANCE)
            if old is new or old == new:
                continue
            total = self._outstanding.get(customer, ZERO_ALLOWANCE) - old + new
            if _is_negligible(total):
                self._outstanding.pop(customer, None)
            else:
                self._outstanding[customer] = total

    def _fill(
        self,
        key: MemberKey,
        member: _Member,
        pool: Pool,
        answer: LeaseGrant,
        now_ms: float,
    ) -> None:
        lease_ms = min(self._times.lease_ms, pool.until_ms - now_ms)
        answer.lease_ms = max(0, int(lease_ms))
        # The holder has accepted the oldest lease that is still kept.
        echoed = member.leases[0] if member.leases else None
        if echoed is None or echoed.stamp_ms != member.echoed_ms:
            echoed = _Lease(0, 0, {})
        shares = dict(self._shares(key, member, echoed.shares, pool, now_ms))
        answer.base_stamp_ms = echoed.stamp_ms
        write_changes(answer.shares, answer.ended, echoed.shares, shares)
        end_ms = now_ms + answer.lease_ms * self._times.outstanding_ms / (
            self._times.lease_ms
        )
        member.stamps.append(answer.stamp_ms)
        member.leases.append(_Lease(answer.stamp_ms, end_ms, shares))
        self._recount(member, now_ms)
        ends_ms = (end_ms, now_ms + self._times.outstanding_ms, member.contact_end_ms)
        for due_ms in ends_ms:
            heapq.heappush(self._expiries, (due_ms, key))

    def _shares(
        self,
        key: MemberKey,
        member: _Member,
        before: Vectors,
        pool: Pool,
        now_ms: float,
    ) -> Iterator[tuple[CustomerId, Allowance]]:
        rotation = int(now_ms / (ROTATION_LEASES * self._times.lease_ms))
        self.is_short = False
        for customer, demand in member.demands.items():
            available = pool.of(customer)
            target = self._target(customer, key, available, rotation)
            basis = (
                demand,
                available,
                target,
                self._outstanding.get(customer, ZERO_ALLOWANCE),
                member.outstanding.get(customer, ZERO_ALLOWANCE),
                before.get(customer, ZERO_ALLOWANCE),
            )
            known = member.decided.get(customer)
            if known is None or known[0] != basis:
                known = member.decided[customer] = (basis, _decide(*basis))
            share = known[1]
            self.is_short |= share.smaller(demand) != demand
            if share != ZERO_ALLOWANCE:
                yield customer, share

    def _target(
        self, customer: CustomerId, key: MemberKey, pool: Allowance, rotation: int
    ) -> Allowance:
        """Return the fair share, computed once until demands or pool change."""
        basis = (pool, rotation)
        known = self._targets.get(customer)
        if known is None or known[0] != basis:
            known = self._targets[customer] = (basis, {})
        targets = known[1]
        if key not in targets:
            targets[key] = _divide(self._demands[customer], key, pool, rotation)
        return targets[key]

    def _expire(self, now_ms: float) -> None:
        """Drop what has ended since the last call, however long ago that was."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            member = self._members.get(key)
            if member is None:
                continue
            self._recount(member, now_ms)
            if now_ms >= member.heard_ms + self._times.outstanding_ms:
                self._set_demands(key, member, {})
                if not member.outstanding and now_ms >= member.contact_end_ms:
                    self._members.pop(key)


def read_vectors(rows: Iterable[CustomerAllowance]) -> dict[CustomerId, Allowance]:
    """Return the vectors of a message by customer."""
    return {CustomerId(row.customer): read_vector(row.allowance) for row in rows}


def write_vectors(
    rows: RepeatedCompositeFieldContainer[CustomerAllowance],
    vectors: Vectors,
) -> None:
    """Append vectors to a field of a message."""
    rows.extend(
        CustomerAllowance(customer=customer, allowance=vector.to_wire())
        for customer, vector in vectors.items()
    )


def merge_vectors(
    base: Vectors, rows: Iterable[CustomerAllowance], ended: Iterable[str]
) -> dict[CustomerId, Allowance]:
    """Return the vectors of a message that says what differs from a base."""
    merged = {**base, **read_vectors(rows)}
    for customer in ended:
        merged.pop(CustomerId(customer), None)
    return merged


def write_changes(
    rows: RepeatedCompositeFieldContainer[CustomerAllowance],
    ended: RepeatedScalarFieldContainer[str],
    base: Vectors,
    vectors: Vectors,
) -> None:
    """Write what differs from a base."""
    changed = {
        customer: vector
        for customer, vector in vectors.items()
        if base.get(customer) != vector
    }
    write_vectors(rows, changed)
    ended.extend(base.keys() - vectors.keys())


def _decide(
    demand: Allowance,
    available: Allowance,
    target: Allowance,
    total: Allowance,
    own: Allowance,
    earlier: Allowance,
) -> Allowance:
    """Return a share that fits beside the shares in use at other holders."""
    others = total - own
    share = _round_down(target.smaller(available - others))
    return earlier if _is_kept(earlier, share, demand) else share


def _is_kept(earlier: Allowance, share: Allowance, demand: Allowance) -> bool:
    """
    Tell whether an earlier share is enough and a new one would be little larger.

    A share above the fair one is never kept: many small excesses would leave
    nothing for the last holder.
    """
    if earlier.smaller(share) != earlier or not earlier.is_near(share, LEAST_GROWTH):
        return False
    return demand.smaller(share).smaller(earlier) == demand.smaller(share)


def _raise_to(largest: dict[CustomerId, Allowance], vectors: Vectors) -> None:
    for customer, vector in vectors.items():
        known = largest.get(customer)
        if known is None:
            largest[customer] = vector
        elif known is not vector:
            largest[customer] = known.larger(vector)


def _total(vectors: Iterable[Allowance]) -> Allowance:
    total = ZERO_ALLOWANCE
    for vector in vectors:
        total += vector
    return total


def _is_negligible(total: Allowance) -> bool:
    """Tell whether a running sum is only the rounding errors of its parts."""
    return max(total.as_tuple()) < NEGLIGIBLE


def _divide(
    demands: Mapping[MemberKey, Allowance],
    key: MemberKey,
    pool: Allowance,
    rotation: int,
) -> Allowance:
    keys = sorted(demands)
    index = keys.index(key)
    rates, requests, flows, sizes = zip(
        *(demands[row].as_tuple() for row in keys), strict=True
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
        whole(share.concurrent_requests),
        whole(share.open_flows),
        share.bytes_in_flight * (1 - WIRE_ROUNDING),
    )
