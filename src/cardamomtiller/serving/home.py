"""What the parts of a home share."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cardamomtiller.accounts.admission import Admission, Permit
from cardamomtiller.counter import Counters
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.identity import (
    CustomerId,
    Endpoint,
    FlowId,
    Incarnation,
    InstanceId,
    Outcome,
    ServiceClass,
    UpstreamId,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.serving.flowtable import FlowTable, ServedFlow
from cardamomtiller.serving.link import UpstreamLink
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.settings_pb2 import Settings
from cardamomtiller.wire_pb2 import Cookie, Packet, Reason, Reset, UpstreamFrame


class HomeOutput(ABC):
    """Where packets to callers and observations of upstreams leave."""

    @abstractmethod
    def send(self, flow: ServedFlow, packet: Packet) -> None:
        """Send a packet to the flow's caller, with the MAC of the flow."""

    @abstractmethod
    def send_load(self, forwarder: str, upstream: UpstreamId) -> None:
        """Tell the load of an upstream to the instance that forwarded an open."""

    @abstractmethod
    def observe(
        self,
        row: UpstreamRow,
        outcome: Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Learn how a request at an upstream ended."""


@dataclass(slots=True)
class HomeIdentity:
    """The instance that serves; its incarnation may rise."""

    instance: InstanceId
    incarnation: Incarnation
    # When the process last noticed that it had been paused.
    resumed_ms: float = 0


@dataclass(frozen=True, slots=True)
class ServingContext:
    """What the homes of one instance share."""

    identity: HomeIdentity
    settings: Settings
    sealer: CookieSealer
    record: DuplicateRecord
    admission: Admission
    output: HomeOutput
    counters: Counters
    invariants: Invariants
    clock_ms: Callable[[], float]
    generator: random.Random


@dataclass(frozen=True, slots=True)
class ReceivedPacket:
    """An authenticated packet of a caller and how it came."""

    packet: Packet
    cookie: Cookie | None
    customer: CustomerId
    caller: Endpoint
    flow_key: bytes
    forwarder: str = ''

    @property
    def flow_id(self) -> FlowId:
        """Return the flow of the packet."""
        return FlowId(self.packet.flow_id)


class Home:
    """The upstream that is served, its flows and its link."""

    def __init__(
        self,
        row: UpstreamRow,
        catalog: Catalog,
        context: ServingContext,
    ) -> None:
        """Start without a link."""
        self.row = row
        self.catalog = catalog
        self.context = context
        self.flow_table = FlowTable()
        self.is_owner = True
        self.incarnation: int = 0
        self.is_draining = False
        self._upstream_tag = codec.tag_upstream(row.name)
        self.link: UpstreamLink | None = None

    @property
    def flows_by_id(self) -> dict[FlowId, ServedFlow]:
        """Return the flows by id."""
        return self.flow_table.flows_by_id

    @property
    def settings(self) -> Settings:
        """Return the settings of the instance."""
        return self.context.settings

    @property
    def is_up(self) -> bool:
        """Return whether the right upstream is connected."""
        return self.link is not None and self.link.is_up and self.incarnation > 0

    def send(self, flow: ServedFlow, packet: Packet, generation: int = 0) -> None:
        """Send to a caller; the generation is that of the flow unless given."""
        packet.flow_id = flow.flow_id
        packet.generation = generation or flow.generation
        packet.upstream_tag = self._upstream_tag
        self.context.output.send(flow, packet)

    def send_frame(
        self,
        frame: UpstreamFrame,
        service_class: ServiceClass = ServiceClass.URGENT,
    ) -> bool:
        """Send to the upstream; return False without a link."""
        return self.link is not None and self.link.send(frame, service_class)

    def send_cookie(self, flow: ServedFlow, packet: Packet, now_ms: float) -> None:
        """Send a packet with a new cookie of this home."""
        identity = self.context.identity
        cookie = Cookie(
            service=self.row.service,
            upstream=self.row.name,
            upstream_incarnation=self.incarnation,
            failure_domain=self.row.domain,
            customer=flow.customer,
            home=identity.instance,
            home_incarnation=identity.incarnation,
            generation=flow.generation,
            issued_ms=int(now_ms),
        )
        try:
            packet.cookie = self.context.sealer.seal(flow.flow_id, cookie)
        except LookupError:
            self.count('cookie.no_key')
            return
        self.send(flow, packet)

    def reset_unknown(
        self,
        received: ReceivedPacket,
        reason: Reason.ValueType,
        now_ms: float,
    ) -> None:
        """Answer a packet whose flow is not served here."""
        body = received.packet.WhichOneof('body')
        self.count(f'flow.reset.{Reason.Name(reason).lower()}')
        if body == 'close':
            return
        packet = Packet(flow_id=received.flow_id, reset=Reset(reason=reason))
        packet.upstream_tag = self._upstream_tag
        if received.cookie:
            packet.generation = received.cookie.generation
        self.context.output.send(self.unregistered_flow(received, now_ms), packet)

    def unregistered_flow(self, received: ReceivedPacket, now_ms: float) -> ServedFlow:
        """Return an entry for a flow that is not in the table."""
        return ServedFlow(
            flow_id=received.flow_id,
            service=self.row.service,
            customer=received.customer,
            caller=received.caller,
            sequence=received.packet.sequence,
            generation=0,
            seen_ms=now_ms,
            flow_key=received.flow_key,
            forwarder=received.forwarder,
        )

    def acquire_flow_permit(self, flow: ServedFlow, now_ms: float) -> None:
        """Count an open flow for its customer while this instance owns it."""
        if flow.permit is None and self.is_owner:
            flow.permit = self.context.admission.adopt_flow(flow.customer, now_ms)

    def release_flow_permit(self, flow: ServedFlow, now_ms: float) -> None:
        """Stop counting an open flow here; its next owner counts it."""
        self.release(flow.permit, now_ms)
        flow.permit = None

    def release(self, permit: Permit | None, now_ms: float) -> None:
        """Give a permit back, if there is one."""
        if permit is not None:
            self.context.admission.release(permit, now_ms)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.context.counters.add(name)
