"""
Simulation of how evenly many instances load the upstreams of a service.

``python -m tools.evenness_replay`` prints, for several fleets, ages of the load reports
and ways to place flows, how much more work the busiest upstream gets than the mean one.
Work is the number of requests divided by the speed of the upstream. Placement is the
real ``choose_upstream`` with the ``LoadTable`` of each instance; routers, clients, load
reports and upstreams are modelled in virtual time. ``tools.forwarding_replay`` and
``tools.overload_replay`` run whole forwarders, but only a few of them.
"""

import argparse
import heapq
import itertools
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from random import Random
from statistics import fmean
from typing import NamedTuple

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.observation.load import MAX_REPORT_AGE_MS
from tools.evenness_model import (
    Instance,
    Job,
    LeastCost,
    OneQueue,
    Pattern,
    Policy,
    RandomChoice,
    ReportModel,
    Server,
    Shares,
    make_server,
)

WINDOW_MS = 200.0
# From the end of a request until the instance sees the client's acknowledgement.
OBSERVATION_DELAY_MS = 2.0
# Time between two requests of a flow.
PAUSE_MS = 20.0


PATTERNS = (
    Pattern('9 instances, 100 ms', 9, 100, upstreams=7, slots=3),
    Pattern('65 instances, 200 ms', 65, 200),
    Pattern('65 instances, 1500 ms', 65, 1500),
    Pattern('65 instances, 200 ms, 80%', 65, 200, load=0.8),
    Pattern('89 instances, 300 ms, 50%', 89, 300, load=0.5),
    Pattern('195 instances, 600 ms', 195, 600),
    Pattern('590 instances, 1500 ms', 590, 1500),
    Pattern('65, lost aggregator', 65, 200, lost_domain=0),
    Pattern('65, burst of 1.7', 65, 200, burst=1.7),
    Pattern('65, half 4 times slower', 65, 200, load=0.5, slowdown=4.0),
)


class Figures(NamedTuple):
    """
    Result of a replay.

    Attributes
    ----------
    run_ratio, window_ratio
        Work of the busiest upstream by that of the mean one: over the whole run, and
        the mean over windows of 200 ms.
    full_share
        Share of the arrivals at a full upstream while another one had a free slot.
    wait_ms, one_queue_ms
        Mean wait for a slot, and the wait if one queue served all slots.
    latency_ms
        Mean time from arrival to answer.
    """

    run_ratio: float
    window_ratio: float
    full_share: float
    wait_ms: float
    one_queue_ms: float
    latency_ms: float


class Replay:
    """Simulation of a pattern with one way to place flows."""

    def __init__(self, pattern: Pattern, policy: type[Policy], seed: int) -> None:
        """Create instances and upstreams; speeds are spread over the domains."""
        self._pattern = pattern
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._servers = [
            make_server(pattern, index) for index in range(pattern.upstreams)
        ]
        self._by_token = {server.upstream.token: server for server in self._servers}
        self._pool = tuple(server.upstream for server in self._servers)
        self._instances = [
            Instance(number, policy) for number in range(pattern.instances)
        ]
        for instance in self._instances:
            for upstream in self._pool:
                instance.loads.get_or_create(upstream.token)
        self._reports = ReportModel(pattern)
        self._work: list[tuple[float, int, float]] = []
        self._waits_ms: list[float] = []
        self._latencies_ms: list[float] = []
        self._central = OneQueue(self._servers)
        self._full = self._arrivals = 0
        self._capacity_per_ms = sum(
            server.slots * server.speed / pattern.work_ms for server in self._servers
        )

    def run(self, warm_up_ms: float, length_ms: float) -> Figures:
        """Run the simulation; return the figures of the time after the warm-up."""
        pattern = self._pattern
        self._warm_up_ms = warm_up_ms
        for instance in self._instances:
            phase_ms = self._random.uniform(0, pattern.report_interval_ms)
            self._schedule(phase_ms, lambda which=instance: self._report(which))
        self._schedule(0, self._open_flow)
        if pattern.change_ms < length_ms:
            self._schedule(pattern.change_ms, self._change)
        while self._events and self._events[0][0] < length_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return Figures(
            _ratio(self._work, self._servers),
            fmean(
                _ratio(list(rows), self._servers)
                for _, rows in itertools.groupby(
                    self._work, key=lambda row: row[0] // WINDOW_MS
                )
            ),
            self._full / self._arrivals,
            fmean(self._waits_ms),
            fmean(self._central.waits_ms),
            fmean(self._latencies_ms),
        )

    def _schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_ms, next(self._event_numbers), action))

    def _change(self) -> None:
        for server in self._servers[::2]:
            server.speed /= self._pattern.slowdown

    def _report(self, instance: Instance) -> None:
        pattern = self._pattern
        is_changed = self._now_ms >= pattern.change_ms
        if is_changed and instance.domain == pattern.lost_domain:
            self._schedule(
                self._now_ms + MAX_REPORT_AGE_MS, lambda: self._reports.forget(instance)
            )
            return
        self._reports.exchange(instance, self._now_ms)
        self._schedule(
            self._now_ms + pattern.report_interval_ms, lambda: self._report(instance)
        )

    def _open_flow(self) -> None:
        pattern = self._pattern
        rate = pattern.load * self._capacity_per_ms * (1 - pattern.more_requests_share)
        if self._now_ms >= pattern.change_ms:
            rate *= pattern.burst
        self._schedule(self._now_ms + self._random.expovariate(rate), self._open_flow)
        instance = self._random.choice(self._instances)
        flow_hash = self._random.getrandbits(32)
        upstream = instance.policy.choose(self._pool, flow_hash, self._now_ms)
        load = instance.loads.get_or_create(upstream.token)
        load.open_flows += 1
        self._send_request(instance, self._by_token[upstream.token])

    def _send_request(self, instance: Instance, server: Server) -> None:
        pattern = self._pattern
        work_ms = pattern.work_ms * self._random.lognormvariate(-0.125, 0.5)
        is_last = self._random.random() >= pattern.more_requests_share
        job = Job(instance, server, self._now_ms, work_ms, is_last)
        instance.loads.get_or_create(server.upstream.token).change_in_progress(
            1, self._now_ms
        )
        if self._now_ms >= self._warm_up_ms:
            self._count_arrival(job)
        if server.busy < server.slots:
            self._start(job)
        elif server.busy + len(server.queue) < server.capacity:
            server.queue.append(job)
        else:
            self._schedule(
                self._now_ms + OBSERVATION_DELAY_MS, lambda: self._answer(job)
            )

    def _count_arrival(self, job: Job) -> None:
        server = job.server
        self._arrivals += 1
        index = self._servers.index(server)
        self._work.append((self._now_ms, index, 1 / (server.speed * server.slots)))
        self._central.serve(job)
        if server.busy + len(server.queue) >= server.capacity:
            self._full += any(other.busy < other.slots for other in self._servers)

    def _start(self, job: Job) -> None:
        job.server.busy += 1
        if job.arrived_ms >= self._warm_up_ms:
            self._waits_ms.append(self._now_ms - job.arrived_ms)
        end_ms = self._now_ms + job.work_ms / job.server.speed
        self._schedule(end_ms, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        server = job.server
        server.busy -= 1
        if server.queue:
            self._start(server.queue.popleft())
        if job.arrived_ms >= self._warm_up_ms:
            self._latencies_ms.append(self._now_ms - job.arrived_ms)
        self._schedule(self._now_ms + OBSERVATION_DELAY_MS, lambda: self._answer(job))

    def _answer(self, job: Job) -> None:
        load = job.instance.loads.get_or_create(job.server.upstream.token)
        load.change_in_progress(-1, self._now_ms)
        load.record_latency(self._now_ms - job.arrived_ms, self._now_ms)
        load.record_answer_size(is_short=False)
        if job.is_last:
            load.open_flows -= 1
            return
        self._schedule(
            self._now_ms + PAUSE_MS,
            lambda: self._send_request(job.instance, job.server),
        )


def _ratio(
    rows: Sequence[tuple[float, int, float]], servers: Sequence[Server]
) -> float:
    """Return the work of the busiest upstream divided by the mean."""
    work = [0.0] * len(servers)
    for _, index, amount in rows:
        work[index] += amount
    return max(work) / fmean(work)


POLICIES: dict[str, type[Policy]] = {
    'random': RandomChoice,
    'least cost': LeastCost,
    'shares': Shares,
}


def compute_rows(
    patterns: Sequence[Pattern], policies: Mapping[str, type[Policy]], seconds: float
) -> Iterator[tuple[str, str, Figures]]:
    """Iterate over the figures of each pattern with each way to place flows."""
    for pattern in patterns:
        for name, policy in policies.items():
            figures = Replay(pattern, policy, 1).run(4000, 1000 * seconds)
            yield pattern.name, name, figures


def main() -> None:
    """Parse the command line and print a row for each pattern and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=9)
    parser.add_argument('--pattern', default='', help='part of the names to run')
    parser.add_argument('--policy', default='', help='part of the names to run')
    parser.add_argument(
        '--weighed', action='store_true', help='run the ways that are not in use too'
    )
    options = parser.parse_args()
    patterns = [pattern for pattern in PATTERNS if options.pattern in pattern.name]
    known = dict(POLICIES)
    if options.weighed:
        from tools.evenness_policies import WEIGHED

        known.update(WEIGHED)
    policies = {
        name: policy for name, policy in known.items() if options.policy in name
    }
    heading = ('run', 'window', 'full', 'wait ms', 'one queue', 'latency ms')
    print(f'{"":28}{"":22}' + ''.join(f'{title:>11}' for title in heading))
    for pattern, policy, figures in compute_rows(patterns, policies, options.seconds):
        cells = ''.join(f'{value:11.3f}' for value in figures)
        print(f'{pattern:28}{policy:22}{cells}', flush=True)


if __name__ == '__main__':
    main()
