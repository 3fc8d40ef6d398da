"""Work that occupies the slots of an upstream."""

import heapq
import itertools
import math
from dataclasses import dataclass

from cardamomtiller.identity import RequestKey
from cardamomtiller.queueing.class_share import LOAD_AVERAGE_MS
from cardamomtiller.queueing.work import Work


@dataclass(slots=True)
class Running:
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
        self._running: dict[RequestKey, Running] = {}
        self._sequence = itertools.count()
        self._overruns: list[tuple[float, int, RequestKey]] = []

    def __len__(self) -> int:
        """Return the number of occupied slots."""
        return len(self._running)

    def __contains__(self, request: RequestKey) -> bool:
        """Return whether a request runs."""
        return request in self._running

    def find(self, request: RequestKey) -> Running | None:
        """Return the running work of a request."""
        return self._running.get(request)

    def begin(self, running: Running) -> None:
        """Occupy a slot."""
        request = running.work.request
        self._running[request] = running
        self.long_count += running.is_long
        if not running.is_long:
            due_ms = running.started_ms + self._long_run_ms
            heapq.heappush(self._overruns, (due_ms, next(self._sequence), request))

    def end(self, request: RequestKey) -> Running | None:
        """Free the slot of a request; None if it does not run."""
        running = self._running.pop(request, None)
        if running is not None:
            self.long_count -= running.is_long
        return running

    def average_load(self, passed_ms: float) -> None:
        """Average the load of short work over the passed time."""
        short = len(self._running) - self.long_count
        kept = math.exp(-passed_ms / LOAD_AVERAGE_MS)
        self.short_load = short + (self.short_load - short) * kept

    def mark_overruns(self, now_ms: float) -> None:
        """Count work that turns out to be long as long from then on."""
        while self._overruns and self._overruns[0][0] <= now_ms:
            running = self._running.get(heapq.heappop(self._overruns)[2])
            if running is not None and not running.is_long:
                if now_ms - running.started_ms >= self._long_run_ms:
                    running.is_long = True
                    self.long_count += 1
