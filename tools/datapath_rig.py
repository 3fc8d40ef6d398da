"""Instances with the production data path on fake sockets and links, for benchmarks."""

import asyncio
import gc
import random
import socket
import statistics
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from cardamomtiller.accounts.admission import Admission
from cardamomtiller.accounts.allowance import Allowance
from cardamomtiller.counter import Counters
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.datagramsocket import DatagramSocket
from cardamomtiller.entrance.dataplane import DataPlane
from cardamomtiller.entrance.routing import RoutingView
from cardamomtiller.identity import (
    MS_PER_S,
    CustomerId,
    DomainName,
    Endpoint,
    FlowId,
    Incarnation,
    InstanceId,
    OperatorState,
    PlanName,
    RegionName,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists.catalog import Catalog, build_catalog
from cardamomtiller.lists.document import (
    CustomerRow,
    InstanceRow,
    KeyRow,
    PlanRow,
    ServiceRow,
    UpstreamRow,
)
from cardamomtiller.lists.settings import parse_settings
from cardamomtiller.membership.view import InstanceState, Member, View
from cardamomtiller.serving.home import HomeIdentity, ServingContext
from cardamomtiller.serving.link import LinkListener, UpstreamLink
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.wire_pb2 import (
    Forward,
    Hello,
    Keepalive,
    Open,
    Packet,
    PeerDatagram,
    Request,
    UpstreamFrame,
)

DOMAIN_COUNT = 8
# Upstreams of one service; docs/design.md does not state this number.
POOL_SIZE = 10

SEED = 3
BODY = bytes(200)
ANSWER = bytes(200)
US_PER_S = 1_000_000
CUSTOMER = CustomerId('resort')
SECRET = b's' * 16
CLUSTER_KEY = b'c' * 16
REGION = RegionName('r0')
LOOPBACK = '127.0.0.1'
CALLER = Endpoint('10.9.0.1', 1)
UNLIMITED = Allowance(1e9, 1e9, 1e9, 1e15)
SETTINGS_TEXT = """
[instance]
name = i0
region = r0
failure_domain = d0
peer_address = 127.0.0.1:1
cluster_key = 63636363636363636363636363636363
[source]
url = http://127.0.0.1:1
"""


class FakeSocket(DatagramSocket):
    """Socket that stores datagrams instead of sending them."""

    def __init__(
        self,
        address: Endpoint,
        receive: Callable[[bytes, Endpoint], None],
        counters: Counters,
    ) -> None:
        """Store the receive callback without binding an address."""
        self.address = address
        self.receive = receive
        self.sent: list[bytes] = []

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Do nothing: datagrams are passed to ``receive`` directly."""

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Do nothing: no socket is open."""

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Store a datagram in ``sent``."""
        self.sent.append(datagram)

    def discard_waiting(self) -> int:
        """Return 0: datagrams never wait here."""
        return 0


class FakeLink(UpstreamLink):
    """Link that is always up and stores the frames to its upstream."""

    def __init__(self, listener: LinkListener) -> None:
        """Report the link as up, with the hello of the upstream."""
        self._listener = listener
        self.sent_frames: list[bytes] = []
        row = listener.row
        listener.handle_up(Hello(upstream=row.name, service=row.service, incarnation=9))

    @property
    def is_up(self) -> bool:
        """Return True: the link is always up."""
        return True

    async def run(self) -> None:
        """Do nothing: there is no connection to maintain."""

    def send(self, frame: UpstreamFrame, _service_class: object) -> bool:
        """Serialize the frame as a TCP link does and store it for ``take_answers``."""
        self.sent_frames.append(frame.SerializeToString())
        return True

    def take_answers(self) -> list[bytes]:
        """Remove the stored frames and return the serialized answers to them."""
        frames, self.sent_frames = self.sent_frames, []
        replies = (_reply(UpstreamFrame.FromString(body)) for body in frames)
        return [reply.SerializeToString() for reply in replies if reply is not None]

    def deliver(self, bodies: Iterable[bytes]) -> None:
        """Parse frames and pass them to the home as a TCP link does."""
        for body in bodies:
            self._listener.handle_frame(UpstreamFrame.FromString(body))


class ImmediateLink(FakeLink):
    """Link whose upstream answers in the next iteration of the event loop."""

    def send(self, frame: UpstreamFrame, service_class: object) -> bool:
        """Store the frame and schedule the delivery of its answer."""
        super().send(frame, service_class)
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: self.deliver(self.take_answers()))
        return True


def _reply(frame: UpstreamFrame) -> UpstreamFrame | None:
    reply = UpstreamFrame()
    match frame.WhichOneof('body'):
        case 'flow_open':
            reply.flow_opened.flow_id = frame.flow_open.flow.flow_id
            reply.flow_opened.generation = frame.flow_open.flow.generation
        case 'flow_ping':
            reply.flow_pong.flow_id = frame.flow_ping.flow.flow_id
        case 'run_request':
            reply.run_answer.flow_id = frame.run_request.flow_id
            reply.run_answer.request_id = frame.run_request.request_id
            reply.run_answer.chunk_count = 1
            reply.run_answer.payload = ANSWER
        case _:
            return None
    return reply


class UnlimitedLease:
    """Lease whose share is always the whole plan."""

    generation = 0

    def plan(self, _customer: CustomerId) -> Allowance:
        """Return the plan of any customer."""
        return UNLIMITED

    def share_until(
        self, _customer: CustomerId, now_ms: float
    ) -> tuple[Allowance, float]:
        """Return the plan as a share that expires in two seconds."""
        return UNLIMITED, now_ms + 2000

    def request_report(self, *, is_new: bool = True) -> None:
        """Do nothing: no grantor exists."""


@dataclass(frozen=True, slots=True)
class Topology:
    """Published lists, the membership view and the owner of each upstream."""

    catalog: Catalog
    membership: View
    owners: dict[UpstreamId, InstanceId]


def make_topology(
    instance_count: int,
    upstream_count: int,
    slots: int = 2,
    ports: Sequence[int] | None = None,
) -> Topology:
    """Return a topology in which instance ``n % instance_count`` owns upstream n."""
    instance_rows = tuple(
        _instance_row(number, ports) for number in range(instance_count)
    )
    services = tuple(
        ServiceRow(ServiceName(f's{number}'), (), (), None)
        for number in range(max(1, upstream_count // POOL_SIZE))
    )
    upstream_rows = tuple(
        UpstreamRow(
            name=UpstreamId(f'u{number}'),
            service=services[number % len(services)].name,
            domain=DomainName(f'd{number % DOMAIN_COUNT}'),
            region=REGION,
            address=Endpoint('10.1.0.1', 1000 + number),
            stream_address=None,
            slots=slots,
            state=OperatorState.LIVE,
        )
        for number in range(upstream_count)
    )
    plan = PlanRow(PlanName('gold'), 1e9, 10**9, 10**9, 1e15, 1)
    customer = CustomerRow(CUSTOMER, plan.name, (SECRET,))
    sealing_key = KeyRow(1, b'k' * 16, is_current=True)
    members = {
        row.name: Member(row, InstanceState.LIVE, Incarnation(7))
        for row in instance_rows
    }
    return Topology(
        catalog=build_catalog(
            (plan, customer, sealing_key, *services, *upstream_rows, *instance_rows)
        ),
        membership=View(1, members),
        owners={
            row.name: instance_rows[number % instance_count].name
            for number, row in enumerate(upstream_rows)
        },
    )


def _instance_row(number: int, ports: Sequence[int] | None) -> InstanceRow:
    endpoint = Endpoint('10.2.0.1', 1000 + number)
    if ports:
        endpoint = Endpoint(LOOPBACK, ports[number])
    return InstanceRow(
        name=InstanceId(f'i{number}'),
        domain=DomainName(f'd{number % DOMAIN_COUNT}'),
        region=REGION,
        peer_address=endpoint,
        state=OperatorState.LIVE,
    )


class BenchInstance:
    """Instance with a production data path on fake sockets and links."""

    def __init__(
        self,
        topology: Topology,
        index: int,
        link_type: Callable[[LinkListener], FakeLink] = FakeLink,
        socket_type: Callable[..., DatagramSocket] = FakeSocket,
        service_address: Endpoint = CALLER,
    ) -> None:
        """Start the data path; requires a running event loop."""
        self.sockets: list[DatagramSocket] = []
        self.links: list[FakeLink] = []
        self.counters = Counters()
        settings = parse_settings(SETTINGS_TEXT, 'bench').unwrap()
        sealer = CookieSealer()
        row = tuple(topology.catalog.instances.values())[index]
        self.row = row
        view = RoutingView(
            own_instance=row.name,
            incarnation=Incarnation(7),
            own_incarnations=frozenset((Incarnation(7),)),
            catalog=topology.catalog,
            membership=topology.membership,
            owners=topology.owners,
        )

        def open_socket(*arguments: object) -> DatagramSocket:
            self.sockets.append(socket_type(*arguments))
            return self.sockets[-1]

        def make_link(_address: object, listener: LinkListener, *_: object) -> FakeLink:
            self.links.append(link_type(listener))
            return self.links[-1]

        self.data_plane = DataPlane(
            view,
            settings,
            sealer,
            self.counters,
            (CLUSTER_KEY,),
            open_socket=open_socket,
            make_link=make_link,
        )
        loop = asyncio.get_running_loop()
        self.record = DuplicateRecord(
            settings.flow.cookie_lifetime_ms + settings.flow.longest_timeout_ms
        )
        context = ServingContext(
            identity=HomeIdentity(row.name, Incarnation(7)),
            settings=settings,
            sealer=sealer,
            record=self.record,
            admission=Admission(UnlimitedLease(), settings.lease.burst_ms),
            output=self.data_plane,
            counters=self.counters,
            invariants=Invariants(self.counters, is_enabled=True),
            clock_ms=lambda: loop.time() * MS_PER_S,
            generator=random.Random(SEED),
        )
        self.data_plane.start(row.peer_address, context)
        self.data_plane.add_service(ServiceName('s0'), service_address)
        self.data_plane.set_view(view, loop.time() * MS_PER_S)
        self.peer, self.service = self.sockets

    def deliver_answers(self) -> float:
        """
        Deliver the answers of all upstreams to the frames sent to them.

        Returns
        -------
        float
            CPU time in seconds of the home, without that of the upstreams.
        """
        cpu_s = 0.0
        for link in self.links:
            bodies = link.take_answers()
            begin_s = time.process_time()
            link.deliver(bodies)
            cpu_s += time.process_time() - begin_s
        return cpu_s


class Caller:
    """Flows of one customer, with their keys and cookies."""

    def __init__(self, count: int, seed: int = SEED) -> None:
        """Generate flow ids from the seed and derive their keys."""
        generator = random.Random(seed)
        self.flows = [FlowId(generator.randbytes(16)) for _ in range(count)]
        self.keys = [codec.derive_flow_key(SECRET, flow) for flow in self.flows]
        self.cookies = [b''] * count
        self.sequence = 0
        self._numbers = {flow: number for number, flow in enumerate(self.flows)}

    def encode_packets(self, make_packet: Callable[[], Packet]) -> list[bytes]:
        """Return one authenticated datagram for each flow."""
        self.sequence += 1
        datagrams = []
        for flow, key, cookie in zip(self.flows, self.keys, self.cookies, strict=True):
            packet = make_packet()
            packet.flow_id = flow
            packet.cookie = cookie
            packet.sequence = self.sequence
            datagrams.append(codec.encode_packet(packet, key))
        return datagrams

    def store_cookies(self, datagrams: Iterable[bytes]) -> None:
        """Store the cookies of received answers for their flows."""
        for datagram in datagrams:
            packet = codec.decode_packet(datagram).unwrap()
            if packet.cookie:
                self.cookies[self._numbers[FlowId(packet.flow_id)]] = packet.cookie


def make_open() -> Packet:
    """Return an open packet of the customer."""
    now_ms = int(time.time() * MS_PER_S)
    return Packet(open=Open(customer=CUSTOMER, sent_unix_ms=now_ms))


def make_keepalive() -> Packet:
    """Return a keepalive packet."""
    return Packet(keepalive=Keepalive())


def make_request(number: int) -> Packet:
    """Return a request packet of one chunk."""
    request = Request(
        request_id=number,
        timeout_ms=60_000,
        chunk_count=1,
        total_bytes=len(BODY),
        first_open_request_id=number,
        payload=BODY,
    )
    return Packet(request=request)


def encode_forwards(datagrams: Iterable[bytes], upstream: str = 'u0') -> list[bytes]:
    """Wrap datagrams as an entry instance does to forward them to the home."""
    envelopes = []
    for datagram in datagrams:
        message = Forward(
            sender='i1',
            sender_incarnation=7,
            service='s0',
            datagram=datagram,
            upstream=upstream,
            hops=1,
        )
        message.caller.host, message.caller.port = CALLER.host, CALLER.port
        peer = PeerDatagram(forward=message)
        envelopes.append(codec.encode_peer(peer, CLUSTER_KEY))
    return envelopes


def measure_per_item_us(count: int, action: Callable[[], object]) -> float:
    """Return microseconds of CPU time per item of an action on ``count`` items."""
    gc.collect()
    begin_s = time.process_time()
    action()
    return (time.process_time() - begin_s) / count * US_PER_S


def measure_per_item_at_home_us(
    home: BenchInstance, receiving_socket: DatagramSocket, datagrams: list
) -> float:
    """Return the CPU time per datagram at the home, upstream answers included."""
    received_us = measure_per_item_us(
        len(datagrams), lambda: receive_all(receiving_socket, datagrams)
    )
    return received_us + home.deliver_answers() / len(datagrams) * US_PER_S


def receive_all(receiving_socket: DatagramSocket, datagrams: Iterable[bytes]) -> None:
    """Pass datagrams to the receive callback of a fake socket."""
    receive = receiving_socket.receive
    for datagram in datagrams:
        receive(datagram, CALLER)
    receiving_socket.sent.clear()


def measure_receive_us(instance: BenchInstance, datagrams: Sequence[bytes]) -> float:
    """Return microseconds of CPU time per datagram received from clients."""
    return measure_per_item_us(
        len(datagrams), lambda: receive_all(instance.service, datagrams)
    )


def round_median_us(samples_us: Iterable[float]) -> float:
    """Return the median, rounded to 0.1 us."""
    return round(statistics.median(samples_us), 1)


def open_at_home(home: BenchInstance, caller: Caller) -> None:
    """Open all flows through an entry instance and store their cookies."""
    receive_all(home.peer, encode_forwards(caller.encode_packets(make_open)))
    home.deliver_answers()
    caller.store_cookies(home.service.sent)
    home.service.sent.clear()
    home.peer.sent.clear()


def check_count(instance: BenchInstance, name: str, expected: int) -> None:
    """
    Check a counter, so that dropped packets cannot improve a figure.

    Raises
    ------
    AssertionError
        If the counter does not have the expected value.
    """
    if instance.counters.count(name) != expected:
        raise AssertionError(f'{name}: {instance.counters.counts()}')


def find_free_ports(count: int) -> list[int]:
    """Return free UDP ports on loopback."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind((LOOPBACK, 0))
    ports = [udp_socket.getsockname()[1] for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return ports
