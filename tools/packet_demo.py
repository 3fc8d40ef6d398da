"""
A short deployment on the users' packets, with faults: ``python -m tools.packet_demo``.

Four instances forward the flows of clients to six upstreams. An instance is killed,
an upstream dies, another one drains and the configuration changes under load. The
table shows, for each phase, how requests ended and how long they took.
"""

import argparse
import signal
import time
from collections import Counter
from collections.abc import Callable

from tools.packet_deployment import Attempt, Deployment

SUBNET = 71
PHASE_S = 4.0
REQUESTS_PER_S = 50
MS_PER_S = 1000


def run_phase(deployment: Deployment, fault: Callable[[], None]) -> list[Attempt]:
    """Inject a fault, send requests for a while, and return them once they ended."""
    fault()
    ports = list(deployment.routes)
    requests = []
    for number in range(int(PHASE_S * REQUESTS_PER_S)):
        requests.append(deployment.traffic.start_request(ports[number % len(ports)]))
        time.sleep(1 / REQUESTS_PER_S)
    while not all(one.outcome for one in requests):
        time.sleep(0.05)
    return requests


def row_of(name: str, requests: list[Attempt]) -> str:
    """Return one row of the table."""
    outcomes = Counter(one.outcome for one in requests)
    times_ms = sorted(
        (one.finished_s - one.started_s) * MS_PER_S
        for one in requests
        if one.outcome == 'done'
    )
    others = sum(outcomes.values()) - outcomes['done']
    median_ms = times_ms[len(times_ms) // 2]
    late_ms = times_ms[len(times_ms) * 99 // 100]
    return (
        f'{name:34} {len(requests):8} {outcomes["done"]:6} {others:6} '
        f'{median_ms:8.1f} {late_ms:8.1f}'
    )


def main() -> None:
    """Run all phases and print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    deployment = Deployment({'a': 2, 'b': 2}, {'orders': 4, 'patterns': 2}, SUBNET)
    host = next(iter(deployment.hosts))

    def kill() -> None:
        deployment.signal(host, signal.SIGKILL)
        deployment.processes[host].wait()
        deployment.start(host)

    phases: dict[str, Callable[[], None]] = {
        'calm': lambda: None,
        'an instance is killed, starts again': kill,
        'an upstream falls silent': lambda: deployment.traffic.fail_upstream(
            'i-00000002'
        ),
        'another upstream drains': lambda: deployment.drain('i-00000003'),
        'the configuration changes': lambda: deployment.publish_configuration(5000),
    }
    try:
        deployment.wait_until_ready()
        print(f'{"phase":34} requests   done others   p50 ms   p99 ms')
        for name, fault in phases.items():
            print(row_of(name, run_phase(deployment, fault)), flush=True)
    finally:
        deployment.close()


if __name__ == '__main__':
    main()
