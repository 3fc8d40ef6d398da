"""Load and silence of each upstream, estimated from the flows of this instance."""

from typing import NamedTuple

from cardamomtiller.forwarding.flows import Flow
from cardamomtiller.forwarding.upstreams import Upstream
from cardamomtiller.ids import UpstreamId

# Weight of the newest service time in the running mean.
SERVICE_TIME_GAIN = 0.1


class SilenceOptions(NamedTuple):
    """
    When an upstream counts as silent.

    Attributes
    ----------
    opens, retransmissions
        Flows that got no answer since the last sign of life: openings that were
        repeated, or requests that were sent again.
    retry_ms
        How long a silent upstream gets no new flows before one tries it again.
    """

    opens: int
    retransmissions: int
    retry_ms: float


class UpstreamLoad:
    """Estimates for one upstream."""

    __slots__ = (
        'heard_ms',
        'in_progress',
        'open_flows',
        'service_ms',
        'silent_flows',
        'silent_opens',
        'silent_since_ms',
        'tried_ms',
    )

    def __init__(self) -> None:
        """Start with no flows and no history."""
        self.in_progress = 0
        self.open_flows = 0
        self.heard_ms: float | None = None
        self.service_ms: float | None = None
        self.silent_opens = 0
        self.silent_flows = 0
        self.silent_since_ms: float | None = None
        self.tried_ms = 0.0

    def hear(self, now_ms: float) -> None:
        """Record a sign of life."""
        self.heard_ms = now_ms
        self.silent_opens = 0
        self.silent_flows = 0
        self.silent_since_ms = None

    def miss_open(self, now_ms: float) -> None:
        """Record an opening packet that got no answer in time."""
        self.silent_opens += 1
        self._start_silence(now_ms)

    def miss_answer(self, now_ms: float) -> None:
        """Record a flow that sent its request again."""
        self.silent_flows += 1
        self._start_silence(now_ms)

    def is_silent(self, options: SilenceOptions) -> bool:
        """Return whether enough flows have had no answer."""
        return (
            self.silent_opens >= options.opens
            or self.silent_flows >= options.retransmissions
        )

    def _start_silence(self, now_ms: float) -> None:
        if self.silent_since_ms is None:
            self.silent_since_ms = now_ms


class LoadBook:
    """Estimates for all upstreams."""

    def __init__(self) -> None:
        """Start with no upstreams."""
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def of(self, upstream: Upstream) -> UpstreamLoad:
        """Return the estimates for an upstream."""
        upstream_id = upstream.entry.upstream
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = UpstreamLoad()
        return load

    def keep_only(self, present: set[UpstreamId]) -> None:
        """Forget upstreams that are no longer known."""
        for upstream_id in self._loads.keys() - present:
            del self._loads[upstream_id]

    def attach(self, flow: Flow) -> None:
        """Count a flow for its upstream."""
        self.of(flow.upstream).open_flows += 1

    def detach(self, flow: Flow) -> None:
        """Stop counting a flow and its request."""
        self.finish(flow)
        load = self.of(flow.upstream)
        load.open_flows = max(0, load.open_flows - 1)

    def start(self, flow: Flow, now_ms: float) -> None:
        """Count a request of a flow as in progress."""
        if flow.started_ms is None:
            self.of(flow.upstream).in_progress += 1
        flow.started_ms = now_ms
        flow.requests += 1

    def finish(self, flow: Flow) -> None:
        """Stop counting the request of a flow."""
        if flow.started_ms is None:
            return
        flow.started_ms = None
        load = self.of(flow.upstream)
        load.in_progress = max(0, load.in_progress - 1)

    def answer(self, flow: Flow, now_ms: float) -> float | None:
        """Record an answer; return how long the request took, if one was open."""
        load = self.of(flow.upstream)
        load.hear(now_ms)
        started_ms = flow.started_ms
        if started_ms is None:
            return None
        self.finish(flow)
        elapsed_ms = now_ms - started_ms
        mean_ms = load.service_ms
        if mean_ms is None:
            load.service_ms = elapsed_ms
        else:
            load.service_ms = mean_ms + SERVICE_TIME_GAIN * (elapsed_ms - mean_ms)
        return elapsed_ms
