"""
Fault soak of the forwarding instances: ``python -m tools.packet_soak --seed N``.

Instance processes forward the packets of clients and upstreams while sequential and
overlapping faults are injected: instances are stopped, paused, killed and restarted,
a proxy delays, resets or stalls their connections to the store, of one or of all
readers of a failure domain, the store returns
errors or comes back from an older copy, upstreams fail and drain, and configurations change. The guarantees are
checked by the packets that clients and upstreams receive, by the readiness checks and
by the logs. The exit code is 1 if a seed fails; its events are printed.
"""

import argparse
import itertools
import signal
import subprocess
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from math import inf
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from tools.packet_deployment import PROGRAM, Deployment
from tools.packet_traffic import ClientRequest
from tools.standins.proxy import Rule
from tools.standins.store import Fault, StoreCopy
from tools.store_links import ProxyLinks
from tools.store_monitor import StoreMonitor

DOMAINS = ('a', 'b')
INSTANCES_PER_DOMAIN = 2
SERVICES = {'orders': 4, 'patterns': 3}
FIRST_SUBNET = 100
SUBNET_COUNT = 100
# Bounds of the platform for a change to be in force, and for an instance to follow
# changes again after a fault.
MAX_CHANGE_DELAY_S = 3.0
MAX_RECOVERY_S = 4.0
RECOVERY_PHASE_S = 6.0
# The stand-in store may not answer in time on a busy machine, and starts the phase again.
MAX_RECOVERY_PHASE_S = 60.0
LONG_FLOW_COUNT = 6
# After a restore the operator writes again at once, upstreams with their next
# heartbeat, and entries of those that have left are removed when they expire.
MAX_OPERATOR_DELAY_S = 0.3
MAX_HEARTBEAT_DELAY_S = 2.0
ENTRY_LIFETIME_S = 3.6
MAX_COPIES = 12
BROKEN_PROGRAM = Path(__file__).resolve().parent / 'broken_forwarding.py'
# A defect may need several seeds: not every sequence of faults triggers it.
SEEDS_PER_DEFECT = 3
# Name of the link that only the monitor of the store uses.
MONITOR_LABEL = 'monitor'
# Each n-th seed has only faults of the links between instances and store.
IN_TOUCH_INTERVAL = 3
# Port of the first added route.
EXTRA_PORT = 5000
# Port of the route that is added after the faults.
FINAL_PORT = 4999
# Changes that the last restore loses, so that later ones get their revisions.
LOST_CHANGES = 4
# Time in which the instances read these changes.
READING_TIME_S = 1.0
GARBLED_ENTRY = b'{\xff'
# Seeds that failed in the past, with the cause.
REGRESSION_SEEDS = {
    7: 'the check counted a duplicate flow that a repeated opening packet had opened',
    46: 'same cause as seed 7',
}


@dataclass
class Findings:
    """
    Outcomes of requests, injected faults and broken guarantees of one run.

    Attributes
    ----------
    checked_changes
        Number of changes that were checked on an instance that was in touch.
    slow_reads
        Number of reads that the stand-in store did not answer in time.
    """

    seed: int
    outcomes: Counter[str] = field(default_factory=Counter)
    events: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    checked_changes: int = 0
    slow_reads: int = 0


class Change(NamedTuple):
    """A configuration, and when the store acknowledged it by two clocks."""

    version: int
    acknowledged_s: float
    wall_clock_s: float


class Soak:
    """A run of random faults that a seed determines."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        defect: str = '',
        instances_per_domain: int = INSTANCES_PER_DOMAIN,
    ) -> None:
        """Start a deployment; ``defect`` names a defect of its instances."""
        self.findings = Findings(seed)
        self._random = Random(seed)
        self._seconds = seconds
        self._links = ProxyLinks(seed)
        # Consecutive seeds use different addresses.
        subnet = FIRST_SUBNET + seed % SUBNET_COUNT
        program = (str(BROKEN_PROGRAM), defect) if defect else PROGRAM
        domains = dict.fromkeys(DOMAINS, instances_per_domain)
        self._deployment = Deployment(domains, SERVICES, subnet, self._links, program)
        self._hosts = tuple(self._deployment.hosts)
        self._monitor = StoreMonitor(self._deployment.open_link(MONITOR_LABEL))
        self._disturbed_until_s = dict.fromkeys(self._hosts, 0.0)
        # Start and end of each disturbance of an instance.
        self._disturbances: dict[str, list[tuple[float, float]]] = {
            host: [] for host in self._hosts
        }
        self._changes: list[Change] = []
        self._unready_since_s: dict[str, float] = {}
        self._scheduled_actions: list[tuple[float, Callable[[], None]]] = []
        self._long_flows: list[ClientRequest] = []
        self._added_routes: dict[int, float] = {}
        self._copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)
        self._stopped_hosts: set[str] = set()

    def run(self) -> Findings:
        """Inject faults, let the deployment recover, and check the guarantees."""
        try:
            self._deployment.wait_until_ready()
            self._run_phase(self._seconds, self._random_events())
            self._end_faults()
            self._run_recovery()
            self._check_recovery()
            self._check_upstreams()
            self._check_logs()
        finally:
            self._monitor.stop()
            self._deployment.close()
            self._links.close()
        traffic = self._deployment.traffic
        self.findings.slow_reads = len(self._monitor.slow_reads)
        self.findings.outcomes = Counter(
            request.outcome for request in traffic.finished_requests
        )
        self.findings.outcomes['resets of duplicate flows'] = (
            traffic.duplicate_flow_resets
        )
        return self.findings

    def _run_recovery(self) -> None:
        """Send requests until the store has answered in time for the recovery phase."""
        end_s = time.monotonic() + MAX_RECOVERY_PHASE_S
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            self._run_phase(RECOVERY_PHASE_S, iter(()))
            if not self._monitor.is_slow_between(start_s, time.monotonic()):
                return

    def _run_phase(self, seconds: float, events: Iterator[Callable[[], None]]) -> None:
        end_s = time.monotonic() + seconds
        next_event_s = time.monotonic()
        while time.monotonic() < end_s:
            now_s = time.monotonic()
            if now_s >= next_event_s:
                next_event_s = now_s + self._random.uniform(0.2, 1.0)
                self._copies.append(self._deployment.store.copy())
                next(events, lambda: None)()
            for scheduled in [
                item for item in self._scheduled_actions if item[0] <= now_s
            ]:
                self._scheduled_actions.remove(scheduled)
                scheduled[1]()
            self._send_requests()
            time.sleep(0.02)

    def _send_requests(self) -> None:
        traffic = self._deployment.traffic
        traffic.start_request(self._random.choice(list(self._deployment.routes)))
        self._long_flows = [
            request for request in self._long_flows if request.outcome in {'', 'done'}
        ]
        for flow in [
            request for request in self._long_flows if request.outcome == 'done'
        ]:
            if self._random.random() < 0.1:
                self._long_flows.remove(flow)
                self._long_flows.append(traffic.start_request(flow.route_port, flow))
        if len(self._long_flows) < LONG_FLOW_COUNT:
            self._long_flows.append(traffic.start_request(443))

    def _random_events(self) -> Iterator[Callable[[], None]]:
        choices = (
            self._reload_settings,
            self._turn_readers_away,
            self._drain_upstream,
            self._add_route,
            self._clear_store_history,
        )
        # With the other seeds some instances are in touch with the store throughout, so
        # that the time until they have a change in force can be checked.
        if self.findings.seed % IN_TOUCH_INTERVAL:
            choices += (
                self._kill_instance,
                self._terminate_instance,
                self._pause_instance,
                self._inject_store_fault,
                self._inject_link_fault,
                self._fail_upstream,
                self._restore_store,
            )
        while True:
            yield self._random.choice(choices)

    def _record_event(self, text: str) -> None:
        self.findings.events.append(text)

    def _mark_disturbed(self, host: str, duration_s: float) -> None:
        now_s = time.monotonic()
        until_s = now_s + duration_s
        self._disturbances[host].append((now_s, until_s))
        self._disturbed_until_s[host] = max(self._disturbed_until_s[host], until_s)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        self._scheduled_actions.append((time.monotonic() + delay_s, action))

    def _pick_host(self) -> str:
        return self._random.choice(self._hosts)

    def _kill_instance(self) -> None:
        host = self._pick_host()
        self._record_event(f'kill {host}')
        self._mark_disturbed(host, 2)
        self._stopped_hosts.add(host)
        self._deployment.signal(host, signal.SIGKILL)
        self._schedule(
            self._random.uniform(0.1, 1.5), lambda: self._restart_instance(host)
        )

    def _terminate_instance(self) -> None:
        host = self._pick_host()
        self._record_event(f'terminate {host}')
        self._mark_disturbed(host, 6)
        self._stopped_hosts.add(host)
        self._deployment.signal(host, signal.SIGTERM)
        self._schedule(4, lambda: self._restart_instance(host))

    def _restart_instance(self, host: str) -> None:
        process = self._deployment.processes[host]
        if process.poll() is None:
            process.kill()
        process.wait()
        self._mark_disturbed(host, 1)
        self._deployment.start(host)
        self._stopped_hosts.discard(host)

    def _pause_instance(self) -> None:
        host = self._pick_host()
        pause_s = self._random.uniform(0.2, 3)
        self._record_event(f'pause {host} {pause_s:.1f} s')
        self._mark_disturbed(host, pause_s)
        self._deployment.signal(host, signal.SIGSTOP)
        resume = signal.SIGCONT
        self._schedule(pause_s, lambda: self._deployment.signal(host, resume))

    def _reload_settings(self) -> None:
        host = self._pick_host()
        self._record_event(f'SIGHUP {host}')
        self._deployment.signal(host, signal.SIGHUP)

    def _inject_store_fault(self) -> None:
        store = self._deployment.store
        fault = self._random.choice(
            [candidate for candidate in Fault if candidate is not Fault.NONE]
        )
        duration_s = self._random.uniform(0.3, 3)
        self._record_event(f'store {fault.value} {duration_s:.1f} s')
        store.fault = fault
        for host in self._hosts:
            self._mark_disturbed(host, duration_s)
        self._schedule(duration_s, lambda: setattr(store, 'fault', Fault.NONE))

    def _inject_link_fault(self) -> None:
        host = self._pick_host()
        self._break_link(host, self._random.uniform(0.3, 3))

    def _turn_readers_away(self) -> None:
        """Break the links of all instances of a domain but the last one by rank."""
        domain = self._random.choice(DOMAINS)
        hosts = [
            host for host, name in self._deployment.hosts.items() if name == domain
        ]
        duration_s = self._random.uniform(0.3, 9)
        self._add_route()
        for host in sorted(hosts)[:-1]:
            self._break_link(host, duration_s)
        self._add_route()

    def _break_link(self, host: str, duration_s: float) -> None:
        rule = self._random.choice(
            (
                Rule(host, 's', cut=1),
                Rule('s', host, cut=1),
                Rule(host, '*', reset=1),
                Rule('s', host, delay_ms=300),
            ),
        )
        self._record_event(f'link of {host} {rule} {duration_s:.1f} s')
        self._mark_disturbed(host, duration_s)
        self._links.set(host, rule)
        self._schedule(duration_s, lambda: self._links.clear(host))

    def _list_serving_upstreams(self, service: str) -> list[str]:
        return [
            upstream.name
            for upstream in self._deployment.upstreams
            if upstream.service == service
            and not upstream.is_failed
            and upstream.name not in self._unready_since_s
        ]

    def _fail_upstream(self) -> None:
        service = self._random.choice(list(SERVICES))
        names = self._list_serving_upstreams(service)
        if len(names) < 3:
            return
        name = self._random.choice(names)
        self._record_event(f'upstream {name} fails')
        self._deployment.traffic.fail_upstream(name)
        self._schedule(3.6, lambda: self._remove_record(name))

    def _remove_record(self, name: str) -> None:
        self._deployment.store.remove(f'servers/{name}')

    def _drain_upstream(self) -> None:
        service = self._random.choice(list(SERVICES))
        names = self._list_serving_upstreams(service)
        if len(names) < 3:
            return
        name = self._random.choice(names)
        self._record_event(f'upstream {name} drains')
        self._deployment.drain(name)
        self._unready_since_s[name] = time.monotonic()

    def _add_route(self) -> None:
        self._record_event('configuration with a new route')
        port = EXTRA_PORT + len(self._added_routes)
        self._publish(port)
        self._added_routes[port] = time.monotonic()

    def _publish(self, port: int) -> None:
        version = self._deployment.publish_configuration(port)
        self._changes.append(Change(version, time.monotonic(), time.time()))

    def _clear_store_history(self) -> None:
        self._record_event('store clears its history')
        self._deployment.store.clear_history()

    def _restore_store(self) -> None:
        """Take the store away for a moment; it comes back from an older copy."""
        store = self._deployment.store
        copy = self._random.choice(self._copies)
        away_s = self._random.uniform(0.3, 2)
        self._record_event(
            f'store restored to revision {copy.revision}, {away_s:.1f} s'
        )
        store.fault = Fault.RESET
        for host in self._hosts:
            self._mark_disturbed(host, away_s + MAX_HEARTBEAT_DELAY_S)
        self._schedule(away_s, lambda: self._return_from_copy(copy))

    def _return_from_copy(self, copy: StoreCopy) -> None:
        store = self._deployment.store
        store.restore(copy)
        store.fault = Fault.NONE
        for key in store.lost_keys():
            delay_s = self._rewrite_delay_s(key)
            self._schedule(delay_s, partial(store.write_again, key))

    def _rewrite_delay_s(self, key: str) -> float:
        if key == 'op/config':
            return self._random.uniform(0, MAX_OPERATOR_DELAY_S)
        if self._deployment.store.is_written(key):
            return self._random.uniform(0, MAX_HEARTBEAT_DELAY_S)
        return ENTRY_LIFETIME_S

    def _end_faults(self) -> None:
        self._run_scheduled_actions()
        # Not with every seed, because instances read all records again after it.
        if self.findings.seed % 2:
            self._lose_changes()
        for host in self._hosts:
            self._deployment.signal(host, signal.SIGCONT)
        self._garble_entry()
        self._publish(FINAL_PORT)

    def _garble_entry(self) -> None:
        """Replace an entry by one that cannot be read and names no upstream to use."""
        names = self._list_serving_upstreams(next(iter(SERVICES)))
        if len(names) < 2:
            return
        name = self._random.choice(names)
        self._record_event(f'entry of {name} is garbled')
        self._deployment.store.put(f'servers/{name}', GARBLED_ENTRY)
        self._unready_since_s[name] = time.monotonic()

    def _lose_changes(self) -> None:
        """Restore the store after the instances have read what the copy lacks."""
        copy = self._deployment.store.copy()
        for _ in range(LOST_CHANGES):
            self._deployment.publish_configuration(EXTRA_PORT)
        time.sleep(READING_TIME_S)
        self._record_event(f'last changes lost, revision {copy.revision}')
        self._return_from_copy(copy)
        self._run_scheduled_actions()

    def _run_scheduled_actions(self) -> None:
        """Run all scheduled actions at once, also those that others schedule."""
        while self._scheduled_actions:
            scheduled = min(self._scheduled_actions, key=lambda item: item[0])
            self._scheduled_actions.remove(scheduled)
            scheduled[1]()

    def _check_recovery(self) -> None:
        """Require that all instances are ready and that all routes serve requests."""
        traffic = self._deployment.traffic
        for host in self._hosts:
            self._require(self._deployment.status(host) == 200, f'{host} is not ready')
        requests = [
            traffic.start_request(port)
            for port in (*self._deployment.routes, FINAL_PORT)
            for _ in range(30)
        ]
        time.sleep(1.5)
        failed_outcomes = Counter(
            request.outcome for request in requests if request.outcome != 'done'
        )
        self._require(
            not failed_outcomes,
            f'failed requests after recovery: {dict(failed_outcomes)}',
        )

    def _check_upstreams(self) -> None:
        """
        Check resets, misdirected packets and new flows on upstreams that are not ready.

        Upstreams that drain, or whose entry is garbled, are not ready. A new flow counts
        only if its instance had time to recover from the last fault.
        """
        traffic = self._deployment.traffic
        self._require(
            not traffic.live_flow_resets,
            'an instance reset an open flow of a live upstream',
        )
        for upstream in self._deployment.upstreams:
            self._require(
                not upstream.misdirected_packets,
                f'{upstream.name} received packets of other upstreams',
            )
            unready_since_s = self._unready_since_s.get(upstream.name)
            for opened_at_s, host in upstream.opens:
                if (
                    unready_since_s is not None
                    and opened_at_s > unready_since_s + MAX_CHANGE_DELAY_S
                ):
                    recovery_s = opened_at_s - MAX_RECOVERY_S
                    is_connected = recovery_s > self._disturbed_until_s[
                        host
                    ] and not self._monitor.is_slow_between(recovery_s, opened_at_s)
                    self._require(
                        not is_connected,
                        f'{upstream.name} received a flow while it was not ready',
                    )

    def _check_logs(self) -> None:
        for host in self._hosts:
            rows = list(self._deployment.log_rows(host))
            events = Counter(row['event'] for row in rows)
            self._require(not events['defect'], f'{host} logged a defect')
            exit_code = self._deployment.processes[host].poll()
            self._require(exit_code is None, f'{host} exited with {exit_code}')
            versions = [
                (row['before'], row['version'])
                for row in rows
                if row['event'] == 'configuration_in_force'
            ]
            self._require(
                all(before <= version for before, version in versions),
                f'{host} went back to an older configuration',
            )
            for change in self._changes:
                if self._is_in_touch(host, change):
                    self._check_change(host, change, rows)

    def _is_in_touch(self, host: str, change: Change) -> bool:
        """
        Return whether nothing disturbed an instance before and after a change.

        An instance is in touch only while the store answers in time.
        """
        start_s = change.acknowledged_s - MAX_RECOVERY_S
        end_s = change.acknowledged_s + MAX_CHANGE_DELAY_S
        if self._monitor.is_slow_between(start_s, end_s):
            return False
        return not any(
            disturbed_s < end_s and until_s > start_s
            for disturbed_s, until_s in self._disturbances[host]
        )

    def _check_change(
        self, host: str, change: Change, rows: list[dict[str, Any]]
    ) -> None:
        self.findings.checked_changes += 1
        in_force_s = min(
            (
                row['time'] - change.wall_clock_s
                for row in rows
                if row['event'] == 'configuration_in_force'
                and row['version'] >= change.version
            ),
            default=inf,
        )
        self._require(
            in_force_s < MAX_CHANGE_DELAY_S,
            f'{host} had version {change.version} in force after {in_force_s:.1f} s',
        )

    def _require(self, is_met: bool, guarantee: str) -> None:
        if not is_met:
            self.findings.broken.append(guarantee)


def check_defects(seed: int, seconds: float) -> int:
    """Run the soak with each deliberate defect; return 1 if a defect is missed."""
    list_command = [sys.executable, str(BROKEN_PROGRAM)]
    defects = subprocess.check_output(list_command, text=True).split()
    survived = 0
    # Addresses of the last run may still be in use, so each run uses a new seed.
    seeds = itertools.count(seed)
    for name in defects:
        for _ in range(SEEDS_PER_DEFECT):
            broken = Soak(next(seeds), seconds, name).run().broken
            if broken:
                break
        survived += not broken
        print(f'{name}: {"caught: " + broken[0] if broken else "survived"}', flush=True)
    print(f'{len(defects) - survived} passed, {survived} failed')
    return 1 if survived else 0


def main() -> int:
    """Parse the command line, run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--seeds', type=int, default=1, help='number of consecutive seeds'
    )
    parser.add_argument(
        '--seconds', type=float, default=15, help='duration of the fault phase'
    )
    parser.add_argument(
        '--instances',
        type=int,
        default=INSTANCES_PER_DOMAIN,
        help='number of instances per failure domain',
    )
    parser.add_argument(
        '--defects',
        action='store_true',
        help='check that the soak finds each deliberate defect',
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run the seeds that failed in the past',
    )
    options = parser.parse_args()
    if options.defects:
        return check_defects(options.seed, options.seconds)
    seeds = list(range(options.seed, options.seed + options.seeds))
    if options.regressions:
        seeds = list(REGRESSION_SEEDS)
    failed = 0
    for seed in seeds:
        findings = Soak(
            seed, options.seconds, instances_per_domain=options.instances
        ).run()
        failed += bool(findings.broken)
        result = 'BROKEN ' + '; '.join(findings.broken) if findings.broken else 'holds'
        print(
            f'seed {seed}: {result}; {dict(findings.outcomes)}; '
            f'{findings.checked_changes} changes checked, '
            f'{findings.slow_reads} slow reads',
            flush=True,
        )
        if findings.broken:
            print('  ' + '\n  '.join(findings.events), flush=True)
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
