"""Randomised runs of the real data path and client library in virtual time.

The clock of the event loop jumps to the next timer, so a simulated minute takes
a few seconds. Only the sockets, the links to upstreams, the admission control and
the membership views are simulated; the upstreams are the stand-ins of
``tools.standins``. All random choices derive from one seed, so a run can be
repeated.
"""

import asyncio
import json
import random
import selectors
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from returns.result import Result, Success

from cardamomtiller import client as client_module
from cardamomtiller.accounts.admission import Permit, PermitKind, Refusal
from cardamomtiller.client import Client, ClientOptions, OpenError, Status
from cardamomtiller.counter import Counters
from cardamomtiller.datagrams.cookie import CookieSealer
from cardamomtiller.entrance.datagramsocket import DatagramSocket
from cardamomtiller.entrance.dataplane import DataPlane
from cardamomtiller.entrance.routing import RoutingView
from cardamomtiller.identity import (
    CustomerId,
    DomainName,
    Endpoint,
    Incarnation,
    InstanceId,
    OperatorState,
    PlanName,
    RegionName,
    ServiceClass,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.invariant import Invariants
from cardamomtiller.lists.catalog import Catalog, build_catalog
from cardamomtiller.lists.document import (
    CustomerRow,
    InstanceRow,
    KeyRow,
    PlanRow,
    ServiceRow,
    UpstreamRow,
)
from cardamomtiller.lists.settings import parse_settings
from cardamomtiller.membership.assignment import owners
from cardamomtiller.membership.view import InstanceState, Member, View
from cardamomtiller.serving.home import HomeIdentity, ServingContext
from cardamomtiller.serving.link import LinkListener, UpstreamLink
from cardamomtiller.serving.record import DuplicateRecord
from cardamomtiller.wire_pb2 import UpstreamFrame
from tools.standins import upstream as upstream_module
from tools.standins.upstream import Behaviour, Execution, Link, Upstream

SERVICES = (ServiceName('orders'), ServiceName('patterns'))
CUSTOMER = CustomerId('resort')
SECRET = b's' * 16
CLUSTER_KEY = b'c' * 16
DOMAIN = DomainName('d1')
REGION = RegionName('r1')
TICK_S = 0.02
FAILURE_DETECTION_S = 2.5
# A published change reaches every instance within this time.
MAX_PUBLICATION_DELAY_S = 2.0
# A leaving upstream gets no new flow after this time since its publication.
MAX_DRAIN_DELAY_S = 3.0
# The drained upstream is published as live again after this time.
DRAIN_DURATION_S = 7.0
REQUESTS_DURING_DRAIN = 12
COOKIE_LIFETIME_MS = 2000
FLOW_IDLE_MS = 3000
# Longer than the time until every instance has withdrawn the old sealing key.
IDLE_DURATION_S = 13.0
REQUEST_TIMEOUT_MS = 6000
WORK_CHOICES_MS = (1, 5, 20, 150)
# A home counts the timeout from the arrival of the packet, so a run may start later
# than the deadline of the client: by up to 60 ms on each of two hops, the largest
# delay of `lose_packets`, and by the delay of the link.
DEADLINE_TOLERANCE_S = 0.15
EVENTS = (
    'kill',
    'pause',
    'stop',
    'flap_views',
    'lose_packets',
    'break_link',
    'drain_upstream',
    'join',
    'rotate_key',
)
PLANNED_EVENTS = frozenset(('stop', 'drain_upstream', 'join', 'rotate_key'))
FIRST_INCARNATION = 1000
SETTINGS_TEXT = """
[instance]
name = x
region = r1
failure_domain = d1
peer_address = 127.0.0.1:1
cluster_key = 63636363636363636363636363636363
[source]
url = http://127.0.0.1:1
[flow]
keepalive_ms = 500
"""


class _VirtualClockSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError('the event loop has no timer and no ready socket')
        if not ready:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock and simulated datagram sockets."""

    def __init__(self) -> None:
        self._clock_selector = _VirtualClockSelector()
        self.network: Network | None = None
        super().__init__(self._clock_selector)

    def time(self) -> float:
        return self._clock_selector.now_s

    async def create_datagram_endpoint(self, protocol_factory, **options):
        protocol = protocol_factory()
        transport = self.network.open_caller_socket(protocol, options['remote_addr'])
        return transport, protocol


@dataclass
class Faults:
    """Probabilities of loss and duplication, and range of the delay, per datagram."""

    loss: float = 0
    duplication: float = 0
    delay_ms: tuple[float, float] = (0.3, 1.5)


class _CallerTransport(asyncio.DatagramTransport):
    """Simulated socket of a client."""

    def __init__(self, network, protocol, address: Endpoint, service: ServiceName):
        super().__init__()
        self._network = network
        self.protocol = protocol
        self.address = address
        self._service = service
        self._is_closed = False

    def sendto(self, data, addr=None):
        self._network.send_to_service(data, self.address, self._service)

    def is_closing(self):
        return self._is_closed

    def close(self):
        self._is_closed = True
        self._network.callers.pop(self.address, None)


class Network:
    """
    Simulated network that delivers datagrams with faults.

    Each datagram of a caller goes to a random instance of ``receivers``.
    """

    def __init__(self, loop: VirtualLoop, generator: random.Random) -> None:
        self.loop = loop
        self.generator = generator
        self.faults = Faults()
        self.callers: dict[Endpoint, _CallerTransport] = {}
        self.receivers: list[SimulatedInstance] = []
        self._next_port = 1

    def open_caller_socket(self, protocol, remote: tuple[str, int]) -> _CallerTransport:
        address = Endpoint('10.9.0.1', self._next_port)
        self._next_port += 1
        service = SERVICES[remote[1] - 1]
        transport = _CallerTransport(self, protocol, address, service)
        self.callers[address] = transport
        return transport

    def send_to_service(
        self, data: bytes, caller: Endpoint, service: ServiceName
    ) -> None:
        if self.receivers:
            target = self.generator.choice(self.receivers)
            self.deliver(lambda: target.receive(service, data, caller))

    def send_to_caller(self, data: bytes, caller: Endpoint) -> None:
        def receive() -> None:
            transport = self.callers.get(caller)
            if transport:
                transport.protocol.datagram_received(data, None)

        self.deliver(receive)

    def deliver(self, receive: Callable[[], None]) -> None:
        copy_count = 1 + (self.generator.random() < self.faults.duplication)
        for _ in range(copy_count):
            if self.generator.random() >= self.faults.loss:
                delay_ms = self.generator.uniform(*self.faults.delay_ms)
                self.loop.call_later(delay_ms / 1000, receive)


class _SimulatedSocket(DatagramSocket):
    """Socket of a simulated instance, connected to the simulated network."""

    def __init__(self, instance, address, receive, counters):
        self.address = address
        self.receive = receive
        self._instance = instance

    def start(self, loop):
        self._instance.sockets[self.address] = self

    def close(self, loop):
        self._instance.sockets.pop(self.address, None)

    def send(self, datagram, destination):
        self._instance.send(datagram, destination)

    def discard_waiting(self):
        return self._instance.discard_deferred(self)


@dataclass(eq=False)
class _UpstreamEnd(Link):
    """The upstream's side of a simulated link."""

    instance_link: 'SimulatedLink | None' = None

    def send(self, frame: UpstreamFrame) -> None:
        if self.is_open:
            self.instance_link.receive(
                UpstreamFrame.FromString(frame.SerializeToString())
            )


class SimulatedLink(UpstreamLink):
    """Simulated link that delivers frames in order, each after a random delay."""

    def __init__(self, fleet, instance, address, listener: LinkListener) -> None:
        self._fleet = fleet
        self._instance = instance
        self._address = address
        self._listener = listener
        self._upstream_end: _UpstreamEnd | None = None
        self._is_up = False
        self._last_arrival_s = 0.0

    @property
    def is_up(self) -> bool:
        return self._is_up

    def send(self, frame: UpstreamFrame, service_class: ServiceClass) -> bool:
        if not self._is_up:
            return False
        upstream_end, frame_copy = (
            self._upstream_end,
            UpstreamFrame.FromString(frame.SerializeToString()),
        )
        upstream = self._fleet.find_upstream(self._address)
        self._schedule_in_order(
            lambda: upstream_end.is_open and upstream.handle(upstream_end, frame_copy)
        )
        return True

    async def run(self) -> None:
        try:
            while True:
                if self._upstream_end is None and not self._instance.is_unreachable(
                    self._address
                ):
                    self._connect()
                await asyncio.sleep(0.1)
        finally:
            self.disconnect(is_reported=False)

    def _connect(self) -> None:
        upstream = self._fleet.find_upstream(self._address)
        if upstream is not None:
            self._upstream_end = _UpstreamEnd(writer=None, instance_link=self)
            upstream.accept(self._upstream_end)

    def receive(self, frame: UpstreamFrame) -> None:
        upstream_end = self._upstream_end

        def handle() -> None:
            if self._upstream_end is not upstream_end:
                return
            if frame.WhichOneof('body') == 'hello':
                self._is_up = True
                self._listener.handle_up(frame.hello)
            else:
                self._listener.handle_frame(frame)

        self._schedule_in_order(lambda: self._instance.run_or_defer(handle))

    def disconnect(self, *, is_reported: bool = True) -> None:
        if self._upstream_end is None:
            return
        self._upstream_end.is_open = False
        upstream = self._fleet.find_upstream(self._address)
        if upstream is not None:
            upstream.links.pop(self._upstream_end, None)
        self._upstream_end = None
        was_up, self._is_up = self._is_up, False
        if was_up and is_reported:
            self._instance.run_or_defer(self._listener.handle_down)

    def _schedule_in_order(self, action: Callable[[], object]) -> None:
        loop = self._fleet.loop
        delay_ms = self._fleet.generator.uniform(0.2, 1)
        self._last_arrival_s = max(
            self._last_arrival_s + 1e-6, loop.time() + delay_ms / 1000
        )
        loop.call_at(self._last_arrival_s, action)


class UnlimitedAdmission:
    """Admission control that admits every request and flow."""

    def admit_request(self, customer, bytes_count, now_ms) -> Result[Permit, Refusal]:
        return Success(Permit(0, customer, PermitKind.REQUEST, bytes_count))

    def admit_flow(self, customer, now_ms) -> Result[Permit, Refusal]:
        return Success(Permit(0, customer, PermitKind.FLOW, 0))

    def adopt_flow(self, customer, now_ms) -> Permit:
        return Permit(0, customer, PermitKind.FLOW, 0)

    def release(self, permit, now_ms) -> None:
        """Do nothing: no permit counts against a limit."""


class SimulatedInstance:
    """An instance: the real data path on simulated sockets and links."""

    def __init__(self, fleet: 'Fleet', row: InstanceRow, incarnation: int) -> None:
        self.fleet = fleet
        self.row = row
        self.incarnations = [Incarnation(incarnation)]
        self.state = InstanceState.LIVE
        self.is_alive = True
        self.is_paused = False
        self.unreachable_until_s: dict[Endpoint, float] = {}
        self.sockets: dict[Endpoint, _SimulatedSocket] = {}
        self.links: list[SimulatedLink] = []
        self.counters = Counters()
        self._revision = 0
        self._catalog = fleet.catalog
        self._deferred: deque[tuple[_SimulatedSocket | None, Callable[[], None]]] = (
            deque()
        )
        sealer = CookieSealer()
        self._identity = HomeIdentity(row.name, self.incarnations[0])
        self.data = DataPlane(
            self._make_routing_view(View()),
            fleet.settings,
            sealer,
            self.counters,
            (CLUSTER_KEY,),
            open_socket=lambda *arguments: _SimulatedSocket(self, *arguments),
            make_link=self._make_link,
        )
        flow_settings = fleet.settings.flow
        retention_ms = (
            flow_settings.cookie_lifetime_ms + flow_settings.longest_timeout_ms
        )
        context = ServingContext(
            identity=self._identity,
            settings=fleet.settings,
            sealer=sealer,
            record=DuplicateRecord(retention_ms),
            admission=UnlimitedAdmission(),
            output=self.data,
            counters=self.counters,
            invariants=Invariants(self.counters, is_enabled=True),
            clock_ms=lambda: fleet.loop.time() * 1000,
            generator=random.Random(incarnation),
        )
        self.data.start(row.peer_address, context)
        for port, service in enumerate(SERVICES, start=1):
            self.data.add_service(service, Endpoint(row.peer_address.host, port))

    def _make_link(self, address, listener, options, counters) -> SimulatedLink:
        link = SimulatedLink(self.fleet, self, address, listener)
        self.links.append(link)
        return link

    def _make_routing_view(self, view: View) -> RoutingView:
        return RoutingView(
            own_instance=self.row.name,
            incarnation=self.incarnations[-1],
            own_incarnations=frozenset(self.incarnations),
            catalog=self._catalog,
            membership=view,
            owners=owners(tuple(self._catalog.upstreams.values()), view),
        )

    def set_view(self, view: View, catalog: Catalog) -> None:
        if not self.is_alive or view.revision < self._revision:
            return
        self._revision = view.revision
        self._catalog = catalog
        self._identity.incarnation = self.incarnations[-1]
        now_ms = self.fleet.loop.time() * 1000
        self.run_or_defer(
            lambda: self.data.set_view(self._make_routing_view(view), now_ms)
        )

    def is_unreachable(self, address: Endpoint) -> bool:
        return self.unreachable_until_s.get(address, 0) > self.fleet.loop.time()

    def run_or_defer(
        self,
        action: Callable[[], None],
        receiving_socket: '_SimulatedSocket | None' = None,
    ) -> None:
        """
        Run the action now, after the pause, or never if the instance is killed.

        A deferred datagram is kept with its socket, for ``discard_waiting``.
        """
        if not self.is_alive:
            return
        if self.is_paused:
            self._deferred.append((receiving_socket, action))
        else:
            action()

    def discard_deferred(self, receiving_socket: '_SimulatedSocket') -> int:
        """Discard the datagrams in the buffer of a socket; return their number."""
        kept = [row for row in self._deferred if row[0] is not receiving_socket]
        dropped = len(self._deferred) - len(kept)
        self._deferred = deque(kept)
        return dropped

    def receive(self, service: ServiceName, data: bytes, caller: Endpoint) -> None:
        port = SERVICES.index(service) + 1
        address = Endpoint(self.row.peer_address.host, port)
        self.receive_at(address, data, caller)

    def receive_at(self, address: Endpoint, data: bytes, sender: Endpoint) -> None:
        receiving_socket = self.sockets.get(address)
        if receiving_socket:
            self.run_or_defer(
                lambda: receiving_socket.receive(data, sender), receiving_socket
            )

    def send(self, datagram: bytes, destination: Endpoint) -> None:
        network = self.fleet.network
        if destination.host.startswith('10.9.'):
            network.send_to_caller(datagram, destination)
            return
        sender = self.row.peer_address
        for other in self.fleet.instances:
            if other.row.peer_address == destination:
                network.deliver(
                    partial(other.receive_at, destination, datagram, sender)
                )

    def tick(self) -> None:
        if self.is_alive and not self.is_paused:
            self.data.tick(self.fleet.loop.time() * 1000)

    def pause(self, seconds: float) -> None:
        self.is_paused = True
        self.fleet.loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        self.is_paused = False
        while self._deferred:
            _receiving_socket, action = self._deferred.popleft()
            action()

    def kill(self) -> None:
        self.is_alive = False
        for link in self.links:
            link.disconnect(is_reported=False)
        self.data.close()


@dataclass
class RequestOutcome:
    """Answer that a caller received for a request."""

    token: str
    is_idempotent: bool
    status: Status
    reason: str


@dataclass
class Report:
    """Results and detected faults of one run."""

    outcomes: list[RequestOutcome] = field(default_factory=list)
    executions: dict[str, int] = field(default_factory=dict)
    double_runs: list[str] = field(default_factory=list)
    false_not_run: list[str] = field(default_factory=list)
    wrong_answers: list[str] = field(default_factory=list)
    misrouted: int = 0
    broken_flows: int = 0
    resumed_flows: int = 0
    unopened_callers: int = 0
    overdue_requests: int = 0
    flows_after_drain_bound: int = 0
    runs_after_deadline: list[str] = field(default_factory=list)
    unknown_after_planned_change: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)

    def faults(self) -> tuple[str, ...]:
        """Return a line for each violated guarantee, with the evidence."""
        return tuple(
            f'{name}: {evidence}'
            for name, evidence in self._list_checks().items()
            if evidence
        )

    def _list_checks(self) -> dict[str, object]:
        return {
            'non-idempotent request run twice': self.double_runs,
            'executed request reported as not run': self.false_not_run,
            'wrong answer': self.wrong_answers,
            'request of another service': self.misrouted,
            'request overdue': self.overdue_requests,
            'flow broken': self.broken_flows,
            'flow of a caller not opened': self.unopened_callers,
            'new flow after the drain bound': self.flows_after_drain_bound,
            'run started after its deadline': self.runs_after_deadline,
            'outcome unknown after a planned change': self.unknown_after_planned_change,
            'invariant violated': self.violations,
            'exception': self.errors,
        }

    def count(self, status: Status) -> int:
        return sum(outcome.status is status for outcome in self.outcomes)


class Fleet:
    """The instances, upstreams, callers and events of one run."""

    def __init__(self, loop: VirtualLoop, seed: int, *, is_short_lived: bool) -> None:
        self.loop = loop
        self.generator = random.Random(seed)
        self.network = Network(loop, self.generator)
        loop.network = self.network
        self.settings = parse_settings(SETTINGS_TEXT, 'simulation').unwrap()
        if is_short_lived:
            self.settings.flow.cookie_lifetime_ms = COOKIE_LIFETIME_MS
            self.settings.flow.flow_idle_ms = FLOW_IDLE_MS
        self.report = Report()
        self.counters: list[Counters] = []
        self.deadlines_s: dict[str, float] = {}
        self._request_tasks: list[asyncio.Task[None]] = []
        self._sealing_keys: tuple[KeyRow, ...] = (
            KeyRow(1, b'k' * 16, is_current=True),
        )
        loop.set_exception_handler(self._record_error)
        self.instances: list[SimulatedInstance] = []
        self.upstreams: dict[Endpoint, Upstream] = {}
        self.clients: list[Client] = []
        self._instance_rows = [_make_instance_row(number) for number in range(5)]
        self._incarnation = FIRST_INCARNATION
        self._last_token = 0
        self._revision = 0
        self._upstream_rows = [
            make_upstream_row(number, service)
            for number, service in enumerate(SERVICES * 2, start=1)
        ]
        self.catalog: Catalog = build_catalog(self._list_document_rows())

    def _list_document_rows(self) -> Iterator[object]:
        yield PlanRow(PlanName('gold'), 1e6, 10000, 10000, 1e12, 1)
        yield CustomerRow(CUSTOMER, PlanName('gold'), (SECRET,))
        yield from self._sealing_keys
        for service in SERVICES:
            yield ServiceRow(service, (), (), None)
        yield from self._upstream_rows
        yield from self._instance_rows

    def _record_error(self, _loop: asyncio.AbstractEventLoop, context) -> None:
        error = context.get('exception')
        if error is not None:
            self.report.errors.append(repr(error))

    def find_upstream(self, address: Endpoint) -> Upstream | None:
        return self.upstreams.get(address)

    def start_upstream(self, row: UpstreamRow) -> None:
        behaviour = Behaviour(slots=row.slots, push_interval_ms=700)
        upstream = Upstream(row.name, row.service, behaviour)
        self.upstreams[row.address] = upstream
        self.loop.create_task(upstream.run_timers())

    def start_instance(self, row: InstanceRow) -> SimulatedInstance:
        self._incarnation += 1
        instance = SimulatedInstance(self, row, self._incarnation)
        self.instances.append(instance)
        self.counters.append(instance.counters)
        self.network.receivers.append(instance)
        self.publish_view(0)
        return instance

    def make_view(self) -> View:
        members = {}
        for instance in self.instances:
            name = instance.row.name
            incarnation = instance.incarnations[-1]
            members[name] = Member(instance.row, instance.state, incarnation)
        serving = tuple(
            sorted(
                name
                for name, member in members.items()
                if member.state is InstanceState.LIVE
            ),
        )
        self._revision += 1
        return View(self._revision, members, {DOMAIN: serving}, {REGION: serving})

    def publish_view(self, max_delay_s: float) -> None:
        """Send the current view and catalog to each instance after a random delay."""
        view = self.make_view()
        for instance in self.instances:
            delay_s = self.generator.uniform(0, max_delay_s)
            self.loop.call_later(delay_s, instance.set_view, view, self.catalog)

    # Events

    def kill(self) -> str:
        instance = self._select_live_instance()
        if instance is None:
            return 'nothing'
        instance.kill()
        self.loop.call_later(FAILURE_DETECTION_S, self._declare_dead, instance)
        self.loop.call_later(0.5, self._remove_receiver, instance)
        self.loop.call_later(5, self._replace_instance, instance)
        return f'kill {instance.row.name}'

    def pause(self) -> str:
        instance = self._select_live_instance()
        if instance is None:
            return 'nothing'
        seconds = self.generator.choice((0.4, 1.5, 6.0, 9.0))
        instance.pause(seconds)
        if seconds > FAILURE_DETECTION_S:
            self.loop.call_later(FAILURE_DETECTION_S, self._declare_dead, instance)
            self.loop.call_later(seconds + 0.5, self._declare_live, instance)
        return f'pause {instance.row.name} for {seconds} s'

    def stop(self) -> str:
        instance = self._select_live_instance()
        if instance is None:
            return 'nothing'
        instance.state = InstanceState.LEAVING
        self.publish_view(1)
        self.loop.create_task(self._drain_instance(instance))
        return f'stop {instance.row.name}'

    def flap_views(self) -> str:
        """Declare a live instance dead, so that the views of the instances differ."""
        instance = self._select_live_instance()
        if instance is None:
            return 'nothing'
        instance.state = InstanceState.DEAD
        self.publish_view(2)
        self.loop.call_later(1.5, self._declare_live, instance)
        return f'declare {instance.row.name} dead although it is alive'

    def lose_packets(self) -> str:
        self.network.faults = Faults(0.2, 0.1, (0.3, 60))
        self.loop.call_later(3, self._clear_faults)
        return 'loss, duplication and reordering for 3 s'

    def break_link(self) -> str:
        instance = self._select_live_instance()
        if instance is None or not instance.links:
            return 'nothing'
        link = self.generator.choice(instance.links)
        link.disconnect()
        return f'break a link of {instance.row.name}'

    def drain_upstream(self) -> str:
        """Publish an upstream as leaving, and later as live again."""
        rows = self._upstream_rows
        if any(row.state is OperatorState.LEAVING for row in rows):
            return 'nothing'
        row = self.generator.choice(rows)
        self._publish_upstream(row.name, OperatorState.LEAVING)
        upstream = self.upstreams[row.address]
        self.loop.call_later(MAX_DRAIN_DELAY_S, self._start_drain_check, upstream)
        live = OperatorState.LIVE
        self.loop.call_later(DRAIN_DURATION_S, self._publish_upstream, row.name, live)
        self._request_tasks += [
            self.loop.create_task(self._send_single_request(number * 0.5, row.service))
            for number in range(REQUESTS_DURING_DRAIN)
        ]
        return f'drain {row.name}'

    def join(self) -> str:
        """Start another instance, which takes over some of the upstreams."""
        present = {instance.row.name for instance in self.instances}
        absent = [row for row in self._instance_rows if row.name not in present]
        if not absent:
            return 'nothing'
        self.start_instance(absent[0])
        self.publish_view(1)
        return f'join {absent[0].name}'

    def rotate_key(self) -> str:
        """Publish a second sealing key, make it current, then withdraw the first."""
        if len(self._sealing_keys) > 1:
            return 'nothing'
        old_key = self._sealing_keys[0]
        new_key = KeyRow(
            old_key.key_id + 1, bytes((old_key.key_id,)) * 16, is_current=False
        )
        self._publish_keys(old_key, new_key)
        activation_delay_s = MAX_PUBLICATION_DELAY_S + 0.5
        accepted_key = replace(old_key, is_current=False)
        current_key = replace(new_key, is_current=True)
        self.loop.call_later(
            activation_delay_s, self._publish_keys, current_key, accepted_key
        )
        idle_task = self.loop.create_task(self._request_after_idling())
        self._request_tasks.append(idle_task)
        flow_settings = self.settings.flow
        old_key_retention_s = (
            flow_settings.cookie_lifetime_ms + flow_settings.flow_idle_ms
        ) / 1000
        withdrawal_delay_s = (
            activation_delay_s + MAX_PUBLICATION_DELAY_S + old_key_retention_s
        )
        self.loop.call_later(withdrawal_delay_s, self._publish_keys, current_key)
        return f'rotate to sealing key {new_key.key_id}'

    def _publish_keys(self, *keys: KeyRow) -> None:
        self._sealing_keys = keys
        self._publish()

    def _publish_upstream(self, name: UpstreamId, state: OperatorState) -> None:
        self._upstream_rows = [
            replace(row, state=state) if row.name == name else row
            for row in self._upstream_rows
        ]
        self._publish()

    def _publish(self) -> None:
        self.catalog = build_catalog(self._list_document_rows())
        self.publish_view(MAX_PUBLICATION_DELAY_S)

    def _start_drain_check(self, upstream: Upstream) -> None:
        opens_before = upstream.counts['flow_opens_new']
        # An instance may apply the publication that ends the drain without delay.
        remaining_s = DRAIN_DURATION_S - MAX_DRAIN_DELAY_S - 0.01
        self.loop.call_later(
            remaining_s, self._count_late_flows, upstream, opens_before
        )

    def _count_late_flows(self, upstream: Upstream, opens_before: int) -> None:
        self.report.flows_after_drain_bound += (
            upstream.counts['flow_opens_new'] - opens_before
        )

    async def _request_after_idling(self) -> None:
        """Send a request on a flow that was idle until the old key was withdrawn."""
        await self._send_single_request(0, SERVICES[0], idle_s=IDLE_DURATION_S)

    async def _send_single_request(
        self, start_delay_s: float, service: ServiceName, idle_s: float = 0
    ) -> None:
        await asyncio.sleep(start_delay_s)
        number = len(self.clients)
        address = Endpoint('10.8.0.1', SERVICES.index(service) + 1)
        client = Client(address, CUSTOMER, SECRET, ClientOptions())
        self.clients.append(client)
        try:
            await client.open()
        except OpenError:
            self.report.unopened_callers += 1
            return
        await asyncio.sleep(idle_s)
        token = self._next_token()
        await self._send_request(client, service, token, 'write', number, token)
        await client.close()

    def _clear_faults(self) -> None:
        self.network.faults = Faults()

    def _select_live_instance(self) -> SimulatedInstance | None:
        live = [
            instance
            for instance in self.instances
            if instance.is_alive
            and not instance.is_paused
            and instance.state is InstanceState.LIVE
        ]
        return self.generator.choice(live) if len(live) > 2 else None

    def _declare_dead(self, instance: SimulatedInstance) -> None:
        instance.state = InstanceState.DEAD
        self.publish_view(1)

    def _declare_live(self, instance: SimulatedInstance) -> None:
        if instance.is_alive and instance.state is InstanceState.DEAD:
            self._incarnation += 1
            instance.incarnations.append(Incarnation(self._incarnation))
            instance.state = InstanceState.LIVE
            self.publish_view(1)

    def _remove_receiver(self, instance: SimulatedInstance) -> None:
        if instance in self.network.receivers:
            self.network.receivers.remove(instance)

    def _replace_instance(self, instance: SimulatedInstance) -> None:
        self.instances.remove(instance)
        self.start_instance(instance.row)

    async def _drain_instance(self, instance: SimulatedInstance) -> None:
        begin_s = self.loop.time()
        min_drain_s = 3 * self.settings.flow.keepalive_ms / 1000
        self.loop.call_later(1.0, self._remove_receiver, instance)
        while self.loop.time() - begin_s < 30:
            await asyncio.sleep(TICK_S)
            instance.data.retire_all(self.loop.time() * 1000)
            if self.loop.time() - begin_s > min_drain_s and instance.data.is_drained:
                break
        instance.kill()
        self._declare_dead(instance)
        self.loop.call_later(3, self._replace_instance, instance)

    # Load

    async def run_caller(self, number: int, end_s: float) -> None:
        """Run a caller: write tokens, read them back, and send echo requests."""
        service = SERVICES[number % len(SERVICES)]
        address = Endpoint('10.8.0.1', number % len(SERVICES) + 1)
        client = Client(address, CUSTOMER, SECRET, ClientOptions())
        self.clients.append(client)
        try:
            await client.open()
        except OpenError:
            self.report.unopened_callers += 1
            return
        written_token: str | None = None
        flow = client.flow
        generator = random.Random(f'{number} {self.generator.random()}')
        while self.loop.time() < end_s:
            if client.flow != flow:
                flow, written_token = client.flow, None
            if generator.random() < 0.6:
                written_token = await self._write(client, service, number, generator)
            else:
                await self._read(client, service, number, written_token, flow)
            await asyncio.sleep(generator.uniform(0, 0.2))
        await client.close()

    async def _write(self, client, service, number, generator) -> str | None:
        token = self._next_token()
        answer = await self._send_request(
            client, service, token, 'write', number, token
        )
        size = generator.choice((0, 0, 0, 5000))
        if size:
            echo_token = self._next_token()
            body = echo_token * size
            echo_answer = await self._send_request(
                client, service, echo_token, 'echo', number, body
            )
            if (
                echo_answer.status is Status.DONE
                and echo_answer.payload.decode() != body
            ):
                self.report.wrong_answers.append(f'echo {echo_token}')
        return token if answer.status is Status.DONE else None

    async def _read(self, client, service, number, written_token, flow) -> None:
        token = self._next_token()
        answer = await self._send_request(client, service, token, 'read', number, '')
        is_same_flow = client.flow == flow
        if answer.status is Status.DONE and written_token and is_same_flow:
            if answer.payload.decode() != written_token:
                self.report.wrong_answers.append(f'read {token} after {written_token}')

    async def _send_request(self, client, service, token, operation, number, body):
        header = {
            'op': operation,
            'key': f'caller-{number}',
            'token': token,
            'service': service,
            'work_ms': self.generator.choice(WORK_CHOICES_MS),
        }
        payload = json.dumps(header).encode() + b'\n' + body.encode()
        is_idempotent = operation == 'read'
        begin_s = self.loop.time()
        timeout_ms = REQUEST_TIMEOUT_MS
        self.deadlines_s[token] = begin_s + timeout_ms / 1000
        answer = await client.request(
            payload,
            is_idempotent=is_idempotent,
            timeout_ms=timeout_ms,
        )
        if self.loop.time() - begin_s > timeout_ms / 1000 + 1:
            self.report.overdue_requests += 1
        outcome = RequestOutcome(token, is_idempotent, answer.status, answer.reason)
        self.report.outcomes.append(outcome)
        return answer

    def _next_token(self) -> str:
        self._last_token += 1
        return f't{self._last_token}.'

    # Run

    async def run(self, seconds: float, callers: int, events: tuple[str, ...]) -> None:
        for row in self._upstream_rows:
            self.start_upstream(row)
        for row in self._instance_rows[:4]:
            self.start_instance(row)
        tick_task = self.loop.create_task(self._tick())
        await asyncio.sleep(1)
        end_s = self.loop.time() + seconds
        caller_tasks = [
            self.loop.create_task(self.run_caller(number, end_s))
            for number in range(callers)
        ]
        while events and self.loop.time() < end_s - 4:
            await asyncio.sleep(self.generator.uniform(0.5, 4))
            event = self.generator.choice(events)
            description = getattr(self, event)()
            self.report.events.append(f'{self.loop.time() - end_s:.1f} {description}')
        await asyncio.gather(*caller_tasks, *self._request_tasks)
        await asyncio.sleep(10)
        tick_task.cancel()
        self._collect(is_planned=set(events) <= PLANNED_EVENTS)

    async def _tick(self) -> None:
        while True:
            for instance in tuple(self.instances):
                instance.tick()
            await asyncio.sleep(TICK_S)

    def _collect(self, *, is_planned: bool) -> None:
        report = self.report
        for counters in self.counters:
            report.violations.extend(
                name for name in counters.counts() if name.startswith('invariant.')
            )
        for upstream in self.upstreams.values():
            report.misrouted += upstream.counts['misrouted_requests']
            for execution in upstream.executions:
                runs = report.executions.get(execution.token, 0)
                report.executions[execution.token] = runs + 1
                if execution.started_ms / 1000 > self._latest_start_s(execution):
                    report.runs_after_deadline.append(execution.token)
        for outcome in report.outcomes:
            runs = report.executions.get(outcome.token, 0)
            if runs > 1 and not outcome.is_idempotent:
                report.double_runs.append(outcome.token)
            if is_planned and outcome.status is Status.UNKNOWN:
                report.unknown_after_planned_change.append(
                    f'{outcome.token} {outcome.reason}'
                )
            if runs and outcome.status is Status.NOT_RUN:
                report.false_not_run.append(f'{outcome.token} {outcome.reason}')
        report.broken_flows = sum(client.counts.broken for client in self.clients)
        report.resumed_flows = sum(client.counts.resumed for client in self.clients)

    def _latest_start_s(self, execution: Execution) -> float:
        return self.deadlines_s[execution.token] + DEADLINE_TOLERANCE_S


def simulate(
    seed: int,
    seconds: float = 30,
    callers: int = 12,
    events: tuple[str, ...] = (),
) -> Report:
    """Run the simulation and return its report; a seed always gives the same run."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    random.seed(seed)
    original_now_ms = upstream_module.now_ms
    original_urandom = client_module.os.urandom
    client_module.os.urandom = random.Random(seed).randbytes
    upstream_module.now_ms = lambda: loop.time() * 1000
    # A key is withdrawn after the cookie lifetime and the idle timeout, which must end
    # within the run. With faults, a flow may stay silent longer than a short timeout.
    is_short_lived = 'rotate_key' in events and set(events) <= PLANNED_EVENTS
    fleet = Fleet(loop, seed, is_short_lived=is_short_lived)
    try:
        loop.run_until_complete(fleet.run(seconds, callers, events))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
        upstream_module.now_ms = original_now_ms
        client_module.os.urandom = original_urandom
    return fleet.report


def _make_instance_row(number: int) -> InstanceRow:
    address = Endpoint(f'10.0.0.{number + 1}', 9)
    name = InstanceId(f'i{number}')
    return InstanceRow(name, DOMAIN, REGION, address, OperatorState.LIVE)


def make_upstream_row(number: int, service: ServiceName) -> UpstreamRow:
    return UpstreamRow(
        name=UpstreamId(f'u{number}'),
        service=service,
        domain=DOMAIN,
        region=REGION,
        address=Endpoint('10.1.0.1', number),
        stream_address=None,
        slots=2,
        state=OperatorState.LIVE,
    )
