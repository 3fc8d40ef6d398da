"""Measure both example deployments and write build/measures.json.

Each run has a window without and one with bulk work, followed by a demand swing, a
published change, a drain, a crash, a partition and a rolling replacement.
"""

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from cardamomtiller.client import Status
from tools.plan import LoadPlan, load_plan
from tools.processes import ROOT
from tools.scenario import Outcome, Scenario, print_outcome
from tools.standins.callers import Sample, percentile

DEPLOYMENTS = ('vuniwai', 'saomai')
TARGET = ROOT / 'build' / 'measures.json'
BULK = 'bulk'
URGENT = 'urgent'

Figures = dict[str, object]


def main() -> int:
    """Run the deployments named on the command line, by default both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('deployments', nargs='*', default=DEPLOYMENTS)
    parser.add_argument('--target', type=Path, default=TARGET)
    parser.add_argument('--set', action='append', default=[], metavar='KEY=VALUE')
    options = parser.parse_args()
    changes = dict(text.split('=', 1) for text in options.set)
    measured: Figures = {}
    for name in options.deployments:
        measured[name] = measure(name, changes)
        options.target.parent.mkdir(parents=True, exist_ok=True)
        options.target.write_text(json.dumps(measured, indent=2) + '\n')
    print(f'written to {options.target}')
    return 0


def measure(name: str, changes: dict[str, str]) -> Figures:
    """Run the scenario of a deployment and return its figures."""
    plan = load_plan(ROOT / 'examples' / 'scenarios' / f'{name}.ini', changes)
    begin_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        scenario = Scenario(plan, Path(folder))
        outcome = asyncio.run(scenario.run())
    print_outcome(outcome)
    return {
        'wall_s': round(time.monotonic() - begin_s, 1),
        'seed': plan.seed,
        **read_figures(scenario, outcome),
        'details': asdict(outcome),
    }


def read_figures(scenario: Scenario, outcome: Outcome) -> Figures:
    """Return the figures that the requirements set limits for."""
    figures = outcome.figures
    return {
        'broken_flows': figures['flows_broken'],
        'stuck_flows': figures['flows_stuck'],
        'misrouted_packets': figures['misrouted'],
        'double_runs': figures['run_twice'],
        'false_not_run': figures['false_not_run'],
        'stale_reads': figures['stale_reads'],
        'imbalance_flows_max_over_mean': figures['imbalance_flows'],
        'imbalance_busy_max_over_mean': figures['imbalance_busy'],
        'peak_goodput_ratio': peak_goodput_ratio(scenario),
        'peak_urgent_in_deadline_ratio': in_deadline_ratio(scenario, URGENT),
        'peak_steady_done_ratio': done_ratio(scenario, 'steady'),
        'urgent_wait_p99_ms_quiet': urgent_wait_ms(scenario, 'quiet'),
        'urgent_wait_p99_ms_bulk': urgent_wait_ms(scenario, BULK),
        'urgent_wait_p99_ratio': urgent_wait_ratio(scenario),
        'config_in_force_s': outcome.marks.get('config_in_force_s', -1),
        'drain_stop_s': figures['last_new_flow_after_drain_ms'] / 1000,
        'control_bytes_per_s': control_bytes_per_s(scenario),
    }


def in_window(scenario: Scenario, window: str) -> list[Sample]:
    """Return the requests that were started between the marks of a window."""
    first_s = scenario.marks[f'{window}_begin']
    last_s = scenario.marks[f'{window}_end']
    return [row for row in scenario.record.samples if first_s <= row.started_s < last_s]


def load_of(scenario: Scenario, name: str) -> LoadPlan:
    """Return the plan of the load with a name."""
    return next(row for row in scenario.plan.loads if row.name == name)


def peak_goodput_ratio(scenario: Scenario) -> float:
    """
    Return completed work per slot time during the swing, on the service with it.

    The work of a request is the time that it runs on a slot; the ratio is 1
    when every slot is busy with work whose answer arrived in time.
    """
    service = load_of(scenario, 'orders').service
    first_s = scenario.marks['swing_begin']
    last_s = scenario.marks['swing_end']
    loads = {row.name: row for row in scenario.plan.loads}
    work_ms = sum(
        loads[row.load].work_ms
        for row in scenario.record.samples
        if loads[row.load].service == service
        and row.status is Status.DONE
        and first_s <= row.started_s + row.latency_ms / 1000 < last_s
    )
    slots = sum(
        row.service.slots
        for row in scenario.deployment.upstreams.values()
        if row.service.name == service
    )
    return work_ms / 1000 / (slots * (last_s - first_s))


def in_deadline_ratio(scenario: Scenario, service_class: str) -> float:
    """Return the share of a class that was done within its deadline in the swing."""
    return _share(scenario, lambda row: row.service_class == service_class)


def done_ratio(scenario: Scenario, load: str) -> float:
    """Return the share of a load that was done within its deadline in the swing."""
    return _share(scenario, lambda row: row.load == load)


def _share(scenario: Scenario, is_counted: Callable[[Sample], bool]) -> float:
    rows = [row for row in in_window(scenario, 'swing') if is_counted(row)]
    done = [
        row
        for row in rows
        if row.status is Status.DONE
        and row.latency_ms <= load_of(scenario, row.load).timeout_ms
    ]
    return len(done) / len(rows) if rows else 0


def urgent_wait_ms(scenario: Scenario, window: str) -> float:
    """Return the p99 of latency minus work of urgent requests in a window."""
    return percentile(
        [
            row.latency_ms - load_of(scenario, row.load).work_ms
            for row in in_window(scenario, window)
            if row.service_class == URGENT and row.status is Status.DONE
        ],
        0.99,
    )


def urgent_wait_ratio(scenario: Scenario) -> float:
    """
    Return the p99 wait of urgent requests with bulk work over that without it.

    One residual slot time, the longest work of the class bulk, is subtracted
    first, because the requirement allows an urgent request to wait for it.
    """
    quiet_ms = urgent_wait_ms(scenario, 'quiet')
    bulk_ms = urgent_wait_ms(scenario, BULK)
    residual_ms = max(
        row.work_ms for row in scenario.plan.loads if row.service_class == BULK
    )
    return max(0.0, bulk_ms - residual_ms) / quiet_ms if quiet_ms else 0


def control_bytes_per_s(scenario: Scenario) -> float:
    """Return the bytes per second and instance on streams between instances."""
    return scenario.control_bytes_per_s


if __name__ == '__main__':
    sys.exit(main())
