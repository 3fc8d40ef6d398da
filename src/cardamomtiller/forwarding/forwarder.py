"""Forwarding decisions: what happens to each packet, with no input or output."""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.configuration import (
    NO_CONFIGURATION,
    Configuration,
    Route,
)
from cardamomtiller.forwarding.decisionlog import DecisionLog
from cardamomtiller.forwarding.flows import Flow, FlowTable, Observation
from cardamomtiller.forwarding.load import LoadBook, UpstreamLoad
from cardamomtiller.forwarding.meters import Meters
from cardamomtiller.forwarding.options import ForwardingOptions
from cardamomtiller.forwarding.packet import (
    FlowKey,
    Packet,
    PacketFormat,
    address_text,
    flow_text,
)
from cardamomtiller.forwarding.placement import Choice, choose
from cardamomtiller.forwarding.reachability import Change, Reachability, Verdict
from cardamomtiller.forwarding.unknowntokens import UnknownTokens
from cardamomtiller.forwarding.upstreams import (
    SocketAddress,
    Upstream,
    UpstreamDirectory,
    UpstreamEntry,
)
from cardamomtiller.ids import DomainName, UpstreamId

CLIENT_MULTIPLIER = 0x85EBCA6B
HASH_MASK = 0xFFFFFFFF
HASH_SHIFT = 13


class DropReason(Enum):
    """Why a packet went nowhere."""

    MALFORMED = 'malformed'
    NOT_CONFIGURED = 'not_configured'
    NO_ROUTE = 'no_route'
    NO_UPSTREAM = 'no_upstream'
    UNKNOWN_TOKEN = 'unknown_token'


class Delivery(NamedTuple):
    """A datagram to send."""

    address: SocketAddress
    datagram: bytes


class Forwarder:
    """Routes packets by their token, and opening packets by load."""

    def __init__(
        self,
        domain: DomainName,
        packet_format: PacketFormat,
        client_port: int,
        options: ForwardingOptions,
        log: DecisionLog,
        meters: Meters,
    ) -> None:
        """Start with no configuration and no upstreams."""
        self._domain = domain
        self._format = packet_format
        self._client_port = client_port
        self._options = options
        self._log = log
        self._meters = meters
        self._flows = FlowTable(options.flows)
        self.configuration: Configuration = NO_CONFIGURATION
        self.directory = UpstreamDirectory(
            options.missing_kept_ms,
            options.departed_kept_ms,
        )
        self.loads = LoadBook()
        self.reachability = Reachability(options.reachability)
        self._unknown = UnknownTokens(options.unknown_ms)
        # How long the source has confirmed the picture without a gap.
        self.steady_for_ms: float = 0

    def take_configuration(self, configuration: Configuration, now_ms: float) -> None:
        """Put a configuration in force; an older version than before is ignored."""
        before = self.configuration.version
        if configuration.version <= before:
            if configuration.version < before:
                self._meters.count('configuration_older')
                self._log.write(
                    'configuration_ignored',
                    now_ms,
                    version=configuration.version,
                    in_force=before,
                )
            return
        self.configuration = configuration
        self._log.write(
            'configuration_in_force',
            now_ms,
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
        )

    def take_entry(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Take a new or changed upstream."""
        known = self.directory.find(entry.upstream)
        if known is not None and known.entry.incarnation != entry.incarnation:
            self.reachability.forget(known.token)
        upstream = self.directory.put(entry, now_ms)
        self._log_upstream(upstream, now_ms, 'entry')

    def lose_entry(self, upstream_id: UpstreamId, now_ms: float) -> None:
        """Take note that the entry of an upstream has disappeared."""
        upstream = self.directory.remove(upstream_id, now_ms)
        if upstream is not None:
            self._log_upstream(upstream, now_ms, 'entry_removed')

    def handle(self, datagram: bytes, now_ms: float) -> Iterator[Delivery]:
        """
        Decide on one datagram of a client.

        Parameters
        ----------
        datagram
            The datagram as it arrived.
        now_ms
            Present time.

        Yields
        ------
        Delivery
            Datagrams to send; none if the packet is dropped.
        """
        packet = self._format.decode(datagram)
        if packet is None:
            self._drop(DropReason.MALFORMED, None, now_ms)
        elif packet.is_opening:
            yield from self._open(packet, datagram, now_ms)
        else:
            yield from self._continue(packet, datagram, now_ms)

    def sweep(self, now_ms: float) -> None:
        """Age out flows, requests that got lost, and departed upstreams."""
        self._unknown.expire(now_ms)
        for token, load in self.loads:
            if load.others_trouble >= self._options.suspicious_trouble:
                upstream_in_trouble = self.directory.by_token(token)
                if upstream_in_trouble is not None:
                    self._suspect(upstream_in_trouble, 'reported', now_ms)
        for idle in self._flows.take_idle(now_ms):
            self.loads.detach(idle, now_ms)
        for stalled in tuple(self._flows.stalled(now_ms)):
            self.loads.finish(stalled, now_ms)
        for upstream in self.directory.expire(now_ms):
            self._log_upstream(upstream, now_ms, 'entry_expired')
        self.loads.keep_only({one.token for one in self.directory})
        self._meters.gauge('flows', len(self._flows))

    def _open(
        self,
        packet: Packet,
        datagram: bytes,
        now_ms: float,
    ) -> Iterator[Delivery]:
        route = self.configuration.routes.get(packet.flow.route)
        if route is None:
            yield from self._refuse_unrouted(packet, now_ms)
            return
        choice = self._place(packet, route, now_ms)
        if choice is None:
            # The service may have upstreams again before the client's next copy.
            self._drop(DropReason.NO_UPSTREAM, packet, now_ms)
            return
        self._track_opening(packet.flow, choice.upstream, now_ms)
        self._log_open(packet, route, choice, now_ms)
        self._meters.count('opens_forwarded')
        opening = self._format.with_token(datagram, choice.upstream.token)
        yield _to_upstream(choice.upstream, opening)

    def _place(self, packet: Packet, route: Route, now_ms: float) -> Choice | None:
        hashed = hash_flow(packet.flow)
        excluded = self._unanswered_upstream(packet, now_ms)
        return choose(
            self.directory.pool(route.service_of(hashed)),
            self.loads,
            self.reachability,
            self._domain,
            self._options.placement,
            hashed,
            now_ms,
            excluded,
        )

    def _unanswered_upstream(self, packet: Packet, now_ms: float) -> UpstreamId | None:
        """Return the upstream that did not answer the copy before this one."""
        flow = self._flows.find(packet.flow)
        if flow is None or not packet.copy:
            return None
        self.loads.of(flow.upstream.token).miss_open(now_ms)
        self._suspect(flow.upstream, 'open_unanswered', now_ms)
        self._meters.count('opens_repeated')
        return flow.upstream.entry.upstream

    def _track_opening(self, key: FlowKey, upstream: Upstream, now_ms: float) -> None:
        before = self._flows.remove(key)
        if before is not None:
            self.loads.detach(before, now_ms)
        flow = Flow(key, upstream, now_ms)
        self._add_flow(flow, now_ms)
        # The request follows its opening within a round trip.
        self.loads.start(flow, now_ms)

    def _add_flow(self, flow: Flow, now_ms: float) -> None:
        self.loads.attach(flow)
        displaced = self._flows.add(flow)
        if displaced is not None:
            self.loads.detach(displaced, now_ms)

    def _refuse_unrouted(self, packet: Packet, now_ms: float) -> Iterator[Delivery]:
        if self.configuration is NO_CONFIGURATION:
            self._drop(DropReason.NOT_CONFIGURED, packet, now_ms)
            return
        self._drop(DropReason.NO_ROUTE, packet, now_ms)
        yield self._reset(packet)

    def _reset(self, packet: Packet) -> Delivery:
        host = address_text(packet.flow.client).partition(':')[0]
        return Delivery((host, self._client_port), self._format.reset(packet))

    def _continue(
        self,
        packet: Packet,
        datagram: bytes,
        now_ms: float,
    ) -> Iterator[Delivery]:
        upstream = self.directory.by_token(packet.token)
        if upstream is None:
            yield from self._refuse_unknown(packet, now_ms)
            return
        self._observe(packet, upstream, now_ms)
        if packet.payload_bytes and self._is_unreachable(upstream):
            if self._has_waited(packet.flow) or self._has_room(upstream):
                self._log_reset(packet, upstream, 'unreachable', now_ms)
                yield self._reset(packet)
                return
            # The client sends the packet again and is let go when there is room.
            self._meters.count('resets_held')
        self._meters.count('packets_forwarded')
        yield _to_upstream(upstream, datagram)

    def _has_waited(self, key: FlowKey) -> bool:
        flow = self._flows.find(key)
        return flow is None or flow.retransmissions >= self._options.held_resets

    def _has_room(self, gone: Upstream) -> bool:
        """
        Return whether the rest of a pool can take the flows of a gone upstream.

        The load this answers: a failure domain that is cut off at the crest of a
        swing. Its upstreams would get the users of all others at once, and everybody
        would be late; so users return as fast as there are slots, and after two
        retransmissions in any case.
        """
        pool = [
            one
            for one in self.directory.pool(gone.entry.service)
            if not self._is_unreachable(one)
        ]
        loads = [self.loads.of(one.token) for one in pool]
        busy = sum(load.in_progress + load.others_busy for load in loads)
        slots = sum(one.entry.slots for one in pool)
        return busy < self._options.room * slots

    def _refuse_unknown(self, packet: Packet, now_ms: float) -> Iterator[Delivery]:
        """Drop a packet whose upstream is unknown, or reset its flow if it is gone."""
        self._drop(DropReason.UNKNOWN_TOKEN, packet, now_ms)
        if packet.is_reset or not packet.payload_bytes:
            return
        if self._unknown.is_gone(packet.token, self.steady_for_ms, now_ms):
            self._log_reset(packet, None, 'upstream_gone', now_ms)
            yield self._reset(packet)

    def _observe(self, packet: Packet, upstream: Upstream, now_ms: float) -> None:
        flow = self._flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            if flow is not None:
                self.loads.detach(flow, now_ms)
            if packet.is_closing or packet.is_reset:
                return
            flow = Flow(packet.flow, upstream, now_ms)
            self._add_flow(flow, now_ms)
        was_opened = flow.is_opened
        observation = flow.observe(packet, now_ms)
        if not was_opened and flow.is_opened:
            self._hear(upstream, now_ms)
        self._account(flow, observation, now_ms)

    def _account(self, flow: Flow, observation: Observation, now_ms: float) -> None:
        if observation is Observation.REQUEST:
            self.loads.start(flow, now_ms)
        elif observation is Observation.ANSWER:
            self._hear(flow.upstream, now_ms)
            elapsed_ms = self.loads.answer(flow, now_ms)
            if elapsed_ms is not None:
                self._meters.observe('request_ms', elapsed_ms)
        elif observation is Observation.RETRANSMISSION:
            self._meters.count('retransmissions')
            self._note_retransmission(flow, now_ms)
        elif observation is Observation.END:
            self._flows.remove(flow.key)
            self.loads.detach(flow, now_ms)

    def _note_retransmission(self, flow: Flow, now_ms: float) -> None:
        load = self.loads.of(flow.upstream.token)
        if flow.retransmissions == 1:
            load.miss_answer(now_ms)
        elif flow.retransmissions == 2:
            load.add_trouble(now_ms)
        if self._is_silence_suspicious(flow, load):
            self._suspect(flow.upstream, 'requests_unanswered', now_ms)

    def _is_silence_suspicious(self, flow: Flow, load: UpstreamLoad) -> bool:
        """Return whether more than one long request would explain the silence."""
        if load.silent_flows >= self._options.suspicious_flows:
            return True
        started_ms = flow.started_ms
        is_heard = (
            load.heard_ms is not None
            and started_ms is not None
            and load.heard_ms > started_ms
        )
        return not is_heard and flow.retransmissions >= 2

    def _suspect(self, upstream: Upstream, evidence: str, now_ms: float) -> None:
        if self.directory.is_superseded(upstream):
            reason = 'address_reused'
            change = self.reachability.give_up(upstream.token, reason, now_ms)
            if change is not None:
                self.take_reachability(change, now_ms)
        elif self.reachability.suspect(upstream.token, now_ms):
            self._meters.count('upstreams_suspected')
            heard_ms = self.loads.of(upstream.token).heard_ms
            self._log.write(
                'upstream_suspected',
                now_ms,
                upstream=upstream.entry.upstream,
                reason=evidence,
                heard_before_ms=None if heard_ms is None else round(now_ms - heard_ms),
            )

    def _hear(self, upstream: Upstream, now_ms: float) -> None:
        self.loads.of(upstream.token).hear(now_ms)
        self.reachability.hear(upstream.token)

    def _is_unreachable(self, upstream: Upstream) -> bool:
        return self.reachability.verdict(upstream.token) is Verdict.UNREACHABLE

    def _drop(self, reason: DropReason, packet: Packet | None, now_ms: float) -> None:
        self._meters.count(f'dropped_{reason.value}')
        self._log.write(
            'packet_refused',
            now_ms,
            reason=reason.value,
            flow=flow_text(packet.flow) if packet else None,
            is_opening=packet.is_opening if packet else None,
            token=packet.token if packet else None,
            configuration=self.configuration.version,
        )

    def _log_open(
        self,
        packet: Packet,
        route: Route,
        choice: Choice,
        now_ms: float,
    ) -> None:
        entry = choice.upstream.entry
        self._log.write(
            'flow_placed',
            now_ms,
            flow=flow_text(packet.flow),
            copy=packet.copy,
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
            configuration=self.configuration.version,
        )

    def _log_reset(
        self,
        packet: Packet,
        upstream: Upstream | None,
        reason: str,
        now_ms: float,
    ) -> None:
        self._meters.count('flows_reset')
        self._log.write(
            'flow_reset',
            now_ms,
            flow=flow_text(packet.flow),
            upstream=upstream.entry.upstream if upstream else None,
            token=packet.token,
            reason=reason,
            state=upstream.state.value if upstream else None,
            entry_age_ms=round(now_ms - upstream.changed_ms) if upstream else None,
            picture_steady_ms=round(self.steady_for_ms),
        )

    def take_reachability(self, change: Change, now_ms: float) -> None:
        """Take note that an upstream became reachable or unreachable."""
        upstream = self.directory.by_token(change.token)
        self._log_reachability(change, upstream, now_ms)
        if upstream is None or change.verdict is not Verdict.UNREACHABLE:
            return
        # A failure domain that is cut off takes all of its upstreams with it.
        for neighbour in self.directory.in_domain(upstream.entry.domain):
            heard_ms = self.loads.of(neighbour.token).heard_ms
            if heard_ms is None or now_ms - heard_ms > self._options.neighbour_ms:
                self._suspect(neighbour, 'neighbour_unreachable', now_ms)

    def _log_reachability(
        self,
        change: Change,
        upstream: Upstream | None,
        now_ms: float,
    ) -> None:
        self._meters.count(f'upstreams_{change.verdict.value}')
        self._log.write(
            f'upstream_{change.verdict.value}',
            now_ms,
            upstream=upstream.entry.upstream if upstream else None,
            reason=change.reason,
            after_ms=round(change.suspected_for_ms),
        )

    def _log_upstream(self, upstream: Upstream, now_ms: float, event: str) -> None:
        entry = upstream.entry
        self._meters.count(f'upstreams_{event}')
        self._log.write(
            f'upstream_{event}',
            now_ms,
            upstream=entry.upstream,
            service=entry.service,
            domain=entry.domain,
            state=upstream.state.value,
            slots=entry.slots,
            slow_start_left_ms=entry.slow_start_left_ms,
        )


def hash_flow(flow: FlowKey) -> int:
    """Return a hash of a flow that is the same on every instance."""
    mixed = (flow.client ^ flow.route * CLIENT_MULTIPLIER) & HASH_MASK
    mixed = (mixed ^ mixed >> HASH_SHIFT) * CLIENT_MULTIPLIER & HASH_MASK
    return mixed ^ mixed >> HASH_SHIFT


def deliver_all(
    forwarder: Forwarder,
    datagrams: Iterable[bytes],
    now_ms: float,
) -> Iterator[Delivery]:
    """Iterate over everything to send for some datagrams, in their order."""
    for datagram in datagrams:
        yield from forwarder.handle(datagram, now_ms)


def _to_upstream(upstream: Upstream, datagram: bytes) -> Delivery:
    return Delivery(upstream.entry.address, upstream.entry.frame + datagram)
