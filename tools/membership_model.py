"""
Simulated fleet that runs the production decision code on a simulated clock.

Membership, exchanger and snapshots are the production classes. Delayed function
calls, some of which are dropped, replace the sockets and the configuration service.
Messages are serialized and sealed, so their sizes equal the payload on the wire.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cardamomtiller.counter import Counters
from cardamomtiller.identity import (
    DomainName,
    Endpoint,
    InstanceId,
    OperatorState,
    RegionName,
    UpstreamId,
)
from cardamomtiller.lists.document import Document, InstanceRow
from cardamomtiller.lists.snapshot import SnapshotStore
from cardamomtiller.membership.membership import Membership
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.rumor import make_incarnation
from cardamomtiller.peer_pb2 import Sealed
from cardamomtiller.peering.exchangeparts import ControlHandler
from cardamomtiller.peering.exchanger import Exchanger
from cardamomtiller.peering.fetching import FetchGuard
from cardamomtiller.peering.reader import DocumentIntake

KEY = b'k' * 32
TICK_MS = 50.0
START_MS = 1_000_000.0
UNIX_MS = 1_790_000_000_000.0
DEFAULTS = MembershipOptions(
    probe_interval_ms=500,
    probe_timeout_ms=400,
    suspect_ms=1500,
    probe_successors=3,
    late_wake_ms=1000,
)


@dataclass
class Network:
    """Delay, loss and partitions of the network between instances."""

    delay_ms: tuple[float, float] = (0.5, 2.0)
    loss: float = 0.0
    # Side of a partition by instance, 0 by default; messages between sides are lost.
    sides: dict[InstanceId, int] = field(default_factory=dict)

    def is_cut(self, first: InstanceId, second: InstanceId) -> bool:
        """Return whether two instances are on different sides of the partition."""
        return self.sides.get(first, 0) != self.sides.get(second, 0)


@dataclass
class Node:
    """Process of one simulated instance."""

    membership: Membership
    intake: DocumentIntake
    exchanger: Exchanger
    guard: FetchGuard
    counters: Counters
    announced_digest: bytes = b''
    is_up: bool = True
    paused_until_ms: float = 0.0
    # Calls that became due during a pause; they run when the process resumes.
    deferred_calls: list[Callable[[], None]] = field(default_factory=list)
    sent_bytes: int = 0
    sent_messages: int = 0


def make_rows(
    count: int,
    domains: int,
    regions: int = 1,
    first_port: int = 10_000,
) -> tuple[InstanceRow, ...]:
    """Return published instances, distributed evenly over failure domains."""
    return tuple(
        InstanceRow(
            name=InstanceId(f'instance-{index:03}'),
            domain=DomainName(f'domain-{index % domains}'),
            region=RegionName(f'region-{index % domains % regions}'),
            peer_address=Endpoint('127.0.0.1', first_port + index),
            state=OperatorState.LIVE,
        )
        for index in range(count)
    )


class Model:
    """Fleet, network and event queue; a run is deterministic for its seed."""

    def __init__(
        self,
        rows: Iterable[InstanceRow],
        seed: int = 1,
        options: MembershipOptions = DEFAULTS,
        membership_class: type[Membership] = Membership,
    ) -> None:
        """Prepare the published instances; ``start`` starts their processes."""
        self.rows = {row.name: row for row in rows}
        self.options = options
        self.network = Network()
        self.now_ms = START_MS
        self.nodes: dict[InstanceId, Node] = {}
        self.random = random.Random(seed)
        self.event_count = 0
        self._membership_class = membership_class
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def start(self, name: InstanceId, clock_step_ms: float = 0.0) -> Node:
        """Start or restart a process; its wall clock is ahead by ``clock_step_ms``."""
        counters = Counters()
        unix_ms = UNIX_MS + self.now_ms + clock_step_ms
        membership = self._membership_class(
            self.rows[name],
            self.options,
            make_incarnation(unix_ms, self.random.getrandbits(20)),
            self.now_ms,
            counters,
        )
        intake = DocumentIntake(SnapshotStore(), counters, lambda now_ms: None)
        handler = ControlHandler(membership, intake.store.digest)
        exchanger = Exchanger((KEY,), membership, handler, intake, counters)
        node = Node(membership, intake, exchanger, FetchGuard(), counters)
        membership.set_published(self.rows.values(), self.now_ms)
        membership.set_live(self.now_ms)
        self.nodes[name] = node
        self.schedule(self.random.uniform(0, TICK_MS), lambda: self._tick(name, node))
        return node

    def start_all(self) -> None:
        """Start every published instance."""
        for name in self.rows:
            self.start(name)

    def kill(self, name: InstanceId) -> None:
        """Stop a process without notice."""
        self.nodes[name].is_up = False

    def pause(self, name: InstanceId, pause_ms: float) -> None:
        """Pause a process; messages received meanwhile are handled on resume."""
        node = self.nodes[name]
        node.paused_until_ms = self.now_ms + pause_ms
        self.schedule(pause_ms, lambda: self._resume(node))

    def publish(self, rows: Iterable[InstanceRow], spread_ms: float = 0.0) -> None:
        """Change the published list; it reaches each instance within ``spread_ms``."""
        self.rows = {row.name: row for row in rows}
        published = tuple(self.rows.values())
        for node in self.nodes.values():
            delay_ms = self.random.uniform(0, spread_ms)
            self.schedule(
                delay_ms,
                lambda node=node: node.membership.set_published(published, self.now_ms),
            )

    def offer(self, name: InstanceId, document: Document) -> None:
        """Pass a document to one instance as its configuration reader does."""
        self.nodes[name].intake.offer((document,), self.now_ms)

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Run a function after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._sequence), call))

    def run(self, duration_ms: float) -> None:
        """Process the events of the next ``duration_ms``."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _number, call = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, due_ms)
            self.event_count += 1
            call()
        self.now_ms = end_ms

    def run_until(
        self,
        condition: Callable[[], bool],
        limit_ms: float,
        step_ms: float = 20.0,
    ) -> float | None:
        """Return the time until a condition holds; None after ``limit_ms``."""
        start_ms = self.now_ms
        while not condition():
            if self.now_ms - start_ms >= limit_ms:
                return None
            self.run(step_ms)
        return self.now_ms - start_ms

    def running_nodes(self) -> list[Node]:
        """Return the processes that are up and not paused."""
        return [node for node in self.nodes.values() if self._is_running(node)]

    def serving(self, node: Node) -> frozenset[InstanceId]:
        """Return the instances that can own upstreams in the view of a node."""
        return frozenset(node.membership.current_view().serving_all())

    def agree(self, expected: frozenset[InstanceId]) -> bool:
        """Return whether ``serving`` of every running node equals ``expected``."""
        return all(self.serving(node) == expected for node in self.running_nodes())

    def all_have_version(self, name: str, version: int) -> bool:
        """Return whether all running nodes have this or a later version."""
        return all(
            node.intake.store.versions().get(name, -1) >= version
            for node in self.running_nodes()
        )

    def _is_running(self, node: Node) -> bool:
        return node.is_up and self.now_ms >= node.paused_until_ms

    def _resume(self, node: Node) -> None:
        calls, node.deferred_calls = node.deferred_calls, []
        for call in calls:
            call()

    def _deliver(self, node: Node, call: Callable[[], None]) -> None:
        if not node.is_up:
            return
        if self.now_ms < node.paused_until_ms:
            node.deferred_calls.append(call)
            return
        call()

    def _tick(self, name: InstanceId, node: Node) -> None:
        if self.nodes.get(name) is not node or not node.is_up:
            return
        if self.now_ms < node.paused_until_ms:
            node.deferred_calls.append(lambda: self._tick(name, node))
            return
        digest = node.intake.store.digest()
        if digest != node.announced_digest:
            node.announced_digest = digest
            node.membership.expedite_exchanges(self.now_ms)
        for target in node.membership.probe_targets(self.now_ms):
            self._exchange(name, node, target)
        self.schedule(TICK_MS, lambda: self._tick(name, node))

    def _exchange(self, name: InstanceId, node: Node, target: InstanceId) -> None:
        request = node.exchanger.compose(target, self.now_ms)
        request_body = request.sealed.SerializeToString()
        is_finished = False

        def handle_answer(answer_body: bytes | None) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            sealed = None if answer_body is None else Sealed.FromString(answer_body)
            accepted = node.exchanger.accept(request, sealed, self.now_ms)
            if accepted is not None:
                self._fetch_if_different(
                    name, node, target, accepted.configuration_digest
                )

        def handle_request(peer: Node) -> None:
            result = peer.exchanger.answer(Sealed.FromString(request_body), self.now_ms)
            accepted_request = result.value_or(None)
            if accepted_request is None:
                self._send(target, name, b'', peer, lambda _peer: handle_answer(None))
                return
            reply_body = accepted_request.sealed.SerializeToString()
            self._send(
                target, name, reply_body, peer, lambda _peer: handle_answer(reply_body)
            )
            digest = accepted_request.request.configuration_digest
            self._fetch_if_different(target, peer, name, digest)

        self._send(name, target, request_body, node, handle_request)
        timeout_ms = self.options.probe_timeout_ms
        self.schedule(
            timeout_ms, lambda: self._deliver(node, lambda: handle_answer(None))
        )

    def _fetch_if_different(
        self,
        name: InstanceId,
        node: Node,
        target: InstanceId,
        digest: bytes,
    ) -> None:
        digests = (digest, node.intake.store.digest())
        if not node.guard.try_start(digests, self.now_ms):
            return
        request, sealed = node.exchanger.compose_fetch()
        request_body = sealed.SerializeToString()
        is_finished = False

        def handle_answer(answer: Sealed | None) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            is_answered = node.exchanger.accept_fetch(request, answer, self.now_ms)
            node.guard.finish(digests, is_answered=is_answered)

        def handle_request(peer: Node) -> None:
            result = peer.exchanger.answer_fetch(
                Sealed.FromString(request_body), self.now_ms
            )
            response = result.value_or(None)
            response_body = b'' if response is None else response.SerializeToString()
            self._send(
                target, name, response_body, peer, lambda _peer: handle_answer(response)
            )

        self._send(name, target, request_body, node, handle_request)
        self.schedule(3000, lambda: self._deliver(node, lambda: handle_answer(None)))

    def _send(
        self,
        source: InstanceId,
        target: InstanceId,
        data: bytes,
        node: Node,
        handle_message: Callable[[Node], None],
    ) -> None:
        node.sent_bytes += len(data)
        node.sent_messages += 1
        if self.random.random() < self.network.loss:
            return
        if self.network.is_cut(source, target):
            return
        delay_ms = self.random.uniform(*self.network.delay_ms)
        peer = self.nodes.get(target)
        if peer is not None:
            self.schedule(
                delay_ms, lambda: self._deliver(peer, lambda: handle_message(peer))
            )


def find_moved(
    owners_before: dict[UpstreamId, InstanceId],
    owners_after: dict[UpstreamId, InstanceId],
) -> list[UpstreamId]:
    """Return the upstreams that have an owner now and had another or none."""
    return [
        name for name, owner in owners_after.items() if owners_before.get(name) != owner
    ]
