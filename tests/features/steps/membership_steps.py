"""Steps for membership and ownership, on a simulated network and clock."""

import contextlib
import io
import itertools
import math
import random
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from hypothesis import Phase, strategies
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings

from cardamomtiller.identity import (
    DomainName,
    Endpoint,
    InstanceId,
    OperatorState,
    RegionName,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.membership.assignment import LOAD_FACTOR, OwnerTable, owners
from cardamomtiller.membership.gossip import RUMORS_PER_MESSAGE
from cardamomtiller.membership.membership import Membership
from cardamomtiller.membership.view import InstanceState, View
from cardamomtiller.peer_pb2 import MemberRumor, MembershipDelta
from tools.membership_model import DEFAULTS, Model, find_moved, make_rows

NAMES = [row.name for row in make_rows(9, 4)]
OPERATIONS = ('kill', 'start', 'restart', 'pause', 'cut', 'heal', 'loss', 'leaving')


class FailFast(Membership):
    """Faulty variant: declares an instance dead at the first failed probe."""

    def _is_suspicion_expired(self, record, now_ms):
        return True


class IndirectSuspicionOnly(Membership):
    """Faulty variant: treats every suspicion as received in a rumour."""

    def _is_suspicion_expired(self, record, now_ms):
        record.is_directly_suspected = False
        return super()._is_suspicion_expired(record, now_ms)


class IgnoresGaps(Membership):
    """Faulty variant: never counts itself as late after a pause."""

    def is_late(self, now_ms):
        return False


class KeepsIncarnation(Membership):
    """Faulty variant: ignores rumours with a higher incarnation of itself."""

    def _refute(self, rumor, state, now_ms):
        if rumor.incarnation <= self.incarnation:
            super()._refute(rumor, state, now_ms)


def converge(count=9, domains=4, seed=1, membership_class=Membership):
    """Return a model of a fleet whose views have converged."""
    model = Model(make_rows(count, domains), seed, membership_class=membership_class)
    model.start_all()
    assert model.run_until(lambda: model.agree(frozenset(model.rows)), 5000) is not None
    model.run(6000)
    return model


def expect(model):
    """Return the instances that must serve: running and not published as leaving."""
    return frozenset(
        name
        for name, node in model.nodes.items()
        if node.is_up and model.rows[name].state is not OperatorState.LEAVING
    )


def apply(model, operation, name, number):
    """Apply one of ``OPERATIONS`` to the model."""
    node = model.nodes[name]
    match operation:
        case 'kill':
            model.kill(name)
        case 'start' if not node.is_up:
            model.start(name)
        case 'restart':
            model.kill(name)
            model.start(name, clock_step_ms=(number - 50) * 100_000)
        case 'pause':
            model.pause(name, 100 * number)
        case 'cut':
            model.network.sides = {row: index % 2 for index, row in enumerate(NAMES)}
        case 'heal':
            model.network.sides = {}
        case 'loss':
            model.network.loss = number / 300
        case 'leaving':
            row = model.rows[name]
            is_live = row.state is OperatorState.LIVE
            state = OperatorState.LEAVING if is_live else OperatorState.LIVE
            rows = {**model.rows, name: replace(row, state=state)}
            model.publish(rows.values(), spread_ms=2000)


PLANS_OF_FAULTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(OPERATIONS),
        strategies.sampled_from(NAMES),
        strategies.integers(1, 100),
        strategies.integers(0, 4000),
    ),
    min_size=1,
    max_size=10,
)


@then('fleets with random faults agree on the owners within 10 s of the last fault')
def check_random_faults(context):
    @hypothesis_settings(max_examples=40, derandomize=True, deadline=None)
    @hypothesis_given(PLANS_OF_FAULTS, strategies.integers(0, 1000))
    def run(faults, seed):
        model = Model(make_rows(9, 4), seed)
        model.start_all()
        for operation, name, number, wait_ms in faults:
            apply(model, operation, name, number)
            model.run(wait_ms)
        model.network.sides = {}
        model.network.loss = 0.0
        # Wait until all pauses are over and the last published list has arrived.
        last_ms = [node.paused_until_ms for node in model.nodes.values()]
        model.run(max(0.0, *(until - model.now_ms for until in last_ms), 2000))
        expected = expect(model)
        took_ms = model.run_until(lambda: model.agree(expected), 10_000)
        assert took_ms is not None, [
            (name, expected ^ model.serving(node))
            for name, node in model.nodes.items()
            if node.is_up
        ]

    run()


def count_false_deaths(model, duration_ms, since_ms):
    """Count how often views show a running instance as dead, every 100 ms."""
    false_deaths = 0
    for _ in range(int(duration_ms / 100)):
        model.run(100)
        for node in model.running_nodes():
            for name, member in node.membership.current_view().members.items():
                is_up = model.nodes[name].is_up and model.now_ms >= since_ms[name]
                false_deaths += is_up and member.state is InstanceState.DEAD
    return false_deaths


@then('fleets that lose 10% of all messages declare no running instance dead')
def check_loss(context):
    for seed in range(4):
        model = converge(seed=seed)
        model.network.loss = 0.1
        since_ms = dict.fromkeys(model.rows, 0.0)
        assert not count_false_deaths(model, 30_000, since_ms), seed


@then('a membership that needs only one failed probe declares running instances dead')
def check_fail_fast(context):
    model = converge(membership_class=FailFast)
    model.network.loss = 0.1
    assert count_false_deaths(model, 30_000, dict.fromkeys(model.rows, 0.0))


@then(
    'fleets with random joins, restarts and published changes declare no running '
    'instance dead'
)
def check_planned(context):
    generator = random.Random(5)
    for seed in range(5):
        model = converge(seed=seed)
        since_ms = dict.fromkeys(model.rows, 0.0)
        for _ in range(12):
            name = generator.choice(NAMES)
            operation = generator.choice(('restart', 'leaving'))
            apply(model, operation, name, generator.randrange(1, 100))
            if operation == 'restart':
                since_ms[name] = model.now_ms + 3000
            wait_ms = generator.randrange(500, 4000)
            assert not count_false_deaths(model, wait_ms, since_ms), seed


def measure_death(count, domains, membership_class=Membership):
    """Return the time until no other view shows a killed instance as serving."""
    model = converge(count, domains, membership_class=membership_class)
    victim = model.random.choice(list(model.rows))
    model.kill(victim)
    others = frozenset(model.rows) - {victim}
    return model.run_until(lambda: model.agree(others), 20_000)


@then(
    'the death of one of {count:d} instances is detected by all others within 3000 ms'
)
def check_death(context, count):
    took_ms = measure_death(count, 4 if count < 20 else 8)
    assert took_ms is not None and took_ms <= 3000, took_ms


@then('a membership that treats every suspicion as a rumour detects it later')
def check_indirect_suspicion(context):
    took_ms = measure_death(9, 4, IndirectSuspicionOnly)
    assert took_ms is not None and took_ms > 3000, took_ms


@given('a converged fleet of 9 instances')
def make_fleet(context):
    context.model = converge()
    context.name = NAMES[4]


@when('one instance is paused for 20 s and another is killed meanwhile')
def pause_one(context):
    context.model.pause(context.name, 20_000)
    context.model.run(3000)
    context.model.kill(NAMES[7])
    context.model.run(17_000)


@then('the paused instance is late when it resumes, until an exchange succeeds')
def check_late(context):
    node = context.model.nodes[context.name]
    assert node.membership.is_late(context.model.now_ms)
    exchanges_before = node.counters.count('peer.exchanged')
    took_ms = context.model.run_until(
        lambda: not node.membership.is_late(context.model.now_ms), 1000, 1
    )
    assert took_ms is not None
    assert node.counters.count('peer.exchanged') > exchanges_before


@then('its view then shows the killed instance as dead')
def check_killed_shown_as_dead(context):
    view = context.model.nodes[context.name].membership.current_view()
    assert view.members[NAMES[7]].state is InstanceState.DEAD
    assert NAMES[7] not in view.serving_all()


@then('a membership that ignores gaps between calls is not late when it resumes')
def check_ignores_gaps(context):
    model = converge(membership_class=IgnoresGaps)
    model.pause(context.name, 20_000)
    model.run(20_000)
    assert not model.nodes[context.name].membership.is_late(model.now_ms)


@when('one instance is isolated and paused for 5 s')
def isolate_one(context):
    context.model.network.sides = {context.name: 1}
    context.model.pause(context.name, 5000)
    context.model.run(5000)


@then('it is late for the isolation timeout and then serves alone')
def check_serves_alone(context):
    model = context.model
    membership = model.nodes[context.name].membership
    began_ms = model.now_ms
    model.run_until(lambda: not membership.is_late(model.now_ms), 20_000)
    late_ms = model.now_ms - began_ms
    assert abs(late_ms - DEFAULTS.isolation_timeout_ms) <= 100, late_ms
    model.run(5000)
    assert membership.current_view().serving_all() == (context.name,)


@when('one process is restarted with its clock a day behind')
def replace_process(context):
    model = context.model
    context.old_incarnation = model.nodes[context.name].membership.incarnation
    model.kill(context.name)
    model.run(500)
    model.start(context.name, clock_step_ms=-86_400_000)


@then('its incarnation exceeds the previous one before it stops being late')
def check_incarnation(context):
    model = context.model
    membership = model.nodes[context.name].membership
    assert membership.incarnation < context.old_incarnation
    while membership.is_late(model.now_ms):
        model.run(1)
    assert membership.incarnation > context.old_incarnation


@then('no view shows the home in cookies of the previous process as alive')
def check_old_home(context):
    model = context.model
    model.run(3000)
    current = model.nodes[context.name].membership.incarnation
    for node in model.running_nodes():
        view = node.membership.current_view()
        assert not view.is_home_alive(context.name, context.old_incarnation)
        assert view.is_home_alive(context.name, current)
    assert model.agree(frozenset(model.rows))


@then(
    'a membership that keeps its lower incarnation is not shown as alive by its peers'
)
def check_keeps_incarnation(context):
    model = converge(membership_class=KeepsIncarnation)
    model.kill(context.name)
    model.run(500)
    model.start(context.name, clock_step_ms=-86_400_000)
    model.run(3000)
    lower = model.nodes[context.name].membership.incarnation
    for node in model.running_nodes():
        if node is not model.nodes[context.name]:
            assert not node.membership.current_view().is_home_alive(context.name, lower)


@when('one instance announces itself as LEAVING')
def announce_leaving(context):
    context.model.nodes[context.name].membership.leave(context.model.now_ms)


@then('no view shows it as serving after 3000 ms and all show it as leaving')
def check_leaving(context):
    model = context.model
    others = frozenset(model.rows) - {context.name}
    took_ms = model.run_until(lambda: model.agree(others), 3000)
    assert took_ms is not None
    model.run(10_000)
    for node in model.running_nodes():
        member = node.membership.current_view().members[context.name]
        assert member.state is InstanceState.LEAVING, member


@when('one instance is published as leaving and an instance that does not run is added')
def publish_change(context):
    model = context.model
    absent = make_rows(10, 4)[9]
    row = model.rows[context.name]
    rows = {**model.rows, context.name: replace(row, state=OperatorState.LEAVING)}
    model.publish((*rows.values(), absent), spread_ms=1000)
    context.absent = absent
    model.run(4000)


@then('no view shows either of them as serving')
def check_not_serving(context):
    model = context.model
    assert model.agree(frozenset(NAMES) - {context.name})
    for node in model.running_nodes():
        members = node.membership.current_view().members
        assert members[context.name].state is InstanceState.LEAVING
        assert members[context.absent.name].state is InstanceState.JOINING


@then('an unpublished instance is serving in no other view although it sends exchanges')
def check_unpublished(context):
    model = context.model
    unpublished = replace(context.absent, name=InstanceId('stranger'))
    published = dict(model.rows)
    model.rows = {**published, unpublished.name: unpublished}
    node = model.start(unpublished.name)
    model.rows = published
    model.run(4000)
    assert node.counters.count('peer.exchanged') > 10
    ignored = 'membership.unknown_instance'
    assert sum(other.counters.count(ignored) for other in model.running_nodes())
    for other in model.running_nodes():
        if other is not node:
            view = other.membership.current_view()
            assert unpublished.name not in view.members
            assert unpublished.name not in view.serving_all()


@when('one failure domain is partitioned off for 8 s')
def cut_domain(context):
    model = context.model
    context.cut_off = frozenset(
        name for name, row in model.rows.items() if row.domain == 'domain-1'
    )
    model.network.sides = dict.fromkeys(context.cut_off, 1)
    model.run(8000)


@then('the views on each side show exactly the instances of that side as serving')
def check_sides(context):
    model = context.model
    for name, node in model.nodes.items():
        other_side = frozenset(NAMES) - context.cut_off
        expected = context.cut_off if name in context.cut_off else other_side
        assert model.serving(node) == expected, (name, model.serving(node))


@then('all views converge within 5000 ms after the partition')
def check_healed(context):
    model = context.model
    model.network.sides = {}
    took_ms = model.run_until(lambda: model.agree(frozenset(NAMES)), 5000)
    assert took_ms is not None


@then('tables with different pairs of dead instances have different checksums')
def check_checksums(context):
    rows = make_rows(9, 4)
    checksums = set()
    for pair in itertools.combinations_with_replacement(NAMES[1:], 2):
        node = Membership(rows[0], DEFAULTS, 5, 0.0)
        node.set_published(rows, 0.0)
        delta = MembershipDelta()
        for name in NAMES[1:]:
            state = InstanceState.DEAD if name in pair else InstanceState.LIVE
            delta.rumors.add(instance=name, incarnation=7, state=state.value)
        node.merge(NAMES[1], delta, 0.0)
        checksums.add(node.digest(NAMES[1], 0.0).table_checksum)
    assert len(checksums) == 8 + 8 * 7 / 2, len(checksums)


@then('300 arbitrary deltas are merged or ignored')
def fuzz_deltas(context):
    model = converge(4, 2)
    node = model.nodes[NAMES[0]].membership
    rumor = strategies.builds(
        MemberRumor,
        instance=strategies.sampled_from([*NAMES, '', 'x' * 500]),
        incarnation=strategies.integers(0, (1 << 64) - 1),
        state=strategies.integers(0, 9),
        revision=strategies.integers(0, (1 << 32) - 1),
    )
    deltas = strategies.builds(
        MembershipDelta,
        rumors=strategies.lists(rumor, max_size=20),
        table_checksum=strategies.integers(0, (1 << 32) - 1),
    )

    @hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis_given(deltas, strategies.sampled_from(NAMES))
    def run(delta, sender):
        node.merge(sender, delta, model.now_ms)
        answer = node.digest(NAMES[1], model.now_ms)
        assert len(answer.rumors) <= RUMORS_PER_MESSAGE
        assert set(node.view(model.now_ms).members) == set(NAMES[:4])

    run()


def make_upstreams(count, domain='domain-0', region='region-0'):
    """Return upstreams of one failure domain."""
    return tuple(
        UpstreamRow(
            name=UpstreamId(f'upstream-{index:04}'),
            service=ServiceName('service'),
            domain=DomainName(domain),
            region=RegionName(region),
            address=Endpoint('127.0.0.1', 1 + index),
            stream_address=None,
            slots=2,
            state=OperatorState.LIVE,
        )
        for index in range(count)
    )


def make_view(names, domain='domain-0', region='region-0'):
    """Return a view in which these instances serve one failure domain."""
    names = tuple(sorted(names))
    return View(
        serving={DomainName(domain): names}, regions={RegionName(region): names}
    )


def count_moves(assign, upstreams, names, changed):
    """Return the number of upstreams that move, and the minimum that must move."""
    owners_before = dict(assign(upstreams, make_view(names)))
    owners_after = dict(assign(upstreams, make_view(changed)))
    removed = set(names) - set(changed)
    min_moves = sum(owner in removed for owner in owners_before.values())
    if not removed:
        min_moves = math.floor(len(upstreams) / len(changed))
    return len(find_moved(owners_before, owners_after)), min_moves


def is_within_bounds(assign, upstreams, names, generator):
    """Return whether a leave and a join both stay within the bound on moves."""
    removed = generator.choice(names)
    remaining = [name for name in names if name != removed]
    for first, second in ((names, remaining), (remaining, names)):
        moved, min_moves = count_moves(assign, upstreams, first, second)
        if moved > 2 * min_moves + 2:
            return False
    return True


@then('random fleets keep the load bound and move at most twice the minimum plus 2')
def check_moves(context):
    # Without the shrink phase, which would take many minutes after a failure.
    @hypothesis_settings(
        max_examples=60,
        derandomize=True,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
    )
    @hypothesis_given(
        strategies.integers(2, 40), strategies.integers(1, 250), strategies.randoms()
    )
    def run(instances, count, generator):
        names = [f'instance-{generator.getrandbits(24)}' for _ in range(instances)]
        names = list(dict.fromkeys(names))
        upstreams = make_upstreams(count)
        found = OwnerTable().owners(upstreams, make_view(names))
        assert set(found) == {row.name for row in upstreams}
        loads = [list(found.values()).count(name) for name in names]
        assert max(loads) <= math.ceil(LOAD_FACTOR * count / len(names))
        if len(names) > 1:
            assert is_within_bounds(owners, upstreams, names, generator)

    run()


@then('a round-robin assignment moves more upstreams than that')
def check_round_robin(context):
    def assign(upstreams, view):
        names = view.serving_all()
        return {
            row.name: names[index % len(names)] for index, row in enumerate(upstreams)
        }

    names = [f'instance-{index}' for index in range(10)]
    assert not is_within_bounds(assign, make_upstreams(100), names, random.Random(1))


@then('owners are in the failure domain, else in the region, else anywhere')
def check_fallback(context):
    upstreams = make_upstreams(5)
    table = OwnerTable()
    near = InstanceId('near')
    region = InstanceId('region')
    far = InstanceId('far')
    regions = {RegionName('region-0'): (near, region), RegionName('region-1'): (far,)}
    view = View(serving={DomainName('domain-0'): (near,)}, regions=regions)
    assert set(table.owners(upstreams, view).values()) == {near}
    other_domain = {DomainName('domain-9'): (region,)}
    regions = {RegionName('region-0'): (region,), RegionName('region-1'): (far,)}
    view = View(serving=other_domain, regions=regions)
    assert set(table.owners(upstreams, view).values()) == {region}
    view = View(
        serving={DomainName('domain-8'): (far,)},
        regions={RegionName('region-1'): (far,)},
    )
    assert set(table.owners(upstreams, view).values()) == {far}
    assert not table.owners(upstreams, View())


@then('the example in docs/membership.md prints the output that the page shows')
def check_example(context):
    text = (Path(__file__).parents[3] / 'docs' / 'membership.md').read_text()
    code = text.split('```python\n')[1].split('```')[0]
    stated = text.split('```text\n')[1].split('```')[0]
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, 'docs/membership.md', 'exec'), {'__name__': 'example'})
    assert printed.getvalue() == stated, printed.getvalue()
