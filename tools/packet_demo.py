"""
Demo of packet forwarding under faults: ``python -m tools.packet_demo``.

Four instances forward the flows of clients to six upstreams. Under load, an instance
is killed, an upstream fails, another upstream drains and the configuration changes.
The table lists the outcomes and latencies of the requests of each phase.
"""

import argparse
import signal
import time
from collections import Counter
from collections.abc import Callable

from tools.packet_deployment import Deployment
from tools.packet_traffic import ClientRequest

SUBNET = 71
PHASE_S = 4.0
REQUESTS_PER_S = 50
MS_PER_S = 1000


def run_phase(deployment: Deployment, fault: Callable[[], None]) -> list[ClientRequest]:
    """Inject a fault, send requests, and return them when all have finished."""
    fault()
    ports = list(deployment.routes)
    requests = []
    for index in range(int(PHASE_S * REQUESTS_PER_S)):
        requests.append(deployment.traffic.start_request(ports[index % len(ports)]))
        time.sleep(1 / REQUESTS_PER_S)
    while not all(request.outcome for request in requests):
        time.sleep(0.05)
    return requests


def format_row(name: str, requests: list[ClientRequest]) -> str:
    """Format the outcomes and latencies of a phase as a table row."""
    outcomes = Counter(request.outcome for request in requests)
    times_ms = sorted(
        (request.finished_s - request.started_s) * MS_PER_S
        for request in requests
        if request.outcome == 'done'
    )
    failed = sum(outcomes.values()) - outcomes['done']
    median_ms = times_ms[len(times_ms) // 2]
    p99_ms = times_ms[len(times_ms) * 99 // 100]
    return (
        f'{name:34} {len(requests):8} {outcomes["done"]:6} {failed:6} '
        f'{median_ms:8.1f} {p99_ms:8.1f}'
    )


def main() -> None:
    """Run all phases and print a table row for each."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    deployment = Deployment({'a': 2, 'b': 2}, {'orders': 4, 'patterns': 2}, SUBNET)
    host = next(iter(deployment.hosts))

    def kill() -> None:
        deployment.signal(host, signal.SIGKILL)
        deployment.processes[host].wait()
        deployment.start(host)

    phases: dict[str, Callable[[], None]] = {
        'no fault': lambda: None,
        'an instance is killed and restarted': kill,
        'an upstream fails': lambda: deployment.traffic.fail_upstream('i-00000002'),
        'another upstream drains': lambda: deployment.drain('i-00000003'),
        'the configuration changes': lambda: deployment.publish_configuration(5000),
    }
    try:
        deployment.wait_until_ready()
        print(f'{"phase":34} requests   done failed   p50 ms   p99 ms')
        for name, fault in phases.items():
            print(format_row(name, run_phase(deployment, fault)), flush=True)
    finally:
        deployment.close()


if __name__ == '__main__':
    main()
