"""The task that reads records and hands them to the packet path."""

import threading
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.peersource import PeerConnection
from cardamomtiller.forwarding.records import (
    NO_REVISION,
    Batch,
    HistoryLostError,
    RecordSource,
    SourceError,
)
from cardamomtiller.forwarding.sources import SourceChoice
from cardamomtiller.ids import MS_PER_S


class FollowOptions(NamedTuple):
    """
    How records are read.

    Attributes
    ----------
    wait_ms, peer_wait_ms
        Longest wait for a change in one call to the source and to a peer.
    peer_timeout_ms
        How much later than that a peer's answer may come.
    pause_ms
        Pause after a change, so that changes in quick succession share a call.
    retry_ms, largest_retry_ms
        First and largest pause after a failed call to the source.
    discovery_ms
        How long a new instance waits for peers before it waits for changes.
    """

    wait_ms: int
    peer_wait_ms: int
    peer_timeout_ms: float
    pause_ms: float
    retry_ms: float
    largest_retry_ms: float
    discovery_ms: float


class Reading(NamedTuple):
    """Result of one call: a batch or an error, and whom it came from."""

    batch: Batch | None
    error: str | None
    host: str
    is_from_source: bool
    confirmed_ms: float


class Follower:
    """
    Reads records in a thread of its own, from the source or from a peer.

    The packet path sets ``peers``, takes the results with ``take_all`` and is woken
    for each.
    """

    def __init__(
        self,
        me: Member,
        source: RecordSource,
        inner_port: int,
        choice: SourceChoice,
        options: FollowOptions,
        read_steady_ms: Callable[[], float],
        wake: Callable[[], None],
    ) -> None:
        """Prepare; ``start`` begins to read."""
        self._me = me
        self._source = source
        self._inner_port = inner_port
        self._choice = choice
        self._options = options
        self._read_steady_ms = read_steady_ms
        self._wake = wake
        self._results: deque[Reading] = deque()
        self._revision = NO_REVISION
        self._peer: PeerConnection | None = None
        self._stopped = threading.Event()
        self._retry_ms = options.retry_ms
        self.peers: tuple[Member, ...] = ()
        self.source_calls = 0
        self.peer_calls = 0

    def start(self) -> None:
        """Read from now on."""
        threading.Thread(target=self._run, name='follower', daemon=True).start()

    def stop(self) -> None:
        """Read no more after the call in progress."""
        self._stopped.set()

    def take_all(self) -> Iterator[Reading]:
        """Iterate over the results that nobody has taken."""
        while self._results:
            yield self._results.popleft()

    def _run(self) -> None:
        self._read_once()
        self._pause(self._options.discovery_ms)
        while not self._stopped.is_set():
            self._read_once()

    def _read_once(self) -> None:
        member = self._choice.choose(self.peers, self._read_steady_ms())
        is_source = member.host == self._me.host
        try:
            reading = self._read_source() if is_source else self._read_peer(member)
        except SourceError as error:
            self._note_failure(member, is_source, error)
            return
        except Exception as error:
            # Without this task the instance would act on an old replica for good.
            defect = SourceError(f'defect: {error!r}')
            self._note_failure(member, is_source, defect)
            self._pause(self._options.largest_retry_ms)
            return
        self._put(reading)
        if is_source:
            self._retry_ms = self._options.retry_ms
            if reading.batch is not None and reading.batch.records:
                self._pause(self._options.pause_ms)

    def _note_failure(
        self,
        member: Member,
        is_source: bool,
        error: SourceError,
    ) -> None:
        now_ms = self._read_steady_ms()
        self._put(Reading(None, str(error), member.host, is_source, now_ms))
        if isinstance(error, HistoryLostError):
            self._revision = NO_REVISION
            return
        self._choice.fail(member.host, now_ms)
        if is_source:
            self._source.close()
            self._pause(self._retry_ms)
            largest_ms = self._options.largest_retry_ms
            self._retry_ms = min(self._retry_ms * 2, largest_ms)

    def _read_source(self) -> Reading:
        self.source_calls += 1
        if self._revision == NO_REVISION:
            batch = self._read_list()
        else:
            wait_ms = self._options.wait_ms
            batch = self._source.wait_for_changes(self._revision, wait_ms)
        self._revision = batch.revision
        return self._reading_of(batch)

    def _read_list(self) -> Batch:
        """Return the complete list; hand over its parts as they come."""
        for batch in self._source.read_all():
            if not batch.is_partial:
                return batch
            self._put(self._reading_of(batch))
        raise SourceError('the list has no end')

    def _reading_of(self, batch: Batch) -> Reading:
        return Reading(batch, None, self._me.host, True, self._read_steady_ms())

    def _read_peer(self, member: Member) -> Reading:
        self.peer_calls += 1
        peer = self._connect(member)
        reply = peer.read(self._revision, self._options.peer_wait_ms)
        if self._choice.is_stale(reply.age_ms):
            raise SourceError(f'replica of {member.host} is {reply.age_ms:.0f} ms old')
        self._revision = max(self._revision, reply.batch.revision)
        confirmed_ms = self._read_steady_ms() - reply.age_ms
        return Reading(reply.batch, None, member.host, False, confirmed_ms)

    def _connect(self, member: Member) -> PeerConnection:
        address = (member.host, self._inner_port)
        if self._peer is None or self._peer.address != address:
            if self._peer is not None:
                self._peer.close()
            self._source.close()
            self._peer = PeerConnection(address, self._options.peer_timeout_ms)
        return self._peer

    def _put(self, reading: Reading) -> None:
        self._results.append(reading)
        self._wake()

    def _pause(self, pause_ms: float) -> None:
        self._stopped.wait(pause_ms / MS_PER_S)
