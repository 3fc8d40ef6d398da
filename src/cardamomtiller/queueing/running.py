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
    """Running work by request, with the slots that long and short work hold."""

    def __init__(self, long_run_ms: float) -> None:
        """Start empty; work that runs longer than this counts as long."""
        self.long_count = 0
        # Slots that short work holds on average.
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
        """Return the running work of a request."""
        return self._running.get(request)

    def add(self, entry: RunningEntry) -> None:
        """Occupy a slot."""
        request = entry.work.request
        self._running[request] = entry
        self.long_count += entry.is_long
        if not entry.is_long:
            due_ms = entry.started_ms + self._long_run_ms
            heapq.heappush(
                self._overrun_checks, (due_ms, next(self._sequence), request)
            )

    def remove(self, request: RequestKey) -> RunningEntry | None:
        """Free the slot of a request; None if it does not run."""
        entry = self._running.pop(request, None)
        if entry is not None:
            self.long_count -= entry.is_long
        return entry

    def update_load(self, elapsed_ms: float) -> None:
        """Average the load of short work over the passed time."""
        short_count = len(self._running) - self.long_count
        decay = math.exp(-elapsed_ms / LOAD_TIME_CONSTANT_MS)
        self.short_load = short_count + (self.short_load - short_count) * decay

    def mark_overruns(self, now_ms: float) -> None:
        """Count work that turns out to be long as long from then on."""
        while self._overrun_checks and self._overrun_checks[0][0] <= now_ms:
            entry = self._running.get(heapq.heappop(self._overrun_checks)[2])
            if entry is not None and not entry.is_long:
                if now_ms - entry.started_ms >= self._long_run_ms:
                    entry.is_long = True
                    self.long_count += 1
