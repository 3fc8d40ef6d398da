"""Tracking of flows, upstream load and unresponsive upstreams by client packets."""

from collections.abc import Iterable, Iterator
from math import exp

from cardamomtiller.forwarding.admission.limit import StartWindow
from cardamomtiller.forwarding.link.evidence import DEFAULT_EVIDENCE, LinkEvidence
from cardamomtiller.forwarding.observation.capacity import CapacityTable
from cardamomtiller.forwarding.observation.flows import Flow, FlowTable, Observation
from cardamomtiller.forwarding.observation.load import (
    ANSWER_DECAY_MS,
    LoadTable,
    UpstreamLoad,
)
from cardamomtiller.forwarding.observation.outcomes import (
    AnswerSizes,
    update_short_excess,
)
from cardamomtiller.forwarding.observation.reachability import (
    PathChange,
    PathState,
    ProbeResult,
    Reachability,
)
from cardamomtiller.forwarding.packet import FlowKey, Packet, RouteAddress, Token
from cardamomtiller.forwarding.published.directory import UpstreamDirectory
from cardamomtiller.forwarding.published.upstreams import (
    Upstream,
    UpstreamState,
)
from cardamomtiller.forwarding.routing.options import ForwardingOptions
from cardamomtiller.forwarding.telemetry.reporting import Reporter
from cardamomtiller.ids import UpstreamId

OUTCOME_INTERVAL_MS = 500


class Observer:
    """Updates flow table, load estimates and path states from client packets."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        options: ForwardingOptions,
        reporter: Reporter,
        start_window: StartWindow,
        capacity: CapacityTable | None = None,
    ) -> None:
        """Initialise with an empty flow table."""
        self._directory = directory
        self._options = options
        self._reporter = reporter
        self._flows = FlowTable(options.flows)
        self.loads = LoadTable()
        self.reachability = Reachability(options.reachability)
        evidence = DEFAULT_EVIDENCE if options.link is None else options.link.evidence
        self.evidence = LinkEvidence(evidence)
        self._newly_unreachable: list[Upstream] = []
        self._start_window = start_window
        self.capacity = capacity
        self._answer_sizes = AnswerSizes(options.outcomes)
        self._outcomes_updated_ms: float = 0

    def handle_repeated_open(self, packet: Packet, now_ms: float) -> UpstreamId | None:
        """
        Record an unanswered opening packet if this packet is a repeated copy.

        Returns
        -------
        UpstreamId or None
            The upstream that did not answer the earlier copy; None if this is the first
            copy or the flow is not in the table.
        """
        flow = self._flows.find(packet.flow)
        if flow is None or not packet.copy_number:
            return None
        self._reporter.meters.count('opens_repeated')
        if not self._is_excused(flow, 'open_unanswered', now_ms):
            self.loads.get_or_create(flow.upstream.token).record_unanswered_open()
            self._suspect(flow.upstream, 'open_unanswered', now_ms)
        return flow.upstream.entry.upstream

    def retain_routes(self, routes: Iterable[RouteAddress]) -> None:
        """Forget the answer sizes of all routes except the given ones."""
        self._answer_sizes.retain(routes)

    def has_flow(self, key: FlowKey) -> bool:
        """Return whether a flow is in the table."""
        return self._flows.find(key) is not None

    def open_flow(
        self,
        key: FlowKey,
        upstream: Upstream,
        now_ms: float,
        target_latency_ms: float | None = None,
    ) -> None:
        """
        Add a new flow of an upstream; it replaces a flow with the same key.

        Parameters
        ----------
        key
            Identity of the flow.
        upstream
            Where its opening packet is sent.
        now_ms
            Current time.
        target_latency_ms
            Latency objective of its requests, None if its answers do not change the
            start window.
        """
        replaced = self._flows.remove(key)
        if replaced is not None:
            self.loads.remove_flow(replaced, now_ms)
        flow = Flow(key, upstream, now_ms)
        flow.target_latency_ms = target_latency_ms
        flow.is_opened_here = True
        self._add(flow, now_ms)
        # The first request follows the opening packet within a round trip, so it counts
        # as load already.
        self.loads.start_request(flow, now_ms)

    def observe(self, packet: Packet, upstream: Upstream, now_ms: float) -> bool:
        """
        Update a flow with a later packet; add the flow if it is not in the table.

        Returns
        -------
        bool
            Whether the packet starts a request other than the first one of a flow that
            was opened here.
        """
        flow = self._flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            if flow is not None:
                self.loads.remove_flow(flow, now_ms)
            if packet.is_closing or packet.is_reset:
                return False
            flow = Flow(packet.flow, upstream, now_ms)
            self._add(flow, now_ms)
        was_opened = flow.is_opened
        observation = flow.observe(packet, now_ms)
        if flow.is_opened and not was_opened:
            self._record_response(upstream, now_ms)
            if flow.is_opened_here:
                flow.answer_start = flow.acknowledged
        self._apply_observation(flow, observation, now_ms)
        return observation is Observation.REQUEST

    def unreachable_upstreams(self) -> Iterator[Upstream]:
        """Iterate over the upstreams whose path is in the unreachable state."""
        for token in self.reachability.tracked_tokens():
            if self.reachability.state(token) is PathState.UNREACHABLE:
                upstream = self._directory.by_token(token)
                if upstream is not None:
                    yield upstream

    def is_unreachable(self, upstream: Upstream) -> bool:
        """Return whether the path to an upstream is in the unreachable state."""
        return self.reachability.state(upstream.token) is PathState.UNREACHABLE

    def handle_probe_result(
        self, token: Token, result: ProbeResult, now_ms: float
    ) -> None:
        """Process the result of a probe."""
        upstream = self._directory.by_token(token)
        if upstream is not None and self._declare_superseded(upstream, now_ms):
            return
        if upstream is not None and self._is_inconclusive(upstream, result, now_ms):
            self.reachability.postpone_probe(token, now_ms)
            return
        change = self.reachability.handle_probe_result(token, result, now_ms)
        if change is not None:
            self.handle_reachability_change(change, now_ms)

    def _is_inconclusive(
        self, upstream: Upstream, result: ProbeResult, now_ms: float
    ) -> bool:
        """Return whether a probe does not tell whether an upstream lives."""
        if result is ProbeResult.TIMED_OUT:
            since_ms = self.reachability.suspected_since_ms(upstream.token)
            if since_ms is None or not self.evidence.explains_silence(since_ms, now_ms):
                return False
            self._reporter.silence_excused(upstream, 'probe_timed_out', now_ms)
            return True
        if result is ProbeResult.REFUSED:
            # An upstream that drains stops listening before its last flows have ended.
            return upstream.state is UpstreamState.DRAINING
        if result is ProbeResult.CONNECTED and self._directory.is_address_shared(
            upstream
        ):
            return self.reachability.is_connection_inconclusive(upstream.token)
        return False

    def handle_reachability_change(self, change: PathChange, now_ms: float) -> None:
        """Process the change of an upstream to reachable or unreachable."""
        upstream = self._directory.by_token(change.token)
        self._reporter.reachability_changed(change, upstream, now_ms)
        if upstream is None or change.state is not PathState.UNREACHABLE:
            return
        self._newly_unreachable.append(upstream)
        # The whole failure domain may be cut off, so its other upstreams that have not
        # responded recently are suspected too.
        for neighbour in self._directory.eligible_in_domain(upstream.entry.domain):
            last_response_ms = self.loads.get_or_create(
                neighbour.token
            ).last_response_ms
            if (
                last_response_ms is None
                or now_ms - last_response_ms > self._options.neighbour_silence_ms
            ):
                self._suspect(neighbour, 'neighbour_unreachable', now_ms)

    def pop_waiting_flows(self) -> Iterator[tuple[Flow, Upstream]]:
        """
        Iterate over flows that wait for an answer of a newly unreachable upstream.

        Covers the upstreams that became unreachable since the last call.
        """
        unreachable_ids = {id(upstream) for upstream in self._newly_unreachable}
        self._newly_unreachable.clear()
        if not unreachable_ids:
            return
        for flow in self._flows:
            if (
                flow.unanswered_since_ms is not None
                and id(flow.upstream) in unreachable_ids
            ):
                yield flow, flow.upstream

    def sweep(self, now_ms: float) -> None:
        """Suspect upstreams that other instances report; expire flows and requests."""
        for token, load in self.loads:
            if load.others_unanswered >= self._options.unanswered_threshold:
                upstream = self._directory.by_token(token)
                if upstream is not None:
                    self._suspect(upstream, 'reported', now_ms)
        for idle in self._flows.pop_idle(now_ms):
            self.loads.remove_flow(idle, now_ms)
        self.loads.finish_overdue_requests(self._options.flows, now_ms)
        self._update_outcomes(now_ms)
        if self.capacity is not None:
            self.capacity.expire(now_ms)
        self.loads.retain({upstream.token for upstream in self._directory})
        self._reporter.meters.set_gauge('flows', len(self._flows))

    def _add(self, flow: Flow, now_ms: float) -> None:
        self.loads.add_flow(flow)
        displaced = self._flows.add(flow)
        if displaced is not None:
            self.loads.remove_flow(displaced, now_ms)

    def _apply_observation(
        self, flow: Flow, observation: Observation, now_ms: float
    ) -> None:
        if observation in {Observation.REQUEST, Observation.END}:
            self._record_answer_size(flow, now_ms)
        if observation is Observation.REQUEST:
            self.loads.start_request(flow, now_ms)
        elif observation is Observation.ANSWER:
            self._record_response(flow.upstream, now_ms)
            self._handle_answer(flow, now_ms)
        elif observation is Observation.RETRANSMISSION:
            self._reporter.meters.count('retransmissions')
            self._handle_retransmission(flow, now_ms)
        elif observation is Observation.END:
            self._flows.remove(flow.key)
            self.loads.remove_flow(flow, now_ms)

    def _handle_answer(self, flow: Flow, now_ms: float) -> None:
        elapsed_ms = self.loads.record_answer(flow, now_ms)
        if elapsed_ms is None:
            return
        # Without a limit of the upstream, a quick answer counts like any other.
        flow.quick_latency_ms = None
        if self._may_be_full(flow, elapsed_ms, now_ms):
            flow.quick_latency_ms = elapsed_ms
        else:
            self._record_latency(flow, elapsed_ms, now_ms)

    def _may_be_full(self, flow: Flow, elapsed_ms: float, now_ms: float) -> bool:
        if self.capacity is None:
            return False
        load = self.loads.get_or_create(flow.upstream.token)
        return self.capacity.may_be_full(flow.upstream, load, elapsed_ms, now_ms)

    def _record_answer_size(self, flow: Flow, now_ms: float) -> None:
        answer_bytes = flow.take_answer_bytes()
        quick_latency_ms = flow.quick_latency_ms
        flow.quick_latency_ms = None
        if not answer_bytes:
            return
        route = flow.key.route
        load = self.loads.get_or_create(flow.upstream.token)
        if (
            self.capacity
            and quick_latency_ms is not None
            and self._answer_sizes.would_be_short(route, answer_bytes)
        ):
            # Neither its size nor its latency say anything about executed requests.
            limit = self.capacity.record_full(flow.upstream, load, now_ms)
            self._reporter.upstream_full(flow.key, flow.upstream, load, limit, now_ms)
            return
        load.record_answer_size(self._answer_sizes.is_short(route, answer_bytes))
        if quick_latency_ms is not None:
            self._record_latency(flow, quick_latency_ms, now_ms)

    def _update_outcomes(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._outcomes_updated_ms
        if elapsed_ms < OUTCOME_INTERVAL_MS:
            return
        self._outcomes_updated_ms = now_ms
        factor = exp(-elapsed_ms / ANSWER_DECAY_MS)
        for _, load in self.loads:
            load.decay_answers(factor)
        for pool in self._directory.pools():
            update_short_excess(
                (self.loads.get_or_create(upstream.token) for upstream in pool),
                self._options.outcomes,
            )

    def _record_latency(self, flow: Flow, latency_ms: float, now_ms: float) -> None:
        load = self.loads.get_or_create(flow.upstream.token)
        load.record_latency(latency_ms, now_ms)
        self._reporter.meters.observe('request_ms', latency_ms)
        if flow.target_latency_ms is not None:
            self._start_window.record_answer(latency_ms, flow.target_latency_ms)

    def _is_excused(self, flow: Flow, evidence: str, now_ms: float) -> bool:
        """Return whether the link explains why a packet of a flow has no answer yet."""
        if not self.evidence.explains_silence(flow.progressed_ms, now_ms):
            return False
        self._reporter.silence_excused(flow.upstream, evidence, now_ms)
        return True

    def _handle_retransmission(self, flow: Flow, now_ms: float) -> None:
        if self._is_excused(flow, 'requests_unanswered', now_ms):
            # Counted by the flow already, but it is no evidence.
            flow.retransmissions -= 1
            return
        load = self.loads.get_or_create(flow.upstream.token)
        if flow.retransmissions == 1:
            load.record_retransmitting_flow()
        elif flow.retransmissions == 2:
            load.record_unanswered_request(now_ms)
        if self._is_silence_suspicious(flow, load):
            self._suspect(flow.upstream, 'requests_unanswered', now_ms)

    def _is_silence_suspicious(self, flow: Flow, load: UpstreamLoad) -> bool:
        """
        Return whether the missing answers are more than one long request would cause.

        That is the case if several flows retransmit, or if a flow has retransmitted
        twice and the upstream has responded to no flow since its request started.
        """
        if load.retransmitting_flows >= self._options.silent_flows_threshold:
            return True
        request_started_ms = flow.request_started_ms
        has_responded = (
            load.last_response_ms is not None
            and request_started_ms is not None
            and load.last_response_ms > request_started_ms
        )
        return not has_responded and flow.retransmissions >= 2

    def _suspect(self, upstream: Upstream, evidence: str, now_ms: float) -> None:
        token = upstream.token
        if self._declare_superseded(upstream, now_ms):
            return
        if self.reachability.suspect(token, now_ms):
            last_response_ms = self.loads.get_or_create(token).last_response_ms
            self._reporter.upstream_suspected(
                upstream, evidence, last_response_ms, now_ms
            )

    def _declare_superseded(self, upstream: Upstream, now_ms: float) -> bool:
        """Declare an upstream unreachable if it certainly ended; return whether it has."""
        if not self._directory.is_superseded(upstream):
            return False
        change = self.reachability.declare_unreachable(
            upstream.token, 'address_reused', now_ms
        )
        if change is not None:
            self.handle_reachability_change(change, now_ms)
        return True

    def _record_response(self, upstream: Upstream, now_ms: float) -> None:
        self.loads.get_or_create(upstream.token).record_response(now_ms)
        self.reachability.clear_suspicion(upstream.token)
