"""Holder of shares: pledges floors to one grantor at a time."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from cardamomtiller.accounts.allowance import ZERO_ALLOWANCE, Allowance, LeaseTimes
from cardamomtiller.accounts.grantor import (
    Vectors,
    merge_vectors,
    write_changes,
    write_vectors,
)
from cardamomtiller.identity import CustomerId, Incarnation, InstanceId
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport

# Reports whose answers are still accepted.
REPORTS_KEPT = 64
# A demand that fell by less is not reported again.
LEAST_FALL = 0.15

GrantorKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of one grant."""

    grantor: GrantorKey
    of: Vectors
    end_ms: float


@dataclass(frozen=True, slots=True)
class _Contact:
    """Last stamp received from the present grantor."""

    grantor: GrantorKey
    stamp_ms: int
    received_ms: float


@dataclass(frozen=True, slots=True)
class _Pledge:
    """Floors that a grantor may count as its own."""

    grantor: GrantorKey
    begin_ms: float
    contact_ms: float


class Holder:
    """
    Pledge floors to one grantor at a time and use its shares in return.

    Floors are counted here and valued by the caller. A first pledge counts at
    the grantor only after one lease, so the holder uses its floors meanwhile.
    """

    def __init__(
        self,
        scope: str,
        own: InstanceId,
        incarnation: Incarnation,
        times: LeaseTimes,
        reclaim_ms: float,
    ) -> None:
        """Start without a grantor; all floors are free."""
        self.scope = scope
        self.grantor: InstanceId | None = None
        self._own = own
        self._incarnation = incarnation
        self._times = times
        self._reclaim_ms = reclaim_ms
        self._sequence = 0
        self._answered = 0
        self._sent_ms: dict[int, float] = {}
        self._reported: dict[int, Vectors] = {}
        # Report whose demands the present grantor is known to have.
        self._base = 0
        self._contact: _Contact | None = None
        self._pledge: _Pledge | None = None
        self._current: Shares | None = None
        # Shares as granted, before they were scaled to a lower plan.
        self._granted: Vectors = {}
        self._older: list[Shares] = []

    def set_grantor(self, grantor: InstanceId | None) -> None:
        """Report to another grantor from now on; the old pledge is waited out."""
        if grantor == self.grantor:
            return
        self.grantor = grantor
        self._contact = None
        self._sent_ms.clear()
        self._reported.clear()
        self._base = 0
        self._retire()

    def report(
        self,
        floors: int,
        published: int,
        now_ms: float,
    ) -> LeaseReport:
        """
        Return the next report, without demands.

        Parameters
        ----------
        floors
            Floors that may be pledged now.
        published
            Number of instances by which floors are divided.

        Notes
        -----
        Floors are pledged only to a grantor whose stamp is recent, and only
        while no other grantor may still count them.
        """
        self._sequence += 1
        self._sent_ms[self._sequence] = now_ms
        if len(self._sent_ms) > REPORTS_KEPT:
            self._sent_ms.pop(next(iter(self._sent_ms)))
        contact = self._contact
        self._begin_pledge(floors, now_ms)
        is_pledged = self._pledge is not None and (
            contact is not None and self._pledge.grantor == contact.grantor
        )
        return LeaseReport(
            scope=self.scope,
            holder=self._own,
            holder_incarnation=self._incarnation,
            sequence=self._sequence,
            echoed_stamp_ms=contact.stamp_ms if contact else 0,
            pledged_floors=floors if is_pledged else 0,
            published_instances=published,
        )

    def write_demands(
        self, report: LeaseReport, demands: Vectors, held: Vectors
    ) -> LeaseReport:
        """Add demands and use beyond the share to the latest report."""
        base = self._reported.get(self._base, {})
        report.base_sequence = self._base if self._base in self._reported else 0
        settled = {
            customer: _settled(demand, base.get(customer))
            for customer, demand in demands.items()
        }
        write_changes(report.demands, report.ended, base, settled)
        write_vectors(report.held, held)
        self._reported[report.sequence] = settled
        if len(self._reported) > REPORTS_KEPT:
            self._reported.pop(next(iter(self._reported)))
        return report

    def accept(self, grant: LeaseGrant, now_ms: float) -> bool:
        """
        Accept the answer to a report.

        Returns
        -------
        bool
            Whether it was accepted; one that is refused, older than another
            answer, or not from the present grantor is not.
        """
        sent_ms = self._sent_ms.get(grant.sequence)
        is_known = grant.scope == self.scope and grant.grantor == self.grantor
        if sent_ms is None or not is_known:
            return False
        if grant.is_refused:
            # The grantor may have lost the base of the report.
            self._base = 0
            return False
        key = (InstanceId(grant.grantor), Incarnation(grant.grantor_incarnation))
        if grant.sequence <= self._answered or self._is_from_older_process(key):
            return False
        base = self._base_of(grant, key)
        if base is None:
            return False
        self._answered = grant.sequence
        self._base = grant.sequence
        self._contact = _Contact(key, grant.stamp_ms, now_ms)
        if self._pledge is not None and self._pledge.grantor == key:
            self._pledge = replace(self._pledge, contact_ms=now_ms)
        if self._current is not None and self._current.grantor != key:
            self._retire()
        self._older = [row for row in self._older if row.grantor != key]
        # Counted from the sending of the report: the grantor counts from its
        # receipt, so the lease ends here first however late the grant is.
        lease_ms = min(grant.lease_ms, self._times.lease_ms)
        end_ms = sent_ms + lease_ms * self._times.held_ms / self._times.lease_ms
        shares = merge_vectors(base, grant.shares, grant.ended)
        self._current = Shares(key, shares, end_ms)
        self._granted = shares
        return True

    def is_free(self, now_ms: float) -> bool:
        """Tell whether no grantor can count the floors."""
        pledge = self._pledge
        if pledge is not None and now_ms >= pledge.contact_ms + self._reclaim_ms:
            # Also reached when the process was paused for the whole wait.
            self._pledge = None
        return self._pledge is None

    def own_floors(self, floors: int, now_ms: float) -> tuple[int, float]:
        """Return the floors that may be used directly, and until when."""
        if self.is_free(now_ms):
            return floors, float('inf')
        pledge = self._pledge
        if pledge is None:
            return 0, now_ms
        end_ms = pledge.begin_ms + self._times.held_ms
        if now_ms >= end_ms:
            return 0, now_ms
        return floors, end_ms

    def shares(self, now_ms: float) -> Iterator[Shares]:
        """Iterate over the grants in force, the latest one first."""
        if self._current is not None and self._current.end_ms > now_ms:
            yield self._current
        for row in self._older:
            if row.end_ms > now_ms:
                yield row

    def granted(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return the share of the latest grant, if it is in force."""
        current = self._current
        if current is None or current.end_ms <= now_ms:
            return ZERO_ALLOWANCE
        return current.of.get(customer, ZERO_ALLOWANCE)

    def is_smaller_than(self, before: Shares | None) -> bool:
        """Tell whether a share in the latest grant is smaller than before."""
        if before is None or self._current is None:
            return False
        after = self._current.of
        return any(
            after.get(customer, ZERO_ALLOWANCE).smaller(share) != share
            for customer, share in before.of.items()
        )

    def latest(self) -> Shares | None:
        """Return the latest grant, whether or not it is in force."""
        return self._current

    def latest_has(self, customer: CustomerId) -> bool:
        """Tell whether the latest grant names a customer."""
        return self._current is not None and customer in self._current.of

    def reclaimed_ms(self) -> float:
        """Return when a pledge ends unless the grantor answers again."""
        pledge = self._pledge
        return pledge.contact_ms + self._reclaim_ms if pledge else float('inf')

    def scale(self, factors: Mapping[CustomerId, Allowance]) -> None:
        """Lower the shares of customers whose plan was lowered."""
        if self._current is not None:
            self._current = _scaled(self._current, factors)
        self._older = [_scaled(row, factors) for row in self._older]

    def _begin_pledge(self, floors: int, now_ms: float) -> None:
        contact = self._contact
        if not self.is_free(now_ms) or contact is None or not floors:
            return
        if now_ms < contact.received_ms + self._times.silence_ms:
            self._pledge = _Pledge(contact.grantor, now_ms, contact.received_ms)

    def _base_of(self, grant: LeaseGrant, key: GrantorKey) -> Vectors | None:
        """Return the shares that a grant changes, or None if they are not held."""
        if not grant.base_stamp_ms:
            return {}
        contact = self._contact
        if contact is None or contact.grantor != key:
            return None
        return self._granted if contact.stamp_ms == grant.base_stamp_ms else None

    def _is_from_older_process(self, key: GrantorKey) -> bool:
        return self._contact is not None and key[1] < self._contact.grantor[1]

    def _retire(self) -> None:
        """Keep the shares of a former grantor until they end."""
        if self._current is not None:
            self._older = [*self._older, self._current]
            self._current = None


def _settled(demand: Allowance, before: Allowance | None) -> Allowance:
    """Return the demand of before if it has hardly fallen."""
    if before is None or demand.smaller(before) != demand:
        return demand
    return before if demand.is_near(before, LEAST_FALL) else demand


def _scaled(shares: Shares, factors: Mapping[CustomerId, Allowance]) -> Shares:
    changed = {
        customer: _product(share, factors[customer]) if customer in factors else share
        for customer, share in shares.of.items()
    }
    return replace(shares, of=changed)


def _product(left: Allowance, right: Allowance) -> Allowance:
    return Allowance(
        left.rate_per_s * right.rate_per_s,
        left.concurrent_requests * right.concurrent_requests,
        left.open_flows * right.open_flows,
        left.bytes_in_flight * right.bytes_in_flight,
    )
