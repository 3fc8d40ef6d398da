"""Steps for the admission of opening packets."""

from behave import then

from cardamomtiller.forwarding.admission.limit import (
    PoolUse,
    StartWindow,
    instance_limit,
    measure_pool,
)
from cardamomtiller.forwarding.admission.waitqueue import WaitQueue
from cardamomtiller.forwarding.observation.reachability import ProbeResult
from cardamomtiller.forwarding.routing.options import (
    DEFAULT_ADMISSION,
    DEFAULT_FORWARDING,
)
from tests import forwarding_rig as rig
from tools.overload_replay import (
    BURST,
    CALM,
    OUTAGES,
    RESTARTS,
    SILENCE,
    Outcome,
    Replay,
)

SEEDS = (0, 1)
OUTAGE_AT_60 = OUTAGES[3]
OUTAGE_AT_90 = OUTAGES[4]
FULL_ANSWERS_SHARE = 0.1
# Differences below this share of the requests are due to the order of random draws.
TOLERANCE = 0.005
LIMIT = DEFAULT_ADMISSION.limit
WAIT = DEFAULT_ADMISSION.wait


class Totals:
    """Outcomes and answers of full upstreams of a pattern over all seeds."""

    def __init__(self, pattern, options):
        """Run the pattern with each seed."""
        self.full_answers = 0
        self.counts = dict.fromkeys(Outcome, 0)
        for seed in SEEDS:
            replay = Replay(pattern, seed, options)
            for outcome, count in replay.run().items():
                self.counts[outcome] += count
            self.full_answers += replay.full_answers

    def share(self, outcome):
        """Return the share of the requests with an outcome."""
        return self.counts[outcome] / sum(self.counts.values())


def compare(pattern):
    """Return the totals of a pattern with and without a limit."""
    with_limit = Totals(pattern, DEFAULT_FORWARDING)
    return with_limit, Totals(pattern, rig.FORWARDING_WITHOUT_LIMIT)


@then('all requests after an outage at 60% load are served, with few full upstreams')
def step_outage(context):
    with_limit, without = compare(OUTAGE_AT_60)
    assert with_limit.counts[Outcome.UNSERVED] == 0, with_limit.counts
    assert without.counts[Outcome.UNSERVED] > 0
    assert with_limit.full_answers <= FULL_ANSWERS_SHARE * without.full_answers


@then('more requests after an outage at 90% load are served than without a limit')
def step_long_outage(context):
    with_limit, without = compare(OUTAGE_AT_90)
    assert with_limit.counts[Outcome.UNSERVED] < without.counts[Outcome.UNSERVED]
    assert with_limit.full_answers < without.full_answers


@then('more requests of a burst are in time than without a limit, and none is lost')
def step_burst(context):
    with_limit, without = compare(BURST)
    assert with_limit.share(Outcome.IN_TIME) > without.share(Outcome.IN_TIME)
    assert with_limit.share(Outcome.UNSERVED) < TOLERANCE
    assert with_limit.full_answers <= FULL_ANSWERS_SHARE * without.full_answers


@then('no packet waits under steady load')
def step_calm(context):
    with_limit, without = compare(CALM)
    assert with_limit.counts == without.counts


@then('no request is late for it while instances return one after the other')
def step_restarts(context):
    with_limit, without = compare(RESTARTS)
    difference = without.share(Outcome.IN_TIME) - with_limit.share(Outcome.IN_TIME)
    assert difference < TOLERANCE, difference


@then('silent upstreams make no request of the others wait')
def step_silence(context):
    with_limit, without = compare(SILENCE)
    difference = without.share(Outcome.IN_TIME) - with_limit.share(Outcome.IN_TIME)
    assert difference < TOLERANCE, difference


def in_progress_after(forwarder, now_ms):
    """Return the requests in progress after expiry."""
    forwarder.sweep(now_ms)
    return forwarder.observer.loads.total_in_progress


@then('a flow that its client has not opened counts as load for a short time only')
def step_unopened(context):
    forwarder = rig.make_forwarder()
    rig.handle(forwarder, rig.opening(1000), 0)
    max_handshake_ms = DEFAULT_FORWARDING.flows.max_handshake_ms
    assert in_progress_after(forwarder, max_handshake_ms) == 1
    assert in_progress_after(forwarder, max_handshake_ms + 1) == 0


@then('an opened flow counts as load until its longest request time')
def step_opened(context):
    forwarder = rig.make_forwarder()
    rig.open_flow(forwarder, 1000)
    max_request_ms = DEFAULT_FORWARDING.flows.max_request_ms
    assert in_progress_after(forwarder, max_request_ms) == 1
    assert in_progress_after(forwarder, max_request_ms + 1) == 0


@then('the limit without reports is the equal part of the capacity')
def step_unknown_others(context):
    assert instance_limit(PoolUse(90, 10, None), instances=9) == 10
    assert instance_limit(PoolUse(90, 10, 0), instances=9) > 10


@then('the limit grows by an equal part of what the reports show as unused')
def step_unused(context):
    assert instance_limit(PoolUse(90, 10, 35), instances=9) == 10 + 45 / 9
    assert instance_limit(PoolUse(90, 10, 200), instances=9) == 10


@then('a pool with less capacity than instances still gets one request')
def step_small_pool(context):
    assert instance_limit(PoolUse(6, 0, None), instances=300) >= 1
    assert instance_limit(PoolUse(0, 0, None), instances=300) >= 1


@then('unreachable upstreams have no capacity')
def step_unreachable(context):
    forwarder = rig.make_forwarder(('u-1', 'u-2'))
    pool = forwarder.directory.pool('orders')
    token = pool[0].token
    observer = forwarder.observer
    before = measure_pool(pool, observer.loads, observer.reachability, LIMIT, 10)
    observer.reachability.suspect(token, 10)
    list(observer.reachability.due_probes(10))
    observer.reachability.handle_probe_result(token, ProbeResult.REFUSED, 10)
    after = measure_pool(pool, observer.loads, observer.reachability, LIMIT, 10)
    assert after.capacity == before.capacity / 2


@then('the limit of a new instance grows only while answers are fast')
def step_start_window(context):
    window = StartWindow(LIMIT)
    for _ in range(10):
        window.record_answer(20, target_latency_ms=100)
    assert window.size == LIMIT.initial_window + 10
    window.record_answer(60, target_latency_ms=100)
    assert window.size == LIMIT.initial_window + 10
    for _ in range(50):
        window.record_answer(150, target_latency_ms=100)
    assert window.size == LIMIT.initial_window


def put(queue, port, now_ms, copy=0, priority=0):
    """Put the opening packet of a flow into a queue; return its flow."""
    datagram = rig.opening(port, copy)
    packet = rig.HeaderFormat().decode(datagram)
    (route,) = rig.configuration().routes.values()
    queue.put(packet, datagram, route._replace(priority=priority), now_ms)
    return packet.flow


@then('a request that can be in time leaves before a late one')
def step_timely_first(context):
    queue = WaitQueue(WAIT)
    late = put(queue, 1000, now_ms=0, copy=1)
    timely = put(queue, 1001, now_ms=50)
    assert queue.pop_next(20, now_ms=60).packet.flow == timely
    assert queue.pop_next(20, now_ms=60).packet.flow == late


@then('the newest request that can be in time leaves first')
def step_newest_first(context):
    queue = WaitQueue(WAIT)
    older = put(queue, 1000, now_ms=0)
    newer = put(queue, 1001, now_ms=10)
    assert queue.pop_next(20, now_ms=20).packet.flow == newer
    assert queue.pop_next(20, now_ms=20).packet.flow == older


@then('a more urgent request leaves first')
def step_priority(context):
    queue = WaitQueue(WAIT)
    urgent = put(queue, 1000, now_ms=0, priority=0)
    put(queue, 1001, now_ms=10, priority=2)
    assert queue.pop_next(20, now_ms=20).packet.flow == urgent


@then('late requests get a turn every few releases')
def step_late_turn(context):
    queue = WaitQueue(WAIT)
    late = put(queue, 1000, now_ms=0, copy=2)
    released = []
    for port in range(1001, 1001 + WAIT.late_turn_interval):
        put(queue, port, now_ms=10)
        released.append(queue.pop_next(20, now_ms=10).packet.flow)
    assert late in released


def limited_forwarder(waiting=1, **changes):
    """Return a forwarder at its limit with some waiting opening packets."""
    limit = LIMIT._replace(initial_window=2)
    wait = WAIT._replace(**changes)
    admission = DEFAULT_ADMISSION._replace(limit=limit, wait=wait)
    options = DEFAULT_FORWARDING._replace(admission=admission)
    forwarder = rig.make_forwarder(options=options)
    for port in (900, 901):
        rig.open_flow(forwarder, port)
    for port in range(1000, 1000 + waiting):
        assert not rig.handle(forwarder, rig.opening(port), 0)
    assert forwarder.admission.waiting == waiting
    return forwarder


@then('a waiting packet is dropped when its next copy does not arrive')
def step_abandoned(context):
    forwarder = limited_forwarder()
    due_ms = WAIT.copy_ages_ms[1] + WAIT.copy_delay_ms
    assert not list(forwarder.release_waiting(due_ms))
    assert forwarder.admission.waiting == 1
    assert not list(forwarder.release_waiting(due_ms + 1))
    assert forwarder.admission.waiting == 0


@then('a packet that has waited long enough is forwarded above the limit')
def step_overdue(context):
    forwarder = limited_forwarder()
    for copy in (1, 2):
        rig.handle(forwarder, rig.opening(1000, copy), WAIT.copy_ages_ms[copy])
    assert not list(forwarder.release_waiting(WAIT.max_age_ms - 1))
    assert len(list(forwarder.release_waiting(WAIT.max_age_ms))) == 1


@then('a copy of a waiting packet does not wait twice')
def step_copy(context):
    forwarder = limited_forwarder()
    rig.handle(forwarder, rig.opening(1000, copy=1), 200)
    assert forwarder.admission.waiting == 1
    (delivery,) = forwarder.release_all_waiting(210)
    copy_number = rig.HEADER.unpack_from(delivery.datagram, rig.FRAME_BYTES)[1]
    assert copy_number == 1


@then('an opening packet that would wait beyond the timeout of its route is reset')
def step_hopeless(context):
    forwarder = limited_forwarder(waiting=3, max_waiting=3)
    (reset,) = rig.handle(forwarder, rig.opening(2000), 1)
    assert rig.is_reset(reset)
    assert forwarder.admission.waiting == 3


@then('a later copy of it is dropped, because the flow may be open by then')
def step_hopeless_copy(context):
    forwarder = limited_forwarder(waiting=3, max_waiting=3)
    assert not rig.handle(forwarder, rig.opening(2000, copy=1), 1)
    assert forwarder.admission.waiting == 3


@then('a waiting packet whose route was removed is reset')
def step_route_removed(context):
    forwarder = limited_forwarder()
    forwarder.apply_configuration(rig.configuration(version=2, ports=(8443,)), 10)
    (reset,) = forwarder.release_all_waiting(20)
    assert rig.is_reset(reset)


@then('a waiting packet does not go to an upstream that drains')
def step_draining(context):
    forwarder = limited_forwarder(waiting=8)
    for name in ('u-1', 'u-2'):
        forwarder.apply_entry(rig.entry(name, is_ready=False), 10)
    deliveries = list(forwarder.release_all_waiting(20))
    assert len(deliveries) == 8
    assert {delivery.address for delivery in deliveries} == {rig.entry('u-3').address}


@then('a process that stops forwards all waiting packets first')
def step_stop(context):
    forwarder = limited_forwarder(waiting=5)
    assert len(list(forwarder.release_all_waiting(10))) == 5
    assert forwarder.admission.waiting == 0
