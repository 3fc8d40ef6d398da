"""Benchmark the data path: production modules with fake sockets and links.

All figures are for one core and one event loop. The fakes serialize each message as
the production sockets and links do, but make no system call. Only the cases of the
extra hop, of idle client flows and of open sockets use real sockets on loopback.
"""

import argparse
import asyncio
import gc
import json
import os
import platform
import random
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.internal import api_implementation

from cardamomtiller.accounts.admission import Admission
from cardamomtiller.accounts.allowance import Allowance
from cardamomtiller.client import Client
from cardamomtiller.counter import Counters
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.datagramsocket import DatagramSocket
from cardamomtiller.entrance.dataplane import DataPlane
from cardamomtiller.entrance.routing import RoutingView
from cardamomtiller.identity import (
    MS_PER_S,
    CustomerId,
    DocumentName,
    DomainName,
    Endpoint,
    FlowId,
    Incarnation,
    InstanceId,
    OperatorState,
    PlanName,
    RegionName,
    RequestId,
    RequestKey,
    ServiceName,
    UpstreamId,
    Version,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists.catalog import Catalog, build_catalog
from cardamomtiller.lists.document import (
    CustomerRow,
    Document,
    InstanceRow,
    KeyRow,
    PlanRow,
    ServiceRow,
    UpstreamRow,
    parse_document,
)
from cardamomtiller.lists.settings import parse_settings
from cardamomtiller.membership.membership import InstanceState, Member, View
from cardamomtiller.serving.home import HomeIdentity, ServingContext
from cardamomtiller.serving.link import LinkListener, UpstreamLink
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.wire_pb2 import (
    AnswerAck,
    Forward,
    Hello,
    Keepalive,
    Open,
    Packet,
    PeerDatagram,
    Request,
    UpstreamFrame,
)

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / 'build' / 'datapath.json'
IMPLEMENTATIONS = ('upb', 'python')
IMPLEMENTATION_VARIABLE = 'PROTOCOL_BUFFERS_PYTHON_IMPLEMENTATION'

# Scale of the deployment in docs/design.md.
INSTANCE_COUNT = 590
UPSTREAM_COUNT = 3500
ADDRESS_COUNT = 2300
OPEN_FLOW_COUNT = 21_000_000
DOMAIN_COUNT = 8
# Upstreams of one service; docs/design.md does not state this number.
POOL_SIZE = 10

FLOW_COUNT = 2000
ROUND_COUNT = 5
MEMORY_FLOW_COUNT = 40_000
MEMORY_REQUEST_COUNT = 20_000
MEMORY_RECORD_COUNT = 50_000
MEMORY_CLIENT_COUNT = 500
SEED = 3
BODY = bytes(200)
ANSWER = bytes(200)
HOP_SAMPLE_COUNT = 2000
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


# CPU time


def open_at_home(home: BenchInstance, caller: Caller) -> None:
    """Open all flows through an entry instance and store their cookies."""
    receive_all(home.peer, encode_forwards(caller.encode_packets(make_open)))
    home.deliver_answers()
    caller.store_cookies(home.service.sent)
    home.service.sent.clear()
    home.peer.sent.clear()


def measure_home_opens(topology: Topology) -> float:
    """Return the CPU time of an open at the home, upstream answer included."""
    samples_us = []
    for number in range(ROUND_COUNT):
        home = BenchInstance(topology, 0)
        datagrams = encode_forwards(
            Caller(FLOW_COUNT, number).encode_packets(make_open)
        )
        samples_us.append(measure_per_item_at_home_us(home, home.peer, datagrams))
        check_count(home, 'flow.opened', FLOW_COUNT)
    return round_median_us(samples_us)


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


def measure_entry(topology: Topology, caller: Caller) -> dict[str, float]:
    """Return the CPU time per packet at an entry instance."""
    keepalives = caller.encode_packets(make_keepalive)
    uncached_us, cached_us, open_us = [], [], []
    for number in range(ROUND_COUNT):
        entry = BenchInstance(topology, 1)
        uncached_us.append(measure_receive_us(entry, keepalives))
        cached_us.append(measure_receive_us(entry, keepalives))
        check_count(entry, 'packet.forwarded', 2 * FLOW_COUNT)
        datagrams = Caller(FLOW_COUNT, 100 + number).encode_packets(make_open)
        open_us.append(measure_receive_us(entry, datagrams))
    return {
        'entry_forward_cookie_not_cached': round_median_us(uncached_us),
        'entry_forward_cookie_cached': round_median_us(cached_us),
        'entry_open_pool_of_10': round_median_us(open_us),
    }


def measure_keepalives(home: BenchInstance, caller: Caller) -> dict[str, float]:
    """Return the CPU time of a keepalive at the home, upstream pong included."""
    result = {}
    for name, receiving_socket, encode in (
        ('home_keepalive_direct', home.service, list),
        ('home_keepalive_forwarded', home.peer, encode_forwards),
    ):
        samples_us = []
        for _ in range(ROUND_COUNT):
            datagrams = encode(caller.encode_packets(make_keepalive))
            home.service.sent.clear()
            samples_us.append(
                measure_per_item_at_home_us(home, receiving_socket, datagrams)
            )
            if len(home.service.sent) != FLOW_COUNT:
                raise AssertionError(f'{len(home.service.sent)} keepalive answers')
        result[name] = round_median_us(samples_us)
    return result


def measure_requests(home: BenchInstance, caller: Caller) -> float:
    """Return the CPU time of a forwarded request, from arrival to answer ack."""
    samples_us = []
    for number in range(1, ROUND_COUNT + 1):
        requests = encode_forwards(
            caller.encode_packets(lambda number=number: make_request(number))
        )
        ack = AnswerAck(request_id=number, next_chunk_index=1)
        acks = encode_forwards(
            caller.encode_packets(lambda ack=ack: Packet(answer_ack=ack))
        )
        cpu_s = 0.0
        for request, ack_datagram in zip(requests, acks, strict=True):
            begin_s = time.process_time()
            home.peer.receive(request, CALLER)
            cpu_s += time.process_time() - begin_s
            cpu_s += home.deliver_answers()
            begin_s = time.process_time()
            home.peer.receive(ack_datagram, CALLER)
            cpu_s += time.process_time() - begin_s
        samples_us.append(cpu_s / FLOW_COUNT * US_PER_S)
        check_count(home, 'request.done', number * FLOW_COUNT)
        home.service.sent.clear()
    return round_median_us(samples_us)


def measure_dropped(topology: Topology, caller: Caller) -> dict[str, float]:
    """Return the CPU time of each kind of packet that an entry instance drops."""
    valid_datagrams = caller.encode_packets(make_keepalive)
    forged_datagrams = [
        datagram[:1] + bytes(8) + datagram[9:] for datagram in valid_datagrams
    ]
    forging_caller = Caller(FLOW_COUNT, 99)
    forging_caller.cookies = [bytes((1,)) + bytes(150)] * FLOW_COUNT
    cases = {
        'drop_forged_mac': ('packet.forged', forged_datagrams),
        'drop_forged_cookie': (
            'cookie.forged',
            forging_caller.encode_packets(make_keepalive),
        ),
        'drop_oversized': ('packet.oversized', [bytes(1351)] * FLOW_COUNT),
        'drop_malformed': ('packet.malformed', [b'\x01' + b'\xff' * 100] * FLOW_COUNT),
    }
    result = {}
    for name, (counter, datagrams) in cases.items():
        samples_us = []
        for _ in range(ROUND_COUNT):
            entry = BenchInstance(topology, 1)
            receive_all(entry.service, valid_datagrams)
            samples_us.append(measure_receive_us(entry, datagrams))
            check_count(entry, counter, FLOW_COUNT)
        result[name] = round_median_us(samples_us)
    return result


def measure_caller_library() -> dict[str, float]:
    """Return the CPU time of encoding and of verifying a packet at the client."""
    caller = Caller(FLOW_COUNT)
    caller.cookies = [bytes(150)] * FLOW_COUNT
    encode_us = [
        measure_per_item_us(FLOW_COUNT, lambda: caller.encode_packets(make_keepalive))
        for _ in range(ROUND_COUNT)
    ]
    datagrams = caller.encode_packets(make_keepalive)

    def check_all() -> None:
        for datagram, key in zip(datagrams, caller.keys, strict=True):
            codec.decode_packet(datagram)
            codec.is_authentic(datagram, (key,))

    check_us = [measure_per_item_us(FLOW_COUNT, check_all) for _ in range(ROUND_COUNT)]
    return {
        'caller_make_packet': round_median_us(encode_us),
        'caller_check_packet': round_median_us(check_us),
    }


def measure_cpu() -> dict[str, float]:
    """Return microseconds of CPU time per packet in each case."""

    async def measure() -> dict[str, float]:
        topology = make_topology(INSTANCE_COUNT, UPSTREAM_COUNT)
        home, caller = BenchInstance(topology, 0), Caller(FLOW_COUNT)
        open_at_home(home, caller)
        return {
            **measure_entry(topology, caller),
            **measure_keepalives(home, caller),
            'home_open': measure_home_opens(topology),
            'home_request': measure_requests(home, caller),
            **measure_dropped(topology, caller),
            **measure_caller_library(),
        }

    return asyncio.run(measure())


# Periodic work and list changes


def measure_periodic() -> dict[str, float]:
    """Return milliseconds of periodic work and of applying changed lists."""

    async def measure() -> dict[str, float]:
        topology = make_topology(INSTANCE_COUNT, UPSTREAM_COUNT)
        per_instance = OPEN_FLOW_COUNT // INSTANCE_COUNT
        home, caller = BenchInstance(topology, 0), Caller(per_instance)
        open_at_home(home, caller)
        loop = asyncio.get_running_loop()
        now_ms = loop.time() * MS_PER_S
        # Opening is slow with pure-Python protobuf; reset the idle time of all flows.
        for active in home.data_plane.served.values():
            for row in active.upstream.home.flows_by_id.values():
                row.seen_ms = now_ms
        home.data_plane.tick(now_ms)
        tick_ms = [
            measure_per_item_us(
                1, lambda step=step: home.data_plane.tick(now_ms + step)
            )
            / MS_PER_S
            for step in range(1, 50)
        ]
        sweep_ms = [
            measure_per_item_us(
                1, lambda step=step: home.data_plane.tick(now_ms + step)
            )
            / MS_PER_S
            for step in range(2000, 12_000, 2000)
        ]
        return {
            'tick_ms': round(statistics.median(tick_ms), 3),
            'tick_with_sweep_ms': round(statistics.median(sweep_ms), 1),
            **measure_lists(topology, home),
            **measure_sockets(),
        }

    return asyncio.run(measure())


def measure_lists(topology: Topology, home: BenchInstance) -> dict[str, float]:
    """Return milliseconds of parsing and applying lists of the design scale."""
    catalog = topology.catalog
    per_domain = UPSTREAM_COUNT // DOMAIN_COUNT
    upstreams_text = '[domain]\nregion = r0\n' + ''.join(
        f'[upstream u{number}]\nservice = s{number}\n'
        f'address = 10.1.0.1:{1000 + number}\nslots = 2\n'
        for number in range(per_domain)
    )
    upstreams_document = Document(
        DocumentName('upstreams.d0'), Version(1), upstreams_text
    )
    customers_text = ''.join(
        f'[customer c{number}]\nplan = gold\nsecret = {number:032x}\n'
        for number in range(2000)
    )
    customers_document = Document(DocumentName('customers'), Version(1), customers_text)
    rows = (
        *catalog.plans.values(),
        *catalog.services.values(),
        *catalog.upstreams.values(),
        *catalog.instances.values(),
    )
    rebuilt_catalog = build_catalog((*rows, *catalog.keys.values()))
    view = RoutingView(
        own_instance=home.row.name,
        incarnation=Incarnation(7),
        catalog=rebuilt_catalog,
        membership=topology.membership,
        owners=topology.owners,
    )
    now_ms = asyncio.get_running_loop().time() * MS_PER_S
    cases = {
        'parse_437_upstreams_ms': lambda: parse_document(upstreams_document).unwrap(),
        'parse_2000_customers_ms': lambda: parse_document(customers_document).unwrap(),
        'build_catalog_ms': lambda: build_catalog(rows),
        'set_view_ms': lambda: home.data_plane.set_view(view, now_ms),
    }
    result = {
        name: round(
            statistics.median(measure_per_item_us(1, case) for _ in range(3)) / 1000, 1
        )
        for name, case in cases.items()
    }
    result['customers_list_bytes_each'] = round(len(customers_text) / 2000, 1)
    result['upstreams_list_bytes_each'] = round(len(upstreams_text) / per_domain, 1)
    return result


def measure_sockets() -> dict[str, float]:
    """Return time and memory of one UDP socket for each published address."""
    loop = asyncio.get_running_loop()
    bytes_before = resident_bytes()
    begin_s = time.perf_counter()
    counters = Counters()
    sockets = [
        DatagramSocket(Endpoint(LOOPBACK, 0), lambda *_: None, counters)
        for _ in range(ADDRESS_COUNT)
    ]
    for udp_socket in sockets:
        udp_socket.start(loop)
    duration_ms = (time.perf_counter() - begin_s) * MS_PER_S
    growth_bytes = resident_bytes() - bytes_before
    for udp_socket in sockets:
        udp_socket.close(loop)
    return {
        'open_2300_sockets_ms': round(duration_ms, 1),
        'socket_resident_bytes': round(growth_bytes / ADDRESS_COUNT),
    }


# Memory


def resident_bytes() -> int:
    """Return the resident memory of this process after garbage collection."""
    gc.collect()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def measure_memory_flows() -> dict[str, float]:
    """Return resident bytes of an open flow, with and without caches."""

    async def measure() -> dict[str, float]:
        home, caller = BenchInstance(make_topology(9, 11), 0), Caller(MEMORY_FLOW_COUNT)
        warm_up_caller = Caller(100, 1)
        open_at_home(home, warm_up_caller)
        bytes_before = resident_bytes()
        for datagram in _iterate_forwards(caller, make_open):
            home.peer.receive(datagram, CALLER)
            home.deliver_answers()
            caller.store_cookies(home.service.sent)
            home.service.sent.clear()
            home.peer.sent.clear()
        bytes_after_open = resident_bytes()
        # The client side shares this process, so subtract its cookies.
        cookie_bytes = sum(sys.getsizeof(cookie) for cookie in caller.cookies)
        for datagram in _iterate_forwards(caller, make_keepalive):
            home.peer.receive(datagram, CALLER)
            home.deliver_answers()
            home.service.sent.clear()
        bytes_after_keepalive = resident_bytes()
        return {
            'open_flow_bytes': round(
                (bytes_after_open - bytes_before - cookie_bytes) / MEMORY_FLOW_COUNT
            ),
            'open_flow_with_caches_bytes': round(
                (bytes_after_keepalive - bytes_before - cookie_bytes)
                / MEMORY_FLOW_COUNT
            ),
        }

    return asyncio.run(measure())


def _iterate_forwards(
    caller: Caller, make_packet: Callable[[], Packet]
) -> Iterable[bytes]:
    """Yield forwarded datagrams one at a time to limit memory use."""
    caller.sequence += 1
    for number, flow in enumerate(caller.flows):
        packet = make_packet()
        packet.flow_id = flow
        packet.cookie = caller.cookies[number]
        packet.sequence = caller.sequence
        yield from encode_forwards((codec.encode_packet(packet, caller.keys[number]),))


def measure_memory_requests() -> dict[str, float]:
    """Return resident bytes of a running request of 200 bytes."""

    async def measure() -> dict[str, float]:
        topology = make_topology(1, 1, slots=2 * MEMORY_REQUEST_COUNT)
        home, caller = BenchInstance(topology, 0), Caller(MEMORY_REQUEST_COUNT)
        open_at_home(home, caller)
        for datagram in _iterate_forwards(caller, make_keepalive):
            home.peer.receive(datagram, CALLER)
        home.deliver_answers()
        home.service.sent.clear()
        bytes_before = resident_bytes()
        for datagram in _iterate_forwards(caller, lambda: make_request(1)):
            home.peer.receive(datagram, CALLER)
            home.service.sent.clear()
            home.links[0].sent_frames.clear()
        bytes_after = resident_bytes()
        check_count(home, 'request.run', MEMORY_REQUEST_COUNT)
        return {
            'running_request_bytes': round(
                (bytes_after - bytes_before) / MEMORY_REQUEST_COUNT
            ),
        }

    return asyncio.run(measure())


def measure_memory_record() -> dict[str, float]:
    """Return resident bytes of entries in the duplicate record."""
    record = DuplicateRecord(180_000)
    generator = random.Random(SEED)
    flows = [FlowId(generator.randbytes(16)) for _ in range(MEMORY_RECORD_COUNT)]
    bytes_before = resident_bytes()
    for flow in flows:
        record.begin(RequestKey(flow, RequestId(1)), 1, 0)
    bytes_after_first = resident_bytes()
    for flow in flows:
        for number in (2, 3, 4, 5):
            record.begin(RequestKey(flow, RequestId(number)), 1, 0)
    bytes_after_further = resident_bytes()
    return {
        'record_first_of_flow_bytes': round(
            (bytes_after_first - bytes_before) / MEMORY_RECORD_COUNT
        ),
        'record_further_of_flow_bytes': round(
            (bytes_after_further - bytes_after_first) / MEMORY_RECORD_COUNT / 4
        ),
    }


def measure_memory_callers() -> dict[str, float]:
    """Return resident bytes of an idle flow, in client and home together."""

    async def measure() -> dict[str, float]:
        ports = find_free_ports(2)
        topology = make_topology(1, 1, ports=ports)
        service = Endpoint(LOOPBACK, ports[1])
        home = BenchInstance(topology, 0, ImmediateLink, DatagramSocket, service)
        clients = []
        warm_up_clients = await _open_clients(service, 50)
        bytes_before = resident_bytes()
        clients = await _open_clients(service, MEMORY_CLIENT_COUNT)
        bytes_after = resident_bytes()
        check_count(home, 'flow.opened', MEMORY_CLIENT_COUNT + len(warm_up_clients))
        for client in (*warm_up_clients, *clients):
            await client.close()
        home.data_plane.close()
        return {
            'caller_and_home_flow_bytes': round(
                (bytes_after - bytes_before) / MEMORY_CLIENT_COUNT
            )
        }

    return asyncio.run(measure())


async def _open_clients(service: Endpoint, count: int) -> list[Client]:
    clients = [Client(service, CUSTOMER, SECRET) for _ in range(count)]
    for client in clients:
        await client.open()
    return clients


def measure_memory() -> dict[str, float]:
    """Return the memory of all cases; each runs in a separate process."""
    cases = ('flows', 'requests', 'record', 'callers')
    result: dict[str, float] = {}
    for case in cases:
        result.update(run_part(f'memory_{case}', api_implementation.Type()))
    return result


# Extra hop


def find_free_ports(count: int) -> list[int]:
    """Return free UDP ports on loopback."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind((LOOPBACK, 0))
    ports = [udp_socket.getsockname()[1] for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return ports


def measure_hop() -> dict[str, float]:
    """Return round-trip times of keepalives to the home, direct and forwarded."""

    async def measure() -> dict[str, float]:
        ports = find_free_ports(4)
        topology = make_topology(2, 2, ports=ports[:2])
        addresses = [Endpoint(LOOPBACK, port) for port in ports[2:]]
        instances = [
            BenchInstance(
                topology, number, ImmediateLink, DatagramSocket, addresses[number]
            )
            for number in range(2)
        ]
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller_socket:
            caller_socket.setblocking(False)
            caller_socket.bind((LOOPBACK, 0))
            caller = Caller(1)
            # Open flows until instance 0 serves one; it owns upstream u0.
            answer = b''
            serving_instance = 'i1'
            seed = 0
            while serving_instance != 'i0':
                caller = Caller(1, seed)
                seed += 1
                (datagram,) = caller.encode_packets(make_open)
                await loop.sock_sendto(caller_socket, datagram, addresses[0].as_pair())
                answer = await asyncio.wait_for(loop.sock_recv(caller_socket, 4096), 2)
                packet = codec.decode_packet(answer).unwrap()
                serving_instance = 'i0' if packet.opened.upstream == 'u0' else 'i1'
            caller.store_cookies((answer,))
            direct_us, over_entry_us = [], []
            # Alternate, so that other load on the machine affects both series alike.
            for _ in range(HOP_SAMPLE_COUNT):
                direct_us.append(await _round_trip(caller_socket, caller, addresses[0]))
                over_entry_us.append(
                    await _round_trip(caller_socket, caller, addresses[1])
                )
            check_count(instances[1], 'packet.forwarded', HOP_SAMPLE_COUNT)
        for instance in instances:
            instance.data_plane.close()
        return {
            'direct_p50_us': round(statistics.median(direct_us)),
            'over_entry_p50_us': round(statistics.median(over_entry_us)),
            'direct_p99_us': round(statistics.quantiles(direct_us, n=100)[98]),
            'over_entry_p99_us': round(statistics.quantiles(over_entry_us, n=100)[98]),
            'extra_p50_us': round(
                statistics.median(over_entry_us) - statistics.median(direct_us)
            ),
        }

    return asyncio.run(measure())


async def _round_trip(
    caller_socket: socket.socket, caller: Caller, address: Endpoint
) -> float:
    loop = asyncio.get_running_loop()
    (datagram,) = caller.encode_packets(make_keepalive)
    begin_s = time.perf_counter()
    await loop.sock_sendto(caller_socket, datagram, address.as_pair())
    await asyncio.wait_for(loop.sock_recv(caller_socket, 4096), 2)
    return (time.perf_counter() - begin_s) * US_PER_S


# Runs

PARTS: dict[str, Callable[[], dict[str, float]]] = {
    'cpu': measure_cpu,
    'periodic': measure_periodic,
    'memory': measure_memory,
    'memory_flows': measure_memory_flows,
    'memory_requests': measure_memory_requests,
    'memory_record': measure_memory_record,
    'memory_callers': measure_memory_callers,
    'hop': measure_hop,
}
REPORTED = ('cpu', 'periodic', 'memory', 'hop')


def run_part(name: str, implementation: str) -> dict[str, float]:
    """Run one part in a subprocess with the given implementation of protobuf."""
    environment = {**os.environ, IMPLEMENTATION_VARIABLE: implementation}
    command = (sys.executable, '-m', 'tools.bench_datapath', '--part', name)
    completed = subprocess.run(
        command, env=environment, cwd=ROOT, check=True, stdout=subprocess.PIPE
    )
    return json.loads(completed.stdout)


def run() -> dict:
    """Return all figures for both implementations of protobuf: upb (C) and Python."""
    return {
        'machine': {
            'cores': os.cpu_count(),
            'python': platform.python_version(),
            'load_before': os.getloadavg()[0],
        },
        **{
            implementation: {part: run_part(part, implementation) for part in REPORTED}
            for implementation in IMPLEMENTATIONS
        },
    }


def print_table(result: dict) -> None:
    """Print the figures of both implementations side by side."""
    print(f'machine: {result["machine"]}')
    headings = ''.join(f'{name:>12}' for name in IMPLEMENTATIONS)
    print(f'{"figure":40}{headings}')
    for part in REPORTED:
        print(f'{part}:' + (' us per packet; packets/s' if part == 'cpu' else ''))
        for name in result[IMPLEMENTATIONS[0]][part]:
            values = [
                result[implementation][part][name] for implementation in IMPLEMENTATIONS
            ]
            columns = ''.join(f'{value:12}' for value in values)
            if part == 'cpu':
                columns += ''.join(f'{US_PER_S / value:12.0f}' for value in values)
            print(f'  {name:38}{columns}')


def main() -> None:
    """Run one part or all of them; print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--part', choices=tuple(PARTS), help='run one part and print JSON'
    )
    options = parser.parse_args()
    if options.part:
        print(json.dumps(PARTS[options.part]()))
        return
    result = run()
    print_table(result)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=1) + '\n')


if __name__ == '__main__':
    main()
