"""Scheduling of the work of one upstream."""

import math
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from cardamomtiller.identity import CustomerId, Outcome, RequestKey, ServiceClass
from cardamomtiller.queueing.entry_heap import Entry
from cardamomtiller.queueing.fair_queue import Candidate
from cardamomtiller.queueing.run_times import RunTimeEstimator
from cardamomtiller.queueing.running import RunningEntry, RunningWork
from cardamomtiller.queueing.slot_limit import SlotLimit
from cardamomtiller.queueing.waiting import WaitingWork
from cardamomtiller.queueing.work import (
    BULK,
    NORMAL,
    URGENT,
    QueueOptions,
    Refusal,
    Work,
)
from cardamomtiller.wire_pb2 import REASON_DEADLINE_EXCEEDED, REASON_QUEUE_FULL

# Slot time per unit of weight by which urgent work may exceed the fair share of its
# customer. Beyond it, urgent work is scheduled as normal work.
URGENT_LEAD_MS = 500
# Bulk work beyond its guaranteed share starts only while short work loads the other
# slots at most this much, because waiting grows steeply with the load of a slot.
MAX_SHORT_LOAD = 0.3
MIN_RETRY_AFTER_MS = 50
# Largest part of the time to the latest start that the expected wait may take. Work
# that waits up to its latest start often misses its deadline: at ten times capacity
# the goodput is 0.91 to 0.93 with a part of 1 and 0.97 to 0.98 with a part of 0.5.
MAX_WAIT_SHARE = 0.5
# Time constant of the exponential average of the urgent demand.
DEMAND_AVERAGE_MS = 5000
# Interval between attempts to start bulk work that waits for headroom.
BULK_RECHECK_MS = 20


class Scheduler:
    """
    Choose the work of one upstream that runs next.

    Classes have guaranteed shares of slot time and are otherwise served in the
    order urgent, normal, bulk. Within a class the customer that is furthest
    behind its weighted share comes first, and within a customer the earliest
    deadline. Every operation takes amortised logarithmic time in the queue
    length.
    """

    def __init__(self, options: QueueOptions, slots: int, now_ms: float) -> None:
        """Create an empty queue for the published number of slots."""
        self._options = options
        self._slot_limit = SlotLimit(slots)
        self._updated_ms = now_ms
        self._run_times = RunTimeEstimator()
        self._waiting = WaitingWork(options)
        self._running = RunningWork(options.long_run_ms)
        # Average number of slots that urgent work needs, refused work included.
        self._urgent_demand: float = 0
        self._expired: list[Work] = []

    def submit(self, work: Work, now_ms: float) -> Result[None, Refusal]:
        """Queue work, or refuse it if it is not expected to start in time."""
        self._advance(now_ms)
        if work.request in self._waiting or work.request in self._running:
            return Success(None)
        if work.deadline_ms <= now_ms:
            return Failure(Refusal(REASON_DEADLINE_EXCEEDED, 0))
        entry = self._make_entry(work, now_ms)
        if self._effective_class(work) == URGENT:
            self._urgent_demand += entry.cost_ms / DEMAND_AVERAGE_MS
        max_wait_ms = MAX_WAIT_SHARE * (entry.start_by_ms - now_ms)
        max_wait_ms = min(max_wait_ms, self._options.longest_wait_ms)
        wait_ms = self.expected_wait_ms(work, now_ms)
        if wait_ms > max_wait_ms:
            retry_after_ms = max(wait_ms - max_wait_ms, MIN_RETRY_AFTER_MS)
            return Failure(Refusal(REASON_QUEUE_FULL, retry_after_ms))
        self._waiting.insert(entry)
        return Success(None)

    def requeue(self, work: Work, not_before_ms: float) -> None:
        """Queue work again that was shed, or whose run was lost with the link."""
        if work.request in self._waiting or work.request in self._running:
            return
        entry = self._make_entry(work, not_before_ms)
        self._waiting.insert_delayed(entry, not_before_ms)

    def start(self, now_ms: float) -> Iterator[Work]:
        """Yield the work to send now; each item occupies a slot."""
        self._advance(now_ms)
        while len(self._running) < self._slot_limit.usable:
            candidate = self._choose_candidate()
            if candidate is None:
                return
            entry = self._start_candidate(candidate, now_ms)
            if entry is not None:
                yield entry.work

    def expire(self, now_ms: float) -> Iterator[Work]:
        """Remove and yield queued work that can no longer finish in time."""
        self._advance(now_ms)
        while self._expired:
            yield self._expired.pop()
        yield from self._waiting.pop_overdue(now_ms)

    def finish(self, request: RequestKey, outcome: Outcome, now_ms: float) -> None:
        """Free the slot of a request; requests that do not run are ignored."""
        self._advance(now_ms)
        entry = self._running.remove(request)
        if entry is None:
            return
        self._waiting.classes[entry.work.service_class.value].running_count -= 1
        accounts = self._waiting.accounts[entry.work.service_class.value]
        if outcome is Outcome.SHED:
            accounts.correct_charge(entry.work, -entry.cost_ms)
            self._slot_limit.shrink(len(self._running), now_ms)
            return
        run_ms = now_ms - entry.started_ms
        accounts.correct_charge(entry.work, run_ms - entry.cost_ms)
        # Work that failed or was cancelled would have run at least this long, so
        # its running time counts only if it is above the estimate.
        if outcome is Outcome.DONE or run_ms > entry.cost_ms:
            self._run_times.record_run(entry.work, run_ms)
        self._slot_limit.record_success()

    def cancel(self, request: RequestKey, now_ms: float) -> Work | None:
        """
        Cancel a request.

        Returns
        -------
        Work or None
            Running work: the caller cancels it at the upstream and calls
            ``finish`` when the upstream has answered. None if the request was
            queued, in which case it is removed and never runs, or is unknown.
        """
        self._advance(now_ms)
        if request in self._waiting:
            self._waiting.remove(request)
            return None
        entry = self._running.find(request)
        return entry.work if entry else None

    def set_slots(self, slots: int, now_ms: float) -> None:
        """Change the number of slots; running work is not affected."""
        self._advance(now_ms)
        self._slot_limit.resize(slots)

    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    def running(self) -> int:
        """Return the number of requests that occupy a slot."""
        return len(self._running)

    def expected_wait_ms(self, work: Work, now_ms: float) -> float:
        """Return the expected time until this work starts if it is queued now."""
        self._advance(now_ms)
        if len(self._running) < self._slot_limit.usable and not self._waiting:
            return 0
        class_value = self._effective_class(work)
        service_rate = self._service_rate(class_value)
        account = self._waiting.accounts[class_value].account(
            work.customer, work.weight
        )
        active_weight = self._waiting.accounts[class_value].active_weight
        if not account.queued_count:
            active_weight += work.weight
        customer_ms = account.backlog_ms[class_value]
        class_ms = self._waiting.classes[class_value].backlog_ms
        if class_value == NORMAL:
            customer_ms += account.backlog_ms[URGENT]
            class_ms += self._waiting.classes[URGENT].backlog_ms
        lead_ms = self._waiting.accounts[class_value].lead_ms(work.customer)
        fair_ms = max(0, lead_ms + customer_ms / account.weight) * active_weight
        ahead_ms = min(fair_ms, class_ms) + self._missing_credit_ms(class_value)
        return ahead_ms / service_rate + self._residual_ms(work)

    def _missing_credit_ms(self, class_value: int) -> float:
        """Return the credit that bulk work must regain while it has no headroom."""
        if class_value != BULK or self._has_bulk_headroom():
            return 0
        return max(0, -self._waiting.classes[class_value].credit_ms)

    def _residual_ms(self, work: Work) -> float:
        """Return the expected time until running work frees a slot for this work."""
        cost_ms = self._run_times.estimate_ms(work)
        if not self._options.is_long(work, cost_ms):
            return cost_ms / max(1, self._slot_limit.usable)
        long_limit = self._long_limit()
        return (
            cost_ms / max(1, long_limit)
            if self._running.long_count >= long_limit
            else 0
        )

    def next_event_ms(self, now_ms: float) -> float:
        """
        Return the monotonic time of the next expiry or possible start.

        Infinite if no work can expire or start without another call.
        """
        if self._expired:
            return now_ms
        if not self._waiting:
            return math.inf
        event_times_ms = [*self._waiting.due_times_ms(), self._slot_limit.recover_at_ms]
        if self._waiting.classes[BULK].queued_count and self._has_free_long_slot():
            event_times_ms.append(now_ms + BULK_RECHECK_MS)
        return max(now_ms, min(event_times_ms))

    def _has_free_long_slot(self) -> bool:
        has_slot = len(self._running) < self._slot_limit.usable
        return has_slot and self._running.long_count < self._long_limit()

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            self._updated_ms = now_ms
            self._running.update_load(elapsed_ms)
            self._urgent_demand *= math.exp(-elapsed_ms / DEMAND_AVERAGE_MS)
            for state in self._waiting.classes:
                state.advance(elapsed_ms, self._slot_limit.slots)
            self._slot_limit.advance(now_ms)
            self._running.mark_overruns(now_ms)
        self._waiting.release_delayed(now_ms)

    def _make_entry(self, work: Work, now_ms: float) -> Entry:
        cost_ms = self._run_times.estimate_ms(work)
        # Work that would finish after its deadline is not started. The latest
        # start is never before half of the remaining time, so that work with too
        # high an estimate still runs and corrects the estimate.
        remaining_ms = max(0, work.deadline_ms - now_ms)
        start_by_ms = work.deadline_ms - min(cost_ms, remaining_ms / 2)
        return Entry(work, cost_ms, start_by_ms)

    def _long_limit(self) -> int:
        return self._slot_limit.long_limit()

    def _choose_candidate(self) -> Candidate | None:
        is_long_allowed = self._running.long_count < self._long_limit()
        urgent = self._waiting.next_candidate(URGENT, is_long_allowed=is_long_allowed)
        normal = self._waiting.next_candidate(NORMAL, is_long_allowed=is_long_allowed)
        bulk = self._waiting.next_candidate(BULK, is_long_allowed=is_long_allowed)
        interactive = [
            candidate for candidate in (urgent, normal) if candidate is not None
        ]
        if interactive:
            self._advance_virtual_time(
                URGENT, min(candidate[0] for candidate in interactive)
            )
        if bulk:
            self._advance_virtual_time(BULK, bulk[0])
        if urgent and self._is_beyond_urgent_lead(urgent[2]):
            normal = min(interactive, key=lambda candidate: candidate[:2])
            urgent = None
        return self._select_by_priority(urgent, normal, bulk)

    def _select_by_priority(
        self,
        urgent: Candidate | None,
        normal: Candidate | None,
        bulk: Candidate | None,
    ) -> Candidate | None:
        if bulk and self._waiting.classes[BULK].is_below_share():
            return bulk
        if (
            normal
            and self._waiting.classes[NORMAL].is_below_share()
            and not self._is_urgent_within_slots()
        ):
            return normal
        if urgent or normal:
            return urgent or normal
        return bulk if bulk and self._has_bulk_headroom() else None

    def _is_urgent_within_slots(self) -> bool:
        # While the slots suffice for urgent work, serving the guaranteed share of
        # normal work first would make urgent work miss its deadlines. Normal work
        # then gets the slots that urgent work leaves free.
        return self._urgent_demand <= self._slot_limit.usable

    def _advance_virtual_time(self, class_value: int, tag: float) -> None:
        accounts = self._waiting.accounts[class_value]
        accounts.virtual_time = max(accounts.virtual_time, tag)

    def _is_beyond_urgent_lead(self, customer: CustomerId) -> bool:
        return self._waiting.accounts[URGENT].lead_ms(customer) > URGENT_LEAD_MS

    def _has_bulk_headroom(self) -> bool:
        other_slots = self._slot_limit.usable - self._running.long_count - 1
        return self._running.short_load <= MAX_SHORT_LOAD * max(1, other_slots)

    def _start_candidate(self, candidate: Candidate, now_ms: float) -> Entry | None:
        """Start the first entry of a candidate; return None if it cannot run now."""
        fair_queue, customer = candidate[3], candidate[2]
        entry = fair_queue.peek(customer)
        if entry.start_by_ms < now_ms:
            self._waiting.remove(entry.work.request)
            self._expired.append(entry.work)
            return None
        cost_ms = self._run_times.estimate_ms(entry.work)
        is_long = self._options.is_long(entry.work, cost_ms)
        if (
            is_long
            and not fair_queue.is_long
            and self._running.long_count >= self._long_limit()
        ):
            self._waiting.move_to_long_queue(entry, fair_queue)
            return None
        self._waiting.remove(entry.work.request)
        self._occupy_slot(entry.work, cost_ms, now_ms, is_long=is_long)
        return entry

    def _occupy_slot(
        self,
        work: Work,
        cost_ms: float,
        now_ms: float,
        *,
        is_long: bool,
    ) -> None:
        charged_class = self._effective_class(work)
        self._waiting.classes[charged_class].charge(cost_ms)
        self._waiting.classes[work.service_class.value].running_count += 1
        self._waiting.accounts[work.service_class.value].charge(work, cost_ms)
        self._running.add(RunningEntry(work, cost_ms, now_ms, is_long))

    def _effective_class(self, work: Work) -> int:
        if work.service_class is ServiceClass.URGENT and self._is_beyond_urgent_lead(
            work.customer
        ):
            return NORMAL
        return work.service_class.value

    def _service_rate(self, class_value: int) -> float:
        """Return the number of slots that a class can expect to use."""
        slots = max(1, self._slot_limit.usable)
        guaranteed_slots = slots * self._waiting.classes[class_value].share
        if class_value == URGENT:
            return slots
        if class_value == NORMAL:
            spare_slots = slots - self._waiting.classes[URGENT].load
        else:
            spare_slots = min(
                max(1, self._long_limit()), slots - self._running.short_load
            )
            if not self._has_bulk_headroom():
                spare_slots = 0
        return max(guaranteed_slots, spare_slots)
