"""Benchmark the request queue and the selection of upstreams on a simulated clock.

``python -m tools.bench_policy`` prints a table and writes ``build/policy.json``.
With ``--plot`` it also draws ``build/policy.png``.
"""

import json
import math
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

from cardamomtiller.entrance.selection import CANDIDATES, Load
from cardamomtiller.identity import FlowId, Outcome, ServiceClass
from cardamomtiller.queueing.scheduler import Scheduler
from tools.policy_simulation import (
    QUEUE_OPTIONS,
    Chooser,
    FifoQueue,
    Job,
    PathQualityChoice,
    PoolCase,
    Queue,
    RandomChoice,
    RoundRobin,
    Upstream,
    make_selection_factory,
    make_upstream_rows,
    poisson_times,
    run_pool,
    scheduler_queue,
)

BUILD = Path(__file__).resolve().parent.parent / 'build'
SEED = 20
# Upstreams and slots per upstream of each service pool in both deployments.
POOLS = {
    'vuniwai orderdesk': (7, 2),
    'vuniwai patternhouse': (4, 2),
    'saomai counter-desk': (7, 3),
    'saomai scan-intake': (3, 3),
}
MEAN_SHORT_RUN_MS = 20
MEAN_BULK_RUN_MS = 1000
URGENT_TIMEOUT_MS = 500
NORMAL_TIMEOUT_MS = 2000
BULK_TIMEOUT_MS = 60_000
QUEUES: dict[str, Callable[[int], Queue]] = {
    'cardamomtiller': scheduler_queue,
    'fifo': FifoQueue,
}


def draw_short_run_ms(random: Random) -> float:
    """Draw the running time of a short request."""
    return random.expovariate(1 / MEAN_SHORT_RUN_MS)


def make_job(
    random: Random, arrival_ms: float, customer: str, urgent_share: float = 0.2
) -> Job:
    """Return a short request that is urgent with probability ``urgent_share``."""
    is_urgent = random.random() < urgent_share
    return Job(
        arrival_ms=arrival_ms,
        run_ms=draw_short_run_ms(random),
        customer=customer,
        service_class=ServiceClass.URGENT if is_urgent else ServiceClass.NORMAL,
        timeout_ms=URGENT_TIMEOUT_MS if is_urgent else NORMAL_TIMEOUT_MS,
    )


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile by nearest rank, 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def max_over_mean(values: Iterable[float]) -> float:
    """Return the largest value divided by the mean, infinite if the mean is 0."""
    samples = list(values)
    mean = sum(samples) / len(samples)
    return max(samples) / mean if mean else math.inf


def jain_index(values: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal."""
    samples = list(values)
    squares = sum(value**2 for value in samples) * len(samples)
    return sum(samples) ** 2 / squares if squares else 0


def max_min_allocation(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair share of a capacity for each demand."""
    remaining = capacity
    shares: dict[str, float] = {}
    unallocated = sorted(demands, key=lambda name: demands[name])
    while unallocated:
        name = unallocated.pop(0)
        shares[name] = min(demands[name], remaining / (len(unallocated) + 1))
        remaining -= shares[name]
    return shares


# Demand swing --------------------------------------------------------------

SWING_START_MS = 10_000
SWING_RAMP_MS = 2000
SWING_END_MS = 30_000
SWING_HORIZON_MS = 40_000
SWING_BASE_LOAD = 0.3
SWING_FACTOR = 8
CUSTOMER_COUNT = 10
STEADY_CUSTOMER_COUNT = 4
# Share of the slots at the peak: 0.9 of a plan that covers a tenth of the slots.
STEADY_SHARE = 0.09


def swing_rate(time_ms: float, low_rate: float, high_rate: float) -> float:
    """Return the rate: a linear rise in the ramp and a step down at the end."""
    if not SWING_START_MS <= time_ms < SWING_END_MS:
        return low_rate
    ramp_share = min(1, (time_ms - SWING_START_MS) / SWING_RAMP_MS)
    return low_rate + (high_rate - low_rate) * ramp_share


def make_swing_jobs(random: Random, slots: int) -> list[Job]:
    """Return requests of 10 customers; at the peak, 6 of them exceed their plan."""
    jobs: list[Job] = []
    steady_total = STEADY_CUSTOMER_COUNT * STEADY_SHARE
    bursting_count = CUSTOMER_COUNT - STEADY_CUSTOMER_COUNT
    arrivals_per_ms = slots / MEAN_SHORT_RUN_MS
    for index in range(CUSTOMER_COUNT):
        high_load = STEADY_SHARE
        if index >= STEADY_CUSTOMER_COUNT:
            high_load = (SWING_BASE_LOAD * SWING_FACTOR - steady_total) / bursting_count
        low_load = high_load / SWING_FACTOR
        times = poisson_times(
            random,
            lambda now, low_load=low_load, high_load=high_load: (
                swing_rate(now, low_load, high_load) * arrivals_per_ms
            ),
            high_load * arrivals_per_ms,
            SWING_HORIZON_MS,
        )
        jobs += [make_job(random, arrival_ms, f'c{index}') for arrival_ms in times]
    return jobs


def run_swing(
    make_queue: Callable[[int], Queue],
    upstreams: int,
    slots: int,
) -> dict[str, float]:
    """Return goodput and fairness at the peak of the demand swing."""
    arrived: list[Job] = []
    for index in range(upstreams):
        jobs = make_swing_jobs(Random(SEED + index), slots)
        arrived += Upstream(make_queue(slots), jobs, SWING_HORIZON_MS * 10).run()
    peak_start_ms = SWING_START_MS + SWING_RAMP_MS
    capacity = upstreams * slots * (SWING_END_MS - peak_start_ms)
    in_time = [
        job
        for job in arrived
        if job.is_in_time() and peak_start_ms <= job.end_ms < SWING_END_MS
    ]
    # Deadlines are checked from the start of the ramp, goodput only after it.
    peak_jobs = [
        job for job in arrived if SWING_START_MS <= job.arrival_ms < SWING_END_MS
    ]
    urgent_jobs = [job for job in peak_jobs if job.service_class is ServiceClass.URGENT]
    customers = [f'c{index}' for index in range(CUSTOMER_COUNT)]
    served_ms = {
        name: sum(job.run_ms for job in in_time if job.customer == name)
        for name in customers
    }
    demand_ms = {
        name: sum(
            job.run_ms
            for job in arrived
            if job.customer == name and peak_start_ms <= job.arrival_ms < SWING_END_MS
        )
        for name in customers
    }
    fair_ms = max_min_allocation(demand_ms, capacity)
    steady_ratios = [
        share_in_time([job for job in peak_jobs if job.customer == name])
        for name in customers[:STEADY_CUSTOMER_COUNT]
    ]
    return {
        'goodput': sum(job.run_ms for job in in_time) / capacity,
        'urgent in deadline': share_in_time(urgent_jobs),
        'worst customer in plan': min(steady_ratios),
        'Jain index': jain_index(served_ms[name] / fair_ms[name] for name in customers),
    }


def share_in_time(jobs: list[Job]) -> float:
    """Return the share of requests that finished before their deadline."""
    return sum(job.is_in_time() for job in jobs) / len(jobs) if jobs else 1


# Head-of-line blocking -----------------------------------------------------

BLOCKING_HORIZON_MS = 100_000
# Load of short work: at the first value bulk work uses idle slots, at the second
# it is limited to its guaranteed share.
BLOCKING_UTILISATIONS = (0.15, 0.25)
# A short request may arrive just after the slot reserved for short work was taken.
# It then waits for that run, whose 99th percentile is ln(100) times the mean.
RESIDUAL_SLOT_TIME_MS = MEAN_SHORT_RUN_MS * math.log(100)
OUTSTANDING_BULK_JOBS = 4


def run_blocking(
    make_queue: Callable[[int], Queue],
    upstreams: int,
    slots: int,
    utilisation: float,
    has_bulk: bool,
) -> dict[str, float]:
    """Return waiting times of short work, with or without a backlog of bulk work."""
    arrived: list[Job] = []
    arrivals_per_ms = utilisation * slots / MEAN_SHORT_RUN_MS
    for index in range(upstreams):
        random = Random(SEED + index)
        jobs = [
            make_job(random, arrival_ms, f'c{number % CUSTOMER_COUNT}')
            for number, arrival_ms in enumerate(
                poisson_times(
                    random,
                    lambda _now: arrivals_per_ms,
                    arrivals_per_ms,
                    BLOCKING_HORIZON_MS,
                )
            )
        ]
        for job in jobs:
            job.timeout_ms = BULK_TIMEOUT_MS

        def next_bulk_job(
            job: Job, now_ms: float, random: Random = random
        ) -> Job | None:
            if job.service_class is not ServiceClass.BULK:
                return None
            delay_ms = 0 if job.status == 'done' else 500
            return make_bulk_job(random, now_ms + delay_ms)

        if has_bulk:
            jobs += [make_bulk_job(random, 0) for _ in range(OUTSTANDING_BULK_JOBS)]
        arrived += Upstream(
            make_queue(slots), jobs, BLOCKING_HORIZON_MS, next_bulk_job
        ).run()
    short_jobs = [job for job in arrived if job.service_class is not ServiceClass.BULK]
    urgent_jobs = [
        job for job in short_jobs if job.service_class is ServiceClass.URGENT
    ]
    started = [job for job in short_jobs if job.start_ms < math.inf]
    finished_bulk = [
        job
        for job in arrived
        if job.service_class is ServiceClass.BULK and job.status == 'done'
    ]
    slot_time_ms = upstreams * slots * BLOCKING_HORIZON_MS
    return {
        'urgent p99 ms': percentile(
            (job.wait_ms() for job in urgent_jobs if job.start_ms < math.inf), 0.99
        ),
        'short p99 ms': percentile((job.wait_ms() for job in started), 0.99),
        'bulk share of slots': sum(job.run_ms for job in finished_bulk) / slot_time_ms,
        'short started': len(started) / len(short_jobs),
    }


def make_bulk_job(random: Random, now_ms: float) -> Job:
    """Return a request for a bulk upload."""
    return Job(
        arrival_ms=now_ms,
        run_ms=random.uniform(0.5, 1.5) * MEAN_BULK_RUN_MS,
        customer=f'c{random.randrange(CUSTOMER_COUNT)}',
        service_class=ServiceClass.BULK,
        timeout_ms=BULK_TIMEOUT_MS,
        size_bytes=1_000_000,
    )


# Goodput far above capacity ------------------------------------------------

OVERLOAD_FACTOR = 10
OVERLOAD_HORIZON_MS = 20_000
OVERLOAD_WARM_UP_MS = 4000


def run_overload(
    make_queue: Callable[[int], Queue],
    upstreams: int,
    slots: int,
) -> dict[str, float]:
    """Return goodput as a share of slot time when demand is ten times capacity."""
    useful_ms = 0.0
    arrivals_per_ms = OVERLOAD_FACTOR * slots / MEAN_SHORT_RUN_MS
    for index in range(upstreams):
        random = Random(SEED + index)
        times = poisson_times(
            random, lambda _now: arrivals_per_ms, arrivals_per_ms, OVERLOAD_HORIZON_MS
        )
        jobs = [
            make_job(random, arrival_ms, f'c{number % CUSTOMER_COUNT}')
            for number, arrival_ms in enumerate(times)
        ]
        arrived = Upstream(make_queue(slots), jobs, OVERLOAD_HORIZON_MS).run()
        useful_ms += sum(
            job.run_ms
            for job in arrived
            if job.is_in_time() and job.end_ms >= OVERLOAD_WARM_UP_MS
        )
    duration_ms = OVERLOAD_HORIZON_MS - OVERLOAD_WARM_UP_MS
    return {'goodput': useful_ms / (upstreams * slots * duration_ms)}


# Urgent work under saturating normal work ----------------------------------

URGENT_LOADS = (0.5, 0.7, 0.9)
URGENT_HORIZON_MS = 30_000


def run_urgent(
    make_queue: Callable[[int], Queue],
    upstreams: int,
    slots: int,
    urgent_load: float,
    normal_load: float,
) -> dict[str, float]:
    """Return the share of urgent requests in time beside the given normal load."""
    arrived: list[Job] = []
    total_load = urgent_load + normal_load
    arrivals_per_ms = total_load * slots / MEAN_SHORT_RUN_MS
    for index in range(upstreams):
        random = Random(SEED + index)
        times = poisson_times(
            random, lambda _now: arrivals_per_ms, arrivals_per_ms, URGENT_HORIZON_MS
        )
        jobs = [
            make_job(
                random,
                arrival_ms,
                f'c{number % CUSTOMER_COUNT}',
                urgent_load / total_load,
            )
            for number, arrival_ms in enumerate(times)
        ]
        arrived += Upstream(make_queue(slots), jobs, URGENT_HORIZON_MS).run()
    urgent_jobs = [
        job
        for job in arrived
        if job.service_class is ServiceClass.URGENT
        and job.arrival_ms < URGENT_HORIZON_MS - NORMAL_TIMEOUT_MS
    ]
    return {'urgent in deadline': share_in_time(urgent_jobs)}


# Selection of upstreams ----------------------------------------------------

FLOWS_RATIO_TARGET = 1.10
BUSY_RATIO_TARGET = 1.15
POOL_CASES: dict[str, dict[str, float]] = {
    'even': {},
    'one 2 times slower': {'slow_upstream': 2, 'slow_factor': 2},
    'one 3 times slower': {'slow_upstream': 2, 'slow_factor': 3},
    'one returns cold': {'restarted_upstream': 2},
    'one behind a 3 ms path': {'distant_upstream': 2},
}
CHOICES = ('cardamomtiller', 'random', 'round robin')
# Measured on ALTERNATIVES_POOL only.
ALTERNATIVES = ('three choices', 'all choices', 'path quality')
ALTERNATIVES_POOL = 'vuniwai orderdesk'


def make_choice(name: str, case: PoolCase) -> Callable[[int], Chooser]:
    """Return a factory of choosers for the policy of this name."""
    pool = make_upstream_rows(case.upstreams, case.slots)
    if name == 'random':
        return lambda index: RandomChoice(pool, Random(index))
    if name == 'round robin':
        return lambda index: RoundRobin(pool, Random(index))
    if name == 'path quality':
        return make_selection_factory(case, policy=PathQualityChoice)
    counts = {'three choices': 3, 'all choices': case.upstreams}
    return make_selection_factory(case, counts.get(name, CANDIDATES))


def min_flows_ratio(upstreams: int, slow_factor: float) -> float:
    """
    Return the lower bound of max/mean of open flows for any policy.

    One of the ``n`` upstreams runs every request ``k = slow_factor`` times longer,
    and max/mean of the busy time equals its target. If the slow upstream has
    ``share`` times the open flows of each other upstream, its busy time divided by
    the mean is ``n k share / (n - 1 + k share)``.
    """
    others = upstreams - 1
    share = BUSY_RATIO_TARGET * others / (slow_factor * (upstreams - BUSY_RATIO_TARGET))
    return max(1, upstreams / (others + min(1, share)))


def run_choice(name: str, case: PoolCase) -> dict[str, float]:
    """Return the imbalance of flows and busy time after the fill of the pool."""
    result = run_pool(case, make_choice(name, case), Random(SEED))
    settled_samples = [
        (time_ms, max_over_mean(flows))
        for time_ms, flows in result.samples
        if time_ms > case.settled_ms
    ]
    ratios = [ratio for _time_ms, ratio in settled_samples]
    exceeding_ms = [
        time_ms for time_ms, ratio in settled_samples if ratio > FLOWS_RATIO_TARGET
    ]
    figures = {
        'flows max/mean, mean': sum(ratios) / len(ratios),
        'flows max/mean, worst': max(ratios),
        'flows max/mean, end': ratios[-1],
        'seconds above 1.10': len(exceeding_ms),
        'busy max/mean': max_over_mean(result.busy_s),
    }
    if case.slow_upstream is not None:
        min_ratio = min_flows_ratio(case.upstreams, case.slow_factor)
        figures['flows max/mean, smallest possible'] = min_ratio
    return figures


# CPU -----------------------------------------------------------------------

CPU_ROUNDS = 3000
CPU_QUEUE_LENGTHS = (10, 1000, 10_000)


def queue_cpu_us(length: int, customers: int = 100) -> float:
    """Return the CPU time of queueing one request behind ``length`` others."""
    options = replace(QUEUE_OPTIONS, longest_wait_ms=1e9)
    queue = Scheduler(options, 2, 0)
    random = Random(SEED)

    def job(index: int, now_ms: float) -> Job:
        new_job = make_job(random, now_ms, f'c{index % customers}')
        new_job.timeout_ms = 1e9
        return new_job

    for index in range(length):
        queue.submit(job(index, 0).as_work(), 0)
    works = [job(index, 1).as_work() for index in range(CPU_ROUNDS)]
    begin_s = time.process_time()
    for index, work in enumerate(works):
        now_ms = 1.0 + index
        queue.submit(work, now_ms)
        for _expired in queue.expire(now_ms):
            raise AssertionError('work expired in the CPU measurement')
        for started in list(queue.start(now_ms)):
            queue.finish(started.request, Outcome.DONE, now_ms + 0.5)
        queue.next_event_ms(now_ms)
    return (time.process_time() - begin_s) / CPU_ROUNDS * 1e6


def choice_cpu_us(upstreams: int) -> float:
    """Return the CPU time of one selection from a pool of ``upstreams``."""
    case = PoolCase(upstreams, 2)
    chooser = make_selection_factory(case)(0)
    load = Load(2000, 1, 1, 2, is_healthy=True)
    for row in make_upstream_rows(upstreams, 2):
        chooser.report_load(row.name, load, 0)
    random = Random(SEED)
    flows = [FlowId(random.randbytes(16)) for _ in range(CPU_ROUNDS)]
    begin_s = time.process_time()
    for index, flow in enumerate(flows):
        chooser.choose(flow, frozenset(), float(index))
    return (time.process_time() - begin_s) / CPU_ROUNDS * 1e6


# Report --------------------------------------------------------------------


def run(workers: int = 2) -> dict[str, Any]:
    """Return all results, nested by part, pool, policy and figure."""
    report: dict[str, Any] = {
        'note': 'production decision code on a simulated clock; clients, upstreams '
        'and report delays are simulated',
        'seed': SEED,
        'swing': {},
        'blocking': {},
        'overload': {},
        'urgent': {},
        'choice': {},
    }
    measurements = tuple(list_measurements())
    with ProcessPoolExecutor(workers) as executor:
        results = executor.map(measure, measurements)
        for (part, title, name, *_call), figures in zip(
            measurements, results, strict=True
        ):
            report[part].setdefault(title, {})[name] = figures
    for figures in report['blocking'].values():
        alone = figures['cardamomtiller, without bulk']
        figures['bound'] = {
            name: 1.25 * alone[name] + RESIDUAL_SLOT_TIME_MS
            for name in ('urgent p99 ms', 'short p99 ms')
        }
    report['cpu'] = {
        'request through the queue, microseconds': {
            f'{length} queued': queue_cpu_us(length) for length in CPU_QUEUE_LENGTHS
        },
        'choice, microseconds': {
            f'{count} upstreams': choice_cpu_us(count) for count in (7, 3500)
        },
    }
    report['targets'] = list(check_targets(report))
    return report


Measurement = tuple[str, str, str, Callable[..., dict[str, float]], tuple[Any, ...]]


def list_measurements() -> Iterator[Measurement]:
    """Yield part, title, policy, function and arguments of each run."""
    for pool, (upstreams, slots) in POOLS.items():
        for name, make_queue in QUEUES.items():
            queue_arguments = (make_queue, upstreams, slots)
            yield 'swing', pool, name, run_swing, queue_arguments
            yield 'overload', pool, name, run_overload, queue_arguments
            for load in URGENT_LOADS:
                title = f'{pool}, urgent load {load}'
                for label, normal_load in (('', 2), (', urgent alone', 0)):
                    arguments = (*queue_arguments, load, normal_load)
                    yield 'urgent', title, f'{name}{label}', run_urgent, arguments
            for load, has_bulk in product(BLOCKING_UTILISATIONS, (False, True)):
                title = f'{pool}, short load {load}'
                label = f'{name}, {"with" if has_bulk else "without"} bulk'
                yield (
                    'blocking',
                    title,
                    label,
                    run_blocking,
                    (*queue_arguments, load, has_bulk),
                )
        for case_name, changes in POOL_CASES.items():
            case = PoolCase(upstreams, slots, **changes)  # type: ignore[arg-type]
            has_alternatives = pool == ALTERNATIVES_POOL
            for name in CHOICES + ALTERNATIVES * has_alternatives:
                yield 'choice', f'{pool}, {case_name}', name, run_choice, (name, case)


def measure(measurement: Measurement) -> dict[str, float]:
    """Run one measurement in a worker process."""
    *_labels, function, values = measurement
    return function(*values)


def check_targets(report: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield each target with its measured value and whether it is met."""

    def make_target(
        name: str, measured: float, bound: float, *, is_floor: bool
    ) -> dict:
        is_met = measured >= bound if is_floor else measured <= bound
        return {'name': name, 'value': measured, 'target': bound, 'met': bool(is_met)}

    minimums = {
        'goodput': 0.95,
        'urgent in deadline': 0.99,
        'worst customer in plan': 0.95,
        'Jain index': 0.95,
    }
    for pool, figures in report['swing'].items():
        for name, bound in minimums.items():
            value = figures['cardamomtiller'][name]
            yield make_target(f'swing, {pool}: {name}', value, bound, is_floor=True)
    for pool, figures in report['overload'].items():
        value = figures['cardamomtiller']['goodput']
        yield make_target(f'overload, {pool}: goodput', value, 0.95, is_floor=True)
    for pool, figures in report['urgent'].items():
        value = figures['cardamomtiller']['urgent in deadline']
        yield make_target(f'urgent, {pool}: in deadline', value, 0.99, is_floor=True)
    for pool, figures in report['blocking'].items():
        own_figures = figures['cardamomtiller, with bulk']
        fifo = figures['fifo, with bulk']
        for name, bound in figures['bound'].items():
            title = f'blocking, {pool}: {name}'
            yield make_target(title, own_figures[name], bound, is_floor=False)
            improvement = fifo[name] / max(own_figures[name], 1e-9)
            yield make_target(f'{title}, times better', improvement, 10, is_floor=True)
    for title, figures in report['choice'].items():
        own_figures = figures['cardamomtiller']
        for name, bound in (
            ('flows max/mean, mean', FLOWS_RATIO_TARGET),
            ('busy max/mean', BUSY_RATIO_TARGET),
        ):
            yield make_target(
                f'choice, {title}: {name}', own_figures[name], bound, is_floor=False
            )


def print_report(report: dict[str, Any]) -> None:
    """Print the figures of each part, then the targets that are not met."""
    print(f'Policy figures ({report["note"]}; seed {report["seed"]})')
    for part in ('swing', 'blocking', 'overload', 'urgent', 'choice', 'cpu'):
        for title, figures in report[part].items():
            print(f'\n{part}: {title}')
            for name, values in figures.items():
                shown = values if isinstance(values, dict) else {'': values}
                texts = (f'{key} {value:.3f}'.strip() for key, value in shown.items())
                print(f'  {name:30} ' + '  '.join(texts))
    missed = [row for row in report['targets'] if not row['met']]
    print(f'\n{len(report["targets"]) - len(missed)} targets met')
    for row in missed:
        print(f'MISSED {row["name"]}: {row["value"]:.3f}, target {row["target"]:.3f}')


def plot(report: dict[str, Any], path: Path) -> None:
    """Draw waiting times, goodput and imbalance next to the baselines."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(15, 9), layout='constrained')
    axes = axes.flatten()
    pools = list(POOLS)
    positions = range(len(pools))
    for offset, name in enumerate(QUEUES):
        bar_positions = [position + 0.35 * offset for position in positions]
        waits = [
            report['blocking'][f'{pool}, short load {BLOCKING_UTILISATIONS[-1]}'][
                f'{name}, with bulk'
            ]['short p99 ms']
            for pool in pools
        ]
        axes[0].bar(bar_positions, waits, 0.35, label=name)
        goodput = [report['swing'][pool][name]['goodput'] for pool in pools]
        axes[1].bar(bar_positions, goodput, 0.35, label=name)
    axes[0].set_yscale('log')
    axes[0].set_title('p99 wait of short work beside bulk work (ms)')
    axes[1].axhline(0.95, linestyle='--', color='grey')
    axes[1].set_title('goodput at the peak of an 8-fold swing')
    cases = list(POOL_CASES)
    figures = {
        'flows max/mean, mean': ('open flows max/mean', FLOWS_RATIO_TARGET),
        'busy max/mean': ('busy time max/mean', BUSY_RATIO_TARGET),
    }
    for axis, (key, (title, bound)) in zip(axes[2:], figures.items(), strict=True):
        for offset, name in enumerate(CHOICES):
            values = [
                report['choice'][f'{pools[0]}, {case}'][name][key] for case in cases
            ]
            bar_positions = [position + 0.2 * offset for position in range(len(cases))]
            axis.bar(bar_positions, values, 0.2, label=name)
        axis.axhline(bound, linestyle='--', color='grey')
        axis.set_ylim(1, None)
        axis.set_title(f'{title}, {pools[0]}')
    for axis, names in zip(axes, (pools, pools, cases, cases), strict=True):
        axis.set_xticks([position + 0.2 for position in range(len(names))])
        axis.set_xticklabels(names, rotation=15, fontsize=8)
        axis.legend(fontsize=8)
    figure.suptitle('Production decision code on a simulated clock')
    figure.savefig(path, dpi=110)


def main() -> None:
    """Run all measurements, print the report and write it to ``build``."""
    report = run()
    print_report(report)
    BUILD.mkdir(exist_ok=True)
    (BUILD / 'policy.json').write_text(json.dumps(report, indent=1))
    if '--plot' in sys.argv[1:]:
        plot(report, BUILD / 'policy.png')


if __name__ == '__main__':
    main()
