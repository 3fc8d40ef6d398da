"""Replicas of records whose content is the state of an upstream."""

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    Batch,
    EntryRemoval,
    MalformedRecord,
    Record,
    RecordDecoder,
    Revision,
)
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.replication.sources import SourceOptions
from cardamomtiller.ids import UpstreamId
from tests import forwarding_rig as rig

# Those of a deployment in which a change must be in force within 3 s.
SOURCE_OPTIONS = SourceOptions(
    max_age_ms=1200,
    end_ages_ms=(1500, 1800, 2100),
    reply_ms=150,
    failure_backoff_ms=3000,
    initial_retry_ms=200,
    max_retry_ms=1500,
)


def member(number, domain='a', capacity=100.0):
    """Return a member whose instance name and host derive from ``number``."""
    host = f'10.0.{number // 250}.{number % 250 + 1}'
    return Member(f'instance-{number}', domain, host, capacity)


class Decoder(RecordDecoder):
    """Decodes records whose content is the state of an upstream."""

    def decode(self, record):
        """Return a removal, a malformed record or an entry."""
        if record.content is None:
            return EntryRemoval(UpstreamId(record.key))
        if record.content == 'noise':
            return MalformedRecord(UpstreamId(record.key), 'noise')
        return rig.entry(record.key, is_ready=record.content == 'ready')

    def upstream_of(self, key):
        """Return the upstream that each key names."""
        return UpstreamId(key)


def make_replica(decoder=None):
    """Return a forwarder without upstreams, and a replica that updates it."""
    forwarder = rig.make_forwarder(())
    return forwarder, Replica(
        forwarder,
        decoder or Decoder(),
        forwarder._reporter._log,
        forwarder._reporter.meters,
    )


def record_at(name, number, content):
    """Return a record of the only epoch of these tests."""
    return Record(name, Revision(NO_EPOCH, number), content)


def batch_of(after, number, records, is_partial=False):
    """Return a batch of the only epoch of these tests."""
    first = None if after is None else Revision(NO_EPOCH, after)
    return Batch(first, Revision(NO_EPOCH, number), records, is_partial)


def apply_list(replica, names, revision=10):
    """Apply a complete list of ready upstreams to a replica."""
    records = tuple(record_at(name, revision, 'ready') for name in names)
    return replica.apply(batch_of(None, revision, records), 0, 0)


def pool_ids(forwarder):
    """Return the ids of the upstreams that may receive new flows."""
    forwarder.sweep(1e6)
    return {upstream.entry.upstream for upstream in forwarder.directory.pool('orders')}


class FailingDecoder(Decoder):
    """Decoder with a defect that one content triggers."""

    def decode(self, record):
        """Raise an error that no caller expects for one content."""
        if record.content == 'defect':
            raise RecursionError('defect')
        return super().decode(record)
