"""Heap of queued work by time, with lazy removal."""

import heapq

from cardamomtiller.queueing.work import Work

# Removed entries stay in a heap until they are the larger part of it.
COMPACTION_SLACK = 64


class Entry:
    """Queued work; removal from the heaps is lazy."""

    __slots__ = ('cost_ms', 'is_delayed', 'is_waiting', 'start_by_ms', 'work')

    def __init__(self, work: Work, cost_ms: float, start_by_ms: float) -> None:
        """Start as waiting work."""
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
    """Entries by a time; removed ones are compacted away."""

    def __init__(self) -> None:
        """Start empty."""
        self.live_count = 0
        self._heap: _HeapItems = []

    def push(self, time_ms: float, sequence: int, entry: Entry) -> None:
        """Add an entry; the sequence decides between equal times."""
        self.live_count += 1
        heapq.heappush(self._heap, (time_ms, sequence, entry))

    def first(self) -> tuple[float, Entry] | None:
        """Return the waiting entry of the earliest time, and that time."""
        _drop_removed(self._heap)
        return (self._heap[0][0], self._heap[0][2]) if self._heap else None

    def pop(self) -> Entry:
        """Remove the entry that ``first`` returned."""
        self.live_count -= 1
        return heapq.heappop(self._heap)[2]

    def mark_removed(self) -> None:
        """Count one entry as removed after its flag was cleared."""
        self.live_count -= 1
        if len(self._heap) > 2 * self.live_count + COMPACTION_SLACK:
            self._heap = [item for item in self._heap if item[2].is_waiting]
            heapq.heapify(self._heap)
