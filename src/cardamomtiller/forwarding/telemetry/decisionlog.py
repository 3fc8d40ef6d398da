"""JSON log lines on standard output; writing them never blocks packet forwarding."""

import os
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import ujson

from cardamomtiller.ids import MS_PER_S

Detail = str | int | float | bool | None
STANDARD_OUTPUT = 1


class LogOptions(NamedTuple):
    """
    Rate and size limits of the log.

    Attributes
    ----------
    lines_per_s
        Limit for lines about packets, flows and records.
    milestones_per_s
        Separate limit for lines about the process itself, such as start and stop.
    max_buffer_entries
        Entries that may wait for the reader; each line takes two, its text and its
        line break.
    """

    lines_per_s: int
    milestones_per_s: int
    max_buffer_entries: int


class _RateLimit:
    """Fixed-window limit on the log lines in each second."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0

    def admit(self, now_ms: float) -> bool:
        """Count a line and return whether it is within this second's limit."""
        second = int(now_ms // MS_PER_S)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._lines_per_s


class DecisionLog:
    """
    Buffers JSON lines and writes them without blocking.

    Lines over the rate limit, and lines that do not fit into the buffer because the
    reader is slow, are dropped and counted; a ``log_suppressed`` line reports the count
    before the next line that is accepted. Milestones have a separate limit, because
    the lines about a long list of records after a restart would otherwise displace
    the line that records when the process began to serve.
    """

    def __init__(
        self,
        instance: str,
        options: LogOptions,
        read_wall_clock: Callable[[], float],
    ) -> None:
        """Set up the buffer and both rate limits."""
        self._instance = instance
        self._options = options
        self._read_wall_clock = read_wall_clock
        self._buffer: deque[bytes] = deque()
        self._unwritten = b''
        self._routine_limit = _RateLimit(options.lines_per_s)
        self._milestone_limit = _RateLimit(options.milestones_per_s)
        self.suppressed = 0
        self._unreported_lines = 0

    def write(self, event: str, now_ms: float, **details: Detail) -> None:
        """Log an event of packet forwarding, subject to the routine limit."""
        self._write(self._routine_limit, event, now_ms, details)

    def write_milestone(self, event: str, now_ms: float, **details: Detail) -> None:
        """Log a start, stop, reload, version or dependency change of the process."""
        self._write(self._milestone_limit, event, now_ms, details)

    def _write(
        self,
        limit: _RateLimit,
        event: str,
        now_ms: float,
        details: dict[str, Detail],
    ) -> None:
        is_space_left = len(self._buffer) < self._options.max_buffer_entries
        if not (limit.admit(now_ms) and is_space_left):
            self.suppressed += 1
            self._unreported_lines += 1
            return
        if self._unreported_lines:
            self._append('log_suppressed', now_ms, {'lines': self._unreported_lines})
            self._unreported_lines = 0
        self._append(event, now_ms, details)

    def flush(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Write as much as the descriptor accepts and keep the remainder."""
        if not self._unwritten:
            self._unwritten = b''.join(self._buffer)
            self._buffer.clear()
        if not self._unwritten:
            return
        try:
            written = os.write(descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone away; the end of the process would help nobody.
            lost_lines = self._unwritten.count(b'\n')
            self.suppressed += lost_lines
            self._unreported_lines += lost_lines
            self._unwritten = b''
            return
        self._unwritten = self._unwritten[written:]

    def _append(self, event: str, now_ms: float, details: dict[str, Detail]) -> None:
        fields = {
            'time': round(self._read_wall_clock(), 3),
            'steady_ms': round(now_ms, 1),
            'instance': self._instance,
            'event': event,
            **details,
        }
        self._buffer.append(ujson.dumps(fields, escape_forward_slashes=False).encode())
        self._buffer.append(b'\n')
