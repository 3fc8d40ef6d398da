"""Fixture: one served upstream, with recorded link and output and a manual clock."""

import random
from dataclasses import dataclass, field

from cardamomtiller.counter import Counters
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.identity import Endpoint, FlowId, Incarnation, InstanceId
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists.catalog import build_catalog
from cardamomtiller.lists.document import KeyRow, ServiceRow
from cardamomtiller.lists.settings import parse_settings
from cardamomtiller.serving.home import (
    HomeIdentity,
    HomeOutput,
    ReceivedPacket,
    ServingContext,
)
from cardamomtiller.serving.link import UpstreamLink
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.serving.serving import ServedUpstream
from cardamomtiller.wire_pb2 import (
    FlowOpened,
    Hello,
    Open,
    Packet,
    Request,
    UpstreamFrame,
)
from tests.simulation import (
    CUSTOMER,
    SERVICES,
    SETTINGS_TEXT,
    UnlimitedAdmission,
    make_upstream_row,
)

FLOW = FlowId(b'f' * 16)
CALLER = Endpoint('10.9.0.1', 1)
PAYLOAD = b'{}\n'
RETENTION_MS = 60_000


@dataclass
class RecordedOutput(HomeOutput):
    """Record the packets to callers."""

    packets: list[Packet] = field(default_factory=list)

    def send(self, flow, packet):
        copy = Packet()
        copy.CopyFrom(packet)
        self.packets.append(copy)

    def send_load(self, forwarder, upstream):
        """Ignore load notices."""

    def observe(self, row, outcome, latency_ms, now_ms):
        """Ignore outcomes of requests."""


@dataclass
class RecordedLink(UpstreamLink):
    """Record the frames to the upstream."""

    frames: list[UpstreamFrame] = field(default_factory=list)
    is_up = True

    def send(self, frame, service_class):
        self.frames.append(frame)
        return True

    async def run(self):
        """Return at once; the test delivers the frames."""


class HomeRig:
    """One served upstream; the test acts as caller and as upstream."""

    def __init__(self) -> None:
        self.now_ms = 1000.0
        # Duration of a process pause after now_ms was read and before it is used.
        self.paused_ms = 0.0
        self.output = RecordedOutput()
        self.link = RecordedLink()
        self._row = make_upstream_row(1, SERVICES[0])
        key = KeyRow(1, b'k' * 16, is_current=True)
        catalog = build_catalog([key, ServiceRow(SERVICES[0], (), (), None), self._row])
        counters = Counters()
        self._sealer = CookieSealer()
        self._sealer.set_keys(dict(catalog.keys))
        context = ServingContext(
            identity=HomeIdentity(InstanceId('i1'), Incarnation(1)),
            settings=parse_settings(SETTINGS_TEXT, 'rig').unwrap(),
            sealer=self._sealer,
            record=DuplicateRecord(RETENTION_MS),
            admission=UnlimitedAdmission(),
            output=self.output,
            counters=counters,
            invariants=Invariants(counters, is_enabled=True),
            clock_ms=lambda: self.now_ms + self.paused_ms,
            generator=random.Random(1),
        )
        self.served = ServedUpstream(self._row, catalog, context)
        self.served.attach(self.link)

    def connect(self, service=SERVICES[0]) -> None:
        """Deliver the hello of the upstream."""
        hello = Hello(upstream=self._row.name, service=service, incarnation=7)
        self.served.handle_up(hello)

    def open(self) -> None:
        """Deliver an open for the flow or for its next generation."""
        self._handle(Packet(open=Open(customer=CUSTOMER)), b'')

    def grant(self, generation: int) -> bytes:
        """Deliver the upstream's grant of a generation; return the cookie."""
        opened = FlowOpened(flow_id=FLOW, generation=generation)
        self.served.handle_frame(UpstreamFrame(flow_opened=opened))
        return self.output.packets[-1].cookie

    def request(self, cookie: bytes, *, timeout_ms: int = 1000) -> None:
        """Deliver a copy of the non-idempotent request 1."""
        message = Request(
            request_id=1,
            timeout_ms=timeout_ms,
            chunk_count=1,
            total_bytes=len(PAYLOAD),
            payload=PAYLOAD,
        )
        self._handle(Packet(request=message), cookie)

    def run_count(self) -> int:
        """Return the number of run requests to the upstream."""
        return self.frame_count('run_request')

    def frame_count(self, body: str) -> int:
        """Return the number of frames of a type to the upstream."""
        return sum(frame.WhichOneof('body') == body for frame in self.link.frames)

    def packet_count(self, body: str) -> int:
        """Return the number of packets of a type to the caller."""
        packets = self.output.packets
        return sum(packet.WhichOneof('body') == body for packet in packets)

    def _handle(self, packet: Packet, sealed: bytes) -> None:
        packet.flow_id = FLOW
        cookie = self._sealer.open(FLOW, sealed).unwrap() if sealed else None
        received = ReceivedPacket(packet, cookie, CUSTOMER, CALLER, b'key')
        self.served.handle(received, self.now_ms)
