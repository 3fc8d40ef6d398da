"""Admission of requests and flows of customers within their leased shares."""

import math
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from cardamomtiller.accounts.allowance import ZERO_ALLOWANCE, Allowance, whole_units
from cardamomtiller.accounts.bucket import TokenBucket
from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.accounts.traffic import Traffic
from cardamomtiller.identity import MS_PER_S, CustomerId
from cardamomtiller.wire_pb2 import Reason

# Longest retry delay of a refusal; the share of the customer may grow meanwhile.
MAX_RETRY_MS = 1000
# Retry delay at a limit of requests, flows or bytes in use. The time of their next
# release is unknown.
CONCURRENCY_RETRY_MS = 50
# Used part of a share from which an early report requests more, before a refusal.
NEAR_LIMIT_RATIO = 0.8
# Growth of the demand since the last report from which it counts as a new need.
DEMAND_GROWTH_FACTOR = 1.25
# Shortest interval between early reports that one customer requests.
MIN_REPORT_REQUEST_MS = 10
# Time after its last traffic for which a customer stays in the reports. It keeps a
# part of the unused allowance, so that its next request is not refused.
IDLE_RETENTION_MS = 10_000
# Longest retry delay of a customer whose demand is not yet reported; the grant for
# its first report usually arrives by then.
FIRST_SHARE_RETRY_MS = 50


class PermitKind(Enum):
    """Kind of use that a permit admits."""

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
    """Reason for a refusal and the delay before the next attempt."""

    reason: Reason.ValueType
    retry_after_ms: int


class _CustomerState:
    """Share, token bucket and traffic of one customer."""

    __slots__ = (
        'bucket',
        'flow_limit',
        'generation',
        'last_demand_ms',
        'report_requested_ms',
        'reported_demand',
        'request_limit',
        'share',
        'share_until_ms',
        'traffic',
    )

    def __init__(self, now_ms: float) -> None:
        """Create the state of a customer without a share."""
        self.share = ZERO_ALLOWANCE
        self.share_until_ms = -math.inf
        self.report_requested_ms = -math.inf
        self.last_demand_ms = now_ms
        self.generation = -1
        self.bucket: TokenBucket | None = None
        self.request_limit = 0
        self.flow_limit = 0
        self.traffic = Traffic(now_ms)
        self.reported_demand = ZERO_ALLOWANCE

    def set_share(self, share: Allowance, burst_ms: float, now_ms: float) -> None:
        """Apply a share to the bucket and the limits."""
        rate_per_s = share.rate_per_s
        burst = rate_per_s * burst_ms / MS_PER_S
        if self.bucket is None:
            self.bucket = TokenBucket(rate_per_s, burst, now_ms)
        if share != self.share:
            # A bucket that holds less than one token would never admit a request.
            self.bucket.set_rate(rate_per_s, max(1, burst), now_ms)
        self.share = share
        self.request_limit = whole_units(share.concurrent_requests)
        self.flow_limit = whole_units(share.open_flows)


class Admission:
    """
    Admit requests and flows of customers within their shares.

    When a share is lowered, admitted requests and flows above it continue, but
    no new ones are admitted.
    """

    def __init__(self, lease: LeaseAgent, burst_ms: float) -> None:
        """Use the shares of ``lease``; a bucket holds the tokens of ``burst_ms``."""
        self._lease = lease
        self._burst_ms = burst_ms
        self._states: dict[CustomerId, _CustomerState] = {}
        self._open_permits: set[int] = set()
        self._last_serial = 0

    def admit_request(
        self, customer: CustomerId, bytes_count: int, now_ms: float
    ) -> Result[Permit, Refusal]:
        """
        Admit one request, or refuse it with a retry delay.

        Parameters
        ----------
        customer
            Client account of the request.
        bytes_count
            Size of the request, in flight until the permit is released.

        Returns
        -------
        Result
            Permit to be released once, or the refusal.
        """
        state = self._states.get(customer)
        if (
            state is None
            or now_ms >= state.share_until_ms
            or state.generation != self._lease.generation
        ):
            state = self._refresh_state(customer, now_ms)
        bucket = state.bucket
        if bucket is None:
            return Failure(Refusal(Reason.REASON_UNKNOWN_CUSTOMER, MAX_RETRY_MS))
        traffic = state.traffic
        traffic.offer_request(now_ms)
        share = state.share
        in_flight = traffic.bytes_in_flight + bytes_count
        if traffic.requests >= state.request_limit or in_flight > share.bytes_in_flight:
            traffic.refuse_request(bytes_count)
            return self._refuse(state, CONCURRENCY_RETRY_MS, now_ms)
        if not bucket.take(1, now_ms):
            return self._refuse(state, bucket.wait_ms(1, now_ms), now_ms)
        traffic.admit_request(bytes_count)
        if (
            traffic.requests > NEAR_LIMIT_RATIO * state.request_limit
            or in_flight > NEAR_LIMIT_RATIO * share.bytes_in_flight
            or bucket.is_low()
        ):
            self._request_report(state, now_ms)
        return Success(self._issue_permit(customer, PermitKind.REQUEST, bytes_count))

    def admit_flow(
        self, customer: CustomerId, now_ms: float
    ) -> Result[Permit, Refusal]:
        """Admit one flow, or refuse it with a retry delay."""
        state = self._refresh_state(customer, now_ms)
        if state.bucket is None:
            return Failure(Refusal(Reason.REASON_UNKNOWN_CUSTOMER, MAX_RETRY_MS))
        traffic = state.traffic
        if traffic.flows >= state.flow_limit:
            traffic.refuse_flow(now_ms)
            return self._refuse(state, CONCURRENCY_RETRY_MS, now_ms)
        traffic.admit_flow(now_ms)
        if traffic.flows > NEAR_LIMIT_RATIO * state.flow_limit:
            self._request_report(state, now_ms)
        return Success(self._issue_permit(customer, PermitKind.FLOW, 0))

    def adopt_flow(self, customer: CustomerId, now_ms: float) -> Permit:
        """Count a flow that is already open, whether or not it is within the share."""
        state = self._refresh_state(customer, now_ms)
        state.traffic.admit_flow(now_ms)
        return self._issue_permit(customer, PermitKind.FLOW, 0)

    def release(self, permit: Permit, now_ms: float) -> None:
        """Release what a permit holds; a second release has no effect."""
        if permit.serial not in self._open_permits:
            return
        self._open_permits.remove(permit.serial)
        state = self._states.get(permit.customer)
        if state is None:
            # The flow was adopted for a customer without a plan.
            return
        traffic = state.traffic
        traffic.advance(now_ms)
        if permit.kind is PermitKind.FLOW:
            traffic.flows = max(0, traffic.flows - 1)
        else:
            traffic.requests -= 1
            traffic.bytes_in_flight -= permit.bytes_count

    def demand(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return the demand of a customer on this instance, refusals included."""
        state = self._states.get(customer)
        if state is None:
            return ZERO_ALLOWANCE
        return state.traffic.demand(now_ms).minimum(self._lease.plan(customer))

    def usage(self, customer: CustomerId) -> Allowance:
        """Return the amounts that a customer uses here; the rate is zero."""
        state = self._states.get(customer)
        return state.traffic.usage() if state else ZERO_ALLOWANCE

    def is_report_due(self, now_ms: float) -> bool:
        """Return whether a lease report is due."""
        return self._lease.next_report_ms() <= now_ms

    def publish_demand(self, now_ms: float) -> None:
        """Pass demand and usage to the lease agent; call this before its reports."""
        demands: dict[CustomerId, Allowance] = {}
        usages: dict[CustomerId, Allowance] = {}
        for customer, state in tuple(self._states.items()):
            demand = self.demand(customer, now_ms)
            state.reported_demand = demand
            if demand != ZERO_ALLOWANCE:
                state.last_demand_ms = now_ms
            if now_ms < state.last_demand_ms + IDLE_RETENTION_MS:
                demands[customer] = demand
                usages[customer] = state.traffic.usage()
            elif self._is_removable(state, now_ms):
                self._states.pop(customer)
        self._lease.set_traffic(demands, usages)

    def _refresh_state(self, customer: CustomerId, now_ms: float) -> _CustomerState:
        state = self._states.get(customer)
        plan = self._lease.plan(customer)
        if state is None:
            state = _CustomerState(now_ms)
            if plan == ZERO_ALLOWANCE:
                return state
            self._states[customer] = state
        share, until_ms = self._lease.share_until(customer, now_ms)
        state.share_until_ms = until_ms
        state.generation = self._lease.generation
        state.set_share(share, self._burst_ms, now_ms)
        return state

    def _is_removable(self, state: _CustomerState, now_ms: float) -> bool:
        """Return whether a new bucket would hold no more tokens than this one."""
        if state.bucket is None or not state.traffic.is_idle():
            return state.bucket is None
        burst = state.share.rate_per_s * self._burst_ms / MS_PER_S
        return state.bucket.level(now_ms) >= burst

    def _refuse(
        self, state: _CustomerState, wait_ms: float, now_ms: float
    ) -> Result[Permit, Refusal]:
        if state.reported_demand == ZERO_ALLOWANCE:
            wait_ms = min(wait_ms, FIRST_SHARE_RETRY_MS)
        self._request_report(state, now_ms)
        retry_after_ms = max(1, math.ceil(min(wait_ms, MAX_RETRY_MS)))
        return Failure(Refusal(Reason.REASON_OVER_ALLOWANCE, retry_after_ms))

    def _request_report(self, state: _CustomerState, now_ms: float) -> None:
        if now_ms < state.report_requested_ms + MIN_REPORT_REQUEST_MS:
            return
        state.report_requested_ms = now_ms
        demand = state.traffic.demand(now_ms)
        worthwhile_demand = state.reported_demand.scaled(DEMAND_GROWTH_FACTOR)
        self._lease.request_report(is_new=demand.minimum(worthwhile_demand) != demand)

    def _issue_permit(
        self, customer: CustomerId, kind: PermitKind, bytes_count: int
    ) -> Permit:
        self._last_serial += 1
        self._open_permits.add(self._last_serial)
        return Permit(self._last_serial, customer, kind, bytes_count)
