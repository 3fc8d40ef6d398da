"""
Replay of load against the forwarding decisions, in virtual time and without sockets.

``python -m tools.forwarding_replay`` prints, for several load patterns and policies,
the share of requests that are answered within their target. Real forwarders take the
packets of modelled clients; upstreams are modelled as slots and a queue. ``one queue``
is the bound that no choice can pass: all slots behind one queue, with no delay.
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

from cardamomtiller.forwarding.forwarder import Forwarder, hash_flow
from cardamomtiller.forwarding.loadsharing import (
    DEFAULT_SHARING,
    LoadSharing,
)
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.placement import Choice
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig

WARM_UP_MS = 4000
RETRANSMIT_MS = 200
TICK_MS = 100
# Some requests run much longer than the rest.
LONG_SHARE = 0.03
LONG_FACTOR = 7
MEAN_FACTOR = 1 + LONG_SHARE * (LONG_FACTOR - 1)


@dataclass(frozen=True)
class Pattern:
    """
    A load pattern.

    ``swing`` is the amplitude of the wave, ``load`` its mean as a share of all slots,
    ``long_share`` the share of requests on long flows, ``slow`` the number of
    upstreams that work four times as long.
    """

    name: str
    load: float
    swing: float = 0.0
    long_share: float = 0.7
    slow: int = 0
    domains: int = 3
    instances: int = 9
    upstreams: int = 7
    slots: int = 3
    queue: int = 12
    work_ms: float = 50.0
    target_ms: float = 250.0
    users: int = 300
    period_ms: float = 8000.0


PATTERNS = (
    Pattern('steady, 80% of all slots', 0.8),
    Pattern('crest of a swing, mean 62%, 55% up', 0.62, swing=0.55),
    Pattern('only short flows, 85%', 0.85, long_share=0.0),
    Pattern('one upstream works four times as long', 0.5, slow=1),
)


@dataclass
class Job:
    """One request."""

    number: int
    started_ms: float
    work_ms: float
    client: int
    instance: int
    flow: int
    finished_ms: float | None = None


@dataclass
class Server:
    """Slots and queue of an upstream."""

    slots: int
    room: int
    factor: float = 1.0
    busy: int = 0
    waiting: deque[Job] = field(default_factory=deque)


class TwoChoices(Forwarder):
    """The simpler policy: the better of two random upstreams, by own flows."""

    def _place(self, packet, route, now_ms):  # type: ignore[no-untyped-def]
        hashed = hash_flow(packet.flow)
        pool = self.directory.pool(route.service_of(hashed))
        drawn = (pool[hashed % len(pool)], pool[hashed // 7919 % len(pool)])
        best = min(
            drawn,
            key=lambda one: self.observer.loads.get_or_create(one.token).in_progress,
        )
        return Choice(best, 0, 0, 0, 0, len(pool))


class RoundRobin(Forwarder):
    """The simplest policy: each upstream in turn."""

    _turn = 0

    def _place(self, packet, route, now_ms):  # type: ignore[no-untyped-def]
        pool = self.directory.pool(route.service_of(0))
        self._turn += 1
        return Choice(pool[self._turn % len(pool)], 0, 0, 0, 0, len(pool))


class Replay:
    """One pattern under one policy."""

    def __init__(
        self,
        pattern: Pattern,
        policy: type[Forwarder],
        seed: int,
        has_load_reports: bool = True,
    ) -> None:
        """Prepare instances and upstreams."""
        self._pattern = pattern
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
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
            factor = 4.0 if index < pattern.slow else 1.0
            room = pattern.slots + pattern.queue
            self._servers[entry.address] = Server(pattern.slots, room, factor)
        self._forwarders: list[Forwarder] = []
        self._sharing: list[LoadSharing] = []
        self._members: list[Member] = []
        for index in range(pattern.instances):
            forwarder = rig.make_forwarder((), policy=policy, domain=domains[index % 3])
            for entry in entries:
                forwarder.apply_entry(entry, 0)
            me = Member(
                InstanceId(f'i-{index}'),
                domains[index % 3],
                f'10.0.0.{index}',
                1,
            )
            self._forwarders.append(forwarder)
            self._members.append(me)
            self._sharing.append(
                LoadSharing(me, forwarder.observer.loads, DEFAULT_SHARING)
            )
        self._has_load_reports = has_load_reports
        self._long_flows: dict[int, int] = {}
        self._tokens: dict[int, int] = {}

    def run(self, length_ms: float) -> float:
        """Return the share of requests that were answered within their target."""
        self._at(0, self._tick)
        for user in range(self._pattern.users):
            self._at(self._random.uniform(0, 2000), lambda user=user: self._ask(user))
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

    def _at(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_ms, next(self._order), action))

    def _tick(self) -> None:
        for index, sharing in enumerate(self._sharing):
            self._forwarders[index].sweep(self._now_ms)
            if self._has_load_reports:
                sharing.update_loads(self._now_ms)
                self._share(index, sharing)
        self._at(self._now_ms + TICK_MS, self._tick)

    def _share(self, index: int, sharing: LoadSharing) -> None:
        me = self._members[index]
        others = [one for one in self._members if one is not me]
        for receiver, report in sharing.due_reports(others, self._now_ms):
            other = self._sharing[self._members.index(receiver)]
            answer = other.handle_report(me, report, self._now_ms)
            if answer is not None:
                sharing.handle_report(receiver, answer, self._now_ms)

    def _pause_ms(self) -> float:
        """Return the time until a user's next request."""
        pattern = self._pattern
        slots = pattern.upstreams * pattern.slots
        mean_rate = pattern.load * slots / (pattern.work_ms * MEAN_FACTOR)
        wave = 1 + pattern.swing * sin(2 * pi * self._now_ms / pattern.period_ms)
        return -log(1 - self._random.random()) * pattern.users / (mean_rate * wave)

    def _ask(self, user: int) -> None:
        pattern = self._pattern
        work_ms = pattern.work_ms * self._random.lognormvariate(-0.125, 0.5)
        if self._random.random() < LONG_SHARE:
            work_ms *= LONG_FACTOR
        instance = user % pattern.instances
        number = next(self._numbers)
        is_long = self._random.random() < pattern.long_share
        flow = user if is_long else pattern.users + number % 50_000
        job = Job(number, self._now_ms, work_ms, user, instance, flow)
        self.jobs.append(job)
        self._at(self._now_ms + self._pause_ms(), lambda: self._ask(user))
        if is_long and flow in self._tokens:
            self._send_request(job, number)
        else:
            self._open(job)

    def _open(self, job: Job) -> None:
        port = 1024 + job.flow
        forwarder = self._forwarders[job.instance]
        deliveries = rig.handle(forwarder, rig.opening(port), self._now_ms)
        self._tokens[job.flow] = rig.sent_token(deliveries[0])
        self._send_request(job, job.number)

    def _send_request(self, job: Job, number: int) -> None:
        token = self._tokens[job.flow]
        datagram = rig.packet(
            1024 + job.flow,
            seq=1000 + number * 10,
            ack=1000 + number * 10 - 5,
            size=9,
            token=token,
        )
        forwarder = self._forwarders[job.instance]
        for delivery in rig.handle(forwarder, datagram, self._now_ms):
            self._arrive(job, self._servers[delivery.address])

    def _arrive(self, job: Job, server: Server) -> None:
        if server.busy + len(server.waiting) >= server.room:
            self._end(job)
        elif server.busy < server.slots:
            self._work(job, server)
        else:
            server.waiting.append(job)

    def _work(self, job: Job, server: Server) -> None:
        server.busy += 1
        end_ms = self._now_ms + job.work_ms * server.factor
        self._at(end_ms, lambda: self._finish(job, server))

    def _finish(self, job: Job, server: Server) -> None:
        server.busy -= 1
        job.finished_ms = self._now_ms
        self._end(job)
        if server.waiting:
            self._work(server.waiting.popleft(), server)

    def _end(self, job: Job) -> None:
        """Let the client acknowledge the answer, and close a short flow."""
        forwarder = self._forwarders[job.instance]
        token = self._tokens[job.flow]
        port = 1024 + job.flow
        ack = 1000 + job.number * 10
        rig.handle(forwarder, rig.packet(port, ack=ack, token=token), self._now_ms)
        if job.flow >= self._pattern.users:
            rig.handle(forwarder, rig.closing(port, ack=ack, token=token), self._now_ms)
            del self._tokens[job.flow]


def one_queue(pattern: Pattern, seed: int, length_ms: float) -> float:
    """Return the share within the target if all slots shared one queue."""
    replay = Replay(pattern, RoundRobin, seed)
    replay.run(length_ms)
    factors = [4.0] * pattern.slow + [1.0] * (pattern.upstreams - pattern.slow)
    free = [(0.0, factor) for factor in factors for _ in range(pattern.slots)]
    heapq.heapify(free)
    good = counted = 0
    for job in replay.jobs:
        at_ms, factor = min(free, key=lambda one: (max(one[0], job.started_ms), one[1]))
        free.remove((at_ms, factor))
        end_ms = max(at_ms, job.started_ms) + job.work_ms * factor
        free.append((end_ms, factor))
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


def rows(length_ms: float, seeds: range) -> Iterator[tuple[str, str, float]]:
    """Iterate over pattern, policy and mean share within the target."""
    for pattern in PATTERNS:
        for name, (policy, has_load_reports) in POLICIES.items():
            shares = [
                Replay(pattern, policy, seed, has_load_reports).run(length_ms)
                for seed in seeds
            ]
            yield pattern.name, name, sum(shares) / len(shares)
        bounds = [one_queue(pattern, seed, length_ms) for seed in seeds]
        yield pattern.name, 'one queue', sum(bounds) / len(bounds)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    for pattern, policy, share in rows(options.seconds * 1000, range(options.seeds)):
        print(f'{pattern:40} {policy:24} {share:.4f}', flush=True)


if __name__ == '__main__':
    main()
