"""Steps for upstreams that are detected by the size of their answers."""

from collections import Counter

from behave import then

from cardamomtiller.forwarding.fleet.loadreport import (
    LoadReport,
    LoadRow,
    ReportKind,
    decode_report,
    encode_report,
)
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.outcomes import (
    DEFAULT_OUTCOMES,
    AnswerSizes,
)
from tests import forwarding_rig as rig

USUAL_BYTES = 1000
SHORT_BYTES = 150
FLOWS = 200
PAUSE_MS = 10.0


def serve_flow(forwarder, port, now_ms, answer_bytes):
    """
    Open a flow, send a request and acknowledge its answer; return its token.

    ``answer_bytes`` maps a token to the size of the answers of its upstream.
    """
    token = rig.open_flow(forwarder, port, now_ms)
    request = rig.packet(port, seq=101, ack=500, size=40, token=token)
    rig.handle(forwarder, request, now_ms)
    end = 500 + answer_bytes(token)
    rig.handle(forwarder, rig.packet(port, seq=141, ack=end, token=token), now_ms + 5)
    rig.handle(forwarder, rig.closing(port, seq=141, ack=end, token=token), now_ms + 5)
    return token


def serve_flows(forwarder, answer_bytes, start_ms=0.0):
    """Serve flows one after the other; return their number at each upstream."""
    counts = Counter()
    for number in range(FLOWS):
        now_ms = start_ms + number * PAUSE_MS
        counts[serve_flow(forwarder, 2000 + number, now_ms, answer_bytes)] += 1
        forwarder.sweep(now_ms)
    return counts


@then('an upstream with many short answers gets fewer flows than the others')
def step_avoided(context):
    forwarder = rig.make_forwarder()
    failing = forwarder.directory.pool('orders')[0].token
    counts = serve_flows(
        forwarder, lambda token: SHORT_BYTES if token == failing else USUAL_BYTES
    )
    others = [count for token, count in counts.items() if token != failing]
    assert counts[failing] < min(others) / 2, counts


@then('an upstream is not avoided if all upstreams of the service send short answers')
def step_all_short(context):
    forwarder = rig.make_forwarder()
    serve_flows(forwarder, lambda token: USUAL_BYTES)
    counts = serve_flows(forwarder, lambda token: SHORT_BYTES, 2000)
    assert min(counts.values()) > FLOWS / 6, counts


@then('an upstream that answers normally again gets flows again')
def step_recovered(context):
    forwarder = rig.make_forwarder()
    failing = forwarder.directory.pool('orders')[0].token
    serve_flows(
        forwarder, lambda token: SHORT_BYTES if token == failing else USUAL_BYTES
    )
    for number in range(100):
        forwarder.sweep(2000 + 300 * number)
    counts = serve_flows(forwarder, lambda token: USUAL_BYTES, 32_000)
    assert counts[failing] > FLOWS / 6, counts


@then('the answers of a flow are counted by size, also several on one flow')
def step_several_answers(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = rig.open_flow(forwarder, 1000)
    acknowledged = 500
    for number, size in enumerate((USUAL_BYTES, USUAL_BYTES, SHORT_BYTES)):
        request = rig.packet(
            1000, seq=101 + 40 * number, ack=acknowledged, size=40, token=token
        )
        rig.handle(forwarder, request, 100 * number)
        acknowledged += size
        answer = rig.packet(1000, seq=141 + 40 * number, ack=acknowledged, token=token)
        rig.handle(forwarder, answer, 100 * number + 50)
    rig.handle(forwarder, rig.closing(1000, ack=acknowledged, token=token), 400)
    load = forwarder.observer.loads.get_or_create(token)
    assert (load.answers, load.short_answers) == (3, 1)


@then('the sizes of a route are forgotten when the route is removed')
def step_removed_route(context):
    sizes = AnswerSizes(DEFAULT_OUTCOMES)
    assert not sizes.is_short(1, USUAL_BYTES)
    assert sizes.is_short(1, SHORT_BYTES)
    sizes.retain([2])
    assert not sizes.is_short(1, SHORT_BYTES)


@then('a flow that was opened through another instance does not count')
def step_moved_flow(context):
    forwarder = rig.make_forwarder(('u-1',))
    token = forwarder.directory.pool('orders')[0].token
    for number in range(3):
        ack = 500 + 100 * number
        datagram = rig.packet(1000, seq=200 + number, ack=ack, size=1, token=token)
        rig.handle(forwarder, datagram, 100 * number)
    assert forwarder.observer.loads.get_or_create(token).answers == 0


@then('load reports carry the answers, and their sum keeps the share of short ones')
def step_reports(context):
    loads = rig.make_forwarder().observer.loads
    token = 7
    loads.get_or_create(token)
    local_member = Member('i-9', 'a', '10.0.0.9', 1)
    sharing = LoadSharing(local_member, loads, DEFAULT_SHARING)
    for number in (1, 2):
        row = LoadRow(token, 1, 0, 200, 50)
        report = decode_report(encode_report(LoadReport(ReportKind.INSTANCE, (row,))))
        sharing.handle_report(
            Member(f'i-{number}', 'a', f'10.0.0.{number}', 1), report, 0
        )
    sharing.update_loads(1)
    load = loads.get_or_create(token)
    assert load.others_answers > 100
    assert abs(load.others_short_answers / load.others_answers - 0.25) < 0.01
