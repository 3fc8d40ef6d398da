"""Steps for unexpected errors in a running process."""

import inspect
import os
import signal
import socket
import threading
import time
from collections import Counter
from contextlib import contextmanager
from unittest import mock

import entries
import settings as platform_settings
from behave import then

from cardamomtiller.forwarding.admission.control import Admission
from cardamomtiller.forwarding.endpoints import Endpoints
from cardamomtiller.forwarding.fleet.exchange import PeerExchange
from cardamomtiller.forwarding.fleet.loadsharing import LoadSharing
from cardamomtiller.forwarding.fleet.membertable import MemberTable
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.process import ForwardingProcess
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    Batch,
    Record,
    RecordSource,
    Revision,
)
from cardamomtiller.forwarding.replication.following import Follower
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.routing.forwarder import Forwarder
from cardamomtiller.forwarding.routing.observing import Observer
from cardamomtiller.forwarding.settingswatch import SettingsSource, SettingsWatch
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from tests import forwarding_rig as rig
from tests.platform_samples import CONFIGURATION, ENTRY

HOST = '127.86.0.1'
CLIENT_HOST = '127.86.0.2'
UPSTREAM = ('127.86.0.3', 9000)
RUN_S = 0.35
# The reading thread waits 0.7 s for other instances after the first list.
LONG_RUN_S = 2.0
TICK_MS = 10
SOURCE_PAUSE_S = 0.02
# Calls that pass before the error, so that the process has started, and how often a
# call fails from then on.
SOUND_CALLS = 2
FAILURE_INTERVAL = 5
OWNERS = (
    Admission,
    Endpoints,
    Follower,
    Forwarder,
    LoadSharing,
    LoadTable,
    MemberTable,
    Observer,
    PeerExchange,
    Replica,
    SettingsWatch,
)


class MemorySource(RecordSource):
    """Source with a configuration and one upstream, and a change in each wait."""

    def __init__(self):
        """Start at the first revision."""
        self._revision = Revision(NO_EPOCH, 1)

    def _entry(self):
        return Record(
            'servers/i-1',
            self._revision,
            entries.ujson.dumps(
                {
                    **ENTRY,
                    'service': CONFIGURATION['routes'][0]['service'],
                    'address': f'{UPSTREAM[0]}:{UPSTREAM[1]}',
                    'sequence': self._revision.number,
                }
            ),
        )

    def read_all(self):
        """Yield the complete list."""
        configuration = entries.ujson.dumps(CONFIGURATION)
        records = (Record('op/config', self._revision, configuration), self._entry())
        yield Batch(None, self._revision, records)

    def wait_for_changes(self, after, wait_ms):
        """Return a change of the entry."""
        time.sleep(SOURCE_PAUSE_S)
        self._revision = Revision(NO_EPOCH, after.number + 1)
        return Batch(after, self._revision, (self._entry(),))

    def close(self):
        """Close nothing."""


class FixedSettings(SettingsSource):
    """Settings with a host of the test."""

    def read_content(self):
        """Return changing content, so that the settings are read again."""
        return str(time.monotonic()).encode()

    def endpoint_options(self):
        """Return the endpoint options of the test."""
        return platform_settings.endpoint_options(settings_fields())


def settings_fields():
    """Return settings as the platform renders them."""
    return {
        'node_name': 'i-1',
        'ip': HOST,
        'zone': 'a',
        'zones': {},
        'internal_port_range': [7720, 7735],
        'seeds': [f'{CLIENT_HOST}:8166'],
        'listen': {'datagram_address': f'{HOST}:8172', 'ready': f'{HOST}:8167'},
        'limits': {'link_mbps': 1000},
        'bounds': {
            'grace_period_s': 1,
            'config_apply_ms': 300,
            'drain_timeout_ms': 300,
        },
    }


def failing(original, counts):
    """Return a function that raises an error in some calls of another one."""

    def wrapped(*arguments, **named):
        counts['calls'] += 1
        if counts['calls'] > SOUND_CALLS and counts['calls'] % FAILURE_INTERVAL == 0:
            counts['errors'] += 1
            raise RuntimeError('injected error')
        return original(*arguments, **named)

    return wrapped


@contextmanager
def client_traffic(process, run_s):
    """Send opening packets while the process runs, and ask it to stop afterwards."""
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.bind((CLIENT_HOST, 0))

    def send_and_stop():
        end_s = time.monotonic() + run_s
        port = 2000
        while time.monotonic() < end_s:
            port += 1
            client.sendto(rig.opening(port, route_port=8443), (HOST, 8172))
            client.sendto(b'A', (HOST, 7720))
            time.sleep(SOURCE_PAUSE_S)
        process._stop_at_ms = 0

    sender = threading.Thread(target=send_and_stop)
    sender.start()
    try:
        yield
    finally:
        sender.join()
        client.close()


def run_process(owner, name, run_s=RUN_S):
    """Run a process with errors in one method; return it and the counts."""
    fields = settings_fields()
    options = platform_settings.process_options(fields)._replace(
        tick_interval_ms=TICK_MS
    )
    counts = Counter()
    handlers = [(number, signal.getsignal(number)) for number in (15, 1)]
    upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    upstream.bind(UPSTREAM)
    upstream.setblocking(False)
    process = ForwardingProcess(
        options, rig.HeaderFormat(), MemorySource(), entries.EntryDecoder()
    )
    patch = mock.patch.object(owner, name, failing(getattr(owner, name), counts))
    sink = os.open(os.devnull, os.O_WRONLY)
    try:
        with (
            client_traffic(process, run_s),
            patch,
            mock.patch.object(DecisionLog, 'flush', lambda log, descriptor=sink: None),
        ):
            process.run(FixedSettings())
    finally:
        os.close(sink)
        for number, handler in handlers:
            signal.signal(number, handler)
        close(process)
        counts['forwarded'] = count_datagrams(upstream)
        upstream.close()
    return process, counts


def close(process):
    """Close the sockets of a process, which otherwise live until the program ends."""
    process._packet_socket.close()
    if process._endpoints is not None:
        process._endpoints._exchange._socket.close()
        for server in process._endpoints._servers:
            server._listener.close()


def count_datagrams(upstream):
    """Return how many datagrams a socket has received."""
    count = 0
    while True:
        try:
            upstream.recv(2000)
        except BlockingIOError:
            return count
        count += 1


def public_methods():
    """Iterate over the methods that a running process may call."""
    for owner in OWNERS:
        for name, _ in inspect.getmembers(owner, inspect.isfunction):
            if not name.startswith('__') and name not in {'run', '_run', 'start'}:
                yield owner, name


@then('a process forwards after an error in any step between a socket and a decision')
def step_any_error(context):
    reached = 0
    for owner, name in public_methods():
        _, counts = run_process(owner, name)
        reached += bool(counts['errors'])
        assert counts['forwarded'], (owner.__name__, name, counts)
    assert reached > len(OWNERS), reached


@then('the replica follows the source again after a batch was lost')
def step_lost_batch(context):
    for owner, name in ((Forwarder, 'apply_entry'), (Replica, 'apply')):
        process, counts = run_process(owner, name, LONG_RUN_S)
        assert counts['errors'], (name, counts)
        assert process._replica.revision.number > counts['calls'] / 2, (name, counts)


@then('the error is counted and its place is in the log')
def step_logged(context):
    process, counts = run_process(Observer, 'sweep')
    assert counts['errors']
    assert process._meters.counters['defects'] == counts['errors']
    lines = b''.join(process._log._buffer)
    assert b'injected error' in lines and b'observer.sweep' in lines


@then('lines for a reader that has gone away are counted as suppressed')
def step_reader_gone(context):
    log = rig.DecisionLog('test', rig.LogOptions(100, 10, 100), lambda: 0.0)
    reader, writer = os.pipe()
    os.close(reader)
    for _ in range(3):
        log.write_milestone('serving', 0)
    log.flush(writer)
    os.close(writer)
    assert log.suppressed == 3
    reader, writer = os.pipe()
    log.write_milestone('serving', 1)
    log.flush(writer)
    lines = os.read(reader, 1 << 16).splitlines()
    os.close(reader)
    os.close(writer)
    assert b'"lines":3' in lines[0] and b'"serving"' in lines[1]
