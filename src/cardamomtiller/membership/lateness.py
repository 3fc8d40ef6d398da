"""
Detection of pauses after which the membership table may be out of date.

An instance that was paused must not act on its ownership while it is late.
"""

from cardamomtiller.membership.membershipoptions import MembershipOptions


class LatenessTracker:
    """
    Track whether the membership table may be out of date.

    An instance is late after its start, and after a gap between two calls that
    is longer than ``late_wake_ms``, such as a suspended process: it may have
    missed that its peers declared it dead. Lateness ends with the first
    successful exchange that was sent after it began, or when
    ``isolation_timeout_ms`` have passed without one.
    """

    def __init__(self, options: MembershipOptions, now_ms: float) -> None:
        """Start in the late state."""
        self._options = options
        self._late_since_ms: float | None = now_ms
        self.last_call_ms = now_ms

    def is_late(self, now_ms: float) -> bool:
        """Return whether the instance is late; may be called from any thread."""
        if now_ms - self.last_call_ms > self._options.late_wake_ms:
            return True
        late_since_ms = self._late_since_ms
        return (
            late_since_ms is not None
            and now_ms - late_since_ms < self._options.isolation_timeout_ms
        )

    def record_call(self, now_ms: float) -> float:
        """Record a call; return the gap before it if it was too long, else 0."""
        gap_ms = now_ms - self.last_call_ms
        self.last_call_ms = max(self.last_call_ms, now_ms)
        if gap_ms <= self._options.late_wake_ms:
            return 0
        self._late_since_ms = now_ms
        return gap_ms

    def is_before_lateness(self, sent_ms: float) -> bool:
        """Return whether a message was sent before the current late period began."""
        return self._late_since_ms is not None and sent_ms < self._late_since_ms

    def clear(self, sent_ms: float) -> None:
        """End the late period if the exchange was not sent before it began."""
        if not self.is_before_lateness(sent_ms):
            self._late_since_ms = None
