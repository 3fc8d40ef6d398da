"""Guaranteed share of slot time and measured load of one service class."""

import math

# Time constant of the exponential average of the load.
LOAD_TIME_CONSTANT_MS = 2000
# Largest credit that a class accumulates while it gets less than its guaranteed
# share.
MAX_CREDIT_MS = 1000


class ClassState:
    """Guaranteed share, credit, load and backlog of one class."""

    def __init__(self, share: float, *, is_refilled_when_idle: bool) -> None:
        """Create the state of an idle class without credit."""
        self.share = share
        # Bulk work is refused while its credit is spent, so the credit must
        # also recover while no bulk work is queued.
        self._is_refilled_when_idle = is_refilled_when_idle
        self.queued_count = 0
        self.running_count = 0
        self.backlog_ms: float = 0
        self.load: float = 0
        self.credit_ms: float = 0

    def advance(self, elapsed_ms: float, slots: int) -> None:
        """Update the average load and the credit for the elapsed time."""
        decay = math.exp(-elapsed_ms / LOAD_TIME_CONSTANT_MS)
        self.load = self.running_count + (self.load - self.running_count) * decay
        if self.queued_count:
            earned_ms = elapsed_ms * slots * self.share
            self.credit_ms = min(self.credit_ms + earned_ms, MAX_CREDIT_MS)
        elif self._is_refilled_when_idle and self.credit_ms < 0:
            earned_ms = elapsed_ms * slots * self.share
            self.credit_ms = min(self.credit_ms + earned_ms, 0)

    def is_below_share(self) -> bool:
        """Return whether the class got less than its guaranteed share."""
        return self.credit_ms > 0

    def charge(self, cost_ms: float) -> None:
        """Deduct the estimated running time of work that starts from the credit."""
        # Work in spare slots lowers the credit to at most its own cost below zero,
        # so that a class that used idle slots is not blocked afterwards.
        self.credit_ms = max(self.credit_ms - cost_ms, min(-cost_ms, self.credit_ms))
