"""Lateness: an instance that was paused must not use its authority."""

from cardamomtiller.membership.membershipoptions import MembershipOptions


class Lateness:
    """
    Decide whether this instance may have missed what others decided.

    It is late from its start, or from a gap in its calls longer than
    ``late_wake_ms``, until an exchange succeeds that was sent later, or until
    ``alone_ms`` have passed without one.
    """

    def __init__(self, options: MembershipOptions, now_ms: float) -> None:
        """Start late."""
        self._options = options
        self._since_ms: float | None = now_ms
        self.last_call_ms = now_ms

    def is_late(self, now_ms: float) -> bool:
        """Return whether the instance is late now; safe from any thread."""
        if now_ms - self.last_call_ms > self._options.late_wake_ms:
            return True
        since_ms = self._since_ms
        return since_ms is not None and now_ms - since_ms < self._options.alone_ms

    def note_call(self, now_ms: float) -> float:
        """Take note of a call; return the gap before it if it was too long, else 0."""
        gap_ms = now_ms - self.last_call_ms
        self.last_call_ms = max(self.last_call_ms, now_ms)
        if gap_ms <= self._options.late_wake_ms:
            return 0
        self._since_ms = now_ms
        return gap_ms

    def was_late(self, sent_ms: float) -> bool:
        """Return whether a message was sent before the current lateness began."""
        return self._since_ms is not None and sent_ms < self._since_ms

    def end(self, sent_ms: float) -> None:
        """End lateness by an exchange that was sent after it began."""
        if not self.was_late(sent_ms):
            self._since_ms = None
