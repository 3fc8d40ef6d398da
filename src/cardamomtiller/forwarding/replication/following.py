"""The thread that reads published records for the packet loop."""

import threading
from collections import deque
from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.records import (
    NO_REVISION,
    Batch,
    ConnectionLostError,
    HistoryLostError,
    RecordSource,
    SourceError,
)
from cardamomtiller.forwarding.replication.consultation import Consultation
from cardamomtiller.forwarding.replication.peerreading import PeerOptions, PeerReader
from cardamomtiller.forwarding.replication.sources import Choice, SourceSelector
from cardamomtiller.ids import MS_PER_S


class FollowerOptions(NamedTuple):
    """
    Timing of reads from the published source and from peers.

    Attributes
    ----------
    source_wait_ms
        Age of the replica up to which a call to the source waits for a change.
    change_pause_ms
        Pause after a change, so that one call returns several close changes.
    discovery_wait_ms
        Pause of a new instance after its first call, in which peers announce
        themselves.
    peers
        Timing of calls to peers.
    """

    source_wait_ms: float
    change_pause_ms: float
    discovery_wait_ms: float
    peers: PeerOptions


class ReadResult(NamedTuple):
    """
    Result of one call.

    Attributes
    ----------
    batch, error
        The records, or the text of the error; one of them is None.
    host
        Host that was read; this instance's host if it read the published source.
    confirmed_ms
        Time at which the source confirmed the batch, or of the error.
    is_retained
        Whether the batch has what a peer kept across a restore.
    """

    batch: Batch | None
    error: str | None
    host: str
    is_from_source: bool
    confirmed_ms: float
    is_retained: bool = False


class Follower:
    """
    Reads records from the published source or from a peer, in a separate thread.

    The packet loop sets ``peers`` and ``remote_members`` and collects the results with
    ``drain_results``; ``wake`` is called after each result.

    Attributes
    ----------
    peers, remote_members
        The other members of this failure domain, and members of others.
    """

    def __init__(
        self,
        local_member: Member,
        source: RecordSource,
        selector: SourceSelector,
        options: FollowerOptions,
        clock_ms: Callable[[], float],
        wake: Callable[[], None],
    ) -> None:
        """Prepare the reader; ``start`` starts its thread."""
        self._local_member = local_member
        self._source = source
        self._selector = selector
        self._options = options
        self._clock_ms = clock_ms
        self._wake = wake
        self._results: deque[ReadResult] = deque()
        self._revision = NO_REVISION
        self._confirmed_ms: float | None = None
        self._peer_reader = PeerReader(options.peers)
        self._stopped = threading.Event()
        self._is_list_requested = False
        self._consultation = Consultation()
        self.peers: tuple[Member, ...] = ()
        self.remote_members: tuple[Member, ...] = ()
        self.source_calls = 0

    @property
    def peer_calls(self) -> int:
        """Number of calls to peers."""
        return self._peer_reader.calls

    def start(self) -> None:
        """Start the reading thread."""
        threading.Thread(target=self._run, name='follower', daemon=True).start()

    def stop(self) -> None:
        """End the thread after the call in progress."""
        self._stopped.set()

    def request_list(self) -> None:
        """Read the complete list next, because the replica has lost changes."""
        self._is_list_requested = True

    def read_next(self) -> None:
        """Read changes once, and what the next peer kept across a restore."""
        self._read_once()
        self._consult_peer()

    def drain_results(self) -> Iterator[ReadResult]:
        """Remove and yield the results so far, oldest first."""
        while self._results:
            yield self._results.popleft()

    def _run(self) -> None:
        self._read_once()
        self._pause(self._options.discovery_wait_ms)
        while not self._stopped.is_set():
            self.read_next()

    def _read_once(self) -> None:
        if self._is_list_requested:
            self._is_list_requested = False
            self._revision = NO_REVISION
        now_ms = self._clock_ms()
        choice = self._select(now_ms)
        if choice is None:
            self._pause(self._selector.retry_in_ms(now_ms))
            return
        is_source = choice.member.host == self._local_member.host
        try:
            result = self._read_source() if is_source else self._read_peer(choice)
        except SourceError as error:
            self._report_failure(choice.member, is_source, error)
            return
        except Exception as error:
            # If this thread ended, the replica would never be updated again.
            defect = SourceError(f'unexpected error: {error!r}')
            self._report_failure(choice.member, is_source, defect)
            return
        self._confirm(result.confirmed_ms)
        self._publish(result)
        if is_source:
            self._selector.record_source_success()
            if result.batch is not None and result.batch.records:
                self._pause(self._options.change_pause_ms)

    def _select(self, now_ms: float) -> Choice | None:
        choice = self._selector.select(self.peers, self._age_ms(now_ms), now_ms)
        if choice is None and self._revision == NO_REVISION:
            return self._selector.select_any(self.remote_members, now_ms)
        return choice

    def _age_ms(self, now_ms: float) -> float:
        """Return the time since the last confirmation; infinite if there was none."""
        return inf if self._confirmed_ms is None else now_ms - self._confirmed_ms

    def _confirm(self, confirmed_ms: float) -> None:
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    def _consult_peer(self) -> None:
        peer = self._consultation.next_peer(self.peers)
        timeout_ms = self._options.peers.timeout_ms
        age_ms = self._age_ms(self._clock_ms())
        if peer is None or not self._selector.has_time(timeout_ms, age_ms):
            return
        try:
            batch = self._peer_reader.read_retained(peer).batch
        except Exception as error:
            # If this thread ended, the replica would never be updated again.
            self._consultation.record_failure(peer.host)
            self._publish_retained(peer, None, repr(error))
        else:
            self._consultation.record_answer(peer.host, batch)
            self._publish_retained(peer, batch, None)

    def _publish_retained(
        self, peer: Member, batch: Batch | None, error: str | None
    ) -> None:
        now_ms = self._clock_ms()
        self._publish(
            ReadResult(batch, error, peer.host, False, now_ms, is_retained=True)
        )

    def _report_failure(
        self,
        member: Member,
        is_source: bool,
        error: SourceError,
    ) -> None:
        now_ms = self._clock_ms()
        self._publish(ReadResult(None, str(error), member.host, is_source, now_ms))
        if isinstance(error, HistoryLostError) and self._revision != NO_REVISION:
            self._revision = NO_REVISION
            return
        if not is_source:
            self._selector.record_failure(member.host, now_ms)
            return
        self._source.close()
        is_connection_lost = isinstance(error, ConnectionLostError)
        self._selector.record_source_failure(
            now_ms, is_connection_lost=is_connection_lost
        )

    def _read_source(self) -> ReadResult:
        self.source_calls += 1
        sent_ms = self._clock_ms()
        if self._revision == NO_REVISION:
            batch = self._read_list(sent_ms)
            waited_ms: float = 0
        else:
            wait_ms = round(
                max(0, self._options.source_wait_ms - self._age_ms(sent_ms))
            )
            batch = self._source.wait_for_changes(self._revision, wait_ms)
            # With changes the source may have answered at any time since the request.
            waited_ms = 0 if batch.records else wait_ms
        self._revision = batch.revision
        confirmed_ms = min(self._clock_ms(), sent_ms + waited_ms)
        return self._source_result(batch, confirmed_ms)

    def _read_list(self, sent_ms: float) -> Batch:
        """Return the complete list, and publish its pages as they arrive."""
        for batch in self._source.read_all():
            if not batch.is_partial:
                self._consultation.start(batch.revision.epoch)
                return batch
            self._publish(self._source_result(batch, sent_ms))
        raise SourceError('the source sent no complete list')

    def _source_result(self, batch: Batch, confirmed_ms: float) -> ReadResult:
        return ReadResult(batch, None, self._local_member.host, True, confirmed_ms)

    def _read_peer(self, choice: Choice) -> ReadResult:
        self._source.close()
        host = choice.member.host
        sent_ms = self._clock_ms()
        age_ms = self._age_ms(sent_ms)
        reply = self._peer_reader.read_changes(choice, self._revision, age_ms)
        if reply.batch.revision < self._revision:
            raise SourceError(f'replica of {host} is behind: {reply.batch.revision}')
        # The reply may have been delayed on its way, but was sent after the wait.
        confirmed_ms = min(self._clock_ms(), sent_ms + reply.waited_ms) - reply.age_ms
        result = ReadResult(reply.batch, None, host, False, confirmed_ms)
        if self._selector.is_stale(reply.age_ms):
            self._use_stale(result, reply.batch)
            raise SourceError(f'replica of {host} is {reply.age_ms:.0f} ms old')
        self._revision = reply.batch.revision
        return result

    def _use_stale(self, result: ReadResult, batch: Batch) -> None:
        """Publish what a stale replica has and this one lacks; it may be all there is."""
        if batch.revision > self._revision:
            self._revision = batch.revision
            self._confirm(result.confirmed_ms)
            self._publish(result)

    def _publish(self, result: ReadResult) -> None:
        self._results.append(result)
        self._wake()

    def _pause(self, duration_ms: float) -> None:
        self._stopped.wait(duration_ms / MS_PER_S)
