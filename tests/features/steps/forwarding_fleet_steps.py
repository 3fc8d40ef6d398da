"""Steps for membership, shared reading of records, and load sharing."""

import socket
import time
import zlib
from random import Random

from behave import then

from cardamomtiller.forwarding.fleet.loadreport import (
    SCALE,
    LoadReport,
    LoadRow,
    ReportError,
    ReportKind,
    decode_report,
    encode_report,
)
from cardamomtiller.forwarding.fleet.loadsharing import DEFAULT_SHARING, LoadSharing
from cardamomtiller.forwarding.fleet.membertable import (
    DEFAULT_FLEET,
    SEED_ANNOUNCEMENT_INTERVAL,
    Announcement,
    AnnouncementError,
    MemberTable,
    decode_announcement,
    encode_announcement,
)
from cardamomtiller.forwarding.member import rank
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    NO_REVISION,
    RecordSource,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.replication.following import Follower, FollowerOptions
from cardamomtiller.forwarding.replication.peerreading import PeerOptions
from cardamomtiller.forwarding.replication.removals import MAX_REMOVALS
from cardamomtiller.forwarding.replication.replica import (
    MAX_CONFIRMATION_GAP_MS,
)
from cardamomtiller.forwarding.replication.sources import SourceSelector
from cardamomtiller.forwarding.sockets.httpserver import (
    IDLE_TIMEOUT_MS,
    HttpServer,
    Reply,
)
from tests.replica_rig import (
    SOURCE_OPTIONS,
    apply_list,
    batch_of,
    make_replica,
    member,
    pool_ids,
    record_at,
)

SEED = 20261205
TOKEN = Token(7)
LOSS_RATE = 0.1


@then('one member of a failure domain reads the source and the others read from it')
def step_one_reader(context):
    members = [member(number) for number in range(20)]
    members.append(member(30, capacity=200.0))
    for local in members:
        others = [other for other in members if other is not local]
        chosen = SourceSelector(local, SOURCE_OPTIONS).select(others, 0, 0)
        assert chosen.member.host == members[-1].host


@then('members discover their failure domain through one seed')
def step_discovery(context):
    tables = [
        MemberTable(member(number, domain='ab'[number % 2]), DEFAULT_FLEET)
        for number in range(40)
    ]
    by_host = {table.local_member.host: table for table in tables}
    seed = tables[0].local_member.host
    for now_ms in range(0, 3000, 200):
        for table in tables:
            for host, domain in list(table.next_receivers([seed], now_ms)):
                message = encode_announcement(table.build_announcement(domain, now_ms))
                receiver = by_host[host]
                receiver.handle_announcement(decode_announcement(message), now_ms)
                reply = receiver.build_announcement(table.local_member.domain, now_ms)
                table.handle_announcement(reply, now_ms)
    assert all(len(table.peers()) == 19 for table in tables)
    assert all(
        any(other.domain != table.local_member.domain for other in table.members())
        for table in tables
    )


@then(
    'all of 75 members agree on the reader for a minute, and its table has every member'
)
def step_large_domain(context):
    generator = Random(5)
    tables = [
        MemberTable(member(number, domain='ab'[number % 2]), DEFAULT_FLEET)
        for number in range(150)
    ]
    by_host = {table.local_member.host: table for table in tables}
    seed = tables[0].local_member.host
    pause_ms = 100
    for now_ms in range(0, 60_000, pause_ms):
        for number, table in enumerate(tables):
            if (now_ms + number * pause_ms) % table.interval_ms(now_ms) >= pause_ms:
                continue
            table.expire(now_ms)
            # An instance sends a load report to its reader about once a second.
            reader = rank([table.local_member, *table.peers()])[0]
            if generator.random() >= LOSS_RATE:
                by_host[reader.host].record_contact(table.local_member.host, now_ms)
                table.record_contact(reader.host, now_ms)
            for host, domain in list(table.next_receivers([seed], now_ms)):
                if generator.random() < LOSS_RATE:
                    continue
                message = encode_announcement(table.build_announcement(domain, now_ms))
                has_no_peers = not table.peers()
                by_host[host].handle_announcement(decode_announcement(message), now_ms)
                if has_no_peers:
                    reply = by_host[host].build_announcement(
                        table.local_member.domain, now_ms
                    )
                    table.handle_announcement(reply, now_ms)
        if now_ms >= 10_000:
            check_readers(tables, now_ms)


def check_readers(tables, now_ms):
    """Assert that members agree on the reader of each domain, which has them all."""
    members = [table.local_member for table in tables]
    for domain in 'ab':
        (first, *_) = rank(other for other in members if other.domain == domain)
        for table in tables:
            if table.local_member.domain != domain:
                continue
            assert rank([table.local_member, *table.peers()])[0] == first, (
                now_ms,
                table.local_member,
            )
            if table.local_member == first:
                assert len(table.peers()) == 74, (now_ms, len(table.peers()))


@then('an instance reads from the next member when its reader fails')
def step_next_reader(context):
    members = [member(number) for number in range(5)]
    selector = SourceSelector(members[4], SOURCE_OPTIONS)
    first = selector.select(members[:4], 0, 0).member
    selector.record_failure(first.host, 0)
    second = selector.select(members[:4], 0, 1).member
    assert (first, second) == (members[0], members[1])
    selector.record_failure(members[1].host, 1)
    selector.record_failure(members[2].host, 1)
    assert selector.select(members[:4], 0, 2).member == members[4]
    backoff_ms = SOURCE_OPTIONS.failure_backoff_ms
    assert selector.select(members[:4], 0, backoff_ms).member == members[0]


@then('an instance without peers reads the source')
def step_no_peers(context):
    local = member(1)
    selector = SourceSelector(local, SOURCE_OPTIONS)
    assert selector.select([], 0, 0).member == local
    selector.record_failure(local.host, 0)
    assert selector.select([], 0, 1).member == local


@then('a stale replica counts as a failure')
def step_stale(context):
    selector = SourceSelector(member(1), SOURCE_OPTIONS)
    assert selector.is_stale(SOURCE_OPTIONS.max_age_ms + 1)
    assert not selector.is_stale(SOURCE_OPTIONS.max_age_ms)


def table_with_member(number, now_ms=0):
    """Return a table that has one other member, and the table of that member."""
    table = MemberTable(member(0), DEFAULT_FLEET)
    other = MemberTable(member(number), DEFAULT_FLEET)
    table.handle_announcement(other.build_announcement('a', now_ms), now_ms)
    return table, other


@then('a member that announces its departure is removed at once')
def step_departure(context):
    table, other = table_with_member(1)
    assert table.peers()
    table.handle_announcement(other.build_announcement('a', 100, is_leaving=True), 100)
    assert not table.peers()


@then('an outdated announcement does not restore a member that has left')
def step_outdated_announcement(context):
    table, other = table_with_member(1)
    third = MemberTable(member(2), DEFAULT_FLEET)
    third.handle_announcement(other.build_announcement('a', 0), 0)
    table.handle_announcement(other.build_announcement('a', 100, is_leaving=True), 100)
    table.handle_announcement(third.build_announcement('a', 200), 200)
    assert table.find(other.local_member.host) is None
    table.handle_announcement(other.build_announcement('a', 5000), 5000)
    assert table.find(other.local_member.host) is not None


@then('changes that the replica already has are ignored')
def step_known_changes(context):
    forwarder, replica = make_replica()
    apply_list(replica, ('u-1', 'u-2'), revision=10)
    removal = (record_at('u-1', 12, None),)
    assert replica.apply(batch_of(10, 12, removal), 0, 0)
    older = (record_at('u-1', 11, 'ready'),)
    assert replica.apply(batch_of(10, 12, older), 0, 0)
    assert pool_ids(forwarder) == {'u-2'}


@then('a removed record stays removed when an older list arrives')
def step_older_list(context):
    forwarder, replica = make_replica()
    apply_list(replica, ('u-1', 'u-2'), revision=10)
    replica.apply(batch_of(10, 12, (record_at('u-1', 12, None),)), 0, 0)
    assert not apply_list(replica, ('u-1', 'u-2'), revision=11)
    assert pool_ids(forwarder) == {'u-2'}


@then('changes that do not follow the revision of the replica are ignored')
def step_revision_gap(context):
    forwarder, replica = make_replica()
    apply_list(replica, ('u-1',), revision=10)
    assert not replica.apply(batch_of(11, 12, (record_at('u-2', 12, 'ready'),)), 0, 0)
    assert replica.revision.number == 10
    assert pool_ids(forwarder) == {'u-1'}


@then(
    'an instance can place flows with the first page of a list, and keeps other records'
)
def step_first_page(context):
    forwarder, replica = make_replica()
    assert not replica.is_usable
    first_page = tuple(record_at(f'u-{number}', 5, 'ready') for number in range(3))
    assert replica.apply(batch_of(None, 9, first_page, is_partial=True), 0, 0)
    assert replica.is_usable and not replica.is_complete
    assert replica.confirmed_ms is None and replica.revision == NO_REVISION
    assert pool_ids(forwarder) == {'u-0', 'u-1', 'u-2'}
    second_page = (record_at('u-7', 6, 'ready'),)
    assert replica.apply(batch_of(None, 9, second_page, is_partial=True), 0, 0)
    assert pool_ids(forwarder) == {'u-0', 'u-1', 'u-2', 'u-7'}
    assert replica.apply(batch_of(None, 9, first_page[1:] + second_page), 0, 0)
    assert replica.is_complete
    assert pool_ids(forwarder) == {'u-1', 'u-2', 'u-7'}


class PagedSource(RecordSource):
    """A source with two pages that records what was published between them."""

    def __init__(self, follower_results):
        """Use a callable that returns the published results."""
        self.results_before_second = None
        self.results = follower_results

    def read_all(self):
        """Yield a partial batch and the complete list."""
        record = record_at('u-1', 1, 'ready')
        yield batch_of(None, 2, (record,), is_partial=True)
        self.results_before_second = len(self.results())
        yield batch_of(None, 2, (record, record_at('u-2', 2, 'ready')))

    def wait_for_changes(self, after, wait_ms):
        """Raise an error; the test only reads the list."""
        raise SourceError('no changes')

    def close(self):
        """Keep the source; it has no connection."""


@then('the first page of a list is published before the next one is read')
def step_first_page_published(context):
    source = PagedSource(lambda: follower._results)
    options = FollowerOptions(1, 1, 1, PeerOptions(1, 1, 1))
    selector = SourceSelector(member(0), SOURCE_OPTIONS)
    follower = Follower(member(0), source, selector, options, lambda: 0.0, lambda: None)
    follower._read_once()
    assert source.results_before_second == 1
    first, second = follower.drain_results()
    assert first.batch.is_partial and not second.batch.is_partial


@then('a peer that is behind receives the removals it lacks')
def step_peer_removals(context):
    _, reader = make_replica()
    follower_forwarder, follower = make_replica()
    for replica in (reader, follower):
        apply_list(replica, ('u-1', 'u-2'), revision=10)
    changes = (record_at('u-1', 11, None), record_at('u-3', 12, 'ready'))
    reader.apply(batch_of(10, 12, changes), 0, 0)
    batch = reader.changes_after(follower.revision)
    assert batch.after.number == 10
    follower.apply(batch, 0, 0)
    assert pool_ids(follower_forwarder) == {'u-2', 'u-3'}


@then('a peer that is far behind receives the complete list')
def step_peer_far_behind(context):
    _, reader = make_replica()
    apply_list(reader, ('u-1',), revision=10)
    start = reader.revision
    assert reader.changes_after(Revision(NO_EPOCH, 5)).after is None
    assert reader.changes_after(NO_REVISION).after is None
    for revision in range(11, 11 + 2 * MAX_REMOVALS, 2):
        changes = (
            record_at('u-2', revision, 'ready'),
            record_at('u-2', revision + 1, None),
        )
        reader.apply(batch_of(revision - 1, revision + 1, changes), 0, 0)
    assert reader.changes_after(start).after == start
    last = reader.revision.number
    reader.apply(batch_of(last, last + 1, (record_at('u-1', last + 1, None),)), 0, 0)
    assert reader.changes_after(start).after is None


@then('a gap in the confirmations restarts the steady time')
def step_steady_time(context):
    _, replica = make_replica()
    apply_list(replica, ('u-1',))
    for now_ms in range(0, 5000, 500):
        replica.apply(batch_of(10, 10, ()), now_ms, now_ms)
    assert replica.steadiness(4600) == (4500, 4500)
    later_ms = 4500 + MAX_CONFIRMATION_GAP_MS + 1
    assert replica.steadiness(later_ms).duration_ms == 0
    replica.apply(batch_of(10, 10, ()), later_ms, later_ms)
    assert replica.steadiness(later_ms + 100) == (later_ms, 0)
    replica.apply(batch_of(10, 10, ()), later_ms + 100, later_ms + 150)
    assert replica.steadiness(later_ms + 200) == (later_ms + 100, 100)


@then('a malformed record removes its upstream and leaves the others')
def step_malformed(context):
    forwarder, replica = make_replica()
    apply_list(replica, ('u-1', 'u-2'), revision=10)
    replica.apply(batch_of(10, 11, (record_at('u-1', 11, 'noise'),)), 0, 0)
    assert pool_ids(forwarder) == {'u-2'}
    replica.apply(batch_of(11, 12, (record_at('u-1', 12, 'ready'),)), 0, 0)
    assert pool_ids(forwarder) == {'u-1', 'u-2'}


@then('reports and announcements are equal after encoding and decoding')
def step_encoding(context):
    generator = Random(SEED)
    for count in (0, 1, 20, 150):
        rows = tuple(
            LoadRow(
                Token(generator.randrange(1 << 32)),
                generator.randrange(1000) / SCALE,
                generator.randrange(1000) / SCALE,
            )
            for _ in range(count)
        )
        report = LoadReport(ReportKind.DOMAIN, rows)
        assert decode_report(encode_report(report)) == report
    rows = tuple(LoadRow(Token(number), number, 0) for number in range(1, 400))
    kept = decode_report(encode_report(LoadReport(ReportKind.DOMAIN, rows))).rows
    assert {row.token for row in kept} == set(range(250, 400))
    table, _ = table_with_member(1)
    announcement = table.build_announcement('a', 250, is_reply_wanted=True)
    message = encode_announcement(announcement)
    assert decode_announcement(message) == announcement
    for damaged in (message[:-1], b'', zlib.compress(b' ' * 1_000_000 + b'1')):
        assert is_refused(damaged, decode_announcement, AnnouncementError)


def is_refused(datagram, decode, error):
    """Return whether a decoder rejects a datagram with the given error."""
    try:
        decode(datagram)
    except error:
        return True
    return False


@then('random datagrams are rejected as reports and as announcements')
def step_random_datagrams(context):
    generator = Random(SEED)
    for _ in range(2000):
        datagram = generator.randbytes(generator.randrange(60))
        assert is_refused(datagram, decode_report, ReportError)
        assert is_refused(datagram, decode_announcement, AnnouncementError)


class Fleet:
    """Load sharing between several instances whose messages arrive instantly."""

    def __init__(self, count, domains=1):
        """Create the instances, each with an empty load table."""
        self.members = [
            member(number, domain=f'domain-{number % domains}')
            for number in range(count)
        ]
        self.load_tables = {local.host: LoadTable() for local in self.members}
        self.sharing = {
            local.host: LoadSharing(
                local, self.load_tables[local.host], DEFAULT_SHARING
            )
            for local in self.members
        }
        self.silent_hosts = set()
        self.message_counts = dict.fromkeys(self.load_tables, 0)
        self.sent_bytes = dict.fromkeys(self.load_tables, 0)

    def set_in_progress(self, host, requests):
        """Add requests in progress at one upstream."""
        self.load_tables[host].get_or_create(TOKEN).change_in_progress(requests, 0)

    def run(self, start_ms, end_ms):
        """Run all instances that are not silent, in steps of 100 ms."""
        for now_ms in range(start_ms, end_ms, 100):
            for local in self.members:
                if local.host not in self.silent_hosts:
                    self._run_turn(local, now_ms)

    def others_busy(self, host):
        """Return the load of the other instances that one instance has stored."""
        return self.load_tables[host].get_or_create(TOKEN).others_busy

    def _run_turn(self, local, now_ms):
        sharing = self.sharing[local.host]
        sharing.update_loads(now_ms)
        others = [other for other in self.members if other is not local]
        for receiver, report in sharing.due_reports(others, now_ms):
            self._count(local, report)
            if receiver.host in self.silent_hosts:
                continue
            answer = self.sharing[receiver.host].handle_report(local, report, now_ms)
            self._count(receiver, report)
            if answer is not None:
                self._count(receiver, answer)
                self._count(local, answer)
                sharing.handle_report(receiver, answer, now_ms)

    def _count(self, local, report):
        self.message_counts[local.host] += 1
        self.sent_bytes[local.host] += len(encode_report(report))


@then(
    'an ordinary instance in a fleet of design size transfers less than 2 kB a second'
)
def step_transfer_rate(context):
    # The size of one of eight failure domains in a fleet of 590 instances.
    seconds = 4
    generator = Random(SEED)
    fleet = Fleet(74)
    upstreams = [Token(generator.getrandbits(32)) for _ in range(3500)]
    for load_table in fleet.load_tables.values():
        for token in generator.sample(upstreams, 40):
            load_table.get_or_create(token).change_in_progress(1, 0)
    fleet.run(0, seconds * 1000)
    *ordinary, first = sorted(total / seconds for total in fleet.sent_bytes.values())
    table = MemberTable(member(0, domain='domain-0'), DEFAULT_FLEET)
    for other in fleet.members[1:]:
        table.handle_announcement(Announcement(other, False, False, ()), 0)
    size = len(encode_announcement(table.build_announcement('domain-0', 250)))
    per_s = (
        1000
        / DEFAULT_FLEET.interval_ms
        * (1 + DEFAULT_FLEET.fanout + 1 / SEED_ANNOUNCEMENT_INTERVAL)
    )
    total = ordinary[-1] + 2 * per_s * size
    assert total < 2000, (ordinary[-1], size, total)
    print(f'ordinary {total:.0f} B/s, first {first:.0f} B/s')


@then('an instance receives the load of all others through the first member')
def step_shared_load(context):
    fleet = Fleet(12, domains=3)
    for number, local in enumerate(fleet.members):
        fleet.set_in_progress(local.host, number)
    fleet.run(0, 15_000)
    total = sum(range(12))
    for number, local in enumerate(fleet.members):
        expected = total - number
        assert abs(fleet.others_busy(local.host) - expected) < 0.1 * expected


@then('expired reports no longer count')
def step_expired_reports(context):
    fleet = Fleet(4)
    for local in fleet.members:
        fleet.set_in_progress(local.host, 5)
    fleet.run(0, 10_000)
    fleet.silent_hosts = {local.host for local in fleet.members[1:]}
    fleet.run(10_000, 10_000 + int(DEFAULT_SHARING.max_report_age_ms) + 300)
    assert fleet.others_busy(fleet.members[0].host) == 0


@then('an instance reports to the next member when the first one does not answer')
def step_next_report(context):
    fleet = Fleet(4)
    for local in fleet.members:
        fleet.set_in_progress(local.host, 5)
    fleet.run(0, 10_000)
    fleet.silent_hosts = {fleet.members[0].host}
    fleet.run(10_000, 15_000)
    assert 9 < fleet.others_busy(fleet.members[3].host) < 11


@then('an idle connection is closed')
def step_idle_connection(context):
    page = Reply(200, 'text/plain', b'ok')
    server = HttpServer(('127.0.0.1', 0), {'/': lambda _request, _now_ms: page}, 1)
    address = server._listener.getsockname()
    with socket.create_connection(address) as silent:
        time.sleep(0.1)
        descriptor = server.accept(0)
        assert descriptor is not None
        server.answer_pending(IDLE_TIMEOUT_MS)
        assert server.owns(descriptor)
        server.answer_pending(IDLE_TIMEOUT_MS + 1)
        assert not server.owns(descriptor)
        silent.settimeout(1)
        assert silent.recv(1) == b''


@then('the message rate of the busiest instance stays bounded as the fleet grows')
def step_message_rate(context):
    seconds = 20
    for count in (9, 80, 300, 590):
        fleet = Fleet(count, domains=8)
        fleet.run(0, seconds * 1000)
        assert max(fleet.message_counts.values()) / seconds < 500
