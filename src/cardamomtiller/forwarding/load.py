"""Load and silence of each upstream, estimated from the flows of this instance."""

from collections.abc import Iterator
from math import exp
from typing import NamedTuple

from cardamomtiller.forwarding.flows import Flow
from cardamomtiller.forwarding.packet import FlowKey, Token

# Time in which the weight of an unanswered request falls to a third.
UNANSWERED_DECAY_MS = 3000.0
# Weight of the newest latency in the running mean.
LATENCY_GAIN = 0.1
# An upstream that was slow gets flows again after this time without an answer.
MAX_LATENCY_AGE_MS = 3000.0


class SilenceOptions(NamedTuple):
    """
    When an upstream counts as silent.

    Attributes
    ----------
    unanswered_opens, retransmitting_flows
        Flows that got no answer since the last sign of life: openings that were
        repeated, or requests that were sent again.
    retry_ms
        How long a silent upstream gets no new flows before one tries it again.
    """

    unanswered_opens: int
    retransmitting_flows: int
    retry_ms: float


class UpstreamLoad:
    """
    Estimates for one upstream.

    Attributes
    ----------
    in_progress, open_flows
        Requests and flows that this instance has there.
    others_busy, others_unanswered
        Mean number of requests, and of unanswered ones, of the other instances, as
        they report.
    """

    __slots__ = (
        '_accumulated_until_ms',
        '_busy_total_ms',
        '_mean_updated_ms',
        '_unanswered_count',
        '_unanswered_updated_ms',
        'in_progress',
        'last_placed_ms',
        'last_response_ms',
        'latency_updated_ms',
        'mean_busy',
        'mean_latency_ms',
        'open_flows',
        'others_busy',
        'others_unanswered',
        'retransmitting_flows',
        'unanswered_opens',
    )

    def __init__(self) -> None:
        """Start with no flows and no history."""
        self.in_progress = 0
        self.open_flows = 0
        self.mean_busy: float = 0
        self.others_busy: float = 0
        self.others_unanswered: float = 0
        self.last_response_ms: float | None = None
        self.mean_latency_ms: float | None = None
        self.latency_updated_ms: float = 0
        self.unanswered_opens = 0
        self.retransmitting_flows = 0
        self.last_placed_ms: float = 0
        self._busy_total_ms: float = 0
        self._accumulated_until_ms: float = 0
        self._mean_updated_ms: float | None = None
        self._unanswered_count: float = 0
        self._unanswered_updated_ms: float = 0

    def change_in_progress(self, difference: int, now_ms: float) -> None:
        """Count requests that start or end."""
        self._accumulate(now_ms)
        self.in_progress = max(0, self.in_progress + difference)

    def update_mean_busy(self, now_ms: float, horizon_ms: float) -> None:
        """Update the mean number of requests in progress since the last call."""
        self._accumulate(now_ms)
        since_ms = self._mean_updated_ms
        self._mean_updated_ms = now_ms
        total_ms = self._busy_total_ms
        self._busy_total_ms = 0
        if since_ms is None or now_ms <= since_ms:
            return
        elapsed_ms = now_ms - since_ms
        gain = min(1.0, elapsed_ms / horizon_ms)
        self.mean_busy += gain * (total_ms / elapsed_ms - self.mean_busy)

    def _accumulate(self, now_ms: float) -> None:
        self._busy_total_ms += self.in_progress * (now_ms - self._accumulated_until_ms)
        self._accumulated_until_ms = now_ms

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Update the mean latency by one answer."""
        mean_ms = self.latency_ms(now_ms)
        if mean_ms is None:
            mean_ms = latency_ms
        self.mean_latency_ms = mean_ms + LATENCY_GAIN * (latency_ms - mean_ms)
        self.latency_updated_ms = now_ms

    def latency_ms(self, now_ms: float) -> float | None:
        """Return the mean latency, None if it is unknown or too old."""
        is_old = now_ms - self.latency_updated_ms > MAX_LATENCY_AGE_MS
        return None if is_old else self.mean_latency_ms

    def record_unanswered_request(self, now_ms: float) -> None:
        """Record a request that the upstream has left unanswered for long."""
        self._unanswered_count = self.unanswered(now_ms) + 1
        self._unanswered_updated_ms = now_ms

    def unanswered(self, now_ms: float) -> float:
        """Return the unanswered requests of the last seconds, older ones less."""
        return self._unanswered_count * exp(
            (self._unanswered_updated_ms - now_ms) / UNANSWERED_DECAY_MS
        )

    def record_response(self, now_ms: float) -> None:
        """Record a sign of life."""
        self.last_response_ms = now_ms
        self.unanswered_opens = 0
        self.retransmitting_flows = 0

    def record_unanswered_open(self) -> None:
        """Record an opening packet that got no answer in time."""
        self.unanswered_opens += 1

    def record_retransmitting_flow(self) -> None:
        """Record a flow that sent its request again."""
        self.retransmitting_flows += 1

    def is_silent(self, options: SilenceOptions) -> bool:
        """Return whether enough flows have had no answer."""
        return (
            self.unanswered_opens >= options.unanswered_opens
            or self.retransmitting_flows >= options.retransmitting_flows
        )


class LoadTable:
    """Estimates for all upstreams by token."""

    def __init__(self) -> None:
        """Start with no upstreams."""
        self._loads: dict[Token, UpstreamLoad] = {}
        # Flows with a request in progress, the oldest request first.
        self._flows_in_progress: dict[FlowKey, Flow] = {}

    def __iter__(self) -> Iterator[tuple[Token, UpstreamLoad]]:
        """Iterate over all upstreams."""
        return iter(tuple(self._loads.items()))

    def get_or_create(self, token: Token) -> UpstreamLoad:
        """Return the estimates for an upstream."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = UpstreamLoad()
        return load

    def retain(self, tokens: set[Token]) -> None:
        """Forget upstreams that are no longer known."""
        if len(self._loads) <= len(tokens):
            return
        for token in self._loads.keys() - tokens:
            del self._loads[token]

    def add_flow(self, flow: Flow) -> None:
        """Count a flow for its upstream."""
        self.get_or_create(flow.upstream.token).open_flows += 1

    def remove_flow(self, flow: Flow, now_ms: float) -> None:
        """Stop counting a flow and its request."""
        self.finish_request(flow, now_ms)
        load = self.get_or_create(flow.upstream.token)
        load.open_flows = max(0, load.open_flows - 1)

    def start_request(self, flow: Flow, now_ms: float) -> None:
        """Count a request of a flow as in progress."""
        if flow.request_started_ms is None:
            self.get_or_create(flow.upstream.token).change_in_progress(1, now_ms)
        flow.request_started_ms = now_ms
        flow.requests += 1
        self._flows_in_progress.pop(flow.key, None)
        self._flows_in_progress[flow.key] = flow

    def finish_request(self, flow: Flow, now_ms: float) -> None:
        """Stop counting the request of a flow."""
        if flow.request_started_ms is None:
            return
        flow.request_started_ms = None
        self._flows_in_progress.pop(flow.key, None)
        self.get_or_create(flow.upstream.token).change_in_progress(-1, now_ms)

    def finish_overdue_requests(self, longest_request_ms: float, now_ms: float) -> None:
        """Stop counting requests that run for longer than is plausible."""
        for flow in tuple(self._flows_in_progress.values()):
            if (
                flow.request_started_ms is None
                or now_ms - flow.request_started_ms <= longest_request_ms
            ):
                return
            self.finish_request(flow, now_ms)

    def record_answer(self, flow: Flow, now_ms: float) -> float | None:
        """Record an answer; return how long the request took, if one was open."""
        started_ms = flow.request_started_ms
        if started_ms is None:
            return None
        self.finish_request(flow, now_ms)
        elapsed_ms = now_ms - started_ms
        self.get_or_create(flow.upstream.token).record_latency(elapsed_ms, now_ms)
        return elapsed_ms
