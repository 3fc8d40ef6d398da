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
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random

sys.path.append(str(Path(__file__).resolve().parent.parent))

from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.routing.forwarder import Delivery, Forwarder
from cardamomtiller.forwarding.routing.options import (
    DEFAULT_FORWARDING,
    ForwardingOptions,
)
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig

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
    ``silent_upstreams`` stop answering at the same time.
    """

    name: str
    load: float
    outage_ms: float = 0.0
    return_ms: float = 400.0
    burst_factor: float = 1.0
    burst_ms: float = 0.0
    silent_upstreams: int = 0
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


@dataclass
class Request:
    """A request of a client over all its attempts."""

    started_ms: float
    work_ms: float
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
    busy_slots: int = 0
    queue: deque[tuple[Request, int]] = field(default_factory=deque)


class Instance:
    """A forwarder with its load reports, replaced by a new one after an outage."""

    def __init__(
        self, member: Member, options: ForwardingOptions, pattern: Pattern
    ) -> None:
        """Start without flows, with an entry of each upstream."""
        self.member = member
        self.started_ms = 0.0
        self._options = options
        self._pattern = pattern
        self.is_up = True
        self.restart(0)

    def restart(self, now_ms: float) -> None:
        """Replace the forwarder by one without any state."""
        self.is_up = True
        self.started_ms = now_ms
        self.forwarder: Forwarder = rig.make_forwarder((), options=self._options)
        self.forwarder.apply_configuration(
            rig.configuration(
                version=2,
                timeout_ms=self._pattern.deadline_ms,
                target_latency_ms=self._pattern.target_ms,
            ),
            now_ms,
        )
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

    def __init__(self, pattern: Pattern, seed: int, options: ForwardingOptions) -> None:
        """Create the upstream models and the instances."""
        self._pattern = pattern
        self._random = Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._ports = itertools.count(1)
        self.requests: list[Request] = []
        self.full_answers = 0
        self._request_by_port: dict[int, Request] = {}
        self._servers = {
            upstream_address(index): Server(
                pattern.slots, pattern.slots + pattern.queue_length
            )
            for index in range(pattern.upstreams)
        }
        self._instances = [
            Instance(
                Member(InstanceId(f'i-{index}'), DomainName('a'), f'10.0.0.{index}', 1),
                options,
                pattern,
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
        counts = dict.fromkeys(Outcome, 0)
        for request in self.requests:
            if request.started_ms < self._pattern.length_ms - self._pattern.deadline_ms:
                counts[self._outcome(request)] += 1
        return counts

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
        if not pattern.outage_ms:
            return
        for instance in self._instances:
            instance.is_up = False
            back_ms = self._now_ms + pattern.outage_ms
            back_ms += self._random.uniform(0, pattern.return_ms)
            self._schedule(
                back_ms, lambda instance=instance: instance.restart(self._now_ms)
            )

    def _tick(self) -> None:
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
                instance.member, report, self._now_ms
            )
            if answer is not None:
                instance.sharing.handle_report(receiver, answer, self._now_ms)

    def _release(self) -> None:
        for instance in self._live_instances():
            self._deliver(instance.forwarder.release_waiting(self._now_ms))
        self._schedule(self._now_ms + RELEASE_INTERVAL_MS, self._release)

    def _live_instances(self) -> list[Instance]:
        return [instance for instance in self._instances if instance.is_up]

    def _instance_of(self, port: int) -> Instance | None:
        """Return the instance that gets the packets of a flow at this moment."""
        live = self._live_instances()
        return live[port * 2654435761 % 2**32 % len(live)] if live else None

    def _start_request(self) -> None:
        pattern = self._pattern
        work_ms = pattern.work_ms * self._random.lognormvariate(-0.125, 0.5)
        request = Request(self._now_ms, work_ms)
        self.requests.append(request)
        self._start_attempt(request)
        is_burst = 0 <= self._now_ms - OUTAGE_START_MS < pattern.burst_ms
        load = pattern.load * (pattern.burst_factor if is_burst else 1.0)
        mean_pause_ms = pattern.work_ms / (load * pattern.upstreams * pattern.slots)
        pause_ms = self._random.expovariate(1 / mean_pause_ms)
        self._schedule(self._now_ms + pause_ms, self._start_request)

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
        self._handle(port, rig.opening(port, copy))

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
        datagram = rig.packet(port, seq=200, ack=500, size=40, token=token)
        self._handle_quietly(port, datagram)
        if server.busy_slots + len(server.queue) >= server.capacity:
            self.full_answers += 1
            self._close(port, token)
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
            self._now_ms + request.work_ms,
            lambda: self._finish(request, server, token),
        )

    def _finish(self, request: Request, server: Server, token: int) -> None:
        server.busy_slots -= 1
        if self._now_ms - request.started_ms <= self._pattern.deadline_ms:
            request.finished_ms = self._now_ms
        if request.port is not None:
            self._close(request.port, token)
        if server.queue:
            self._start_work(*server.queue.popleft()[:1], server, token)

    def _close(self, port: int, token: int) -> None:
        """Send the acknowledgement of the answer, and close the flow."""
        self._handle_quietly(port, rig.packet(port, seq=240, ack=900, token=token))
        self._handle_quietly(port, rig.closing(port, seq=240, ack=900, token=token))


def upstream_address(index: int) -> tuple[str, int]:
    """Return the address of an upstream of the model."""
    return f'10.0.1.{index + 1}', 8000


def count_in_time_with_one_queue(pattern: Pattern, requests: list[Request]) -> int:
    """
    Return how many requests are in time if all slots serve one queue.

    Requests that start while all instances are down arrive when the first one returns.
    """
    back_ms = OUTAGE_START_MS + pattern.outage_ms
    slots = pattern.slots * (pattern.upstreams - pattern.silent_upstreams)
    free_at_ms = [0.0] * slots
    in_time = 0
    for request in requests:
        if request.started_ms >= pattern.length_ms - pattern.deadline_ms:
            break
        arrival_ms = request.started_ms
        if OUTAGE_START_MS <= arrival_ms < back_ms:
            arrival_ms = back_ms
        end_ms = max(free_at_ms[0], arrival_ms) + request.work_ms
        if end_ms - request.started_ms <= pattern.target_ms:
            heapq.heapreplace(free_at_ms, end_ms)
            in_time += 1
    return in_time


POLICIES = {
    'no limit': DEFAULT_FORWARDING._replace(admission=rig.UNLIMITED),
    'limit and wait queue': DEFAULT_FORWARDING,
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


def main() -> None:
    """Parse the command line and print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    print(f'{"":63} {"in time":>8} {"late":>8} {"unserved":>8} {"full":>6}')
    for line in compute_rows(range(options.seeds)):
        print(line, flush=True)


if __name__ == '__main__':
    main()
