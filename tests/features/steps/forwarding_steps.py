"""Steps for the forwarding decisions."""

from collections import Counter
from random import Random

from behave import then

from cardamomtiller.forwarding.observation.flows import Flow, FlowOptions, Observation
from cardamomtiller.forwarding.observation.reachability import PathState, ProbeResult
from cardamomtiller.forwarding.observation.unknowntokens import Steadiness
from cardamomtiller.forwarding.placement.selection import sample_candidates
from cardamomtiller.forwarding.published.directory import UpstreamDirectory
from cardamomtiller.forwarding.published.upstreams import (
    UpstreamState,
    token_of,
)
from cardamomtiller.forwarding.routing.options import DEFAULT_FORWARDING
from cardamomtiller.ids import UpstreamId
from tests import forwarding_rig as rig

SEED = 20261204
# Two ids with the same CRC-32.
COLLIDING = ('plumless', 'buckeroo')


@then('an instance without state of a flow forwards its packets to the same upstream')
def step_stateless(context):
    first, second = rig.make_forwarder(), rig.make_forwarder(('u-3', 'u-1', 'u-2'))
    for port in range(1000, 1100):
        token = rig.open_flow(first, port)
        datagram = rig.packet(port, seq=101, ack=500, size=40, token=token)
        (first_delivery,) = rig.handle(first, datagram, 5)
        (second_delivery,) = rig.handle(second, datagram, 5)
        assert first_delivery == second_delivery


@then('every forwarded packet starts with the frame of its upstream')
def step_framed(context):
    forwarder = rig.make_forwarder()
    frames = {rig.entry(name).frame: name for name in ('u-1', 'u-2', 'u-3')}
    for port in range(1000, 1050):
        (delivery,) = rig.handle(forwarder, rig.opening(port), 0)
        name = frames[delivery.datagram[: rig.FRAME_BYTES]]
        assert rig.sent_token(delivery) == token_of(UpstreamId(name))
        assert delivery.address == rig.entry(name).address


@then('an opening packet without a route is reset')
def step_no_route(context):
    forwarder = rig.make_forwarder()
    (delivery,) = rig.handle(forwarder, rig.opening(1000, route_port=444), 0)
    assert rig.is_reset(delivery)
    assert delivery.address == ('100.64.0.7', rig.CLIENT_PORT)


def deliveries_after_loss(is_repeatable=True, is_answered=False, lost_ms=700):
    """
    Make an upstream with a request in progress unreachable; return the deliveries.

    Also checks that each flow is reset only once.
    """
    forwarder = rig.make_forwarder(('u-1',))
    forwarder.apply_configuration(
        rig.configuration(version=2, is_repeatable=is_repeatable), 0
    )
    token = rig.open_flow(forwarder, 1000)
    request = rig.packet(1000, seq=200, ack=500, size=40, token=token)
    rig.handle(forwarder, request, 10)
    if is_answered:
        rig.handle(forwarder, rig.packet(1000, seq=240, ack=900, token=token), 60)
    forwarder.sweep(650)
    forwarder.observer.reachability.suspect(token, lost_ms)
    list(forwarder.observer.reachability.due_probes(lost_ms))
    change = forwarder.observer.reachability.handle_probe_result(
        token, ProbeResult.REFUSED, lost_ms
    )
    forwarder.observer.handle_reachability_change(change, lost_ms)
    sent = list(forwarder.reset_waiting_flows(lost_ms))
    assert not list(forwarder.reset_waiting_flows(lost_ms))
    return sent


@then('flows that wait for an answer are reset when their upstream is unreachable')
def step_waiting_flows_reset(context):
    (delivery,) = deliveries_after_loss()
    assert rig.is_reset(delivery)
    assert delivery.address == ('100.64.0.7', rig.CLIENT_PORT)
    assert rig.HEADER.unpack_from(delivery.datagram)[0] == 500


@then('flows are not reset if answered, timed out or not repeatable')
def step_flows_not_reset(context):
    assert not deliveries_after_loss(is_repeatable=False)
    assert not deliveries_after_loss(is_answered=True)
    assert not deliveries_after_loss(lost_ms=1500)


REGIONS = {'a': 'north', 'b': 'north', 'c': 'south'}


def count_placements(domains, flows):
    """Open flows with one upstream in each domain; return the flows per domain."""
    forwarder = rig.make_forwarder((), domain='a', regions=REGIONS)
    for domain in domains:
        forwarder.apply_entry(rig.entry(f'u-{domain}', domain=domain, slots=2), 0)
    placed = Counter()
    for port in range(1000, 1000 + flows):
        token = rig.open_flow(forwarder, port)
        upstream = forwarder.directory.by_token(token)
        placed[upstream.entry.domain] += 1
    return placed


@then('flows stay in the region while it has free slots, and leave it when it has none')
def step_regions(context):
    assert count_placements('abc', 3) == {'a': 2, 'b': 1}
    assert count_placements('bc', 2) == {'b': 2}
    assert count_placements('bc', 6) == {'b': 4, 'c': 2}


@then('a failure domain without a region in the settings counts as the same region')
def step_unknown_region(context):
    assert count_placements('cx', 2) == {'x': 2}


@then('an opening packet is dropped while there is no configuration')
def step_no_configuration(context):
    forwarder = rig.make_forwarder()
    forwarder.configuration = forwarder.configuration.__class__(-1, {}, 0)
    unconfigured = rig.Forwarder(
        rig.Locality(rig.LOCAL_DOMAIN, {}),
        rig.HeaderFormat(),
        rig.CLIENT_PORT,
        DEFAULT_FORWARDING,
        rig.DecisionLog('test', rig.LogOptions(100, 100, 100), lambda: 0.0),
        rig.Meters(),
    )
    assert not rig.handle(unconfigured, rig.opening(1000), 0)


@then('an older configuration is ignored')
def step_older(context):
    forwarder = rig.make_forwarder()
    forwarder.apply_configuration(rig.configuration(7, ports=(443, 444)), 1)
    forwarder.apply_configuration(rig.configuration(6, ports=(443,)), 2)
    assert forwarder.configuration.version == 7
    (delivery,) = rig.handle(forwarder, rig.opening(1000, route_port=444), 3)
    assert not rig.is_reset(delivery)


@then('packets of an open flow are forwarded after its route was removed')
def step_removed_route(context):
    forwarder = rig.make_forwarder()
    token = rig.open_flow(forwarder, 1000)
    forwarder.apply_configuration(rig.configuration(2, ports=(444,)), 1)
    datagram = rig.packet(1000, seq=101, ack=500, size=40, token=token)
    (delivery,) = rig.handle(forwarder, datagram, 2)
    assert rig.sent_token(delivery) == token


@then('a draining upstream keeps its flows and gets no new flows')
def step_draining(context):
    forwarder = rig.make_forwarder()
    tokens = {port: rig.open_flow(forwarder, port) for port in range(1000, 1060)}
    draining = token_of(UpstreamId('u-2'))
    assert draining in tokens.values()
    forwarder.apply_entry(rig.entry('u-2', is_ready=False), 10)
    for port, token in tokens.items():
        datagram = rig.packet(port, seq=101, ack=500, size=40, token=token)
        (delivery,) = rig.handle(forwarder, datagram, 20)
        assert rig.sent_token(delivery) == token
    placed = {rig.open_flow(forwarder, port, 20) for port in range(2000, 2060)}
    assert draining not in placed


@then('an upstream whose entry was removed keeps its flows until it expires')
def step_departed(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    forwarder.apply_entry(rig.entry('u-1', is_ready=False), 10)
    forwarder.remove_entry(UpstreamId('u-1'), 20)
    datagram = rig.packet(1000, seq=101, ack=500, token=token)
    assert rig.handle(forwarder, datagram, 30_000)
    assert not rig.handle(forwarder, rig.opening(1001), 30_000)
    forwarder.sweep(20 + DEFAULT_FORWARDING.departed_retention_ms + 1)
    assert not rig.handle(forwarder, datagram, 90_000)


@then('upstreams whose entries have just been removed still get flows')
def step_lapsed(context):
    forwarder = rig.make_forwarder()
    for name in ('u-1', 'u-2', 'u-3'):
        forwarder.remove_entry(UpstreamId(name), 10)
    assert rig.handle(forwarder, rig.opening(1000), 20)
    forwarder.apply_entry(rig.entry('u-2'), 30)
    placed = {rig.open_flow(forwarder, port, 40) for port in range(2000, 2003)}
    assert placed == {token_of(UpstreamId('u-2'))}
    forwarder.sweep(10 + DEFAULT_FORWARDING.missing_entry_grace_ms + 1)
    state = forwarder.directory.by_token(token_of(UpstreamId('u-1'))).state
    assert state is UpstreamState.GONE


@then('the token belongs to the smaller id, whatever the order of the entries')
def step_collision(context):
    assert token_of(UpstreamId(COLLIDING[0])) == token_of(UpstreamId(COLLIDING[1]))
    for order in (COLLIDING, COLLIDING[::-1]):
        directory = UpstreamDirectory(2000, 60_000)
        for name in order:
            directory.put(rig.entry(name), 0)
        (only,) = directory.pool('orders')
        assert only.entry.upstream == min(COLLIDING)


@then('the upstream with the larger id gets flows when the token is free')
def step_collision_freed(context):
    directory = UpstreamDirectory(2000, 60_000)
    for name in COLLIDING:
        directory.put(rig.entry(name), 0)
    directory.remove(UpstreamId(min(COLLIDING)), 0)
    directory.expire(2001)
    assert not directory.pool('orders')
    directory.expire(70_000)
    (only,) = directory.pool('orders')
    assert only.entry.upstream == max(COLLIDING)


@then('the second copy of an opening packet goes to another upstream if there is one')
def step_second_copy(context):
    for port in range(1000, 1040):
        forwarder = rig.make_forwarder()
        (first,) = rig.handle(forwarder, rig.opening(port), 0)
        (second,) = rig.handle(forwarder, rig.opening(port, copy=1), 200)
        assert rig.sent_token(first) != rig.sent_token(second)
        single = rig.make_forwarder(('u-1',))
        rig.handle(single, rig.opening(port), 0)
        assert rig.handle(single, rig.opening(port, copy=1), 200)


def send_unanswered_request(forwarder, port, token, start_ms):
    """Send a request and two retransmissions that get no answer."""
    for at_ms in (0, 200, 600):
        datagram = rig.packet(port, seq=101, ack=500, size=40, token=token)
        rig.handle(forwarder, datagram, start_ms + at_ms)


def probe(forwarder, token, now_ms, *results):
    """Apply probe results in turn; check that a probe is due before each one."""
    for result in results:
        assert token in list(forwarder.observer.reachability.due_probes(now_ms))
        forwarder.observer.reachability.handle_probe_result(token, result, now_ms)


def retransmission(port, token):
    """Return the request packet of `send_unanswered_request` again."""
    return rig.packet(port, seq=101, ack=500, size=40, token=token)


@then('a silent upstream that accepts a connection keeps its flows')
def step_slow_upstream(context):
    forwarder = rig.make_forwarder()
    token = rig.open_flow(forwarder, 1000)
    send_unanswered_request(forwarder, 1000, token, 1000)
    assert forwarder.observer.reachability.state(token) is PathState.SUSPECTED
    probe(forwarder, token, 1700, ProbeResult.TIMED_OUT, ProbeResult.CONNECTED)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 1800)
    assert not rig.is_reset(delivery)


@then('a packet without payload is never answered with a reset')
def step_no_payload(context):
    forwarder = rig.make_forwarder()
    token = rig.open_flow(forwarder, 1000)
    send_unanswered_request(forwarder, 1000, token, 1000)
    probe(forwarder, token, 1700, ProbeResult.REFUSED)
    datagram = rig.packet(1000, seq=141, ack=500, token=token)
    (delivery,) = rig.handle(forwarder, datagram, 1800)
    assert not rig.is_reset(delivery)


@then(
    'an unknown token causes a reset only after the source confirmed it for long enough'
)
def step_unknown_token(context):
    needed_ms = DEFAULT_FORWARDING.unknown_token_ms
    forwarder = rig.make_forwarder()
    datagram = retransmission(1000, 12345)
    forwarder.steadiness = Steadiness(0, 10 * needed_ms)
    assert not rig.handle(forwarder, datagram, 0)
    forwarder.steadiness = Steadiness(needed_ms - 1, 10 * needed_ms)
    assert not rig.handle(forwarder, datagram, needed_ms - 1)
    # The replica may lack an upstream that was published after its last confirmation.
    assert not rig.handle(forwarder, datagram, 2 * needed_ms)
    forwarder.steadiness = Steadiness(2 * needed_ms, needed_ms - 1)
    assert not rig.handle(forwarder, datagram, 2 * needed_ms)
    forwarder.steadiness = Steadiness(needed_ms, needed_ms)
    (delivery,) = rig.handle(forwarder, datagram, 2 * needed_ms + 1)
    assert rig.is_reset(delivery)


@then('flows of an upstream that answers no probe are reset, and it gets no new flows')
def step_unreachable(context):
    forwarder = rig.make_forwarder()
    token = rig.open_flow(forwarder, 1000)
    send_unanswered_request(forwarder, 1000, token, 1000)
    probe(forwarder, token, 1700, ProbeResult.TIMED_OUT, ProbeResult.TIMED_OUT)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 1800)
    assert rig.is_reset(delivery)
    placed = {rig.open_flow(forwarder, port, 1900) for port in range(2000, 2040)}
    assert token not in placed


@then('flows of an upstream whose address was reused are reset')
def step_reused(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    address = rig.entry('u-1').address
    new_entry = rig.entry('v-1', 'patterns', address=address, incarnation=2)
    forwarder.apply_entry(new_entry, 900)
    forwarder.remove_entry(UpstreamId('u-1'), 950)
    send_unanswered_request(forwarder, 1000, token, 1000)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 1700)
    assert rig.is_reset(delivery)


def make_unreachable(forwarder):
    """Open a flow, let all probes of its upstream time out, and return its token."""
    token = rig.open_flow(forwarder, 1000)
    send_unanswered_request(forwarder, 1000, token, 1000)
    probe(forwarder, token, 1700, ProbeResult.TIMED_OUT, ProbeResult.TIMED_OUT)
    assert forwarder.observer.reachability.state(token) is PathState.UNREACHABLE
    return token


@then('an upstream that is reachable again keeps its flows')
def step_reachable_again(context):
    forwarder = rig.make_forwarder()
    token = make_unreachable(forwarder)
    probe(forwarder, token, 2300, ProbeResult.CONNECTED)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 2400)
    assert not rig.is_reset(delivery)


@then('an acknowledgement over another path does not make an upstream reachable')
def step_other_path(context):
    forwarder = rig.make_forwarder()
    token = make_unreachable(forwarder)
    rig.handle(forwarder, rig.packet(1000, seq=141, ack=900, token=token), 2000)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 2400)
    assert rig.is_reset(delivery)


@then('a draining upstream that refuses connections keeps its flows until it has left')
def step_draining_refuses(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    forwarder.apply_entry(rig.entry('u-1', is_ready=False), 500)
    send_unanswered_request(forwarder, 1000, token, 1000)
    observer = forwarder.observer
    for now_ms in (1700, 2300):
        assert token in list(observer.reachability.due_probes(now_ms))
        observer.handle_probe_result(token, ProbeResult.REFUSED, now_ms)
        (delivery,) = rig.handle(forwarder, retransmission(1000, token), now_ms)
        assert rig.sent_token(delivery) == token
    forwarder.remove_entry(UpstreamId('u-1'), 2400)
    assert token in list(observer.reachability.due_probes(2900))
    observer.handle_probe_result(token, ProbeResult.REFUSED, 2900)
    (delivery,) = rig.handle(forwarder, retransmission(1000, token), 2900)
    assert rig.is_reset(delivery)


@then('an unreachable upstream makes the others of its failure domain suspected')
def step_neighbours(context):
    forwarder = rig.make_forwarder()
    forwarder.apply_entry(rig.entry('x-1', domain='b'), 0)
    token = rig.open_flow(forwarder, 1000)
    send_unanswered_request(forwarder, 1000, token, 1000)
    list(forwarder.observer.reachability.due_probes(1700))
    refused = ProbeResult.REFUSED
    change = forwarder.observer.reachability.handle_probe_result(token, refused, 1700)
    forwarder.observer.handle_reachability_change(change, 1700)
    expected = {token_of(UpstreamId(name)) for name in ('u-1', 'u-2', 'u-3')}
    assert set(forwarder.observer.reachability.tracked_tokens()) == expected


def declare_upstream_unreachable(forwarder):
    """Declare an upstream with two open flows unreachable; return token and port."""
    ports = {}
    for port in range(1000, 1010):
        ports.setdefault(rig.open_flow(forwarder, port), []).append(port)
    token, (first, second, *_) = max(ports.items(), key=lambda item: len(item[1]))
    for port in range(1000, 1010):
        rig.handle(forwarder, rig.closing(port, token=token), 10)
    for port in (first, second):
        rig.handle(forwarder, rig.packet(port, seq=90, ack=500, token=token), 20)
    forwarder.observer.reachability.declare_unreachable(token, 'test', 30)
    return token, first


@then('flows of an unreachable upstream are reset at once, however busy the others are')
def step_busy_pool(context):
    for busy_flows in (0, 4, 40):
        forwarder = rig.make_forwarder()
        token, port = declare_upstream_unreachable(forwarder)
        for index in range(busy_flows):
            rig.open_flow(forwarder, 2000 + index, 50)
        (delivery,) = rig.handle(forwarder, retransmission(port, token), 100)
        assert rig.is_reset(delivery)


def observe(flow, seq, now_ms):
    """Pass a packet with payload to a flow; return the event."""
    packet = rig.HeaderFormat().decode(rig.packet(1000, seq=seq, ack=500, size=40))
    return flow.observe(packet, now_ms)


@then('reordered packets of a window do not count as retransmissions')
def step_reordered(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    flow = Flow(None, forwarder.directory.by_token(token), 0)
    order = (101, 181, 141, 261, 221, 301)
    seen = [observe(flow, seq, index) for index, seq in enumerate(order)]
    assert Observation.RETRANSMISSION not in seen


@then('a packet that is repeated after a pause counts as a retransmission')
def step_repeated(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    flow = Flow(None, forwarder.directory.by_token(token), 0)
    assert observe(flow, 101, 0) is Observation.REQUEST
    assert observe(flow, 101, 200) is Observation.RETRANSMISSION
    assert observe(flow, 101, 600) is Observation.RETRANSMISSION


@then('the new incarnation gets flows with the same token')
def step_restarted(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    forwarder.remove_entry(UpstreamId('u-1'), 10)
    moved = ('10.0.9.9', 8000)
    forwarder.apply_entry(rig.entry('u-1', address=moved, incarnation=2), 20)
    (delivery,) = rig.handle(forwarder, rig.opening(1001), 30)
    assert delivery.address == moved
    assert rig.sent_token(delivery) == token


def make_large_pool(count=400):
    """Return a pool with upstreams in four failure domains."""
    directory = UpstreamDirectory(2000, 60_000)
    for number in range(count):
        directory.put(rig.entry(f'u-{number}', domain='abcd'[number % 4]), 0)
    return directory.pool('orders')


@then('the number of candidates is bounded, and half of them are local')
def step_sample(context):
    pool = make_large_pool()
    for flow_hash in range(0, 1 << 32, 9_999_991):
        chosen = sample_candidates(pool, rig.LOCAL_DOMAIN, 32, flow_hash)
        assert len(chosen) == len({upstream.token for upstream in chosen}) == 32
        assert (
            sum(upstream.entry.domain == rig.LOCAL_DOMAIN for upstream in chosen) >= 16
        )
    assert sample_candidates(pool[:32], rig.LOCAL_DOMAIN, 32, 5) == list(pool[:32])


@then('every upstream of a large service gets flows')
def step_spread(context):
    pool = make_large_pool()
    random = Random(SEED)
    seen = set()
    for _ in range(1000):
        chosen = sample_candidates(pool, rig.LOCAL_DOMAIN, 32, random.getrandbits(32))
        seen.update(upstream.token for upstream in chosen)
    assert seen == {upstream.token for upstream in pool}


@then('a request counts as load for a bounded time')
def step_stalled(context):
    forwarder = rig.make_forwarder()
    for port in range(1000, 1010):
        rig.open_flow(forwarder, port, port - 1000)
    loads = forwarder.observer.loads
    assert sum(load.in_progress for _, load in loads) == 10
    max_request_ms = DEFAULT_FORWARDING.flows.max_request_ms
    forwarder.sweep(max_request_ms + 4.5)
    assert sum(load.in_progress for _, load in loads) == 5
    forwarder.sweep(max_request_ms + 20)
    assert sum(load.in_progress for _, load in loads) == 0


@then('the flow table stays within its capacity')
def step_capacity(context):
    flows = FlowOptions(
        capacity=50, idle_ms=15_000, max_request_ms=600, max_handshake_ms=150
    )
    forwarder = rig.make_forwarder(
        options=rig.FORWARDING_WITHOUT_LIMIT._replace(flows=flows)
    )
    for port in range(1000, 3000):
        rig.open_flow(forwarder, port)
    forwarder.sweep(1)
    assert forwarder._reporter.meters.gauges['flows'] == 50
    assert sum(load.open_flows for _, load in forwarder.observer.loads) == 50


@then('flows are removed after their idle timeout')
def step_idle(context):
    forwarder = rig.make_forwarder()
    for port in range(1000, 1100):
        rig.open_flow(forwarder, port)
    forwarder.sweep(DEFAULT_FORWARDING.flows.idle_ms + 1)
    assert forwarder._reporter.meters.gauges['flows'] == 0
    assert all(load.in_progress == 0 for _, load in forwarder.observer.loads)


@then('random datagrams are dropped or forwarded without an exception')
def step_random(context):
    random = Random(SEED)
    forwarder = rig.make_forwarder()
    tokens = [token_of(UpstreamId(name)) for name in ('u-1', 'u-2', 'u-3')]
    for number in range(3000):
        datagram = random.randbytes(random.randrange(80))
        if number % 2:
            head = rig.packet(random.randrange(65_536), random.randrange(256))
            datagram = rig.with_token(head, random.choice(tokens)) + datagram
        for delivery in rig.handle(forwarder, datagram, number):
            assert delivery.address[1] > 0
        forwarder.sweep(number)
