"""
Simulation of the placement policies under load, in virtual time and without sockets.

``python -m tools.forwarding_replay`` prints, for several load patterns and policies,
the share of requests that are answered within their latency target. The forwarders
are the real ones; clients are modelled, and upstreams are modelled as slots and a
queue. ``one queue`` is an upper bound for all policies: all slots serve a single
queue without delay.
"""

import argparse
import heapq
import itertools
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import log, pi, sin
from pathlib import Path
from random import Random

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.placement.selection import Choice
from cardamomtiller.forwarding.routing.forwarder import Forwarder, hash_flow
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig

WARM_UP_MS = 4000
RETRANSMIT_MS = 200
TICK_MS = 100
# Share of requests that run longer, and how much longer they run.
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_FACTOR = 7
MEAN_REQUEST_FACTOR = 1 + LONG_REQUEST_SHARE * (LONG_REQUEST_FACTOR - 1)


@dataclass(frozen=True)
class Pattern:
    """
    A load pattern and the deployment that serves it.

    ``load`` is the mean load as a share of all slots, ``swing`` the relative amplitude
    of its sine wave. ``long_flow_share`` is the share of requests on long flows,
    ``slow_upstreams`` the number of upstreams that work four times as long.
    ``domains``, ``instances``, ``upstreams`` and ``clients`` are numbers of items;
    ``slots`` and ``queue_length`` hold for each upstream.
    """

    name: str
    load: float
    swing: float = 0.0
    long_flow_share: float = 0.7
    slow_upstreams: int = 0
    domains: int = 3
    instances: int = 9
    upstreams: int = 7
    slots: int = 3
    queue_length: int = 12
    work_ms: float = 50.0
    target_ms: float = 250.0
    clients: int = 300
    swing_period_ms: float = 8000.0


PATTERNS = (
    Pattern('steady, 80% of all slots', 0.8),
    Pattern('demand peak, mean 62%, amplitude 55%', 0.62, swing=0.55),
    Pattern('only short flows, 85%', 0.85, long_flow_share=0.0),
    Pattern('one upstream works four times as long', 0.5, slow_upstreams=1),
)


@dataclass
class Job:
    """A request, from its start at the client until the answer."""

    number: int
    started_ms: float
    work_ms: float
    client: int
    instance: int
    flow: int
    finished_ms: float | None = None


@dataclass
class Server:
    """Model of an upstream: ``capacity`` bounds busy slots and queue together."""

    slots: int
    capacity: int
    work_factor: float = 1.0
    busy_slots: int = 0
    queue: deque[Job] = field(default_factory=deque)


class TwoChoices(Forwarder):
    """Simpler policy: of two random upstreams, the one with fewer local requests."""

    def _place(self, packet, route, now_ms, *, is_overdue=False):  # type: ignore[no-untyped-def]
        flow_hash = hash_flow(packet.flow)
        pool = self.directory.pool(route.service_of(flow_hash))
        candidates = (pool[flow_hash % len(pool)], pool[flow_hash // 7919 % len(pool)])
        selected = min(
            candidates,
            key=lambda upstream: (
                self.observer.loads.get_or_create(upstream.token).in_progress
            ),
        )
        return Choice(selected, 0, 0, 0, 0, len(pool))


class RoundRobin(Forwarder):
    """Simplest policy: each upstream in turn."""

    _turn = 0

    def _place(self, packet, route, now_ms, *, is_overdue=False):  # type: ignore[no-untyped-def]
        pool = self.directory.pool(route.service_of(0))
        self._turn += 1
        return Choice(pool[self._turn % len(pool)], 0, 0, 0, 0, len(pool))


class Replay:
    """Simulation of a load pattern under a placement policy."""

    def __init__(
        self,
        pattern: Pattern,
        policy: type[Forwarder],
        seed: int,
        has_load_reports: bool = True,
    ) -> None:
        """Create the upstream models, and the forwarders with an entry of each."""
        self._pattern = pattern
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._job_numbers = itertools.count(1)
        self.jobs: list[Job] = []
        domains = [DomainName(f'd{index}') for index in range(pattern.domains)]
        self._servers: dict[tuple[str, int], Server] = {}
        entries = []
        for index in range(pattern.upstreams):
            entry = rig.entry(
                f'u-{index}',
                domain=domains[index % pattern.domains],
                address=(f'10.0.1.{index + 1}', 8000),
                slots=pattern.slots,
            )
            entries.append(entry)
            work_factor = 4.0 if index < pattern.slow_upstreams else 1.0
            capacity = pattern.slots + pattern.queue_length
            self._servers[entry.address] = Server(pattern.slots, capacity, work_factor)
        self._forwarders: list[Forwarder] = []
        self._sharing: list[LoadSharing] = []
        self._members: list[Member] = []
        for index in range(pattern.instances):
            forwarder = rig.make_forwarder((), policy=policy, domain=domains[index % 3])
            for entry in entries:
                forwarder.apply_entry(entry, 0)
            local_member = Member(
                InstanceId(f'i-{index}'),
                domains[index % 3],
                f'10.0.0.{index}',
                1,
            )
            self._forwarders.append(forwarder)
            self._members.append(local_member)
            self._sharing.append(
                LoadSharing(local_member, forwarder.observer.loads, DEFAULT_SHARING)
            )
        self._has_load_reports = has_load_reports
        self._long_flows: dict[int, int] = {}
        self._token_by_flow: dict[int, int] = {}

    def run(self, length_ms: float) -> float:
        """Run the simulation and return the share of requests within the target."""
        self._schedule(0, self._tick)
        for client in range(self._pattern.clients):
            self._schedule(
                self._random.uniform(0, 2000),
                lambda client=client: self._start_job(client),
            )
        while self._events and self._now_ms < length_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        counted = [
            job
            for job in self.jobs
            if WARM_UP_MS < job.started_ms < length_ms - 10 * self._pattern.target_ms
        ]
        good = sum(
            job.finished_ms is not None
            and job.finished_ms - job.started_ms <= self._pattern.target_ms
            for job in counted
        )
        return good / len(counted)

    def _schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_ms, next(self._event_numbers), action))

    def _tick(self) -> None:
        for index, sharing in enumerate(self._sharing):
            self._forwarders[index].sweep(self._now_ms)
            if self._has_load_reports:
                sharing.update_loads(self._now_ms)
                self._exchange_reports(index, sharing)
        self._schedule(self._now_ms + TICK_MS, self._tick)

    def _exchange_reports(self, index: int, sharing: LoadSharing) -> None:
        local_member = self._members[index]
        other_members = [
            member for member in self._members if member is not local_member
        ]
        for receiver, report in sharing.due_reports(other_members, self._now_ms):
            receiver_sharing = self._sharing[self._members.index(receiver)]
            answer = receiver_sharing.handle_report(local_member, report, self._now_ms)
            if answer is not None:
                sharing.handle_report(receiver, answer, self._now_ms)

    def _draw_pause_ms(self) -> float:
        """Draw the time until the next request of a client."""
        pattern = self._pattern
        slots = pattern.upstreams * pattern.slots
        mean_rate = pattern.load * slots / (pattern.work_ms * MEAN_REQUEST_FACTOR)
        wave = 1 + pattern.swing * sin(2 * pi * self._now_ms / pattern.swing_period_ms)
        return -log(1 - self._random.random()) * pattern.clients / (mean_rate * wave)

    def _start_job(self, client: int) -> None:
        pattern = self._pattern
        work_ms = pattern.work_ms * self._random.lognormvariate(-0.125, 0.5)
        if self._random.random() < LONG_REQUEST_SHARE:
            work_ms *= LONG_REQUEST_FACTOR
        instance = client % pattern.instances
        job_number = next(self._job_numbers)
        is_long = self._random.random() < pattern.long_flow_share
        flow = client if is_long else pattern.clients + job_number % 50_000
        job = Job(job_number, self._now_ms, work_ms, client, instance, flow)
        self.jobs.append(job)
        self._schedule(
            self._now_ms + self._draw_pause_ms(), lambda: self._start_job(client)
        )
        if is_long and flow in self._token_by_flow:
            self._send_request(job, job_number)
        else:
            self._open_flow(job)

    def _open_flow(self, job: Job) -> None:
        port = 1024 + job.flow
        forwarder = self._forwarders[job.instance]
        deliveries = rig.handle(forwarder, rig.opening(port), self._now_ms)
        self._token_by_flow[job.flow] = rig.sent_token(deliveries[0])
        self._send_request(job, job.number)

    def _send_request(self, job: Job, job_number: int) -> None:
        token = self._token_by_flow[job.flow]
        datagram = rig.packet(
            1024 + job.flow,
            seq=1000 + job_number * 10,
            ack=1000 + job_number * 10 - 5,
            size=9,
            token=token,
        )
        forwarder = self._forwarders[job.instance]
        for delivery in rig.handle(forwarder, datagram, self._now_ms):
            self._handle_arrival(job, self._servers[delivery.address])

    def _handle_arrival(self, job: Job, server: Server) -> None:
        if server.busy_slots + len(server.queue) >= server.capacity:
            self._acknowledge_answer(job)
        elif server.busy_slots < server.slots:
            self._start_work(job, server)
        else:
            server.queue.append(job)

    def _start_work(self, job: Job, server: Server) -> None:
        server.busy_slots += 1
        end_ms = self._now_ms + job.work_ms * server.work_factor
        self._schedule(end_ms, lambda: self._finish(job, server))

    def _finish(self, job: Job, server: Server) -> None:
        server.busy_slots -= 1
        job.finished_ms = self._now_ms
        self._acknowledge_answer(job)
        if server.queue:
            self._start_work(server.queue.popleft(), server)

    def _acknowledge_answer(self, job: Job) -> None:
        """Send the client's acknowledgement, and close the flow if it is short."""
        forwarder = self._forwarders[job.instance]
        token = self._token_by_flow[job.flow]
        port = 1024 + job.flow
        ack = 1000 + job.number * 10
        rig.handle(forwarder, rig.packet(port, ack=ack, token=token), self._now_ms)
        if job.flow >= self._pattern.clients:
            rig.handle(forwarder, rig.closing(port, ack=ack, token=token), self._now_ms)
            del self._token_by_flow[job.flow]


def share_with_one_queue(pattern: Pattern, seed: int, length_ms: float) -> float:
    """Return the share within the target if all slots serve a single queue."""
    replay = Replay(pattern, RoundRobin, seed)
    replay.run(length_ms)
    work_factors = [4.0] * pattern.slow_upstreams + [1.0] * (
        pattern.upstreams - pattern.slow_upstreams
    )
    free_slots = [
        (0.0, work_factor) for work_factor in work_factors for _ in range(pattern.slots)
    ]
    heapq.heapify(free_slots)
    good = counted = 0
    for job in replay.jobs:
        free_at_ms, work_factor = min(
            free_slots, key=lambda slot: (max(slot[0], job.started_ms), slot[1])
        )
        free_slots.remove((free_at_ms, work_factor))
        end_ms = max(free_at_ms, job.started_ms) + job.work_ms * work_factor
        free_slots.append((end_ms, work_factor))
        if WARM_UP_MS < job.started_ms < length_ms - 10 * pattern.target_ms:
            counted += 1
            good += end_ms - job.started_ms <= pattern.target_ms
    return good / counted


POLICIES: dict[str, tuple[type[Forwarder], bool]] = {
    'round robin': (RoundRobin, False),
    'two random choices': (TwoChoices, False),
    'own flows only': (Forwarder, False),
    'own flows and reports': (Forwarder, True),
}


def compute_rows(length_ms: float, seeds: range) -> Iterator[tuple[str, str, float]]:
    """Iterate over pattern name, policy name and mean share within the target."""
    for pattern in PATTERNS:
        for policy_name, (policy, has_load_reports) in POLICIES.items():
            shares = [
                Replay(pattern, policy, seed, has_load_reports).run(length_ms)
                for seed in seeds
            ]
            yield pattern.name, policy_name, sum(shares) / len(shares)
        bound_shares = [
            share_with_one_queue(pattern, seed, length_ms) for seed in seeds
        ]
        yield pattern.name, 'one queue', sum(bound_shares) / len(bound_shares)


def main() -> None:
    """Parse the command line and print a row for each pattern and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    for pattern, policy, share in compute_rows(
        options.seconds * 1000, range(options.seeds)
    ):
        print(f'{pattern:40} {policy:24} {share:.4f}', flush=True)


if __name__ == '__main__':
    main()
