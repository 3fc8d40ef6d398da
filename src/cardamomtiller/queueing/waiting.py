"""Work that waits for a slot, by class, customer, deadline and latest start."""

import itertools
from collections.abc import Iterator

from cardamomtiller.identity import RequestKey
from cardamomtiller.queueing.class_share import ClassState
from cardamomtiller.queueing.entry_heap import Entry, EntryHeap
from cardamomtiller.queueing.fair_queue import Candidate, FairAccounts, FairQueue
from cardamomtiller.queueing.work import BULK, QueueOptions, Work


class WaitingWork:
    """
    Queued work in lanes by class and length.

    Work that the upstream shed is delayed: it takes no part in the choice and
    counts for no class until its time.
    """

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        self._options = options
        self._sequence = itertools.count()
        interactive, bulk = FairAccounts(), FairAccounts()
        # Urgent and normal work share an account, so that an urgent label does
        # not earn a second share. Bulk work has its own: it is bounded by the
        # share of its class, and using idle slots must not cost urgent work.
        self.accounts = (interactive, interactive, bulk)
        self.classes = tuple(
            ClassState(share, is_refilled_when_idle=index == BULK)
            for index, share in enumerate(options.class_shares())
        )
        self._fair_queues = tuple(
            tuple(FairQueue(accounts, is_long=is_long) for is_long in (False, True))
            for accounts in self.accounts
        )
        self._queued: dict[RequestKey, tuple[Entry, FairQueue]] = {}
        self._expiry_heap = EntryHeap()
        self._delayed_heap = EntryHeap()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queued)

    def __contains__(self, request: RequestKey) -> bool:
        """Return whether a request waits."""
        return request in self._queued

    def insert(self, entry: Entry) -> None:
        """Queue an entry for its latest start and for the choice."""
        self._expiry_heap.push(entry.start_by_ms, next(self._sequence), entry)
        self._enqueue(entry)

    def insert_delayed(self, entry: Entry, not_before_ms: float) -> None:
        """Queue an entry that takes part in the choice only from a later time."""
        entry.is_delayed = True
        fair_queue = self._fair_queue_for(entry.work, entry.cost_ms)
        self._queued[entry.work.request] = (entry, fair_queue)
        self._expiry_heap.push(entry.start_by_ms, next(self._sequence), entry)
        self._delayed_heap.push(not_before_ms, next(self._sequence), entry)

    def release_delayed(self, now_ms: float) -> None:
        """Let the delayed work whose time has come take part in the choice."""
        head = self._delayed_heap.first()
        while head is not None and head[0] <= now_ms:
            entry = self._delayed_heap.pop()
            entry.is_delayed = False
            self._enqueue(entry)
            head = self._delayed_heap.first()

    def remove(self, request: RequestKey) -> None:
        """Take queued work out of every structure."""
        entry, fair_queue = self._queued.pop(request)
        entry.is_waiting = False
        self._expiry_heap.mark_removed()
        if entry.is_delayed:
            self._delayed_heap.mark_removed()
            return
        fair_queue.mark_removed(entry.work.customer)
        self._remove_from_class(entry)

    def move_to_long_queue(self, entry: Entry, fair_queue: FairQueue) -> None:
        """Move the first entry of a lane that was learned to be long."""
        fair_queue.pop(entry.work.customer)
        long_queue = self._fair_queues[entry.work.service_class.value][True]
        long_queue.push(entry, next(self._sequence))
        self._queued[entry.work.request] = (entry, long_queue)

    def pop_overdue(self, now_ms: float) -> Iterator[Work]:
        """Iterate over the work past its latest start and remove it."""
        head = self._expiry_heap.first()
        while head is not None and head[0] <= now_ms:
            self.remove(head[1].work.request)
            yield head[1].work
            head = self._expiry_heap.first()

    def due_times_ms(self) -> Iterator[float]:
        """Iterate over the first latest start and the first end of a delay."""
        for heap in (self._expiry_heap, self._delayed_heap):
            head = heap.first()
            if head is not None:
                yield head[0]

    def next_candidate(
        self, class_value: int, *, is_long_allowed: bool
    ) -> Candidate | None:
        """Return the customer of a class that is furthest behind its share."""
        if not self.classes[class_value].queued_count:
            return None
        short = self._fair_queues[class_value][False].first()
        long = self._fair_queues[class_value][True].first() if is_long_allowed else None
        if short and long:
            return min(short, long, key=lambda candidate: candidate[:2])
        return short or long

    def _enqueue(self, entry: Entry) -> None:
        work = entry.work
        self.accounts[work.service_class.value].add_queued(work, entry.cost_ms)
        state = self.classes[work.service_class.value]
        state.queued_count += 1
        state.backlog_ms += entry.cost_ms
        fair_queue = self._fair_queue_for(work, entry.cost_ms)
        fair_queue.push(entry, next(self._sequence))
        self._queued[work.request] = (entry, fair_queue)

    def _remove_from_class(self, entry: Entry) -> None:
        state = self.classes[entry.work.service_class.value]
        state.queued_count -= 1
        state.backlog_ms = max(0, state.backlog_ms - entry.cost_ms)
        accounts = self.accounts[entry.work.service_class.value]
        accounts.remove_queued(entry.work, entry.cost_ms)

    def _fair_queue_for(self, work: Work, cost_ms: float) -> FairQueue:
        is_long = self._options.is_long(work, cost_ms)
        return self._fair_queues[work.service_class.value][is_long]
