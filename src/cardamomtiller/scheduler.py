"""Queue in front of the slots of one upstream."""

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from cardamomtiller.identity import CustomerId, Outcome, RequestKey, ServiceClass
from cardamomtiller.settings_pb2 import QueueSettings
from cardamomtiller.wire_pb2 import (
    REASON_DEADLINE_EXCEEDED,
    REASON_QUEUE_FULL,
    Reason,
)

DEFAULT_RUN_MS = 50
SMALLEST_RUN_MS = 1
# An estimate follows a change of the running time within about ten runs.
SAMPLES_AVERAGED = 10
ESTIMATES_KEPT = 10_000
# Sizes within a factor of four share an estimate.
BITS_PER_BAND = 2
# Slot time per unit of weight by which urgent work may run ahead of the fair
# share of its customer. Beyond it the label has no effect.
URGENT_LEAD_MS = 500
# Slot time per unit of weight that a customer below its share may make up for.
# Without it, random bursts of a customer just below its share are refused.
IDLE_CREDIT_MS = 500
# Time constant of the measured load of each class.
LOAD_AVERAGE_MS = 2000
# Long work beyond its guaranteed share leaves the other slots at most this busy
# with short work, because waiting grows steeply with the load of one slot.
LARGEST_SHORT_LOAD = 0.3
# Slots come back one at a time after a shed, each later after repeated sheds.
FIRST_SHED_HOLD_MS = 100
LARGEST_SHED_HOLD_MS = 1600
SMALLEST_RETRY_AFTER_MS = 50
# Part of the time to the latest start that the expected wait may use. Work that
# waits up to its deadline often ends after it: at ten times capacity the goodput
# was 0.91 to 0.93 with all of the time and 0.97 to 0.98 with half of it.
LARGEST_WAIT_SHARE = 0.5
# Time constant of the measured demand of urgent work.
DEMAND_AVERAGE_MS = 5000
# Credit that a class saves while it is kept from its guaranteed share.
LARGEST_CREDIT_MS = 1000
# Interval at which bulk work that is held back is looked at again.
RECHECK_MS = 20
# Removed entries stay in a heap until they are the larger part of it.
SMALLEST_COMPACTED = 64
ACCOUNTS_KEPT = 1024

_CLASSES = (ServiceClass.NORMAL, ServiceClass.URGENT, ServiceClass.BULK)
# Tables by class are lists indexed by its value, since hashing an enum member is
# slow. _CLASSES is in the order of the values.
_NORMAL = ServiceClass.NORMAL.value
_URGENT = ServiceClass.URGENT.value
_BULK = ServiceClass.BULK.value


@dataclass(frozen=True, slots=True)
class Options:
    """Limits and weights of a queue."""

    long_run_ms: float
    long_bytes: int
    longest_wait_ms: float
    urgent_weight: float
    normal_weight: float
    bulk_weight: float

    @classmethod
    def from_settings(cls, settings: QueueSettings) -> 'Options':
        """Take the checked settings."""
        return cls(
            long_run_ms=settings.long_run_ms,
            long_bytes=settings.long_bytes,
            longest_wait_ms=settings.longest_wait_ms,
            urgent_weight=settings.urgent_weight,
            normal_weight=settings.normal_weight,
            bulk_weight=settings.bulk_weight,
        )

    def shares(self) -> tuple[float, ...]:
        """Return the guaranteed share by value of the class; the sum is 1."""
        weights = (self.normal_weight, self.urgent_weight, self.bulk_weight)
        return tuple(weight / sum(weights) for weight in weights)


@dataclass(frozen=True, slots=True)
class Work:
    """
    A request that waits for a slot.

    ``deadline_ms`` is a monotonic time. ``weight`` is that of the customer's
    plan. The scheduler only carries ``payload``, which takes no part in
    comparisons and may be mutable.
    """

    request: RequestKey
    customer: CustomerId
    service_class: ServiceClass
    size_bytes: int
    deadline_ms: float
    weight: float
    is_idempotent: bool
    payload: object = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why work was not accepted and when to try again."""

    reason: 'Reason.ValueType'
    retry_after_ms: float


class _RunTimes:
    """Learned running time by customer, class and band of sizes."""

    def __init__(self) -> None:
        self._known: OrderedDict[tuple[object, ...], tuple[float, int]] = OrderedDict()

    def estimate_ms(self, work: Work) -> float:
        for key in _estimate_keys(work):
            found = self._known.get(key)
            if found is not None:
                return found[0]
        return DEFAULT_RUN_MS

    def learn(self, work: Work, run_ms: float) -> None:
        for key in _estimate_keys(work):
            mean_ms, count = self._known.get(key, (0, 0))
            count = min(count + 1, SAMPLES_AVERAGED)
            mean_ms += (run_ms - mean_ms) / count
            self._known[key] = (max(mean_ms, SMALLEST_RUN_MS), count)
            self._known.move_to_end(key)
        while len(self._known) > ESTIMATES_KEPT:
            self._known.popitem(last=False)


def _estimate_keys(work: Work) -> Iterator[tuple[object, ...]]:
    band = work.size_bytes.bit_length() // BITS_PER_BAND
    service_class = work.service_class.value
    yield (work.customer, service_class, band)
    yield (service_class, band)


@dataclass(slots=True)
class _Account:
    """Service that a customer got, in slot time per weight."""

    tag: float
    weight: float
    queued: int
    backlog_ms: list[float]
    # Difference between charged and actual running time, settled later.
    debt_ms: float


class _Book:
    """Start-time fair queueing between customers."""

    def __init__(self) -> None:
        self.virtual: float = 0
        self.active_weight: float = 0
        self._accounts: dict[CustomerId, _Account] = {}
        self._prune_at = ACCOUNTS_KEPT

    def account(self, customer: CustomerId, weight: float) -> _Account:
        found = self._accounts.get(customer)
        if found is None:
            if len(self._accounts) >= self._prune_at:
                self._prune()
            backlog: list[float] = [0 for _ in _CLASSES]
            found = _Account(self.virtual, weight, 0, backlog, 0)
            self._accounts[customer] = found
        return found

    def tag(self, customer: CustomerId) -> float:
        return self._accounts[customer].tag

    def join(self, work: Work, cost_ms: float) -> None:
        account = self.account(work.customer, work.weight)
        if not account.queued:
            account.tag = max(account.tag, self.virtual - IDLE_CREDIT_MS)
            account.weight = work.weight
            self.active_weight += work.weight
        account.queued += 1
        account.backlog_ms[work.service_class.value] += cost_ms

    def leave(self, work: Work, cost_ms: float) -> None:
        account = self._accounts[work.customer]
        account.queued -= 1
        account.backlog_ms[work.service_class.value] -= cost_ms
        if not account.queued:
            self.active_weight = max(0, self.active_weight - account.weight)

    def charge(self, work: Work, cost_ms: float) -> None:
        account = self._accounts[work.customer]
        charged_ms = max(0, cost_ms + account.debt_ms)
        account.debt_ms += cost_ms - charged_ms
        account.tag += charged_ms / account.weight

    def settle(self, work: Work, difference_ms: float) -> None:
        self.account(work.customer, work.weight).debt_ms += difference_ms

    def lead_ms(self, customer: CustomerId) -> float:
        """Return how far a customer is ahead of its share; negative if behind."""
        found = self._accounts.get(customer)
        return max(found.tag - self.virtual, -IDLE_CREDIT_MS) if found else 0

    def _prune(self) -> None:
        # An idle account that is not ahead differs from a new one only by debt.
        self._accounts = {
            customer: account
            for customer, account in self._accounts.items()
            if account.queued or account.tag > self.virtual
        }
        self._prune_at = max(ACCOUNTS_KEPT, 2 * len(self._accounts))


class _Entry:
    """Queued work; removal from the heaps is lazy."""

    __slots__ = ('cost_ms', 'is_delayed', 'is_waiting', 'start_by_ms', 'work')

    def __init__(self, work: Work, cost_ms: float, start_by_ms: float) -> None:
        self.work = work
        self.cost_ms = cost_ms
        self.start_by_ms = start_by_ms
        self.is_waiting = True
        self.is_delayed = False


@dataclass(slots=True)
class _Running:
    work: Work
    cost_ms: float
    started_ms: float
    is_long: bool


_Timed = list[tuple[float, int, _Entry]]


def _drop_removed(heap: _Timed) -> None:
    while heap and not heap[0][2].is_waiting:
        heapq.heappop(heap)


class _EntryHeap:
    """Entries by a time; removed ones are compacted away."""

    def __init__(self) -> None:
        self.live = 0
        self._heap: _Timed = []

    def push(self, time_ms: float, sequence: int, entry: _Entry) -> None:
        self.live += 1
        heapq.heappush(self._heap, (time_ms, sequence, entry))

    def first(self) -> tuple[float, _Entry] | None:
        _drop_removed(self._heap)
        return (self._heap[0][0], self._heap[0][2]) if self._heap else None

    def pop(self) -> _Entry:
        self.live -= 1
        return heapq.heappop(self._heap)[2]

    def discard(self) -> None:
        """Count one entry as removed after its flag was cleared."""
        self.live -= 1
        if len(self._heap) > 2 * self.live + SMALLEST_COMPACTED:
            self._heap = [item for item in self._heap if item[2].is_waiting]
            heapq.heapify(self._heap)


_Candidate = tuple[float, int, CustomerId, '_Lane']


class _Lane:
    """Customers of one class with short or with long work, by fair-queueing tag."""

    def __init__(self, book: _Book, *, is_long: bool) -> None:
        self.is_long = is_long
        self.book = book
        self._customers: list[tuple[float, int, CustomerId]] = []
        self._queues: dict[CustomerId, _EntryHeap] = {}

    def push(self, entry: _Entry, sequence: int) -> None:
        customer = entry.work.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = _EntryHeap()
            self._queues[customer] = queue
            tag = self.book.tag(customer)
            heapq.heappush(self._customers, (tag, sequence, customer))
        queue.push(entry.work.deadline_ms, sequence, entry)

    def first(self) -> _Candidate | None:
        """Return the customer that is furthest behind its share."""
        while self._customers:
            tag, sequence, customer = self._customers[0]
            if not self._queues[customer].live:
                heapq.heappop(self._customers)
                self._queues.pop(customer)
                continue
            current = self.book.tag(customer)
            if current <= tag:
                return (tag, sequence, customer, self)
            heapq.heapreplace(self._customers, (current, sequence, customer))
        return None

    def peek(self, customer: CustomerId) -> _Entry:
        """Return the work of a candidate with the earliest deadline."""
        found = self._queues[customer].first()
        assert found is not None, 'a candidate has live work'
        return found[1]

    def pop(self, customer: CustomerId) -> None:
        self._queues[customer].pop()

    def discard(self, customer: CustomerId) -> None:
        self._queues[customer].discard()


class _ClassState:
    """Guaranteed share and measured load of one class."""

    def __init__(self, share: float, *, is_refilled_idle: bool) -> None:
        self.share = share
        # Bulk work is refused while its credit is spent, so the credit must
        # also return while none is queued.
        self._is_refilled_idle = is_refilled_idle
        self.queued = 0
        self.running = 0
        self.backlog_ms: float = 0
        self.load: float = 0
        self.credit_ms: float = 0

    def advance(self, passed_ms: float, slots: int) -> None:
        kept = math.exp(-passed_ms / LOAD_AVERAGE_MS)
        self.load = self.running + (self.load - self.running) * kept
        if self.queued:
            earned_ms = passed_ms * slots * self.share
            self.credit_ms = min(self.credit_ms + earned_ms, LARGEST_CREDIT_MS)
        elif self._is_refilled_idle and self.credit_ms < 0:
            earned_ms = passed_ms * slots * self.share
            self.credit_ms = min(self.credit_ms + earned_ms, 0)

    def is_owed(self) -> bool:
        """Return whether other classes kept this one from its share."""
        return self.credit_ms > 0

    def charge(self, cost_ms: float) -> None:
        # Service from spare capacity costs at most itself, so that a class that
        # used idle slots is not shut out afterwards.
        self.credit_ms = max(self.credit_ms - cost_ms, min(-cost_ms, self.credit_ms))


class _SlotLimit:
    """Slots in use: fewer for a short while after the upstream shed work."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.usable = slots
        self.recover_at_ms: float = math.inf
        self._hold_ms: float = FIRST_SHED_HOLD_MS

    def shrink(self, running: int, now_ms: float) -> None:
        self.usable = max(0, min(self.usable, running))
        self.recover_at_ms = now_ms + self._hold_ms
        self._hold_ms = min(2 * self._hold_ms, LARGEST_SHED_HOLD_MS)

    def advance(self, now_ms: float) -> None:
        while now_ms >= self.recover_at_ms:
            self.usable += 1
            self.recover_at_ms += FIRST_SHED_HOLD_MS
            if self.usable >= self.slots:
                self.recover_at_ms = math.inf

    def succeed(self) -> None:
        """Shorten the next hold after work ran with all slots in use."""
        if self.usable >= self.slots:
            self._hold_ms = max(self._hold_ms / 2, FIRST_SHED_HOLD_MS)

    def resize(self, slots: int) -> None:
        self.usable = min(slots, max(0, self.usable + slots - self.slots))
        self.slots = slots
        if self.usable >= slots:
            self.recover_at_ms = math.inf


class Scheduler:
    """
    Decide which work of one upstream runs when.

    Classes have guaranteed shares of slot time and are otherwise served in the
    order urgent, normal, bulk. Within a class the customer that is furthest
    behind its weighted share comes first, and within a customer the earliest
    deadline. Every operation costs at most the logarithm of the queue length,
    amortised.
    """

    def __init__(self, options: Options, slots: int, now_ms: float) -> None:
        """Start empty with the published number of slots."""
        self._options = options
        self._limit = _SlotLimit(slots)
        self._updated_ms = now_ms
        self._times = _RunTimes()
        self._sequence = itertools.count()
        interactive, bulk = _Book(), _Book()
        # Urgent and normal work share an account, so that an urgent label does
        # not earn a second share. Bulk work has its own: it is bounded by the
        # share of its class, and using idle slots must not cost urgent work.
        self._books = (interactive, interactive, bulk)
        self._lanes = tuple(
            tuple(_Lane(book, is_long=is_long) for is_long in (False, True))
            for book in self._books
        )
        self._classes = tuple(
            _ClassState(share, is_refilled_idle=index == _BULK)
            for index, share in enumerate(options.shares())
        )
        self._queued: dict[RequestKey, tuple[_Entry, _Lane]] = {}
        self._running: dict[RequestKey, _Running] = {}
        self._long_running = 0
        self._short_load: float = 0
        # Slots that urgent work asks for, whether it is accepted or not.
        self._urgent_demand: float = 0
        self._expiry = _EntryHeap()
        self._delayed = _EntryHeap()
        self._expired: list[Work] = []
        self._overruns: list[tuple[float, int, RequestKey]] = []

    def submit(self, work: Work, now_ms: float) -> Result[None, Refusal]:
        """Queue work, or refuse it at once if it cannot start in time."""
        self._advance(now_ms)
        if work.request in self._queued or work.request in self._running:
            return Success(None)
        if work.deadline_ms <= now_ms:
            return Failure(Refusal(REASON_DEADLINE_EXCEEDED, 0))
        entry = self._make_entry(work, now_ms)
        if self._effective_class(work) == _URGENT:
            self._urgent_demand += entry.cost_ms / DEMAND_AVERAGE_MS
        room_ms = LARGEST_WAIT_SHARE * (entry.start_by_ms - now_ms)
        room_ms = min(room_ms, self._options.longest_wait_ms)
        wait_ms = self.expected_wait_ms(work, now_ms)
        if wait_ms > room_ms:
            retry_after_ms = max(wait_ms - room_ms, SMALLEST_RETRY_AFTER_MS)
            return Failure(Refusal(REASON_QUEUE_FULL, retry_after_ms))
        self._insert(entry)
        return Success(None)

    def requeue(self, work: Work, not_before_ms: float) -> None:
        """Queue work again that the upstream shed without running it."""
        if work.request in self._queued or work.request in self._running:
            return
        entry = self._make_entry(work, not_before_ms)
        entry.is_delayed = True
        lane = self._lane(work, entry.cost_ms)
        self._queued[work.request] = (entry, lane)
        self._expiry.push(entry.start_by_ms, next(self._sequence), entry)
        self._delayed.push(not_before_ms, next(self._sequence), entry)

    def start(self, now_ms: float) -> Iterator[Work]:
        """Iterate over the work to send now; each item occupies a slot."""
        self._advance(now_ms)
        while len(self._running) < self._limit.usable:
            candidate = self._choose()
            if candidate is None:
                return
            entry = self._take(candidate, now_ms)
            if entry is not None:
                yield entry.work

    def expire(self, now_ms: float) -> Iterator[Work]:
        """Iterate over queued work that can no longer finish in time."""
        self._advance(now_ms)
        while self._expired:
            yield self._expired.pop()
        found = self._expiry.first()
        while found is not None and found[0] <= now_ms:
            self._remove(found[1].work.request)
            yield found[1].work
            found = self._expiry.first()

    def finish(self, request: RequestKey, outcome: Outcome, now_ms: float) -> None:
        """Free the slot of running work; unknown requests are ignored."""
        self._advance(now_ms)
        running = self._running.pop(request, None)
        if running is None:
            return
        self._classes[running.work.service_class.value].running -= 1
        self._long_running -= running.is_long
        book = self._books[running.work.service_class.value]
        if outcome is Outcome.SHED:
            book.settle(running.work, -running.cost_ms)
            self._limit.shrink(len(self._running), now_ms)
            return
        run_ms = now_ms - running.started_ms
        book.settle(running.work, run_ms - running.cost_ms)
        # Work that was cut off ran at least this long.
        if outcome is Outcome.DONE or run_ms > running.cost_ms:
            self._times.learn(running.work, run_ms)
        self._limit.succeed()

    def cancel(self, request: RequestKey, now_ms: float) -> Work | None:
        """
        Withdraw a request.

        Returns
        -------
        Work or None
            Running work, which the caller cancels at the upstream and finishes
            when the upstream has answered; None if the work was queued (it is
            now gone and never runs) or is unknown.
        """
        self._advance(now_ms)
        if request in self._queued:
            self._remove(request)
            return None
        running = self._running.get(request)
        return running.work if running else None

    def set_slots(self, slots: int, now_ms: float) -> None:
        """Change the number of slots; running work is not affected."""
        self._advance(now_ms)
        self._limit.resize(slots)

    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queued)

    def running(self) -> int:
        """Return the number of requests that occupy a slot."""
        return len(self._running)

    def expected_wait_ms(self, work: Work, now_ms: float) -> float:
        """Return the expected time until this work would start."""
        self._advance(now_ms)
        if len(self._running) < self._limit.usable and not self._queued:
            return 0
        name = self._effective_class(work)
        rate = self._rate(name)
        account = self._books[name].account(work.customer, work.weight)
        active = self._books[name].active_weight
        if not account.queued:
            active += work.weight
        own_ms = account.backlog_ms[name]
        total_ms = self._classes[name].backlog_ms
        if name == _NORMAL:
            own_ms += account.backlog_ms[_URGENT]
            total_ms += self._classes[_URGENT].backlog_ms
        lead = self._books[name].lead_ms(work.customer)
        fair_ms = max(0, lead + own_ms / account.weight) * active
        ahead_ms = min(fair_ms, total_ms) + self._unpaid_ms(name)
        return ahead_ms / rate + self._residual_ms(work)

    def _unpaid_ms(self, name: int) -> float:
        """Return the credit that bulk work waits for when short work is busy."""
        if name != _BULK or self._has_headroom():
            return 0
        return max(0, -self._classes[name].credit_ms)

    def _residual_ms(self, work: Work) -> float:
        """Return the expected remainder of the work that holds the slots."""
        cost_ms = self._times.estimate_ms(work)
        if not self._is_long(work, cost_ms):
            return cost_ms / max(1, self._limit.usable)
        limit = self._long_limit()
        return cost_ms / max(1, limit) if self._long_running >= limit else 0

    def next_event_ms(self, now_ms: float) -> float:
        """
        Return the monotonic time of the next expiry or possible start.

        Infinite if only a call of another method can change anything.
        """
        if self._expired:
            return now_ms
        if not self._queued:
            return math.inf
        times = [found[0] for found in self._first_times() if found is not None]
        times.append(self._limit.recover_at_ms)
        if self._classes[_BULK].queued and self._is_bulk_held_back():
            times.append(now_ms + RECHECK_MS)
        return max(now_ms, min(times))

    def _first_times(self) -> Iterator[tuple[float, _Entry] | None]:
        yield self._expiry.first()
        yield self._delayed.first()

    def _is_bulk_held_back(self) -> bool:
        has_slot = len(self._running) < self._limit.usable
        return has_slot and self._long_running < self._long_limit()

    def _advance(self, now_ms: float) -> None:
        passed_ms = now_ms - self._updated_ms
        if passed_ms > 0:
            self._updated_ms = now_ms
            short = len(self._running) - self._long_running
            kept = math.exp(-passed_ms / LOAD_AVERAGE_MS)
            self._short_load = short + (self._short_load - short) * kept
            self._urgent_demand *= math.exp(-passed_ms / DEMAND_AVERAGE_MS)
            for state in self._classes:
                state.advance(passed_ms, self._limit.slots)
            self._limit.advance(now_ms)
            self._mark_overruns(now_ms)
        self._release_delayed(now_ms)

    def _mark_overruns(self, now_ms: float) -> None:
        # Work that turns out to be long counts as long from then on.
        while self._overruns and self._overruns[0][0] <= now_ms:
            running = self._running.get(heapq.heappop(self._overruns)[2])
            if running is not None and not running.is_long:
                if now_ms - running.started_ms >= self._options.long_run_ms:
                    running.is_long = True
                    self._long_running += 1

    def _release_delayed(self, now_ms: float) -> None:
        found = self._delayed.first()
        while found is not None and found[0] <= now_ms:
            entry = self._delayed.pop()
            entry.is_delayed = False
            self._enter_lane(entry)
            found = self._delayed.first()

    def _make_entry(self, work: Work, now_ms: float) -> _Entry:
        cost_ms = self._times.estimate_ms(work)
        # Work that cannot finish in time is not started. Half of the time is
        # left to it in any case, so that a wrong estimate is corrected by runs.
        room_ms = max(0, work.deadline_ms - now_ms)
        start_by_ms = work.deadline_ms - min(cost_ms, room_ms / 2)
        return _Entry(work, cost_ms, start_by_ms)

    def _insert(self, entry: _Entry) -> None:
        self._expiry.push(entry.start_by_ms, next(self._sequence), entry)
        self._enter_lane(entry)

    def _enter_lane(self, entry: _Entry) -> None:
        work = entry.work
        self._books[work.service_class.value].join(work, entry.cost_ms)
        state = self._classes[work.service_class.value]
        state.queued += 1
        state.backlog_ms += entry.cost_ms
        lane = self._lane(work, entry.cost_ms)
        lane.push(entry, next(self._sequence))
        self._queued[work.request] = (entry, lane)

    def _lane(self, work: Work, cost_ms: float) -> _Lane:
        return self._lanes[work.service_class.value][self._is_long(work, cost_ms)]

    def _is_long(self, work: Work, cost_ms: float) -> bool:
        return (
            work.service_class is ServiceClass.BULK
            or work.size_bytes > self._options.long_bytes
            or cost_ms > self._options.long_run_ms
        )

    def _remove(self, request: RequestKey) -> None:
        """Take queued work out of every structure."""
        entry, lane = self._queued.pop(request)
        entry.is_waiting = False
        self._expiry.discard()
        if entry.is_delayed:
            self._delayed.discard()
            return
        lane.discard(entry.work.customer)
        self._leave_class(entry)

    def _leave_class(self, entry: _Entry) -> None:
        state = self._classes[entry.work.service_class.value]
        state.queued -= 1
        state.backlog_ms = max(0, state.backlog_ms - entry.cost_ms)
        self._books[entry.work.service_class.value].leave(entry.work, entry.cost_ms)

    def _long_limit(self) -> int:
        if self._limit.slots < 2:
            return self._limit.usable
        return max(0, self._limit.usable - 1)

    def _choose(self) -> _Candidate | None:
        is_long_allowed = self._long_running < self._long_limit()
        urgent = self._best(_URGENT, is_long_allowed)
        normal = self._best(_NORMAL, is_long_allowed)
        bulk = self._best(_BULK, is_long_allowed)
        ready = [found for found in (urgent, normal) if found is not None]
        if ready:
            self._raise_virtual(_URGENT, min(found[0] for found in ready))
        if bulk:
            self._raise_virtual(_BULK, bulk[0])
        if urgent and self._is_ahead(urgent[2]):
            normal = min(ready, key=lambda found: found[:2])
            urgent = None
        return self._by_priority(urgent, normal, bulk)

    def _by_priority(
        self,
        urgent: _Candidate | None,
        normal: _Candidate | None,
        bulk: _Candidate | None,
    ) -> _Candidate | None:
        if bulk and self._classes[_BULK].is_owed():
            return bulk
        if (
            normal
            and self._classes[_NORMAL].is_owed()
            and not self._is_urgent_fitting()
        ):
            return normal
        if urgent or normal:
            return urgent or normal
        return bulk if bulk and self._has_headroom() else None

    def _is_urgent_fitting(self) -> bool:
        # While urgent work fits the slots, the guarantee of normal work would make
        # it miss deadlines; normal work then gets the slots that urgent work leaves.
        return self._urgent_demand <= self._limit.usable

    def _best(
        self,
        name: int,
        is_long_allowed: bool,
    ) -> _Candidate | None:
        if not self._classes[name].queued:
            return None
        short = self._lanes[name][False].first()
        long = self._lanes[name][True].first() if is_long_allowed else None
        if short and long:
            return min(short, long, key=lambda found: found[:2])
        return short or long

    def _raise_virtual(self, name: int, tag: float) -> None:
        book = self._books[name]
        book.virtual = max(book.virtual, tag)

    def _is_ahead(self, customer: CustomerId) -> bool:
        return self._books[_URGENT].lead_ms(customer) > URGENT_LEAD_MS

    def _has_headroom(self) -> bool:
        others = self._limit.usable - self._long_running - 1
        return self._short_load <= LARGEST_SHORT_LOAD * max(1, others)

    def _take(self, candidate: _Candidate, now_ms: float) -> _Entry | None:
        """Move the first work of a candidate to a slot; None if it cannot run."""
        lane, customer = candidate[3], candidate[2]
        entry = lane.peek(customer)
        if entry.start_by_ms < now_ms:
            self._remove(entry.work.request)
            self._expired.append(entry.work)
            return None
        cost_ms = self._times.estimate_ms(entry.work)
        is_long = self._is_long(entry.work, cost_ms)
        if is_long and not lane.is_long and self._long_running >= self._long_limit():
            self._move_to_long(entry, lane)
            return None
        self._remove(entry.work.request)
        self._occupy(entry.work, cost_ms, now_ms, is_long=is_long)
        return entry

    def _move_to_long(self, entry: _Entry, lane: _Lane) -> None:
        # Learned to be long since it was queued.
        lane.pop(entry.work.customer)
        longer = self._lanes[entry.work.service_class.value][True]
        longer.push(entry, next(self._sequence))
        self._queued[entry.work.request] = (entry, longer)

    def _occupy(
        self,
        work: Work,
        cost_ms: float,
        now_ms: float,
        *,
        is_long: bool,
    ) -> None:
        charged = self._effective_class(work)
        self._classes[charged].charge(cost_ms)
        self._classes[work.service_class.value].running += 1
        self._books[work.service_class.value].charge(work, cost_ms)
        self._running[work.request] = _Running(work, cost_ms, now_ms, is_long)
        self._long_running += is_long
        if not is_long:
            due_ms = now_ms + self._options.long_run_ms
            item = (due_ms, next(self._sequence), work.request)
            heapq.heappush(self._overruns, item)

    def _effective_class(self, work: Work) -> int:
        if work.service_class is ServiceClass.URGENT and self._is_ahead(work.customer):
            return _NORMAL
        return work.service_class.value

    def _rate(self, name: int) -> float:
        """Return the slots that a class can count on."""
        slots = max(1, self._limit.usable)
        guaranteed = slots * self._classes[name].share
        if name == _URGENT:
            return slots
        if name == _NORMAL:
            spare = slots - self._classes[_URGENT].load
        else:
            spare = min(max(1, self._long_limit()), slots - self._short_load)
            if not self._has_headroom():
                spare = 0
        return max(guaranteed, spare)
