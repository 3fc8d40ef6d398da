"""Steps for the transfers that share the link of the instance."""

import os

import ujson
from behave import then

from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.routing.dispatch import Dispatcher
from cardamomtiller.forwarding.telemetry.exposition import render
from tests import forwarding_rig as rig
from tests.link_rig import payload

BYTES_PER_MS = 300
TRANSFER_BYTES = 80_000
OBJECTIVE_MS = 1500
PACKET_BYTES = 1200
BULK_PORT, SHORT_PORT = 443, 8443
START_MS = 10_000


def make_forwarder(bytes_per_ms=BYTES_PER_MS, timeout_ms=10_000):
    """Return a forwarder that knows the request sizes of a bulk and a short route."""
    options = rig.FORWARDING_WITHOUT_LIMIT._replace(link=LinkOptions(bytes_per_ms))
    forwarder = rig.make_forwarder(options=options)
    forwarder.apply_configuration(
        rig.configuration(
            2,
            (BULK_PORT, SHORT_PORT),
            timeout_ms=timeout_ms,
            target_latency_ms=OBJECTIVE_MS,
        ),
        0,
    )
    for port in range(100, 104):
        transfer(forwarder, port, 0)
        transfer(forwarder, port, 0, route_port=SHORT_PORT, size=300)
    return forwarder


def open_at(forwarder, port, now_ms, copy=0, route_port=BULK_PORT):
    """Send an opening packet; return what is sent for it."""
    datagram = rig.opening(port, copy, route_port=route_port)
    return rig.handle(forwarder, datagram, now_ms)


def send(forwarder, port, now_ms, token, *, size, route_port=BULK_PORT):
    """Send the payload of a request."""
    for start in range(0, size, PACKET_BYTES):
        length = min(PACKET_BYTES, size - start)
        fields = {'seq': 101 + start, 'ack': 500, 'token': token}
        datagram = rig.packet(port, size=length, route_port=route_port, **fields)
        rig.handle(forwarder, datagram, now_ms)


def close(forwarder, port, now_ms, token, route_port=BULK_PORT):
    """Close a flow."""
    datagram = rig.closing(port, ack=600, token=token, route_port=route_port)
    rig.handle(forwarder, datagram, now_ms)


def transfer(forwarder, port, now_ms, size=TRANSFER_BYTES, route_port=BULK_PORT):
    """Send a whole request and close its flow."""
    (delivery,) = open_at(forwarder, port, now_ms, route_port=route_port)
    token = rig.sent_token(delivery)
    send(forwarder, port, now_ms, token, size=size, route_port=route_port)
    close(forwarder, port, now_ms, token, route_port)


def open_many(forwarder, openings, now_ms=START_MS):
    """Open flows at one moment; return those forwarded and reset, and the number waiting."""
    deliveries = [
        delivery
        for port in range(1000, 1000 + openings)
        for delivery in open_at(forwarder, port, now_ms)
    ]
    resets = [delivery for delivery in deliveries if rig.is_reset(delivery)]
    forwarded = [delivery for delivery in deliveries if not rig.is_reset(delivery)]
    return forwarded, resets, len(forwarder.transfer_openings)


@then(
    'few transfers share the link, others wait, and those that would be late are reset'
)
def step_ten(context):
    forwarded, resets, waiting = open_many(make_forwarder(), 10)
    # 16 packets in flight of each take 67 ms; 200 ms cause copies.
    assert 1 <= len(forwarded) <= 2
    assert waiting >= 1
    assert resets
    carried = len(forwarded) + waiting
    assert carried + len(resets) == 10
    assert carried * TRANSFER_BYTES / BYTES_PER_MS <= OBJECTIVE_MS


def released(forwarder, now_ms):
    """Return the ports whose openings leave the queue."""
    return [rig.flow_port(item) for item in forwarder.release_waiting(now_ms)]


@then('a waiting transfer begins when another one ends, or its client stops')
def step_release(context):
    forwarder = make_forwarder()
    forwarded, _, waiting = open_many(forwarder, 10)
    assert not released(forwarder, START_MS + 100)
    tokens = [rig.sent_token(delivery) for delivery in forwarded]
    for port, token in enumerate(tokens, 1000):
        send(forwarder, port, START_MS + 140, token, size=TRANSFER_BYTES * 3 // 4)
    assert not open_at(forwarder, 2000, START_MS + 145)
    assert len(forwarder.transfer_openings) == waiting + 1
    send(forwarder, 1000, START_MS + 150, tokens[0], size=TRANSFER_BYTES)
    close(forwarder, 1000, START_MS + 150, tokens[0])
    # One transfer has ended, so one begins and the other one goes on waiting.
    assert len(released(forwarder, START_MS + 160)) == 1
    forwarder = make_forwarder()
    forwarded, _, waiting = open_many(forwarder, 10)
    first_waiting = 1000 + len(forwarded)
    for copy, age_ms in ((1, 200), (2, 600)):
        for port in range(first_waiting, first_waiting + waiting):
            assert not open_at(forwarder, port, START_MS + age_ms, copy)
    # No payload of the first transfers has arrived, so nothing keeps the others.
    assert len(released(forwarder, START_MS + 800)) == waiting


@then('what the link cannot carry before the timeout of its route is reset at once')
def step_timeout(context):
    forwarder = make_forwarder(timeout_ms=500)
    forwarded, resets, waiting = open_many(forwarder, 10)
    assert len(forwarded) == 1
    assert not waiting
    assert len(resets) == 9


@then('short routes, an idle link and a wide one take every opening')
def step_not_limited(context):
    forwarder = make_forwarder()
    open_many(forwarder, 10)
    for port in range(2000, 2100):
        (delivery,) = open_at(forwarder, port, START_MS, route_port=SHORT_PORT)
        assert not rig.is_reset(delivery)
    tight = make_forwarder(timeout_ms=100)
    assert len(open_many(tight, 1)[0]) == 1
    wide = make_forwarder(bytes_per_ms=125_000)
    assert len(open_many(wide, 100)[0]) == 100


@then('a copy of an opening that waits is not reset, and a process that stops sends it')
def step_copy(context):
    forwarder = make_forwarder()
    forwarded, _, waiting = open_many(forwarder, 10)
    for port in range(1000 + len(forwarded), 1010):
        assert not open_at(forwarder, port, START_MS + 200, copy=1)
    assert len(list(forwarder.release_all_waiting(START_MS + 210))) == waiting
    assert not forwarder.waiting


@then('the size of a route follows its requests, not those that moved or were aborted')
def step_sizes(context):
    forwarder = make_forwarder()
    for port in range(3000, 3050):
        token = rig.sent_token(open_at(forwarder, port, START_MS)[0])
        send(forwarder, port, START_MS, token, size=PACKET_BYTES)
        forwarder.sweep(START_MS + 1000)
        token = rig.sent_token(open_at(forwarder, port + 100, START_MS + 1000)[0])
        send(forwarder, port + 100, START_MS + 1000, token, size=PACKET_BYTES)
        aborted = rig.packet(port + 100, rig.RESET, ack=500, token=token)
        rig.handle(forwarder, aborted, START_MS + 1000)
    assert open_many(forwarder, 10, START_MS + 5000)[1]
    forwarder = make_forwarder()
    for port in range(4000, 4100):
        transfer(forwarder, port, START_MS, size=PACKET_BYTES)
    assert len(open_many(forwarder, 10)[0]) == 10


def make_dispatcher(forwarder):
    """Return the link queue of a forwarder."""
    rate = forwarder.transfer_openings.rate
    evidence = forwarder.observer.evidence
    link = LinkOptions(BYTES_PER_MS)
    return Dispatcher(link, rate, evidence, forwarder._reporter)


def backlog_with_control(bytes_per_tick):
    """Return the queue's backlog after 2 s in which control messages were sent."""
    forwarder = make_forwarder()
    dispatcher = make_dispatcher(forwarder)
    meters = forwarder._reporter.meters
    for now_ms in range(0, 2000, 100):
        meters.count('load_report_bytes', bytes_per_tick // 2)
        meters.count('peer_reply_bytes', bytes_per_tick // 2)
        list(dispatcher.send([payload(('client', 1), 1200 * n) for n in range(30)], 0))
        dispatcher.sweep(now_ms)
    return meters, meters.gauges['link_backlog_ms']


@then('control messages beyond their share delay transfers, those within it do not')
def step_control(context):
    tick_bytes = BYTES_PER_MS * 100
    idle = backlog_with_control(0)[1]
    assert backlog_with_control(tick_bytes // 25)[1] == idle
    assert backlog_with_control(tick_bytes // 2)[1] > idle


@then('the metrics page shows the bytes of control messages')
def step_control_bytes(context):
    page = render(backlog_with_control(1000)[0])[1].decode()
    assert 'cardamomtiller_peer_reply_bytes_total 10000.0' in page
    (use,) = (
        float(line.split()[1])
        for line in page.splitlines()
        if line.startswith('cardamomtiller_link_control_bytes_per_s ')
    )
    assert 5000 < use <= 10_000


def read_log(forwarder):
    """Return the log lines of a forwarder."""
    reader, writer = os.pipe()
    forwarder._reporter._log.flush(writer)
    os.close(writer)
    with open(reader, 'rb') as lines:
        return [ujson.loads(line) for line in lines]


@then('the log tells how long a transfer waited, what the link had queued, and its end')
def step_log(context):
    forwarder = make_forwarder()
    dispatcher = make_dispatcher(forwarder)
    (first, *_), _, _ = open_many(forwarder, 10)
    token = rig.sent_token(first)
    for _copy in range(2):
        send(forwarder, 1000, START_MS + 100, token, size=TRANSFER_BYTES)
    bulk = [payload(('client', 1), 1200 * number) for number in range(60)]
    list(dispatcher.send(bulk, START_MS + 100))
    dispatcher.sweep(START_MS + 100)
    close(forwarder, 1000, START_MS + 190, token)
    (delivery,) = forwarder.release_waiting(START_MS + 200)
    lines = {line['event']: line for line in read_log(forwarder)}
    assert lines['transfer_finished']['sent_bytes'] == TRANSFER_BYTES
    assert lines['transfer_finished']['arrived_bytes'] == 2 * TRANSFER_BYTES
    assert lines['transfer_finished']['duration_ms'] == 190
    assert lines['transfer_postponed']['outcome'] == 'reject'
    assert lines['transfer_released']['waited_ms'] == 200
    assert lines['link_busy']['backlog_ms'] > 100
    flow = lines['transfer_released']['flow']
    assert lines['flow_placed']['flow'] == flow
    assert f':{rig.flow_port(delivery)}-' in flow
