"""Steps for the time until a change is in force while sources fail."""

import socket
import threading
import time
from itertools import pairwise
from random import Random

import settings as platform_settings
from behave import then

from cardamomtiller.forwarding.fleet.exchange import ExchangeOptions, PeerExchange
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING
from cardamomtiller.forwarding.fleet.membertable import DEFAULT_FLEET
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    ConnectionLostError,
    HistoryLostError,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.replication.peersource import decode_reply
from cardamomtiller.forwarding.sockets.httpclient import HttpConnection, Timeouts
from cardamomtiller.forwarding.sockets.httpserver import Request
from cardamomtiller.forwarding.telemetry.meters import Meters
from tests.platform_samples import platform_fields
from tests.reading_rig import RESTORED_REVISION, REVISION, Behaviour, Reading
from tests.replica_rig import apply_list, batch_of, make_replica, member
from tools.packet_deployment import Deployment
from tools.standins.proxy import Rule
from tools.standins.store import Fault
from tools.store_links import ProxyLinks

SEED = 20261205
CHANGE_MS = 3000
CHANGE_S = CHANGE_MS / 1000
TURNED_AWAY_SUBNET = 85
UNANSWERED_SUBNET = 86
RESTART_SUBNET = 92
TURNED_AWAY = 3
# Time in which the readers are up to date before a change.
CALM_S = 4.0
# Time between two changes, in which all instances have the first one.
BETWEEN_CHANGES_S = 0.08


def make_options(change_ms=CHANGE_MS):
    """Return the options of a process in whose deployment changes have a bound."""
    fields = platform_fields()
    fields['bounds'] |= {'config_apply_ms': change_ms, 'drain_timeout_ms': change_ms}
    return platform_settings.process_options(fields)


@then(
    'a replica is never older than a change may take while its peers change their '
    'behaviour'
)
def step_random_behaviour(context):
    generator = Random(SEED)
    for change_ms in (CHANGE_MS, 6000):
        for peer_count in (1, 2, 3, 8, 40):
            reading = Reading(make_options(change_ms), peer_count)
            for _ in range(60):
                for peer in reading.peers.values():
                    if generator.random() < 0.5:
                        peer.change(generator.choice(list(Behaviour)))
                reading.run(generator.uniform(0, 2 * change_ms))
            assert reading.max_age_ms < change_ms, (peer_count, reading.max_age_ms)


@then(
    'the bound holds for each number of peers that are stale, silent or refuse the call'
)
def step_each_number(context):
    failures = (Behaviour.STALE, Behaviour.SILENT, Behaviour.REFUSING)
    for behaviour in failures:
        for failed_count in range(9):
            reading = Reading(make_options(), 8)
            reading.run(10_000)
            for peer in list(reading.peers.values())[:failed_count]:
                peer.change(behaviour)
            reading.run(20_000)
            assert reading.max_age_ms < CHANGE_MS, (behaviour, failed_count)


def open_deployment(context, subnet):
    """Return a failure domain of four instances, and the proxies to its store."""
    links = ProxyLinks(SEED)
    deployment = Deployment({'a': TURNED_AWAY + 1}, {'orders': 3}, subnet, links)
    context.add_cleanup(links.close)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    time.sleep(CALM_S)
    return deployment, links


def seconds_until_known(deployment, links, event, change, **faults):
    """
    Turn all readers away after a change, and make another one.

    Returns
    -------
    float
        Time from the second change to its log line on the last instance.
    """
    *readers, last = deployment.hosts
    assert len(readers) == TURNED_AWAY
    deployment.publish_configuration(4998)
    time.sleep(BETWEEN_CHANGES_S)
    for host in readers:
        links.set(host, Rule(host, 's', **faults))
    change()
    acknowledged_s = time.time()
    time.sleep(CHANGE_S + 1)
    rows = [row for row in deployment.log_rows(last) if row['event'] == event]
    return rows[-1]['time'] - acknowledged_s


@then('a change reaches an instance in touch in time while its readers are turned away')
def step_turned_away(context):
    deployment, links = open_deployment(context, TURNED_AWAY_SUBNET)
    elapsed_s = seconds_until_known(
        deployment,
        links,
        'configuration_in_force',
        lambda: deployment.publish_configuration(4998, 4999),
        reset=1,
    )
    assert 0 < elapsed_s < CHANGE_S, elapsed_s


@then('a draining upstream gets no new flows in time while its readers get no answer')
def step_unanswered(context):
    deployment, links = open_deployment(context, UNANSWERED_SUBNET)
    elapsed_s = seconds_until_known(
        deployment,
        links,
        'upstream_entry',
        lambda: deployment.drain(deployment.upstreams[0].name),
        cut=1,
    )
    assert 0 < elapsed_s < CHANGE_S, elapsed_s


@then('a response that arrives byte by byte ends with the time limit of the call')
def step_trickle(context):
    with socket.create_server(('127.0.0.1', 0)) as listener:
        trickle = threading.Thread(target=send_slowly, args=(listener,), daemon=True)
        trickle.start()
        connection = HttpConnection(listener.getsockname())
        started_s = time.monotonic()
        try:
            connection.get('/', Timeouts(idle_ms=300, total_ms=300))
        except SourceError:
            assert time.monotonic() - started_s < 1
        else:
            raise AssertionError('the response was accepted')
        trickle.join()


def send_slowly(listener):
    """Accept a connection, and send a response byte by byte for 2 s."""
    connection, _ = listener.accept()
    with connection:
        for byte in b'HTTP/1.1 200 OK\r\n'[:10] * 2:
            try:
                connection.send(bytes([byte]))
            except OSError:
                return
            time.sleep(0.1)


@then('the replica is as old as the latest moment at which the peer may have replied')
def step_delayed_reply(context):
    reading = Reading(make_options(), 1)
    reading.step()
    (peer,) = reading.peers.values()
    peer.change(Behaviour.LATE)
    sent_ms = reading.clock.now_ms
    reading.step()
    assert peer.calls == 1
    assert reading.clock.now_ms > sent_ms + 1000
    assert reading.results[-1].confirmed_ms <= sent_ms


def make_exchange():
    """Return a replica that was confirmed at 0 ms, and the exchange that serves it."""
    forwarder, replica = make_replica()
    forwarder.configuration = forwarder.configuration._replace(routes={1: None})
    apply_list(replica, ('u-1',), revision=10)
    options = ExchangeOptions(
        member(0)._replace(host='127.0.0.1'), 0, (), DEFAULT_FLEET, DEFAULT_SHARING
    )
    log = forwarder._reporter._log
    return replica, PeerExchange(options, replica, LoadTable(), log, Meters(), 0)


def request_changes(received_ms, after='0.10', **query):
    """Return the request of a peer for changes."""
    return Request('/changes', {'after': after, **query}, received_ms)


@then(
    'a peer gets an answer when the replica is confirmed, too old or the wait is over'
)
def step_answer(context):
    replica, exchange = make_exchange()
    request = request_changes(100, wait_ms='500', max_age_ms='1350')
    assert exchange.answer_changes(request, 599) is None
    reply = decode_reply(exchange.answer_changes(request, 600).body)
    assert (reply.age_ms, reply.waited_ms) == (600, 500)
    assert exchange.answer_changes(
        request_changes(100, '0.9', wait_ms='500', max_age_ms='1350'), 100
    )
    later = request_changes(1340, wait_ms='500', max_age_ms='1350')
    assert exchange.answer_changes(later, 1349) is None
    assert exchange.answer_changes(later, 1350) is not None
    replica.apply(batch_of(10, 10, ()), 1345, 1346)
    reply = decode_reply(exchange.answer_changes(later, 1346).body)
    assert (reply.age_ms, reply.waited_ms) == (1, 6)


@then('a request of a peer without finite numbers is refused')
def step_malformed_request(context):
    _, exchange = make_exchange()
    for number in ('nan', 'inf', '', 'x'):
        for name in ('wait_ms', 'max_age_ms'):
            query = {'wait_ms': '500', 'max_age_ms': '1350', name: number}
            reply = exchange.answer_changes(request_changes(0, **query), 0)
            assert reply is not None and reply.status == 400, (name, number)


@then('silent peers are only asked while the replica is new')
def step_consultation(context):
    reading = Reading(make_options(), 8, RESTORED_REVISION.epoch)
    for peer in reading.peers.values():
        peer.change(Behaviour.SILENT)
    reading.run(20_000)
    assert reading.max_age_ms < CHANGE_MS, reading.max_age_ms
    failed = [result for result in reading.results if result.is_retained]
    assert len(failed) == TURNED_AWAY


@then('a lost connection to the source is tried again at once, but only once')
def step_cut_watch(context):
    reading = Reading(make_options(), 0)
    reading.step()
    reading.source.errors = [ConnectionLostError('cut')]
    reading.step()
    cut_ms = reading.clock.now_ms
    reading.step()
    assert reading.source.calls_ms[-1] == cut_ms
    reading.source.errors = [ConnectionLostError('cut'), ConnectionLostError('cut')]
    reading.step()
    reading.step()
    failed_ms = reading.clock.now_ms
    reading.run(1000)
    next_call_ms = min(call for call in reading.source.calls_ms if call >= failed_ms)
    assert next_call_ms - failed_ms == platform_settings.INITIAL_RETRY_MS


@then('a source that fails is called again after growing pauses')
def step_retries(context):
    reading = Reading(make_options(), 0)
    reading.step()
    reading.source.errors = [SourceError('status 503')] * 30
    reading.source.calls_ms.clear()
    reading.run(20_000)
    calls_ms = reading.source.calls_ms
    pauses_ms = [later - call for call, later in pairwise(calls_ms)]
    assert pauses_ms[0] < 300
    assert all(pause >= platform_settings.MAX_RETRY_MS for pause in pauses_ms[3:])


@then(
    'a source that has lost its history again and again is not called without a pause'
)
def step_lost_history(context):
    reading = Reading(make_options(), 0)
    reading.step()
    reading.source.errors = [HistoryLostError('gone')] * 100
    reading.source.calls_ms.clear()
    reading.run(6000)
    assert len(reading.source.calls_ms) < 10


@then('the shortest of all bounds on changes limits the age of the replica')
def step_shortest_bound(context):
    fields = platform_fields()
    assert platform_settings.process_options(fields) == make_options(3000)
    for name in ('config_apply_ms', 'drain_timeout_ms', 'evacuation_ms'):
        bounds = {'config_apply_ms': 6000, 'drain_timeout_ms': 6000, name: 2000}
        fields['bounds'] = {'grace_period_s': 6, **bounds}
        options = platform_settings.process_options(fields)
        assert options.sources.end_ages_ms[-1] < 2000, name
    assert Revision(NO_EPOCH, 5) < RESTORED_REVISION


@then(
    'an instance without records uses a stale replica, and an older one changes nothing'
)
def step_stale_replica(context):
    reading = Reading(make_options(), 1)
    reading.source.errors = [SourceError('status 503')] * 1000
    (peer,) = reading.peers.values()
    peer.change(Behaviour.STALE)
    reading.clock.now_ms += 60_000
    reading.run(20_000)
    used = [result for result in reading.results if result.batch is not None]
    assert [result.batch.revision for result in used] == [REVISION]
    assert reading.clock.now_ms - used[0].confirmed_ms > 60_000
    assert peer.calls > 3


@then('an instance without records and without peers asks other failure domains')
def step_remote_members(context):
    reading = Reading(make_options(), 1)
    reading.source.errors = [SourceError('status 503')] * 1000
    reading.follower.remote_members = reading.follower.peers
    reading.follower.peers = ()
    reading.run(10_000)
    (peer,) = reading.peers.values()
    assert peer.calls == 1
    assert reading.results[-1].error is not None
    assert any(result.batch is not None for result in reading.results)


@then('instances that restart in turn while the store is away serve again')
def step_restart_in_turn(context):
    deployment = Deployment({'a': 2, 'b': 1}, {'orders': 3}, RESTART_SUBNET)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    time.sleep(CALM_S)
    deployment.store.fault = Fault.RESET
    time.sleep(2 * CHANGE_S)
    first, second, remote = deployment.hosts
    for host in (remote, first, second):
        deployment.processes[host].kill()
        deployment.processes[host].wait()
        deployment.start(host)
        deployment.wait_until_ready()
    requests = [deployment.traffic.start_request(443) for _ in range(40)]
    time.sleep(2)
    assert {request.outcome for request in requests} == {'done'}
