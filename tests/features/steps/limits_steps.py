"""Steps for token buckets, leases and admission."""

import math
import re
from fractions import Fraction
from pathlib import Path

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from returns.result import Failure, Success

from cardamomtiller.accounts.allowance import Allowance, fair_part, fair_units
from cardamomtiller.accounts.bucket import TokenBucket
from cardamomtiller.accounts.grantor import Grantor
from cardamomtiller.accounts.holder import Holder
from cardamomtiller.accounts.lease import LeaseAgent
from cardamomtiller.wire_pb2 import Reason
from tools.lease_fleet import DEFAULTS, Fleet

PLAN = Allowance(100, 40, 200, 1_000_000)
PLANS = {'c': PLAN, 'd': Allowance(7, 3, 11, 5000)}
STEP_MS = 10
WARM_UP_MS = 14_000
# Rounding of single precision and tolerance of whole units.
EXCESS_TOLERANCE = 1e-3


@then('{count:d} random uses of a token bucket agree with exact arithmetic')
def check_bucket(context, count):
    uses = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5000), strategies.sampled_from((1, 2, 5))
        ),
        max_size=60,
    )

    @hypothesis_settings(max_examples=count, derandomize=True, deadline=None)
    @hypothesis_given(strategies.integers(1, 1000), strategies.integers(5, 100), uses)
    def check(rate, burst, steps):
        bucket = TokenBucket(rate, burst, 0)
        tokens = Fraction(burst)
        now_ms = 0
        for pause_ms, amount in steps:
            now_ms += pause_ms
            tokens = min(Fraction(burst), tokens + Fraction(pause_ms * rate, 1000))
            wait_ms = max(Fraction(0), (amount - tokens) * 1000 / rate)
            assert math.isclose(bucket.wait_ms(amount, now_ms), wait_ms, abs_tol=1e-5)
            is_taken = bucket.take(amount, now_ms)
            assert is_taken == (tokens >= amount), (tokens, amount)
            tokens -= amount if is_taken else 0

    check()


@then('a token bucket that is used at an earlier time stays empty')
def check_backwards(context):
    bucket = TokenBucket(10, 5, 1000)
    assert bucket.take(5, 1000)
    assert not bucket.take(1, 500)
    assert not bucket.take(1, 1050)
    assert bucket.take(1, 1100)
    assert bucket.wait_ms(6, 1100) == math.inf


@then('{count:d} random fair divisions are within the pool and max-min fair')
def check_division(context, count):
    demands = strategies.lists(strategies.integers(0, 50), min_size=1, max_size=20)

    @hypothesis_settings(max_examples=count, derandomize=True, deadline=None)
    @hypothesis_given(demands, strategies.integers(0, 300), strategies.integers(0, 100))
    def check(rows, pool, rotation):
        parts = [fair_part(rows, own, pool) for own in rows]
        units = [fair_units(rows, index, pool, rotation) for index in range(len(rows))]
        assert math.isclose(sum(parts), pool if sum(rows) else sum(parts)) or (
            sum(parts) <= pool
        )
        assert sum(units) == pool
        for results, step in ((parts, 1e-6), (units, 1)):
            largest = max(results)
            for demand, part in zip(rows, results, strict=True):
                # A holder with less than its demand has the largest share.
                assert part >= demand - 1e-6 or part >= largest - step - 1e-6

    check()


class GrantorIgnoringOutstanding(Grantor):
    """Ignores the shares that are in use at other holders."""

    def _update_outstanding(self, holder, now_ms):
        holder.outstanding = {}


class GrantorCountingLatestOnly(Grantor):
    """Counts only the latest grant of a holder, although it may be lost."""

    def _update_outstanding(self, holder, now_ms):
        holder.leases = holder.leases[-1:]
        super()._update_outstanding(holder, now_ms)


class GrantorWithoutMaturity(Grantor):
    """Counts a pledge from its first report instead of after one lease."""

    def floors(self, now_ms):
        return sum(
            holder.floor_history[-1][1]
            for holder in self._holders.values()
            if now_ms < holder.contact_end_ms and holder.floor_history
        )


class GrantorWithoutEcho(Grantor):
    """Treats the echo of any report as if it were the current stamp."""

    def _record_report(self, key, holder, report, now_ms):
        if holder.stamps and report.echoed_stamp_ms:
            holder.stamps.append(int(now_ms) - 1)
            report.echoed_stamp_ms = int(now_ms) - 1
        super()._record_report(key, holder, report, now_ms)


class HolderCountingFromArrival(Holder):
    """Counts a lease from the arrival of its grant, not from its report."""

    def accept(self, grant, now_ms):
        if grant.sequence in self._sent_ms:
            self._sent_ms[grant.sequence] = now_ms
        return super().accept(grant, now_ms)


class HolderUsingExpiredShares(Holder):
    """Uses shares after they have expired."""

    def shares(self, now_ms):
        return super().shares(0)


class HolderPledgingTwice(Holder):
    """Pledges to its new grantor without waiting for the old pledge."""

    def _begin_pledge(self, floors, now_ms):
        pledge, contact = self._pledge, self._contact
        if pledge and contact and pledge.grantor != contact.grantor:
            self._pledge = None
        super()._begin_pledge(floors, now_ms)


class HolderReclaimingEarly(Holder):
    """Reclaims its floors as soon as its shares have ended."""

    def __init__(self, scope, own_name, incarnation, times, reclaim_ms):
        super().__init__(scope, own_name, incarnation, times, times.lease_ms)


FAULTS = {
    'the grantor ignores outstanding shares': (GrantorIgnoringOutstanding, Holder),
    'the grantor counts only the latest share': (GrantorCountingLatestOnly, Holder),
    'the grantor counts a new pledge immediately': (GrantorWithoutMaturity, Holder),
    'the grantor counts a pledge without a recent echo': (GrantorWithoutEcho, Holder),
    'the holder counts a lease from its arrival': (Grantor, HolderCountingFromArrival),
    'the holder uses expired shares': (Grantor, HolderUsingExpiredShares),
    'the holder pledges to two grantors': (Grantor, HolderPledgingTwice),
    'the holder reclaims its floors without the wait': (Grantor, HolderReclaimingEarly),
}


def agent_class(grantor_class, holder_class):
    """Return an agent class with other grantor and holder classes."""

    class Agent(LeaseAgent):
        def _make_holder(self, scope, reclaim_ms):
            return holder_class(
                scope, self._own_name, self._incarnation, self._times, reclaim_ms
            )

        def _make_grantor(self, scope):
            return grantor_class(scope, self._own_name, self._incarnation, self._times)

    return Agent


class DisturbedRun:
    """One run with random faults that records the largest excess over the plans."""

    DURATION_MS = 50_000
    STEP_MS = 25

    def __init__(self, seed, make_agent):
        size = 9 + seed % 12
        self.fleet = Fleet(
            size, 2 + seed % 4, seed, make_agent=make_agent, clock_error=0.001
        )
        self.random = self.fleet.random
        self.fleet.loss = self.random.choice((0, 0, 0.1))
        self.fleet.duplication = self.random.choice((0, 0.2))
        self.fleet.late_share = self.random.choice((0, 0.02, 0.1))
        self.published = dict(PLANS)
        self.fleet.configure_all(self.published)
        # Time and highest plan rates on any instance, within the last lease.
        self.recent_plans = []
        self.excess = -math.inf
        self.actions = {
            self.pause: 6,
            self.restart: 0.5,
            self.cut_network: 1,
            self.heal_network: 3,
            self.give_divergent_views: 0.7,
            self.change_plans: 0.4,
        }

    def run(self):
        next_ms = 0.0
        while self.fleet.now_ms < self.DURATION_MS:
            if self.fleet.now_ms >= next_ms:
                self.inject_fault()
                next_ms += self.random.choice((400, 1500, 3000))
            self.fleet.step(self.STEP_MS)
            self.check()
            if self.excess > EXCESS_TOLERANCE:
                break
        return self.excess

    def inject_fault(self):
        """Change random demands, deliver updates and apply one random action."""
        instances = list(self.fleet.instances.values())
        for instance in instances:
            if instance.demands is None or self.random.random() < 0.5:
                instance.demands = self.draw_demands()
                instance.agent.request_report()
            self.deliver_updates(instance)
        target = self.random.choice(instances)
        (action,) = self.random.choices(list(self.actions), self.actions.values())
        action(target, instances)

    def draw_demands(self):
        demands = {}
        for name, plan in PLANS.items():
            share = self.random.choice((0, 0, 0.3, 1))
            if share:
                demands[name] = plan.scaled(share)
        return demands

    def deliver_updates(self, instance):
        """Deliver the plans and the view to an instance with some probability."""
        if instance.is_running and self.random.random() < 0.4:
            self.fleet.publish_plans(instance, self.published)
        if instance.is_running and self.random.random() < 0.4:
            self.fleet.update_view(instance, self.fleet.instances, self.fleet.published)

    def pause(self, instance, instances):
        """Pause an instance, or resume a paused one."""
        paused = [row for row in instances if not row.is_running]
        if paused:
            # The instance uses its shares before it handles the messages of the pause.
            paused[0].is_running = True
            self.check()
            self.fleet.resume(paused[0])
        else:
            instance.is_running = False

    def restart(self, instance, instances):
        self.fleet.restart(instance.name)
        restarted = self.fleet.instances[instance.name]
        self.fleet.update_view(restarted, self.fleet.instances, self.fleet.published)

    def cut_network(self, instance, instances):
        """Block one direction between two instances, or cut off a failure domain."""
        if self.random.random() < 0.5:
            other = self.random.choice(instances)
            self.fleet.blocked.add((instance.name, other.name))
        else:
            self.fleet.partition(
                row.name for row in instances if row.domain == instance.domain
            )

    def heal_network(self, instance, instances):
        self.fleet.blocked.clear()

    def give_divergent_views(self, instance, instances):
        """Give half of the instances different random views."""
        for row in instances:
            if self.random.random() < 0.5:
                visible_names = [
                    other.name for other in instances if self.random.random() < 0.6
                ]
                extra_count = self.random.choice((0, 0, 1))
                self.fleet.update_view(
                    row, visible_names, self.fleet.published + extra_count
                )

    def change_plans(self, instance, instances):
        factor = self.random.choice((0.5, 1, 2))
        self.published = {name: plan.scaled(factor) for name, plan in PLANS.items()}

    def check(self):
        now_ms = self.fleet.now_ms
        instances = self.fleet.instances.values()
        highest_rates = {
            name: max(instance.plans[name].rate_per_s for instance in instances)
            for name in PLANS
        }
        self.recent_plans.append((now_ms, highest_rates))
        begin_ms = now_ms - DEFAULTS.lease_ms * 1.01
        self.recent_plans = [row for row in self.recent_plans if row[0] >= begin_ms]
        for name, plan in PLANS.items():
            highest = max(row[name] for _, row in self.recent_plans) / plan.rate_per_s
            total = self.fleet.total_share(name)
            fields = zip(total.as_tuple(), plan.as_tuple(), strict=True)
            for used, allowed in fields:
                self.excess = max(self.excess, used / (allowed * highest) - 1)


@given('leases with the unchanged protocol')
def use_unchanged_protocol(context):
    context.lease_agent = LeaseAgent


@given('leases with the fault "{fault}"')
def use_fault(context, fault):
    context.lease_agent = agent_class(*FAULTS[fault])


@then('{count:d} runs of leases with random faults stay within the plans')
def check_runs(context, count):
    @hypothesis_settings(max_examples=count, derandomize=True, deadline=None)
    @hypothesis_given(strategies.integers(0, 10_000))
    def check(seed):
        excess = DisturbedRun(seed, context.lease_agent).run()
        assert excess <= EXCESS_TOLERANCE, (seed, excess)

    check()


@then('one of {count:d} runs of leases with random faults exceeds a plan')
def check_plan_exceeded(context, count):
    for seed in range(count):
        if DisturbedRun(seed, context.lease_agent).run() > EXCESS_TOLERANCE:
            return
    raise AssertionError(f'no run of {count} exceeded a plan')


class RequestLoad:
    """Sends requests to a fleet and counts the admitted ones."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.admitted_count = 0
        self.highest_share = 0.0

    def send_requests(self, instance, customer, times=1):
        """Send short requests to one instance."""
        for _ in range(times):
            clock_ms = instance.clock_ms(self.fleet.now_ms)
            result = instance.admission.admit_request(customer, 10, clock_ms)
            if isinstance(result, Success):
                self.admitted_count += 1
                instance.admission.release(result.unwrap(), clock_ms)

    def run(self, duration_ms, send=lambda now_ms: None):
        """Advance the fleet and record the highest sum of shares."""
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.step(STEP_MS)
            send(self.fleet.now_ms)
            share = self.fleet.total_share('c').rate_per_s
            self.highest_share = max(self.highest_share, share)


@given('{count:d} instances with leases in {domains:d} failure domains')
def start_fleet(context, count, domains):
    context.fleet = Fleet(count, domains)
    context.fleet.configure_all(PLANS)
    context.load = RequestLoad(context.fleet)
    context.instances = list(context.fleet.instances.values())
    context.load.run(WARM_UP_MS)


@when('customer "{name}" sends {rate:d} requests/s to one instance for {time:d} s')
def send_to_one(context, name, rate, time):
    instance = context.instances[3]
    times = rate * STEP_MS // 1000

    def send(_now_ms):
        context.load.send_requests(instance, name, times)

    # The share grows and the bucket is used up before the measurement.
    context.load.run(10_000, send)
    context.load.admitted_count = 0
    context.load.run(time * 1000, send)
    context.duration_s = time


@then(
    'customer "{name}" was admitted at least {min_percent:d}% and at most '
    '{max_percent:d}% '
    'of {rate:d} requests/s'
)
def check_admitted(context, name, min_percent, max_percent, rate):
    admitted_share = context.load.admitted_count / (rate * context.duration_s)
    assert min_percent / 100 <= admitted_share <= max_percent / 100, admitted_share


@when('the demand of customer "{name}" moves to another instance every 2 s for 60 s')
def move_demand(context, name):
    def send(now_ms):
        instance = context.instances[int(now_ms / 2000) % len(context.instances)]
        context.load.send_requests(instance, name, 3)

    context.load.run(60_000, send)
    context.duration_s = 60


@then('customer "{name}" was admitted at most 102% of its plan plus one bucket')
def check_moving(context, name):
    plan = PLANS[name].rate_per_s
    bucket = plan * DEFAULTS.burst_ms / 1000
    max_admitted = 1.02 * plan * context.duration_s + bucket
    assert 0 < context.load.admitted_count <= max_admitted, context.load.admitted_count
    assert context.load.highest_share <= plan + EXCESS_TOLERANCE


@when('customer "{name}" sends requests to all instances after a pause of 10 s')
def send_to_all(context, name):
    def send(_now_ms):
        for instance in context.instances:
            context.load.send_requests(instance, name, 5)

    context.load.run(10_000, send)
    context.load.run(10_000)
    context.load.admitted_count = 0
    context.load.run(2000, send)
    context.duration_s = 2


@then('at most one bucket of customer "{name}" was admitted beyond its rate')
def check_burst(context, name):
    plan = PLANS[name].rate_per_s
    bucket = plan * DEFAULTS.burst_ms / 1000
    max_admitted = bucket + plan * context.duration_s
    assert plan < context.load.admitted_count <= max_admitted, (
        context.load.admitted_count
    )


@when(
    'customer "{name}" sends requests everywhere and one failure domain is cut off '
    'for {time:d} s'
)
def cut_domain(context, name, time):
    fleet = context.fleet

    def send(_now_ms):
        for instance in context.instances:
            context.load.send_requests(instance, name, 1)

    context.load.run(6000, send)
    fleet.partition(
        instance.name for instance in context.instances if instance.domain == 'd1'
    )
    context.load.run(2000, send)
    for instance in context.instances:
        is_cut = instance.domain == 'd1'
        visible_names = [
            row.name for row in context.instances if (row.domain == 'd1') == is_cut
        ]
        fleet.update_view(instance, visible_names, fleet.published)
    context.load.run(6000, send)
    context.lowest_shares = {}

    def watch(now_ms):
        send(now_ms)
        for domain in {instance.domain for instance in context.instances}:
            total = sum(
                instance.share(name, now_ms).rate_per_s
                for instance in context.instances
                if instance.domain == domain
            )
            lowest = context.lowest_shares.get(domain, math.inf)
            context.lowest_shares[domain] = min(lowest, total)

    context.load.run(time * 1000 - 8000, watch)
    fleet.blocked.clear()
    for instance in context.instances:
        fleet.update_view(instance, fleet.instances, fleet.published)
    context.load.run(15_000, send)


@then('the shares of customer "{name}" never added up to more than its plan')
def check_sum_of_shares(context, name):
    max_share = PLANS[name].rate_per_s + EXCESS_TOLERANCE
    assert context.load.highest_share <= max_share, context.load.highest_share


@then('every failure domain had at least 95% of its floors after the wait')
def check_domain_shares(context):
    size = len(context.instances)
    for domain, lowest in context.lowest_shares.items():
        count = sum(instance.domain == domain for instance in context.instances)
        assert lowest >= 0.95 * 100 * count / size, context.lowest_shares


@then('the whole plan is in use again after the partition')
def check_healed(context):
    total = context.fleet.total_share('c').rate_per_s
    assert total >= 0.95 * PLAN.rate_per_s, total


@when('customer "{name}" sends requests everywhere and its plan is halved')
def halve_plan(context, name):
    def send(_now_ms):
        for instance in context.instances:
            context.load.send_requests(instance, name, 1)

    context.load.run(6000, send)
    fleet = context.fleet
    context.share_before = fleet.total_share(name).rate_per_s
    lower = {**PLANS, name: PLAN.scaled(0.5)}
    context.immediate_shares = []
    for index, instance in enumerate(context.instances):
        # The grantors receive the plan at different times within half a second.
        if index % 3 == 0:
            context.load.run(150, send)
        fleet.publish_plans(instance, lower)
        share = instance.agent.share(name, instance.clock_ms(fleet.now_ms))
        context.immediate_shares.append(share.rate_per_s)
    context.load.run(DEFAULTS.lease_ms, send)
    context.shares_after = []
    for _ in range(200):
        context.load.run(STEP_MS, send)
        context.shares_after.append(fleet.total_share(name).rate_per_s)


@then('each instance is within the lower plan immediately')
def check_each_within_lower_plan(context):
    assert max(context.immediate_shares) <= PLAN.rate_per_s / 2 + EXCESS_TOLERANCE


@then('the sum of the shares is within the lower plan after one lease')
def check_sum_within_lower_plan(context):
    assert context.share_before > 0.9 * PLAN.rate_per_s, context.share_before
    assert max(context.shares_after) <= PLAN.rate_per_s / 2 + EXCESS_TOLERANCE


@when(
    'customer "{name}" uses up its open flows on one instance and then opens flows on '
    'another'
)
def fill_flows(context, name):
    context.flows = {0: [], 1: []}

    def open_on(index):
        instance = context.instances[index]
        clock_ms = instance.clock_ms(context.fleet.now_ms)
        result = instance.admission.admit_flow(name, clock_ms)
        if isinstance(result, Success):
            context.flows[index].append(result.unwrap())
        open_count = sum(len(rows) for rows in context.flows.values())
        context.max_open_flows = max(context.max_open_flows, open_count)

    context.max_open_flows = 0
    context.open_on = open_on
    context.load.run(8000, lambda now_ms: open_on(0))
    context.filled_count = len(context.flows[0])
    context.load.run(20_000, lambda now_ms: open_on(1))


@then('no more flows of customer "{name}" are open than its plan allows')
def check_flows(context, name):
    assert context.filled_count >= 0.95 * PLAN.open_flows, context.filled_count
    assert context.max_open_flows <= PLAN.open_flows, context.max_open_flows
    assert len(context.flows[0]) == context.filled_count


@then('closed flows of customer "{name}" can be opened on another instance')
def check_moved_flows(context, name):
    instance = context.instances[0]
    for permit in context.flows[0][:100]:
        instance.admission.release(permit, instance.clock_ms(context.fleet.now_ms))
    del context.flows[0][:100]
    context.load.run(10_000, lambda now_ms: context.open_on(1))
    assert len(context.flows[1]) >= 0.95 * 100, len(context.flows[1])
    assert context.max_open_flows <= PLAN.open_flows, context.max_open_flows


def warm_up(context, name):
    """Give a customer its share, then pause until its bucket is full."""
    context.load.run(
        3000, lambda now_ms: context.load.send_requests(context.instances[0], name)
    )
    context.load.run(3000)
    return context.instances[0].clock_ms(context.fleet.now_ms)


@when('a permit of customer "{name}" is released twice')
def release_twice(context, name):
    admission = context.instances[0].admission
    now_ms = context.now_ms = warm_up(context, name)
    first = admission.admit_request(name, 1, now_ms).unwrap()
    admission.admit_request(name, 1, now_ms).unwrap()
    admission.release(first, now_ms)
    admission.release(first, now_ms)


@then('customer "{name}" can use exactly its concurrent requests')
def check_exact_use(context, name):
    admission = context.instances[0].admission
    results = [admission.admit_request(name, 1, context.now_ms) for _ in range(60)]
    admitted = sum(isinstance(result, Success) for result in results)
    assert admitted == PLAN.concurrent_requests - 1, admitted


@then(
    'customer "{name}" above its rate is refused as over its allowance with a retry '
    'delay'
)
def check_refusal(context, name):
    instance = context.instances[0]
    now_ms = warm_up(context, name)
    while isinstance(
        result := instance.admission.admit_request(name, 1, now_ms), Success
    ):
        instance.admission.release(result.unwrap(), now_ms)
    refusal = result.failure()
    assert refusal.reason == Reason.REASON_OVER_ALLOWANCE
    assert 1 <= refusal.retry_after_ms <= 20, refusal
    after_ms = now_ms + refusal.retry_after_ms
    assert isinstance(instance.admission.admit_request(name, 1, after_ms), Success)


@then('an unknown customer is refused as unknown')
def check_unknown(context):
    result = context.instances[0].admission.admit_request('nobody', 1, 0)
    assert isinstance(result, Failure)
    assert result.failure().reason == Reason.REASON_UNKNOWN_CUSTOMER


@then(
    'customer "{name}" can have 95% of {limit:d} bytes in flight but no byte above '
    'the limit'
)
def check_bytes(context, name, limit):
    admission = context.instances[0].admission
    now_ms = warm_up(context, name)
    large = admission.admit_request(name, limit * 95 // 100, now_ms).unwrap()
    remaining_bytes = limit - large.bytes_count
    assert isinstance(
        admission.admit_request(name, remaining_bytes + 1, now_ms), Failure
    )
    admission.release(large, now_ms)
    assert admission.usage(name).bytes_in_flight == 0
    assert isinstance(
        admission.admit_request(name, remaining_bytes + 1, now_ms), Success
    )


@when('customer "{name}" sends its first request to one instance between two reports')
def send_between_reports(context, name):
    instance = context.instances[3]
    while (
        instance.agent.next_report_ms() < instance.clock_ms(context.fleet.now_ms) + 100
    ):
        context.fleet.step(STEP_MS)
    context.requested_ms = instance.clock_ms(context.fleet.now_ms)
    instance.admission.admit_request(name, 1, context.requested_ms)


@then('a report of that instance is due within 30 ms')
def check_report_due(context):
    admission = context.instances[3].admission
    assert admission.is_report_due(context.requested_ms + 30)


@then('the reports of idle instances are as long with 1000 customers as with 1')
def check_idle_bytes(context):
    lengths = []
    for count in (1, 1000):
        fleet = Fleet(9, 4)
        fleet.configure_all({f'c{index}': PLAN for index in range(count)})
        RequestLoad(fleet).run(WARM_UP_MS)
        bytes_before = sum(instance.sent_bytes for instance in fleet.instances.values())
        RequestLoad(fleet).run(5000)
        bytes_after = sum(instance.sent_bytes for instance in fleet.instances.values())
        lengths.append(bytes_after - bytes_before)
    assert lengths[0] == lengths[1] > 0, lengths


@then('the example in "{path}" admits {min_rate:d} to {max_rate:d} requests/s')
def check_example(context, path, min_rate, max_rate):
    (code,) = re.findall('```python\n(.*?)```', Path(path).read_text(), re.DOTALL)
    namespace = {}
    exec(code, namespace)
    assert min_rate <= namespace['admitted'] / 5 <= max_rate, namespace['admitted']


@then('an instance with plans but without a view has no share of customer "{name}"')
def check_no_view(context, name):
    instance = context.fleet.start_instance('fresh', 'd0')
    context.fleet.publish_plans(instance, PLANS)
    for age_ms in (0, 60_000):
        now_ms = instance.clock_ms(context.fleet.now_ms) + age_ms
        assert instance.agent.share(name, now_ms) == Allowance()


@when('an instance is replaced by a new process')
def replace_process(context):
    instance = context.fleet.restart(context.instances[3].name)
    context.fleet.update_view(
        instance, context.fleet.instances, context.fleet.published
    )
    context.new_instance = instance


@then('it has only the reserved floor of customer "{name}" until the pledge has ended')
def check_replaced(context, name):
    begin_ms = context.fleet.now_ms
    reserved = PLAN.rate_per_s / len(context.instances) * DEFAULTS.reserved_share
    pledged_ms = 2 * DEFAULTS.silence_ms + DEFAULTS.lease_ms
    while context.fleet.now_ms < begin_ms + pledged_ms:
        share = context.new_instance.share(name, context.fleet.now_ms).rate_per_s
        assert math.isclose(share, reserved), (context.fleet.now_ms, share)
        context.fleet.step(STEP_MS)
    context.load.run(500)
    share = context.new_instance.share(name, context.fleet.now_ms).rate_per_s
    assert share > reserved, share
