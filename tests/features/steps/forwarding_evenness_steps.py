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
from cardamomtiller.forwarding.published.upstreams import Upstream, token_of
from cardamomtiller.ids import DomainName, InstanceId
from tests import forwarding_rig as rig

DOMAINS = ('d0', 'd1', 'd2')
UPSTREAMS_PER_DOMAIN = 20


def make_pool(numbers=range(3 * UPSTREAMS_PER_DOMAIN)):
    """Return a pool with one upstream for each number, spread over the domains."""
    entries = [
        rig.entry(f'u-{number}', domain=DOMAINS[number % len(DOMAINS)])
        for number in numbers
    ]
    return tuple(Upstream(entry, token_of(entry.upstream), 0) for entry in entries)


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
