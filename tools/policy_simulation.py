"""Simulate the scheduler and the selection of upstreams on a simulated clock.

``Scheduler`` and ``Selection`` are the production classes. Clients, upstreams,
running times and report delays are simulated, so the results exclude the cost of
sockets and processes.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from returns.result import Result, Success

from cardamomtiller.entrance import selection
from cardamomtiller.entrance.selection import Load, Selection
from cardamomtiller.identity import (
    CustomerId,
    DomainName,
    Endpoint,
    FlowId,
    OperatorState,
    Outcome,
    RegionName,
    RequestId,
    RequestKey,
    ServiceClass,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.queueing.scheduler import Scheduler
from cardamomtiller.queueing.work import QueueOptions, Refusal, Work

QUEUE_OPTIONS = QueueOptions(
    long_run_ms=500,
    long_bytes=65536,
    longest_wait_ms=10_000,
    urgent_weight=16,
    normal_weight=4,
    bulk_weight=1,
)
SELECTION_OPTIONS = selection.SelectionOptions(
    largest_ejected_share=0.3,
    ramp_ms=5000,
    ejection_ms=5000,
)
FLOW = FlowId(bytes(16))
INFINITE_MS = float('inf')

_serial = itertools.count()


@dataclass
class Job:
    """Request with its actual running time and its current status."""

    arrival_ms: float
    run_ms: float
    customer: str
    service_class: ServiceClass
    timeout_ms: float
    size_bytes: int = 500
    weight: float = 1
    start_ms: float = INFINITE_MS
    end_ms: float = INFINITE_MS
    # One of 'waiting', 'running', 'done', 'refused' and 'expired'.
    status: str = 'waiting'

    def as_work(self) -> Work:
        """Return the job as work for the scheduler."""
        return Work(
            request=RequestKey(FLOW, RequestId(next(_serial))),
            customer=CustomerId(self.customer),
            service_class=self.service_class,
            size_bytes=self.size_bytes,
            deadline_ms=self.arrival_ms + self.timeout_ms,
            weight=self.weight,
            is_idempotent=True,
            payload=self,
        )

    def is_in_time(self) -> bool:
        """Return whether the job finished by its deadline."""
        return self.end_ms <= self.arrival_ms + self.timeout_ms

    def wait_ms(self) -> float:
        """Return the time from arrival to start; infinite if never started."""
        return self.start_ms - self.arrival_ms


class Queue(Protocol):
    """Queue operations that the simulation uses."""

    def submit(self, work: Work, now_ms: float) -> Result[None, Refusal]: ...
    def start(self, now_ms: float) -> Iterator[Work]: ...
    def expire(self, now_ms: float) -> Iterator[Work]: ...
    def finish(self, request: RequestKey, outcome: Outcome, now_ms: float) -> None: ...
    def next_event_ms(self, now_ms: float) -> float: ...


class FifoQueue:
    """Baseline: a FIFO queue without length limit or deadlines."""

    def __init__(self, slots: int) -> None:
        """Create an empty queue for an upstream with ``slots`` slots."""
        self._slots = slots
        self._queue: deque[Work] = deque()
        self._running: set[RequestKey] = set()

    def submit(self, work: Work, now_ms: float) -> Result[None, Refusal]:
        """Append the work; the queue never refuses."""
        self._queue.append(work)
        return Success(None)

    def start(self, now_ms: float) -> Iterator[Work]:
        """Yield work for the free slots, oldest first."""
        while self._queue and len(self._running) < self._slots:
            work = self._queue.popleft()
            self._running.add(work.request)
            yield work

    def expire(self, now_ms: float) -> Iterator[Work]:
        """Return no work: deadlines are ignored."""
        return iter(())

    def finish(self, request: RequestKey, outcome: Outcome, now_ms: float) -> None:
        """Release the slot of a request."""
        self._running.discard(request)

    def next_event_ms(self, now_ms: float) -> float:
        """Return infinity: the queue has no timers."""
        return INFINITE_MS


@dataclass
class Upstream:
    """Simulated upstream that runs the work of one queue."""

    queue: Queue
    jobs: list[Job]
    horizon_ms: float
    # Returns the job that follows a completed job, for closed-loop load.
    next_job: Callable[[Job, float], Job | None] = lambda job, now_ms: None
    speed: float = 1
    arrived: list[Job] = field(default_factory=list)

    def run(self) -> list[Job]:
        """Process events up to the horizon; return every job that arrived."""
        events: list[tuple[float, int, Job, RequestKey | None]] = [
            (job.arrival_ms, next(_serial), job, None) for job in self.jobs
        ]
        heapq.heapify(events)
        wake_ms = INFINITE_MS
        while events or wake_ms < INFINITE_MS:
            now_ms = min(wake_ms, events[0][0]) if events else wake_ms
            if now_ms > self.horizon_ms:
                break
            while events and events[0][0] <= now_ms:
                self._handle(heapq.heappop(events), events, now_ms)
            for work in self.queue.expire(now_ms):
                self._complete(work.payload, 'expired', events, now_ms)
            for work in self.queue.start(now_ms):
                job = work.payload
                job.start_ms = now_ms
                job.status = 'running'
                due_ms = now_ms + job.run_ms / self.speed
                end_event = (due_ms, next(_serial), job, work.request)
                heapq.heappush(events, end_event)
            wake_ms = self.queue.next_event_ms(now_ms)
            if wake_ms <= now_ms:
                wake_ms = now_ms + 0.001
        return self.arrived

    def _handle(self, event, events, now_ms: float) -> None:
        job, request = event[2], event[3]
        if request is not None:
            self.queue.finish(request, Outcome.DONE, now_ms)
            job.end_ms = now_ms
            self._complete(job, 'done', events, now_ms)
            return
        self.arrived.append(job)
        if not isinstance(self.queue.submit(job.as_work(), now_ms), Success):
            self._complete(job, 'refused', events, now_ms)

    def _complete(self, job: Job, status: str, events, now_ms: float) -> None:
        job.status = status
        successor = self.next_job(job, now_ms)
        if successor is not None:
            heapq.heappush(
                events, (successor.arrival_ms, next(_serial), successor, None)
            )


def scheduler_queue(slots: int) -> Scheduler:
    """Return a production scheduler with ``QUEUE_OPTIONS``."""
    return Scheduler(QUEUE_OPTIONS, slots, 0)


def poisson_times(
    random: Random,
    rate_per_ms: Callable[[float], float],
    peak_per_ms: float,
    horizon_ms: float,
) -> Iterator[float]:
    """Yield the arrival times of an inhomogeneous Poisson process, by thinning."""
    now_ms = 0.0
    while peak_per_ms > 0:
        now_ms += random.expovariate(peak_per_ms)
        if now_ms > horizon_ms:
            return
        if random.random() * peak_per_ms <= rate_per_ms(now_ms):
            yield now_ms


def make_upstream_rows(count: int, slots: int) -> tuple[UpstreamRow, ...]:
    """Return ``count`` upstreams of one service in one failure domain."""
    return tuple(
        UpstreamRow(
            name=UpstreamId(f'u{index}'),
            service=ServiceName('orderdesk'),
            domain=DomainName('nadi-a'),
            region=RegionName('viti-west'),
            address=Endpoint('127.0.0.1', 1000 + index),
            stream_address=None,
            slots=slots,
            state=OperatorState.LIVE,
        )
        for index in range(count)
    )


class Chooser(Protocol):
    """Selection operations that the simulation uses."""

    def choose(
        self, flow: FlowId, exclude: frozenset[UpstreamId], now_ms: float
    ) -> UpstreamId | None: ...
    def report_load(self, upstream: UpstreamId, load: Load, now_ms: float) -> None: ...
    def observe(
        self, upstream: UpstreamId, outcome: Outcome, latency_ms: float, now_ms: float
    ) -> None: ...


class RandomChoice:
    """Baseline: each upstream with the same probability."""

    def __init__(self, pool: tuple[UpstreamRow, ...], random: Random) -> None:
        """Create a chooser among the upstreams of a pool."""
        self._names = [row.name for row in pool]
        self._random = random

    def choose(self, flow, exclude, now_ms) -> UpstreamId | None:
        """Return a random upstream."""
        return self._random.choice(self._names)

    def report_load(self, upstream, load, now_ms) -> None:
        """Ignore the report."""

    def observe(self, upstream, outcome, latency_ms, now_ms) -> None:
        """Ignore the outcome."""


class RoundRobin(RandomChoice):
    """Baseline: the upstreams in turn, starting with the second of the pool."""

    def choose(self, flow, exclude, now_ms) -> UpstreamId | None:
        """Return the next upstream in turn."""
        self._names.append(self._names.pop(0))
        return self._names[0]


@dataclass(frozen=True)
class PoolCase:
    """Pool, load and faults of a selection run."""

    upstreams: int
    slots: int
    choosers: int = 9
    flows_per_upstream: int = 2000
    fill_ms: float = 20_000
    horizon_ms: float = 120_000
    lifetime_ms: float = 60_000
    # Start of the busy-time measurement: two thirds of a lifetime after the fill.
    settled_ms: float = 60_000
    # Index of the upstream whose requests run slow_factor times longer.
    slow_upstream: int | None = None
    slow_factor: float = 3
    # Index of the upstream whose path takes 3 ms instead of 1 ms.
    distant_upstream: int | None = None
    # Index of the upstream that loses all its flows and returns at restart_ms.
    restarted_upstream: int | None = None
    restart_ms: float = 60_000
    # Mean share of the slots that flows_per_upstream flows use on a normal upstream.
    base_utilisation: float = 0.3
    is_report_honest: bool = True


@dataclass
class PoolResult:
    """Open flows sampled each second, busy time per upstream, and all choices."""

    samples: list[tuple[float, list[int]]] = field(default_factory=list)
    busy_s: list[float] = field(default_factory=list)
    choices: list[tuple[float, int]] = field(default_factory=list)


def run_pool(
    case: PoolCase, make_chooser: Callable[[int], Chooser], random: Random
) -> PoolResult:
    """
    Simulate independent choosers that place flows on one pool.

    Each chooser receives a load report of each upstream every 0.5 to 1 s. A report
    is 0.5 to 3 s old on arrival.
    """
    count = case.upstreams
    target_flow_count = case.flows_per_upstream * count
    choosers = [make_chooser(index) for index in range(case.choosers)]
    flows = [0] * count
    upstream_loads = [0.0] * count
    incarnations = [0] * count
    result = PoolResult(busy_s=[0.0] * count)
    index_by_name = {UpstreamId(f'u{index}'): index for index in range(count)}
    mean_flow_load = case.base_utilisation * case.slots / case.flows_per_upstream
    events: list[tuple[float, int, str, tuple]] = []

    def push(time_ms: float, kind: str, *values) -> None:
        heapq.heappush(events, (time_ms, next(_serial), kind, values))

    def utilisation(index: int) -> float:
        factor = case.slow_factor if index == case.slow_upstream else 1
        return upstream_loads[index] * factor / case.slots

    def draw_load(index: int) -> Load:
        busy_share = utilisation(index)
        running = sum(random.random() < busy_share for _ in range(case.slots))
        is_waiting = running == case.slots
        queued = min(
            200, int(random.expovariate(max(0.005, 1 - busy_share)) * is_waiting)
        )
        return Load(flows[index], queued, running, case.slots, True)

    def expected_latency_ms(index: int) -> float:
        factor = case.slow_factor if index == case.slow_upstream else 1
        path_ms = 3 if index == case.distant_upstream else 1
        return path_ms + factor / max(0.05, 1 - utilisation(index))

    fill_times_ms = poisson_times(
        random, lambda _now: 1, target_flow_count / case.fill_ms, case.fill_ms * 1.0
    )
    for time_ms in fill_times_ms:
        push(time_ms, 'open')
    steady_rate_per_ms = target_flow_count / case.lifetime_ms
    for time_ms in poisson_times(
        random, lambda _now: steady_rate_per_ms, steady_rate_per_ms, case.horizon_ms
    ):
        if time_ms > case.fill_ms:
            push(time_ms, 'open')
    for chooser in range(case.choosers):
        for index in range(count):
            push(random.uniform(0, 1000), 'measure', chooser, index)
    for time_ms in range(1000, int(case.horizon_ms), 1000):
        push(time_ms, 'sample')
    if case.restarted_upstream is not None:
        push(case.restart_ms, 'restart', case.restarted_upstream)
    while events:
        now_ms, _serial_number, kind, values = heapq.heappop(events)
        if now_ms > case.horizon_ms:
            break
        if kind == 'open':
            flow = FlowId(random.randbytes(16))
            chooser = random.randrange(case.choosers)
            name = choosers[chooser].choose(flow, frozenset(), now_ms)
            index = index_by_name[name]
            result.choices.append((now_ms, index))
            flow_load = random.lognormvariate(-0.5, 1) * mean_flow_load
            flows[index] += 1
            upstream_loads[index] += flow_load
            lifetime_ms = random.expovariate(1 / case.lifetime_ms)
            if now_ms < case.fill_ms:
                lifetime_ms += case.fill_ms - now_ms
            push(now_ms + lifetime_ms, 'close', index, flow_load, incarnations[index])
            push(
                now_ms + expected_latency_ms(index),
                'outcome',
                chooser,
                name,
                now_ms,
                expected_latency_ms(index),
            )
        elif kind == 'close' and incarnations[values[0]] == values[2]:
            flows[values[0]] -= 1
            upstream_loads[values[0]] -= values[1]
        elif kind == 'outcome':
            choosers[values[0]].observe(values[1], Outcome.DONE, values[3], now_ms)
        elif kind == 'measure':
            chooser, index = values
            delay_ms = random.uniform(500, 3000)
            push(now_ms + delay_ms, 'report', chooser, index, draw_load(index))
            push(now_ms + random.uniform(500, 1000), 'measure', chooser, index)
        elif kind == 'report':
            chooser, index, load = values
            choosers[chooser].report_load(UpstreamId(f'u{index}'), load, now_ms)
        elif kind == 'restart':
            index = values[0]
            # The clients of the lost flows open them again within a second.
            for _ in range(flows[index]):
                push(now_ms + random.uniform(0, 1000), 'open')
            flows[index], upstream_loads[index] = 0, 0.0
            incarnations[index] += 1
            for chooser in choosers:
                restart(chooser, index, case, now_ms)
        elif kind == 'sample':
            result.samples.append((now_ms, list(flows)))
            for index in range(count):
                busy_s = min(1, utilisation(index)) if now_ms > case.settled_ms else 0
                result.busy_s[index] += busy_s
    return result


def restart(chooser: Chooser, index: int, case: PoolCase, now_ms: float) -> None:
    """Remove an upstream from a ``Selection`` and add it again; skip baselines."""
    if isinstance(chooser, Selection):
        pool = make_upstream_rows(case.upstreams, case.slots)
        others = tuple(row for row in pool if row.name != f'u{index}')
        chooser.set_upstreams(others, now_ms)
        chooser.set_upstreams(pool, now_ms)


class PathQualityChoice(Selection):
    """
    Alternative: the score grows with smoothed response time and failure share.

    Based on the path metric of Stanciu, Andreica, Olaru, Tapus, "Design and
    Development of a UDP-Based Connection-Oriented Multi-Stream One-to-Many
    Communication Protocol".
    """

    EXPONENT = 0.9

    def _score(self, item, now_ms: float) -> float:
        base = super()._score(item, now_ms)
        if not item.has_observations() or not self._typical_latency_ms:
            return base
        relative = item.latency_ms / self._typical_latency_ms
        return base * relative**self.EXPONENT * (1 + item.failure_share)


def make_selection_factory(
    case: PoolCase,
    candidates: int = selection.CANDIDATES,
    policy: type[Selection] = Selection,
) -> Callable[[int], Selection]:
    """Return a factory of production selections over the pool of a case."""

    def make(_index: int) -> Selection:
        new_selection = policy(SELECTION_OPTIONS, candidates)
        new_selection.set_upstreams(make_upstream_rows(case.upstreams, case.slots), 0)
        return new_selection

    return make
