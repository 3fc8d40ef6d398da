"""Limits of each customer on one instance, under its leased share."""

import math
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from cardamomtiller.accounts.allowance import ZERO_ALLOWANCE, Allowance, whole
from cardamomtiller.accounts.bucket import TokenBucket
from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.accounts.traffic import Traffic
from cardamomtiller.identity import MS_PER_S, CustomerId
from cardamomtiller.wire_pb2 import Reason

# A refused customer is told to wait at most this long; its share may have grown
# by then.
LONGEST_RETRY_MS = 1000
# When a stock is used up, nothing tells when a part of it is released.
STOCK_RETRY_MS = 50
# Use of a share from which more is asked for before anything is refused.
NEAR_LIMIT = 0.8
# Growth of demand since the last report that makes it worth another at once.
DEMAND_GROWTH = 1.25
# Demand of one customer is compared at most this often.
LEAST_ASK_MS = 10
# A customer keeps a part of the unused allowance for this time after its last
# traffic, so that its next request is not refused for want of a share.
LINGER_MS = 10_000
# Time in which the first report of a customer brings a share.
FIRST_RETRY_MS = 50


class PermitKind(Enum):
    """What a permit stands for."""

    REQUEST = 'request'
    FLOW = 'flow'


@dataclass(frozen=True, slots=True)
class Permit:
    """An admitted request or flow, to be released once."""

    serial: int
    customer: CustomerId
    kind: PermitKind
    bytes_count: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why something was not admitted, and when to ask again."""

    reason: Reason.ValueType
    retry_after_ms: int


class _Usage:
    """Share, bucket and use of one customer."""

    __slots__ = (
        'asked_ms',
        'bucket',
        'flow_limit',
        'generation',
        'reported',
        'request_limit',
        'seen_ms',
        'share',
        'traffic',
        'until_ms',
    )

    def __init__(self, now_ms: float) -> None:
        """Start without a share."""
        self.share = ZERO_ALLOWANCE
        self.until_ms = -math.inf
        self.asked_ms = -math.inf
        self.seen_ms = now_ms
        self.generation = -1
        self.bucket: TokenBucket | None = None
        self.request_limit = 0
        self.flow_limit = 0
        self.traffic = Traffic(now_ms)
        self.reported = ZERO_ALLOWANCE

    def refresh(self, share: Allowance, burst_ms: float, now_ms: float) -> None:
        """Take over a share."""
        rate_per_s = share.rate_per_s
        burst = rate_per_s * burst_ms / MS_PER_S
        if self.bucket is None:
            self.bucket = TokenBucket(rate_per_s, burst, now_ms)
        if share != self.share:
            # A bucket below one token would never admit anything.
            self.bucket.set_rate(rate_per_s, max(1, burst), now_ms)
        self.share = share
        self.request_limit = whole(share.concurrent_requests)
        self.flow_limit = whole(share.open_flows)


class Admission:
    """
    Admit requests and flows of customers within their shares.

    Use above a share that was lowered stays admitted; nothing new is.
    """

    def __init__(self, lease: LeaseAgent, burst_ms: float) -> None:
        """Admit under the shares of ``lease``; a bucket holds ``burst_ms``."""
        self._lease = lease
        self._burst_ms = burst_ms
        self._usages: dict[CustomerId, _Usage] = {}
        self._open: set[int] = set()
        self._serial = 0

    def admit_request(
        self, customer: CustomerId, bytes_count: int, now_ms: float
    ) -> Result[Permit, Refusal]:
        """
        Admit one request, or tell when to ask again.

        Parameters
        ----------
        customer
            Who asks.
        bytes_count
            Size of the request, in flight until the permit is released.

        Returns
        -------
        Result
            Permit to be released once, or the refusal.
        """
        usage = self._usages.get(customer)
        if (
            usage is None
            or now_ms >= usage.until_ms
            or usage.generation != self._lease.generation
        ):
            usage = self._refresh(customer, now_ms)
        bucket = usage.bucket
        if bucket is None:
            return Failure(Refusal(Reason.REASON_UNKNOWN_CUSTOMER, LONGEST_RETRY_MS))
        traffic = usage.traffic
        traffic.offer_request(now_ms)
        share = usage.share
        in_flight = traffic.bytes_in_flight + bytes_count
        if traffic.requests >= usage.request_limit or in_flight > share.bytes_in_flight:
            traffic.refuse_request(bytes_count)
            return self._refuse(usage, STOCK_RETRY_MS, now_ms)
        if not bucket.take(1, now_ms):
            return self._refuse(usage, bucket.wait_ms(1, now_ms), now_ms)
        traffic.admit_request(bytes_count)
        if (
            traffic.requests > NEAR_LIMIT * usage.request_limit
            or in_flight > NEAR_LIMIT * share.bytes_in_flight
            or bucket.is_low()
        ):
            self._ask_for_more(usage, now_ms)
        return Success(self._permit(customer, PermitKind.REQUEST, bytes_count))

    def admit_flow(
        self, customer: CustomerId, now_ms: float
    ) -> Result[Permit, Refusal]:
        """Admit one flow, or tell when to ask again."""
        usage = self._refresh(customer, now_ms)
        if usage.bucket is None:
            return Failure(Refusal(Reason.REASON_UNKNOWN_CUSTOMER, LONGEST_RETRY_MS))
        traffic = usage.traffic
        if traffic.flows >= usage.flow_limit:
            traffic.refuse_flow(now_ms)
            return self._refuse(usage, STOCK_RETRY_MS, now_ms)
        traffic.admit_flow(now_ms)
        if traffic.flows > NEAR_LIMIT * usage.flow_limit:
            self._ask_for_more(usage, now_ms)
        return Success(self._permit(customer, PermitKind.FLOW, 0))

    def adopt_flow(self, customer: CustomerId, now_ms: float) -> Permit:
        """Count a flow that is already open, whether or not it is within the share."""
        usage = self._refresh(customer, now_ms)
        usage.traffic.admit_flow(now_ms)
        return self._permit(customer, PermitKind.FLOW, 0)

    def release(self, permit: Permit, now_ms: float) -> None:
        """Release what a permit holds; a second release has no effect."""
        if permit.serial not in self._open:
            return
        self._open.remove(permit.serial)
        usage = self._usages.get(permit.customer)
        if usage is None:
            # Adopted for a customer that has no plan.
            return
        traffic = usage.traffic
        traffic.roll(now_ms)
        if permit.kind is PermitKind.FLOW:
            traffic.flows = max(0, traffic.flows - 1)
        else:
            traffic.requests -= 1
            traffic.bytes_in_flight -= permit.bytes_count

    def demand(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return what a customer asks for here, refusals included."""
        usage = self._usages.get(customer)
        if usage is None:
            return ZERO_ALLOWANCE
        return usage.traffic.demand(now_ms).smaller(self._lease.plan(customer))

    def use(self, customer: CustomerId) -> Allowance:
        """Return the stocks that a customer uses here; the rate is zero."""
        usage = self._usages.get(customer)
        return usage.traffic.use() if usage else ZERO_ALLOWANCE

    def is_urgent_report_due(self, now_ms: float) -> bool:
        """Tell whether a report is to be sent now."""
        return self._lease.next_report_ms() <= now_ms

    def publish_demand(self, now_ms: float) -> None:
        """Hand demand and use to the lease; to be called before its reports."""
        demands: dict[CustomerId, Allowance] = {}
        uses: dict[CustomerId, Allowance] = {}
        for customer, usage in tuple(self._usages.items()):
            demand = self.demand(customer, now_ms)
            usage.reported = demand
            if demand != ZERO_ALLOWANCE:
                usage.seen_ms = now_ms
            if now_ms < usage.seen_ms + LINGER_MS:
                demands[customer] = demand
                uses[customer] = usage.traffic.use()
            elif self._is_rested(usage, now_ms):
                self._usages.pop(customer)
        self._lease.set_traffic(demands, uses)

    def _refresh(self, customer: CustomerId, now_ms: float) -> _Usage:
        usage = self._usages.get(customer)
        plan = self._lease.plan(customer)
        if usage is None:
            usage = _Usage(now_ms)
            if plan == ZERO_ALLOWANCE:
                return usage
            self._usages[customer] = usage
        share, until_ms = self._lease.share_until(customer, now_ms)
        usage.until_ms = until_ms
        usage.generation = self._lease.generation
        usage.refresh(share, self._burst_ms, now_ms)
        return usage

    def _is_rested(self, usage: _Usage, now_ms: float) -> bool:
        """Tell whether a new bucket would hold no more than this one."""
        if usage.bucket is None or not usage.traffic.is_idle():
            return usage.bucket is None
        burst = usage.share.rate_per_s * self._burst_ms / MS_PER_S
        return usage.bucket.level(now_ms) >= burst

    def _refuse(
        self, usage: _Usage, wait_ms: float, now_ms: float
    ) -> Result[Permit, Refusal]:
        if usage.reported == ZERO_ALLOWANCE:
            wait_ms = min(wait_ms, FIRST_RETRY_MS)
        self._ask_for_more(usage, now_ms)
        retry_after_ms = max(1, math.ceil(min(wait_ms, LONGEST_RETRY_MS)))
        return Failure(Refusal(Reason.REASON_OVER_ALLOWANCE, retry_after_ms))

    def _ask_for_more(self, usage: _Usage, now_ms: float) -> None:
        if now_ms < usage.asked_ms + LEAST_ASK_MS:
            return
        usage.asked_ms = now_ms
        demand = usage.traffic.demand(now_ms)
        least = usage.reported.scaled(DEMAND_GROWTH)
        self._lease.request_report(is_new=demand.smaller(least) != demand)

    def _permit(
        self, customer: CustomerId, kind: PermitKind, bytes_count: int
    ) -> Permit:
        self._serial += 1
        self._open.add(self._serial)
        return Permit(self._serial, customer, kind, bytes_count)
