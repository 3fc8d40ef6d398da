"""Steps for malformed records and announcements."""

import json
import os
import zlib

import entries
from behave import then
from hypothesis import given, settings, strategies

from cardamomtiller.forwarding.fleet.membertable import (
    DEFAULT_FLEET,
    AnnouncementError,
    MemberTable,
    decode_announcement,
    encode_announcement,
)
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.configuration import Configuration
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    Batch,
    MalformedRecord,
    Record,
    Revision,
)
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog, LogOptions
from cardamomtiller.forwarding.telemetry.meters import Meters
from tests import forwarding_rig as rig
from tests.platform_samples import CONFIGURATION, ENTRY, ROUTE
from tests.replica_rig import (
    FailingDecoder,
    batch_of,
    make_replica,
    pool_ids,
    record_at,
)

FIRST = Revision(NO_EPOCH, 1)


def decode_configuration(value):
    """Return the decoded change of a configuration."""
    return entries.EntryDecoder().decode(Record('op/config', FIRST, json.dumps(value)))


@then('a download may be repeated by its client like a safe request')
def step_repeatable(context):
    repeatable_by_type = {}
    for route_type in ('safe', 'download', 'unsafe', 'upload', None, ['safe']):
        value = {**CONFIGURATION, 'routes': [{**ROUTE, 'type': route_type}]}
        (route,) = decode_configuration(value).routes.values()
        repeatable_by_type[str(route_type)] = route.is_repeatable
    repeatable = {name for name, is_set in repeatable_by_type.items() if is_set}
    assert repeatable == {'safe', 'download'}


# Numbers beyond the range of a float cannot be written by the json module.
HUGE_NUMBERS = ('1e400', '-1e400', '1' + '0' * 400, 'NaN', 'Infinity')
FIELD_VALUES = strategies.one_of(
    strategies.sampled_from(HUGE_NUMBERS),
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text()
        | strategies.just('\ud800'),
        lambda children: (
            strategies.lists(children, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=5), children, max_size=3)
        ),
        max_leaves=6,
    ).map(json.dumps),
)


def text_with(fields, name, value):
    """Return a JSON object with one field replaced by a JSON text."""
    return json.dumps({**fields, name: '@'}).replace('"@"', value)


def malformed_candidates(name, value):
    """Iterate over records of both kinds with a field replaced by a JSON text."""
    yield Record('servers/i-1', FIRST, text_with(ENTRY, name, value))
    yield Record('servers/\ud8001', FIRST, text_with(ENTRY, name, value))
    yield Record('op/config', FIRST, text_with(CONFIGURATION, name, value))
    route = text_with(ROUTE, name, value)
    yield Record('op/config', FIRST, text_with(CONFIGURATION, 'routes', f'[{route}]'))


FIELD_NAMES = sorted({*ENTRY, *CONFIGURATION, *ROUTE, 'traffic_split'})


@then('a record with any JSON value in any field is decoded or reported as malformed')
def step_any_value(context):
    decoder = entries.EntryDecoder()

    @settings(derandomize=True, max_examples=1500, deadline=None)
    @given(strategies.sampled_from(FIELD_NAMES), FIELD_VALUES)
    def check(name, value):
        for record in malformed_candidates(name, value):
            change = decoder.decode(record)
            assert isinstance(change, (Configuration, UpstreamEntry, MalformedRecord))

    check()


def replica_with_log():
    """Return a replica, its forwarder and its log."""
    forwarder = rig.make_forwarder(())
    log = DecisionLog('test', LogOptions(10_000, 100, 10_000), lambda: 0.0)
    return Replica(forwarder, entries.EntryDecoder(), log, Meters()), forwarder, log


@then('the records after a malformed one are applied, and the log can be written')
def step_batch(context):
    for name in FIELD_NAMES:
        for value in (*HUGE_NUMBERS, '"\\ud800"', '5', 'null', '[[]]'):
            replica, forwarder, log = replica_with_log()
            candidates = (
                record._replace(revision=Revision(NO_EPOCH, number))
                for number, record in enumerate(malformed_candidates(name, value), 1)
            )
            last = Revision(NO_EPOCH, 9)
            good = Record('servers/i-2', last, json.dumps(ENTRY))
            assert replica.apply(Batch(None, last, (*candidates, good)), 0, 0)
            assert forwarder.directory.find('i-2') is not None, (name, value)
            with open(os.devnull, 'wb') as sink:
                log.flush(sink.fileno())


@then('the records after one that raises an unexpected error are applied')
def step_decoder_defect(context):
    forwarder, replica = make_replica(FailingDecoder())
    records = (record_at('u-1', 1, 'defect'), record_at('u-2', 1, 'ready'))
    assert replica.apply(batch_of(None, 1, records), 0, 0)
    assert pool_ids(forwarder) == {'u-2'}
    assert replica.revision == FIRST
    assert forwarder._reporter.meters.counters['records_malformed'] == 1


def announcements_with(value):
    """Iterate over announcements with one number replaced by a JSON text."""
    member = '["i-2","a","10.0.0.2",1]'
    for sender, age in ((f'["i-2","a","10.0.0.2",{value}]', '5'), (member, value)):
        yield (
            f'{{"version":2,"sender":{sender},"reply":false,"leaving":false,'
            f'"members":[["i-3","a","10.0.0.3",1,{age}],["i-4","a","10.0.0.4",{value},1]]}}'
        )


def decode_or_none(text):
    """Return the announcement of a text, None if it is refused."""
    try:
        return decode_announcement(zlib.compress(text.encode()))
    except AnnouncementError:
        return None


@then('an announcement with any number in any field is decoded or refused')
def step_announcement_numbers(context):
    for value in (*HUGE_NUMBERS, '-1', '"x"', 'null', '[]', '{}'):
        for text in announcements_with(value):
            decode_or_none(text)


@then('announcements can be sent after a malformed one was received')
def step_announce_after_malformed(context):
    for value in (*HUGE_NUMBERS, '-1'):
        for text in announcements_with(value):
            table = MemberTable(Member('i-1', 'a', '10.0.0.1', 1), DEFAULT_FLEET)
            announcement = decode_or_none(text)
            if announcement is not None:
                table.handle_announcement(announcement, 1000)
            assert encode_announcement(table.build_announcement('a', 1001))
