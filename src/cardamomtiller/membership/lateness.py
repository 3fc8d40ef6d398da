"""Lateness: an instance that was paused must not use its authority."""

from cardamomtiller.membership.membershipoptions import MembershipOptions


class LatenessTracker:
    """
    Decide whether this instance may have missed what others decided.

    It is late from its start, or from a gap in its calls longer than
    ``late_wake_ms``, until an exchange succeeds that was sent later, or until
    ``alone_ms`` have passed without one.
    """

    def __init__(self, options: MembershipOptions, now_ms: float) -> None:
        """Start late."""
        self._options = options
        self._late_since_ms: float | None = now_ms
        self.last_call_ms = now_ms

    def is_late(self, now_ms: float) -> bool:
        """Return whether the instance is late now; safe from any thread."""
        if now_ms - self.last_call_ms > self._options.late_wake_ms:
            return True
        late_since_ms = self._late_since_ms
        return (
            late_since_ms is not None
            and now_ms - late_since_ms < self._options.isolation_timeout_ms
        )

    def record_call(self, now_ms: float) -> float:
        """Take note of a call; return the gap before it if it was too long, else 0."""
        gap_ms = now_ms - self.last_call_ms
        self.last_call_ms = max(self.last_call_ms, now_ms)
        if gap_ms <= self._options.late_wake_ms:
            return 0
        self._late_since_ms = now_ms
        return gap_ms

    def is_before_lateness(self, sent_ms: float) -> bool:
        """Return whether a message was sent before the current lateness began."""
        return self._late_since_ms is not None and sent_ms < self._late_since_ms

    def clear(self, sent_ms: float) -> None:
        """End lateness by an exchange that was sent after it began."""
        if not self.is_before_lateness(sent_ms):
            self._late_since_ms = None
