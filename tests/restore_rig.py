"""A stand-in store with its writers, and instances that read it through the adapter."""

from unittest.mock import patch

import entries
from store import Store as StoreClient

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.replication import peerreading
from cardamomtiller.forwarding.replication.following import Follower, FollowerOptions
from cardamomtiller.forwarding.replication.peerreading import PeerOptions
from cardamomtiller.forwarding.replication.peersource import (
    PeerReply,
    decode_reply,
    encode_reply,
)
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.replication.sources import SourceSelector
from cardamomtiller.forwarding.replication.updating import ReplicaUpdater
from cardamomtiller.forwarding.telemetry.meters import Meters
from tests import forwarding_rig as rig
from tests.platform_samples import CONFIGURATION, ENTRY, ROUTE
from tests.replica_rig import SOURCE_OPTIONS
from tools.standins.store import Store

LOCAL_MEMBER = Member('i-1', 'a', '127.0.0.1', 1)
OTHER_MEMBER = Member('i-2', 'a', '127.0.0.2', 1)
FIRST_MEMBER = Member('i-0', 'a', '127.0.0.0', 1)
# The instances of these tests read without pauses.
SELECTION = SOURCE_OPTIONS._replace(
    reply_ms=1, failure_backoff_ms=0, initial_retry_ms=0, max_retry_ms=0
)
READING = FollowerOptions(
    source_wait_ms=1,
    change_pause_ms=0,
    discovery_wait_ms=0,
    peers=PeerOptions(internal_port=1, reply_ms=1, timeout_ms=100),
)
SERVICE = ENTRY['service']
# Calls after which an instance must have read all changes: a failed one, a list and
# two batches of changes.
READS = 4


class PeerLink:
    """Connection to another instance of the test, which sends encoded replies."""

    def __init__(self, peer):
        """Connect to an instance."""
        self.address = (peer.member.host, 1)
        self.peer = peer

    def read(self, request):
        """Return the changes after a revision."""
        return self._encode(self.peer.replica.changes_after(request.after))

    def read_retained(self, _timeout_ms):
        """Return what the other instance kept across a restore."""
        return self._encode(self.peer.replica.retained(self.peer.now_ms))

    def close(self):
        """Do nothing: there is no socket."""

    def _encode(self, batch):
        return decode_reply(encode_reply(PeerReply(batch, 0)))


class Instance:
    """The parts of an instance that follow the store, without threads."""

    def __init__(self, store, member=LOCAL_MEMBER):
        """Connect to a stand-in store."""
        self.member = member
        self.now_ms = 0.0
        self.forwarder = rig.make_forwarder(())
        self.forwarder.configuration = rig.configuration(0)
        log = self.forwarder._reporter._log
        self.replica = Replica(self.forwarder, entries.EntryDecoder(), log, Meters())
        self.client = StoreClient(store.address, 1000)
        self.follower = Follower(
            member,
            self.client,
            SourceSelector(member, SELECTION),
            READING,
            lambda: self.now_ms,
            lambda: None,
        )
        self.updater = ReplicaUpdater(self.follower, self.replica, log, Meters())

    def read(self, calls=READS):
        """Read from the store and apply the results."""
        for _ in range(calls):
            self.follower._read_once()
            self.apply_results()

    def read_beside(self, *peers):
        """Read as ``read`` does, while other instances are known."""
        by_host = {peer.member.host: peer for peer in peers}
        self.follower.peers = tuple(peer.member for peer in peers)
        with patch.object(
            peerreading,
            'PeerConnection',
            lambda address: PeerLink(by_host[address[0]]),
        ):
            for _ in range(READS):
                self.follower.read_next()
                self.apply_results()

    def apply_results(self):
        """Apply what was read."""
        for result in self.follower.drain_results():
            self.updater.apply(result, self.now_ms)

    def read_peer(self, reader):
        """Apply a reply of another instance, as it is sent over the network."""
        batch = reader.replica.changes_after(self.replica.revision)
        reply = decode_reply(encode_reply(PeerReply(batch, 0)))
        return self.replica.apply(reply.batch, self.now_ms, self.now_ms)

    @property
    def version(self):
        """Version of the configuration in force."""
        return self.forwarder.configuration.version

    def ready_names(self):
        """Return the upstreams that may receive new flows."""
        self.forwarder.sweep(self.now_ms)
        return {
            upstream.entry.upstream
            for upstream in self.forwarder.directory.pool(SERVICE)
        }


class World:
    """A stand-in store with an operator and upstreams that write to it."""

    def __init__(self, context):
        """Start the store with a configuration and two upstreams."""
        self.store = Store(('127.0.0.1', 0))
        context.add_cleanup(self.store.close)
        self.sequence = 0
        self.write_configuration(1)
        for name in ('i-1', 'i-2'):
            self.write_entry(name)

    def write_configuration(self, version, routes=(ROUTE,)):
        """Write a configuration as the operator."""
        value = {**CONFIGURATION, 'version': version, 'routes': list(routes)}
        self.store.put('op/config', value)

    def write_entry(self, name, state='ready', slow_start_left_ms=0):
        """Write an entry as the upstream."""
        self.sequence += 1
        value = {
            **ENTRY,
            'address': f'10.0.0.{int(name[2:], 16)}:80',
            'sequence': self.sequence,
            'state': state,
            'warmup_left_ms': slow_start_left_ms,
        }
        self.store.put(f'servers/{name}', value)

    def remove_entry(self, name):
        """Remove the entry of an upstream that has left or is silent."""
        self.store.remove(f'servers/{name}')

    def start_instance(self):
        """Return an instance that has read everything."""
        instance = Instance(self.store)
        instance.read()
        return instance
