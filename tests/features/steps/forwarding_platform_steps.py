"""Steps for the platform adapter."""

import json
import re
import subprocess
import sys
from pathlib import Path

import entries
import settings as platform_settings
import store as platform_store
from behave import given, then

from cardamomtiller.forwarding.published.configuration import Configuration
from cardamomtiller.forwarding.published.records import (
    EntryRemoval,
    HistoryLostError,
    MalformedRecord,
    Record,
    SourceError,
)
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry
from cardamomtiller.forwarding.settingswatch import (
    CHECK_INTERVAL_MS,
    SettingsSource,
    SettingsWatch,
)
from tests import forwarding_rig as rig
from tests.platform_samples import CONFIGURATION, ENTRY, ROUTE, platform_fields
from tools.standins.store import Fault, Store

ROOT = rig.ROOT
SOURCE = ROOT / 'src' / 'cardamomtiller'
ADAPTER_MODULES = ('entries', 'main', 'packets', 'store')
PLATFORM_KEYS = ('op/config', 'servers/', 'kv-', 'warmup_left', 'datagram_address')
SLOW_MODULES = (
    'asyncio',
    'concurrent.futures',
    'dataclasses',
    'http.client',
    'inspect',
    'json',
    'logging',
    'loguru',
    'prometheus_client',
    'random',
    'socket',
    'tomllib',
    'typer',
    'urllib.parse',
)
# The example of the platform's documentation of packets.
EXAMPLE = bytes.fromhex(
    '11223344 00000000 a1b2c3d5 02 00 0000 00000000 9c41 64400007 01bb c6120001',
)
EXAMPLE_RESET = bytes.fromhex(
    '00000000 00000000 00000000 10 00 0000 00000000 01bb c6120001 9c41 64400007',
)


@then('no module of the product imports the adapter or contains its keys')
def step_product_independence(context):
    pattern = re.compile(
        rf'^\s*(from|import) ({"|".join(ADAPTER_MODULES)})\b',
        re.MULTILINE,
    )
    for path in (SOURCE / 'forwarding').rglob('*.py'):
        text = path.read_text()
        assert not pattern.search(text), path
        assert not any(word in text for word in PLATFORM_KEYS), path


@then('the standard module platform can be imported at the repository root')
def step_standard_module(context):
    command = 'import platform; print(platform.python_version())'
    completed = subprocess.run(
        [sys.executable, '-c', command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.startswith('3.')


@then('start-up on the platform imports no slow module')
def step_start(context):
    command = 'import sys, main; print(*sys.modules)'
    packages = Path(sys.modules['ujson'].__file__).parent
    completed = subprocess.run(
        [sys.executable, '-S', '-s', '-c', command],
        env={'PYTHONPATH': f'{ROOT / "platform"}:{ROOT / "src"}:{packages}'},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(completed.stdout.split())
    assert 'cardamomtiller.forwarding.process' in loaded
    assert not loaded & set(SLOW_MODULES), loaded & set(SLOW_MODULES)


@then('the example packet of the platform is decoded and reset as documented')
def step_example_packet(context):
    header = rig.HeaderFormat()
    packet = header.decode(EXAMPLE)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert header.encode_reset(packet.flow, packet.acknowledged) == EXAMPLE_RESET
    assert header.with_token(EXAMPLE, 0x01020304)[16:20] == b'\1\2\3\4'
    assert header.decode(EXAMPLE[:-1]) is None
    assert header.decode(EXAMPLE + b'x') is None


def decode_entry(value, key='servers/i-7f3a91c2'):
    """Return the decoded change of a server entry."""
    text = value if isinstance(value, str) else json.dumps(value)
    return entries.EntryDecoder().decode(Record(key, 1, text))


@then('entries with missing or invalid fields are reported with their upstream')
def step_entries(context):
    good = decode_entry(ENTRY)
    assert isinstance(good, UpstreamEntry)
    assert good.frame == bytes.fromhex('000000007f3a91c2')
    assert good.address == ('10.128.0.9', 8080)
    assert good.incarnation == ENTRY['born']
    for name in ENTRY:
        for wrong in (None, [], {}, 'unnamed:', True, -1):
            changed = decode_entry({**ENTRY, name: wrong})
            if name in {'service', 'zone', 'version'} and isinstance(wrong, str):
                continue
            if name == 'warmup_left_ms' and wrong == -1:
                continue
            assert isinstance(changed, MalformedRecord), (name, wrong)
            assert changed.upstream == 'i-7f3a91c2'
        incomplete_entry = {key: field for key, field in ENTRY.items() if key != name}
        assert isinstance(decode_entry(incomplete_entry), MalformedRecord)
    for malformed_text in ('', '{', '[]', 'null', '"text"'):
        assert isinstance(decode_entry(malformed_text), MalformedRecord)
    assert isinstance(decode_entry(ENTRY, 'servers/xyz'), MalformedRecord)
    removal = entries.EntryDecoder().decode(Record('servers/i-1', 1, None))
    assert removal == EntryRemoval('i-1')
    assert decode_entry(ENTRY, 'elsewhere/i-1') is None


def decode_configuration(value):
    """Return the decoded change of a configuration."""
    return entries.EntryDecoder().decode(Record('op/config', 1, json.dumps(value)))


@then('configurations with missing or invalid fields are reported as malformed')
def step_configurations(context):
    good = decode_configuration(CONFIGURATION)
    assert isinstance(good, Configuration)
    assert good.version == 7
    (route,) = good.routes.values()
    assert rig.pack_address(rig.parse_ipv4('198.18.0.1'), 8443) == route.address
    for name in ('name', 'host', 'prefix', 'service'):
        for wrong in (None, 5, '', 'a.b.c.d:0'):
            if name in {'name', 'service'} and wrong == 'a.b.c.d:0':
                continue
            changed = {**CONFIGURATION, 'routes': [{**ROUTE, name: wrong}]}
            assert isinstance(decode_configuration(changed), MalformedRecord)
    for wrong in (None, {}, 'routes', [5]):
        changed = {**CONFIGURATION, 'routes': wrong}
        assert isinstance(decode_configuration(changed), MalformedRecord)
    for wrong in (None, {}, 'services', [5], [{}], [{'name': ''}]):
        changed = {**CONFIGURATION, 'services': wrong}
        assert isinstance(decode_configuration(changed), MalformedRecord)
    named = decode_configuration({**CONFIGURATION, 'services': [{'name': 'spare'}]})
    assert named.services == {ROUTE['service'], 'spare'}


@then('a route with several services splits its flows by weight')
def step_shares(context):
    split = [{'service': 'x', 'weight': 90}, {'service': 'y', 'weight': 10}]
    value = {**CONFIGURATION, 'routes': [{**ROUTE, 'traffic_split': split}]}
    (route,) = decode_configuration(value).routes.values()
    chosen = [route.service_of(number) for number in range(1000)]
    assert chosen.count('x') == 900
    assert chosen.count('y') == 100


@given('a store with 120 entries')
def step_store(context):
    context.store = Store(('127.0.0.1', 0))
    context.add_cleanup(context.store.close)
    context.store.put('op/config', CONFIGURATION)
    for number in range(1, 121):
        context.store.put(f'servers/i-{number:08x}', ENTRY)
    context.source = platform_store.Store(context.store.address, 300)


@then('all pages are read, and later changes are returned')
def step_pages_and_changes(context):
    *pages, batch = context.source.read_all()
    assert pages and all(page.is_partial for page in pages)
    keys_of_pages = {record.key for page in pages for record in page.records}
    assert keys_of_pages < {record.key for record in batch.records}
    assert batch.after is None and not batch.is_partial
    assert len(batch.records) == 121
    context.store.put('servers/i-99', ENTRY)
    context.store.remove('servers/i-00000001')
    changes = context.source.wait_for_changes(batch.revision, 1000)
    assert [record.content is None for record in changes.records] == [False, True]
    assert changes.revision.number == batch.revision.number + 2
    assert changes.revision.epoch == batch.revision.epoch
    assert not context.source.wait_for_changes(changes.revision, 10).records


@then('lost history raises its own error')
def step_history_lost(context):
    *_, batch = context.source.read_all()
    context.store.put('servers/i-98', ENTRY)
    context.store.clear_history()
    try:
        context.source.wait_for_changes(batch.revision, 10)
    except HistoryLostError:
        return
    raise AssertionError('HistoryLostError was not raised')


@then('every other fault of the store raises an error instead of an empty list')
def step_faults(context):
    for fault in (Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT, Fault.NOISE):
        context.store.fault = fault
        try:
            list(context.source.read_all())
        except SourceError:
            context.store.fault = Fault.NONE
            assert list(context.source.read_all())[-1].records
            continue
        raise AssertionError(f'{fault} raised no SourceError')


@then('an undecodable item does not hide the others')
def step_undecodable_item(context):
    context.store.put('servers/i-77', b'\xff\xfe{')
    *_, batch = context.source.read_all()
    records = batch.records
    assert len(records) > 120
    decoder = entries.EntryDecoder()
    changes = [decoder.decode(record) for record in records]
    malformed = [change for change in changes if isinstance(change, MalformedRecord)]
    assert [change.upstream for change in malformed] == ['i-77']


@then('the settings of the platform are converted to the options of a process')
def step_settings_conversion(context):
    options = platform_settings.process_options(platform_fields())
    assert options.local_member.domain == 'nadi-a'
    assert options.regions == {'nadi-a': 'viti-west', 'suva-a': 'viti-east'}
    assert options.packet_address == ('10.1.0.10', 8172)
    assert options.internal_port == 7720
    assert options.stop_ms < 6000
    assert options.follower.source_wait_ms + options.follower.change_pause_ms < 3000
    endpoints = platform_settings.endpoint_options(platform_fields())
    assert endpoints.exchange.seeds == ('10.1.0.10', '10.2.0.40')
    assert endpoints.health_address == ('10.1.0.10', 8167)


class ChangingSettings(SettingsSource):
    """Settings with variable content; reading them fails if it is None."""

    text: bytes | None = b'one'

    def read_content(self):
        """Return the present content, or raise an error."""
        if self.text is None:
            raise FileNotFoundError('settings')
        return self.text

    def endpoint_options(self):
        """Return None; the watch does not use the options."""


@then('changed settings cause one reload, unreadable ones and requests one each time')
def step_settings_watch(context):
    source = ChangingSettings()
    watch = SettingsWatch(source)
    assert not watch.is_reload_due(0)
    assert not watch.is_reload_due(CHECK_INTERVAL_MS)
    source.text = b'two'
    assert not watch.is_reload_due(CHECK_INTERVAL_MS + 1)
    assert watch.is_reload_due(2 * CHECK_INTERVAL_MS)
    assert not watch.is_reload_due(3 * CHECK_INTERVAL_MS)
    watch.request_reload()
    assert watch.is_reload_due(3 * CHECK_INTERVAL_MS)
    source.text = None
    assert watch.is_reload_due(4 * CHECK_INTERVAL_MS)
    assert watch.is_reload_due(5 * CHECK_INTERVAL_MS)
