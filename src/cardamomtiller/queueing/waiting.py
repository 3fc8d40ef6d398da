"""Queued work, indexed by class, customer, deadline and latest start."""

import itertools
from collections.abc import Iterator

from cardamomtiller.identity import RequestKey
from cardamomtiller.queueing.class_share import ClassState
from cardamomtiller.queueing.entry_heap import Entry, EntryHeap
from cardamomtiller.queueing.fair_queue import Candidate, FairAccounts, FairQueue
from cardamomtiller.queueing.work import BULK, QueueOptions, Work


class WaitingWork:
    """
    Queued work in fair queues by class and length.

    Requeued work is delayed: until its delay ends it is no candidate for a slot
    and is not counted in the state of its class.
    """

    def __init__(self, options: QueueOptions) -> None:
        """Create the queues without work."""
        self._options = options
        self._sequence = itertools.count()
        interactive, bulk = FairAccounts(), FairAccounts()
        # Urgent and normal work of a customer share an account, so that an urgent
        # label does not add a second share. Bulk work has a separate account: it
        # is bounded by the share of its class, and bulk work in idle slots must
        # not delay urgent work of the same customer.
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
        """Return the number of queued requests, including delayed ones."""
        return len(self._queued)

    def __contains__(self, request: RequestKey) -> bool:
        """Return whether a request is queued."""
        return request in self._queued

    def insert(self, entry: Entry) -> None:
        """Queue an entry as a candidate and register its latest start."""
        self._expiry_heap.push(entry.start_by_ms, next(self._sequence), entry)
        self._enqueue(entry)

    def insert_delayed(self, entry: Entry, not_before_ms: float) -> None:
        """Queue an entry that becomes a candidate only at ``not_before_ms``."""
        entry.is_delayed = True
        fair_queue = self._fair_queue_for(entry.work, entry.cost_ms)
        self._queued[entry.work.request] = (entry, fair_queue)
        self._expiry_heap.push(entry.start_by_ms, next(self._sequence), entry)
        self._delayed_heap.push(not_before_ms, next(self._sequence), entry)

    def release_delayed(self, now_ms: float) -> None:
        """Make the entries whose delay has ended candidates."""
        head = self._delayed_heap.first()
        while head is not None and head[0] <= now_ms:
            entry = self._delayed_heap.pop()
            entry.is_delayed = False
            self._enqueue(entry)
            head = self._delayed_heap.first()

    def remove(self, request: RequestKey) -> None:
        """Remove a queued request from all indexes."""
        entry, fair_queue = self._queued.pop(request)
        entry.is_waiting = False
        self._expiry_heap.mark_removed()
        if entry.is_delayed:
            self._delayed_heap.mark_removed()
            return
        fair_queue.mark_removed(entry.work.customer)
        self._remove_from_class(entry)

    def move_to_long_queue(self, entry: Entry, fair_queue: FairQueue) -> None:
        """Move the first entry of a short queue to the long queue of its class."""
        fair_queue.pop(entry.work.customer)
        long_queue = self._fair_queues[entry.work.service_class.value][True]
        long_queue.push(entry, next(self._sequence))
        self._queued[entry.work.request] = (entry, long_queue)

    def pop_overdue(self, now_ms: float) -> Iterator[Work]:
        """Remove and yield the work whose latest start has passed."""
        head = self._expiry_heap.first()
        while head is not None and head[0] <= now_ms:
            self.remove(head[1].work.request)
            yield head[1].work
            head = self._expiry_heap.first()

    def due_times_ms(self) -> Iterator[float]:
        """Yield the earliest latest start and the earliest end of a delay."""
        for heap in (self._expiry_heap, self._delayed_heap):
            head = heap.first()
            if head is not None:
                yield head[0]

    def next_candidate(
        self, class_value: int, *, is_long_allowed: bool
    ) -> Candidate | None:
        """Return the candidate of a class with the smallest start tag."""
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
