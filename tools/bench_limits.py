"""Benchmark of lease-based limits: the real decision code, a driven clock."""

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

# Instances and failure domains: 2 regions of 4 failure domains.
FLEETS = ((9, 8), (74, 8), (590, 8))
PLAN = Allowance(1000, 400, 2000, 10_000_000)
# Ten customers are active on each instance; each is active on a few instances.
ACTIVE_CUSTOMERS = 10
SPREAD = 5
RATE_PART = 0.5
CHANGED_PART = 0.2
FAILED_PART = 0.1
STEP_MS = 20
WARM_MS = 13_000
LONG_MS = 10_000
SWING_TIMEOUT_MS = 15_000
WIDE_MS = 4000
HOT_LOOPS = 20_000
TARGET = 0.95
C = CustomerId('c')


def run(fleets: tuple[tuple[int, int], ...] = FLEETS) -> dict:
    """Return all figures, by number of instances, and slopes between them."""
    rows = {str(count): measure(count, domains) for count, domains in fleets}
    result = {
        'instances': rows,
        'admission': measure_hot_path(),
        'failover': {
            'domain_grantor': measure_failover(is_root=False),
            'root_grantor': measure_failover(is_root=True),
        },
    }
    counts = list(rows)
    if len(counts) > 1:
        first, last = counts[0], counts[-1]
        span = int(last) - int(first)
        result['slopes_per_instance'] = {
            name: (rows[last][name] - rows[first][name]) / span
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
    """Measure one fleet size."""
    return {
        'failure_domains': domains,
        **measure_error(count, domains),
        **measure_cost(count, domains),
    }


def measure_error(count: int, domains: int) -> dict:
    """Measure overshoot, undershoot and reaction of one customer."""
    fleet = Fleet(count, domains, seed=1, clock_error=0.001)
    fleet.configure_all({'c': PLAN})
    nodes = list(fleet.instances.values())
    highest = [0.0]
    _advance(fleet, WARM_MS, lambda: None, highest)
    _advance(fleet, 5000, lambda: _ask(fleet, nodes[0]), highest)
    admitted = [0]

    def ask_first() -> None:
        admitted[0] += _ask(fleet, nodes[0])

    _advance(fleet, LONG_MS, ask_first, highest)
    offered_share = admitted[0] / (PLAN.rate_per_s * LONG_MS / 1000)
    # The whole demand moves to an instance of another failure domain.
    other = nodes[1]
    begin_ms = fleet.now_ms
    moved = [0]
    half_ms = None
    while fleet.now_ms < begin_ms + SWING_TIMEOUT_MS:
        fleet.step(STEP_MS)
        moved[0] += _ask(fleet, other)
        share = other.share(C, fleet.now_ms).rate_per_s
        highest[0] = max(highest[0], fleet.total_share(C).rate_per_s)
        if half_ms is None and share >= TARGET / 2 * PLAN.rate_per_s:
            half_ms = fleet.now_ms - begin_ms
        if share >= (TARGET - 0.001) * PLAN.rate_per_s:
            break
    reaction_ms = fleet.now_ms - begin_ms
    static = 1 / count
    return {
        'overshoot_of_shares': highest[0] / PLAN.rate_per_s - 1,
        'overshoot_long_run': max(0, offered_share - 1),
        'undershoot_one_instance': 1 - offered_share,
        'undershoot_static_split': 1 - static,
        'reaction_half_ms': half_ms,
        'reaction_ms': reaction_ms,
        'admitted_during_swing': moved[0] * 1000 / PLAN.rate_per_s / reaction_ms,
    }


def measure_cost(count: int, domains: int) -> dict:
    """Measure bytes, messages, processor time and memory of an instance."""
    tracemalloc.start()
    fleet = Fleet(count, domains, seed=2)
    customers = max(ACTIVE_CUSTOMERS, count * ACTIVE_CUSTOMERS // SPREAD)
    plans = {f'customer-{index:04}': PLAN for index in range(customers)}
    empty_bytes = tracemalloc.get_traced_memory()[0]
    fleet.configure_all({})
    for node in fleet.instances.values():
        fleet.update_view(node, fleet.instances, count)
    # One catalog, as an instance has it anyway; its bytes are not counted.
    first = next(iter(fleet.instances.values()))
    fleet.publish_plans(first, plans)
    for node in fleet.instances.values():
        if node is not first:
            fleet.publish_plans(node, plans)
    names = [CustomerId(name) for name in plans]
    for index, node in enumerate(fleet.instances.values()):
        node.demands = {
            names[(index * 7 + offset * 131) % customers]: PLAN.scaled(
                RATE_PART / SPREAD
            )
            for offset in range(ACTIVE_CUSTOMERS)
        }
    vary = _Variation(fleet)
    _advance(fleet, WARM_MS, vary)
    memory_bytes = (tracemalloc.get_traced_memory()[0] - empty_bytes) / count
    tracemalloc.stop()
    nodes = list(fleet.instances.values())
    before = {node.name: (node.sent_bytes, node.sent_messages) for node in nodes}
    received = {node.name: node.received_bytes for node in nodes}
    fleet.cpu_s = dict.fromkeys(fleet.instances, 0.0)
    _advance(fleet, WIDE_MS, vary)
    duration_s = WIDE_MS / 1000
    sent = [(node.sent_bytes - before[node.name][0]) / duration_s for node in nodes]
    got = [(node.received_bytes - received[node.name]) / duration_s for node in nodes]
    messages = [
        (node.sent_messages - before[node.name][1]) / duration_s for node in nodes
    ]
    cpu = [value / duration_s for value in fleet.cpu_s.values()]
    return {
        'active_customers_per_instance': ACTIVE_CUSTOMERS,
        'customers': customers,
        'bytes_per_s_mean': sum(sent) / count,
        'bytes_per_s_median': sorted(sent)[count // 2],
        'bytes_per_s_busiest': max(sent),
        'received_bytes_per_s_busiest': max(got),
        'messages_per_s_mean': sum(messages) / count,
        'messages_per_s_busiest': max(messages),
        'cpu_share_mean': sum(cpu) / count,
        'cpu_share_busiest': max(cpu),
        'memory_bytes_mean': memory_bytes,
    }


def measure_failover(*, is_root: bool) -> dict:
    """
    Measure the share of a busy instance after its grantor died.

    12 instances in 4 failure domains; views change 3 s after the death.
    """
    fleet = Fleet(12, 4, seed=3)
    fleet.configure_all({'c': PLAN})
    nodes = list(fleet.instances.values())
    root = nodes[0].agent.grantors()[1]
    busy = next(
        node
        for node in nodes
        if not {node.name, node.agent.grantors()[0]} & {root}
        and node.agent.grantors()[0] != node.name
    )
    dead = fleet.instances[busy.agent.grantors()[is_root]]
    _advance(fleet, WARM_MS, lambda: _ask(fleet, busy))
    dead.is_running = False
    begin_ms = fleet.now_ms
    shares: list[tuple[float, float]] = []
    highest = [0.0]

    def watch() -> None:
        _ask(fleet, busy)
        part = busy.share(C, fleet.now_ms).rate_per_s / PLAN.rate_per_s
        shares.append((fleet.now_ms - begin_ms, part))

    _advance(fleet, 3000, watch, highest)
    for node in fleet.running_instances():
        live = [row.name for row in fleet.running_instances()]
        fleet.update_view(node, live, fleet.published)
    _advance(fleet, 17_000, watch, highest)
    low = [at_ms for at_ms, part in shares if part < FAILED_PART]
    return {
        'first_below_tenth_ms': min(low, default=None),
        'last_below_tenth_ms': max(low, default=None),
        'below_tenth_ms': len(low) * STEP_MS,
        'share_at_end': shares[-1][1],
        'overshoot_of_shares': highest[0] / PLAN.rate_per_s - 1,
    }


class _Variation:
    """Change a fifth of the demands every second by up to half."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._next_ms = 0.0

    def __call__(self) -> None:
        if self._fleet.now_ms < self._next_ms:
            return
        self._next_ms = self._fleet.now_ms + 1000
        for node in self._fleet.instances.values():
            demands = node.demands or {}
            for name in demands:
                if self._fleet.random.random() < CHANGED_PART:
                    factor = self._fleet.random.uniform(0.5, 1.5)
                    demands[name] = PLAN.scaled(RATE_PART / SPREAD * factor)


def measure_hot_path() -> dict:
    """Measure one admitted and one refused request, in microseconds."""
    fleet = Fleet(1, 1)
    fleet.configure_all({'c': Allowance(1e9, 400, 2000, 1e7)})
    node = next(iter(fleet.instances.values()))
    _advance(fleet, 10_000, lambda: _ask(fleet, node))
    now_ms = node.clock_ms(fleet.now_ms)
    admitted_us = _time_us(node.admission, now_ms, is_released=True)
    fleet.configure_all({'c': Allowance(1, 400, 2000, 1e7)})
    refused_us = _time_us(node.admission, now_ms, is_released=False)
    return {'admit_and_release_us': admitted_us, 'refuse_us': refused_us}


def _time_us(admission: Admission, now_ms: float, *, is_released: bool) -> float:
    begin = time.perf_counter()
    for index in range(HOT_LOOPS):
        at_ms = now_ms + index * 0.01
        result = admission.admit_request(C, 100, at_ms)
        if is_released:
            admission.release(result.unwrap(), at_ms)
    return (time.perf_counter() - begin) / HOT_LOOPS * 1e6


def _ask(fleet: Fleet, node: SimulatedInstance) -> int:
    """Ask for twice the plan on one instance; return what was admitted."""
    clock_ms = node.clock_ms(fleet.now_ms)
    admitted = 0
    for _ in range(int(2 * PLAN.rate_per_s * STEP_MS / 1000)):
        result = node.admission.admit_request(C, 10, clock_ms)
        if isinstance(result, Success):
            admitted += 1
            node.admission.release(result.unwrap(), clock_ms)
    return admitted


def _advance(
    fleet: Fleet,
    duration_ms: float,
    ask: Callable[[], object],
    highest: list[float] | None = None,
) -> None:
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        fleet.step(STEP_MS)
        ask()
        if highest is not None:
            highest[0] = max(highest[0], fleet.total_share(C).rate_per_s)


if __name__ == '__main__':
    json.dump(run(), sys.stdout, indent=2)
    print()
