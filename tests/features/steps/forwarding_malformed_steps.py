"""Steps for malformed entries, pages and messages."""

import json
import time
import zlib
from collections import Counter

import entries
import ujson
from behave import then
from store import Store as StoreClient

from cardamomtiller.forwarding.fleet.membertable import (
    AnnouncementError,
    decode_announcement,
)
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    MalformedRecord,
    Record,
    RecordKey,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry, UpstreamState
from cardamomtiller.forwarding.replication.peersource import decode_reply
from cardamomtiller.forwarding.sockets.httpclient import Response
from tests.malformed_samples import (
    DEPTHS,
    DIGITS,
    HOSTS,
    NOT_DURATIONS,
    PORTS,
    nested_lists,
    nested_objects,
    with_value,
)
from tests.platform_samples import CONFIGURATION, ENTRY, ROUTE
from tests.replica_rig import (
    FailingDecoder,
    apply_list,
    batch_of,
    make_replica,
    pool_ids,
    record_at,
)
from tools.packet_deployment import Deployment

FIRST = Revision(NO_EPOCH, 1)
KEY = RecordKey('servers/i-1')
SUBNET = 91
# A decoded record must not keep the packets waiting.
MAX_DECODING_S = 0.2
CHANGE_S = 3.0
STACK_DEPTHS = (0, 300, 600)


def decode(content, key=KEY):
    """Return the decoded change of a record."""
    return entries.EntryDecoder().decode(Record(key, FIRST, content))


def decode_below(frames, content, key=KEY):
    """Return the same from a place with that many more frames on the stack."""
    if frames:
        return decode_below(frames - 1, content, key)
    return decode(content, key)


def nested_values():
    """Iterate over nested JSON texts."""
    for depth in DEPTHS:
        yield nested_lists(depth)
        yield nested_objects(depth)


@then('an entry with any nesting in any field is reported with its upstream')
def step_nested_entries(context):
    ignored = 'unknown_field'
    for value in nested_values():
        for name in (*ENTRY, ignored):
            for frames in STACK_DEPTHS:
                change = decode_below(frames, with_value(ENTRY, name, value))
                if isinstance(change, UpstreamEntry):
                    assert name in {ignored, 'version'}, name
                    continue
                assert isinstance(change, MalformedRecord), (name, value[:9])
                assert change.upstream == 'i-1'
                assert len(change.reason) < 300


@then('a configuration with any nesting in any field is reported')
def step_nested_configurations(context):
    for value in nested_values():
        contents = [with_value(CONFIGURATION, 'routes', value)]
        for name in (*ROUTE, 'traffic_split'):
            route = with_value(ROUTE, name, value)
            contents.append(with_value(CONFIGURATION, 'routes', f'[{route}]'))
        for content in contents:
            change = decode_below(STACK_DEPTHS[-1], content, RecordKey('op/config'))
            assert change is not None
            assert not isinstance(change, UpstreamEntry)


@then('a message between instances with any nesting is refused')
def step_nested_messages(context):
    for value in nested_values():
        message = f'{{"version":2,"sender":["a","b","c",{value}]}}'
        for text in (value, message, f'{{"version":{value}}}'):
            assert is_refused(decode_announcement, text, AnnouncementError)
        reply = f'{{"after":null,"revision":"0.1","age_ms":{value},"records":[]}}'
        for text in (value, reply):
            assert is_refused(decode_reply, text, SourceError)


def is_refused(decode_message, text, error):
    """Return whether a decoder refuses a compressed text with an error."""
    try:
        decode_message(zlib.compress(text.encode()))
    except error:
        return True
    return False


@then('a live upstream whose entry raises an unexpected error is removed')
def step_unexpected_error(context):
    forwarder, replica = make_replica(FailingDecoder())
    apply_list(replica, ('u-1', 'u-2'), revision=10)
    odd = record_at('u-1', 11, 'defect')
    assert replica.apply(batch_of(10, 11, (odd,)), 0, 0)
    assert forwarder.directory.find('u-1').state is UpstreamState.MISSING
    assert pool_ids(forwarder) == {'u-2'}


@then('an entry with a number of up to a million digits is decoded or reported in time')
def step_digits(context):
    for digits in DIGITS:
        for value in ('9' * digits, f'-{"9" * digits}', f'0.{"9" * digits}'):
            for name in (*ENTRY, 'unknown_field'):
                content = with_value(ENTRY, name, value)
                started_s = time.process_time()
                change = decode(content)
                assert time.process_time() - started_s < MAX_DECODING_S
                assert isinstance(change, (UpstreamEntry, MalformedRecord))
                assert isinstance(change, UpstreamEntry) or change.upstream == 'i-1'


@then('a reply of a peer with a duration that is no finite time is refused')
def step_durations(context):
    for value in NOT_DURATIONS:
        for name in ('age_ms', 'waited_ms'):
            fields = {'after': None, 'revision': '0.1', 'age_ms': 1, 'waited_ms': 1}
            text = with_value({**fields, 'records': []}, name, value)
            assert is_refused(decode_reply, text, SourceError), (name, value)


@then('entries with such a port are reported')
def step_ports(context):
    for port in PORTS:
        change = decode(json.dumps({**ENTRY, 'address': f'10.0.0.1:{port}'}))
        assert isinstance(change, MalformedRecord), port


@then('entries with such an address are reported')
def step_hosts(context):
    for host in HOSTS:
        change = decode(json.dumps({**ENTRY, 'address': f'{host}:80'}))
        assert isinstance(change, MalformedRecord), host


class AnsweredStore(StoreClient):
    """Client of a store whose answers are given."""

    def __init__(self, *bodies):
        """Store the bodies of the answers, the last of which is repeated."""
        super().__init__(('127.0.0.1', 1), 1000)
        self.bodies = list(bodies)
        self.paths = []
        self._connection = self

    def get(self, path, _timeouts):
        """Return the next answer."""
        self.paths.append(path)
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return Response(200, body.encode(), {})


def item(key='servers/i-1', revision=5):
    """Return an item of an answer."""
    return {'key': key, 'revision': revision, 'value': 'e30='}


def page(*items, has_more=False, as_of=7):
    """Return the body of an answer."""
    return ujson.dumps({'items': items, 'has_more': has_more, 'as_of': as_of})


@then('an item without a key or a revision is reported, and the others are used')
def step_odd_items(context):
    odd_items = (None, [], {}, {'key': 5}, {'key': ['x'], 'revision': 1})
    for odd in odd_items:
        *_, batch = AnsweredStore(page(odd, item())).read_all()
        first, second = batch.records
        assert isinstance(decode(first.content, first.key), MalformedRecord)
        assert second.key == 'servers/i-1'
    for revision in (None, 'x', 1.5, -1, True, 10**30, []):
        *_, batch = AnsweredStore(page(item(revision=revision))).read_all()
        (record,) = batch.records
        change = decode(record.content, record.key)
        assert isinstance(change, MalformedRecord) and change.upstream == 'i-1'
        assert record.revision.number == 7


@then('a key that is no text in UTF-8 can end a page')
def step_surrogate_key(context):
    first = '{"items":[{"key":"servers/\\ud800","revision":1,"value":""}],'
    first += '"has_more":true,"as_of":7}'
    client = AnsweredStore(first, page(item('servers/x')))
    *_, batch = client.read_all()
    assert len(batch.records) == 2
    assert client.paths[1].isascii()


@then('pages that do not advance end the call')
def step_same_page(context):
    for body in (page(item(), has_more=True), page(None, has_more=True)):
        try:
            list(AnsweredStore(body).read_all())
        except SourceError:
            continue
        raise AssertionError('the call did not end with an error')


@then('an answer with an impossible revision is refused')
def step_impossible_revision(context):
    for as_of in (None, -1, 1 << 63, 10**300, 1.5, True, [], nested_lists(990)):
        try:
            list(AnsweredStore(page(item(), as_of=as_of)).read_all())
        except SourceError as error:
            assert len(str(error)) < 300
            continue
        raise AssertionError(as_of)


def odd_contents():
    """Iterate over contents of entries that name no upstream to use."""
    yield b'\xff\xfe{'
    yield b''
    for depth in (300, 900, 960, 1000, 1020, 1100, 200_000):
        yield nested_lists(depth).encode()
        for name in ('service', 'slots', 'state'):
            yield with_value(ENTRY, name, nested_lists(depth)).encode()
            yield with_value(ENTRY, name, nested_objects(depth)).encode()
    for digits in DIGITS[:-1]:
        yield with_value(ENTRY, 'slots', '9' * digits).encode()
    for port in PORTS:
        yield json.dumps({**ENTRY, 'address': f'10.0.0.1:{port}'}).encode()


@then('instances serve and follow changes while odd entries are written')
def step_live(context):
    deployment = Deployment({'a': 2, 'b': 1}, {'orders': 3}, SUBNET)
    context.add_cleanup(deployment.close)
    deployment.wait_until_ready()
    live = deployment.upstreams[0]
    contents = list(odd_contents())
    requests = []
    odd_keys = {f'servers/{live.name}'}
    for number, content in enumerate(contents):
        odd_keys.add(f'servers/i-{number + 1000:x}')
        deployment.store.put(f'servers/i-{number + 1000:x}', content)
        deployment.store.put(f'servers/{live.name}', content)
        requests.append(deployment.traffic.start_request(443))
        time.sleep(0.02)
    deployment.publish_configuration(4999)
    time.sleep(CHANGE_S)
    requests += [deployment.traffic.start_request(4999) for _ in range(20)]
    opens = len(live.opens)
    time.sleep(2)
    outcomes = Counter(request.outcome for request in requests)
    assert outcomes == {'done': len(requests)}, outcomes
    assert len(live.opens) == opens
    assert all(process.poll() is None for process in deployment.processes.values())
    for host in deployment.hosts:
        rows = list(deployment.log_rows(host))
        assert not any(row['event'] == 'defect' for row in rows)
        reported = {row['key'] for row in rows if row['event'] == 'record_malformed'}
        assert reported == odd_keys, reported ^ odd_keys


def service_after(odd_entry):
    """Return the service of a live upstream after an entry of another writer."""
    forwarder, replica = make_replica(entries.EntryDecoder())
    good = record_at(KEY, 1, json.dumps(ENTRY))
    odd = record_at(KEY, 2, json.dumps(odd_entry))
    assert replica.apply(batch_of(None, 1, (good,)), 0, 0)
    assert replica.apply(batch_of(1, 2, (odd,)), 0, 0)
    assert not forwarder.directory.pool('other'), odd_entry
    return forwarder.directory.find('i-1').entry.service


@then('an entry without one of its fields, or with another type, changes no pool')
def step_incomplete_entry(context):
    other = {**ENTRY, 'service': 'other', 'sequence': ENTRY['sequence'] + 1}
    for name in ENTRY:
        if name == 'service':
            continue
        incomplete = {key: value for key, value in other.items() if key != name}
        assert service_after(incomplete) == ENTRY['service'], name
        for wrong in (None, True, [], {}, 1.5, -1, ''):
            if name == 'warmup_left_ms' and wrong in (1.5, -1):
                continue
            changed = {**other, name: wrong}
            assert service_after(changed) == ENTRY['service'], (name, wrong)
