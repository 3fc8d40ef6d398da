"""
Simulation of clients that open flows at instances whose upstreams are overloaded.

``python -m tools.overload_replay`` prints, for several load patterns, how many requests
are answered within their latency target, late, or never, and how many answers of a full
upstream the clients got, with and without admission control. The forwarders are the
real ones; time is virtual, and no sockets are used. Clients repeat an unanswered opening
packet, abandon it, and try again. ``one queue`` is an upper bound: all slots serve one
queue of the requests that can still be in time, without delay.
"""

import argparse
import heapq
import itertools
import sys
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from pathlib import Path
from random import Random
from typing import Any

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.fleet.loadreport import (
    LoadReport,
    decode_report,
    encode_report,
)
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.reachability import ProbeResult
from cardamomtiller.forwarding.published.configuration import (
    Configuration,
    ServiceLimits,
)
from cardamomtiller.forwarding.routing.forwarder import Delivery, Forwarder
from cardamomtiller.forwarding.routing.options import (
    DEFAULT_FORWARDING,
    ForwardingOptions,
)
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig
from tools.forwarding_replay import RoundRobin, TwoChoices

TICK_MS = 100.0
RELEASE_INTERVAL_MS = 10.0
ROUND_TRIP_MS = 3.0
# Ages at which a client repeats an unanswered opening packet, and abandons it.
COPY_AGES_MS = (0.0, 200.0, 600.0)
ABANDON_AGE_MS = 1400.0
RETRY_PAUSE_MS = 20.0
MAX_ATTEMPTS = 3
# The outage starts when the load has settled.
OUTAGE_START_MS = 2000.0
DISCOVERY_MS = 1000.0
PORTS = 60_000
PROBE_TIMEOUT_MS = 250.0
ANSWER_BYTES = 400
SHORT_ANSWER_BYTES = 20
URGENT_PRIORITY = 1
OTHER_PRIORITY = 2
ROUTE_PORTS = {URGENT_PRIORITY: 443, OTHER_PRIORITY: 444}
CLIENT_DOMAINS = 3
CLIENTS_PER_DOMAIN = 40


class Outcome(Enum):
    """How a request ended for its client."""

    IN_TIME = 'in_time'
    LATE = 'late'
    UNSERVED = 'unserved'


@dataclass(frozen=True)
class Pattern:
    """
    A load pattern and the deployment that serves it.

    ``load`` is the offered load as a share of all slots. All instances are down for
    ``outage_ms`` and return one after the other within ``return_ms``. For ``burst_ms``
    after the start of the outage the load is ``burst_factor`` times as high.
    ``silent_upstreams`` stop answering at the same time, for ``trouble_ms``, and
    ``slow_upstreams`` work ``slow_factor`` times as long. ``urgent_share`` of the
    requests is urgent; None for a single class. Upstream speeds repeat ``speeds``. If
    ``is_surge``, the additional requests of a burst come from one failure domain. An
    upstream says with ``full_answer_bytes`` that it is full. If ``is_detailed``, probes
    are run and reports are encoded; the patterns of docs/platform.md are without both.
    """

    name: str
    load: float
    outage_ms: float = 0.0
    return_ms: float = 400.0
    burst_factor: float = 1.0
    burst_ms: float = 0.0
    silent_upstreams: int = 0
    trouble_ms: float = inf
    slow_upstreams: int = 0
    slow_factor: float = 1.0
    urgent_share: float | None = None
    speeds: tuple[float, ...] = (1.0,)
    is_surge: bool = False
    full_answer_bytes: int = ANSWER_BYTES
    is_detailed: bool = False
    max_connections: int = 0
    instances: int = 9
    upstreams: int = 9
    slots: int = 3
    queue_length: int = 12
    work_ms: float = 40.0
    target_ms: float = 200.0
    deadline_ms: float = 3000.0
    length_ms: float = 9000.0


OUTAGES = tuple(
    Pattern(f'outage of {outage_ms / 1000:.1f} s at {load:.0%} load', load, outage_ms)
    for outage_ms in (700.0, 1200.0, 1600.0)
    for load in (0.6, 0.9, 1.2)
)
BURST = Pattern('burst of 1.7 at 70% load', 0.7, burst_factor=1.7, burst_ms=2000.0)
SILENCE = Pattern('two silent upstreams at 60% load', 0.6, silent_upstreams=2)
CALM = Pattern('steady 60% load', 0.6)
RESTARTS = Pattern(
    'instances return over 2 s at 30% load', 0.3, outage_ms=300.0, return_ms=2000.0
)
PATTERNS = (*OUTAGES, BURST, SILENCE, CALM, RESTARTS)


def shortage(name: str, load: float = 0.5, **changes: Any) -> Pattern:
    """Return a pattern with two classes whose trouble lasts for 2 s."""
    values: dict[str, Any] = {
        'trouble_ms': 2000.0,
        'burst_ms': 2000.0,
        'urgent_share': 0.3,
        'upstreams': 10,
        'queue_length': 8,
        'full_answer_bytes': SHORT_ANSWER_BYTES,
        'is_detailed': True,
        'length_ms': 8000.0,
    }
    return Pattern(name, load, **(values | changes))


LOSSES = tuple(
    shortage(
        f'burst of {burst_factor} over a loss of {silent_upstreams}0%',
        burst_factor=burst_factor,
        silent_upstreams=silent_upstreams,
    )
    for silent_upstreams in (3, 6)
    for burst_factor in (1.7, 2.5, 3.0)
)
SLOW = tuple(
    shortage(
        f'half of the pool {slow_factor:.0f} times slower',
        slow_upstreams=5,
        slow_factor=slow_factor,
    )
    for slow_factor in (5.0, 8.0)
)
SURGE = shortage('surge of 2.5 from one domain', burst_factor=2.5, is_surge=True)
RETURN = shortage('clients return after 1.2 s', 0.7, outage_ms=1200.0, burst_ms=0)
UNEVEN = shortage('speeds 0.6, 1.0, 1.6 at 70% load', 0.7, speeds=(0.6, 1.0, 1.6))
CALM_CLASSES = shortage('steady 60% load, two classes', 0.6)
CALM_MANY = shortage(
    'steady 60% load, 90 instances', 0.6, instances=90, length_ms=6000.0
)
SHORTAGES = (*LOSSES, *SLOW, SURGE, RETURN, UNEVEN, CALM_CLASSES, CALM_MANY)


@dataclass
class Request:
    """A request of a client over all its attempts."""

    started_ms: float
    work_ms: float
    priority: int = URGENT_PRIORITY
    client: int = rig.CLIENT_IP
    attempts: int = 0
    finished_ms: float | None = None
    # Port of the current attempt, None between attempts and after the end.
    port: int | None = None
    is_opened: bool = False


@dataclass
class Server:
    """Model of an upstream: slots and a bounded queue."""

    slots: int
    capacity: int
    is_silent: bool = False
    speed: float = 1.0
    busy_slots: int = 0
    queue: deque[tuple[Request, int]] = field(default_factory=deque)


class Instance:
    """A forwarder with its load reports, replaced by a new one after an outage."""

    def __init__(
        self,
        member: Member,
        options: ForwardingOptions,
        pattern: Pattern,
        policy: type[Forwarder] = Forwarder,
    ) -> None:
        """Start without flows, with an entry of each upstream."""
        self.member = member
        self.started_ms = 0.0
        self._options = options
        self._pattern = pattern
        self._policy = policy
        self.is_up = True
        self.restart(0)

    def restart(self, now_ms: float) -> None:
        """Replace the forwarder by one without any state."""
        self.is_up = True
        self.started_ms = now_ms
        self.forwarder: Forwarder = rig.make_forwarder(
            (), options=self._options, policy=self._policy
        )
        self.forwarder.apply_configuration(configuration_of(self._pattern), now_ms)
        for index in range(self._pattern.upstreams):
            entry = rig.entry(
                f'u-{index}',
                address=upstream_address(index),
                slots=self._pattern.slots,
            )
            self.forwarder.apply_entry(entry, now_ms)
        self.sharing = LoadSharing(
            self.member, self.forwarder.observer.loads, DEFAULT_SHARING
        )


class Replay:
    """Simulation of a load pattern."""

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        options: ForwardingOptions,
        policy: type[Forwarder] = Forwarder,
    ) -> None:
        """Create the upstream models and the instances."""
        self._pattern = pattern
        self._random = Random(seed)
        # Of its own, so that patterns with and without classes have the same load.
        self._class_random = Random(seed + 1)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._ports = itertools.count(1)
        self.requests: list[Request] = []
        self.full_answers = 0
        self.arrivals = 0
        self._load_sums = [0.0] * pattern.upstreams
        self._request_by_port: dict[int, Request] = {}
        self._servers = {
            upstream_address(index): Server(
                pattern.slots,
                pattern.slots + pattern.queue_length,
                speed=pattern.speeds[index % len(pattern.speeds)],
            )
            for index in range(pattern.upstreams)
        }
        self._instances = [
            Instance(
                Member(InstanceId(f'i-{index}'), DomainName('a'), f'10.0.0.{index}', 1),
                options,
                pattern,
                policy,
            )
            for index in range(pattern.instances)
        ]

    def run(self) -> dict[Outcome, int]:
        """Run the simulation and return the number of requests for each outcome."""
        self._schedule(0, self._tick)
        self._schedule(0, self._release)
        self._schedule(0, self._start_request)
        self._schedule(OUTAGE_START_MS, self._start_trouble)
        while self._events and self._now_ms < self._pattern.length_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.count()

    def count(
        self, priority: int | None = None, since_ms: float = 0.0, until_ms: float = inf
    ) -> dict[Outcome, int]:
        """Return the number of requests for each outcome, of a class and a time."""
        until_ms = min(until_ms, self._pattern.length_ms - self._pattern.deadline_ms)
        counts = dict.fromkeys(Outcome, 0)
        for request in self.requests:
            if not since_ms <= request.started_ms < until_ms:
                continue
            if priority in {None, request.priority}:
                counts[self._outcome(request)] += 1
        return counts

    def busiest_to_mean(self) -> float:
        """
        Return the largest mean load of an upstream, by the mean of all that answer.

        Load is the expected wait, requests in the upstream by its slots and speed, in the
        time of the trouble.
        """
        live = [load for load in self._load_sums if load > 0]
        return max(live) * len(live) / sum(live)

    def _outcome(self, request: Request) -> Outcome:
        if request.finished_ms is None:
            return Outcome.UNSERVED
        is_in_time = request.finished_ms - request.started_ms <= self._pattern.target_ms
        return Outcome.IN_TIME if is_in_time else Outcome.LATE

    def _schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_ms, next(self._event_numbers), action))

    def _start_trouble(self) -> None:
        pattern = self._pattern
        for server in list(self._servers.values())[: pattern.silent_upstreams]:
            server.is_silent = True
        for server in self._slow_servers():
            server.speed /= pattern.slow_factor
        if pattern.trouble_ms < inf:
            self._schedule(self._now_ms + pattern.trouble_ms, self._end_trouble)
        if not pattern.outage_ms:
            return
        for instance in self._instances:
            instance.is_up = False
            back_ms = self._now_ms + pattern.outage_ms
            back_ms += self._random.uniform(0, pattern.return_ms)
            self._schedule(
                back_ms, lambda instance=instance: instance.restart(self._now_ms)
            )

    def _slow_servers(self) -> list[Server]:
        first = self._pattern.upstreams - self._pattern.slow_upstreams
        return list(self._servers.values())[first:]

    def _end_trouble(self) -> None:
        pattern = self._pattern
        for server in self._servers.values():
            server.is_silent = False
        for server in self._slow_servers():
            server.speed *= pattern.slow_factor

    def _measure_loads(self) -> None:
        end_ms = min(
            OUTAGE_START_MS + self._pattern.trouble_ms, self._pattern.length_ms
        )
        if not OUTAGE_START_MS <= self._now_ms < end_ms:
            return
        for index, server in enumerate(self._servers.values()):
            if not server.is_silent:
                load = server.busy_slots + len(server.queue)
                self._load_sums[index] += load / (server.slots * server.speed)

    def _tick(self) -> None:
        self._measure_loads()
        for instance in self._live_instances():
            instance.forwarder.sweep(self._now_ms)
            instance.sharing.update_loads(self._now_ms)
            self._exchange_reports(instance)
            is_settled = self._now_ms - instance.started_ms >= DISCOVERY_MS
            instance.forwarder.admission.instances = (
                len(self._live_instances()) if is_settled else None
            )
        self._schedule(self._now_ms + TICK_MS, self._tick)

    def _exchange_reports(self, instance: Instance) -> None:
        others = {
            other.member.host: other
            for other in self._live_instances()
            if other is not instance
        }
        members = [other.member for other in others.values()]
        for receiver, report in instance.sharing.due_reports(members, self._now_ms):
            answer = others[receiver.host].sharing.handle_report(
                instance.member, self._as_received(report), self._now_ms
            )
            if answer is not None:
                instance.sharing.handle_report(
                    receiver, self._as_received(answer), self._now_ms
                )

    def _as_received(self, report: LoadReport) -> LoadReport:
        """Return a report as its receiver decodes it: rounded, and bounded in size."""
        if not self._pattern.is_detailed:
            return report
        return decode_report(encode_report(report))

    def _release(self) -> None:
        for instance in self._live_instances():
            self._deliver(instance.forwarder.release_waiting(self._now_ms))
            if self._pattern.is_detailed:
                self._start_probes(instance)
        self._schedule(self._now_ms + RELEASE_INTERVAL_MS, self._release)

    def _start_probes(self, instance: Instance) -> None:
        forwarder = instance.forwarder
        observer = forwarder.observer
        for token in observer.reachability.due_probes(self._now_ms):
            upstream = forwarder.directory.by_token(token)
            server = self._servers[upstream.entry.address]
            result, duration_ms = ProbeResult.CONNECTED, ROUND_TRIP_MS
            if server.is_silent:
                result, duration_ms = ProbeResult.TIMED_OUT, PROBE_TIMEOUT_MS
            self._schedule(
                self._now_ms + duration_ms,
                lambda token=token, result=result: observer.handle_probe_result(
                    token, result, self._now_ms
                ),
            )

    def _live_instances(self) -> list[Instance]:
        return [instance for instance in self._instances if instance.is_up]

    def _instance_of(self, port: int) -> Instance | None:
        """Return the instance that gets the packets of a flow at this moment."""
        live = self._live_instances()
        return live[port * 2654435761 % 2**32 % len(live)] if live else None

    def _start_request(self) -> None:
        pattern = self._pattern
        work_ms = pattern.work_ms * self._random.lognormvariate(-0.125, 0.5)
        is_burst = 0 <= self._now_ms - OUTAGE_START_MS < pattern.burst_ms
        request = self._draw_class(Request(self._now_ms, work_ms), is_burst)
        self.requests.append(request)
        self._start_attempt(request)
        load = pattern.load * (pattern.burst_factor if is_burst else 1.0)
        load *= sum(pattern.speeds) / len(pattern.speeds)
        mean_pause_ms = pattern.work_ms / (load * pattern.upstreams * pattern.slots)
        pause_ms = self._random.expovariate(1 / mean_pause_ms)
        self._schedule(self._now_ms + pause_ms, self._start_request)

    def _draw_class(self, request: Request, is_burst: bool) -> Request:
        """Set class and client of a request."""
        pattern = self._pattern
        if pattern.urgent_share is None:
            return request
        is_urgent = self._class_random.random() < pattern.urgent_share
        request.priority = URGENT_PRIORITY if is_urgent else OTHER_PRIORITY
        domain = self._class_random.randrange(CLIENT_DOMAINS)
        client = self._class_random.randrange(CLIENTS_PER_DOMAIN)
        added_share = 1 - 1 / pattern.burst_factor
        if pattern.is_surge and is_burst and self._class_random.random() < added_share:
            domain = 0
        request.client = client_address(domain, client)
        return request

    def _start_attempt(self, request: Request) -> None:
        age_ms = self._now_ms - request.started_ms
        if request.attempts == MAX_ATTEMPTS or age_ms >= self._pattern.deadline_ms:
            return
        request.attempts += 1
        request.is_opened = False
        port = request.port = next(self._ports) % PORTS + 1024
        self._request_by_port[port] = request
        for copy, copy_age_ms in enumerate(COPY_AGES_MS):
            self._schedule(
                self._now_ms + copy_age_ms,
                lambda copy=copy: self._send_opening(request, port, copy),
            )
        self._schedule(
            self._now_ms + ABANDON_AGE_MS, lambda: self._abandon(request, port)
        )

    def _send_opening(self, request: Request, port: int, copy: int) -> None:
        if request.port != port or request.is_opened:
            return
        self._handle(port, rig.opening(port, copy, **addresses(request)))

    def _abandon(self, request: Request, port: int) -> None:
        if request.port == port and not request.is_opened:
            request.port = None
            self._start_attempt(request)

    def _handle(self, port: int, datagram: bytes) -> None:
        instance = self._instance_of(port)
        if instance is not None:
            self._deliver(instance.forwarder.handle(datagram, self._now_ms))

    def _deliver(self, deliveries: Iterator[Delivery]) -> None:
        for delivery in deliveries:
            if rig.is_reset(delivery):
                self._handle_reset(rig.client_port(delivery))
            else:
                self._handle_arrival(delivery)

    def _handle_reset(self, port: int) -> None:
        request = self._request_by_port[port]
        if request.port == port:
            self._fail_attempt(request)

    def _fail_attempt(self, request: Request) -> None:
        request.port = None
        pause_ms = RETRY_PAUSE_MS * self._random.uniform(0.5, 1.5)
        self._schedule(self._now_ms + pause_ms, lambda: self._start_attempt(request))

    def _handle_arrival(self, delivery: Delivery) -> None:
        """Open the flow at the upstream; the request follows after a round trip."""
        server = self._servers[delivery.address]
        port = rig.flow_port(delivery)
        request = self._request_by_port[port]
        if server.is_silent or request.port != port or request.is_opened:
            return
        token = rig.sent_token(delivery)
        request.is_opened = True
        self._schedule(
            self._now_ms + ROUND_TRIP_MS,
            lambda: self._send_request(request, port, server, token),
        )

    def _send_request(
        self, request: Request, port: int, server: Server, token: int
    ) -> None:
        self.arrivals += 1
        datagram = rig.packet(
            port, seq=200, ack=500, size=40, token=token, **addresses(request)
        )
        self._handle_quietly(port, datagram)
        if server.busy_slots + len(server.queue) >= server.capacity:
            self.full_answers += 1
            self._close(request, port, token, self._pattern.full_answer_bytes)
            self._fail_attempt(request)
        elif server.busy_slots < server.slots:
            self._start_work(request, server, token)
        else:
            server.queue.append((request, token))

    def _handle_quietly(self, port: int, datagram: bytes) -> None:
        """Pass a later packet, which the model of the upstream needs no copy of."""
        instance = self._instance_of(port)
        if instance is not None:
            list(instance.forwarder.handle(datagram, self._now_ms))

    def _start_work(self, request: Request, server: Server, token: int) -> None:
        server.busy_slots += 1
        self._schedule(
            self._now_ms + request.work_ms / server.speed,
            lambda: self._finish(request, server, token),
        )

    def _finish(self, request: Request, server: Server, token: int) -> None:
        server.busy_slots -= 1
        if self._now_ms - request.started_ms <= self._pattern.deadline_ms:
            request.finished_ms = self._now_ms
        if request.port is not None:
            self._close(request, request.port, token, ANSWER_BYTES)
        if server.queue:
            self._start_work(*server.queue.popleft()[:1], server, token)

    def _close(
        self, request: Request, port: int, token: int, answer_bytes: int
    ) -> None:
        """Send the acknowledgement of the answer, and close the flow."""
        fields = {'seq': 240, 'ack': 500 + answer_bytes, 'token': token}
        fields |= addresses(request)
        self._handle_quietly(port, rig.packet(port, **fields))
        self._handle_quietly(port, rig.closing(port, **fields))


def configuration_of(pattern: Pattern) -> Configuration:
    """Return the configuration of a pattern, with a route for each class."""
    priorities = {URGENT_PRIORITY: 0}
    if pattern.urgent_share is not None:
        priorities = {priority: priority for priority in ROUTE_PORTS}
    base = rig.configuration(
        version=2,
        ports=[ROUTE_PORTS[priority] for priority in priorities],
        timeout_ms=pattern.deadline_ms,
        target_latency_ms=pattern.target_ms,
    )
    routes = {
        address: route._replace(priority=priority)
        for (address, route), priority in zip(
            base.routes.items(), priorities.values(), strict=True
        )
    }
    limits = ServiceLimits(max_connections=pattern.max_connections)
    return base._replace(
        routes=routes, service_limits={service: limits for service in base.services}
    )


def addresses(request: Request) -> dict[str, int]:
    """Return the client address and the route port of the packets of a request."""
    return {'client_ip': request.client, 'route_port': ROUTE_PORTS[request.priority]}


def client_address(domain: int, number: int) -> int:
    """Return the address of a client; failure domains have separate blocks."""
    return rig.CLIENT_IP + (domain << 16) + number


def upstream_address(index: int) -> tuple[str, int]:
    """Return the address of an upstream of the model."""
    return f'10.0.1.{index + 1}', 8000


def count_in_time_with_one_queue(pattern: Pattern, requests: list[Request]) -> int:
    """
    Return how many requests are in time if all slots serve one queue.

    Requests that start while all instances are down arrive when the first one returns.
    """
    back_ms = OUTAGE_START_MS + pattern.outage_ms
    trouble_ends_ms = OUTAGE_START_MS + pattern.trouble_ms
    # Time until which a slot is taken, speed, and the two of them during the trouble.
    slots = [
        Slot(
            pattern.speeds[index % len(pattern.speeds)],
            index < pattern.silent_upstreams,
            pattern.slow_factor
            if index >= pattern.upstreams - pattern.slow_upstreams
            else 1.0,
        )
        for index in range(pattern.upstreams)
        for _ in range(pattern.slots)
    ]
    in_time = 0
    for request in requests:
        if request.started_ms >= pattern.length_ms - pattern.deadline_ms:
            break
        arrival_ms = request.started_ms
        if OUTAGE_START_MS <= arrival_ms < back_ms:
            arrival_ms = back_ms
        end_ms, slot = min(
            (
                (slot.end_ms(request, arrival_ms, trouble_ends_ms), slot)
                for slot in slots
            ),
            key=lambda pair: pair[0],
        )
        if end_ms - request.started_ms <= pattern.target_ms:
            slot.free_at_ms = end_ms
            in_time += 1
    return in_time


@dataclass
class Slot:
    """A slot of the one queue, with its speed and what happens to it in the trouble."""

    speed: float
    is_silent: bool
    slow_factor: float
    free_at_ms: float = 0.0

    def end_ms(
        self, request: Request, arrival_ms: float, trouble_ends_ms: float
    ) -> float:
        """Return when the slot would have finished a request."""
        start_ms = max(self.free_at_ms, arrival_ms)
        work_ms = request.work_ms / self.speed
        if OUTAGE_START_MS <= start_ms < trouble_ends_ms:
            if self.is_silent:
                start_ms = trouble_ends_ms
            else:
                work_ms *= self.slow_factor
        return start_ms + work_ms


POLICIES = {
    'no limit': DEFAULT_FORWARDING._replace(admission=rig.UNLIMITED),
    'limit and wait queue': DEFAULT_FORWARDING,
}

SHORTAGE_POLICIES: dict[str, tuple[ForwardingOptions, type[Forwarder]]] = {
    'new': (rig.FORWARDING_WITH_SHORTAGE, Forwarder),
    'before': (
        DEFAULT_FORWARDING,
        Forwarder,
    ),
    'round robin': (POLICIES['no limit'], RoundRobin),
    'two choices': (POLICIES['no limit'], TwoChoices),
}


def compute_rows(seeds: range) -> Iterator[str]:
    """Iterate over the lines of the comparison."""
    for pattern in PATTERNS:
        bound = asked = 0
        for policy_name, options in POLICIES.items():
            totals = dict.fromkeys(Outcome, 0)
            full_answers = bound = asked = 0
            for seed in seeds:
                replay = Replay(pattern, seed, options)
                for outcome, count in replay.run().items():
                    totals[outcome] += count
                    asked += count
                full_answers += replay.full_answers
                bound += count_in_time_with_one_queue(pattern, replay.requests)
            shares = ' '.join(f'{totals[outcome] / asked:8.4f}' for outcome in Outcome)
            yield f'{pattern.name:40} {policy_name:22} {shares} {full_answers:6}'
        yield f'{pattern.name:40} {"one queue":22} {bound / asked:8.4f}'


def compute_shortage_rows(
    patterns: Sequence[Pattern], seeds: range, names: Sequence[str]
) -> Iterator[str]:
    """Iterate over the lines of the comparison under shortage, by class."""
    for pattern in patterns:
        asked = bound = 0
        for name in names:
            options, policy = SHORTAGE_POLICIES[name]
            replays = [Replay(pattern, seed, options, policy) for seed in seeds]
            for replay in replays:
                replay.run()
            yield f'{pattern.name:36} {name:14} {describe(replays)}'
            asked = sum(sum(replay.count().values()) for replay in replays)
            bound = sum(
                count_in_time_with_one_queue(pattern, replay.requests)
                for replay in replays
            )
        yield f'{pattern.name:36} {"one queue":14} {bound / asked:6.3f}'


def describe(replays: Sequence[Replay]) -> str:
    """Return the measures of some runs of a pattern as columns."""
    columns = []
    for priority in (None, URGENT_PRIORITY, OTHER_PRIORITY):
        totals = dict.fromkeys(Outcome, 0)
        for replay in replays:
            for outcome, count in replay.count(priority).items():
                totals[outcome] += count
        asked = max(1, sum(totals.values()))
        columns += [
            f'{totals[outcome] / asked:6.3f}'
            for outcome in (Outcome.IN_TIME, Outcome.UNSERVED)
        ]
    arrivals = sum(replay.arrivals for replay in replays)
    full = sum(replay.full_answers for replay in replays) / arrivals
    busiest = sum(replay.busiest_to_mean() for replay in replays) / len(replays)
    return ' '.join([*columns, f'{full:6.3f} {busiest:6.2f}'])


def main() -> None:
    """Parse the command line and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument(
        '--shortage', action='store_true', help='patterns of a shortage, by class'
    )
    parser.add_argument('--only', default='', help='part of the names of the patterns')
    parser.add_argument(
        '--policies', nargs='+', default=list(SHORTAGE_POLICIES), help='for --shortage'
    )
    options = parser.parse_args()
    if options.shortage:
        print(
            f'{"":51} {"all":>13} {"urgent":>13} {"other":>13} {"full":>6} {"busiest":>6}'
        )
        patterns = [item for item in SHORTAGES if options.only in item.name]
        for line in compute_shortage_rows(
            patterns, range(options.seeds), options.policies
        ):
            print(line, flush=True)
        return
    print(f'{"":63} {"in time":>8} {"late":>8} {"unserved":>8} {"full":>6}')
    for line in compute_rows(range(options.seeds)):
        print(line, flush=True)


if __name__ == '__main__':
    main()
