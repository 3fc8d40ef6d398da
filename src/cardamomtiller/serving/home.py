"""State that the flow server and the request server of an upstream share."""

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
    """Output of a home: packets to callers, load notices, request outcomes."""

    @abstractmethod
    def send(self, flow: ServedFlow, packet: Packet) -> None:
        """Send a packet to the caller, authenticated with the key of the flow."""

    @abstractmethod
    def send_load(self, forwarder: str, upstream: UpstreamId) -> None:
        """Send the load of an upstream to the instance that forwarded an open."""

    @abstractmethod
    def observe(
        self,
        row: UpstreamRow,
        outcome: Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Report outcome and latency of a request to the upstream selection."""


@dataclass(slots=True)
class HomeIdentity:
    """Name and incarnation of this instance; the incarnation may increase."""

    instance: InstanceId
    incarnation: Incarnation
    # Time at which the end of the latest pause of the process was detected.
    resumed_ms: float = 0


@dataclass(frozen=True, slots=True)
class ServingContext:
    """Dependencies that all homes of an instance share."""

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
    """An authenticated packet of a caller, its address and its forwarder."""

    packet: Packet
    cookie: Cookie | None
    customer: CustomerId
    caller: Endpoint
    flow_key: bytes
    forwarder: str = ''

    @property
    def flow_id(self) -> FlowId:
        """Return the flow id of the packet."""
        return FlowId(self.packet.flow_id)


class Home:
    """State of one served upstream: published row, flow table and link."""

    def __init__(
        self,
        row: UpstreamRow,
        catalog: Catalog,
        context: ServingContext,
    ) -> None:
        """Create the state of an upstream without flows and without a link."""
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
        """Return the flow table as a dictionary."""
        return self.flow_table.flows_by_id

    @property
    def settings(self) -> Settings:
        """Return the settings of the instance."""
        return self.context.settings

    @property
    def is_up(self) -> bool:
        """Return whether the link is up and the upstream's identity was accepted."""
        return self.link is not None and self.link.is_up and self.incarnation > 0

    def send(self, flow: ServedFlow, packet: Packet, generation: int = 0) -> None:
        """Send a packet to a caller, by default under the generation of the flow."""
        packet.flow_id = flow.flow_id
        packet.generation = generation or flow.generation
        packet.upstream_tag = self._upstream_tag
        self.context.output.send(flow, packet)

    def send_frame(
        self,
        frame: UpstreamFrame,
        service_class: ServiceClass = ServiceClass.URGENT,
    ) -> bool:
        """Send a frame to the upstream; return False if the link is down."""
        return self.link is not None and self.link.send(frame, service_class)

    def send_cookie(self, flow: ServedFlow, packet: Packet, now_ms: float) -> None:
        """Send a packet with a new cookie that names this instance as home."""
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
        """Send a reset for a packet whose flow is not served here."""
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
        """Return a flow state built from a packet, without adding it to the table."""
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
        """Charge the flow to its customer if this instance owns the upstream."""
        if flow.permit is None and self.is_owner:
            flow.permit = self.context.admission.adopt_flow(flow.customer, now_ms)

    def release_flow_permit(self, flow: ServedFlow, now_ms: float) -> None:
        """Stop charging the flow here; the next owner of the upstream charges it."""
        self.release(flow.permit, now_ms)
        flow.permit = None

    def release(self, permit: Permit | None, now_ms: float) -> None:
        """Release a permit of the admission control; None is ignored."""
        if permit is not None:
            self.context.admission.release(permit, now_ms)

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.context.counters.add(name)
