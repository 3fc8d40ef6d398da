"""Fleet of lease agents under a driven clock and an unreliable network.

Used by the tests and by the benchmark: the agents are the real ones, only the
clock and the delivery of messages are supplied.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from cardamomtiller.accounts.admission import Admission
from cardamomtiller.accounts.allowance import Allowance
from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.identity import (
    CustomerId,
    DomainName,
    Incarnation,
    InstanceId,
    PlanName,
)
from cardamomtiller.lists.catalog import Catalog, build_catalog
from cardamomtiller.lists.document import CustomerRow, PlanRow
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport
from cardamomtiller.settings_pb2 import LeaseSettings

DEFAULTS = LeaseSettings(
    lease_ms=2000, silence_ms=1500, reserved_share=0.05, burst_ms=1000
)
AgentFactory = Callable[[InstanceId, Incarnation, LeaseSettings, float], LeaseAgent]


def make_catalog(plans: dict[str, Allowance]) -> Catalog:
    """Return a catalog with one plan for each customer."""
    rows: list[PlanRow | CustomerRow] = []
    for name, plan in plans.items():
        rows.append(PlanRow(PlanName(name), *plan.as_tuple(), weight=1))
        rows.append(CustomerRow(CustomerId(name), PlanName(name), ()))
    return build_catalog(rows)


@dataclass
class SimulatedInstance:
    """One instance: its agent, its clock and what it knows."""

    name: InstanceId
    domain: DomainName
    agent: LeaseAgent
    admission: Admission
    offset_ms: float
    clock_rate: float
    is_running: bool = True
    plans: dict[str, Allowance] = field(default_factory=dict)
    # Demands set by a test; None if the admission measures them.
    demands: dict[CustomerId, Allowance] | None = None
    pending: list[Callable[[], None]] = field(default_factory=list)
    # Shares in force, until when, and the generation of the agent.
    shares: dict[str, tuple[Allowance, float, int]] = field(default_factory=dict)
    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0

    def clock_ms(self, now_ms: float) -> float:
        """Return the time of this instance's own clock."""
        return self.offset_ms + now_ms * self.clock_rate

    def share(self, customer: str, now_ms: float) -> Allowance:
        """Return the share as the admission sees it, kept until it may change."""
        clock_ms = self.clock_ms(now_ms)
        kept = self.shares.get(customer)
        generation = self.agent.generation
        if kept is None or clock_ms >= kept[1] or kept[2] != generation:
            found = self.agent.share_until(CustomerId(customer), clock_ms)
            kept = self.shares[customer] = (*found, generation)
        return kept[0]


class Fleet:
    """Agents, clocks and a network, advanced in steps."""

    def __init__(
        self,
        count: int,
        domains: int,
        seed: int = 0,
        settings: LeaseSettings = DEFAULTS,
        make_agent: AgentFactory = LeaseAgent,
        clock_error: float = 0,
    ) -> None:
        """Start ``count`` instances, spread over the failure domains."""
        self.now_ms = 0.0
        self.random = random.Random(seed)
        self.settings = settings
        self.delay_ms = (0.5, 1.5)
        self.loss = 0.0
        self.duplication = 0.0
        self.late_share = 0.0
        self.late_ms = (0.0, 4000.0)
        self.published = count
        # Processor time by instance, measured once a caller has set it.
        self.cpu_s: dict[InstanceId, float] = {}
        self.blocked: set[tuple[InstanceId, InstanceId]] = set()
        self._make_agent = make_agent
        self._clock_error = clock_error
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._mail: list[tuple[float, int, InstanceId, Callable[[], None]]] = []
        self.instances: dict[InstanceId, SimulatedInstance] = {}
        for index in range(count):
            self.start_instance(f'i{index:03}', f'd{index % domains}')

    def start_instance(
        self, name: str, domain: str, offset_ms: float | None = None
    ) -> SimulatedInstance:
        """Start an instance, in place of an earlier one of the same name."""
        own = InstanceId(name)
        if offset_ms is None:
            offset_ms = self.random.uniform(1, 100_000)
        clock_rate = 1 + self.random.uniform(-1, 1) * self._clock_error
        started_ms = offset_ms + self.now_ms * clock_rate
        incarnation = Incarnation(next(self._incarnations))
        agent = self._make_agent(own, incarnation, self.settings, started_ms)
        admission = Admission(agent, self.settings.burst_ms)
        node = SimulatedInstance(
            own, DomainName(domain), agent, admission, offset_ms, clock_rate
        )
        self.instances[own] = node
        return node

    def restart(self, name: InstanceId) -> SimulatedInstance:
        """Replace a process by a new one with the same plans."""
        before = self.instances[name]
        node = self.start_instance(name, before.domain)
        self.publish_plans(node, before.plans)
        return node

    def publish_plans(
        self, node: SimulatedInstance, plans: dict[str, Allowance]
    ) -> None:
        """Publish plans to one instance."""
        node.plans = dict(plans)
        node.agent.set_plans(make_catalog(plans), node.clock_ms(self.now_ms))

    def update_view(
        self, node: SimulatedInstance, live: Iterable[InstanceId], published: int
    ) -> None:
        """Set the membership view of one instance."""
        by_domain: dict[DomainName, list[InstanceId]] = {}
        for name in live:
            by_domain.setdefault(self.instances[name].domain, []).append(name)
        clock_ms = node.clock_ms(self.now_ms)
        node.agent.set_view(node.domain, by_domain, published, clock_ms)

    def configure_all(self, plans: dict[str, Allowance]) -> None:
        """Give every instance the same plans and the same view."""
        for node in self.instances.values():
            self.publish_plans(node, plans)
            self.update_view(node, self.instances, self.published)

    def running_instances(self) -> list[SimulatedInstance]:
        """Return the instances that are not paused."""
        return [node for node in self.instances.values() if node.is_running]

    def resume(self, node: SimulatedInstance) -> None:
        """Continue a paused instance; what had arrived is handled first."""
        node.is_running = True
        pending, node.pending = node.pending, []
        for action in pending:
            action()

    def partition(self, group: Iterable[InstanceId]) -> None:
        """Cut a group off from the others, in both directions."""
        inside = set(group)
        self.blocked |= {
            pair
            for first in inside
            for second in self.instances.keys() - inside
            for pair in ((first, second), (second, first))
        }

    def step(self, step_ms: float) -> None:
        """Advance the time, deliver what is due and send reports."""
        self.now_ms += step_ms
        while self._mail and self._mail[0][0] <= self.now_ms:
            _, _, receiver, action = heapq.heappop(self._mail)
            node = self.instances[receiver]
            if node.is_running:
                self._timed(node, action)
            else:
                node.pending.append(action)
        for node in self.running_instances():
            clock_ms = node.clock_ms(self.now_ms)
            if node.agent.next_report_ms() <= clock_ms:
                self._timed(node, partial(self._send_reports, node, clock_ms))

    def total_share(self, customer: str) -> Allowance:
        """Return the sum of shares that running instances may use now."""
        total = Allowance()
        for node in self.running_instances():
            total += node.share(customer, self.now_ms)
        return total

    def _timed(self, node: SimulatedInstance, action: Callable[[], None]) -> None:
        begin_s = time.perf_counter()
        action()
        if self.cpu_s:
            self.cpu_s[node.name] += time.perf_counter() - begin_s

    def _send_reports(self, node: SimulatedInstance, clock_ms: float) -> None:
        if node.demands is None:
            node.admission.publish_demand(clock_ms)
        else:
            node.agent.set_traffic(node.demands, {})
        for receiver, report in node.agent.reports_due(clock_ms):
            self._send(node, receiver, report, self._receive_report)

    def _receive_report(
        self, node: SimulatedInstance, sender: InstanceId, report: LeaseReport
    ) -> None:
        grant = node.agent.handle_report(report, node.clock_ms(self.now_ms))
        self._send(node, sender, grant, self._receive_grant)

    def _receive_grant(
        self, node: SimulatedInstance, _sender: InstanceId, grant: LeaseGrant
    ) -> None:
        node.agent.handle_grant(grant, node.clock_ms(self.now_ms))

    def _send(
        self, node: SimulatedInstance, receiver: InstanceId, message, handle
    ) -> None:
        node.sent_bytes += message.ByteSize()
        node.sent_messages += 1
        if (node.name, receiver) in self.blocked or receiver not in self.instances:
            return
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            is_late = self.random.random() < self.late_share
            delay_ms = self.random.uniform(
                *(self.late_ms if is_late else self.delay_ms)
            )
            at_ms = self.now_ms + delay_ms
            # The receiver's process is looked up at delivery: it may be a new one.
            action = self._delivery(receiver, node.name, message, handle)
            entry = (at_ms, next(self._order), receiver, action)
            heapq.heappush(self._mail, entry)

    def _delivery(self, receiver, sender, message, handle) -> Callable[[], None]:
        def deliver() -> None:
            node = self.instances[receiver]
            node.received_bytes += message.ByteSize()
            handle(node, sender, message)

        return deliver
