"""Steps for the scheduler, the selection of upstreams and the retry budget."""

from dataclasses import replace
from random import Random

from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from returns.result import Failure, Success

from cardamomtiller.entrance.selection import Load, Selection
from cardamomtiller.identity import (
    FlowId,
    OperatorState,
    Outcome,
    ServiceClass,
    UpstreamId,
)
from cardamomtiller.queueing.scheduler import Scheduler
from cardamomtiller.serving.retry import (
    MAX_BACKOFF_MS,
    MAX_SAVED_RETRIES,
    RetryBudget,
    backoff_ms,
)
from cardamomtiller.wire_pb2 import REASON_QUEUE_FULL
from tools.policy_simulation import (
    QUEUE_OPTIONS,
    SELECTION_OPTIONS,
    FifoQueue,
    Job,
    PoolCase,
    Upstream,
    make_selection_factory,
    make_upstream_rows,
    run_pool,
)

URGENT, NORMAL, BULK = ServiceClass.URGENT, ServiceClass.NORMAL, ServiceClass.BULK
# No upstream is excluded, so each choice is among all of them.
ALL = frozenset()
SEEDS = strategies.integers(min_value=0, max_value=2**32)


def cases(count):
    return hypothesis_settings(max_examples=count, derandomize=True, deadline=None)


def queue(slots=2, **changes):
    return Scheduler(replace(QUEUE_OPTIONS, **changes), slots, 0)


def job(customer='a', service_class=NORMAL, run_ms=20, at=0, timeout_ms=1e6, **fields):
    return Job(at, run_ms, customer, service_class, timeout_ms, **fields)


def fails(check, *values):
    try:
        check(*values)
    except AssertionError:
        return True
    return False


def flow_ids(count):
    random = Random(9)
    return [FlowId(random.randbytes(16)) for _ in range(count)]


def served_ms(done, customer, horizon_ms):
    return sum(
        row.run_ms
        for row in done
        if row.customer == customer and row.end_ms <= horizon_ms
    )


def check_fairness(make_queue, weights, run_times_ms):
    horizon_ms = 20_000
    jobs = [
        job(f'c{index}', run_ms=run_ms, weight=weight, at=float(index))
        for index, (weight, run_ms) in enumerate(
            zip(weights, run_times_ms, strict=True)
        )
        for _ in range(int(2.2 * horizon_ms / run_ms))
    ]
    done = Upstream(make_queue(), jobs, horizon_ms).run()
    total = sum(served_ms(done, f'c{index}', horizon_ms) for index in range(3))
    for index, weight in enumerate(weights):
        share = served_ms(done, f'c{index}', horizon_ms) / total
        expected = weight / sum(weights)
        assert abs(share - expected) < 0.05, (index, share, expected)


@then('backlogged customers get slot time in proportion to their weights')
def check_weights(context):
    weights = strategies.tuples(*[strategies.sampled_from((1, 2, 4))] * 3)
    run_times = strategies.tuples(*[strategies.integers(10, 100)] * 3)

    @cases(15)
    @hypothesis_given(weights, run_times)
    def check(weights, run_times_ms):
        check_fairness(lambda: queue(longest_wait_ms=1e9), weights, run_times_ms)

    check()


@then('the fairness check fails on a first-in-first-out queue')
def check_fifo_unfair(context):
    assert fails(check_fairness, lambda: FifoQueue(2), (1, 1, 1), (20, 20, 20))


@then('a customer that labels all requests urgent gets only its share of the slots')
def check_urgent_abuse(context):
    horizon_ms = 30_000
    jobs = [job('greedy', URGENT) for _ in range(3000)]
    jobs += [job(customer) for customer in 'abc' for _ in range(1000)]
    done = Upstream(queue(longest_wait_ms=1e9), jobs, horizon_ms).run()
    share = served_ms(done, 'greedy', horizon_ms) / (2 * horizon_ms)
    # A quarter of 60 s of slot time, and the urgent lead of at most 500 ms.
    assert 0.24 < share < 0.25 + 0.02, share


def mixed_jobs(urgent_load, horizon_ms):
    random = Random(6)
    for service_class, load, timeout_ms in (
        (URGENT, urgent_load, 500),
        (NORMAL, 2, 2000),
    ):
        now_ms = 0
        while now_ms < horizon_ms:
            now_ms += random.expovariate(2 * load / 20)
            run_ms = random.expovariate(1 / 20)
            customer = random.choice('abcdefgh')
            yield job(customer, service_class, run_ms, now_ms, timeout_ms)


@then('urgent work within the slots meets its deadlines beside saturating normal work')
def check_urgent_fits(context):
    done = Upstream(queue(), list(mixed_jobs(0.7, 60_000)), 1e6).run()
    urgent = [row for row in done if row.service_class is URGENT]
    in_time = sum(row.is_in_time() for row in urgent) / len(urgent)
    assert in_time >= 0.99, in_time


@then('normal work gets its guaranteed share beside urgent work beyond the slots')
def check_normal_progress(context):
    horizon_ms = 60_000
    done = Upstream(queue(), list(mixed_jobs(1.5, horizon_ms)), 1e6).run()
    begin_ms = 10_000
    normal_ms = sum(
        row.run_ms
        for row in done
        if row.service_class is NORMAL and begin_ms <= row.end_ms < horizon_ms
    )
    share = normal_ms / (2 * (horizon_ms - begin_ms))
    assert share > 0.9 * 4 / 21, share


@then('bulk work gets its guaranteed share beside saturating urgent work')
def check_bulk_progress(context):
    horizon_ms = 100_000
    jobs = [
        job(customer, service_class, at=float(at))
        for at in range(0, horizon_ms, 20)
        for customer, service_class in (
            ('a', URGENT),
            ('b', URGENT),
            ('c', NORMAL),
            ('d', NORMAL),
        )
    ]
    jobs += [job('e', BULK, run_ms=1000) for _ in range(20)]
    done = Upstream(queue(longest_wait_ms=1e9), jobs, horizon_ms).run()
    share = served_ms(done, 'e', horizon_ms) / (2 * horizon_ms)
    assert share > 0.9 / 21, share


class _NoReserve(Scheduler):
    def _long_limit(self):
        return self._slot_limit.usable


def random_jobs(random, count=150):
    for _ in range(count):
        service_class = random.choice((URGENT, NORMAL, BULK))
        is_large = random.random() < 0.2
        yield job(
            customer=random.choice('abcd'),
            service_class=service_class,
            run_ms=random.uniform(700, 1500) if is_large else random.uniform(1, 50),
            at=random.uniform(0, 5000),
            timeout_ms=random.uniform(50, 8000),
            size_bytes=1_000_000 if is_large else 100,
        )


def check_last_slot(make_queue, seed):
    random = Random(seed)
    slots = random.randint(2, 4)
    jobs = list(random_jobs(random))
    done = Upstream(make_queue(slots), jobs, 1e6).run()
    ran = [
        row
        for row in done
        if row.status == 'done'
        and (row.size_bytes > 65536 or row.service_class is BULK)
    ]
    for row in ran:
        others = [other for other in ran if other.start_ms <= row.start_ms]
        running = sum(other.end_ms > row.start_ms for other in others)
        assert running < slots, (row, running)


@then('random work never runs long work in the last free slot')
def check_reserve(context):
    cases(60)(hypothesis_given(SEEDS)(lambda seed: check_last_slot(queue, seed)))()


@then('the last slot check fails without the reserved slot')
def check_no_reserve(context):
    def make_queue(slots):
        return _NoReserve(QUEUE_OPTIONS, slots, 0)

    assert any(fails(check_last_slot, make_queue, seed) for seed in range(5))


@then('work of a customer with long measured running times leaves a slot free')
def check_long_estimate(context):
    scheduler = queue()
    slow = [job('slow', at=0).as_work() for _ in range(20)]
    for index in range(3):
        scheduler.submit(slow[index], index * 3000)
        assert [work.request for work in scheduler.start(index * 3000)]
        scheduler.finish(slow[index].request, Outcome.DONE, index * 3000 + 2000)
    for work in slow[3:]:
        scheduler.submit(work, 9000)
    assert len(list(scheduler.start(9000))) == 1
    short = job('quick', URGENT, at=9000).as_work()
    scheduler.submit(short, 9001)
    assert list(scheduler.start(9001)) == [short]


def check_fates(make_queue, seed):
    random = Random(seed)
    jobs = list(random_jobs(random))
    done = Upstream(make_queue(random.randint(1, 3)), jobs, 1e6).run()
    assert len(done) == len(jobs)
    for row in done:
        has_run = row.status == 'done'
        assert has_run or row.status in ('refused', 'expired'), row
        assert has_run == (row.start_ms < 1e9), row
        assert not has_run or row.wait_ms() <= row.timeout_ms, row


@then('random work is started once before its deadline or reported once as not run')
def check_conservation(context):
    cases(60)(hypothesis_given(SEEDS)(lambda seed: check_fates(queue, seed)))()


@then('the deadline check fails on a first-in-first-out queue')
def check_fifo_late(context):
    assert any(fails(check_fates, FifoQueue, seed) for seed in range(5))


@then('the queue starts the work of one customer in order of the deadlines')
def check_deadline_order(context):
    @cases(50)
    @hypothesis_given(
        strategies.lists(strategies.integers(1000, 9000), min_size=2, max_size=30)
    )
    def check(timeouts):
        scheduler = queue(slots=1, longest_wait_ms=1e9)
        for timeout_ms in timeouts:
            scheduler.submit(job(timeout_ms=timeout_ms).as_work(), 0)
        started = []
        for _ in range(scheduler.queued()):
            (work,) = scheduler.start(1)
            started.append(work.deadline_ms)
            scheduler.finish(work.request, Outcome.DONE, 1)
        assert started == sorted(started), started

    check()


@then('accepted work starts within the longest wait and the rest is refused at once')
def check_refusal(context):
    scheduler = queue(longest_wait_ms=500)
    results = [scheduler.submit(job().as_work(), 0) for _ in range(2000)]
    refused = [row.failure() for row in results if isinstance(row, Failure)]
    # Without an estimate work counts as 50 ms, so two slots run 20 in 500 ms.
    assert 18 <= 2000 - len(refused) <= 22, len(refused)
    assert all(row.reason == REASON_QUEUE_FULL for row in refused)
    assert all(row.retry_after_ms > 0 for row in refused)
    jobs = [job(at=index * 2.0, timeout_ms=4000) for index in range(3000)]
    done = Upstream(queue(longest_wait_ms=500), jobs, 1e5).run()
    waits = [row.wait_ms() for row in done if row.status == 'done']
    assert max(waits) < 1.25 * 500, max(waits)
    assert all(row.status in ('done', 'refused') for row in done)


@then('cancelled queued work never runs and cancelled running work is returned')
def check_cancel(context):
    @cases(50)
    @hypothesis_given(SEEDS)
    def check(seed):
        random = Random(seed)
        scheduler = queue()
        works = [row.as_work() for row in random_jobs(random, 30)]
        accepted = [
            work for work in works if scheduler.submit(work, 0) == Success(None)
        ]
        running = list(scheduler.start(0))
        cancelled = random.sample(accepted, len(accepted) // 2)
        for work in cancelled:
            expected = work if work in running else None
            assert scheduler.cancel(work.request, 1) is expected
        left = len(accepted) - len({work.request for work in (*cancelled, *running)})
        assert scheduler.queued() == left
        while running:
            scheduler.finish(running.pop().request, Outcome.CANCELLED, 1)
            started = list(scheduler.start(1))
            assert not set(started) & set(cancelled)
            running += started

    check()


@then('the queue uses fewer slots after a shed and all slots later')
def check_shed(context):
    scheduler = queue(slots=3, longest_wait_ms=1e9)
    for _ in range(10):
        scheduler.submit(job().as_work(), 0)
    first, second, third = scheduler.start(0)
    scheduler.finish(third.request, Outcome.SHED, 1)
    scheduler.requeue(third, 150)
    assert not list(scheduler.start(1))
    scheduler.finish(second.request, Outcome.DONE, 2)
    assert len(list(scheduler.start(2))) == 1
    assert scheduler.next_event_ms(2) < 200
    assert third not in list(scheduler.start(149)), 'started before its delay ended'
    scheduler.finish(first.request, Outcome.DONE, 300)
    list(scheduler.start(300))
    assert scheduler.running() == 3


def finish_random(scheduler, running, random, now_ms):
    """Finish, shed or fail a random request; return its key unless it was shed."""
    work = running.pop(random.randrange(len(running)))
    outcome = random.choice(list(Outcome))
    scheduler.finish(work.request, outcome, now_ms)
    if outcome is not Outcome.SHED:
        return [work.request]
    scheduler.requeue(work, now_ms + random.uniform(0, 300))
    return []


def random_operations(seed):
    random = Random(seed)
    scheduler = queue(slots=random.randint(1, 4))
    accepted, running, ended = [], [], []
    now_ms = 0
    for row in random_jobs(random, 120):
        now_ms += random.uniform(0, 60)
        work = replace(row.as_work(), deadline_ms=now_ms + row.timeout_ms)
        if scheduler.submit(work, now_ms) == Success(None):
            accepted.append(work)
        if random.random() < 0.05:
            scheduler.set_slots(random.randint(1, 4), now_ms)
        if accepted and random.random() < 0.2:
            cancelled = random.choice(accepted)
            queued_before = scheduler.queued()
            scheduler.cancel(cancelled.request, now_ms)
            ended += [cancelled.request] * (queued_before - scheduler.queued())
        while running and random.random() < 0.6:
            ended += finish_random(scheduler, running, random, now_ms)
        ended += [expired.request for expired in scheduler.expire(now_ms)]
        running += scheduler.start(now_ms)
        assert scheduler.running() == len(running)
    while running or scheduler.queued():
        event_ms = scheduler.next_event_ms(now_ms)
        now_ms = now_ms + 5 if running else max(now_ms + 0.01, event_ms)
        if running:
            ended += finish_random(scheduler, running, random, now_ms)
        ended += [expired.request for expired in scheduler.expire(now_ms)]
        running += scheduler.start(now_ms)
    ended += [expired.request for expired in scheduler.expire(now_ms)]
    return scheduler, accepted, ended


@then('after random operations every request has ended once and the queue is empty')
def check_operations(context):
    @cases(100)
    @hypothesis_given(SEEDS)
    def check(seed):
        scheduler, accepted, ended = random_operations(seed)
        assert len(ended) == len(set(ended)) == len(accepted)
        assert set(ended) == {work.request for work in accepted}
        assert scheduler.running() == 0
        idle = job(at=1e7, timeout_ms=1000).as_work()
        assert scheduler.expected_wait_ms(idle, 1e7) == 0
        assert scheduler.next_event_ms(1e7) == float('inf')
        assert scheduler.submit(idle, 1e7) == Success(None)
        assert list(scheduler.start(1e7)) == [idle]

    check()


@then('a customer whose slow work has become fast is served again')
def check_estimate_recovers(context):
    slow = [job(run_ms=5000, at=index * 6000.0) for index in range(5)]
    fast = [job(run_ms=20, at=40_000 + index * 50.0) for index in range(200)]
    for row in fast:
        row.timeout_ms = 400
    done = Upstream(queue(), slow + fast, 1e6).run()
    statuses = [row.status for row in done if row.arrival_ms > 45_000]
    assert set(statuses) == {'done'}, statuses


@then('retries of 10000 failing requests stay within the budget')
def check_budget(context):
    budget = RetryBudget(ratio=0.1, minimum_per_s=1, now_ms=0)
    retries = 0
    for index in range(10_000):
        budget.deposit(index)
        while budget.withdraw(index):
            retries += 1
    # A tenth of the requests, plus 1/s for 10 s and a burst of 5 s.
    assert 1000 <= retries <= 1000 + 10 + 5, retries
    for _ in range(10_000):
        budget.deposit(20_000)
    saved = sum(budget.withdraw(20_000) for _ in range(1000))
    assert saved <= MAX_SAVED_RETRIES + 5, saved


@then('backoff delays of equal attempts differ and stay within their bounds')
def check_backoff(context):
    random = Random(4)
    for attempt in range(40):
        delays = [backoff_ms(attempt, random, 70) for _ in range(20)]
        assert len(set(delays)) == 20
        assert all(70 < delay <= 70 + MAX_BACKOFF_MS for delay in delays)


def selection(count=7):
    return make_selection_factory(PoolCase(count, 2))(0)


def flow_counts(chooser, now_ms, flows=2000):
    chosen = [chooser.choose(flow, ALL, now_ms) for flow in flow_ids(flows)]
    return {name: chosen.count(name) for name in set(chosen)}


@then('random errors never eject more than the largest allowed share of the pool')
def check_cap(context):
    @cases(100)
    @hypothesis_given(SEEDS, strategies.integers(1, 12))
    def check(seed, count):
        random = Random(seed)
        chooser = selection(count)
        bad = random.sample(range(count), random.randint(0, count))
        for now_ms in range(0, 30_000, 20):
            index = random.randrange(count)
            outcome = Outcome.FAILED if index in bad else Outcome.DONE
            chooser.observe(UpstreamId(f'u{index}'), outcome, 5, now_ms)
            ejected = chooser.ejected(now_ms)
            assert len(ejected) <= 0.3 * count, (ejected, count)
            assert chooser.choose(FlowId(random.randbytes(16)), ALL, now_ms)

    check()


@then('a failing upstream that reports itself healthy is ejected and returns slowly')
def check_failing_but_healthy(context):
    chooser = selection()
    for row in make_upstream_rows(7, 2):
        chooser.report_load(row.name, Load(100, 0, 0, 2, is_healthy=True), 0)
        outcome = Outcome.FAILED if row.name == 'u3' else Outcome.DONE
        for index in range(20):
            chooser.observe(row.name, outcome, 5, index * 20.0)
    assert chooser.ejected(400) == {'u3'}
    assert 'u3' not in flow_counts(chooser, 400)
    returned = flow_counts(chooser, 5500)
    assert 0 < returned['u3'] < 0.5 * 2000 / 7, returned


@then('a working upstream that reports itself unhealthy keeps its flows')
def check_working_but_unhealthy(context):
    chooser = selection()
    for row in make_upstream_rows(7, 2):
        is_healthy = row.name != 'u3'
        chooser.report_load(row.name, Load(100, 0, 0, 2, is_healthy), 0)
    flows_before = flow_counts(chooser, 1, flows=200)
    for row in make_upstream_rows(7, 2):
        for index in range(20):
            chooser.observe(row.name, Outcome.DONE, 5, index * 20.0)
    flows_after = flow_counts(chooser, 10_000)
    assert flows_before.get('u3', 0) < 10, flows_before
    assert flows_after['u3'] > 0.7 * 2000 / 7, flows_after


@then('in a pool of three a failing upstream loses its flows for some seconds')
def check_small_pool(context):
    chooser = selection(3)
    for row in make_upstream_rows(3, 2):
        chooser.report_load(row.name, Load(100, 0, 0, 2, is_healthy=True), 0)
        outcome = Outcome.FAILED if row.name == 'u1' else Outcome.DONE
        for index in range(20):
            chooser.observe(row.name, outcome, 5, index * 20.0)
    assert not chooser.ejected(400)
    assert flow_counts(chooser, 400, flows=100).get('u1', 0) < 5
    assert flow_counts(chooser, 60_000)['u1'] > 0.2 * 2000


@then('a new upstream gets only a small part of the flows at first')
def check_slow_start(context):
    chooser = Selection(SELECTION_OPTIONS)
    chooser.set_upstreams(make_upstream_rows(6, 2), 0)
    chooser.set_upstreams(make_upstream_rows(7, 2), 60_000)
    for row in make_upstream_rows(7, 2):
        flows = 0 if row.name == 'u6' else 2000
        chooser.report_load(row.name, Load(flows, 0, 0, 2, is_healthy=True), 60_000)
    early = flow_counts(chooser, 60_010)
    later = flow_counts(chooser, 66_000)
    # Each choice has two of seven upstreams as candidates; at the start of the ramp a
    # tenth of the choices of the new upstream are accepted.
    assert 0 < early['u6'] < 0.15 * 2 / 7 * 2000, early
    assert later['u6'] > 0.2 * 2000, later


@then('leaving and excluded upstreams are not chosen')
def check_excluded(context):
    chooser = selection()
    first, *others = make_upstream_rows(7, 2)
    leaving = replace(first, state=OperatorState.LEAVING)
    chooser.set_upstreams((leaving, *others), 1)
    excluded = frozenset(UpstreamId(f'u{index}') for index in (1, 2, 3))
    chosen = {chooser.choose(flow, excluded, 2) for flow in flow_ids(500)}
    assert chosen == {'u4', 'u5', 'u6'}, chosen
    other_names = frozenset(row.name for row in others)
    assert chooser.choose(flow_ids(1)[0], other_names, 2) is None


def check_distribution(candidates):
    case = PoolCase(
        7,
        2,
        flows_per_upstream=500,
        horizon_ms=100_000,
        restarted_upstream=2,
        lifetime_ms=40_000,
    )
    result = run_pool(case, make_selection_factory(case, candidates), Random(3))
    settled = [flows for time_ms, flows in result.samples if 40_000 < time_ms < 60_000]
    assert all(max(flows) <= 1.1 * sum(flows) / 7 for flows in settled), settled
    # The empty upstream is a candidate of two in seven choices. The number of its
    # flows is binomial, of which four standard deviations are allowed.
    share = 2 / 7
    for begin_ms in range(60_000, 80_000, 2000):
        window = [
            index
            for time_ms, index in result.choices
            if begin_ms <= time_ms < begin_ms + 2000
        ]
        deviation = (len(window) * share * (1 - share)) ** 0.5
        limit = share * len(window) + 4 * deviation
        assert window.count(2) < limit, (begin_ms, window.count(2), limit)


@then('nine choosers with old reports distribute the flows evenly over the pool')
def check_even(context):
    check_distribution(2)


@then('the check of the distribution fails if each choice compares all upstreams')
def check_distribution_with_all(context):
    assert fails(check_distribution, 7)
