"""Steps for a store that returns from an older copy, read through the adapter."""

from behave import then

from cardamomtiller.forwarding.published.upstreams import UpstreamState
from cardamomtiller.forwarding.replication.removals import MAX_REMOVALS
from cardamomtiller.forwarding.replication.replica import MAX_REWRITE_MS
from cardamomtiller.forwarding.routing.options import DEFAULT_FORWARDING
from tests.platform_samples import ENTRY, ROUTE
from tests.restore_rig import FIRST_MEMBER, OTHER_MEMBER, Instance, World
from tools.standins.store import ITEMS_PER_PAGE


@then('a change that is written after a restore is applied')
def step_change_after_restore(context):
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2)
    world.write_entry('i-3')
    instance = world.start_instance()
    world.store.restore(copy)
    world.write_configuration(2)
    instance.read()
    world.write_configuration(3)
    instance.read()
    assert instance.version == 3
    world.write_entry('i-4')
    instance.read()
    assert 'i-4' in instance.ready_names()


@then('a change is applied although a watch from the old revision is accepted again')
def step_reached_revision(context):
    world = World(context)
    copy = world.store.copy()
    for version in range(2, 5):
        world.write_configuration(version)
    instance = world.start_instance()
    world.store.restore(copy)
    world.write_configuration(5)
    # Other writers bring the new history to the revision of the old one, and beyond.
    for number in range(3, 8):
        world.write_entry(f'i-{number}')
    instance.read()
    assert instance.version == 5
    assert instance.ready_names() == {f'i-{number}' for number in range(1, 8)}


@then('changes are applied after each of several restores')
def step_several_restores(context):
    world = World(context)
    instance = world.start_instance()
    for version in range(2, 6):
        copy = world.store.copy()
        world.write_entry(f'i-{version + 1}')
        instance.read()
        world.store.restore(copy)
        world.write_configuration(version)
        instance.read()
        assert instance.version == version


@then('a list whose pages span a restore is read again')
def step_pages(context):
    world = World(context)
    for number in range(ITEMS_PER_PAGE):
        world.write_entry(f'i-{number + 10:x}')
    copy = world.store.copy()
    world.write_configuration(2)
    instance = Instance(world.store)
    request, pages = instance.client._request, []

    def restore_after_first_page(path, timeout_ms):
        page = request(path, timeout_ms)
        if not pages:
            pages.append(page)
            world.store.restore(copy)
            world.remove_entry('i-a')
            world.write_configuration(3)
        return page

    instance.client._request = restore_after_first_page
    instance.read()
    assert instance.version == 3
    instance.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert 'i-a' not in instance.ready_names()


@then('a peer with the old history receives the list of the new one')
def step_peer_behind(context):
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2)
    world.write_entry('i-3')
    reader, peer = world.start_instance(), world.start_instance()
    world.store.restore(copy)
    world.write_configuration(3)
    reader.read()
    assert peer.read_peer(reader)
    assert peer.version == 3
    world.write_configuration(4)
    reader.read()
    peer.read_peer(reader)
    assert peer.version == 4


@then('a peer with the new history ignores the old one')
def step_peer_ahead(context):
    world = World(context)
    copy = world.store.copy()
    world.write_entry('i-3')
    reader, peer = world.start_instance(), world.start_instance()
    world.store.restore(copy)
    world.remove_entry('i-2')
    peer.read()
    assert not peer.read_peer(reader)
    peer.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert 'i-2' not in peer.ready_names()


@then('a peer receives the removals before the last complete list of its reader')
def step_removal_before_list(context):
    world = World(context)
    reader = world.start_instance()
    world.write_entry('i-3')
    peer = world.start_instance()
    world.remove_entry('i-3')
    reader.follower.request_list()
    reader.read(1)
    peer.read_peer(reader)
    peer.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert peer.ready_names() == {'i-1', 'i-2'}


@then('removals from before the list do not bring the history back')
def step_removals_before_list(context):
    world = World(context)
    reader = world.start_instance()
    for count in range(MAX_REMOVALS):
        world.write_entry('i-3')
        reader.read(1)
        world.remove_entry('i-3')
        reader.read(1)
        if count == 1:
            early = reader.replica.revision
    reader.follower.request_list()
    reader.read(1)
    world.remove_entry('i-2')
    reader.read(1)
    assert reader.replica.changes_after(early).after is None


@then('the configuration in force stays until a later one is written')
def step_older_configuration(context):
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2, (ROUTE, {**ROUTE, 'name': 'r-2', 'prefix': '/81/'}))
    instance = world.start_instance()
    world.store.restore(copy)
    instance.read()
    assert instance.version == 2
    assert len(instance.forwarder.configuration.routes) == 2
    world.write_configuration(3)
    instance.read()
    assert instance.version == 3


def make_changed_world(context):
    """Return a world after two changes, and a copy of its store from before them."""
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2)
    world.write_entry('i-1', 'draining')
    return world, copy


@then('an instance that starts from a peer gets the configuration in force')
def step_start_from_peer(context):
    world, copy = make_changed_world(context)
    reader = world.start_instance()
    world.store.restore(copy)
    reader.read()
    started = Instance(world.store)
    started.read_peer(reader)
    assert started.version == 2
    assert started.ready_names() == {'i-2'}


@then('a configuration that is written again under its version is applied')
def step_same_version(context):
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2)
    instance = world.start_instance()
    world.store.restore(copy)
    world.write_configuration(2, (ROUTE, {**ROUTE, 'name': 'r-2', 'prefix': '/81/'}))
    instance.read()
    assert len(instance.forwarder.configuration.routes) == 2


@then('a draining upstream stays draining when the copy has it as ready')
def step_draining(context):
    world = World(context)
    copy = world.store.copy()
    world.write_entry('i-1', 'draining')
    instance = world.start_instance()
    world.store.restore(copy)
    instance.read()
    world.write_configuration(2)
    instance.read()
    assert instance.version == 2
    assert instance.ready_names() == {'i-2'}


@then('a departed upstream stays departed when the copy has it as ready')
def step_departed(context):
    world = World(context)
    copy = world.store.copy()
    world.write_entry('i-1', 'draining')
    instance = world.start_instance()
    world.remove_entry('i-1')
    instance.read()
    world.store.restore(copy)
    world.write_configuration(2)
    instance.read()
    assert instance.version == 2
    assert instance.ready_names() == {'i-2'}


@then('an upstream whose address another one uses now stays departed')
def step_address_reused(context):
    world = World(context)
    copy = world.store.copy()
    world.remove_entry('i-1')
    instance = world.start_instance()
    world.store.put(
        'servers/i-9',
        {**ENTRY, 'address': '10.0.0.1:80', 'born': ENTRY['born'] + 1},
    )
    instance.read()
    world.store.restore(copy)
    world.write_configuration(2)
    instance.read()
    assert instance.version == 2
    assert 'i-1' not in instance.ready_names()


@then('an upstream whose entry had expired returns with the copy')
def step_expired(context):
    world = World(context)
    instance = world.start_instance()
    copy = world.store.copy()
    world.remove_entry('i-1')
    instance.read()
    instance.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert instance.ready_names() == {'i-2'}
    world.store.restore(copy)
    instance.read()
    assert instance.ready_names() == {'i-1', 'i-2'}


@then('an upstream whose entry had expired returns with an earlier entry of the copy')
def step_expired_earlier(context):
    world = World(context)
    world.write_entry('i-1', slow_start_left_ms=3000)
    copy = world.store.copy()
    world.write_entry('i-1', slow_start_left_ms=0)
    instance = world.start_instance()
    world.remove_entry('i-1')
    instance.read()
    instance.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert instance.ready_names() == {'i-2'}
    world.store.restore(copy)
    instance.read()
    assert instance.ready_names() == {'i-1', 'i-2'}


@then('an upstream that the copy lacks keeps its flows until it is published again')
def step_lacking(context):
    world = World(context)
    copy = world.store.copy()
    world.write_entry('i-3')
    instance = world.start_instance()
    world.store.restore(copy)
    instance.read()
    upstream = instance.forwarder.directory.find('i-3')
    assert upstream.state is UpstreamState.MISSING
    assert 'i-3' in instance.ready_names()
    instance.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms
    world.write_entry('i-3')
    instance.read()
    assert upstream.state is UpstreamState.READY


@then('a restore restarts the time for which the replica is steady')
def step_steady(context):
    world = World(context)
    copy = world.store.copy()
    instance = world.start_instance()
    for _ in range(10):
        instance.now_ms += 1000
        instance.read(1)
    assert instance.replica.steadiness(instance.now_ms).duration_ms >= 9000
    world.store.restore(copy)
    world.write_entry('i-2')
    instance.read()
    assert instance.replica.steadiness(instance.now_ms).duration_ms == 0
    # An unknown token may belong to an upstream that has not written again yet.
    instance.now_ms += DEFAULT_FORWARDING.unknown_token_ms - 1
    instance.read(1)
    age_ms = instance.replica.steadiness(instance.now_ms).duration_ms
    assert age_ms < DEFAULT_FORWARDING.unknown_token_ms


@then('an instance that restarts gets what is in force from {rank} peer')
def step_restart(context, rank):
    world, copy = make_changed_world(context)
    peer = Instance(
        world.store, {'a lower': OTHER_MEMBER, 'a higher': FIRST_MEMBER}[rank]
    )
    peer.read()
    world.store.restore(copy)
    peer.read()
    started = world.start_instance()
    started.read_beside(peer)
    assert started.version == 2
    assert started.ready_names() == {'i-2'}


@then('an instance that restarts gets what is in force from a peer of its reader')
def step_restart_reader(context):
    world, copy = make_changed_world(context)
    reader, peer = world.start_instance(), Instance(world.store, OTHER_MEMBER)
    peer.read_peer(reader)
    world.store.restore(copy)
    reader.read()
    peer.read_peer(reader)
    peer.now_ms += MAX_REWRITE_MS
    started = world.start_instance()
    started.read_beside(peer)
    assert started.version == 2
    assert started.ready_names() == {'i-2'}


@then('an instance that restarts does not use an upstream that has left')
def step_restart_departed(context):
    world = World(context)
    copy = world.store.copy()
    world.write_entry('i-1', 'draining')
    peer = Instance(world.store, OTHER_MEMBER)
    peer.read()
    world.remove_entry('i-1')
    peer.read()
    world.store.restore(copy)
    peer.read()
    started = world.start_instance()
    started.read_beside(peer)
    started.follower.request_list()
    started.read()
    started.now_ms += DEFAULT_FORWARDING.missing_entry_grace_ms + 1
    assert started.ready_names() == {'i-2'}


@then('an instance that missed changes before a restore gets them from a peer')
def step_missed_changes(context):
    world = World(context)
    copy = world.store.copy()
    missing, peer = world.start_instance(), Instance(world.store, OTHER_MEMBER)
    world.write_configuration(2)
    peer.read()
    world.store.restore(copy)
    missing.read()
    missing.read_beside(peer)
    peer.read()
    missing.read_beside(peer)
    assert missing.version == 2


@then('what is written after a restore is not replaced by what a peer kept')
def step_written_after(context):
    world = World(context)
    copy = world.store.copy()
    world.write_configuration(2)
    world.write_configuration(3)
    world.write_entry('i-1', 'draining')
    peer = Instance(world.store, OTHER_MEMBER)
    peer.read()
    world.store.restore(copy)
    peer.read()
    routes = (ROUTE, {**ROUTE, 'name': 'r-2', 'prefix': '/81/'})
    world.write_configuration(3, routes)
    world.write_entry('i-1')
    world.write_entry('i-3')
    started = world.start_instance()
    started.read_beside(peer)
    assert len(started.forwarder.configuration.routes) == 2
    assert started.ready_names() == {'i-1', 'i-2', 'i-3'}
