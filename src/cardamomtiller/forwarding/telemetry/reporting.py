"""Log lines and metrics of the forwarding decisions."""

from enum import Enum

from cardamomtiller.forwarding.admission.control import Decision, Release
from cardamomtiller.forwarding.admission.waitqueue import WaitingOpening
from cardamomtiller.forwarding.link.requests import FinishedTransfer
from cardamomtiller.forwarding.link.transfers import TransferDecision
from cardamomtiller.forwarding.observation.load import UpstreamLoad
from cardamomtiller.forwarding.observation.reachability import PathChange
from cardamomtiller.forwarding.observation.unknowntokens import Steadiness
from cardamomtiller.forwarding.packet import FlowKey, Packet, Token, format_flow
from cardamomtiller.forwarding.placement.selection import Choice
from cardamomtiller.forwarding.published.configuration import Configuration, Route
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.warmup.gate import SlowStartChange
from cardamomtiller.ids import DomainName, ServiceName, Version


class DropReason(Enum):
    """Reason for dropping a packet."""

    MALFORMED = 'malformed'
    NOT_CONFIGURED = 'not_configured'
    NO_ROUTE = 'no_route'
    NO_UPSTREAM = 'no_upstream'
    NO_ROOM = 'no_room'
    UNKNOWN_TOKEN = 'unknown_token'


class ResetReason(Enum):
    """Reason for resetting a flow."""

    UNREACHABLE = 'unreachable'
    UPSTREAM_GONE = 'upstream_gone'


class Reporter:
    """Logs and counts each decision with the values that it was based on."""

    def __init__(self, log: DecisionLog, meters: Meters) -> None:
        """Initialise with a log and a set of metrics."""
        self._log = log
        self.meters = meters

    def configuration_applied(
        self,
        configuration: Configuration,
        previous: Version,
        now_ms: float,
    ) -> None:
        """Report that a configuration was applied."""
        self._log.write_milestone(
            'configuration_in_force',
            now_ms,
            version=configuration.version,
            before=previous,
            routes=len(configuration.routes),
        )

    def configuration_ignored(
        self,
        configuration: Configuration,
        in_force: Version,
        now_ms: float,
    ) -> None:
        """Report that a configuration was ignored because it is older."""
        self.meters.count('configuration_older')
        self._log.write_milestone(
            'configuration_ignored',
            now_ms,
            version=configuration.version,
            in_force=in_force,
        )

    def upstream_changed(self, upstream: Upstream, event: str, now_ms: float) -> None:
        """Report that the entry of an upstream was changed, removed or has expired."""
        entry = upstream.entry
        self.meters.count(f'upstreams_{event}')
        self._log.write(
            f'upstream_{event}',
            now_ms,
            upstream=entry.upstream,
            service=entry.service,
            domain=entry.domain,
            state=upstream.state.value,
            slots=entry.slots,
            slow_start_left_ms=entry.slow_start_left_ms,
            incarnation=entry.incarnation,
            sequence=entry.sequence,
        )

    def evacuation_changed(self, domain: DomainName, event: str, now_ms: float) -> None:
        """Report that the evacuation of a failure domain has started or ended."""
        self._log.write_milestone(f'evacuation_{event}', now_ms, domain=domain)

    def upstream_suspected(
        self,
        upstream: Upstream,
        evidence: str,
        last_response_ms: float | None,
        now_ms: float,
    ) -> None:
        """Report that an upstream is suspected, which starts probing it."""
        self.meters.count('upstreams_suspected')
        self._log.write(
            'upstream_suspected',
            now_ms,
            upstream=upstream.entry.upstream,
            reason=evidence,
            heard_before_ms=None
            if last_response_ms is None
            else round(now_ms - last_response_ms),
        )

    def silence_excused(self, upstream: Upstream, evidence: str, now_ms: float) -> None:
        """Report a missing answer that the link of the instance explains."""
        self.meters.count('silences_excused')
        self._log.write(
            'silence_excused',
            now_ms,
            upstream=upstream.entry.upstream,
            reason=evidence,
        )

    def upstream_full(
        self,
        flow: FlowKey,
        upstream: Upstream,
        load: UpstreamLoad,
        limit: float,
        now_ms: float,
    ) -> None:
        """Report an answer that says that its upstream was full, and the new limit."""
        self.meters.count('answers_full')
        self._log.write(
            'upstream_full',
            now_ms,
            flow=format_flow(flow),
            upstream=upstream.entry.upstream,
            in_progress=load.in_progress,
            others_busy=round(load.others_busy, 2),
            limit=_rounded(limit),
        )

    def reachability_changed(
        self,
        change: PathChange,
        upstream: Upstream | None,
        now_ms: float,
    ) -> None:
        """Report that the path to an upstream became reachable or unreachable."""
        self.meters.count(f'upstreams_{change.state.value}')
        self._log.write(
            f'upstream_{change.state.value}',
            now_ms,
            upstream=upstream.entry.upstream if upstream else None,
            reason=change.reason,
            after_ms=round(change.previous_state_ms),
        )

    def flow_placed(
        self,
        packet: Packet,
        route: Route,
        choice: Choice,
        version: Version,
        now_ms: float,
    ) -> None:
        """Report which upstream was selected for a new flow."""
        self.meters.count('opens_forwarded')
        entry = choice.upstream.entry
        self._log.write(
            'flow_placed',
            now_ms,
            flow=format_flow(packet.flow),
            copy=packet.copy_number,
            route=route.name,
            service=entry.service,
            upstream=entry.upstream,
            domain=entry.domain,
            cost=round(choice.cost, 3),
            in_progress=choice.in_progress,
            others_busy=round(choice.others_busy, 2),
            open_flows=choice.open_flows,
            candidates=choice.candidates,
            entry_age_ms=round(now_ms - choice.upstream.changed_ms),
            configuration=version,
        )

    def opening_postponed(
        self,
        packet: Packet,
        service: ServiceName,
        decision: Decision,
        now_ms: float,
    ) -> None:
        """Report an opening packet that waits or is rejected for lack of capacity."""
        self.meters.count(f'opens_{decision.verdict.value}')
        self._log.write(
            'opening_postponed',
            now_ms,
            flow=format_flow(packet.flow),
            copy=packet.copy_number,
            service=service,
            outcome=decision.verdict.value,
            in_progress=decision.in_progress,
            limit=_rounded(decision.limit),
            waiting=decision.waiting,
        )

    def opening_released(self, release: Release, now_ms: float) -> None:
        """Report that an opening packet leaves the wait queue."""
        opening = release.opening
        wait_ms = now_ms - opening.arrived_ms
        self.meters.count(f'opens_released_{release.reason.value}')
        self.meters.observe('open_wait_ms', wait_ms)
        self._log.write(
            'opening_released',
            now_ms,
            flow=format_flow(opening.packet.flow),
            copy=opening.packet.copy_number,
            service=release.service,
            reason=release.reason.value,
            waited_ms=round(wait_ms),
            age_ms=round(now_ms - opening.opened_ms),
            in_progress=release.in_progress,
            limit=_rounded(release.limit),
            waiting=release.waiting,
        )

    def link_busy(
        self,
        backlog_ms: float,
        queued_bytes: int,
        flows: int,
        bytes_per_ms: float,
        now_ms: float,
    ) -> None:
        """Report that packets wait long for the link, or that it has lost some."""
        self._log.write(
            'link_busy',
            now_ms,
            backlog_ms=round(backlog_ms),
            queued_bytes=queued_bytes,
            flows=flows,
            bytes_per_ms=round(bytes_per_ms),
        )

    def link_rate_changed(
        self, previous: float, bytes_per_ms: float, now_ms: float
    ) -> None:
        """Report that losses or busy periods without loss changed the link's rate."""
        self._log.write(
            'link_rate_changed',
            now_ms,
            bytes_per_ms=round(bytes_per_ms),
            before=round(previous),
        )

    def transfer_finished(self, finished: FinishedTransfer, now_ms: float) -> None:
        """Report the end of the payload of a bulk transfer."""
        self.meters.count('transfers_finished')
        self.meters.observe('transfer_ms', finished.duration_ms)
        self._log.write(
            'transfer_finished',
            now_ms,
            flow=format_flow(finished.flow),
            sent_bytes=finished.sent_bytes,
            arrived_bytes=finished.arrived_bytes,
            duration_ms=round(finished.duration_ms),
        )

    def transfer_postponed(
        self, packet: Packet, route: Route, decision: TransferDecision, now_ms: float
    ) -> None:
        """Report an opening packet that waits or is rejected for lack of link time."""
        self.meters.count(f'transfers_{decision.verdict.value}')
        self._log.write(
            'transfer_postponed',
            now_ms,
            flow=format_flow(packet.flow),
            copy=packet.copy_number,
            route=route.name,
            outcome=decision.verdict.value,
            in_progress=decision.in_progress,
            expected_bytes=round(decision.expected_bytes),
            wait_ms=round(decision.wait_ms),
            finish_ms=round(decision.finish_ms),
        )

    def transfer_released(self, opening: WaitingOpening, now_ms: float) -> None:
        """Report that an opening packet does not wait for the link any longer."""
        wait_ms = now_ms - opening.arrived_ms
        self.meters.count('transfers_released')
        self.meters.observe('transfer_wait_ms', wait_ms)
        self._log.write(
            'transfer_released',
            now_ms,
            flow=format_flow(opening.packet.flow),
            route=opening.route.name,
            waited_ms=round(wait_ms),
            age_ms=round(now_ms - opening.opened_ms),
        )

    def slow_start_changed(self, change: SlowStartChange, now_ms: float) -> None:
        """Report that the slow-start period of an upstream has begun or ended."""
        event = 'slow_start_began' if change.is_begin else 'slow_start_ended'
        self.meters.count(event)
        entry = change.upstream.entry
        self._log.write(
            event,
            now_ms,
            upstream=entry.upstream,
            service=entry.service,
            domain=entry.domain,
            left_ms=None if change.left_ms is None else round(change.left_ms),
            part=change.part,
            quota=round(change.quota, 2),
            members=change.members,
            incarnation=entry.incarnation,
        )

    def packet_dropped(
        self,
        reason: DropReason,
        packet: Packet | None,
        version: Version,
        now_ms: float,
    ) -> None:
        """Report a packet that was dropped."""
        self.meters.count(f'dropped_{reason.value}')
        self._log.write(
            'packet_refused',
            now_ms,
            reason=reason.value,
            flow=format_flow(packet.flow) if packet else None,
            is_opening=packet.is_opening if packet else None,
            token=packet.token if packet else None,
            configuration=version,
        )

    def flow_reset(
        self,
        flow: FlowKey,
        token: Token,
        upstream: Upstream | None,
        reason: ResetReason,
        steadiness: Steadiness,
        now_ms: float,
    ) -> None:
        """Report a flow that was reset, with the state of its upstream."""
        self.meters.count('flows_reset')
        self._log.write(
            'flow_reset',
            now_ms,
            flow=format_flow(flow),
            upstream=upstream.entry.upstream if upstream else None,
            token=token,
            reason=reason.value,
            state=upstream.state.value if upstream else None,
            entry_age_ms=round(now_ms - upstream.changed_ms) if upstream else None,
            replica_steady_ms=round(steadiness.duration_ms),
        )


def _rounded(limit: float | None) -> float | None:
    return None if limit is None else round(limit, 1)
