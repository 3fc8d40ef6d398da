"""The task that reads the source and hands batches to the packet path."""

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from cardamomtiller.forwarding.records import (
    NO_REVISION,
    Batch,
    HistoryLostError,
    RecordSource,
    Revision,
    SourceError,
)
from cardamomtiller.ids import MS_PER_S


class FollowOptions(NamedTuple):
    """
    How the source is read.

    Attributes
    ----------
    wait_ms
        Longest wait for a change in one call.
    pause_ms
        Pause after a change, so that changes in quick succession share a call.
    retry_ms, largest_retry_ms
        First and largest pause after a failed call.
    """

    wait_ms: int
    pause_ms: float
    retry_ms: float
    largest_retry_ms: float


class Reading(NamedTuple):
    """Result of one call: a batch, or an error."""

    batch: Batch | None
    error: str | None
    asked_ms: float


class Follower:
    """
    Reads the source in a thread of its own while it is enabled.

    The packet path takes the results with ``take`` and is woken for each.
    """

    def __init__(
        self,
        source: RecordSource,
        options: FollowOptions,
        read_steady_ms: Callable[[], float],
        wake: Callable[[], None],
    ) -> None:
        """Prepare; ``start`` begins to read."""
        self._source = source
        self._options = options
        self._read_steady_ms = read_steady_ms
        self._wake = wake
        self._results: deque[Reading] = deque()
        self._enabled = threading.Event()
        self._revision = NO_REVISION
        self._calls = 0

    @property
    def is_enabled(self) -> bool:
        """Whether the source is being read."""
        return self._enabled.is_set()

    @property
    def calls(self) -> int:
        """Number of calls that were made."""
        return self._calls

    def start(self) -> None:
        """Read from now on."""
        self._enabled.set()
        threading.Thread(target=self._run, name='follower', daemon=True).start()

    def enable(self, revision: Revision) -> None:
        """Read again, from a revision on."""
        self._revision = revision
        self._enabled.set()

    def disable(self) -> None:
        """Stop reading after the call in progress."""
        self._enabled.clear()

    def take(self) -> Reading | None:
        """Return the next result, None if there is none."""
        return self._results.popleft() if self._results else None

    def _run(self) -> None:
        retry_ms = self._options.retry_ms
        while True:
            if not self._enabled.is_set():
                self._source.close()
                self._enabled.wait()
            reading = self._read()
            self._results.append(reading)
            self._wake()
            if reading.batch is None:
                self._pause(retry_ms)
                retry_ms = min(retry_ms * 2, self._options.largest_retry_ms)
                continue
            retry_ms = self._options.retry_ms
            if reading.batch.after is not None and reading.batch.records:
                self._pause(self._options.pause_ms)

    def _read(self) -> Reading:
        asked_ms = self._read_steady_ms()
        revision = self._revision
        self._calls += 1
        try:
            batch = self._ask(revision)
        except HistoryLostError as error:
            self._revision = NO_REVISION
            return Reading(None, str(error), asked_ms)
        except SourceError as error:
            self._source.close()
            return Reading(None, str(error), asked_ms)
        self._revision = batch.revision
        return Reading(batch, None, asked_ms)

    def _ask(self, revision: Revision) -> Batch:
        if revision == NO_REVISION:
            return self._source.read_all()
        return self._source.wait_for_changes(revision, self._options.wait_ms)

    def _pause(self, pause_ms: float) -> None:
        threading.Event().wait(pause_ms / MS_PER_S)
