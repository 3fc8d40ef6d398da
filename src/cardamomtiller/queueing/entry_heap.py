"""Heap of queue entries ordered by time, with lazy removal."""

import heapq

from cardamomtiller.queueing.work import Work

# A heap is compacted when its removed entries outnumber the live ones by more than
# this, so that small heaps are not rebuilt at every removal.
COMPACTION_SLACK = 64


class Entry:
    """
    Queued work with its estimated running time and its latest start.

    An entry is removed by clearing ``is_waiting``; the heaps drop it later.
    """

    __slots__ = ('cost_ms', 'is_delayed', 'is_waiting', 'start_by_ms', 'work')

    def __init__(self, work: Work, cost_ms: float, start_by_ms: float) -> None:
        """Create an entry that waits without a delay."""
        self.work = work
        self.cost_ms = cost_ms
        self.start_by_ms = start_by_ms
        self.is_waiting = True
        self.is_delayed = False


_HeapItems = list[tuple[float, int, Entry]]


def _drop_removed(items: _HeapItems) -> None:
    while items and not items[0][2].is_waiting:
        heapq.heappop(items)


class EntryHeap:
    """Min-heap of entries by time that drops removed entries lazily."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self.live_count = 0
        self._heap: _HeapItems = []

    def push(self, time_ms: float, sequence: int, entry: Entry) -> None:
        """Add an entry; entries with equal times are ordered by ``sequence``."""
        self.live_count += 1
        heapq.heappush(self._heap, (time_ms, sequence, entry))

    def first(self) -> tuple[float, Entry] | None:
        """Return the earliest time and its waiting entry, or None if empty."""
        _drop_removed(self._heap)
        return (self._heap[0][0], self._heap[0][2]) if self._heap else None

    def pop(self) -> Entry:
        """Remove and return the entry that ``first`` returned."""
        self.live_count -= 1
        return heapq.heappop(self._heap)[2]

    def mark_removed(self) -> None:
        """Account for an entry whose ``is_waiting`` was cleared; compact if needed."""
        self.live_count -= 1
        if len(self._heap) > 2 * self.live_count + COMPACTION_SLACK:
            self._heap = [item for item in self._heap if item[2].is_waiting]
            heapq.heapify(self._heap)
