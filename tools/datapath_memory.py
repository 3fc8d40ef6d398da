"""Benchmark the memory of the data path: flows, requests, records and callers."""

import asyncio
import gc
import os
import random
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

from cardamomtiller.client import Client
from cardamomtiller.datagrams import codec
from cardamomtiller.entrance.datagramsocket import DatagramSocket
from cardamomtiller.identity import (
    Endpoint,
    FlowId,
    RequestId,
    RequestKey,
)
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.wire_pb2 import (
    Packet,
)
from tools.datapath_rig import (
    CALLER,
    CUSTOMER,
    LOOPBACK,
    SECRET,
    SEED,
    BenchInstance,
    Caller,
    ImmediateLink,
    check_count,
    encode_forwards,
    find_free_ports,
    make_keepalive,
    make_open,
    make_request,
    make_topology,
    open_at_home,
)

MEMORY_FLOW_COUNT = 40_000
MEMORY_REQUEST_COUNT = 20_000
MEMORY_RECORD_COUNT = 50_000
MEMORY_CLIENT_COUNT = 500


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


# Extra hop
