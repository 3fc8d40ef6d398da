"""Work that waits for a slot, by class, customer, deadline and latest start."""

import itertools
from collections.abc import Iterator

from cardamomtiller.identity import RequestKey
from cardamomtiller.queueing.class_share import ClassState
from cardamomtiller.queueing.entry_heap import Entry, EntryHeap
from cardamomtiller.queueing.fair_queue import Candidate, FairAccounts, Lane
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
            ClassState(share, is_refilled_idle=index == BULK)
            for index, share in enumerate(options.shares())
        )
        self._lanes = tuple(
            tuple(Lane(accounts, is_long=is_long) for is_long in (False, True))
            for accounts in self.accounts
        )
        self._queued: dict[RequestKey, tuple[Entry, Lane]] = {}
        self._expiry = EntryHeap()
        self._delayed = EntryHeap()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queued)

    def __contains__(self, request: RequestKey) -> bool:
        """Return whether a request waits."""
        return request in self._queued

    def insert(self, entry: Entry) -> None:
        """Queue an entry for its latest start and for the choice."""
        self._expiry.push(entry.start_by_ms, next(self._sequence), entry)
        self._enter_lane(entry)

    def insert_delayed(self, entry: Entry, not_before_ms: float) -> None:
        """Queue an entry that takes part in the choice only from a later time."""
        entry.is_delayed = True
        lane = self._lane(entry.work, entry.cost_ms)
        self._queued[entry.work.request] = (entry, lane)
        self._expiry.push(entry.start_by_ms, next(self._sequence), entry)
        self._delayed.push(not_before_ms, next(self._sequence), entry)

    def release_delayed(self, now_ms: float) -> None:
        """Let the delayed work whose time has come take part in the choice."""
        found = self._delayed.first()
        while found is not None and found[0] <= now_ms:
            entry = self._delayed.pop()
            entry.is_delayed = False
            self._enter_lane(entry)
            found = self._delayed.first()

    def remove(self, request: RequestKey) -> None:
        """Take queued work out of every structure."""
        entry, lane = self._queued.pop(request)
        entry.is_waiting = False
        self._expiry.discard()
        if entry.is_delayed:
            self._delayed.discard()
            return
        lane.discard(entry.work.customer)
        self._leave_class(entry)

    def move_to_long(self, entry: Entry, lane: Lane) -> None:
        """Move the first entry of a lane that was learned to be long."""
        lane.pop(entry.work.customer)
        longer = self._lanes[entry.work.service_class.value][True]
        longer.push(entry, next(self._sequence))
        self._queued[entry.work.request] = (entry, longer)

    def pop_late(self, now_ms: float) -> Iterator[Work]:
        """Iterate over the work past its latest start and remove it."""
        found = self._expiry.first()
        while found is not None and found[0] <= now_ms:
            self.remove(found[1].work.request)
            yield found[1].work
            found = self._expiry.first()

    def due_times_ms(self) -> Iterator[float]:
        """Iterate over the first latest start and the first end of a delay."""
        for heap in (self._expiry, self._delayed):
            found = heap.first()
            if found is not None:
                yield found[0]

    def best(self, name: int, *, is_long_allowed: bool) -> Candidate | None:
        """Return the customer of a class that is furthest behind its share."""
        if not self.classes[name].queued:
            return None
        short = self._lanes[name][False].first()
        long = self._lanes[name][True].first() if is_long_allowed else None
        if short and long:
            return min(short, long, key=lambda found: found[:2])
        return short or long

    def _enter_lane(self, entry: Entry) -> None:
        work = entry.work
        self.accounts[work.service_class.value].join(work, entry.cost_ms)
        state = self.classes[work.service_class.value]
        state.queued += 1
        state.backlog_ms += entry.cost_ms
        lane = self._lane(work, entry.cost_ms)
        lane.push(entry, next(self._sequence))
        self._queued[work.request] = (entry, lane)

    def _leave_class(self, entry: Entry) -> None:
        state = self.classes[entry.work.service_class.value]
        state.queued -= 1
        state.backlog_ms = max(0, state.backlog_ms - entry.cost_ms)
        accounts = self.accounts[entry.work.service_class.value]
        accounts.leave(entry.work, entry.cost_ms)

    def _lane(self, work: Work, cost_ms: float) -> Lane:
        is_long = self._options.is_long(work, cost_ms)
        return self._lanes[work.service_class.value][is_long]
