"""Steps for the evenness of load over the upstreams of a large service."""

from behave import then

from cardamomtiller.forwarding.fleet.loadreport import (
    LoadReport,
    LoadRow,
    ReportKind,
)
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    Reachability,
)
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.placement.subset import CandidateSource
from cardamomtiller.forwarding.published.upstreams import Upstream, token_of
from cardamomtiller.forwarding.routing.options import DEFAULT_PLACEMENT
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig
from tools.evenness_model import LeastCost, Pattern, Shares
from tools.evenness_replay import Replay

# Aims of docs/scarce-capacity.md.
MAX_QUIET_RATIO = 1.15
MAX_SHORTAGE_RATIO = 1.4
WARM_UP_MS = 8_000
# Long enough that the random number of requests of an upstream varies by less than 5%.
LENGTH_MS = 20_000
NEVER_MS = 1e9
QUIET = Pattern('quiet', 65, 200, upstreams=12, change_ms=NEVER_MS)
LARGE = Pattern('large', 195, 600, upstreams=48, change_ms=NEVER_MS)
DOMAINS = ('d0', 'd1', 'd2')
UPSTREAMS_PER_DOMAIN = 20
FULL_BUSY = 100


def replay(pattern, policy=Shares, warm_up_ms=WARM_UP_MS, length_ms=LENGTH_MS):
    """Return the figures of a pattern."""
    return Replay(pattern, policy, 1).run(warm_up_ms, length_ms)


@then('the busiest upstream has at most 1.15 times the mean work on a quiet day')
def step_quiet(context):
    assert replay(QUIET).run_ratio <= MAX_QUIET_RATIO


@then('fewer flows meet a full upstream than by least cost, and wait for less time')
def step_large(context):
    shares = replay(LARGE, warm_up_ms=2_000, length_ms=4_000)
    least_cost = replay(LARGE, LeastCost, 2_000, 4_000)
    assert shares.full_share < least_cost.full_share
    assert shares.wait_ms < least_cost.wait_ms
    assert shares.window_ratio < least_cost.window_ratio


@then('the busiest upstream has at most 1.4 times the mean work under shortage')
def step_shortage(context):
    burst = QUIET._replace(burst=1.7, change_ms=WARM_UP_MS)
    assert replay(burst, length_ms=12_000).run_ratio <= MAX_SHORTAGE_RATIO
    slow = QUIET._replace(load=0.5, slowdown=4.0, change_ms=WARM_UP_MS)
    assert replay(slow, length_ms=12_000).run_ratio <= MAX_SHORTAGE_RATIO


@then('the busiest upstream has at most 1.15 times the mean work without an aggregator')
def step_lost(context):
    lost = QUIET._replace(lost_domain=0, change_ms=WARM_UP_MS)
    assert replay(lost).run_ratio <= MAX_QUIET_RATIO


@then('a fleet of 9 instances places each flow as by least cost')
def step_small(context):
    small = Pattern('small', 9, 100, upstreams=7, slots=3, change_ms=NEVER_MS)
    assert replay(small, Shares, 0, 5_000) == replay(small, LeastCost, 0, 5_000)


def make_pool(numbers=range(3 * UPSTREAMS_PER_DOMAIN)):
    """Return a pool with one upstream for each number, spread over the domains."""
    entries = [
        rig.entry(f'u-{number}', domain=DOMAINS[number % len(DOMAINS)])
        for number in numbers
    ]
    return tuple(Upstream(entry, token_of(entry.upstream), 0) for entry in entries)


def make_source(number=0):
    """Return the candidate source of an instance of the first domain."""
    instance = InstanceId(f'i-{number}')
    locality = Locality(DomainName(DOMAINS[0]), {}, instance)
    return CandidateSource(locality, DEFAULT_PLACEMENT)


def select(pool, source=None, flow_hash=0, loads=None, reachability=None):
    """Return the candidates of an instance with a small part of the load."""
    loads = loads or LoadTable()
    loads.own_share = 0.01
    reachability = reachability or Reachability(DEFAULT_REACHABILITY)
    return (source or make_source()).select(pool, loads, reachability, flow_hash, 0)


def preferred(pool, number=0):
    """Return the ids of the candidates that two flows have in common."""
    source = make_source(number)
    both = [
        {upstream.entry.upstream for upstream in select(pool, source, flow_hash)}
        for flow_hash in (0, 1)
    ]
    return both[0] & both[1]


@then('an instance prefers upstreams of its own failure domain')
def step_local(context):
    candidates = select(make_pool())
    assert len(candidates) < UPSTREAMS_PER_DOMAIN
    assert {upstream.entry.domain for upstream in candidates} == {DOMAINS[0]}


@then('an upstream that comes or goes changes at most one preferred upstream')
def step_change(context):
    numbers = range(3 * UPSTREAMS_PER_DOMAIN)
    before = preferred(make_pool(numbers))
    for gone in numbers:
        after = preferred(make_pool(number for number in numbers if number != gone))
        assert len(before - after) <= 1
        assert len(after - before) <= 1


@then('an upstream that no instance prefers still gets flows')
def step_holders(context):
    pool = make_pool()
    source = make_source()
    local = {upstream for upstream in pool if upstream.entry.domain == DOMAINS[0]}
    reached = {
        upstream
        for flow_hash in range(UPSTREAMS_PER_DOMAIN)
        for upstream in select(pool, source, flow_hash)
    }
    assert reached == local


@then('the whole pool is compared if all preferred upstreams are busy')
def step_busy(context):
    pool = make_pool()
    loads = LoadTable()
    for upstream in select(pool):
        loads.get_or_create(upstream.token).change_in_progress(FULL_BUSY, 0)
    domains = {upstream.entry.domain for upstream in select(pool, loads=loads)}
    assert domains == set(DOMAINS)


@then('the whole pool is compared if all preferred upstreams are unreachable')
def step_unreachable(context):
    pool = make_pool()
    reachability = Reachability(DEFAULT_REACHABILITY)
    for upstream in select(pool):
        reachability.declare_unreachable(upstream.token, 'test', 0)
    candidates = select(pool, reachability=reachability)
    assert {upstream.entry.domain for upstream in candidates} == set(DOMAINS)


def reported_loads(rows):
    """Return the loads of the others after an answer of the aggregator."""
    members = [
        Member(InstanceId(f'i-{index}'), DomainName('a'), f'10.0.0.{index:03}', 1)
        for index in range(200)
    ]
    loads = LoadTable()
    tokens = [upstream.token for upstream in make_pool()]
    for token in tokens:
        loads.get_or_create(token)
    sharing = LoadSharing(members[-1], loads, DEFAULT_SHARING)
    list(sharing.due_reports(members[:-1], 0))
    busy = [float(10 + index) for index in range(rows)]
    report = LoadReport(
        ReportKind.INSTANCE_ANSWER,
        tuple(
            LoadRow(token, load, 0)
            for token, load in zip(tokens[:rows], busy, strict=True)
        ),
    )
    sharing.handle_report(members[0], report, 0)
    sharing.update_loads(1)
    return [loads.get_or_create(token).others_busy for token in tokens], busy


@then('they count with the least load that the report has')
def step_unreported(context):
    loads, busy = reported_loads(16)
    assert loads[:16] == busy
    assert set(loads[16:]) == {min(busy)}


@then('a report with few rows leaves out idle upstreams only')
def step_short_report(context):
    loads, busy = reported_loads(8)
    assert loads[:8] == busy
    assert set(loads[8:]) == {0}
