"""An instance that reads records in virtual time, from peers and a source that fail."""

from contextlib import contextmanager
from enum import Enum
from unittest.mock import patch

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    Batch,
    RecordSource,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.replication import peerreading
from cardamomtiller.forwarding.replication.following import Follower
from cardamomtiller.forwarding.replication.peersource import PeerReply
from cardamomtiller.forwarding.replication.sources import SourceSelector

REVISION = Revision(NO_EPOCH, 5)
RESTORED_REVISION = Revision(1, 5)
# Time of a call that waits for nothing.
CALL_MS = 20.0
# Interval at which a reader confirms its replica.
CONFIRMATION_MS = 900.0


class Behaviour(Enum):
    """
    What a peer does with a call.

    ``STALE``: it answers, but the source has not confirmed its replica for long.
    ``SILENT``: it sends nothing. ``REFUSING``: it refuses the connection. ``LATE``: its
    reply arrives at the last moment, and was sent when the wait began.
    """

    FRESH = 'fresh'
    STALE = 'stale'
    SILENT = 'silent'
    REFUSING = 'refusing'
    LATE = 'late'


class Clock:
    """Virtual time, which only calls and pauses advance."""

    def __init__(self):
        """Start after the time of an instance that has just started."""
        self.now_ms = 100_000.0

    def __call__(self):
        """Return the present time."""
        return self.now_ms


class Source(RecordSource):
    """A published source without changes, which serves every call."""

    def __init__(self, clock, epoch=NO_EPOCH):
        """Start with an empty list in an epoch."""
        self._clock = clock
        self.revision = Revision(epoch, REVISION.number)
        self.errors = []
        self.calls_ms = []
        self.waits_ms = []

    def read_all(self):
        """Yield the complete list."""
        self._call()
        yield Batch(None, self.revision, ())

    def wait_for_changes(self, after, wait_ms):
        """Return no changes after the wait, or raise the next planned error."""
        self._call()
        self.waits_ms.append(wait_ms)
        self._clock.now_ms += wait_ms
        return Batch(after, self.revision, ())

    def close(self):
        """Keep the source; it has no connection."""

    def _call(self):
        self.calls_ms.append(self._clock.now_ms)
        self._clock.now_ms += CALL_MS
        if self.errors:
            raise self.errors.pop(0)


class Peer:
    """Connection to a peer with a behaviour that may change."""

    def __init__(self, member, clock):
        """Start with an up-to-date replica."""
        self.address = (member.host, 1)
        self.behaviour = Behaviour.FRESH
        self.calls = 0
        self._clock = clock
        self._stale_since_ms = clock.now_ms

    def change(self, behaviour):
        """Change the behaviour; a stale replica was confirmed last at this moment."""
        self.behaviour = behaviour
        self._stale_since_ms = self._clock.now_ms

    def read(self, request):
        """Answer a request for changes as the behaviour says."""
        self.calls += 1
        started_ms = self._clock.now_ms
        self._wait(request)
        waited_ms = self._clock.now_ms - started_ms
        age_ms = 0
        if self.behaviour is Behaviour.STALE:
            age_ms = self._clock.now_ms - self._stale_since_ms
        if self.behaviour is Behaviour.LATE:
            waited_ms = 0
        return PeerReply(Batch(request.after, REVISION, ()), age_ms, waited_ms)

    def read_retained(self, timeout_ms):
        """Answer nothing, or keep the caller waiting."""
        self.calls += 1
        if self.behaviour is Behaviour.SILENT:
            self._clock.now_ms += timeout_ms
        raise SourceError('no answer')

    def close(self):
        """Keep the peer; it has no connection."""

    def _wait(self, request):
        stale_for_ms = self._clock.now_ms - self._stale_since_ms
        match self.behaviour:
            case Behaviour.FRESH:
                self._clock.now_ms += min(request.wait_ms, CONFIRMATION_MS)
            case Behaviour.STALE:
                until_old_ms = max(0, request.max_age_ms - stale_for_ms)
                self._clock.now_ms += min(request.wait_ms, until_old_ms)
            case Behaviour.REFUSING:
                raise SourceError('connection refused')
            case Behaviour.SILENT:
                self._clock.now_ms += request.timeout_ms
                raise SourceError('timed out')
            case Behaviour.LATE:
                self._clock.now_ms += request.timeout_ms


class Reading:
    """An instance with the last rank in its failure domain, its peers and the source."""

    def __init__(self, options, peer_count, epoch=NO_EPOCH):
        """Create an instance with the options of a process; it knows all peers."""
        self.clock = Clock()
        self.source = Source(self.clock, epoch)
        members = [Member(f'i-{n}', 'a', f'10.0.0.{n}', 1) for n in range(peer_count)]
        self.peers = {member.host: Peer(member, self.clock) for member in members}
        local_member = Member('i-z', 'a', '10.0.1.1', 1)
        self.follower = Follower(
            local_member,
            self.source,
            SourceSelector(local_member, options.sources),
            options.follower,
            self.clock,
            self._record_results,
        )
        self.follower._pause = self._pause
        self.follower.peers = tuple(members)
        self._confirmed_ms = None
        # Greatest age that the replica had when it was confirmed again.
        self.max_age_ms = 0.0
        self.results = []

    def run(self, duration_ms):
        """Read until the time has passed."""
        end_ms = self.clock.now_ms + duration_ms
        while self.clock.now_ms < end_ms:
            self.step()

    def step(self):
        """Read once."""
        with self._connections():
            self.follower.read_next()

    def _record_results(self):
        for result in self.follower.drain_results():
            self.results.append(result)
            if result.batch is not None and not result.is_retained:
                self._record_confirmation(result.confirmed_ms)

    def _record_confirmation(self, confirmed_ms):
        previous_ms = self._confirmed_ms
        if previous_ms is not None:
            self.max_age_ms = max(self.max_age_ms, self.clock.now_ms - previous_ms)
        if previous_ms is None or confirmed_ms > previous_ms:
            self._confirmed_ms = confirmed_ms

    @contextmanager
    def _connections(self):
        connect = lambda address: self.peers[address[0]]  # noqa: E731
        with patch.object(peerreading, 'PeerConnection', connect):
            yield

    def _pause(self, duration_ms):
        self.clock.now_ms += duration_ms
