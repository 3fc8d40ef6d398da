"""Measure the queue and the choice of upstreams with a simulated clock.

``python -m tools.bench_policy`` prints a table and writes build/policy.json.
"""

import json
import math
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from random import Random

from cardamomtiller.identity import Outcome, ServiceClass
from tools.policy_simulation import (
    FifoQueue,
    Job,
    PoolCase,
    Queue,
    RandomChoice,
    RoundRobin,
    Upstream,
    poisson_times,
    real_choice,
    rows,
    run_pool,
    scheduler_queue,
)

BUILD = Path(__file__).resolve().parent.parent / 'build'
SEED = 20
# Pools of both deployments: upstreams and slots of each.
POOLS = {
    'vuniwai orderdesk': (7, 2),
    'vuniwai patternhouse': (4, 2),
    'saomai counter-desk': (7, 3),
    'saomai scan-intake': (3, 3),
}
SHORT_MS = 20
LONG_MS = 1000
URGENT_TIMEOUT_MS = 500
NORMAL_TIMEOUT_MS = 2000
BULK_TIMEOUT_MS = 60_000
QUEUES: dict[str, Callable[[int], Queue]] = {
    'cardamomtiller': scheduler_queue,
    'fifo': FifoQueue,
}


def short_run_ms(random: Random) -> float:
    """Return a running time of short work."""
    return random.expovariate(1 / SHORT_MS)


def make_job(
    random: Random, time_ms: float, customer: str, urgent_share: float = 0.2
) -> Job:
    """Return one short request."""
    is_urgent = random.random() < urgent_share
    return Job(
        arrival_ms=time_ms,
        run_ms=short_run_ms(random),
        customer=customer,
        service_class=ServiceClass.URGENT if is_urgent else ServiceClass.NORMAL,
        timeout_ms=URGENT_TIMEOUT_MS if is_urgent else NORMAL_TIMEOUT_MS,
    )


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def ratio_max_mean(values: Iterable[float]) -> float:
    """Return the largest value over the mean."""
    listed = list(values)
    mean = sum(listed) / len(listed)
    return max(listed) / mean if mean else math.inf


def jain(values: Iterable[float]) -> float:
    """Return Jain's fairness index."""
    listed = list(values)
    squares = sum(value**2 for value in listed) * len(listed)
    return sum(listed) ** 2 / squares if squares else 0


def max_min(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair allocation of a capacity."""
    left = capacity
    shares: dict[str, float] = {}
    waiting = sorted(demands, key=lambda name: demands[name])
    while waiting:
        name = waiting.pop(0)
        shares[name] = min(demands[name], left / (len(waiting) + 1))
        left -= shares[name]
    return shares


# Demand swing --------------------------------------------------------------

SWING_START_MS = 10_000
SWING_RAMP_MS = 2000
SWING_END_MS = 30_000
SWING_HORIZON_MS = 40_000
SWING_BASE = 0.3
SWING_FACTOR = 8
CUSTOMERS = 10
STEADY_CUSTOMERS = 4
# Steady customers use nine tenths of a plan of one tenth of the slots.
STEADY_SHARE = 0.09


def swing_rate(time_ms: float, low: float, high: float) -> float:
    """Return a rate that rises within the ramp and falls at the end."""
    if not SWING_START_MS <= time_ms < SWING_END_MS:
        return low
    risen = min(1, (time_ms - SWING_START_MS) / SWING_RAMP_MS)
    return low + (high - low) * risen


def swing_jobs(random: Random, slots: int) -> list[Job]:
    """Return the requests of ten customers, six of whom burst."""
    jobs: list[Job] = []
    steady_total = STEADY_CUSTOMERS * STEADY_SHARE
    bursting = CUSTOMERS - STEADY_CUSTOMERS
    for index in range(CUSTOMERS):
        high = STEADY_SHARE
        if index >= STEADY_CUSTOMERS:
            high = (SWING_BASE * SWING_FACTOR - steady_total) / bursting
        low = high / SWING_FACTOR
        per_ms = slots / SHORT_MS
        times = poisson_times(
            random,
            lambda now, low=low, high=high: swing_rate(now, low, high) * per_ms,
            high * per_ms,
            SWING_HORIZON_MS,
        )
        jobs += [make_job(random, at, f'c{index}') for at in times]
    return jobs


def run_swing(
    make: Callable[[int], Queue],
    upstreams: int,
    slots: int,
    *,
    factor: float = 1,
) -> dict[str, float]:
    """Return the figures of the peak of the swing."""
    done: list[Job] = []
    for index in range(upstreams):
        jobs = swing_jobs(Random(SEED + index), slots)
        done += Upstream(make(slots), jobs, SWING_HORIZON_MS * 10).run()
    begin = SWING_START_MS + SWING_RAMP_MS
    capacity = upstreams * slots * (SWING_END_MS - begin)
    useful = [
        job for job in done if job.is_in_time() and begin <= job.end_ms < SWING_END_MS
    ]
    peak = [job for job in done if begin <= job.arrival_ms < SWING_END_MS - 2000]
    urgent = [job for job in peak if job.service_class is ServiceClass.URGENT]
    names = [f'c{index}' for index in range(CUSTOMERS)]
    served = {
        name: sum(job.run_ms for job in useful if job.customer == name)
        for name in names
    }
    demand = {
        name: sum(
            job.run_ms
            for job in done
            if job.customer == name and begin <= job.arrival_ms < SWING_END_MS
        )
        for name in names
    }
    fair = max_min(demand, capacity)
    steady = [
        ratio_in_time([job for job in peak if job.customer == name])
        for name in names[:STEADY_CUSTOMERS]
    ]
    return {
        'goodput': sum(job.run_ms for job in useful) / capacity,
        'urgent in deadline': ratio_in_time(urgent),
        'worst customer in plan': min(steady),
        'Jain index': jain(served[name] / fair[name] for name in names),
    }


def ratio_in_time(jobs: list[Job]) -> float:
    """Return the share of requests that were answered in time."""
    return sum(job.is_in_time() for job in jobs) / len(jobs) if jobs else 1


# Head-of-line blocking -----------------------------------------------------

BLOCKING_HORIZON_MS = 200_000
BULK_OUTSTANDING = 4


def run_blocking(
    make: Callable[[int], Queue],
    upstreams: int,
    slots: int,
    utilisation: float,
    *,
    has_bulk: bool,
) -> dict[str, float]:
    """Return waits of short work beside bulk work that never runs out."""
    done: list[Job] = []
    for index in range(upstreams):
        random = Random(SEED + index)
        per_ms = utilisation * slots / SHORT_MS
        jobs = [
            make_job(random, at, f'c{number % CUSTOMERS}')
            for number, at in enumerate(
                poisson_times(random, lambda _now: per_ms, per_ms, BLOCKING_HORIZON_MS)
            )
        ]
        for job in jobs:
            job.timeout_ms = BULK_TIMEOUT_MS

        def follow(job: Job, now_ms: float, random: Random = random) -> Job | None:
            if job.service_class is not ServiceClass.BULK:
                return None
            delay_ms = 0 if job.fate == 'done' else 500
            return bulk_job(random, now_ms + delay_ms)

        if has_bulk:
            jobs += [bulk_job(random, 0) for _ in range(BULK_OUTSTANDING)]
        done += Upstream(make(slots), jobs, BLOCKING_HORIZON_MS, follow).run()
    short = [job for job in done if job.service_class is not ServiceClass.BULK]
    urgent = [job for job in short if job.service_class is ServiceClass.URGENT]
    started = [job for job in short if job.start_ms < math.inf]
    bulk = [
        job
        for job in done
        if job.service_class is ServiceClass.BULK and job.fate == 'done'
    ]
    total = upstreams * slots * BLOCKING_HORIZON_MS
    return {
        'urgent p99 ms': quantile(
            (job.wait_ms() for job in urgent if job.start_ms < math.inf), 0.99
        ),
        'short p99 ms': quantile((job.wait_ms() for job in started), 0.99),
        'bulk share of slots': sum(job.run_ms for job in bulk) / total,
        'short started': len(started) / len(short),
    }


def bulk_job(random: Random, now_ms: float) -> Job:
    """Return one bulk upload."""
    return Job(
        arrival_ms=now_ms,
        run_ms=random.uniform(0.5, 1.5) * LONG_MS,
        customer=f'c{random.randrange(CUSTOMERS)}',
        service_class=ServiceClass.BULK,
        timeout_ms=BULK_TIMEOUT_MS,
        size_bytes=1_000_000,
    )
