"""What the packets of the clients tell about flows, load and silent upstreams."""

from collections.abc import Iterator

from cardamomtiller.forwarding.flows import Flow, FlowTable, Observation
from cardamomtiller.forwarding.load import LoadTable, UpstreamLoad
from cardamomtiller.forwarding.options import ForwardingOptions
from cardamomtiller.forwarding.packet import FlowKey, Packet
from cardamomtiller.forwarding.reachability import Change, Reachability, Verdict
from cardamomtiller.forwarding.reporting import Reporter
from cardamomtiller.forwarding.upstreams import Upstream, UpstreamDirectory
from cardamomtiller.ids import UpstreamId


class Observer:
    """Keeps the table of flows, and draws load and suspicions from it."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        options: ForwardingOptions,
        reporter: Reporter,
    ) -> None:
        """Start with no flows."""
        self._directory = directory
        self._options = options
        self._reporter = reporter
        self._flows = FlowTable(options.flows)
        self.loads = LoadTable()
        self.reachability = Reachability(options.reachability)
        self._lost: list[Upstream] = []

    def miss_open(self, packet: Packet, now_ms: float) -> UpstreamId | None:
        """Return the upstream that did not answer the copy before this one."""
        flow = self._flows.find(packet.flow)
        if flow is None or not packet.copy_number:
            return None
        self.loads.get_or_create(flow.upstream.token).miss_open()
        self._suspect(flow.upstream, 'open_unanswered', now_ms)
        self._reporter.meters.count('opens_repeated')
        return flow.upstream.entry.upstream

    def open(self, key: FlowKey, upstream: Upstream, now_ms: float) -> None:
        """Take note of a flow that was placed."""
        before = self._flows.remove(key)
        if before is not None:
            self.loads.detach(before, now_ms)
        flow = Flow(key, upstream, now_ms)
        self._add(flow, now_ms)
        # The request follows its opening within a round trip.
        self.loads.start(flow, now_ms)

    def observe(self, packet: Packet, upstream: Upstream, now_ms: float) -> None:
        """Take note of a later packet of a flow."""
        flow = self._flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            if flow is not None:
                self.loads.detach(flow, now_ms)
            if packet.is_closing or packet.is_reset:
                return
            flow = Flow(packet.flow, upstream, now_ms)
            self._add(flow, now_ms)
        was_opened = flow.is_opened
        observation = flow.observe(packet, now_ms)
        if flow.is_opened and not was_opened:
            self._hear(upstream, now_ms)
        self._account(flow, observation, now_ms)

    def is_unreachable(self, upstream: Upstream) -> bool:
        """Return whether an upstream is certainly out of reach."""
        return self.reachability.verdict(upstream.token) is Verdict.UNREACHABLE

    def handle_reachability_change(self, change: Change, now_ms: float) -> None:
        """Take note that an upstream became reachable or unreachable."""
        upstream = self._directory.by_token(change.token)
        self._reporter.reachability_changed(change, upstream, now_ms)
        if upstream is None or change.verdict is not Verdict.UNREACHABLE:
            return
        self._lost.append(upstream)
        # A failure domain that is cut off takes all of its upstreams with it.
        for neighbour in self._directory.in_domain(upstream.entry.domain):
            heard_ms = self.loads.get_or_create(neighbour.token).heard_ms
            if (
                heard_ms is None
                or now_ms - heard_ms > self._options.neighbour_silence_ms
            ):
                self._suspect(neighbour, 'neighbour_unreachable', now_ms)

    def take_waiting(self) -> Iterator[tuple[Flow, Upstream]]:
        """Iterate over flows whose request an upstream has that was lost just now."""
        lost = {id(one) for one in self._lost}
        self._lost.clear()
        if not lost:
            return
        for flow in self._flows:
            if flow.asked_ms is not None and id(flow.upstream) in lost:
                yield flow, flow.upstream

    def sweep(self, now_ms: float) -> None:
        """Age out flows and requests that got lost; look at reports of others."""
        for token, load in self.loads:
            if load.others_unanswered >= self._options.unanswered_threshold:
                upstream = self._directory.by_token(token)
                if upstream is not None:
                    self._suspect(upstream, 'reported', now_ms)
        for idle in self._flows.take_idle(now_ms):
            self.loads.detach(idle, now_ms)
        self.loads.finish_stalled(self._options.flows.longest_request_ms, now_ms)
        self.loads.keep_only({one.token for one in self._directory})
        self._reporter.meters.set_gauge('flows', len(self._flows))

    def _add(self, flow: Flow, now_ms: float) -> None:
        self.loads.attach(flow)
        displaced = self._flows.add(flow)
        if displaced is not None:
            self.loads.detach(displaced, now_ms)

    def _account(self, flow: Flow, observation: Observation, now_ms: float) -> None:
        if observation is Observation.REQUEST:
            self.loads.start(flow, now_ms)
        elif observation is Observation.ANSWER:
            self._hear(flow.upstream, now_ms)
            elapsed_ms = self.loads.answer(flow, now_ms)
            if elapsed_ms is not None:
                self._reporter.meters.observe('request_ms', elapsed_ms)
        elif observation is Observation.RETRANSMISSION:
            self._reporter.meters.count('retransmissions')
            self._note_retransmission(flow, now_ms)
        elif observation is Observation.END:
            self._flows.remove(flow.key)
            self.loads.detach(flow, now_ms)

    def _note_retransmission(self, flow: Flow, now_ms: float) -> None:
        load = self.loads.get_or_create(flow.upstream.token)
        if flow.retransmissions == 1:
            load.miss_answer()
        elif flow.retransmissions == 2:
            load.add_unanswered(now_ms)
        if self._is_silence_suspicious(flow, load):
            self._suspect(flow.upstream, 'requests_unanswered', now_ms)

    def _is_silence_suspicious(self, flow: Flow, load: UpstreamLoad) -> bool:
        """Return whether more than one long request would explain the silence."""
        if load.silent_flows >= self._options.silent_flows_threshold:
            return True
        started_ms = flow.started_ms
        is_heard = (
            load.heard_ms is not None
            and started_ms is not None
            and load.heard_ms > started_ms
        )
        return not is_heard and flow.retransmissions >= 2

    def _suspect(self, upstream: Upstream, evidence: str, now_ms: float) -> None:
        token = upstream.token
        if self._directory.is_superseded(upstream):
            change = self.reachability.give_up(token, 'address_reused', now_ms)
            if change is not None:
                self.handle_reachability_change(change, now_ms)
        elif self.reachability.suspect(token, now_ms):
            heard_ms = self.loads.get_or_create(token).heard_ms
            self._reporter.suspected(upstream, evidence, heard_ms, now_ms)

    def _hear(self, upstream: Upstream, now_ms: float) -> None:
        self.loads.get_or_create(upstream.token).hear(now_ms)
        self.reachability.hear(upstream.token)
