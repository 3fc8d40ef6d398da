"""Steps for the quota of upstreams in slow start."""

from itertools import islice
from random import Random

from behave import then

from cardamomtiller.forwarding.member import Member, rank
from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    ProbeResult,
)
from cardamomtiller.forwarding.published.configuration import ServiceLimits
from cardamomtiller.forwarding.routing.options import DEFAULT_ADMISSION
from cardamomtiller.forwarding.warmup.gate import permits_of
from cardamomtiller.forwarding.warmup.holders import DEFAULT_HOLDERS, HolderTable
from cardamomtiller.forwarding.warmup.options import WarmupOptions
from cardamomtiller.forwarding.warmup.sendrecord import WINDOW_MS, SendRecord
from tests import forwarding_rig as rig
from tests.warmup_rig import NETWORK_MS, Fleet

LOCAL = Member('i-0', rig.LOCAL_DOMAIN, '10.0.0.1', 1.0)
OTHER = Member('i-1', rig.LOCAL_DOMAIN, '10.0.0.2', 1.0)
KNOWN_MS = 10_000
WARMUP_MS = 5000.0
LIMITS = {'orders': ServiceLimits(warmup_ms=WARMUP_MS, warmup_per_s=20)}
WARMUP = rig.FORWARDING_WITHOUT_LIMIT._replace(warmup=WarmupOptions(1.5, 5))


def disturb(count, domains, start_ms):
    """Run a fleet through starts, restarts, joins and splits."""
    fleet = Fleet(count, domains, (2.5, 5, 7.25, 3.1 * count))
    fleet.run(start_ms)
    fleet.check()
    fleet.restart(0.3)
    fleet.add(count // 5)
    fleet.run(8000)
    # Between failure domains, then across all of them.
    in_one_domain = [host for host in fleet.nodes if host.startswith('10.0.')]
    for cut_off in (in_one_domain, fleet.some(0.5)):
        fleet.split(cut_off)
        fleet.run(9000)
        fleet.restart(0.4)
        fleet.run(8000)
    fleet.split([])
    fleet.run(5000)
    fleet.check()


@then('fleets of 9 to 195 instances stay within each quota whatever happens to them')
def step_fleets(context):
    for count, domains, start_ms in (
        (9, 3, 8000),
        (65, 3, 20_000),
        (89, 8, 8000),
        (195, 8, 25_000),
    ):
        disturb(count, domains, start_ms)


@then('so does a fleet of 590 instances while they start, join and are killed')
def step_large_fleet(context):
    fleet = Fleet(590, 8, (5, 1800))
    fleet.run(70_000)
    fleet.restart(0.3)
    fleet.add(60)
    fleet.run(10_000)
    fleet.check()


def update(target, now_ms, others=(OTHER,)):
    """Pass members that were just heard to a forwarder or a gate."""
    target.update_members(LOCAL, [(other, now_ms) for other in others], now_ms)


def knowing_forwarder(names=('u-1',), options=WARMUP, left_ms=0):
    """Return a forwarder that knows the fleet, with upstreams of the given rest."""
    forwarder = rig.make_forwarder((), options=options)
    limited = rig.configuration(2)._replace(service_limits=LIMITS)
    forwarder.apply_configuration(limited, 0)
    for now_ms in range(0, KNOWN_MS + 1, 500):
        update(forwarder, now_ms)
    for name in names:
        forwarder.apply_entry(rig.entry(name, slow_start_left_ms=left_ms), KNOWN_MS)
    return forwarder


def opened(forwarder, count, now_ms, first_port=1000):
    """Open flows; return how many leave at once and how many are reset."""
    deliveries = [
        delivery
        for port in range(first_port, first_port + count)
        for delivery in rig.handle(forwarder, rig.opening(port), now_ms)
    ]
    resets = sum(map(rig.is_reset, deliveries))
    return len(deliveries) - resets, resets


# A quota of 20 * 1.5 + 5, divided between two instances.
PARTS = {permits_of(35) // 2, permits_of(35) - permits_of(35) // 2}


@then('an instance holds nothing before it knows the fleet, nor just after a restart')
def step_unknown_fleet(context):
    fleet = Fleet(9, 3, (30,))
    fleet.run(8000)
    fleet.arrivals.clear()
    fleet.restart(1)
    fleet.run(1300)
    assert not any(fleet.arrivals.values())
    forwarder = rig.make_forwarder((), options=WARMUP)
    forwarder.apply_entry(rig.entry('u-1', slow_start_left_ms=60_000), 0)
    for now_ms in range(0, 30_000, 500):
        update(forwarder, now_ms, others=())
    assert opened(forwarder, 5, 30_000) == (0, 5)


@then('an instance of a large failure domain waits until it knows most members')
def step_large_domain(context):
    random = Random(1)
    peers = [LOCAL._replace(host=f'10.0.1.{number}') for number in range(100)]
    table = HolderTable(LOCAL.domain, (), DEFAULT_HOLDERS)
    contacts = {}
    for now_ms in range(0, 600_000, 500):
        # The reader candidates are in every announcement, the others in a few.
        if now_ms % 2000 == 0:
            heard = [*rank(peers)[:3], *random.sample(peers, 4)]
            contacts.update(dict.fromkeys(heard, now_ms))
        table.update(LOCAL, contacts.items(), now_ms)
        if table.is_settled:
            break
    assert table.is_settled and table.size > 90, table.size


@then('an instance that is cut off, with its failure domain or alone, keeps its part')
def step_cut_domain(context):
    remote = OTHER._replace(host='10.0.0.3', domain='b')
    for others in ((OTHER, remote), (OTHER,)):
        table = HolderTable(LOCAL.domain, ('a', 'b', 'c'), DEFAULT_HOLDERS)
        for now_ms in range(0, KNOWN_MS, 500):
            table.update(LOCAL, [(other, now_ms) for other in others], now_ms)
        assert table.part('u-1', 'b', 30) == 5
        for now_ms in range(KNOWN_MS, 60_000, 500):
            table.update(LOCAL, (), now_ms)
        assert table.part('u-1', 'b', 30) == 5


@then('copies of openings and requests on open flows use up the part')
def step_copies(context):
    forwarder = knowing_forwarder(left_ms=60_000)
    token = rig.open_flow(forwarder, 900, KNOWN_MS)
    rig.handle(forwarder, rig.opening(901), KNOWN_MS)
    for copy in (1, 2):
        assert len(rig.handle(forwarder, rig.opening(901, copy), KNOWN_MS)) == 1
    for port in (902, 903):
        request = rig.packet(port, seq=101, ack=500, size=10, token=token)
        assert rig.handle(forwarder, request, KNOWN_MS)
    assert opened(forwarder, 40, KNOWN_MS + 100)[0] + 6 in PARTS


@then('requests of two windows never arrive within one second')
def step_window(context):
    record = SendRecord()
    for _ in range(3):
        record.add(1, 0)
    free = list(islice(record.free_times_ms(1, 4, 100), 5))
    assert free[0] == 100
    assert free[1] - NETWORK_MS >= 1000
    assert record.count(1, free[1] - 1) == 3
    assert record.count(1, free[1]) == 0


def fail_probe(forwarder, token, now_ms):
    """Let an upstream become unreachable."""
    reachability = forwarder.observer.reachability
    reachability.suspect(token, now_ms)
    for _ in range(DEFAULT_REACHABILITY.max_timeouts):
        list(reachability.due_probes(now_ms))
        forwarder.observer.handle_probe_result(token, ProbeResult.TIMED_OUT, now_ms)
    forwarder.sweep(now_ms)


@then('an upstream that was unreachable counts for the period after its return')
def step_returned(context):
    forwarder = knowing_forwarder()
    upstream = forwarder.directory.find('u-1')
    assert opened(forwarder, 40, KNOWN_MS) == (40, 0)
    fail_probe(forwarder, upstream.token, 20_000)
    assert opened(forwarder, 40, 20_100, 2000)[0] in PARTS
    list(forwarder.observer.reachability.due_probes(22_000))
    forwarder.observer.handle_probe_result(
        upstream.token, ProbeResult.CONNECTED, 22_000
    )
    assert opened(forwarder, 40, 22_000, 3000)[0] in PARTS
    forwarder.sweep(22_100)
    assert opened(forwarder, 40, 22_000 + WARMUP_MS - 1400, 4000)[0] in PARTS
    forwarder.sweep(22_000 + WARMUP_MS)
    assert opened(forwarder, 40, 22_000 + WARMUP_MS, 5000) == (40, 0)
    fail_probe(forwarder, upstream.token, 40_000)
    forwarder.apply_entry(rig.entry('u-1', incarnation=2), 40_100)
    assert opened(forwarder, 40, 40_100, 6000) == (40, 0)


@then('a lost entry that returns counts unless a later number proves its rest')
def step_lost_entry(context):
    for sequence, is_limited in ((0, True), (1, False)):
        forwarder = knowing_forwarder()
        forwarder.remove_entry('u-1', 20_000)
        forwarder.apply_entry(rig.entry('u-1', sequence=sequence), 20_500)
        sent, _ = opened(forwarder, 40, 20_500)
        assert (sent < 40) is is_limited


@then('an old rest from a store that is away ends within the stated period')
def step_old_rest(context):
    forwarder = knowing_forwarder(left_ms=60_000)
    end_ms = KNOWN_MS + WARMUP_MS
    sent, resets = opened(forwarder, 40, end_ms - 1)
    assert sent in PARTS and not resets
    assert sent + len(list(forwarder.release_waiting(end_ms))) == 40
    assert opened(forwarder, 40, end_ms, 2000) == (40, 0)


@then(
    'openings wait for the quota, as many as can be in time, and all others are '
    'refused at once'
)
def step_all_cold(context):
    forwarder = knowing_forwarder(('u-1', 'u-2'), left_ms=60_000)
    sent, resets = opened(forwarder, 100, KNOWN_MS)
    assert sent in {2 * part for part in PARTS} | {sum(PARTS)}
    # The next permits are free later than an opening may wait.
    assert (resets, forwarder.admission.waiting) == (100 - sent, 0)
    free_ms = KNOWN_MS + WINDOW_MS
    assert opened(forwarder, 100, free_ms - 200, 2000) == (0, 100 - sent)
    assert not list(forwarder.release_waiting(free_ms - 1))
    assert len(list(forwarder.release_waiting(free_ms))) == sent


@then('an opening is refused at once if this instance holds no part of any upstream')
def step_no_part(context):
    forwarder = knowing_forwarder(left_ms=60_000)
    limits = {'orders': ServiceLimits(warmup_ms=WARMUP_MS)}
    options = rig.configuration(3)._replace(service_limits=limits)
    forwarder.apply_configuration(options, KNOWN_MS)
    # Two permits of a quota of 5, so each of the two instances has one.
    assert opened(forwarder, 10, KNOWN_MS) == (1, 9)
    lone = rig.make_forwarder((), options=WARMUP)
    lone.apply_entry(rig.entry('u-1', slow_start_left_ms=60_000), 0)
    assert opened(lone, 10, 0) == (0, 10)
    assert not lone.admission.waiting


@then('flows go to warm upstreams while a whole failure domain is in slow start')
def step_cold_domain(context):
    forwarder = knowing_forwarder(('u-1', 'u-2'), left_ms=60_000)
    forwarder.apply_entry(rig.entry('v-1', domain='b'), KNOWN_MS)
    sent, resets = opened(forwarder, 200, KNOWN_MS)
    assert (sent, resets) == (200, 0)
    warm = forwarder.observer.loads.get_or_create(forwarder.directory.find('v-1').token)
    assert warm.in_progress >= 200 - 2 * max(PARTS)


@then('the gate is not active without upstreams in slow start, or without both bounds')
def step_inactive(context):
    assert opened(knowing_forwarder(), 40, KNOWN_MS) == (40, 0)
    unlimited = rig.FORWARDING_WITHOUT_LIMIT
    assert unlimited.warmup is None
    cold = knowing_forwarder(options=unlimited, left_ms=60_000)
    assert opened(cold, 40, KNOWN_MS) == (40, 0)
    assert DEFAULT_ADMISSION.wait.max_age_ms < 1300
