"""Number of usable slots of an upstream, which falls after sheds."""

import math

# Slots come back one at a time after a shed, each later after repeated sheds.
FIRST_SHED_HOLD_MS = 100
LARGEST_SHED_HOLD_MS = 1600


class SlotLimit:
    """Slots in use: fewer for a short while after the upstream shed work."""

    def __init__(self, slots: int) -> None:
        """Start with all slots."""
        self.slots = slots
        self.usable = slots
        self.recover_at_ms: float = math.inf
        self._hold_ms: float = FIRST_SHED_HOLD_MS

    def shrink(self, running: int, now_ms: float) -> None:
        """Keep only the slots of running work for a while."""
        self.usable = max(0, min(self.usable, running))
        self.recover_at_ms = now_ms + self._hold_ms
        self._hold_ms = min(2 * self._hold_ms, LARGEST_SHED_HOLD_MS)

    def advance(self, now_ms: float) -> None:
        """Return the slots that are due."""
        while now_ms >= self.recover_at_ms:
            self.usable += 1
            self.recover_at_ms += FIRST_SHED_HOLD_MS
            if self.usable >= self.slots:
                self.recover_at_ms = math.inf

    def record_success(self) -> None:
        """Shorten the next hold after work ran with all slots in use."""
        if self.usable >= self.slots:
            self._hold_ms = max(self._hold_ms / 2, FIRST_SHED_HOLD_MS)

    def resize(self, slots: int) -> None:
        """Change the published number of slots."""
        self.usable = min(slots, max(0, self.usable + slots - self.slots))
        self.slots = slots
        if self.usable >= slots:
            self.recover_at_ms = math.inf

    def long_limit(self) -> int:
        """Return how many slots long work may occupy."""
        if self.slots < 2:
            return self.usable
        return max(0, self.usable - 1)
