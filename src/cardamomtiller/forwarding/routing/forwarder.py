"""Forwarding decision for each packet, without network or file access."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.admission.capacitygate import CapacityGate
from cardamomtiller.forwarding.admission.control import (
    Admission,
    ReleaseReason,
    Verdict,
)
from cardamomtiller.forwarding.admission.limit import StartWindow
from cardamomtiller.forwarding.admission.shortage import read_demands
from cardamomtiller.forwarding.admission.waitqueue import WaitingOpening
from cardamomtiller.forwarding.link.transfers import TransferVerdict
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.capacity import CapacityTable
from cardamomtiller.forwarding.observation.flows import Flow
from cardamomtiller.forwarding.observation.unknowntokens import (
    NOT_STEADY,
    UnknownTokens,
)
from cardamomtiller.forwarding.packet import (
    FlowKey,
    Packet,
    PacketFormat,
    format_address,
)
from cardamomtiller.forwarding.placement.gates import GateSet, PlacementGate
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.placement.selection import Choice, choose_upstream
from cardamomtiller.forwarding.placement.subset import CandidateSource
from cardamomtiller.forwarding.published.configuration import (
    NO_CONFIGURATION,
    Configuration,
    Route,
)
from cardamomtiller.forwarding.published.directory import UpstreamDirectory
from cardamomtiller.forwarding.published.records import DecodedRecord, Evacuation
from cardamomtiller.forwarding.published.upstreams import (
    SocketAddress,
    Upstream,
    UpstreamEntry,
)
from cardamomtiller.forwarding.routing.observing import Observer
from cardamomtiller.forwarding.routing.options import ForwardingOptions
from cardamomtiller.forwarding.routing.transferopenings import TransferOpenings
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.telemetry.reporting import (
    DropReason,
    Reporter,
    ResetReason,
)
from cardamomtiller.forwarding.warmup.gate import SlowStartGate
from cardamomtiller.ids import UpstreamId

HASH_MULTIPLIER = 0x85EBCA6B
HASH_MASK = 0xFFFFFFFF
HASH_SHIFT = 13


class Delivery(NamedTuple):
    """
    A datagram to send and its destination.

    Attributes
    ----------
    packet
        The packet of a client that the datagram carries, None for a reset.
    priority
        Rank of the route of the packet, 0 is the most urgent.
    """

    address: SocketAddress
    datagram: bytes
    packet: Packet | None = None
    priority: int = 0


class Forwarder:
    """Forwards packets by their token, and opening packets by the upstreams' load."""

    def __init__(
        self,
        locality: Locality,
        packet_format: PacketFormat,
        client_port: int,
        options: ForwardingOptions,
        log: DecisionLog,
        meters: Meters,
        gates: GateSet | None = None,
    ) -> None:
        """
        Initialise without a configuration and without upstreams.

        Parameters
        ----------
        locality
            Failure domain and region of this instance.
        packet_format
            Wire format of the packets.
        client_port
            Port to which packets of the instance's own are sent at a client's address.
        options
            Options of the decisions.
        log, meters
            Where decisions are reported.
        gates
            Limits of single upstreams; None for those that the options ask for.
        """
        self._locality = locality
        self._format = packet_format
        self._client_port = client_port
        self._options = options
        self._reporter = Reporter(log, meters)
        self._unknown_tokens = UnknownTokens(options.unknown_token_ms)
        self.configuration: Configuration = NO_CONFIGURATION
        self.directory = UpstreamDirectory(
            options.missing_entry_grace_ms,
            options.departed_retention_ms,
        )
        self._candidates = CandidateSource(locality, options.placement)
        start_window = StartWindow(options.admission.limit)
        shortage = options.admission.shortage
        capacity = CapacityTable(shortage.capacity) if shortage else None
        self.observer = Observer(
            self.directory, options, self._reporter, start_window, capacity
        )
        self._slow_start = SlowStartGate(
            options.warmup, locality, self.observer.reachability
        )
        default_gates: list[PlacementGate] = [self._slow_start]
        self._capacity_gate: CapacityGate | None = None
        if capacity is not None:
            self._capacity_gate = CapacityGate(self.observer.loads, capacity)
            default_gates.append(self._capacity_gate)
        self._gates = GateSet(default_gates) if gates is None else gates
        self.admission = Admission(
            self.directory,
            self.observer.loads,
            self.observer.reachability,
            options.admission,
            start_window,
            self._gates,
            capacity,
        )
        self.transfer_openings = TransferOpenings(options)
        self.steadiness = NOT_STEADY

    @property
    def waiting(self) -> int:
        """Number of opening packets that wait."""
        return self.admission.waiting + len(self.transfer_openings)

    def apply_configuration(self, configuration: Configuration, now_ms: float) -> None:
        """
        Apply a configuration, unless its version is older than the current one.

        A version that the source lost before it was acknowledged may be written again
        with other routes.
        """
        previous = self.configuration.version
        if configuration.precedes(self.configuration):
            self._reporter.configuration_ignored(configuration, previous, now_ms)
        elif configuration != self.configuration:
            self.configuration = configuration
            self._slow_start.apply_configuration(configuration)
            self.directory.add_services(configuration.services)
            self.observer.retain_routes(configuration.routes)
            self.transfer_openings.retain_routes(configuration.routes)
            self._apply_demands(configuration)
            self._reporter.configuration_applied(configuration, previous, now_ms)

    def _apply_demands(self, configuration: Configuration) -> None:
        capacity = self.observer.capacity
        if capacity is None or self._capacity_gate is None:
            return
        demands = read_demands(configuration)
        self._capacity_gate.demands = demands
        self.admission.demands = demands
        capacity.targets_ms = {
            service: demand.target_ms for service, demand in demands.items()
        }

    def is_outdated(self, change: DecodedRecord | None) -> bool:
        """Return whether a record from an older copy precedes what is in force."""
        if isinstance(change, Configuration):
            return change.precedes(self.configuration)
        return isinstance(change, UpstreamEntry) and self.directory.is_outdated(change)

    def apply_entry(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Add or update an upstream."""
        current = self.directory.find(entry.upstream)
        if current is not None and current.entry.incarnation != entry.incarnation:
            self.observer.reachability.remove(current.token)
        is_lost = current is not None and current.was_removed_while_ready
        lost = current.entry if current is not None and is_lost else None
        upstream = self.directory.put(entry, now_ms)
        self._slow_start.apply_entry(upstream, lost, now_ms)
        self.observer.reachability.reinstate(upstream.token)
        self._reporter.upstream_changed(upstream, 'entry', now_ms)

    def remove_entry(self, upstream_id: UpstreamId, now_ms: float) -> None:
        """Record that the entry of an upstream was removed."""
        upstream = self.directory.remove(upstream_id, now_ms)
        if upstream is not None:
            self._reporter.upstream_changed(upstream, 'entry_removed', now_ms)

    def apply_evacuation(self, evacuation: Evacuation, now_ms: float) -> None:
        """Start or end the evacuation of a failure domain."""
        if evacuation.is_removed:
            self.directory.remove_evacuation(evacuation.domain, now_ms)
        else:
            self.directory.evacuate(evacuation.domain)
            self._reporter.evacuation_changed(evacuation.domain, 'started', now_ms)

    def update_members(
        self, local: Member, contacts: Iterable[tuple[Member, float]], now_ms: float
    ) -> None:
        """Take over the other members, with the time of the last message of each."""
        self._slow_start.update_members(local, contacts, now_ms)

    def handle(self, datagram: bytes, now_ms: float) -> Iterator[Delivery]:
        """
        Process one datagram from a client.

        Parameters
        ----------
        datagram
            The datagram as received.
        now_ms
            Current time.

        Yields
        ------
        Delivery
            Datagrams to send to an upstream or back to the client.
        """
        packet = self._format.decode(datagram)
        if packet is None:
            self._drop(DropReason.MALFORMED, None, now_ms)
        elif packet.is_opening:
            yield from self._open_flow(packet, datagram, now_ms)
        else:
            yield from self._forward(packet, datagram, now_ms)

    def reset_waiting_flows(self, now_ms: float) -> Iterator[Delivery]:
        """
        Reset flows that wait for an upstream that has become unreachable.

        A client whose request the upstream acknowledged sends no further packet that
        could be answered with a reset, and would wait until its deadline. Only flows of
        routes with repeatable requests are reset: other requests cannot be sent again,
        and may still be answered.
        """
        for flow, upstream in self.observer.pop_waiting_flows():
            if not self._can_client_retry(flow, now_ms):
                continue
            reason = ResetReason.UNREACHABLE
            self._reporter.flow_reset(
                flow.key, upstream.token, upstream, reason, self.steadiness, now_ms
            )
            yield self._reset_delivery(flow.key, flow.acknowledged or 0)

    def release_waiting(self, now_ms: float) -> Iterator[Delivery]:
        """Place the flows whose opening packets have waited long enough."""
        for opening in self.transfer_openings.release(now_ms):
            self._reporter.transfer_released(opening, now_ms)
            yield from self._admit_waiting(opening, now_ms)
        for release in self.admission.release(now_ms):
            self._reporter.opening_released(release, now_ms)
            is_overdue = release.reason is ReleaseReason.AGE
            yield from self._place_waiting(
                release.opening, now_ms, is_overdue=is_overdue
            )

    def release_all_waiting(self, now_ms: float) -> Iterator[Delivery]:
        """Place all flows whose opening packets wait, before the process stops."""
        for opening in self.transfer_openings.release_all():
            yield from self._place_waiting(opening, now_ms, is_overdue=True)
        for opening in self.admission.release_all():
            yield from self._place_waiting(opening, now_ms, is_overdue=True)

    def _can_client_retry(self, flow: Flow, now_ms: float) -> bool:
        """Return whether a waiting client may retry and its timeout has not passed."""
        route = self.configuration.routes.get(flow.key.route)
        if route is None or not route.is_repeatable or flow.unanswered_since_ms is None:
            return False
        return now_ms - flow.unanswered_since_ms < route.timeout_ms

    def sweep(self, now_ms: float) -> None:
        """Remove expired tokens, upstreams, flows and requests."""
        self._unknown_tokens.expire(now_ms)
        for domain in self.directory.expire_evacuations(now_ms):
            self._reporter.evacuation_changed(domain, 'ended', now_ms)
        for upstream in self.directory.expire(now_ms):
            self._reporter.upstream_changed(upstream, 'entry_expired', now_ms)
        self.transfer_openings.expire(now_ms)
        self.observer.sweep(now_ms)
        unreachable = self.observer.unreachable_upstreams()
        for change in self._slow_start.observe(self.directory, unreachable, now_ms):
            self._reporter.slow_start_changed(change, now_ms)

    def _open_flow(
        self,
        packet: Packet,
        datagram: bytes,
        now_ms: float,
    ) -> Iterator[Delivery]:
        route = self.configuration.routes.get(packet.flow.route)
        if route is None:
            yield from self._refuse_unrouted(packet, now_ms)
            return
        # A copy of a packet that was forwarded before adds no work.
        if packet.copy_number and self.observer.has_flow(packet.flow):
            yield from self._place_flow(packet, datagram, route, now_ms)
            return
        decision = self.transfer_openings.decide(packet, datagram, route, now_ms)
        if decision.verdict is TransferVerdict.FORWARD:
            yield from self._admit(packet, datagram, route, now_ms)
            return
        self._reporter.transfer_postponed(packet, route, decision, now_ms)
        if decision.verdict is TransferVerdict.REJECT and not packet.copy_number:
            yield self._reset_delivery(packet.flow, packet.acknowledged)

    def _admit_waiting(
        self, opening: WaitingOpening, now_ms: float
    ) -> Iterator[Delivery]:
        """Continue with an opening packet that has waited for the link."""
        route = self.configuration.routes.get(opening.packet.flow.route)
        if route is None:
            yield from self._refuse_unrouted(opening.packet, now_ms)
            return
        yield from self._admit(opening.packet, opening.datagram, route, now_ms)

    def _admit(
        self, packet: Packet, datagram: bytes, route: Route, now_ms: float
    ) -> Iterator[Delivery]:
        service = route.service_of(hash_flow(packet.flow))
        decision = self.admission.decide(packet, datagram, route, service, now_ms)
        if decision.verdict is Verdict.FORWARD:
            yield from self._place_flow(packet, datagram, route, now_ms)
            return
        self._reporter.opening_postponed(packet, service, decision, now_ms)
        if decision.verdict is Verdict.REJECT:
            self.transfer_openings.cancel(packet.flow)
        # A copy may arrive after another instance has opened the flow, and a reset would
        # end it then.
        if decision.verdict is Verdict.REJECT and not packet.copy_number:
            yield self._reset_delivery(packet.flow, packet.acknowledged)

    def _place_waiting(
        self,
        opening: WaitingOpening,
        now_ms: float,
        *,
        is_overdue: bool,
    ) -> Iterator[Delivery]:
        """Place a flow by the configuration and load of now, not of its arrival."""
        route = self.configuration.routes.get(opening.packet.flow.route)
        if route is None:
            yield from self._refuse_unrouted(opening.packet, now_ms)
            return
        yield from self._place_flow(
            opening.packet, opening.datagram, route, now_ms, is_overdue=is_overdue
        )

    def _place_flow(
        self,
        packet: Packet,
        datagram: bytes,
        route: Route,
        now_ms: float,
        *,
        is_overdue: bool = False,
    ) -> Iterator[Delivery]:
        choice = self._place(packet, route, now_ms, is_overdue=is_overdue)
        if choice is None:
            yield from self._refuse_unserved(packet, route, now_ms)
            return
        self._gates.record_placement(choice.upstream, now_ms)
        if self._slow_start.is_limited(choice.upstream, now_ms):
            self._reporter.meters.count('slow_start_opens')
        self.observer.open_flow(
            packet.flow, choice.upstream, now_ms, route.target_latency_ms
        )
        version = self.configuration.version
        self._reporter.flow_placed(packet, route, choice, version, now_ms)
        opening = self._format.with_token(datagram, choice.upstream.token)
        yield _to_upstream(choice.upstream, opening, packet, route)

    def _place(
        self,
        packet: Packet,
        route: Route,
        now_ms: float,
        *,
        is_overdue: bool = False,
    ) -> Choice | None:
        flow_hash = hash_flow(packet.flow)
        excluded = self.observer.handle_repeated_open(packet, now_ms)
        pool = self.directory.pool(route.service_of(flow_hash))
        candidates = self._candidates.select(
            pool,
            self.observer.loads,
            self.observer.reachability,
            flow_hash,
            now_ms,
        )
        return choose_upstream(
            self._gates.admitted(candidates, now_ms)
            or self._gates.admitted(pool, now_ms, is_overdue=is_overdue),
            self.observer.loads,
            self.observer.reachability,
            self._locality,
            self._options.placement,
            flow_hash,
            now_ms,
            excluded,
        )

    def _refuse_unrouted(self, packet: Packet, now_ms: float) -> Iterator[Delivery]:
        if self.configuration is NO_CONFIGURATION:
            self._drop(DropReason.NOT_CONFIGURED, packet, now_ms)
            return
        self._drop(DropReason.NO_ROUTE, packet, now_ms)
        yield self._reset_delivery(packet.flow, packet.acknowledged)

    def _refuse_unserved(
        self, packet: Packet, route: Route, now_ms: float
    ) -> Iterator[Delivery]:
        if self.directory.pool(route.service_of(hash_flow(packet.flow))):
            yield from self._refuse_without_room(packet, now_ms)
            return
        self._drop(DropReason.NO_UPSTREAM, packet, now_ms)
        # Entries may expire while the record source is unavailable, and be published
        # again before the client repeats the opening packet. The flow is reset only if
        # the source has confirmed for long enough that the service has no upstream.
        if self.steadiness.duration_ms >= self._options.unknown_token_ms:
            yield self._reset_delivery(packet.flow, packet.acknowledged)

    def _refuse_without_room(self, packet: Packet, now_ms: float) -> Iterator[Delivery]:
        """Reset a flow that no gate lets open, unless an earlier copy was forwarded."""
        self._drop(DropReason.NO_ROOM, packet, now_ms)
        if not self.observer.has_flow(packet.flow):
            yield self._reset_delivery(packet.flow, packet.acknowledged)

    def _forward(
        self,
        packet: Packet,
        datagram: bytes,
        now_ms: float,
    ) -> Iterator[Delivery]:
        upstream = self.directory.by_token(packet.token)
        if upstream is None:
            yield from self._refuse_unknown(packet, now_ms)
            return
        is_request = self.observer.observe(packet, upstream, now_ms)
        if is_request and self._slow_start.record_request(upstream, now_ms):
            self._reporter.meters.count('slow_start_requests')
        if packet.payload_bytes and self.observer.is_unreachable(upstream):
            yield self._reset_flow(packet, upstream, ResetReason.UNREACHABLE, now_ms)
            return
        finished = self.transfer_openings.record_packet(packet, now_ms)
        if finished is not None:
            self._reporter.transfer_finished(finished, now_ms)
        self._reporter.meters.count('packets_forwarded')
        route = self.configuration.routes.get(packet.flow.route)
        yield _to_upstream(upstream, datagram, packet, route)

    def _refuse_unknown(self, packet: Packet, now_ms: float) -> Iterator[Delivery]:
        """Drop a packet with an unknown token; reset the flow if the upstream is gone."""
        self._drop(DropReason.UNKNOWN_TOKEN, packet, now_ms)
        if packet.is_reset or not packet.payload_bytes:
            return
        if self._unknown_tokens.is_gone(packet.token, self.steadiness, now_ms):
            yield self._reset_flow(packet, None, ResetReason.UPSTREAM_GONE, now_ms)

    def _reset_flow(
        self,
        packet: Packet,
        upstream: Upstream | None,
        reason: ResetReason,
        now_ms: float,
    ) -> Delivery:
        self._reporter.flow_reset(
            packet.flow, packet.token, upstream, reason, self.steadiness, now_ms
        )
        return self._reset_delivery(packet.flow, packet.acknowledged)

    def _reset_delivery(self, flow: FlowKey, acknowledged: int) -> Delivery:
        host = format_address(flow.client).partition(':')[0]
        reset = self._format.encode_reset(flow, acknowledged)
        return Delivery((host, self._client_port), reset)

    def _drop(self, reason: DropReason, packet: Packet | None, now_ms: float) -> None:
        self._reporter.packet_dropped(
            reason, packet, self.configuration.version, now_ms
        )


def hash_flow(flow: FlowKey) -> int:
    """Return a hash of a flow that is equal on all instances."""
    mixed = (flow.client ^ flow.route * HASH_MULTIPLIER) & HASH_MASK
    mixed = (mixed ^ mixed >> HASH_SHIFT) * HASH_MULTIPLIER & HASH_MASK
    return mixed ^ mixed >> HASH_SHIFT


def handle_datagrams(
    forwarder: Forwarder,
    datagrams: Iterable[bytes],
    now_ms: float,
) -> Iterator[Delivery]:
    """Iterate over the deliveries for a sequence of datagrams, in order."""
    for datagram in datagrams:
        yield from forwarder.handle(datagram, now_ms)


def _to_upstream(
    upstream: Upstream, datagram: bytes, packet: Packet, route: Route | None
) -> Delivery:
    entry = upstream.entry
    priority = 0 if route is None else route.priority
    return Delivery(entry.address, entry.frame + datagram, packet, priority)
