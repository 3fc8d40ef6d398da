"""Benchmark the data path: production modules with fake sockets and links.

All figures are for one core and one event loop. The fakes serialize each message as
the production sockets and links do, but make no system call. Only the cases of the
extra hop, of idle client flows and of open sockets use real sockets on loopback.
"""

import argparse
import asyncio
import json
import os
import platform
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from google.protobuf.internal import api_implementation

from cardamomtiller.counter import Counters
from cardamomtiller.datagrams import codec
from cardamomtiller.entrance.datagramsocket import DatagramSocket
from cardamomtiller.entrance.routing import RoutingView
from cardamomtiller.identity import (
    MS_PER_S,
    DocumentName,
    Endpoint,
    Incarnation,
    Version,
)
from cardamomtiller.lists.catalog import build_catalog
from cardamomtiller.lists.document import (
    Document,
    parse_document,
)
from cardamomtiller.wire_pb2 import (
    AnswerAck,
    Packet,
)
from tools.datapath_memory import (
    measure_memory_callers,
    measure_memory_flows,
    measure_memory_record,
    measure_memory_requests,
    resident_bytes,
)
from tools.datapath_rig import (
    CALLER,
    DOMAIN_COUNT,
    LOOPBACK,
    US_PER_S,
    BenchInstance,
    Caller,
    ImmediateLink,
    Topology,
    check_count,
    encode_forwards,
    find_free_ports,
    make_keepalive,
    make_open,
    make_request,
    make_topology,
    measure_per_item_at_home_us,
    measure_per_item_us,
    measure_receive_us,
    open_at_home,
    receive_all,
    round_median_us,
)

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / 'build' / 'datapath.json'
IMPLEMENTATIONS = ('upb', 'python')
IMPLEMENTATION_VARIABLE = 'PROTOCOL_BUFFERS_PYTHON_IMPLEMENTATION'
ROUND_COUNT = 5
HOP_SAMPLE_COUNT = 2000
# Scale of the deployment in docs/design.md.
OPEN_FLOW_COUNT = 21_000_000
ADDRESS_COUNT = 2300
FLOW_COUNT = 2000
INSTANCE_COUNT = 590
UPSTREAM_COUNT = 3500


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


def measure_memory() -> dict[str, float]:
    """Return the memory of all cases; each runs in a separate process."""
    cases = ('flows', 'requests', 'record', 'callers')
    result: dict[str, float] = {}
    for case in cases:
        result.update(run_part(f'memory_{case}', api_implementation.Type()))
    return result


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
