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
DEFAULT_TARGET = ROOT / 'build' / 'measures.json'
BULK = 'bulk'
URGENT = 'urgent'

Figures = dict[str, object]


def main() -> int:
    """Run the deployments named on the command line, by default both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('deployments', nargs='*', default=DEPLOYMENTS)
    parser.add_argument('--target', type=Path, default=DEFAULT_TARGET)
    parser.add_argument('--set', action='append', default=[], metavar='KEY=VALUE')
    options = parser.parse_args()
    overrides = dict(text.split('=', 1) for text in options.set)
    figures_by_deployment: Figures = {}
    for name in options.deployments:
        figures_by_deployment[name] = measure_deployment(name, overrides)
        options.target.parent.mkdir(parents=True, exist_ok=True)
        options.target.write_text(json.dumps(figures_by_deployment, indent=2) + '\n')
    print(f'written to {options.target}')
    return 0


def measure_deployment(name: str, overrides: dict[str, str]) -> Figures:
    """Run the scenario of a deployment and return its figures."""
    plan = load_plan(ROOT / 'examples' / 'scenarios' / f'{name}.ini', overrides)
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        scenario = Scenario(plan, Path(folder))
        outcome = asyncio.run(scenario.run())
    print_outcome(outcome)
    return {
        'wall_s': round(time.monotonic() - start_s, 1),
        'seed': plan.seed,
        **collect_figures(scenario, outcome),
        'details': asdict(outcome),
    }


def collect_figures(scenario: Scenario, outcome: Outcome) -> Figures:
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
        'peak_urgent_in_deadline_ratio': class_done_ratio(scenario, URGENT),
        'peak_steady_done_ratio': load_done_ratio(scenario, 'steady'),
        'urgent_wait_p99_ms_quiet': urgent_wait_ms(scenario, 'quiet'),
        'urgent_wait_p99_ms_bulk': urgent_wait_ms(scenario, BULK),
        'urgent_wait_p99_ratio': urgent_wait_ratio(scenario),
        'config_in_force_s': outcome.marks.get('config_in_force_s', -1),
        'drain_stop_s': figures['last_new_flow_after_drain_ms'] / 1000,
        'control_bytes_per_s': control_bytes_per_s(scenario),
    }


def list_samples(scenario: Scenario, window: str) -> list[Sample]:
    """Return the requests that were started between the marks of a window."""
    start_s = scenario.marks[f'{window}_begin']
    end_s = scenario.marks[f'{window}_end']
    return [
        sample
        for sample in scenario.record.samples
        if start_s <= sample.started_s < end_s
    ]


def find_load(scenario: Scenario, name: str) -> LoadPlan:
    """Return the plan of the load with a name."""
    return next(load for load in scenario.plan.loads if load.name == name)


def peak_goodput_ratio(scenario: Scenario) -> float:
    """
    Return completed work per slot time of the swung service during the swing.

    The work of a request is the time that it runs on a slot; the ratio is 1
    when every slot is busy with work whose answer arrived in time.
    """
    service = find_load(scenario, 'orders').service
    start_s = scenario.marks['swing_begin']
    end_s = scenario.marks['swing_end']
    loads = {load.name: load for load in scenario.plan.loads}
    work_ms = sum(
        loads[sample.load].work_ms
        for sample in scenario.record.samples
        if loads[sample.load].service == service
        and sample.status is Status.DONE
        and start_s <= sample.started_s + sample.latency_ms / 1000 < end_s
    )
    slots = sum(
        upstream.service.slots
        for upstream in scenario.deployment.upstreams.values()
        if upstream.service.name == service
    )
    return work_ms / 1000 / (slots * (end_s - start_s))


def class_done_ratio(scenario: Scenario, service_class: str) -> float:
    """Return the share of a class that was done within its deadline in the swing."""
    return _done_ratio(scenario, lambda sample: sample.service_class == service_class)


def load_done_ratio(scenario: Scenario, load: str) -> float:
    """Return the share of a load that was done within its deadline in the swing."""
    return _done_ratio(scenario, lambda sample: sample.load == load)


def _done_ratio(scenario: Scenario, is_counted: Callable[[Sample], bool]) -> float:
    samples = [
        sample for sample in list_samples(scenario, 'swing') if is_counted(sample)
    ]
    done = [
        sample
        for sample in samples
        if sample.status is Status.DONE
        and sample.latency_ms <= find_load(scenario, sample.load).timeout_ms
    ]
    return len(done) / len(samples) if samples else 0


def urgent_wait_ms(scenario: Scenario, window: str) -> float:
    """Return the p99 of latency minus work of urgent requests in a window."""
    return percentile(
        [
            sample.latency_ms - find_load(scenario, sample.load).work_ms
            for sample in list_samples(scenario, window)
            if sample.service_class == URGENT and sample.status is Status.DONE
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
        load.work_ms for load in scenario.plan.loads if load.service_class == BULK
    )
    return max(0.0, bulk_ms - residual_ms) / quiet_ms if quiet_ms else 0


def control_bytes_per_s(scenario: Scenario) -> float:
    """Return the bytes per second and instance on streams between instances."""
    return scenario.control_bytes_per_s


if __name__ == '__main__':
    sys.exit(main())
