"""
Benchmark of the CPU time and memory of forwarding decisions.

``python -m tools.bench_forwarding`` prints a row for each combination of the number of
upstreams in a pool and the number of flows in the table. No sockets are involved. The
baseline is a bare forwarder that only decodes a packet and looks up its token.
"""

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.published.upstreams import token_of
from cardamomtiller.ids import UpstreamId
from tests import forwarding_rig as rig

US_PER_S = 1_000_000
PACKET_COUNT = 3000


def measure_bare_us(datagrams: list[bytes], tokens: dict[int, object]) -> float:
    """Return the CPU time per packet of the bare forwarder, in microseconds."""
    header = rig.HeaderFormat()
    started_s = time.process_time()
    for datagram in datagrams:
        packet = header.decode(datagram)
        if packet is not None:
            tokens.get(packet.token)
    return (time.process_time() - started_s) / len(datagrams) * US_PER_S


def measure_row(upstream_count: int, flow_count: int) -> str:
    """Measure one combination of sizes and format it as a table row."""
    names = [f'u-{number}' for number in range(upstream_count)]
    forwarder = rig.make_forwarder(names)
    tokens: dict[int, object] = {token_of(UpstreamId(name)): name for name in names}
    tracemalloc.start()
    for number in range(flow_count):
        token = token_of(UpstreamId(names[number % upstream_count]))
        datagram = rig.packet(
            number % 60_000,
            seq=101,
            ack=500,
            token=token,
            route_port=number // 60_000,
        )
        rig.handle(forwarder, datagram, 0)
    flow_bytes = tracemalloc.get_traced_memory()[0] / max(flow_count, 1)
    tracemalloc.stop()
    opening_packets = [rig.opening(number) for number in range(PACKET_COUNT)]
    started_s = time.process_time()
    for datagram in opening_packets:
        rig.handle(forwarder, datagram, 1)
    open_us = (time.process_time() - started_s) / PACKET_COUNT * US_PER_S
    data_packets = [
        rig.packet(number, seq=111, ack=501, size=40, token=next(iter(tokens)))
        for number in range(PACKET_COUNT)
    ]
    started_s = time.process_time()
    for datagram in data_packets:
        rig.handle(forwarder, datagram, 2)
    packet_us = (time.process_time() - started_s) / PACKET_COUNT * US_PER_S
    started_s = time.process_time()
    for tick in range(10):
        forwarder.sweep(1000 + tick)
    sweep_ms = (time.process_time() - started_s) * 100
    bare_us = measure_bare_us(data_packets, tokens)
    return (
        f'{upstream_count:9} {flow_count:7} {open_us:8.0f} {packet_us:10.1f} '
        f'{bare_us:8.1f} {packet_us / bare_us:6.1f} {sweep_ms:9.2f} {flow_bytes:11.0f}'
    )


def main() -> None:
    """Print the table header and a row for each combination of sizes."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print('upstreams   flows  open us  packet us  bare us  ratio  sweep ms  flow bytes')
    for upstream_count, flow_count in (
        (7, 1000),
        (75, 1000),
        (75, 36_000),
        (440, 36_000),
        (3500, 36_000),
    ):
        print(measure_row(upstream_count, flow_count), flush=True)


if __name__ == '__main__':
    main()
