"""Work that occupies the slots of an upstream."""

import heapq
import itertools
import math
from dataclasses import dataclass

from cardamomtiller.identity import RequestKey
from cardamomtiller.queueing.class_share import LOAD_TIME_CONSTANT_MS
from cardamomtiller.queueing.work import Work


@dataclass(slots=True)
class RunningEntry:
    """Work in a slot; ``cost_ms`` is its estimated running time."""

    work: Work
    cost_ms: float
    started_ms: float
    is_long: bool


class RunningWork:
    """Running work by request, and the slots that long and short work occupies."""

    def __init__(self, long_run_ms: float) -> None:
        """Create it empty; work that runs for ``long_run_ms`` counts as long."""
        self.long_count = 0
        # Average number of slots that short work occupies.
        self.short_load: float = 0
        self._long_run_ms = long_run_ms
        self._running: dict[RequestKey, RunningEntry] = {}
        self._sequence = itertools.count()
        self._overrun_checks: list[tuple[float, int, RequestKey]] = []

    def __len__(self) -> int:
        """Return the number of occupied slots."""
        return len(self._running)

    def __contains__(self, request: RequestKey) -> bool:
        """Return whether a request runs."""
        return request in self._running

    def find(self, request: RequestKey) -> RunningEntry | None:
        """Return the entry of a running request, or None if it does not run."""
        return self._running.get(request)

    def add(self, entry: RunningEntry) -> None:
        """Occupy a slot; schedule the overrun check of short work."""
        request = entry.work.request
        self._running[request] = entry
        self.long_count += entry.is_long
        if not entry.is_long:
            due_ms = entry.started_ms + self._long_run_ms
            heapq.heappush(
                self._overrun_checks, (due_ms, next(self._sequence), request)
            )

    def remove(self, request: RequestKey) -> RunningEntry | None:
        """Free the slot of a request and return its entry; None if it does not run."""
        entry = self._running.pop(request, None)
        if entry is not None:
            self.long_count -= entry.is_long
        return entry

    def update_load(self, elapsed_ms: float) -> None:
        """Update the average load of short work for the elapsed time."""
        short_count = len(self._running) - self.long_count
        decay = math.exp(-elapsed_ms / LOAD_TIME_CONSTANT_MS)
        self.short_load = short_count + (self.short_load - short_count) * decay

    def mark_overruns(self, now_ms: float) -> None:
        """Reclassify short work as long once it has run for ``long_run_ms``."""
        while self._overrun_checks and self._overrun_checks[0][0] <= now_ms:
            entry = self._running.get(heapq.heappop(self._overrun_checks)[2])
            if entry is not None and not entry.is_long:
                if now_ms - entry.started_ms >= self._long_run_ms:
                    entry.is_long = True
                    self.long_count += 1
