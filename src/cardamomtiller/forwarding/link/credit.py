"""Credit for the bytes that may be sent now, at the rate of the link."""

from typing import NamedTuple

from cardamomtiller.forwarding.link.rate import LinkRate


class CreditOptions(NamedTuple):
    """
    Bounds of the credit.

    Attributes
    ----------
    control_share
        Share of the link that stays free for messages between instances.
    min_burst_bytes, max_burst_bytes
        Bounds on the bytes that may be sent at once after a pause, since a slow link
        buffers little.
    credit_ms
        Link time that may be caught up when the timer fires late, within these bounds.
    max_short_share, max_short_ms
        Share of the link, and link time in a row, for which bulk packets give way to
        short ones. A flood of short packets beyond it does not stop transfers.
    """

    control_share: float
    min_burst_bytes: int
    max_burst_bytes: int
    credit_ms: float
    max_short_share: float
    max_short_ms: float


class LinkCredit:
    """Bytes that may be sent now; negative while short packets use the link."""

    def __init__(self, rate: LinkRate, options: CreditOptions) -> None:
        """Start with the credit of an idle link."""
        self._rate = rate
        self._options = options
        self._bytes = self._burst_bytes()
        # Short packets that may still be charged.
        self._short_bytes = self._max_short_bytes()
        self._updated_ms: float | None = None

    @property
    def bytes_per_ms(self) -> float:
        """Rate of the link without the share of control messages."""
        return self._rate.bytes_per_ms * (1 - self._options.control_share)

    def update(self, now_ms: float, *, is_busy: bool) -> None:
        """Earn credit since the last call; ``is_busy`` if packets waited since then."""
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            if is_busy:
                self._rate.record_busy(elapsed_ms)
            earned = elapsed_ms * self.bytes_per_ms
            self._bytes = min(self._burst_bytes(), self._bytes + earned)
            self._short_bytes = min(
                self._max_short_bytes(),
                self._short_bytes + earned * self._options.max_short_share,
            )
        self._updated_ms = now_ms

    def covers(self, size: int) -> bool:
        """Return whether a datagram of a size may be sent."""
        return size <= self._bytes

    def spend(self, size: int) -> None:
        """Spend the credit for a datagram that waited."""
        self._bytes -= size

    def charge(self, size: float) -> None:
        """Spend the credit for bytes that were sent without waiting."""
        charged = min(size, self._short_bytes)
        self._short_bytes -= charged
        self._bytes -= charged

    def wait_ms(self, size: int) -> float:
        """Return the time until the credit covers a number of bytes."""
        return max(0, size - self._bytes) / self.bytes_per_ms

    def _burst_bytes(self) -> float:
        earned = self._options.credit_ms * self._rate.bytes_per_ms
        highest = min(self._options.max_burst_bytes, earned)
        return max(self._options.min_burst_bytes, highest)

    def _max_short_bytes(self) -> float:
        return self._options.max_short_ms * self._rate.bytes_per_ms


DEFAULT_CREDIT = CreditOptions(
    control_share=0.05,
    min_burst_bytes=3750,
    max_burst_bytes=16_000,
    credit_ms=5,
    max_short_share=0.75,
    max_short_ms=20,
)
