"""Benchmark of the data path: the real modules, fake sockets and links.

Every figure is of one core and one event loop. The fakes serialize what they
are given, as the real sockets and links do, and make no system call; only the
figures of the extra hop use real sockets on loopback.
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
TARGET = ROOT / 'build' / 'datapath.json'
IMPLEMENTATIONS = ('upb', 'python')
IMPLEMENTATION_VARIABLE = 'PROTOCOL_BUFFERS_PYTHON_IMPLEMENTATION'

# The design scale of docs/design.md.
INSTANCES = 590
UPSTREAMS = 3500
ADDRESSES = 2300
OPEN_FLOWS = 21_000_000
DOMAINS = 8
# Upstreams of one service; the page of the design scale does not state it.
POOL = 10

FLOWS = 2000
ROUNDS = 5
MEMORY_FLOWS = 40_000
MEMORY_REQUESTS = 20_000
MEMORY_RECORDS = 50_000
MEMORY_CLIENTS = 500
SEED = 3
BODY = bytes(200)
ANSWER = bytes(200)
HOP_SAMPLES = 2000
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
    """Keep what is sent instead of sending it."""

    def __init__(
        self,
        address: Endpoint,
        receive: Callable[[bytes, Endpoint], None],
        counters: Counters,
    ) -> None:
        """Keep the receiver; nothing is bound."""
        self.address = address
        self.receive = receive
        self.sent: list[bytes] = []

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nothing arrives by itself."""

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nothing is open."""

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Keep a datagram."""
        self.sent.append(datagram)


class FakeLink(UpstreamLink):
    """A link that is always up and keeps the frames sent to its upstream."""

    def __init__(self, listener: LinkListener) -> None:
        """Say hello."""
        self._listener = listener
        self.kept: list[bytes] = []
        row = listener.row
        listener.handle_up(Hello(upstream=row.name, service=row.service, incarnation=9))

    @property
    def is_up(self) -> bool:
        """Return whether the link is up: always."""
        return True

    async def run(self) -> None:
        """Nothing to keep up."""

    def send(self, frame: UpstreamFrame, _service_class: object) -> bool:
        """Serialize as a TCP link does, and keep the frame for ``answers``."""
        self.kept.append(frame.SerializeToString())
        return True

    def answers(self) -> list[bytes]:
        """Return the answers to the kept frames, serialized."""
        kept, self.kept = self.kept, []
        replies = (_reply(UpstreamFrame.FromString(body)) for body in kept)
        return [reply.SerializeToString() for reply in replies if reply is not None]

    def deliver(self, bodies: Iterable[bytes]) -> None:
        """Hand serialized frames to the home, as a TCP link does."""
        for body in bodies:
            self._listener.handle_frame(UpstreamFrame.FromString(body))


class ImmediateLink(FakeLink):
    """An upstream that answers in the next turn of the event loop."""

    def send(self, frame: UpstreamFrame, service_class: object) -> bool:
        """Answer soon."""
        super().send(frame, service_class)
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: self.deliver(self.answers()))
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


class FullShare:
    """A lease whose share is the whole plan."""

    generation = 0

    def plan(self, _customer: CustomerId) -> Allowance:
        """Return the plan."""
        return UNLIMITED

    def share_until(
        self, _customer: CustomerId, now_ms: float
    ) -> tuple[Allowance, float]:
        """Return the plan for two seconds."""
        return UNLIMITED, now_ms + 2000

    def request_report(self, *, is_new: bool = True) -> None:
        """Nobody is asked."""


@dataclass(frozen=True, slots=True)
class World:
    """Published lists at some scale, and who owns what."""

    catalog: Catalog
    homes: View
    owners: dict[UpstreamId, InstanceId]


def make_world(
    instances: int,
    upstreams: int,
    slots: int = 2,
    ports: Sequence[int] | None = None,
) -> World:
    """Return lists in which upstream n belongs to instance n modulo instances."""
    rows = tuple(_instance_row(number, ports) for number in range(instances))
    services = tuple(
        ServiceRow(ServiceName(f's{number}'), (), (), None)
        for number in range(max(1, upstreams // POOL))
    )
    backends = tuple(
        UpstreamRow(
            name=UpstreamId(f'u{number}'),
            service=services[number % len(services)].name,
            domain=DomainName(f'd{number % DOMAINS}'),
            region=REGION,
            address=Endpoint('10.1.0.1', 1000 + number),
            stream_address=None,
            slots=slots,
            state=OperatorState.LIVE,
        )
        for number in range(upstreams)
    )
    plan = PlanRow(PlanName('gold'), 1e9, 10**9, 10**9, 1e15, 1)
    customer = CustomerRow(CUSTOMER, plan.name, (SECRET,))
    key = KeyRow(1, b'k' * 16, is_current=True)
    members = {
        row.name: Member(row, InstanceState.LIVE, Incarnation(7)) for row in rows
    }
    return World(
        catalog=build_catalog((plan, customer, key, *services, *backends, *rows)),
        homes=View(1, members),
        owners={
            row.name: rows[number % instances].name
            for number, row in enumerate(backends)
        },
    )


def _instance_row(number: int, ports: Sequence[int] | None) -> InstanceRow:
    endpoint = Endpoint('10.2.0.1', 1000 + number)
    if ports:
        endpoint = Endpoint(LOOPBACK, ports[number])
    return InstanceRow(
        name=InstanceId(f'i{number}'),
        domain=DomainName(f'd{number % DOMAINS}'),
        region=REGION,
        peer_address=endpoint,
        state=OperatorState.LIVE,
    )


class Node:
    """One instance: the real data path under fakes."""

    def __init__(
        self,
        world: World,
        number: int,
        link: Callable[[LinkListener], FakeLink] = FakeLink,
        socket_type: Callable[..., DatagramSocket] = FakeSocket,
        service_address: Endpoint = CALLER,
    ) -> None:
        """Start to serve; must be made inside a running event loop."""
        self.sockets: list[DatagramSocket] = []
        self.links: list[FakeLink] = []
        self.counters = Counters()
        settings = parse_settings(SETTINGS_TEXT, 'bench').unwrap()
        sealer = CookieSealer()
        row = tuple(world.catalog.instances.values())[number]
        self.row = row
        view = RoutingView(
            own_instance=row.name,
            incarnation=Incarnation(7),
            own_incarnations=frozenset((Incarnation(7),)),
            catalog=world.catalog,
            membership=world.homes,
            owners=world.owners,
        )

        def open_socket(*parts: object) -> DatagramSocket:
            self.sockets.append(socket_type(*parts))
            return self.sockets[-1]

        def make_link(_address: object, listener: LinkListener, *_: object) -> FakeLink:
            self.links.append(link(listener))
            return self.links[-1]

        self.data = DataPlane(
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
        parts = ServingContext(
            identity=HomeIdentity(row.name, Incarnation(7)),
            settings=settings,
            sealer=sealer,
            record=self.record,
            admission=Admission(FullShare(), settings.lease.burst_ms),
            output=self.data,
            counters=self.counters,
            invariants=Invariants(self.counters, is_enabled=True),
            clock_ms=lambda: loop.time() * MS_PER_S,
            generator=random.Random(SEED),
        )
        self.data.start(row.peer_address, parts)
        self.data.add_service(ServiceName('s0'), service_address)
        self.data.set_view(view, loop.time() * MS_PER_S)
        self.peer, self.service = self.sockets

    def answer_links(self) -> float:
        """
        Let the upstreams answer what they were sent.

        Returns
        -------
        float
            Processor time in seconds of the home alone.
        """
        used_s = 0.0
        for link in self.links:
            bodies = link.answers()
            begin_s = time.process_time()
            link.deliver(bodies)
            used_s += time.process_time() - begin_s
        return used_s


class Caller:
    """Flows of one customer at one home, and the datagrams that they send."""

    def __init__(self, count: int, seed: int = SEED) -> None:
        """Make the flow ids."""
        generator = random.Random(seed)
        self.flows = [FlowId(generator.randbytes(16)) for _ in range(count)]
        self.keys = [codec.derive_flow_key(SECRET, flow) for flow in self.flows]
        self.cookies = [b''] * count
        self.sequence = 0
        self._numbers = {flow: number for number, flow in enumerate(self.flows)}

    def packets(self, make: Callable[[], Packet]) -> list[bytes]:
        """Return one datagram of each flow."""
        self.sequence += 1
        datagrams = []
        for flow, key, cookie in zip(self.flows, self.keys, self.cookies, strict=True):
            packet = make()
            packet.flow_id = flow
            packet.cookie = cookie
            packet.sequence = self.sequence
            datagrams.append(codec.encode_packet(packet, key))
        return datagrams

    def learn_cookies(self, datagrams: Iterable[bytes]) -> None:
        """Take the cookies of answers to opens."""
        for datagram in datagrams:
            packet = codec.decode_packet(datagram).unwrap()
            if packet.cookie:
                self.cookies[self._numbers[FlowId(packet.flow_id)]] = packet.cookie


def make_open() -> Packet:
    """Return an open."""
    now_ms = int(time.time() * MS_PER_S)
    return Packet(open=Open(customer=CUSTOMER, sent_unix_ms=now_ms))


def make_keepalive() -> Packet:
    """Return a keepalive."""
    return Packet(keepalive=Keepalive())


def make_request(number: int) -> Packet:
    """Return a request of one chunk."""
    request = Request(
        request_id=number,
        timeout_ms=60_000,
        chunk_count=1,
        total_bytes=len(BODY),
        first_open_request_id=number,
        payload=BODY,
    )
    return Packet(request=request)


def forwarded(datagrams: Iterable[bytes], upstream: str = 'u0') -> list[bytes]:
    """Return the datagrams as an entry instance passes them on."""
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


def per_item_us(count: int, work: Callable[[], object]) -> float:
    """Return microseconds of processor time for each of ``count`` items."""
    gc.collect()
    begin_s = time.process_time()
    work()
    return (time.process_time() - begin_s) / count * US_PER_S


def per_item_at_home_us(home: Node, opened: DatagramSocket, datagrams: list) -> float:
    """Return microseconds for each datagram and what the upstream answers."""
    received_us = per_item_us(len(datagrams), lambda: receive_all(opened, datagrams))
    return received_us + home.answer_links() / len(datagrams) * US_PER_S


def receive_all(opened: DatagramSocket, datagrams: Iterable[bytes]) -> None:
    """Hand datagrams to the receiver of a fake socket."""
    receive = opened.receive
    for datagram in datagrams:
        receive(datagram, CALLER)
    opened.sent.clear()


def receive_us(node: Node, datagrams: Sequence[bytes]) -> float:
    """Return microseconds for each datagram that a caller sends to a node."""
    return per_item_us(len(datagrams), lambda: receive_all(node.service, datagrams))


def median_us(measured: Iterable[float]) -> float:
    """Return the median."""
    return round(statistics.median(measured), 1)


# Processor time


def open_at_home(home: Node, caller: Caller) -> None:
    """Open all flows, forwarded by another instance, and learn the cookies."""
    receive_all(home.peer, forwarded(caller.packets(make_open)))
    home.answer_links()
    caller.learn_cookies(home.service.sent)
    home.service.sent.clear()
    home.peer.sent.clear()


def measure_home_opens(world: World) -> float:
    """Return the time of opens at the home, the upstream's grant included."""
    measured = []
    for number in range(ROUNDS):
        home = Node(world, 0)
        datagrams = forwarded(Caller(FLOWS, number).packets(make_open))
        measured.append(per_item_at_home_us(home, home.peer, datagrams))
        check_count(home, 'flow.opened', FLOWS)
    return median_us(measured)


def check_count(node: Node, name: str, expected: int) -> None:
    """
    Compare a counter, so that no figure is of packets that were dropped.

    Raises
    ------
    AssertionError
        If the counter differs.
    """
    if node.counters.count(name) != expected:
        raise AssertionError(f'{name}: {node.counters.counts()}')


def measure_entry(world: World, caller: Caller) -> dict[str, float]:
    """Return the times at an instance that passes packets on."""
    keepalives = caller.packets(make_keepalive)
    cold, warm, opens = [], [], []
    for number in range(ROUNDS):
        entry = Node(world, 1)
        cold.append(receive_us(entry, keepalives))
        warm.append(receive_us(entry, keepalives))
        check_count(entry, 'packet.forwarded', 2 * FLOWS)
        datagrams = Caller(FLOWS, 100 + number).packets(make_open)
        opens.append(receive_us(entry, datagrams))
    return {
        'entry_forward_cookie_not_cached': median_us(cold),
        'entry_forward_cookie_cached': median_us(warm),
        'entry_open_pool_of_10': median_us(opens),
    }


def measure_keepalives(home: Node, caller: Caller) -> dict[str, float]:
    """Return the time of a keepalive at its home, the upstream's pong included."""
    result = {}
    for name, opened, wrap in (
        ('home_keepalive_direct', home.service, list),
        ('home_keepalive_forwarded', home.peer, forwarded),
    ):
        measured = []
        for _ in range(ROUNDS):
            datagrams = wrap(caller.packets(make_keepalive))
            home.service.sent.clear()
            measured.append(per_item_at_home_us(home, opened, datagrams))
            if len(home.service.sent) != FLOWS:
                raise AssertionError(f'{len(home.service.sent)} keepalive answers')
        result[name] = median_us(measured)
    return result


def measure_requests(home: Node, caller: Caller) -> float:
    """Return the time of a forwarded request from its arrival to the answer's ack."""
    measured = []
    for number in range(1, ROUNDS + 1):
        requests = forwarded(caller.packets(lambda number=number: make_request(number)))
        ack = AnswerAck(request_id=number, next_chunk_index=1)
        acks = forwarded(caller.packets(lambda ack=ack: Packet(answer_ack=ack)))
        used_s = 0.0
        for request, ack_datagram in zip(requests, acks, strict=True):
            begin_s = time.process_time()
            home.peer.receive(request, CALLER)
            used_s += time.process_time() - begin_s
            used_s += home.answer_links()
            begin_s = time.process_time()
            home.peer.receive(ack_datagram, CALLER)
            used_s += time.process_time() - begin_s
        measured.append(used_s / FLOWS * US_PER_S)
        check_count(home, 'request.done', number * FLOWS)
        home.service.sent.clear()
    return median_us(measured)


def measure_dropped(world: World, caller: Caller) -> dict[str, float]:
    """Return the times of packets that are dropped at an entry instance."""
    valid = caller.packets(make_keepalive)
    forged_mac = [datagram[:1] + bytes(8) + datagram[9:] for datagram in valid]
    stranger = Caller(FLOWS, 99)
    stranger.cookies = [bytes((1,)) + bytes(150)] * FLOWS
    cases = {
        'drop_forged_mac': ('packet.forged', forged_mac),
        'drop_forged_cookie': ('cookie.forged', stranger.packets(make_keepalive)),
        'drop_oversized': ('packet.oversized', [bytes(1351)] * FLOWS),
        'drop_malformed': ('packet.malformed', [b'\x01' + b'\xff' * 100] * FLOWS),
    }
    result = {}
    for name, (counter, datagrams) in cases.items():
        measured = []
        for _ in range(ROUNDS):
            entry = Node(world, 1)
            receive_all(entry.service, valid)
            measured.append(receive_us(entry, datagrams))
            check_count(entry, counter, FLOWS)
        result[name] = median_us(measured)
    return result


def measure_caller_library() -> dict[str, float]:
    """Return the time of making and of checking one packet of a caller."""
    caller = Caller(FLOWS)
    caller.cookies = [bytes(150)] * FLOWS
    made = [
        per_item_us(FLOWS, lambda: caller.packets(make_keepalive))
        for _ in range(ROUNDS)
    ]
    datagrams = caller.packets(make_keepalive)

    def check() -> None:
        for datagram, key in zip(datagrams, caller.keys, strict=True):
            codec.decode_packet(datagram)
            codec.is_authentic(datagram, (key,))

    checked = [per_item_us(FLOWS, check) for _ in range(ROUNDS)]
    return {
        'caller_make_packet': median_us(made),
        'caller_check_packet': median_us(checked),
    }


def measure_cpu() -> dict[str, float]:
    """Return microseconds of processor time of each case."""

    async def work() -> dict[str, float]:
        world = make_world(INSTANCES, UPSTREAMS)
        home, caller = Node(world, 0), Caller(FLOWS)
        open_at_home(home, caller)
        return {
            **measure_entry(world, caller),
            **measure_keepalives(home, caller),
            'home_open': measure_home_opens(world),
            'home_request': measure_requests(home, caller),
            **measure_dropped(world, caller),
            **measure_caller_library(),
        }

    return asyncio.run(work())


# Periodic work and lists


def measure_periodic() -> dict[str, float]:
    """Return milliseconds of the work that repeats or follows a change."""

    async def work() -> dict[str, float]:
        world = make_world(INSTANCES, UPSTREAMS)
        per_instance = OPEN_FLOWS // INSTANCES
        home, caller = Node(world, 0), Caller(per_instance)
        open_at_home(home, caller)
        loop = asyncio.get_running_loop()
        now_ms = loop.time() * MS_PER_S
        # Opening takes long with the Python protobuf; no flow may be idle yet.
        for served in home.data.served.values():
            for row in served.upstream.home.flows_by_id.values():
                row.seen_ms = now_ms
        home.data.tick(now_ms)
        ticks = [
            per_item_us(1, lambda step=step: home.data.tick(now_ms + step)) / MS_PER_S
            for step in range(1, 50)
        ]
        sweeps = [
            per_item_us(1, lambda step=step: home.data.tick(now_ms + step)) / MS_PER_S
            for step in range(2000, 12_000, 2000)
        ]
        return {
            'tick_ms': round(statistics.median(ticks), 3),
            'tick_with_sweep_ms': round(statistics.median(sweeps), 1),
            **measure_lists(world, home),
            **measure_sockets(),
        }

    return asyncio.run(work())


def measure_lists(world: World, home: Node) -> dict[str, float]:
    """Return milliseconds of taking over a list at the design scale."""
    catalog = world.catalog
    per_domain = UPSTREAMS // DOMAINS
    text = '[domain]\nregion = r0\n' + ''.join(
        f'[upstream u{number}]\nservice = s{number}\n'
        f'address = 10.1.0.1:{1000 + number}\nslots = 2\n'
        for number in range(per_domain)
    )
    document = Document(DocumentName('upstreams.d0'), Version(1), text)
    secrets = ''.join(
        f'[customer c{number}]\nplan = gold\nsecret = {number:032x}\n'
        for number in range(2000)
    )
    customers = Document(DocumentName('customers'), Version(1), secrets)
    rows = (
        *catalog.plans.values(),
        *catalog.services.values(),
        *catalog.upstreams.values(),
        *catalog.instances.values(),
    )
    rebuilt = build_catalog((*rows, *catalog.keys.values()))
    view = RoutingView(
        own_instance=home.row.name,
        incarnation=Incarnation(7),
        catalog=rebuilt,
        membership=world.homes,
        owners=world.owners,
    )
    now_ms = asyncio.get_running_loop().time() * MS_PER_S
    cases = {
        'parse_437_upstreams_ms': lambda: parse_document(document).unwrap(),
        'parse_2000_customers_ms': lambda: parse_document(customers).unwrap(),
        'build_catalog_ms': lambda: build_catalog(rows),
        'set_view_ms': lambda: home.data.set_view(view, now_ms),
    }
    result = {
        name: round(statistics.median(per_item_us(1, case) for _ in range(3)) / 1000, 1)
        for name, case in cases.items()
    }
    result['customers_list_bytes_each'] = round(len(secrets) / 2000, 1)
    result['upstreams_list_bytes_each'] = round(len(text) / per_domain, 1)
    return result


def measure_sockets() -> dict[str, float]:
    """Return what the UDP sockets of all published addresses cost."""
    loop = asyncio.get_running_loop()
    start = resident_bytes()
    begin_s = time.perf_counter()
    counters = Counters()
    opened = [
        DatagramSocket(Endpoint(LOOPBACK, 0), lambda *_: None, counters)
        for _ in range(ADDRESSES)
    ]
    for one in opened:
        one.start(loop)
    took_ms = (time.perf_counter() - begin_s) * MS_PER_S
    grown = resident_bytes() - start
    for one in opened:
        one.close(loop)
    return {
        'open_2300_sockets_ms': round(took_ms, 1),
        'socket_resident_bytes': round(grown / ADDRESSES),
    }


# Memory


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    gc.collect()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def measure_memory_flows() -> dict[str, float]:
    """Return resident bytes of an open flow, without and with its caches."""

    async def work() -> dict[str, float]:
        home, caller = Node(make_world(9, 11), 0), Caller(MEMORY_FLOWS)
        warm = Caller(100, 1)
        open_at_home(home, warm)
        start = resident_bytes()
        for datagram in _batches(caller, make_open):
            home.peer.receive(datagram, CALLER)
            home.answer_links()
            caller.learn_cookies(home.service.sent)
            home.service.sent.clear()
            home.peer.sent.clear()
        opened = resident_bytes()
        # The cookies of the callers are in this process too.
        cookie_bytes = sum(sys.getsizeof(cookie) for cookie in caller.cookies)
        for datagram in _batches(caller, make_keepalive):
            home.peer.receive(datagram, CALLER)
            home.answer_links()
            home.service.sent.clear()
        kept = resident_bytes()
        return {
            'open_flow_bytes': round((opened - start - cookie_bytes) / MEMORY_FLOWS),
            'open_flow_with_caches_bytes': round(
                (kept - start - cookie_bytes) / MEMORY_FLOWS
            ),
        }

    return asyncio.run(work())


def _batches(caller: Caller, make: Callable[[], Packet]) -> Iterable[bytes]:
    """Iterate over forwarded datagrams without holding all of them."""
    caller.sequence += 1
    for number, flow in enumerate(caller.flows):
        packet = make()
        packet.flow_id = flow
        packet.cookie = caller.cookies[number]
        packet.sequence = caller.sequence
        yield from forwarded((codec.encode_packet(packet, caller.keys[number]),))


def measure_memory_requests() -> dict[str, float]:
    """Return resident bytes of a running request of 200 bytes."""

    async def work() -> dict[str, float]:
        world = make_world(1, 1, slots=2 * MEMORY_REQUESTS)
        home, caller = Node(world, 0), Caller(MEMORY_REQUESTS)
        open_at_home(home, caller)
        for datagram in _batches(caller, make_keepalive):
            home.peer.receive(datagram, CALLER)
        home.answer_links()
        home.service.sent.clear()
        start = resident_bytes()
        for datagram in _batches(caller, lambda: make_request(1)):
            home.peer.receive(datagram, CALLER)
            home.service.sent.clear()
            home.links[0].kept.clear()
        running = resident_bytes()
        check_count(home, 'request.run', MEMORY_REQUESTS)
        return {
            'running_request_bytes': round((running - start) / MEMORY_REQUESTS),
        }

    return asyncio.run(work())


def measure_memory_record() -> dict[str, float]:
    """Return resident bytes of an entry of the duplicate record."""
    record = DuplicateRecord(180_000)
    generator = random.Random(SEED)
    flows = [FlowId(generator.randbytes(16)) for _ in range(MEMORY_RECORDS)]
    start = resident_bytes()
    for flow in flows:
        record.begin(RequestKey(flow, RequestId(1)), 1, 0)
    first = resident_bytes()
    for flow in flows:
        for number in (2, 3, 4, 5):
            record.begin(RequestKey(flow, RequestId(number)), 1, 0)
    further = resident_bytes()
    return {
        'record_first_of_flow_bytes': round((first - start) / MEMORY_RECORDS),
        'record_further_of_flow_bytes': round((further - first) / MEMORY_RECORDS / 4),
    }


def measure_memory_callers() -> dict[str, float]:
    """Return resident bytes of an idle flow in the caller library."""

    async def work() -> dict[str, float]:
        ports = free_ports(2)
        world = make_world(1, 1, ports=ports)
        service = Endpoint(LOOPBACK, ports[1])
        home = Node(world, 0, ImmediateLink, DatagramSocket, service)
        clients = []
        first = await _open_clients(service, 50)
        start = resident_bytes()
        clients = await _open_clients(service, MEMORY_CLIENTS)
        end = resident_bytes()
        check_count(home, 'flow.opened', MEMORY_CLIENTS + len(first))
        for client in (*first, *clients):
            await client.close()
        home.data.close()
        return {'caller_and_home_flow_bytes': round((end - start) / MEMORY_CLIENTS)}

    return asyncio.run(work())


async def _open_clients(service: Endpoint, count: int) -> list[Client]:
    clients = [Client(service, CUSTOMER, SECRET) for _ in range(count)]
    for client in clients:
        await client.open()
    return clients


def measure_memory() -> dict[str, float]:
    """Return bytes of memory, each case in a process of its own."""
    cases = ('flows', 'requests', 'record', 'callers')
    result: dict[str, float] = {}
    for case in cases:
        result.update(run_part(f'memory_{case}', api_implementation.Type()))
    return result


# One hop


def free_ports(count: int) -> list[int]:
    """Return UDP ports that nothing has bound."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in held:
        one.bind((LOOPBACK, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def measure_hop() -> dict[str, float]:
    """Return round trips of keepalives to the home, directly and over an entry."""

    async def work() -> dict[str, float]:
        ports = free_ports(4)
        world = make_world(2, 2, ports=ports[:2])
        addresses = [Endpoint(LOOPBACK, port) for port in ports[2:]]
        nodes = [
            Node(world, number, ImmediateLink, DatagramSocket, addresses[number])
            for number in range(2)
        ]
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller_socket:
            caller_socket.setblocking(False)
            caller_socket.bind((LOOPBACK, 0))
            caller = Caller(1)
            # Opens until one is served by instance 0: its upstream is u0.
            answer = b''
            home = 'i1'
            seed = 0
            while home != 'i0':
                caller = Caller(1, seed)
                seed += 1
                (datagram,) = caller.packets(make_open)
                await loop.sock_sendto(caller_socket, datagram, addresses[0].as_pair())
                answer = await asyncio.wait_for(loop.sock_recv(caller_socket, 4096), 2)
                packet = codec.decode_packet(answer).unwrap()
                home = 'i0' if packet.opened.upstream == 'u0' else 'i1'
            caller.learn_cookies((answer,))
            direct, over_entry = [], []
            # Taken in turn, so that the load of the machine meets both alike.
            for _ in range(HOP_SAMPLES):
                direct.append(await _round_trip(caller_socket, caller, addresses[0]))
                over_entry.append(
                    await _round_trip(caller_socket, caller, addresses[1])
                )
            check_count(nodes[1], 'packet.forwarded', HOP_SAMPLES)
        for node in nodes:
            node.data.close()
        return {
            'direct_p50_us': round(statistics.median(direct)),
            'over_entry_p50_us': round(statistics.median(over_entry)),
            'direct_p99_us': round(statistics.quantiles(direct, n=100)[98]),
            'over_entry_p99_us': round(statistics.quantiles(over_entry, n=100)[98]),
            'extra_p50_us': round(
                statistics.median(over_entry) - statistics.median(direct)
            ),
        }

    return asyncio.run(work())


async def _round_trip(
    caller_socket: socket.socket, caller: Caller, address: Endpoint
) -> float:
    loop = asyncio.get_running_loop()
    (datagram,) = caller.packets(make_keepalive)
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
    """Run one part in a process with an implementation of protobuf."""
    environment = {**os.environ, IMPLEMENTATION_VARIABLE: implementation}
    command = (sys.executable, '-m', 'tools.bench_datapath', '--part', name)
    done = subprocess.run(
        command, env=environment, cwd=ROOT, check=True, stdout=subprocess.PIPE
    )
    return json.loads(done.stdout)


def run() -> dict:
    """Return all figures by implementation of protobuf, C (upb) and Python."""
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
    """Print the figures side by side."""
    print(f'machine: {result["machine"]}')
    heads = ''.join(f'{name:>12}' for name in IMPLEMENTATIONS)
    print(f'{"figure":40}{heads}')
    for part in REPORTED:
        print(f'{part}:' + (' us per packet; packets/s' if part == 'cpu' else ''))
        for name in result[IMPLEMENTATIONS[0]][part]:
            values = [result[kind][part][name] for kind in IMPLEMENTATIONS]
            text = ''.join(f'{value:12}' for value in values)
            if part == 'cpu':
                text += ''.join(f'{US_PER_S / value:12.0f}' for value in values)
            print(f'  {name:38}{text}')


def main() -> None:
    """Measure, print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=tuple(PARTS), help='one part, as JSON')
    options = parser.parse_args()
    if options.part:
        print(json.dumps(PARTS[options.part]()))
        return
    result = run()
    print_table(result)
    TARGET.parent.mkdir(exist_ok=True)
    TARGET.write_text(json.dumps(result, indent=1) + '\n')


if __name__ == '__main__':
    main()
