"""Steps for what a busy link says about missing answers."""

from behave import then

from cardamomtiller.forwarding.fleet.loadreport import (
    LoadReport,
    LoadRow,
    ReportKind,
)
from cardamomtiller.forwarding.fleet.loadsharing import (
    DEFAULT_SHARING,
    MAX_REPORTED_UNANSWERED,
    LoadSharing,
)
from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import PathState, ProbeResult
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.routing.dispatch import Dispatcher
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog, LogOptions
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.telemetry.reporting import Reporter
from tests import forwarding_rig as rig
from tests.link_rig import payload
from tests.replica_rig import member

LINK = LinkOptions(bytes_per_ms=300)
OPTIONS = rig.FORWARDING_WITHOUT_LIMIT._replace(link=LINK)
START_MS = 10_000
TOKEN = Token(7)


def silent_forwarder():
    """Return a forwarder and the token of an upstream that never answers again."""
    forwarder = rig.make_forwarder(('u-1',), OPTIONS)
    tokens = {rig.open_flow(forwarder, port, START_MS) for port in (1000, 1001)}
    return forwarder, tokens.pop()


def fill_link(forwarder, now_ms):
    """Let 100 ms of packets wait for the link."""
    log = DecisionLog('test', LogOptions(100, 100, 100), lambda: 0.0)
    evidence = forwarder.observer.evidence
    rate = forwarder.transfer_openings.rate
    dispatcher = Dispatcher(LINK, rate, evidence, Reporter(log, Meters()))
    bulk = (payload(('client', 1), 1200 * number) for number in range(30))
    list(dispatcher.send(bulk, now_ms))


def repeat_requests(forwarder, token, *ages_ms):
    """Send a request on both flows, and copies at the given ages."""
    for age_ms in (0, *ages_ms):
        for port in (1000, 1001):
            request = rig.packet(port, seq=101, ack=500, size=200, token=token)
            rig.handle(forwarder, request, START_MS + age_ms)
    return forwarder.observer.reachability.state(token)


def unanswered(forwarder, token):
    """Return what the load report of the instance says of an upstream."""
    load = forwarder.observer.loads.get_or_create(token)
    return load.unanswered(START_MS + 600)


@then('silence while the queue of the link is long is no evidence, nor reported')
def step_excused(context):
    forwarder, token = silent_forwarder()
    fill_link(forwarder, START_MS + 50)
    assert repeat_requests(forwarder, token, 200, 400) is PathState.REACHABLE
    assert unanswered(forwarder, token) == 0
    rig.handle(forwarder, rig.opening(2000), START_MS)
    rig.handle(forwarder, rig.opening(2000, copy=1), START_MS + 200)
    load = forwarder.observer.loads.get_or_create(token)
    assert load.unanswered_opens == 0
    assert forwarder.observer.reachability.state(token) is PathState.REACHABLE


def probe_until_unreachable(forwarder, token, now_ms):
    """Suspect an upstream and let its probes time out; return for how long."""
    observer = forwarder.observer
    observer.reachability.suspect(token, now_ms)
    for elapsed_ms in range(250, 3000, 250):
        if list(observer.reachability.due_probes(now_ms + elapsed_ms - 250)):
            observer.handle_probe_result(
                token, ProbeResult.TIMED_OUT, now_ms + elapsed_ms
            )
        if observer.reachability.state(token) is PathState.UNREACHABLE:
            return elapsed_ms
    raise AssertionError('the upstream stays suspected')


@then('a probe that times out meanwhile is inconclusive')
def step_probe(context):
    forwarder, token = silent_forwarder()
    idle_ms = probe_until_unreachable(forwarder, token, START_MS)
    forwarder, token = silent_forwarder()
    fill_link(forwarder, START_MS)
    assert probe_until_unreachable(forwarder, token, START_MS) > idle_ms


@then('silence on a link that loses packets is no evidence')
def step_losses(context):
    forwarder, token = silent_forwarder()
    forwarder.observer.evidence.record_loss(START_MS)
    assert repeat_requests(forwarder, token, 200, 400) is PathState.REACHABLE


@then('silence is evidence on an idle link, and after half a second on a busy one')
def step_silence(context):
    forwarder, token = silent_forwarder()
    assert repeat_requests(forwarder, token, 200) is PathState.SUSPECTED
    forwarder, token = silent_forwarder()
    fill_link(forwarder, START_MS + 50)
    assert repeat_requests(forwarder, token, 200, 600) is PathState.SUSPECTED
    assert unanswered(forwarder, token) == 0, 'an excused copy was counted'
    forwarder, token = silent_forwarder()
    fill_link(forwarder, START_MS - 1000)
    assert repeat_requests(forwarder, token, 200) is PathState.SUSPECTED


@then('a probe of an upstream that is suspected for longer counts')
def step_probe_counts(context):
    forwarder, token = silent_forwarder()
    for age_ms in range(0, 3000, 50):
        fill_link(forwarder, START_MS + age_ms)
    assert probe_until_unreachable(forwarder, token, START_MS) <= 1500


def sharing_of(number, domain='a'):
    """Return the load reports of one instance, without any load."""
    return LoadSharing(member(number, domain), LoadTable(), DEFAULT_SHARING)


def suspicious_report(kind, unanswered=50):
    """Return a report that one upstream left many requests unanswered."""
    row = LoadRow(TOKEN, busy=0, unanswered=unanswered)
    return LoadReport(kind, (row,))


def state_after_reports(*reports):
    """Return the state of an upstream at an instance that got these reports."""
    forwarder = rig.make_forwarder(('u-1',))
    (token,) = {rig.open_flow(forwarder, 1000, START_MS)}
    loads = forwarder.observer.loads
    sharing = LoadSharing(member(1), loads, DEFAULT_SHARING)
    for number, domain, report in reports:
        rows = tuple(row._replace(token=token) for row in report.rows)
        sharing.handle_report(
            member(number, domain), report._replace(rows=rows), START_MS
        )
    sharing.update_loads(START_MS)
    forwarder.sweep(START_MS)
    return forwarder.observer.reachability.state(token)


@then('one instance alone makes no other one suspect an upstream, two do')
def step_one_reporter(context):
    report = suspicious_report(ReportKind.INSTANCE)
    first, second = (2, 'a', report), (3, 'a', report)
    assert state_after_reports(first) is PathState.REACHABLE
    assert state_after_reports(first, second) is PathState.SUSPECTED


def domain_report(reporters):
    """Return what an aggregator tells other failure domains about its reporters."""
    aggregator = sharing_of(10, 'b')
    for number in range(reporters):
        report = suspicious_report(ReportKind.INSTANCE)
        aggregator.handle_report(member(11 + number, 'b'), report, START_MS)
    answer = aggregator.handle_report(
        member(1), LoadReport(ReportKind.DOMAIN, ()), START_MS
    )
    return 10, 'b', answer


@then('the rule holds across failure domains, and for reports without a bound')
def step_domains(context):
    assert state_after_reports(domain_report(1)) is PathState.REACHABLE
    assert state_after_reports(domain_report(2)) is PathState.SUSPECTED
    local = sharing_of(2)
    load = local._loads.get_or_create(TOKEN)
    for _ in range(5):
        load.record_unanswered_request(START_MS)
    peers = [member(1, capacity=10_000)]
    ((_, report),) = local.due_reports(peers, START_MS)
    assert report.rows[0].unanswered <= MAX_REPORTED_UNANSWERED
