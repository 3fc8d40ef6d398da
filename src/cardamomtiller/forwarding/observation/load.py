"""Load estimate of each upstream, and whether it has stopped responding.

The estimates come from the flows that pass through this instance, and from the load
reports of other instances.
"""

from collections.abc import Iterator
from math import exp
from typing import NamedTuple

from cardamomtiller.forwarding.observation.flows import Flow, FlowOptions
from cardamomtiller.forwarding.packet import FlowKey, Token
from cardamomtiller.ids import ServiceName

# Time constant: an unanswered request counts 1/e of its weight after this time.
UNANSWERED_DECAY_MS = 3000.0
# Time constant: an answer counts 1/e of its weight after this time. An upstream that
# gets no flows because it failed is tried again after a few times as long.
ANSWER_DECAY_MS = 5000.0
# Weight of the newest sample in the exponential moving average of the latency.
LATENCY_GAIN = 0.1
# An older mean latency is ignored, so that an upstream that was slow once and got no
# flows since is tried again.
MAX_LATENCY_AGE_MS = 3000.0
# Reports over which the share of this instance in all requests is averaged. An instance
# has few requests in progress, so single values say little, and just after its start
# the share is low.
OWN_SHARE_SAMPLES = 30
# The load of the other instances counts as unknown when their reports are older.
MAX_REPORT_AGE_MS = 1500.0


class SilenceOptions(NamedTuple):
    """
    Limits above which an upstream counts as silent.

    Attributes
    ----------
    unanswered_opens
        Repeated opening packets since the last response of the upstream.
    retransmitting_flows
        Flows that retransmitted a request since the last response of the upstream.
    retry_ms
        Time after placing a flow on a silent upstream until it may get another one
        without extra cost.
    """

    unanswered_opens: int
    retransmitting_flows: int
    retry_ms: float


class UpstreamLoad:
    """
    Load estimate of one upstream.

    Attributes
    ----------
    in_progress
        Requests of this instance that have no answer yet.
    open_flows
        Open flows of this instance.
    mean_busy
        Moving average of ``in_progress``.
    others_busy
        Mean number of requests in progress that the other instances report.
    others_unanswered
        Number of unanswered requests that the other instances report.
    answers, short_answers
        Number of recent answers of this instance's flows, and of those that were much
        shorter than usual, with exponential decay by age.
    others_answers, others_short_answers
        The same numbers that the other instances report.
    short_excess
        How much the share of short answers exceeds that of the other upstreams.
    last_response_ms
        Time of the last acknowledgement or answer, None if there was none.
    unanswered_opens, retransmitting_flows
        Counts since the last response; see `SilenceOptions`.
    last_placed_ms
        Time when a flow was last placed on the upstream.
    credit
        Flows that the upstream is owed by its share, negative if it got more; None
        before the first one.
    correction
        Factor of its share, which the load reports correct.
    corrected_ms
        Time of the last change of the correction.
    """

    __slots__ = (
        '_accumulated_until_ms',
        '_busy_total_ms',
        '_mean_updated_ms',
        '_unanswered_count',
        '_unanswered_updated_ms',
        'answers',
        'corrected_ms',
        'correction',
        'credit',
        'in_progress',
        'last_placed_ms',
        'last_response_ms',
        'latency_updated_ms',
        'mean_busy',
        'mean_latency_ms',
        'open_flows',
        'others_answers',
        'others_busy',
        'others_short_answers',
        'others_unanswered',
        'retransmitting_flows',
        'short_answers',
        'short_excess',
        'unanswered_opens',
    )

    def __init__(self) -> None:
        """Initialise an estimate with no flows and no responses."""
        self.in_progress = 0
        self.open_flows = 0
        self.mean_busy: float = 0
        self.others_busy: float = 0
        self.others_unanswered: float = 0
        self.answers: float = 0
        self.short_answers: float = 0
        self.others_answers: float = 0
        self.others_short_answers: float = 0
        self.short_excess: float = 0
        self.last_response_ms: float | None = None
        self.mean_latency_ms: float | None = None
        self.latency_updated_ms: float = 0
        self.unanswered_opens = 0
        self.retransmitting_flows = 0
        self.last_placed_ms: float = 0
        self.credit: float | None = None
        self.correction: float = 1
        self.corrected_ms: float = 0
        self._busy_total_ms: float = 0
        self._accumulated_until_ms: float = 0
        self._mean_updated_ms: float | None = None
        self._unanswered_count: float = 0
        self._unanswered_updated_ms: float = 0

    def change_in_progress(self, difference: int, now_ms: float) -> None:
        """Add a number of requests to those in progress; negative if they end."""
        self._accumulate(now_ms)
        self.in_progress = max(0, self.in_progress + difference)

    def update_mean_busy(self, now_ms: float, horizon_ms: float) -> None:
        """
        Update the moving average of the requests in progress.

        Parameters
        ----------
        now_ms
            Current time.
        horizon_ms
            Time over which the average is taken.
        """
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
        """Add the latency of an answer to the moving average."""
        mean_ms = self.latency_ms(now_ms)
        if mean_ms is None:
            mean_ms = latency_ms
        self.mean_latency_ms = mean_ms + LATENCY_GAIN * (latency_ms - mean_ms)
        self.latency_updated_ms = now_ms

    def latency_ms(self, now_ms: float) -> float | None:
        """Return the mean latency, or None if no answer arrived recently."""
        is_old = now_ms - self.latency_updated_ms > MAX_LATENCY_AGE_MS
        return None if is_old else self.mean_latency_ms

    def record_unanswered_request(self, now_ms: float) -> None:
        """Record a request that was retransmitted twice without an answer."""
        self._unanswered_count = self.unanswered(now_ms) + 1
        self._unanswered_updated_ms = now_ms

    def unanswered(self, now_ms: float) -> float:
        """Return the number of unanswered requests, with exponential decay by age."""
        return self._unanswered_count * exp(
            (self._unanswered_updated_ms - now_ms) / UNANSWERED_DECAY_MS
        )

    def record_answer_size(self, is_short: bool) -> None:
        """Count an answer."""
        self.answers += 1
        self.short_answers += is_short

    def decay_answers(self, factor: float) -> None:
        """Reduce the numbers of recent answers."""
        self.answers *= factor
        self.short_answers *= factor

    def record_response(self, now_ms: float) -> None:
        """Record a response of the upstream and reset the silence counters."""
        self.last_response_ms = now_ms
        self.unanswered_opens = 0
        self.retransmitting_flows = 0

    def record_unanswered_open(self) -> None:
        """Record that a client repeated an opening packet for lack of an answer."""
        self.unanswered_opens += 1

    def record_retransmitting_flow(self) -> None:
        """Record that a flow retransmitted its request."""
        self.retransmitting_flows += 1

    def is_silent(self, options: SilenceOptions) -> bool:
        """Return whether one of the silence counters has reached its limit."""
        return (
            self.unanswered_opens >= options.unanswered_opens
            or self.retransmitting_flows >= options.retransmitting_flows
        )


class LoadTable:
    """Load estimates of all upstreams by token."""

    def __init__(self) -> None:
        """Initialise an empty table."""
        self._loads: dict[Token, UpstreamLoad] = {}
        # Flows with a request in progress, ordered by the start of the request.
        self._flows_in_progress: dict[FlowKey, Flow] = {}
        # Time of the last update with a report of another instance.
        self.others_reported_ms: float | None = None
        # Share of this instance in all requests in progress, averaged over
        # OWN_SHARE_SAMPLES updates; 1 until there have been that many.
        self.own_share: float = 1
        self._mean_own_share: float = 0
        self._own_share_samples = 0

    def __iter__(self) -> Iterator[tuple[Token, UpstreamLoad]]:
        """Iterate over a snapshot of all tokens and estimates."""
        return iter(tuple(self._loads.items()))

    @property
    def total_in_progress(self) -> int:
        """Number of requests of this instance in progress at all upstreams."""
        return len(self._flows_in_progress)

    def count_started_after(self, service: ServiceName, since_ms: float) -> int:
        """Return the requests of a service in progress that started after a time."""
        count = 0
        for flow in reversed(self._flows_in_progress.values()):
            if flow.request_started_ms is None or flow.request_started_ms < since_ms:
                break
            count += flow.upstream.entry.service == service
        return count

    def get_or_create(self, token: Token) -> UpstreamLoad:
        """Return the estimate of an upstream; create it if there is none."""
        load = self._loads.get(token)
        if load is None:
            load = self._loads[token] = UpstreamLoad()
        return load

    def retain(self, tokens: set[Token]) -> None:
        """Delete the estimates of all upstreams except those of the given tokens."""
        if len(self._loads) <= len(tokens):
            return
        for token in self._loads.keys() - tokens:
            del self._loads[token]

    def update_own_share(self) -> None:
        """Update the share of this instance with the loads that are known now."""
        own_busy = sum(load.mean_busy for load in self._loads.values())
        others_busy = sum(load.others_busy for load in self._loads.values())
        if others_busy <= 0:
            return
        sample = own_busy / (own_busy + others_busy)
        self._own_share_samples = min(OWN_SHARE_SAMPLES, self._own_share_samples + 1)
        difference = sample - self._mean_own_share
        self._mean_own_share += difference / self._own_share_samples
        if self._own_share_samples == OWN_SHARE_SAMPLES:
            self.own_share = self._mean_own_share

    def add_flow(self, flow: Flow) -> None:
        """Count a flow as open at its upstream."""
        self.get_or_create(flow.upstream.token).open_flows += 1

    def remove_flow(self, flow: Flow, now_ms: float) -> None:
        """Stop counting a flow, and its request if one is in progress."""
        self.finish_request(flow, now_ms)
        load = self.get_or_create(flow.upstream.token)
        load.open_flows = max(0, load.open_flows - 1)

    def start_request(self, flow: Flow, now_ms: float) -> None:
        """Count a request of a flow as in progress; restart one that already is."""
        if flow.request_started_ms is None:
            self.get_or_create(flow.upstream.token).change_in_progress(1, now_ms)
        flow.request_started_ms = now_ms
        flow.requests += 1
        self._flows_in_progress.pop(flow.key, None)
        self._flows_in_progress[flow.key] = flow

    def finish_request(self, flow: Flow, now_ms: float) -> None:
        """Stop counting the request of a flow, if one is in progress."""
        if flow.request_started_ms is None:
            return
        flow.request_started_ms = None
        self._flows_in_progress.pop(flow.key, None)
        self.get_or_create(flow.upstream.token).change_in_progress(-1, now_ms)

    def finish_overdue_requests(self, options: FlowOptions, now_ms: float) -> None:
        """
        Stop counting requests that have run for too long, and abandoned openings.

        A request whose answer is never observed would otherwise count as load until
        its flow ends.
        """
        min_limit_ms = min(options.max_request_ms, options.max_handshake_ms)
        for flow in tuple(self._flows_in_progress.values()):
            started_ms = flow.request_started_ms
            if started_ms is None or now_ms - started_ms <= min_limit_ms:
                return
            is_started = flow.is_opened or flow.sent_sequence is not None
            limit_ms = (
                options.max_request_ms if is_started else options.max_handshake_ms
            )
            if now_ms - started_ms > limit_ms:
                self.finish_request(flow, now_ms)

    def record_answer(self, flow: Flow, now_ms: float) -> float | None:
        """End an answered request; return its latency, None if none is in progress."""
        started_ms = flow.request_started_ms
        if started_ms is None:
            return None
        self.finish_request(flow, now_ms)
        return now_ms - started_ms
