"""Run a scenario with real processes and print the results of the callers.

python -m tools.scenario examples/scenarios/demo.ini [--json FILE] [--set KEY=VALUE]
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path

from cardamomtiller.client import Status
from tools.deployment import Deployment
from tools.plan import Event, ScenarioPlan, load_plan
from tools.processes import Processes
from tools.standins.callers import (
    PROBE_TOKEN,
    CallerGroup,
    FlowBreak,
    Record,
    latencies_by_class,
    percentile,
)

SAMPLE_INTERVAL_S = 0.5
IN_FORCE_POLL_INTERVAL_S = 0.05
IN_FORCE_TIMEOUT_S = 20
CALLERS_STOP_TIMEOUT_S = 30
# With fewer flows per upstream, a single flow more counts as an imbalance.
MIN_MEAN_FLOWS = 10
PERCENTILES = {'p50_ms': 0.5, 'p90_ms': 0.9, 'p99_ms': 0.99}


@dataclass(slots=True)
class Outcome:
    """Results of a scenario; ``--json`` writes the fields by name."""

    name: str
    figures: dict[str, float] = field(default_factory=dict)
    latencies: dict[str, dict[str, float]] = field(default_factory=dict)
    marks: dict[str, float] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    log_errors: list[str] = field(default_factory=list)
    counters: dict[str, int] = field(default_factory=dict)
    cpu_s: dict[str, float] = field(default_factory=dict)


class Scenario:
    """One run of a scenario: processes, callers, events and recorded figures."""

    def __init__(self, plan: ScenarioPlan, folder: Path) -> None:
        """Allocate addresses and keys; ``run`` starts the processes."""
        self.plan = plan
        self.processes = Processes(folder)
        self.deployment = Deployment(plan, folder, self.processes)
        self.record = Record()
        self.groups: dict[str, CallerGroup] = {}
        self.restarted_upstreams: set[str] = set()
        self.upstream_samples: list[tuple[float, dict[str, dict[str, object]]]] = []
        self.events: list[str] = []
        self.marks: dict[str, float] = {}
        self.start_s = 0.0
        self.control_bytes_per_s = 0.0
        self.event_tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Outcome:
        """Run the scenario and return the outcome; all processes are always ended."""
        try:
            await self.deployment.start()
            await self.deployment.wait_ready()
            callers = self._start_callers()
            sample_task = asyncio.create_task(self._sample_upstreams())
            await asyncio.sleep(self.plan.warm_up_s)
            self.start_s = time.monotonic()
            bytes_before = await self._read_control_bytes()
            await self._start_events()
            remaining_s = self.start_s + self.plan.duration_s - time.monotonic()
            await asyncio.sleep(max(0, remaining_s))
            for task in self.event_tasks:
                await task
            await self._stop_callers(callers)
            sample_task.cancel()
            self._record_control_rate(bytes_before, await self._read_control_bytes())
            return await self._collect_outcome()
        finally:
            self.processes.terminate_all()

    def _start_callers(self) -> list[asyncio.Task[None]]:
        secrets = {
            name: bytes.fromhex(self.deployment.derive_secret(name))
            for name in self.plan.customers
        }
        for load in self.plan.loads:
            address = self.deployment.service_addresses[load.service]
            self.groups[load.name] = CallerGroup(
                load, address, secrets, self.record, self.plan.seed
            )
        return [asyncio.create_task(group.run()) for group in self.groups.values()]

    async def _stop_callers(self, callers: list[asyncio.Task[None]]) -> None:
        for group in self.groups.values():
            group.stop()
        _, pending = await asyncio.wait(callers, timeout=CALLERS_STOP_TIMEOUT_S)
        for task in pending:
            task.cancel()
        for result in await asyncio.gather(*callers, return_exceptions=True):
            if isinstance(result, BaseException):
                self.record.add_fault('caller_errors', repr(result))

    async def _sample_upstreams(self) -> None:
        while True:
            stats = await self.deployment.fetch_upstream_stats()
            self.upstream_samples.append((time.monotonic(), stats))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _read_control_bytes(self) -> float:
        """Return the bytes on streams between instances; 0 without proxies."""
        bytes_by_path = await self.deployment.fetch_stream_bytes()
        upstream_names = {
            upstream.name for upstream in self.deployment.upstreams.values()
        }
        total = 0
        for path, size in bytes_by_path.items():
            names = {label.rpartition('/')[2] for label in path.split()}
            if not names & upstream_names:
                total += size
        return total

    def _record_control_rate(self, bytes_before: float, bytes_after: float) -> None:
        elapsed_s = time.monotonic() - self.start_s
        instance_count = len(self.deployment.instances)
        # Each byte counts twice: for the instance that sends and that receives it.
        self.control_bytes_per_s = (
            2 * (bytes_after - bytes_before) / elapsed_s / max(instance_count, 1)
        )

    # Events

    async def _start_events(self) -> None:
        for event in self.plan.events:
            wait_s = self.start_s + event.at_s - time.monotonic()
            await asyncio.sleep(max(0, wait_s))
            task = asyncio.create_task(self._perform_event(event))
            self.event_tasks.append(task)
            await asyncio.sleep(0)

    async def _perform_event(self, event: Event) -> None:
        text = ' '.join((event.action, *event.arguments))
        elapsed_s = time.monotonic() - self.start_s
        self.events.append(f'{elapsed_s:.1f} s: {text}')
        self.marks.setdefault(event.action, time.monotonic())
        try:
            await self._list_actions()[event.action](*event.arguments)
        except (LookupError, OSError, EOFError, ValueError, TimeoutError) as error:
            self.record.add_fault('event_errors', f'{text}: {error!r}')

    def _list_actions(self) -> Mapping[str, Callable[..., Awaitable[object]]]:
        return {
            'kill': self._kill,
            'stop': self._stop,
            'pause': self._pause,
            'replace': self._replace,
            'replace_all': self._replace_all,
            'join': self.deployment.join_instance,
            'drain': self._drain,
            'restart': self._restart,
            'upstream': self._set_upstream,
            'publish': self._publish_plan,
            'partition': self._partition,
            'heal': self.deployment.heal,
            'rule': self._rule,
            'swing': self._change_demand,
            'platform': self._set_platform,
            'mark': self._mark,
        }

    async def _kill(self, name: str) -> None:
        await self.deployment.kill_instance(self.resolve(name))

    async def _stop(self, name: str) -> None:
        name = self.resolve(name)
        exit_code = await self.deployment.stop_instance(name)
        if exit_code != 0:
            self.record.add_fault('unclean_stops', f'{name}: exit code {exit_code}')

    async def _pause(self, name: str, pause_s: str) -> None:
        """Stop an instance or upstream with SIGSTOP for a time; sockets stay open."""
        name = name if name in self.deployment.upstreams else self.resolve(name)
        self.processes.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(float(pause_s))
        self.processes.send_signal(name, signal.SIGCONT)

    async def _replace(self, name: str) -> None:
        name = self.resolve(name)
        await self.deployment.join_instance(self.deployment.instances[name].domain.name)
        await self._stop(name)

    async def _replace_all(self) -> None:
        for name in tuple(self.deployment.instances):
            if name in self.processes.running:
                await self._replace(name)
            else:
                domain = self.deployment.instances[name].domain.name
                await self.deployment.remove_instance(name)
                await self.deployment.join_instance(domain)

    async def _drain(self, name: str) -> None:
        await self.deployment.drain_upstream(name)

    async def _restart(self, name: str) -> None:
        self.restarted_upstreams.add(name)
        await self.deployment.restart_upstream(name)

    async def _set_upstream(self, name: str, *pairs: str) -> None:
        values = read_pairs(pairs)
        await self.deployment.set_upstream(name, **values)

    async def _publish_plan(self, plan: str, *pairs: str) -> None:
        """Change a plan and measure the time until all instances have the version."""
        self.deployment.plans[plan].update(read_pairs(pairs))
        text = dict(self.deployment.documents())['plans']
        publish_s = time.monotonic()
        version = await self.deployment.publish('plans', text)
        await self._wait_in_force('plans', version)
        self.marks['config_in_force_s'] = time.monotonic() - publish_s

    async def _wait_in_force(self, name: str, version: int) -> None:
        deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
        outdated = set(self.deployment.instances)
        while outdated and time.monotonic() < deadline_s:
            for instance in tuple(outdated):
                if instance not in self.deployment.instances:
                    outdated.discard(instance)
                    continue
                status = await self.deployment.fetch_status(instance)
                if read_version(status, name) >= version:
                    outdated.discard(instance)
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)
        if outdated:
            self.record.add_fault(
                'not_in_force', f'{name} {version}: {sorted(outdated)}'
            )

    async def _partition(self, domains: str, other_domains: str) -> None:
        await self.deployment.partition(domains.split(','), other_domains.split(','))

    async def _rule(self, proxy: str, name: str, *pairs: str) -> None:
        values = read_pairs(pairs)
        await self.deployment.set_rule(proxy, name, **values)

    async def _change_demand(
        self, load: str, factor: str, duration_s: str = '2'
    ) -> None:
        await self.groups[load].ramp_rate(float(factor), float(duration_s))

    async def _set_platform(self, state: str) -> None:
        await self.deployment.set_platform(is_down=state == 'down')

    async def _mark(self, name: str) -> None:
        self.marks[name] = time.monotonic()

    def resolve(self, name: str) -> str:
        """
        Return the name of the instance that an event refers to.

        ``owner:UPSTREAM`` is the instance that serves most flows of an
        upstream, ``DOMAIN:first`` the first instance of a failure domain; any
        other name is returned unchanged.
        """
        prefix, _, suffix = name.partition(':')
        if prefix == 'owner':
            return self._find_owner(suffix)
        if suffix == 'first':
            instances = self.deployment.instances.values()
            return next(
                instance.name
                for instance in instances
                if instance.domain.name == prefix
            )
        return name

    def _find_owner(self, upstream: str) -> str:
        stats = self.upstream_samples[-1][1][upstream]
        flows_by_instance = stats.get('homes')
        flow_counts: Counter[str] = Counter(
            flows_by_instance if isinstance(flows_by_instance, dict) else {}
        )
        for name, _ in flow_counts.most_common():
            if name in self.deployment.instances:
                return name
        raise LookupError(f'no instance serves {upstream}')

    # Figures

    async def _collect_outcome(self) -> Outcome:
        stats = await self.deployment.fetch_upstream_stats()
        for flow in await self.deployment.find_flows_opened_twice():
            self.record.add_fault('flows_on_two_upstreams', flow)
        outcome = Outcome(self.plan.name)
        outcome.events = self.events
        outcome.faults = self.record.faults
        outcome.marks = dict(self.marks)
        outcome.figures = {
            **self._count_flows(),
            **self._count_requests(),
            **self._check_executions(),
            **self._measure_balance(),
            **sum_upstream_figures(stats),
        }
        outcome.latencies = {
            name: {
                key: percentile(latencies_ms, share)
                for key, share in PERCENTILES.items()
            }
            for name, latencies_ms in latencies_by_class(self.record.samples)
        }
        outcome.refusals = dict(
            Counter(
                f'{sample.status.value}: {sample.reason}'
                for sample in self.record.samples
                if sample.status is not Status.DONE
            )
        )
        outcome.log_errors = self._find_log_errors()
        outcome.counters = await self._sum_counters()
        outcome.cpu_s = {
            'callers': time.process_time(),
            **self.processes.read_cpu_times_s(),
        }
        return outcome

    def _is_expected_break(self, flow_break: FlowBreak) -> bool:
        return flow_break.upstream in self.restarted_upstreams

    def _count_flows(self) -> dict[str, float]:
        counts = self.record.counts
        breaks = self.record.breaks
        expected_breaks = [
            broken for broken in breaks if self._is_expected_break(broken)
        ]
        for broken in breaks:
            if not self._is_expected_break(broken):
                at_s = broken.at_s - self.start_s
                text = (
                    f'broken flow: {broken.load} on {broken.upstream} at {at_s:.1f} s'
                )
                self.record.faults.append(text)
        return {
            'flows_opened': counts['flows_opened'],
            'flows_resumed': counts['resumed'],
            'flows_broken': len(breaks) - len(expected_breaks),
            'flows_stuck': counts['flows_stuck'],
            'flows_lost_with_upstream': len(expected_breaks),
            'opens_refused': counts['open_refused'],
            'open_p99_ms': percentile(self.record.open_latencies_ms, 0.99),
            'pushes': counts['pushes'],
            'flows_on_two_upstreams': counts['flows_on_two_upstreams'],
            'foreign_pushes': counts['foreign_pushes'],
            'read_your_writes': counts['read_your_writes'],
            'stale_reads': counts['stale_reads'],
            'wrong_answers': counts['wrong_answers'],
            'caller_errors': counts['caller_errors'],
            'event_errors': counts['event_errors'],
            'requests_without_end': counts['requests_without_end'],
            'unclean_stops': counts['unclean_stops'],
            'not_in_force': counts['not_in_force'],
        }

    def _count_requests(self) -> dict[str, float]:
        statuses = Counter(sample.status for sample in self.record.samples)
        return {
            'requests': len(self.record.samples),
            'requests_done': statuses[Status.DONE],
            'requests_not_run': statuses[Status.NOT_RUN],
            'requests_unknown': statuses[Status.UNKNOWN],
        }

    def _check_executions(self) -> dict[str, float]:
        """Compare the answers that callers got with the runs on the upstreams."""
        run_counts: Counter[str] = Counter()
        path = self.deployment.execution_log
        for line in path.read_text().splitlines() if path.exists() else ():
            row = json.loads(line)
            if row['event'] == 'start' and row['token'] != PROBE_TOKEN:
                run_counts[row['token']] += 1
        run_twice = [
            token
            for token, count in run_counts.items()
            if count > 1 and not self.record.idempotency_by_token.get(token, False)
        ]
        false_not_run = [
            sample.token
            for sample in self.record.samples
            if sample.status is Status.NOT_RUN and run_counts[sample.token]
        ]
        done_never_run = [
            sample.token
            for sample in self.record.samples
            if sample.status is Status.DONE and not run_counts[sample.token]
        ]
        for kind, tokens in (
            ('run twice', run_twice),
            ('false not run', false_not_run),
            ('done but never run', done_never_run),
        ):
            self.record.faults.extend(f'{kind}: {token}' for token in tokens)
        return {
            'run_twice': len(run_twice),
            'false_not_run': len(false_not_run),
            'done_never_run': len(done_never_run),
        }

    def _measure_balance(self) -> dict[str, float]:
        """Return the largest imbalance among the services with enough flows."""
        samples = [
            stats
            for _, stats in self.upstream_samples
            if len(stats) == len(self.deployment.upstreams)
        ]
        if not samples:
            return {}
        first_stats, last_stats = samples[0], samples[-1]
        flow_imbalances: list[float] = []
        busy_imbalances: list[float] = []
        for service in self.plan.services:
            names = self._steady_upstreams(service.name)
            open_flows = [read_figure(last_stats[name], 'flows_open') for name in names]
            if sum(open_flows) < MIN_MEAN_FLOWS * len(names):
                continue
            flow_imbalances.append(max_over_mean(open_flows))
            busy_imbalances.append(
                max_over_mean(
                    [
                        read_figure(last_stats[name], 'busy_ms')
                        - read_figure(first_stats[name], 'busy_ms')
                        for name in names
                    ]
                )
            )
        return {
            'imbalance_flows': max(flow_imbalances, default=0),
            'imbalance_busy': max(busy_imbalances, default=0),
        }

    def _steady_upstreams(self, service: str) -> list[str]:
        return [
            upstream.name
            for upstream in self.deployment.upstreams.values()
            if upstream.service.name == service
            and upstream.state == 'live'
            and upstream.name not in self.restarted_upstreams
        ]

    async def _sum_counters(self) -> dict[str, int]:
        """Return the sums of the counters over all running instances."""
        totals: Counter[str] = Counter()
        for name in self.deployment.instances:
            page = await self.deployment.fetch_status(name, '/counters')
            totals.update(page['counters'] if isinstance(page, dict) else {})
        return dict(sorted(totals.items()))

    def _find_log_errors(self) -> list[str]:
        error_lines: list[str] = []
        for path in sorted(self.processes.folder.glob('*.log')):
            for line in path.read_text(errors='replace').splitlines():
                if is_error_line(line):
                    error_lines.append(f'{path.stem}: {line[:200]}')
        return error_lines[:50]


def is_error_line(line: str) -> bool:
    """Return whether a log line reports a violated invariant or a traceback."""
    is_violation = 'invariant' in line and 'violated' in line
    return is_violation or 'Traceback' in line


def read_figure(stats: Mapping[str, object], name: str) -> float:
    """Return a figure of the statistics of an upstream, 0 if it is missing."""
    return float(str(stats.get(name, 0)))


def read_pairs(pairs: Iterable[str]) -> dict[str, str]:
    """Parse arguments of the form KEY=VALUE."""
    values: dict[str, str] = {}
    for pair in pairs:
        key, _, value = pair.partition('=')
        values[key] = value
    return values


def max_over_mean(values: list[float]) -> float:
    """Return the largest value divided by the mean, 0 if all values are 0."""
    total = sum(values)
    return max(values) * len(values) / total if total else 0


def read_version(status: object, name: str) -> int:
    """Return the version of a document in a status page, -1 if it is missing."""
    versions = status.get('versions') if isinstance(status, dict) else None
    version = versions.get(name, -1) if isinstance(versions, dict) else -1
    return int(version)


def sum_upstream_figures(stats: Mapping[str, Mapping[str, object]]) -> dict[str, float]:
    """Return figures over all upstreams."""
    delays_ms = [
        read_figure(upstream_stats, 'last_new_flow_after_drain_ms')
        for upstream_stats in stats.values()
    ]
    return {
        'misrouted': sum(
            read_figure(upstream_stats, 'misrouted')
            for upstream_stats in stats.values()
        ),
        'double_runs_at_upstream': sum(
            read_figure(upstream_stats, 'double_runs')
            for upstream_stats in stats.values()
        ),
        'last_new_flow_after_drain_ms': max(delays_ms, default=0),
    }


def print_outcome(outcome: Outcome) -> None:
    """Print events, figures, latencies, refusals and faults."""
    print(f'scenario {outcome.name}')
    for line in outcome.events:
        print(f'  event {line}')
    for name, value in outcome.figures.items():
        print(f'  {name:32} {value:12.6g}')
    for name, percentiles in outcome.latencies.items():
        text = '  '.join(f'{key} {value:8.1f}' for key, value in percentiles.items())
        print(f'  latency of {name:10} {text}')
    if 'config_in_force_s' in outcome.marks:
        print(f'  config_in_force_s {outcome.marks["config_in_force_s"]:26.2f}')
    for reason, count in sorted(outcome.refusals.items()):
        print(f'  {reason:32} {count:12}')
    for line in (*outcome.faults[:20], *outcome.log_errors[:20]):
        print(f'  ! {line}')


def run_plan(plan: ScenarioPlan, folder: Path) -> Outcome:
    """Run a scenario; the processes write logs and settings to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(Scenario(plan, folder).run())


def main() -> int:
    """Run the scenario file of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenario', type=Path)
    parser.add_argument('--json', type=Path, help='write the figures to this file')
    parser.add_argument('--keep', type=Path, help='folder for logs and settings')
    parser.add_argument('--set', action='append', default=[], metavar='KEY=VALUE')
    options = parser.parse_args()
    overrides = dict(text.split('=', 1) for text in options.set)
    plan = load_plan(options.scenario, overrides)
    with tempfile.TemporaryDirectory(prefix='cardamomtiller-') as folder:
        outcome = run_plan(plan, options.keep or Path(folder))
    print_outcome(outcome)
    if options.json:
        options.json.write_text(json.dumps(asdict(outcome), indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
