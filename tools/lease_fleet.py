"""Simulated fleet of lease agents: simulated clock and unreliable network.

The tests and ``tools.bench_limits`` use it. ``LeaseAgent`` and ``Admission`` are the
production classes; only the clock and the delivery of messages are simulated.
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
    """Return a catalog in which each customer has a plan of the same name."""
    rows: list[PlanRow | CustomerRow] = []
    for name, plan in plans.items():
        rows.append(PlanRow(PlanName(name), *plan.as_tuple(), weight=1))
        rows.append(CustomerRow(CustomerId(name), PlanName(name), ()))
    return build_catalog(rows)


@dataclass
class SimulatedInstance:
    """Instance with its lease agent, clock, plans and message counts."""

    name: InstanceId
    domain: DomainName
    agent: LeaseAgent
    admission: Admission
    offset_ms: float
    clock_rate: float
    is_running: bool = True
    plans: dict[str, Allowance] = field(default_factory=dict)
    # Demands set by the caller; None to use the demand that the admission measures.
    demands: dict[CustomerId, Allowance] | None = None
    pending: list[Callable[[], None]] = field(default_factory=list)
    # By customer: cached share, its end on the instance's clock, agent generation.
    shares: dict[str, tuple[Allowance, float, int]] = field(default_factory=dict)
    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0

    def clock_ms(self, now_ms: float) -> float:
        """Return the local clock time of this instance, with offset and drift."""
        return self.offset_ms + now_ms * self.clock_rate

    def share(self, customer: str, now_ms: float) -> Allowance:
        """Return the current share, cached until it expires or the agent changes it."""
        clock_ms = self.clock_ms(now_ms)
        cached = self.shares.get(customer)
        generation = self.agent.generation
        if cached is None or clock_ms >= cached[1] or cached[2] != generation:
            computed = self.agent.share_until(CustomerId(customer), clock_ms)
            cached = self.shares[customer] = (*computed, generation)
        return cached[0]


class Fleet:
    """Instances and a network that advance in time steps."""

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
        # Time spent in the code of each instance; measured only if the caller has set
        # initial values.
        self.cpu_s: dict[InstanceId, float] = {}
        self.blocked: set[tuple[InstanceId, InstanceId]] = set()
        self._make_agent = make_agent
        self._clock_error = clock_error
        self._incarnations = itertools.count(1)
        self._sequence = itertools.count()
        self._deliveries: list[tuple[float, int, InstanceId, Callable[[], None]]] = []
        self.instances: dict[InstanceId, SimulatedInstance] = {}
        for index in range(count):
            self.start_instance(f'i{index:03}', f'd{index % domains}')

    def start_instance(
        self, name: str, domain: str, offset_ms: float | None = None
    ) -> SimulatedInstance:
        """Start an instance; it replaces an earlier instance of the same name."""
        instance_id = InstanceId(name)
        if offset_ms is None:
            offset_ms = self.random.uniform(1, 100_000)
        clock_rate = 1 + self.random.uniform(-1, 1) * self._clock_error
        started_ms = offset_ms + self.now_ms * clock_rate
        incarnation = Incarnation(next(self._incarnations))
        agent = self._make_agent(instance_id, incarnation, self.settings, started_ms)
        admission = Admission(agent, self.settings.burst_ms)
        instance = SimulatedInstance(
            instance_id, DomainName(domain), agent, admission, offset_ms, clock_rate
        )
        self.instances[instance_id] = instance
        return instance

    def restart(self, name: InstanceId) -> SimulatedInstance:
        """Replace an instance by a new incarnation with the same plans."""
        previous = self.instances[name]
        instance = self.start_instance(name, previous.domain)
        self.publish_plans(instance, previous.plans)
        return instance

    def publish_plans(
        self, instance: SimulatedInstance, plans: dict[str, Allowance]
    ) -> None:
        """Set the published plans on one instance."""
        instance.plans = dict(plans)
        instance.agent.set_plans(make_catalog(plans), instance.clock_ms(self.now_ms))

    def update_view(
        self, instance: SimulatedInstance, live: Iterable[InstanceId], published: int
    ) -> None:
        """Set the membership view of one instance."""
        by_domain: dict[DomainName, list[InstanceId]] = {}
        for name in live:
            by_domain.setdefault(self.instances[name].domain, []).append(name)
        clock_ms = instance.clock_ms(self.now_ms)
        instance.agent.set_view(instance.domain, by_domain, published, clock_ms)

    def configure_all(self, plans: dict[str, Allowance]) -> None:
        """Set the same plans and a view of all instances on every instance."""
        for instance in self.instances.values():
            self.publish_plans(instance, plans)
            self.update_view(instance, self.instances, self.published)

    def running_instances(self) -> list[SimulatedInstance]:
        """Return the instances that are not paused."""
        return [instance for instance in self.instances.values() if instance.is_running]

    def resume(self, instance: SimulatedInstance) -> None:
        """Resume a paused instance and handle the messages received while paused."""
        instance.is_running = True
        pending, instance.pending = instance.pending, []
        for handle_message in pending:
            handle_message()

    def partition(self, group: Iterable[InstanceId]) -> None:
        """Block all messages between a group and the other instances."""
        group_names = set(group)
        self.blocked |= {
            pair
            for first in group_names
            for second in self.instances.keys() - group_names
            for pair in ((first, second), (second, first))
        }

    def step(self, step_ms: float) -> None:
        """Advance the clock, deliver due messages and send due reports."""
        self.now_ms += step_ms
        while self._deliveries and self._deliveries[0][0] <= self.now_ms:
            _, _, receiver, action = heapq.heappop(self._deliveries)
            instance = self.instances[receiver]
            if instance.is_running:
                self._run_timed(instance, action)
            else:
                instance.pending.append(action)
        for instance in self.running_instances():
            clock_ms = instance.clock_ms(self.now_ms)
            if instance.agent.next_report_ms() <= clock_ms:
                self._run_timed(
                    instance, partial(self._send_reports, instance, clock_ms)
                )

    def total_share(self, customer: str) -> Allowance:
        """Return the sum of the current shares of all running instances."""
        total = Allowance()
        for instance in self.running_instances():
            total += instance.share(customer, self.now_ms)
        return total

    def _run_timed(
        self, instance: SimulatedInstance, action: Callable[[], None]
    ) -> None:
        begin_s = time.perf_counter()
        action()
        if self.cpu_s:
            self.cpu_s[instance.name] += time.perf_counter() - begin_s

    def _send_reports(self, instance: SimulatedInstance, clock_ms: float) -> None:
        if instance.demands is None:
            instance.admission.publish_demand(clock_ms)
        else:
            instance.agent.set_traffic(instance.demands, {})
        for receiver, report in instance.agent.reports_due(clock_ms):
            self._send(instance, receiver, report, self._receive_report)

    def _receive_report(
        self, instance: SimulatedInstance, sender: InstanceId, report: LeaseReport
    ) -> None:
        grant = instance.agent.handle_report(report, instance.clock_ms(self.now_ms))
        self._send(instance, sender, grant, self._receive_grant)

    def _receive_grant(
        self, instance: SimulatedInstance, _sender: InstanceId, grant: LeaseGrant
    ) -> None:
        instance.agent.handle_grant(grant, instance.clock_ms(self.now_ms))

    def _send(
        self, instance: SimulatedInstance, receiver: InstanceId, message, handler
    ) -> None:
        instance.sent_bytes += message.ByteSize()
        instance.sent_messages += 1
        if (instance.name, receiver) in self.blocked or receiver not in self.instances:
            return
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            is_late = self.random.random() < self.late_share
            delay_ms = self.random.uniform(
                *(self.late_ms if is_late else self.delay_ms)
            )
            arrival_ms = self.now_ms + delay_ms
            # The receiver is looked up at delivery, as it may restart before.
            action = self._make_delivery(receiver, instance.name, message, handler)
            delivery = (arrival_ms, next(self._sequence), receiver, action)
            heapq.heappush(self._deliveries, delivery)

    def _make_delivery(self, receiver, sender, message, handler) -> Callable[[], None]:
        def deliver() -> None:
            instance = self.instances[receiver]
            instance.received_bytes += message.ByteSize()
            handler(instance, sender, message)

        return deliver
