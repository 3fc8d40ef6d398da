"""Start-time fair queueing between the customers of an upstream."""

import heapq
from dataclasses import dataclass

from cardamomtiller.identity import CustomerId
from cardamomtiller.queueing.entry_heap import Entry, EntryHeap
from cardamomtiller.queueing.work import CLASSES, Work

# Slot time per unit of weight by which the start tag of a customer that becomes
# active may lie behind the virtual time. Without it, random bursts of a customer
# just below its share are refused.
IDLE_CREDIT_MS = 500
# Idle accounts are not pruned while fewer accounts than this are stored.
MIN_PRUNE_SIZE = 1024


@dataclass(slots=True)
class Account:
    """
    Service that a customer received and its queued work.

    ``start_tag`` is in slot time per unit of weight. ``backlog_ms`` is the
    estimated running time of the queued work, indexed by class.
    """

    start_tag: float
    weight: float
    queued_count: int
    backlog_ms: list[float]
    # Actual minus charged running time, to be included in the next charge.
    correction_ms: float


class FairAccounts:
    """Accounts of the customers and the virtual time of their fair queueing."""

    def __init__(self) -> None:
        """Create accounts without customers, at virtual time zero."""
        self.virtual_time: float = 0
        self.active_weight: float = 0
        self._accounts: dict[CustomerId, Account] = {}
        self._prune_at = MIN_PRUNE_SIZE

    def account(self, customer: CustomerId, weight: float) -> Account:
        """Return the account of a customer; create it if there is none."""
        account = self._accounts.get(customer)
        if account is None:
            if len(self._accounts) >= self._prune_at:
                self._prune()
            backlog: list[float] = [0 for _ in CLASSES]
            account = Account(self.virtual_time, weight, 0, backlog, 0)
            self._accounts[customer] = account
        return account

    def start_tag(self, customer: CustomerId) -> float:
        """Return the start tag of a customer that has an account."""
        return self._accounts[customer].start_tag

    def add_queued(self, work: Work, cost_ms: float) -> None:
        """Add queued work to the account of its customer."""
        account = self.account(work.customer, work.weight)
        if not account.queued_count:
            account.start_tag = max(
                account.start_tag, self.virtual_time - IDLE_CREDIT_MS
            )
            account.weight = work.weight
            self.active_weight += work.weight
        account.queued_count += 1
        account.backlog_ms[work.service_class.value] += cost_ms

    def remove_queued(self, work: Work, cost_ms: float) -> None:
        """Subtract work that is no longer queued from its customer's account."""
        account = self._accounts[work.customer]
        account.queued_count -= 1
        account.backlog_ms[work.service_class.value] -= cost_ms
        if not account.queued_count:
            self.active_weight = max(0, self.active_weight - account.weight)

    def charge(self, work: Work, cost_ms: float) -> None:
        """Charge the customer for work that starts, corrected for earlier work."""
        account = self._accounts[work.customer]
        charged_ms = max(0, cost_ms + account.correction_ms)
        account.correction_ms += cost_ms - charged_ms
        account.start_tag += charged_ms / account.weight

    def correct_charge(self, work: Work, difference_ms: float) -> None:
        """Add the actual minus the charged running time to the next charge."""
        self.account(work.customer, work.weight).correction_ms += difference_ms

    def lead_ms(self, customer: CustomerId) -> float:
        """Return how far a customer is ahead of its fair share; negative if behind."""
        account = self._accounts.get(customer)
        return (
            max(account.start_tag - self.virtual_time, -IDLE_CREDIT_MS)
            if account
            else 0
        )

    def _prune(self) -> None:
        # An idle account that is not ahead of the virtual time differs from a new
        # one only by its correction and by a credit of at most IDLE_CREDIT_MS.
        self._accounts = {
            customer: account
            for customer, account in self._accounts.items()
            if account.queued_count or account.start_tag > self.virtual_time
        }
        self._prune_at = max(MIN_PRUNE_SIZE, 2 * len(self._accounts))


Candidate = tuple[float, int, CustomerId, 'FairQueue']


class FairQueue:
    """Short or long work of one class, by start tag of the customer and deadline."""

    def __init__(self, accounts: FairAccounts, *, is_long: bool) -> None:
        """Create an empty queue."""
        self.is_long = is_long
        self.accounts = accounts
        self._customers: list[tuple[float, int, CustomerId]] = []
        self._queues: dict[CustomerId, EntryHeap] = {}

    def push(self, entry: Entry, sequence: int) -> None:
        """Add an entry to the queue of its customer."""
        customer = entry.work.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = EntryHeap()
            self._queues[customer] = queue
            tag = self.accounts.start_tag(customer)
            heapq.heappush(self._customers, (tag, sequence, customer))
        queue.push(entry.work.deadline_ms, sequence, entry)

    def first(self) -> Candidate | None:
        """Return the customer with the smallest start tag, or None if empty."""
        while self._customers:
            tag, sequence, customer = self._customers[0]
            if not self._queues[customer].live_count:
                heapq.heappop(self._customers)
                self._queues.pop(customer)
                continue
            current_tag = self.accounts.start_tag(customer)
            if current_tag <= tag:
                return (tag, sequence, customer, self)
            heapq.heapreplace(self._customers, (current_tag, sequence, customer))
        return None

    def peek(self, customer: CustomerId) -> Entry:
        """Return the entry of a candidate customer with the earliest deadline."""
        head = self._queues[customer].first()
        assert head is not None, 'a candidate customer has a waiting entry'
        return head[1]

    def pop(self, customer: CustomerId) -> None:
        """Remove the entry that ``peek`` returned."""
        self._queues[customer].pop()

    def mark_removed(self, customer: CustomerId) -> None:
        """Account for an entry of the customer whose ``is_waiting`` was cleared."""
        self._queues[customer].mark_removed()
