"""Number of usable slots of an upstream, reduced after it sheds work."""

import math

# Time after a shed until the first slot is restored; it doubles with each further
# shed up to the largest hold. Further slots follow every FIRST_SHED_HOLD_MS.
FIRST_SHED_HOLD_MS = 100
MAX_SHED_HOLD_MS = 1600


class SlotLimit:
    """Limit of the slots in use, lowered for a short time after a shed."""

    def __init__(self, slots: int) -> None:
        """Create a limit with all slots usable."""
        self.slots = slots
        self.usable = slots
        self.recover_at_ms: float = math.inf
        self._hold_ms: float = FIRST_SHED_HOLD_MS

    def shrink(self, running: int, now_ms: float) -> None:
        """Limit the usable slots to those of running work until the hold ends."""
        self.usable = max(0, min(self.usable, running))
        self.recover_at_ms = now_ms + self._hold_ms
        self._hold_ms = min(2 * self._hold_ms, MAX_SHED_HOLD_MS)

    def advance(self, now_ms: float) -> None:
        """Restore the slots whose hold has ended."""
        while now_ms >= self.recover_at_ms:
            self.usable += 1
            self.recover_at_ms += FIRST_SHED_HOLD_MS
            if self.usable >= self.slots:
                self.recover_at_ms = math.inf

    def record_success(self) -> None:
        """Halve the next hold if work finished while all slots were usable."""
        if self.usable >= self.slots:
            self._hold_ms = max(self._hold_ms / 2, FIRST_SHED_HOLD_MS)

    def resize(self, slots: int) -> None:
        """Set the published number of slots; held slots stay held."""
        self.usable = min(slots, max(0, self.usable + slots - self.slots))
        self.slots = slots
        if self.usable >= slots:
            self.recover_at_ms = math.inf

    def long_limit(self) -> int:
        """
        Return how many slots long work may occupy.

        One slot is reserved for short work if the upstream has at least two.
        """
        if self.slots < 2:
            return self.usable
        return max(0, self.usable - 1)
