"""Benchmark lease-based limits: production decision code on a simulated clock."""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable

from returns.result import Success

from cardamomtiller.accounts.admission import Admission
from cardamomtiller.accounts.allowance import Allowance
from cardamomtiller.identity import CustomerId
from tools.lease_fleet import Fleet, SimulatedInstance

# Pairs of instances and failure domains; 8 failure domains are 2 regions of 4.
FLEETS = ((9, 8), (74, 8), (590, 8))
PLAN = Allowance(1000, 400, 2000, 10_000_000)
# Customers active on each instance; each of them is active on
# INSTANCES_PER_CUSTOMER instances.
ACTIVE_CUSTOMERS = 10
INSTANCES_PER_CUSTOMER = 5
RATE_SHARE = 0.5
CHANGED_DEMANDS_SHARE = 0.2
FAILED_SHARE = 0.1
STEP_MS = 20
WARM_UP_MS = 13_000
STEADY_LOAD_MS = 10_000
SWING_TIMEOUT_MS = 15_000
COST_DURATION_MS = 4000
HOT_PATH_ITERATIONS = 20_000
TARGET_SHARE = 0.95
CUSTOMER = CustomerId('c')


def run(fleets: tuple[tuple[int, int], ...] = FLEETS) -> dict:
    """Return the figures of each fleet size and their slopes per instance."""
    figures_by_count = {
        str(count): measure(count, domains) for count, domains in fleets
    }
    result = {
        'instances': figures_by_count,
        'admission': measure_hot_path(),
        'failover': {
            'domain_grantor': measure_failover(is_root=False),
            'root_grantor': measure_failover(is_root=True),
        },
    }
    counts = list(figures_by_count)
    if len(counts) > 1:
        first, last = counts[0], counts[-1]
        count_difference = int(last) - int(first)
        result['slopes_per_instance'] = {
            name: (figures_by_count[last][name] - figures_by_count[first][name])
            / count_difference
            for name in (
                'bytes_per_s_mean',
                'messages_per_s_mean',
                'cpu_share_mean',
                'cpu_share_busiest',
                'memory_bytes_mean',
                'reaction_ms',
            )
        }
    return result


def measure(count: int, domains: int) -> dict:
    """Return limit errors and costs of a fleet of ``count`` instances."""
    return {
        'failure_domains': domains,
        **measure_error(count, domains),
        **measure_cost(count, domains),
    }


def measure_error(count: int, domains: int) -> dict:
    """Measure overshoot, undershoot and reaction time of the limit of one customer."""
    fleet = Fleet(count, domains, seed=1, clock_error=0.001)
    fleet.configure_all({'c': PLAN})
    instances = list(fleet.instances.values())
    max_rate = [0.0]
    _run_fleet(fleet, WARM_UP_MS, lambda: None, max_rate)
    _run_fleet(fleet, 5000, lambda: _send_requests(fleet, instances[0]), max_rate)
    admitted = [0]

    def send_to_first() -> None:
        admitted[0] += _send_requests(fleet, instances[0])

    _run_fleet(fleet, STEADY_LOAD_MS, send_to_first, max_rate)
    offered_share = admitted[0] / (PLAN.rate_per_s * STEADY_LOAD_MS / 1000)
    # All demand of the customer moves to an instance of another failure domain.
    new_instance = instances[1]
    moved_ms = fleet.now_ms
    admitted_after_move = [0]
    half_share_ms = None
    while fleet.now_ms < moved_ms + SWING_TIMEOUT_MS:
        fleet.step(STEP_MS)
        admitted_after_move[0] += _send_requests(fleet, new_instance)
        share = new_instance.share(CUSTOMER, fleet.now_ms).rate_per_s
        max_rate[0] = max(max_rate[0], fleet.total_share(CUSTOMER).rate_per_s)
        if half_share_ms is None and share >= TARGET_SHARE / 2 * PLAN.rate_per_s:
            half_share_ms = fleet.now_ms - moved_ms
        if share >= (TARGET_SHARE - 0.001) * PLAN.rate_per_s:
            break
    reaction_ms = fleet.now_ms - moved_ms
    static_share = 1 / count
    return {
        'overshoot_of_shares': max_rate[0] / PLAN.rate_per_s - 1,
        'overshoot_long_run': max(0, offered_share - 1),
        'undershoot_one_instance': 1 - offered_share,
        'undershoot_static_split': 1 - static_share,
        'reaction_half_ms': half_share_ms,
        'reaction_ms': reaction_ms,
        'admitted_during_swing': admitted_after_move[0]
        * 1000
        / PLAN.rate_per_s
        / reaction_ms,
    }


def measure_cost(count: int, domains: int) -> dict:
    """Measure bytes, messages, CPU time and memory per instance."""
    tracemalloc.start()
    fleet = Fleet(count, domains, seed=2)
    customers = max(
        ACTIVE_CUSTOMERS, count * ACTIVE_CUSTOMERS // INSTANCES_PER_CUSTOMER
    )
    plans = {f'customer-{index:04}': PLAN for index in range(customers)}
    baseline_bytes = tracemalloc.get_traced_memory()[0]
    fleet.configure_all({})
    for instance in fleet.instances.values():
        fleet.update_view(instance, fleet.instances, count)
    # The catalog is not counted as lease memory: every instance has one anyway, and
    # the lease agent keeps only the plans.
    first_instance = next(iter(fleet.instances.values()))
    fleet.publish_plans(first_instance, plans)
    for instance in fleet.instances.values():
        if instance is not first_instance:
            fleet.publish_plans(instance, plans)
    customer_ids = [CustomerId(name) for name in plans]
    for index, instance in enumerate(fleet.instances.values()):
        instance.demands = {
            customer_ids[(index * 7 + offset * 131) % customers]: PLAN.scaled(
                RATE_SHARE / INSTANCES_PER_CUSTOMER
            )
            for offset in range(ACTIVE_CUSTOMERS)
        }
    vary_demands = _DemandVariation(fleet)
    _run_fleet(fleet, WARM_UP_MS, vary_demands)
    memory_bytes = (tracemalloc.get_traced_memory()[0] - baseline_bytes) / count
    tracemalloc.stop()
    instances = list(fleet.instances.values())
    sent_before = {
        instance.name: (instance.sent_bytes, instance.sent_messages)
        for instance in instances
    }
    received_before = {instance.name: instance.received_bytes for instance in instances}
    fleet.cpu_s = dict.fromkeys(fleet.instances, 0.0)
    _run_fleet(fleet, COST_DURATION_MS, vary_demands)
    duration_s = COST_DURATION_MS / 1000
    sent_bytes_per_s = [
        (instance.sent_bytes - sent_before[instance.name][0]) / duration_s
        for instance in instances
    ]
    received_bytes_per_s = [
        (instance.received_bytes - received_before[instance.name]) / duration_s
        for instance in instances
    ]
    messages_per_s = [
        (instance.sent_messages - sent_before[instance.name][1]) / duration_s
        for instance in instances
    ]
    cpu_shares = [value / duration_s for value in fleet.cpu_s.values()]
    return {
        'active_customers_per_instance': ACTIVE_CUSTOMERS,
        'customers': customers,
        'bytes_per_s_mean': sum(sent_bytes_per_s) / count,
        'bytes_per_s_median': sorted(sent_bytes_per_s)[count // 2],
        'bytes_per_s_busiest': max(sent_bytes_per_s),
        'received_bytes_per_s_busiest': max(received_bytes_per_s),
        'messages_per_s_mean': sum(messages_per_s) / count,
        'messages_per_s_busiest': max(messages_per_s),
        'cpu_share_mean': sum(cpu_shares) / count,
        'cpu_share_busiest': max(cpu_shares),
        'memory_bytes_mean': memory_bytes,
    }


def measure_failover(*, is_root: bool) -> dict:
    """
    Measure the share of a loaded instance after one of its grantors stops.

    The fleet has 12 instances in 4 failure domains. The views exclude the stopped
    grantor 3 s later.
    """
    fleet = Fleet(12, 4, seed=3)
    fleet.configure_all({'c': PLAN})
    instances = list(fleet.instances.values())
    root_grantor = instances[0].agent.grantors()[1]
    busy = next(
        instance
        for instance in instances
        if not {instance.name, instance.agent.grantors()[0]} & {root_grantor}
        and instance.agent.grantors()[0] != instance.name
    )
    killed_grantor = fleet.instances[busy.agent.grantors()[is_root]]
    _run_fleet(fleet, WARM_UP_MS, lambda: _send_requests(fleet, busy))
    killed_grantor.is_running = False
    killed_ms = fleet.now_ms
    shares: list[tuple[float, float]] = []
    max_rate = [0.0]

    def sample_share() -> None:
        _send_requests(fleet, busy)
        share = busy.share(CUSTOMER, fleet.now_ms).rate_per_s / PLAN.rate_per_s
        shares.append((fleet.now_ms - killed_ms, share))

    _run_fleet(fleet, 3000, sample_share, max_rate)
    for instance in fleet.running_instances():
        live_names = [live_instance.name for live_instance in fleet.running_instances()]
        fleet.update_view(instance, live_names, fleet.published)
    _run_fleet(fleet, 17_000, sample_share, max_rate)
    low_share_ms = [at_ms for at_ms, share in shares if share < FAILED_SHARE]
    return {
        'first_below_tenth_ms': min(low_share_ms, default=None),
        'last_below_tenth_ms': max(low_share_ms, default=None),
        'below_tenth_ms': len(low_share_ms) * STEP_MS,
        'share_at_end': shares[-1][1],
        'overshoot_of_shares': max_rate[0] / PLAN.rate_per_s - 1,
    }


class _DemandVariation:
    """Scale a random fifth of the demands by 0.5 to 1.5 once per second."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._next_ms = 0.0

    def __call__(self) -> None:
        if self._fleet.now_ms < self._next_ms:
            return
        self._next_ms = self._fleet.now_ms + 1000
        for instance in self._fleet.instances.values():
            demands = instance.demands or {}
            for name in demands:
                if self._fleet.random.random() < CHANGED_DEMANDS_SHARE:
                    factor = self._fleet.random.uniform(0.5, 1.5)
                    demands[name] = PLAN.scaled(
                        RATE_SHARE / INSTANCES_PER_CUSTOMER * factor
                    )


def measure_hot_path() -> dict:
    """Return the time of admitting and of refusing a request, in microseconds."""
    fleet = Fleet(1, 1)
    fleet.configure_all({'c': Allowance(1e9, 400, 2000, 1e7)})
    instance = next(iter(fleet.instances.values()))
    _run_fleet(fleet, 10_000, lambda: _send_requests(fleet, instance))
    now_ms = instance.clock_ms(fleet.now_ms)
    admitted_us = _time_us(instance.admission, now_ms, is_released=True)
    fleet.configure_all({'c': Allowance(1, 400, 2000, 1e7)})
    refused_us = _time_us(instance.admission, now_ms, is_released=False)
    return {'admit_and_release_us': admitted_us, 'refuse_us': refused_us}


def _time_us(admission: Admission, now_ms: float, *, is_released: bool) -> float:
    begin_s = time.perf_counter()
    for index in range(HOT_PATH_ITERATIONS):
        at_ms = now_ms + index * 0.01
        result = admission.admit_request(CUSTOMER, 100, at_ms)
        if is_released:
            admission.release(result.unwrap(), at_ms)
    return (time.perf_counter() - begin_s) / HOT_PATH_ITERATIONS * 1e6


def _send_requests(fleet: Fleet, instance: SimulatedInstance) -> int:
    """Request twice the plan rate at one instance; return the admitted count."""
    clock_ms = instance.clock_ms(fleet.now_ms)
    admitted = 0
    for _ in range(int(2 * PLAN.rate_per_s * STEP_MS / 1000)):
        result = instance.admission.admit_request(CUSTOMER, 10, clock_ms)
        if isinstance(result, Success):
            admitted += 1
            instance.admission.release(result.unwrap(), clock_ms)
    return admitted


def _run_fleet(
    fleet: Fleet,
    duration_ms: float,
    after_step: Callable[[], object],
    max_rate: list[float] | None = None,
) -> None:
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        fleet.step(STEP_MS)
        after_step()
        if max_rate is not None:
            max_rate[0] = max(max_rate[0], fleet.total_share(CUSTOMER).rate_per_s)


if __name__ == '__main__':
    json.dump(run(), sys.stdout, indent=2)
    print()
