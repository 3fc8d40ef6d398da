"""Data plane of an instance: datagram sockets, routing and served upstreams."""

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from returns.result import Failure

from cardamomtiller.counter import Counters
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.datagramsocket import DatagramSocket, Receiver
from cardamomtiller.entrance.routing import (
    Dropped,
    FlowKeys,
    Forwarded,
    InboundPacket,
    Local,
    Rejected,
    Router,
    RoutingView,
)
from cardamomtiller.entrance.selection import Load, Selection, SelectionOptions
from cardamomtiller.identity import (
    MS_PER_S,
    Endpoint,
    InstanceId,
    Outcome,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.serving.flowtable import ServedFlow
from cardamomtiller.serving.home import HomeOutput, ReceivedPacket, ServingContext
from cardamomtiller.serving.link import LinkListener, LinkOptions, TcpLink, UpstreamLink
from cardamomtiller.serving.serving import ServedUpstream
from cardamomtiller.settings_pb2 import Settings
from cardamomtiller.wire_pb2 import (
    Address,
    Backward,
    Forward,
    LoadNotice,
    Packet,
    PeerDatagram,
    Reason,
    Refused,
    Reset,
    UpstreamLoad,
)

SocketOpener = Callable[[Endpoint, Receiver, Counters], DatagramSocket]
LinkMaker = Callable[[Endpoint, LinkListener, LinkOptions, Counters], UpstreamLink]

TICK_MS = 20
LOAD_REPORT_MS = 500
# Time for which the link of a retired upstream stays open while its flows move.
RETIRED_LINK_MS = 10_000
REFUSED_OPEN_RETRY_MS = 500


@dataclass(slots=True)
class ActiveUpstream:
    """A served upstream with its link task and the time of its retirement."""

    upstream: ServedUpstream
    task: asyncio.Task[None]
    address: Endpoint
    retired_ms: float | None = None


class DataPlane(HomeOutput):
    """Receive and route datagrams, and serve the upstreams that are owned here."""

    def __init__(
        self,
        view: RoutingView,
        settings: Settings,
        sealer: CookieSealer,
        counters: Counters,
        cluster_keys: tuple[bytes, ...],
        open_socket: SocketOpener = DatagramSocket,
        make_link: LinkMaker = TcpLink,
    ) -> None:
        """
        Create the data plane; ``add_service`` and ``start`` open sockets.

        Parameters
        ----------
        view
            Initial routing state.
        settings
            Validated settings.
        sealer
            Seals and opens cookies; its keys are set from the catalog of each view.
        counters
            Receives the counts of packets, flows and requests.
        cluster_keys
            Accepted keys of datagrams between instances, the current one first.
        open_socket
            Opens a UDP socket.
        make_link
            Creates the link to an upstream.
        """
        self.served: dict[UpstreamId, ActiveUpstream] = {}
        self.selections: dict[ServiceName, Selection] = {}
        self.context: ServingContext | None = None
        self._settings = settings
        self._sealer = sealer
        self._counters = counters
        self._cluster_keys = cluster_keys
        self._open_socket = open_socket
        self._make_link = make_link
        self._sockets: dict[ServiceName, list[DatagramSocket]] = {}
        self._peer_socket: DatagramSocket | None = None
        self._next_report_ms: float = 0
        self._catalog: Catalog | None = None
        self._last_tick_ms: float = 0
        self._link_options = LinkOptions.from_settings(settings.link)
        self._router = Router(
            view,
            sealer,
            FlowKeys(),
            self.selections,
            settings.flow.open_skew_ms,
        )

    # Sockets

    def add_service(self, service: ServiceName, address: Endpoint) -> None:
        """Receive datagrams at an address of a service."""

        def receive(datagram: bytes, caller: Endpoint) -> None:
            self._receive(service, datagram, caller)

        datagram_socket = self._open_socket(address, receive, self._counters)
        datagram_socket.start(asyncio.get_running_loop())
        self._sockets.setdefault(service, []).append(datagram_socket)

    def listens_on(self, service: ServiceName, address: Endpoint) -> bool:
        """Return whether a socket of a service is open at an address."""
        sockets = self._sockets.get(service, ())
        return any(datagram_socket.address == address for datagram_socket in sockets)

    def start(self, peer_address: Endpoint, context: ServingContext) -> None:
        """Receive datagrams of other instances."""
        self.context = context
        datagram_socket = self._open_socket(
            peer_address, self._receive_peer, self._counters
        )
        datagram_socket.start(asyncio.get_running_loop())
        self._peer_socket = datagram_socket

    def close(self) -> None:
        """Close all sockets and cancel all link tasks."""
        loop = asyncio.get_running_loop()
        for served in self.served.values():
            served.task.cancel()
        for datagram_socket in self._all_sockets():
            datagram_socket.close(loop)

    def _all_sockets(self) -> Iterator[DatagramSocket]:
        for sockets in self._sockets.values():
            yield from sockets
        if self._peer_socket:
            yield self._peer_socket

    # Routing state

    def set_view(self, view: RoutingView, now_ms: float) -> None:
        """Apply a new view: serve the upstreams that it assigns to this instance."""
        catalog = view.catalog
        if catalog is not self._catalog:
            self._catalog = catalog
            self._sealer.set_keys(dict(catalog.keys))
            self._set_pools(catalog.pools, now_ms)
        self._router.view = view
        owned = {
            name for name, owner in view.owners.items() if owner == view.own_instance
        }
        for name in sorted(owned):
            self._serve_upstream(catalog.upstreams[name], now_ms)
        for name, served in tuple(self.served.items()):
            if name not in owned:
                self._retire_upstream(name, served, now_ms)

    def _set_pools(
        self,
        pools: Mapping[ServiceName, tuple[UpstreamRow, ...]],
        now_ms: float,
    ) -> None:
        options = SelectionOptions.from_settings(self._settings.selection)
        for service, rows in pools.items():
            selection = self.selections.setdefault(service, Selection(options))
            selection.set_upstreams(rows, now_ms)
        for service in tuple(self.selections):
            if service not in pools:
                self.selections.pop(service)

    def _serve_upstream(self, row: UpstreamRow, now_ms: float) -> None:
        served = self.served.get(row.name)
        catalog = self._router.view.catalog
        if served and served.address == row.address:
            served.retired_ms = None
            served.upstream.set_row(row, catalog, now_ms)
            served.upstream.resume_ownership(now_ms)
            return
        if self.context is None:
            return
        if served:
            served.task.cancel()
            upstream = served.upstream
            upstream.set_row(row, catalog, now_ms)
        else:
            upstream = ServedUpstream(row, catalog, self.context)
        link = self._make_link(
            row.address,
            upstream,
            self._link_options,
            self._counters,
        )
        upstream.attach(link)
        task = asyncio.create_task(link.run())
        self.served[row.name] = ActiveUpstream(upstream, task, row.address)

    def _retire_upstream(
        self, name: UpstreamId, served: ActiveUpstream, now_ms: float
    ) -> None:
        if served.retired_ms is None:
            served.retired_ms = now_ms
            served.upstream.retire(now_ms)
        is_linger_over = now_ms - served.retired_ms > RETIRED_LINK_MS
        if is_linger_over and served.upstream.is_drained:
            served.task.cancel()
            self.served.pop(name)

    def retire_all(self, now_ms: float) -> None:
        """Retire all upstreams, because the instance stops."""
        for name, served in tuple(self.served.items()):
            self._retire_upstream(name, served, now_ms)

    @property
    def is_drained(self) -> bool:
        """Return whether every request is answered and every answer acknowledged."""
        return all(
            served.upstream.is_drained and served.upstream.is_acknowledged
            for served in self.served.values()
        )

    # Datagrams

    def _receive(
        self,
        service: ServiceName,
        datagram: bytes,
        caller: Endpoint,
        forward: Forward | None = None,
    ) -> None:
        self._counters.add('packet.received')
        decoded = codec.decode_packet(datagram)
        if isinstance(decoded, Failure):
            self._counters.add(decoded.failure())
            return
        packet = decoded.unwrap()
        upstream = UpstreamId(forward.upstream) if forward else None
        inbound = InboundPacket(
            service=service,
            packet=packet,
            datagram=datagram,
            hops=forward.hops if forward else 0,
            upstream=upstream or None,
        )
        now_ms = _now_ms()
        if self._detect_pause(now_ms):
            return
        match self._router.route(inbound, now_ms, time.time() * MS_PER_S):
            case Local() as local:
                forwarder = forward.sender if forward else ''
                self._serve_local(local, packet, caller, forwarder, now_ms)
            case Forwarded() as forwarded:
                self._forward(forwarded, inbound, caller, forward)
            case Rejected() as rejected:
                self._send_rejection(service, caller, packet, rejected)
            case Dropped(counter):
                self._counters.add(counter)

    def _serve_local(
        self,
        local: Local,
        packet: Packet,
        caller: Endpoint,
        forwarder: str,
        now_ms: float,
    ) -> None:
        served = self.served.get(local.upstream)
        if served is None:
            # The upstream was retired here; a reset makes the caller resume.
            self._counters.add('packet.not_served')
            self._reject_not_served(local, packet, caller)
            return
        received = ReceivedPacket(
            packet=packet,
            cookie=local.cookie,
            customer=local.customer,
            caller=caller,
            flow_key=local.flow_key,
            forwarder=forwarder,
        )
        served.upstream.handle(received, now_ms)

    def _reject_not_served(
        self, local: Local, packet: Packet, caller: Endpoint
    ) -> None:
        if local.cookie is None:
            return
        rejected = Rejected(
            Reason.REASON_HOME_GONE,
            local.flow_key,
            local.cookie.generation,
            is_open=False,
            upstream=local.upstream,
        )
        self._send_rejection(
            ServiceName(local.cookie.service), caller, packet, rejected
        )

    def _forward(
        self,
        forwarded: Forwarded,
        inbound: InboundPacket,
        caller: Endpoint,
        forward: Forward | None,
    ) -> None:
        view = self._router.view
        message = Forward(
            sender=forward.sender if forward else view.own_instance,
            sender_incarnation=view.incarnation,
            service=inbound.service,
            caller=Address(host=caller.host, port=caller.port),
            datagram=inbound.datagram,
            upstream=forwarded.upstream,
            hops=inbound.hops + 1,
        )
        self._counters.add('packet.forwarded')
        self._send_peer(forwarded.instance, PeerDatagram(forward=message))

    def _send_rejection(
        self,
        service: ServiceName,
        caller: Endpoint,
        packet: Packet,
        rejected: Rejected,
    ) -> None:
        reply = Packet(flow_id=packet.flow_id, generation=rejected.generation)
        if rejected.is_open:
            self._counters.add('open.refused_at_entrance')
            reply.refused.CopyFrom(
                Refused(reason=rejected.reason, retry_after_ms=REFUSED_OPEN_RETRY_MS),
            )
        else:
            self._counters.add('packet.unroutable')
            reply.reset.CopyFrom(Reset(reason=rejected.reason))
            reply.upstream_tag = codec.tag_upstream(rejected.upstream)
        self._send_datagram(service, caller, reply, rejected.flow_key)

    def _send_datagram(
        self,
        service: ServiceName,
        caller: Endpoint,
        packet: Packet,
        flow_key: bytes,
    ) -> None:
        self._send_to(service, caller, codec.encode_packet(packet, flow_key))

    def _send_to(self, service: ServiceName, caller: Endpoint, datagram: bytes) -> None:
        sockets = self._sockets.get(service)
        if sockets:
            sockets[0].send(datagram, caller)
        else:
            self._counters.add('packet.no_socket')

    # Other instances

    def _receive_peer(self, datagram: bytes, _sender: Endpoint) -> None:
        decoded = codec.decode_peer(datagram, self._cluster_keys)
        if isinstance(decoded, Failure):
            self._counters.add(decoded.failure())
            return
        message = decoded.unwrap()
        match message.WhichOneof('body'):
            case 'forward':
                self._receive_forward(message.forward)
            case 'load_notice':
                notice = message.load_notice
                self.report_load(
                    ServiceName(notice.service),
                    UpstreamId(notice.upstream),
                    notice.load,
                )
            case 'backward':
                self._receive_backward(message.backward)
            case _:
                self._counters.add('peer.unexpected')

    def _receive_backward(self, backward: Backward) -> None:
        caller = Endpoint(backward.caller.host, backward.caller.port)
        self._counters.add('packet.relayed_back')
        self._send_to(ServiceName(backward.service), caller, backward.datagram)

    def _receive_forward(self, forward: Forward) -> None:
        service = ServiceName(forward.service)
        caller = Endpoint(forward.caller.host, forward.caller.port)
        self._receive(service, forward.datagram, caller, forward)

    def _send_peer(self, instance: InstanceId, message: PeerDatagram) -> None:
        row = self._router.instance_row(instance)
        if row is None or self._peer_socket is None:
            self._counters.add('peer.unknown_instance')
            return
        datagram = codec.encode_peer(message, self._cluster_keys[0])
        self._peer_socket.send(datagram, row.peer_address)

    def report_load(
        self,
        service: ServiceName,
        upstream: UpstreamId,
        load: UpstreamLoad,
    ) -> None:
        """Pass the load of an upstream, reported by its owner, to the selection."""
        selection = self.selections.get(service)
        if selection:
            selection.report_load(upstream, Load.from_message(load), _now_ms())

    def loads(self) -> Iterator[tuple[UpstreamRow, UpstreamLoad]]:
        """Iterate over the upstreams owned by this instance, with their loads."""
        for served in self.served.values():
            if served.upstream.is_owner:
                yield served.upstream.row, served.upstream.load()

    # HomeOutput

    def send(self, flow: ServedFlow, packet: Packet) -> None:
        """Send a packet to the caller, authenticated with the key of the flow."""
        if not flow.flow_key:
            self._counters.add('packet.no_flow_key')
            return
        if (
            not flow.relay_instance
            or flow.relay_instance == self._router.view.own_instance
        ):
            self._send_datagram(flow.service, flow.caller, packet, flow.flow_key)
            return
        backward = Backward(
            service=flow.service,
            caller=Address(host=flow.caller.host, port=flow.caller.port),
            datagram=codec.encode_packet(packet, flow.flow_key),
        )
        relay = InstanceId(flow.relay_instance)
        self._send_peer(relay, PeerDatagram(backward=backward))

    def send_load(self, forwarder: str, upstream: UpstreamId) -> None:
        """Send the load of an upstream to the instance that forwarded an open."""
        served = self.served.get(upstream)
        if served is None:
            return
        row = served.upstream.row
        if forwarder == self._router.view.own_instance:
            self.report_load(row.service, upstream, served.upstream.load())
            return
        notice = LoadNotice(
            sender=self._router.view.own_instance,
            service=row.service,
            upstream=upstream,
            load=served.upstream.load(),
        )
        self._send_peer(InstanceId(forwarder), PeerDatagram(load_notice=notice))

    def observe(
        self,
        row: UpstreamRow,
        outcome: Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Report outcome and latency of a request to the upstream selection."""
        selection = self.selections.get(row.service)
        if selection:
            selection.observe(row.name, outcome, latency_ms, now_ms)

    # Periodic work

    async def run(self) -> None:
        """Call ``tick`` periodically until cancelled."""
        while True:
            self.tick(_now_ms())
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def _detect_pause(self, now_ms: float) -> bool:
        """
        Return whether the process has just resumed after a pause.

        If so, the datagrams in the receive buffers are discarded. The time that
        a request spent there is unknown, so it could run after its deadline.
        Callers send their requests again.
        """
        elapsed_ms = now_ms - self._last_tick_ms
        is_late = elapsed_ms > self._settings.membership.late_wake_ms
        if not is_late or not self._last_tick_ms or not self.context:
            return False
        self._last_tick_ms = now_ms
        self.context.identity.resumed_ms = now_ms
        self._counters.add('instance.woke_late')
        dropped = sum(
            datagram_socket.discard_waiting() for datagram_socket in self._all_sockets()
        )
        self._counters.add('packet.dropped_after_pause', dropped)
        return True

    def tick(self, now_ms: float) -> None:
        """Serve the upstreams, and report their loads every ``LOAD_REPORT_MS``."""
        self._detect_pause(now_ms)
        self._last_tick_ms = now_ms
        for name, served in tuple(self.served.items()):
            served.upstream.tick(now_ms)
            if served.retired_ms is not None:
                self._retire_upstream(name, served, now_ms)
        if now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + LOAD_REPORT_MS
            if self.context:
                self.context.record.expire(now_ms)
            for row, load in self.loads():
                self.report_load(row.service, row.name, load)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S
