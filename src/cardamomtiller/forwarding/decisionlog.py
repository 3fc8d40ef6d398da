"""Structured log lines on standard output that never block the packet path."""

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
    Bounds of the log.

    Attributes
    ----------
    lines_per_s
        Lines a second about packets, flows and records.
    milestones_per_s
        Lines a second about the process itself, which the others cannot displace.
    max_buffered_lines
        Lines that wait for the reader.
    """

    lines_per_s: int
    milestones_per_s: int
    max_buffered_lines: int


class _RateLimit:
    """Lines of the present second, up to a limit."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0

    def admit(self, now_ms: float) -> bool:
        """Count a line; return whether it is within the limit."""
        second = int(now_ms // MS_PER_S)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._lines_per_s


class DecisionLog:
    """
    Lines of JSON, written when the reader takes them.

    Beyond a limit for each second, or while the reader does not read, lines are
    counted instead of written, and the count is logged once there is room.
    Milestones have a limit of their own: a long list of records after a restart must
    not displace the line that says when the process began to serve.
    """

    def __init__(
        self,
        instance: str,
        options: LogOptions,
        read_wall_clock: Callable[[], float],
    ) -> None:
        """Start with an empty buffer."""
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
        """Add a line about a decision; drop and count it if there is no room."""
        self._write(self._routine_limit, event, now_ms, details)

    def write_milestone(self, event: str, now_ms: float, **details: Detail) -> None:
        """Add a line about a start, a stop, a reload, a dependency or a version."""
        self._write(self._milestone_limit, event, now_ms, details)

    def _write(
        self,
        limit: _RateLimit,
        event: str,
        now_ms: float,
        details: dict[str, Detail],
    ) -> None:
        is_space_left = len(self._buffer) < self._options.max_buffered_lines
        if not (limit.admit(now_ms) and is_space_left):
            self.suppressed += 1
            self._unreported_lines += 1
            return
        if self._unreported_lines:
            self._append('log_suppressed', now_ms, {'lines': self._unreported_lines})
            self._unreported_lines = 0
        self._append(event, now_ms, details)

    def flush(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Write what the reader takes; keep the rest."""
        if not self._unwritten:
            self._unwritten = b''.join(self._buffer)
            self._buffer.clear()
        if not self._unwritten:
            return
        try:
            written = os.write(descriptor, self._unwritten)
        except BlockingIOError:
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
