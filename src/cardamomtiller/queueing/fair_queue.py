"""Start-time fair queueing between the customers of an upstream."""

import heapq
from dataclasses import dataclass

from cardamomtiller.identity import CustomerId
from cardamomtiller.queueing.entry_heap import Entry, EntryHeap
from cardamomtiller.queueing.work import CLASSES, Work

# Slot time per unit of weight that a customer below its share may make up for.
# Without it, random bursts of a customer just below its share are refused.
IDLE_CREDIT_MS = 500
ACCOUNTS_KEPT = 1024


@dataclass(slots=True)
class Account:
    """Service that a customer got, in slot time per weight."""

    tag: float
    weight: float
    queued: int
    backlog_ms: list[float]
    # Difference between charged and actual running time, settled later.
    debt_ms: float


class FairAccounts:
    """Start-time fair queueing between customers."""

    def __init__(self) -> None:
        """Start without customers."""
        self.virtual: float = 0
        self.active_weight: float = 0
        self._accounts: dict[CustomerId, Account] = {}
        self._prune_at = ACCOUNTS_KEPT

    def account(self, customer: CustomerId, weight: float) -> Account:
        """Return the account of a customer, new if unknown."""
        found = self._accounts.get(customer)
        if found is None:
            if len(self._accounts) >= self._prune_at:
                self._prune()
            backlog: list[float] = [0 for _ in CLASSES]
            found = Account(self.virtual, weight, 0, backlog, 0)
            self._accounts[customer] = found
        return found

    def tag(self, customer: CustomerId) -> float:
        """Return the service of a known customer, in slot time per weight."""
        return self._accounts[customer].tag

    def join(self, work: Work, cost_ms: float) -> None:
        """Count queued work."""
        account = self.account(work.customer, work.weight)
        if not account.queued:
            account.tag = max(account.tag, self.virtual - IDLE_CREDIT_MS)
            account.weight = work.weight
            self.active_weight += work.weight
        account.queued += 1
        account.backlog_ms[work.service_class.value] += cost_ms

    def leave(self, work: Work, cost_ms: float) -> None:
        """Count work that is no longer queued."""
        account = self._accounts[work.customer]
        account.queued -= 1
        account.backlog_ms[work.service_class.value] -= cost_ms
        if not account.queued:
            self.active_weight = max(0, self.active_weight - account.weight)

    def charge(self, work: Work, cost_ms: float) -> None:
        """Charge the estimated running time of work that starts."""
        account = self._accounts[work.customer]
        charged_ms = max(0, cost_ms + account.debt_ms)
        account.debt_ms += cost_ms - charged_ms
        account.tag += charged_ms / account.weight

    def settle(self, work: Work, difference_ms: float) -> None:
        """Note actual less charged running time for the next charge."""
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


Candidate = tuple[float, int, CustomerId, 'Lane']


class Lane:
    """Customers of one class with short or with long work, by fair-queueing tag."""

    def __init__(self, accounts: FairAccounts, *, is_long: bool) -> None:
        """Start empty."""
        self.is_long = is_long
        self.accounts = accounts
        self._customers: list[tuple[float, int, CustomerId]] = []
        self._queues: dict[CustomerId, EntryHeap] = {}

    def push(self, entry: Entry, sequence: int) -> None:
        """Queue an entry for its customer."""
        customer = entry.work.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = EntryHeap()
            self._queues[customer] = queue
            tag = self.accounts.tag(customer)
            heapq.heappush(self._customers, (tag, sequence, customer))
        queue.push(entry.work.deadline_ms, sequence, entry)

    def first(self) -> Candidate | None:
        """Return the customer that is furthest behind its share."""
        while self._customers:
            tag, sequence, customer = self._customers[0]
            if not self._queues[customer].live:
                heapq.heappop(self._customers)
                self._queues.pop(customer)
                continue
            current = self.accounts.tag(customer)
            if current <= tag:
                return (tag, sequence, customer, self)
            heapq.heapreplace(self._customers, (current, sequence, customer))
        return None

    def peek(self, customer: CustomerId) -> Entry:
        """Return the work of a candidate with the earliest deadline."""
        found = self._queues[customer].first()
        assert found is not None, 'a candidate has live work'
        return found[1]

    def pop(self, customer: CustomerId) -> None:
        """Remove the work that ``peek`` returned."""
        self._queues[customer].pop()

    def discard(self, customer: CustomerId) -> None:
        """Count one entry as removed after its flag was cleared."""
        self._queues[customer].discard()
