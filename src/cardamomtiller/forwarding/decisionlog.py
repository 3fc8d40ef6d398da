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
    """Bounds of the log."""

    lines_per_s: int
    buffered_lines: int


class DecisionLog:
    """
    Lines of JSON, written when the reader takes them.

    Beyond ``lines_per_s`` lines a second, or while the reader does not read, lines
    are counted instead of written, and the count is logged once there is room.
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
        self._rest = b''
        self._second = 0
        self._lines_in_second = 0
        self.suppressed = 0
        self._unreported = 0

    def write(self, event: str, now_ms: float, **details: Detail) -> None:
        """Add a line about a decision; drop and count it if there is no room."""
        if not self._has_room(now_ms):
            self.suppressed += 1
            self._unreported += 1
            return
        if self._unreported:
            self._add('log_suppressed', now_ms, {'lines': self._unreported})
            self._unreported = 0
        self._add(event, now_ms, details)

    def flush(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Write what the reader takes; keep the rest."""
        if not self._rest:
            self._rest = b''.join(self._buffer)
            self._buffer.clear()
        if not self._rest:
            return
        try:
            written = os.write(descriptor, self._rest)
        except BlockingIOError:
            return
        self._rest = self._rest[written:]

    def _has_room(self, now_ms: float) -> bool:
        second = int(now_ms // MS_PER_S)
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        is_in_rate = self._lines_in_second <= self._options.lines_per_s
        return is_in_rate and len(self._buffer) < self._options.buffered_lines

    def _add(self, event: str, now_ms: float, details: dict[str, Detail]) -> None:
        row = {
            'time': round(self._read_wall_clock(), 3),
            'steady_ms': round(now_ms, 1),
            'instance': self._instance,
            'event': event,
            **details,
        }
        self._buffer.append(ujson.dumps(row, escape_forward_slashes=False).encode())
        self._buffer.append(b'\n')
