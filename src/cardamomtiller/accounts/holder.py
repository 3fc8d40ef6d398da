"""Holder: pledges floors to one grantor at a time and uses the granted shares."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

from cardamomtiller.accounts.allowance import ZERO_ALLOWANCE, Allowance, LeaseTimes
from cardamomtiller.accounts.grantor import (
    AllowanceByCustomer,
    merge_changes,
    write_allowances,
    write_changes,
)
from cardamomtiller.identity import CustomerId, Incarnation, InstanceId
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport

# Latest reports whose grants are still accepted.
MAX_PENDING_REPORTS = 64
# A demand that decreased by less than this part is not reported again.
MIN_DEMAND_DECREASE = 0.15

GrantorKey = tuple[InstanceId, Incarnation]


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of one grant and the end of their lease."""

    grantor: GrantorKey
    by_customer: AllowanceByCustomer
    end_ms: float


@dataclass(frozen=True, slots=True)
class _Contact:
    """Last stamp received from the current grantor."""

    grantor: GrantorKey
    stamp_ms: int
    received_ms: float


@dataclass(frozen=True, slots=True)
class _Pledge:
    """Pledge of floors that a grantor may count in its pool."""

    grantor: GrantorKey
    begin_ms: float
    contact_ms: float


class Holder:
    """
    Pledge floors to one grantor at a time and use its shares in return.

    Floors are only counted here; the caller converts them to allowances. The
    grantor counts a new pledge only after one lease, so the holder may use its
    floors until then.
    """

    def __init__(
        self,
        scope: str,
        own_name: InstanceId,
        incarnation: Incarnation,
        times: LeaseTimes,
        reclaim_ms: float,
    ) -> None:
        """Create a holder without a grantor and without a pledge."""
        self.scope = scope
        self.grantor: InstanceId | None = None
        self._own_name = own_name
        self._incarnation = incarnation
        self._times = times
        self._reclaim_ms = reclaim_ms
        self._sequence = 0
        self._answered_sequence = 0
        self._sent_ms: dict[int, float] = {}
        self._reported_demands: dict[int, AllowanceByCustomer] = {}
        # Latest report that the current grantor answered; its demands are the base
        # of the next report.
        self._base_sequence = 0
        self._contact: _Contact | None = None
        self._pledge: _Pledge | None = None
        self._current_shares: Shares | None = None
        # Shares as granted, before ``scale_shares`` lowered them to a lower plan.
        self._unscaled_shares: AllowanceByCustomer = {}
        self._older_shares: list[Shares] = []

    def set_grantor(self, grantor: InstanceId | None) -> None:
        """Set the grantor of further reports; a pledge to the old one has to expire."""
        if grantor == self.grantor:
            return
        self.grantor = grantor
        self._contact = None
        self._sent_ms.clear()
        self._reported_demands.clear()
        self._base_sequence = 0
        self._retire_current()

    def report(
        self,
        floors: int,
        published_count: int,
        now_ms: float,
    ) -> LeaseReport:
        """
        Return the next report, without demands.

        Parameters
        ----------
        floors
            Floors that may be pledged now.
        published_count
            Number of instances among which a plan is divided into floors.

        Notes
        -----
        Floors are pledged only to a grantor whose stamp is recent, and only
        while no other grantor may still count them.
        """
        self._sequence += 1
        self._sent_ms[self._sequence] = now_ms
        if len(self._sent_ms) > MAX_PENDING_REPORTS:
            self._sent_ms.pop(next(iter(self._sent_ms)))
        contact = self._contact
        self._begin_pledge(floors, now_ms)
        is_pledged = self._pledge is not None and (
            contact is not None and self._pledge.grantor == contact.grantor
        )
        return LeaseReport(
            scope=self.scope,
            holder=self._own_name,
            holder_incarnation=self._incarnation,
            sequence=self._sequence,
            echoed_stamp_ms=contact.stamp_ms if contact else 0,
            pledged_floors=floors if is_pledged else 0,
            published_instances=published_count,
        )

    def write_demands(
        self,
        report: LeaseReport,
        demands: AllowanceByCustomer,
        held: AllowanceByCustomer,
    ) -> LeaseReport:
        """Add demands, and the usage beyond the share, to the latest report."""
        base = self._reported_demands.get(self._base_sequence, {})
        report.base_sequence = (
            self._base_sequence if self._base_sequence in self._reported_demands else 0
        )
        reported = {
            customer: _damped_demand(demand, base.get(customer))
            for customer, demand in demands.items()
        }
        write_changes(report.demands, report.ended, base, reported)
        write_allowances(report.held, held)
        self._reported_demands[report.sequence] = reported
        if len(self._reported_demands) > MAX_PENDING_REPORTS:
            self._reported_demands.pop(next(iter(self._reported_demands)))
        return report

    def accept(self, grant: LeaseGrant, now_ms: float) -> bool:
        """
        Apply the grant that answers a report.

        Returns
        -------
        bool
            Whether the grant was applied. It is ignored if it is a refusal, is
            not newer than the last applied grant, does not come from the
            current grantor, or changes shares that are not held.
        """
        sent_ms = self._sent_ms.get(grant.sequence)
        is_from_grantor = grant.scope == self.scope and grant.grantor == self.grantor
        if sent_ms is None or not is_from_grantor:
            return False
        if grant.is_refused:
            # The grantor may no longer have the base of the report.
            self._base_sequence = 0
            return False
        key = (InstanceId(grant.grantor), Incarnation(grant.grantor_incarnation))
        if grant.sequence <= self._answered_sequence or self._is_from_older_process(
            key
        ):
            return False
        base = self._base_shares(grant, key)
        if base is None:
            return False
        self._answered_sequence = grant.sequence
        self._base_sequence = grant.sequence
        self._contact = _Contact(key, grant.stamp_ms, now_ms)
        if self._pledge is not None and self._pledge.grantor == key:
            self._pledge = replace(self._pledge, contact_ms=now_ms)
        if self._current_shares is not None and self._current_shares.grantor != key:
            self._retire_current()
        self._older_shares = [
            older for older in self._older_shares if older.grantor != key
        ]
        # The lease is counted from the sending of the report. The grantor counts
        # it from the receipt, so it ends here first however late the grant arrives.
        lease_ms = min(grant.lease_ms, self._times.lease_ms)
        end_ms = sent_ms + lease_ms * self._times.holder_lease_ms / self._times.lease_ms
        shares = merge_changes(base, grant.shares, grant.ended)
        self._current_shares = Shares(key, shares, end_ms)
        self._unscaled_shares = shares
        return True

    def is_unpledged(self, now_ms: float) -> bool:
        """Return whether no grantor may count the floors."""
        pledge = self._pledge
        if pledge is not None and now_ms >= pledge.contact_ms + self._reclaim_ms:
            # This is also reached if the process was paused for the whole wait.
            self._pledge = None
        return self._pledge is None

    def usable_floors(self, floors: int, now_ms: float) -> tuple[int, float]:
        """Return the number of floors that may be used directly, and until when."""
        if self.is_unpledged(now_ms):
            return floors, float('inf')
        pledge = self._pledge
        if pledge is None:
            return 0, now_ms
        end_ms = pledge.begin_ms + self._times.holder_lease_ms
        if now_ms >= end_ms:
            return 0, now_ms
        return floors, end_ms

    def shares(self, now_ms: float) -> Iterator[Shares]:
        """Yield the shares of the grants in force, the latest grant first."""
        if self._current_shares is not None and self._current_shares.end_ms > now_ms:
            yield self._current_shares
        for older in self._older_shares:
            if older.end_ms > now_ms:
                yield older

    def granted_share(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return a customer's share of the latest grant; zero if the lease ended."""
        current = self._current_shares
        if current is None or current.end_ms <= now_ms:
            return ZERO_ALLOWANCE
        return current.by_customer.get(customer, ZERO_ALLOWANCE)

    def is_reduced_from(self, previous: Shares | None) -> bool:
        """Return whether the latest grant lowers a share of a previous grant."""
        if previous is None or self._current_shares is None:
            return False
        latest = self._current_shares.by_customer
        return any(
            latest.get(customer, ZERO_ALLOWANCE).minimum(share) != share
            for customer, share in previous.by_customer.items()
        )

    def latest_shares(self) -> Shares | None:
        """Return the shares of the latest grant, whether or not it is in force."""
        return self._current_shares

    def latest_includes(self, customer: CustomerId) -> bool:
        """Return whether the latest grant has a share for a customer."""
        return (
            self._current_shares is not None
            and customer in self._current_shares.by_customer
        )

    def reclaim_at_ms(self) -> float:
        """Return when the floors are reclaimed if the grantor does not answer again."""
        pledge = self._pledge
        return pledge.contact_ms + self._reclaim_ms if pledge else float('inf')

    def scale_shares(self, factors: Mapping[CustomerId, Allowance]) -> None:
        """Lower the shares of customers by the factors of their lowered plans."""
        if self._current_shares is not None:
            self._current_shares = _scaled_shares(self._current_shares, factors)
        self._older_shares = [
            _scaled_shares(older, factors) for older in self._older_shares
        ]

    def _begin_pledge(self, floors: int, now_ms: float) -> None:
        contact = self._contact
        if not self.is_unpledged(now_ms) or contact is None or not floors:
            return
        if now_ms < contact.received_ms + self._times.silence_ms:
            self._pledge = _Pledge(contact.grantor, now_ms, contact.received_ms)

    def _base_shares(
        self, grant: LeaseGrant, key: GrantorKey
    ) -> AllowanceByCustomer | None:
        """Return the shares that a grant changes, or None if they are not held."""
        if not grant.base_stamp_ms:
            return {}
        contact = self._contact
        if contact is None or contact.grantor != key:
            return None
        return (
            self._unscaled_shares if contact.stamp_ms == grant.base_stamp_ms else None
        )

    def _is_from_older_process(self, key: GrantorKey) -> bool:
        return self._contact is not None and key[1] < self._contact.grantor[1]

    def _retire_current(self) -> None:
        """Keep the current shares, now of a former grantor, until their lease ends."""
        if self._current_shares is not None:
            self._older_shares = [*self._older_shares, self._current_shares]
            self._current_shares = None


def _damped_demand(demand: Allowance, previous: Allowance | None) -> Allowance:
    """Return the previous demand if the new one is only a little lower."""
    if previous is None or demand.minimum(previous) != demand:
        return demand
    return previous if demand.is_near(previous, MIN_DEMAND_DECREASE) else demand


def _scaled_shares(shares: Shares, factors: Mapping[CustomerId, Allowance]) -> Shares:
    changed = {
        customer: _product(share, factors[customer]) if customer in factors else share
        for customer, share in shares.by_customer.items()
    }
    return replace(shares, by_customer=changed)


def _product(left: Allowance, right: Allowance) -> Allowance:
    return Allowance(
        left.rate_per_s * right.rate_per_s,
        left.concurrent_requests * right.concurrent_requests,
        left.open_flows * right.open_flows,
        left.bytes_in_flight * right.bytes_in_flight,
    )
