"""Whether the link of the instance explains a missing answer.

A client repeats what is not acknowledged after 200 ms, whether the upstream is silent or
its packets wait here. Without this distinction a busy link makes upstreams suspected.
"""

from math import inf
from typing import NamedTuple


class EvidenceOptions(NamedTuple):
    """
    Limits of the explanation.

    Attributes
    ----------
    long_backlog_ms
        Backlog from which the queue of the link is long: a quarter of a client's
        retransmission timeout of 200 ms, since the path and the upstream take time too.
    loss_ms
        Time for which the link counts as busy after its rate was lowered for losses.
    max_excused_ms
        Silence that the link explains at most. The second repetition of a client, after
        600 ms, counts again, so that an upstream that fails during a burst is found.
    """

    long_backlog_ms: float
    loss_ms: float
    max_excused_ms: float


class LinkEvidence:
    """Until when the link was too busy for a missing answer to mean anything."""

    def __init__(self, options: EvidenceOptions) -> None:
        """Start with an idle link."""
        self._options = options
        self._busy_until_ms = -inf

    def record_backlog(self, backlog_ms: float, now_ms: float) -> None:
        """Record how long the newest packet in the queue waits for the link."""
        excess_ms = backlog_ms - self._options.long_backlog_ms
        if excess_ms >= 0:
            self._busy_until_ms = max(self._busy_until_ms, now_ms + excess_ms)

    def record_loss(self, lowered_ms: float) -> None:
        """Record when the rate was last lowered because the link lost packets."""
        busy_until_ms = lowered_ms + self._options.loss_ms
        self._busy_until_ms = max(self._busy_until_ms, busy_until_ms)

    def is_busy(self, now_ms: float) -> bool:
        """Return whether the queue is long or the link has just lost packets."""
        return now_ms <= self._busy_until_ms

    def explains_silence(self, since_ms: float, now_ms: float) -> bool:
        """
        Return whether a missing answer is no evidence against an upstream.

        Parameters
        ----------
        since_ms
            When the packet that should have been answered arrived here, or the
            suspicion that a probe examines began.
        now_ms
            Current time.
        """
        is_recent = now_ms - since_ms <= self._options.max_excused_ms
        return is_recent and self._busy_until_ms >= since_ms


DEFAULT_EVIDENCE = EvidenceOptions(long_backlog_ms=50, loss_ms=500, max_excused_ms=500)
