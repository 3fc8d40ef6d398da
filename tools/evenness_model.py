"""Model of the fleet whose evenness ``tools.evenness_replay`` measures."""

import heapq
import sys
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import exp
from pathlib import Path
from typing import NamedTuple

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.fleet.loadreport import ANSWER_SCALE, MAX_ANSWERS_FIELD
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, MIN_REPORT_ROWS
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    Reachability,
)
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.placement.selection import (
    PlacementOptions,
    choose_upstream,
)
from cardamomtiller.forwarding.placement.subset import CandidateSource
from cardamomtiller.forwarding.published.upstreams import Upstream, token_of
from cardamomtiller.forwarding.routing.observing import ANSWER_DECAY_MS
from cardamomtiller.forwarding.routing.options import DEFAULT_PLACEMENT
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig

DOMAINS = tuple(DomainName(f'd{index}') for index in range(3))
SPEEDS = (0.6, 1.0, 1.6)
MAX_REPORTED_ANSWERS = MAX_ANSWERS_FIELD / ANSWER_SCALE


class Pattern(NamedTuple):
    """
    A fleet, its upstreams and its load.

    Attributes
    ----------
    load
        Requests as a share of what all slots can serve.
    report_interval_ms
        Time between the load reports that an instance gets.
    more_requests_share
        Probability that another request of a flow follows a request.
    burst
        Factor of the load from ``change_ms`` on.
    slowdown
        Factor by which every second upstream is slower from ``change_ms`` on.
    lost_domain
        Index of the failure domain whose instances get no reports from ``change_ms``
        on, because their aggregator is lost; None if there is none.
    """

    name: str
    instances: int
    report_interval_ms: float
    load: float = 0.65
    upstreams: int = 60
    slots: int = 2
    queue_length: int = 8
    work_ms: float = 25.0
    more_requests_share: float = 0.15
    burst: float = 1.0
    slowdown: float = 1.0
    lost_domain: int | None = None
    change_ms: float = 5000.0


@dataclass
class Server:
    """Model of an upstream."""

    upstream: Upstream
    speed: float
    slots: int
    capacity: int
    busy: int = 0
    queue: deque['Job'] = field(default_factory=deque)


class Job(NamedTuple):
    """A request, with its work at an upstream of speed 1."""

    instance: 'Instance'
    server: Server
    arrived_ms: float
    work_ms: float
    is_last: bool


class Policy(ABC):
    """
    Way to place a flow, with the state that one instance has of it.

    Attributes
    ----------
    assumes_unreported
        Whether an upstream without a row in a full report has the least load of its
        rows; otherwise it counts as idle.
    """

    assumes_unreported = True

    def __init__(self, instance: 'Instance') -> None:
        """Start without any placement."""
        self.instance = instance

    @abstractmethod
    def choose(
        self, pool: Sequence[Upstream], flow_hash: int, now_ms: float
    ) -> Upstream:
        """Return the upstream that gets a new flow."""


class LeastCost(Policy):
    """Placement by the cost alone, as for an instance with much of the load."""

    options: PlacementOptions = DEFAULT_PLACEMENT._replace(spread=None)
    assumes_unreported = False

    def __init__(self, instance: 'Instance') -> None:
        """Start without any placement."""
        super().__init__(instance)
        self._candidates = CandidateSource(instance.locality, self.options)

    def choose(
        self, pool: Sequence[Upstream], flow_hash: int, now_ms: float
    ) -> Upstream:
        """Return the upstream that the forwarder would choose."""
        instance = self.instance
        candidates = self._candidates.select(
            pool, instance.loads, instance.reachability, flow_hash, now_ms
        )
        choice = choose_upstream(
            candidates,
            instance.loads,
            instance.reachability,
            instance.locality,
            self.options,
            flow_hash,
            now_ms,
        )
        assert choice is not None
        return choice.upstream


class Shares(LeastCost):
    """Placement as the forwarder does it, by shares if the own load says little."""

    options = DEFAULT_PLACEMENT
    assumes_unreported = True


class RandomChoice(Policy):
    """Any upstream of the pool, without regard to load and failure domain."""

    def choose(
        self, pool: Sequence[Upstream], flow_hash: int, now_ms: float
    ) -> Upstream:
        """Return an upstream by the hash of the flow."""
        return pool[flow_hash % len(pool)]


class Instance:
    """An instance with what it observes and the last report that it has sent."""

    def __init__(self, number: int, policy: type[Policy]) -> None:
        """Start without any load."""
        self.number = number
        self.domain = number % len(DOMAINS)
        self.locality = Locality(DOMAINS[self.domain], {}, InstanceId(f'i-{number}'))
        self.loads = LoadTable()
        self.reachability = Reachability(DEFAULT_REACHABILITY)
        self.sent: dict[int, tuple[float, float]] = {}
        self.decayed_ms = 0.0
        self.policy = policy(self)


class ReportModel:
    """
    Load reports as the aggregators pass them on.

    An instance reports to the aggregator of its failure domain, and receives the sum
    of all others. Sums of other failure domains are older by up to their interval.
    """

    def __init__(self, pattern: Pattern) -> None:
        """Start without any report."""
        self._members = -(-pattern.instances // len(DOMAINS))
        self._domain_interval_ms = max(
            DEFAULT_SHARING.domain_interval_ms, pattern.report_interval_ms
        )
        self._sums: list[dict[int, tuple[float, float]]] = [{} for _ in DOMAINS]
        self._exchanged = [dict(sums) for sums in self._sums]
        self._exchanged_ms = 0.0

    def exchange(self, instance: Instance, now_ms: float) -> None:
        """Pass on the report of an instance, and give it that of the others."""
        loads = instance.loads
        loads_by_token = dict(loads)
        factor = exp((instance.decayed_ms - now_ms) / ANSWER_DECAY_MS)
        instance.decayed_ms = now_ms
        for load in loads_by_token.values():
            load.decay_answers(factor)
            load.update_mean_busy(now_ms, DEFAULT_SHARING.horizon_ms)
        max_rows = max(
            MIN_REPORT_ROWS, DEFAULT_SHARING.rows_per_domain // self._members
        )
        rows = sorted(
            (
                (token, (load.mean_busy, load.answers))
                for token, load in loads_by_token.items()
            ),
            key=lambda row: -row[1][0],
        )[:max_rows]
        sums = self._sums[instance.domain]
        _add(sums, instance.sent, -1)
        instance.sent = dict(rows)
        if now_ms - self._exchanged_ms >= self._domain_interval_ms:
            self._exchanged = [dict(sums) for sums in self._sums]
            self._exchanged_ms = now_ms
        others = dict(sums)
        _add(sums, instance.sent, 1)
        for index, remote in enumerate(self._exchanged):
            if index != instance.domain:
                _add(others, remote, 1)
        kept = sorted(others, key=lambda token: -others[token][0])[:max_rows]
        unreported = 0.0
        if instance.policy.assumes_unreported and len(kept) == max_rows:
            unreported = others[kept[-1]][0]
        for token, load in loads_by_token.items():
            busy, answers = others[token] if token in kept else (unreported, 0)
            load.others_busy = max(0, busy)
            load.others_answers = min(MAX_REPORTED_ANSWERS, max(0, answers))
        loads.others_reported_ms = now_ms
        loads.update_own_share()

    def forget(self, instance: Instance) -> None:
        """Remove what an instance has received, as if its reports were too old."""
        for _, load in instance.loads:
            load.others_busy = load.others_answers = 0


def _add(
    sums: dict[int, tuple[float, float]],
    rows: Mapping[int, tuple[float, float]],
    sign: int,
) -> None:
    for token, (busy, answers) in rows.items():
        busy_sum, answers_sum = sums.get(token, (0.0, 0.0))
        sums[token] = (busy_sum + sign * busy, answers_sum + sign * answers)


class OneQueue:
    """All slots of all upstreams, served by one queue; faster slots first."""

    def __init__(self, servers: Sequence[Server]) -> None:
        """Start with free slots."""
        self._free = [
            (-server.speed, index, server)
            for server in servers
            for index in range(server.slots)
        ]
        self._free = [
            (speed, number, server)
            for number, (speed, _, server) in enumerate(self._free)
        ]
        heapq.heapify(self._free)
        self._busy: list[tuple[float, int, Server]] = []
        self.waits_ms: list[float] = []

    def serve(self, job: Job) -> None:
        """Serve a request that arrives now; requests arrive in order of time."""
        while self._busy and self._busy[0][0] <= job.arrived_ms:
            _, number, server = heapq.heappop(self._busy)
            heapq.heappush(self._free, (-server.speed, number, server))
        start_ms = job.arrived_ms
        if self._free:
            _, number, server = heapq.heappop(self._free)
        else:
            start_ms, number, server = heapq.heappop(self._busy)
        self.waits_ms.append(start_ms - job.arrived_ms)
        end_ms = start_ms + job.work_ms / server.speed
        heapq.heappush(self._busy, (end_ms, number, server))


def make_server(pattern: Pattern, index: int) -> Server:
    name = f'u-{index}'
    entry = rig.entry(name, domain=DOMAINS[index % len(DOMAINS)], slots=pattern.slots)
    upstream = Upstream(entry, token_of(entry.upstream), 0)
    speed = SPEEDS[index // len(DOMAINS) % len(SPEEDS)]
    capacity = pattern.slots + pattern.queue_length
    return Server(upstream, speed, pattern.slots, capacity)
