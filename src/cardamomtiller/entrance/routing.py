"""Route a caller's packet to an upstream and to the instance that serves it."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from returns.result import Failure

from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.selection import Selection
from cardamomtiller.identity import (
    CustomerId,
    FlowId,
    Incarnation,
    InstanceId,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import InstanceRow, UpstreamRow
from cardamomtiller.membership.view import View
from cardamomtiller.wire_pb2 import Cookie, Packet, Reason

MAX_HOPS = 2
FLOW_KEYS_CACHED = 50_000

_CALLER_MESSAGES = frozenset(
    ('open', 'request', 'answer_ack', 'push_ack', 'keepalive', 'cancel', 'close'),
)


@dataclass(frozen=True, slots=True)
class Local:
    """Route: this instance serves the packet."""

    upstream: UpstreamId
    cookie: Cookie | None
    customer: CustomerId
    flow_key: bytes


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Route: forward the datagram to another instance."""

    instance: InstanceId
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class Rejected:
    """Route: reject the packet with a refusal (open) or a reset."""

    reason: Reason.ValueType
    flow_key: bytes
    generation: int
    is_open: bool
    upstream: str = ''


@dataclass(frozen=True, slots=True)
class Dropped:
    """Route: drop the packet and increment a counter."""

    counter: str


Route = Local | Forwarded | Rejected | Dropped


@dataclass(frozen=True, slots=True)
class RoutingView:
    """Immutable routing state: catalog, membership and owners of upstreams."""

    own_instance: InstanceId
    incarnation: Incarnation
    catalog: Catalog
    membership: View
    owners: Mapping[UpstreamId, InstanceId] = field(default_factory=dict)
    # Incarnations of this process. It takes a higher one after its clock was set
    # back.
    own_incarnations: frozenset[Incarnation] = frozenset()


@dataclass(frozen=True, slots=True)
class InboundPacket:
    """A decoded packet and the service of the address that received it."""

    service: ServiceName
    packet: Packet
    datagram: bytes
    hops: int = 0
    upstream: UpstreamId | None = None


class FlowKeys:
    """Cache of derived flow keys."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._cache: OrderedDict[tuple[bytes, FlowId], bytes] = OrderedDict()

    def get(self, secret: bytes, flow: FlowId) -> bytes:
        """Return the key of a flow for one secret of a customer."""
        flow_key = self._cache.get((secret, flow))
        if flow_key is None:
            flow_key = codec.derive_flow_key(secret, flow)
            self._cache[(secret, flow)] = flow_key
            if len(self._cache) > FLOW_KEYS_CACHED:
                self._cache.popitem(last=False)
        return flow_key

    def keys_of(
        self,
        catalog: Catalog,
        customer: CustomerId,
        flow: FlowId,
    ) -> Iterator[bytes]:
        """Iterate over the keys of a flow for each accepted secret of a customer."""
        row = catalog.customers.get(customer)
        if row is not None:
            for secret in row.secrets:
                yield self.get(secret, flow)


class Router:
    """Route packets by their cookie; no flow table is needed."""

    def __init__(
        self,
        view: RoutingView,
        sealer: CookieSealer,
        flow_keys: FlowKeys,
        selections: Mapping[ServiceName, Selection],
        open_skew_ms: float,
    ) -> None:
        """Create a router; ``view`` is replaced when lists or membership change."""
        self.view = view
        self.selections = selections
        self._sealer = sealer
        self._flow_keys = flow_keys
        self._open_skew_ms = open_skew_ms

    def instance_row(self, instance: InstanceId) -> InstanceRow | None:
        """Return the published row of an instance."""
        return self.view.catalog.instances.get(instance)

    def route(self, inbound: InboundPacket, now_ms: float, unix_ms: float) -> Route:
        """
        Return the route of a packet.

        Parameters
        ----------
        inbound
            The packet; its MAC is verified here.
        now_ms
            Monotonic time in milliseconds.
        unix_ms
            Wall-clock time in milliseconds, compared with the time stamp of an open.
        """
        body = inbound.packet.WhichOneof('body')
        if body not in _CALLER_MESSAGES:
            return Dropped('packet.unexpected')
        if body == 'open' and not inbound.packet.open.is_resume:
            return self._route_open(inbound, now_ms, unix_ms)
        opened = self._sealer.open(
            FlowId(inbound.packet.flow_id),
            inbound.packet.cookie,
        )
        if isinstance(opened, Failure):
            return Dropped(opened.failure())
        return self._route_cookie(inbound, opened.unwrap())

    def _route_open(
        self, inbound: InboundPacket, now_ms: float, unix_ms: float
    ) -> Route:
        message = inbound.packet.open
        flow = FlowId(inbound.packet.flow_id)
        customer = CustomerId(message.customer)
        if customer not in self.view.catalog.customers:
            return _reject_open(Reason.REASON_UNKNOWN_CUSTOMER, codec.PUBLIC_KEY)
        flow_key = self._authenticate(inbound, customer)
        if flow_key is None:
            return Dropped('packet.forged')
        if abs(unix_ms - message.sent_unix_ms) > self._open_skew_ms:
            return _reject_open(Reason.REASON_CLOCK_SKEW, flow_key)
        upstream = inbound.upstream
        if upstream is None:
            selection = self.selections.get(inbound.service)
            if selection is None:
                return _reject_open(Reason.REASON_NO_UPSTREAM, flow_key)
            upstream = selection.choose(flow, frozenset(), now_ms)
        row = self._upstream_row(inbound.service, upstream)
        if row is None:
            return _reject_open(Reason.REASON_NO_UPSTREAM, flow_key)
        return self._route_to_owner(inbound, Local(row.name, None, customer, flow_key))

    def _route_cookie(self, inbound: InboundPacket, cookie: Cookie) -> Route:
        customer = CustomerId(cookie.customer)
        if cookie.service != inbound.service:
            return Dropped('packet.wrong_service')
        flow_key = self._authenticate(inbound, customer)
        if flow_key is None:
            return Dropped('packet.forged')
        is_open = inbound.packet.WhichOneof('body') == 'open'
        row = self._upstream_row(inbound.service, UpstreamId(cookie.upstream))
        if row is None:
            return _reject_packet(Reason.REASON_UPSTREAM_GONE, flow_key, cookie)
        local = Local(row.name, cookie, customer, flow_key)
        if is_open:
            return self._route_to_owner(inbound, local)
        home = InstanceId(cookie.home)
        incarnation = Incarnation(cookie.home_incarnation)
        if home == self.view.own_instance and incarnation in self.view.own_incarnations:
            return local
        if home == self.view.own_instance or not self.view.membership.is_home_alive(
            home,
            incarnation,
        ):
            return _reject_packet(Reason.REASON_HOME_GONE, flow_key, cookie)
        if inbound.hops >= MAX_HOPS:
            return Dropped('packet.too_many_hops')
        return Forwarded(home, row.name)

    def _route_to_owner(self, inbound: InboundPacket, local: Local) -> Route:
        owner = self.view.owners.get(local.upstream)
        if owner is None:
            return _reject_open(Reason.REASON_NO_UPSTREAM, local.flow_key)
        if owner == self.view.own_instance:
            return local
        if inbound.hops >= MAX_HOPS:
            return Dropped('packet.too_many_hops')
        return Forwarded(owner, local.upstream)

    def _upstream_row(
        self,
        service: ServiceName,
        upstream: UpstreamId | None,
    ) -> UpstreamRow | None:
        if upstream is None:
            return None
        row = self.view.catalog.upstreams.get(upstream)
        if row is None or row.service != service:
            return None
        return row

    def _authenticate(
        self, inbound: InboundPacket, customer: CustomerId
    ) -> bytes | None:
        flow = FlowId(inbound.packet.flow_id)
        keys = self._flow_keys.keys_of(self.view.catalog, customer, flow)
        return codec.matching_key(inbound.datagram, keys)


def _reject_open(reason: Reason.ValueType, flow_key: bytes) -> Rejected:
    return Rejected(reason, flow_key, generation=0, is_open=True)


def _reject_packet(
    reason: Reason.ValueType, flow_key: bytes, cookie: Cookie
) -> Rejected:
    return Rejected(
        reason,
        flow_key,
        cookie.generation,
        is_open=False,
        upstream=cookie.upstream,
    )
