"""Rate at which the link of the instance carries packets.

The settings state the rate, but the link may be slower or faster, or others may use it
too. Copies of packets that were sent show that packets are lost; the rate is lowered
when many are lost, and raised again in busy periods with fewer losses.
"""

from math import inf
from typing import NamedTuple

from cardamomtiller.ids import MS_PER_S


class RateOptions(NamedTuple):
    """
    Bounds and steps of the estimated rate.

    Attributes
    ----------
    min_share, max_share
        Bounds of the rate, as multiples of the stated rate.
    unpaced_bytes_per_ms
        Stated rate from which packets are not paced, since processing a packet takes as
        long as its transmission.
    sample_packets
        Packets over which losses are counted: four windows of a client.
    loss_share
        Share of copies from which the rate is lowered. Clients repeat the rest of a
        window after a loss, so moderate loss on the path causes many copies; the limit
        is above these, since a lower rate does not help there (docs/design/link.md).
    excess_loss_share
        The same above the stated rate, where a return to it does no harm.
    growth_loss_share
        Share of copies up to which the rate grows beyond the stated rate.
    decrease
        Factor of the rate on loss.
    recovery_per_s
        Growth below the stated rate in a busy second whose share of copies is below
        ``loss_share``, as a share of the stated rate.
    growth_per_s
        Growth above the stated rate in a busy second whose share of copies is at most
        ``growth_loss_share``; slower, since every attempt beyond the capacity of the
        link loses packets.
    growth_pause_ms
        Time after a loss above the stated rate until the next attempt to exceed it.
    """

    min_share: float
    max_share: float
    unpaced_bytes_per_ms: float
    sample_packets: int
    loss_share: float
    excess_loss_share: float
    growth_loss_share: float
    decrease: float
    recovery_per_s: float
    growth_per_s: float
    growth_pause_ms: float


class LinkRate:
    """
    Estimated rate of the link.

    Attributes
    ----------
    bytes_per_ms
        Current estimate.
    lowered_ms
        Time at which it was last lowered.
    """

    def __init__(self, stated_bytes_per_ms: float, options: RateOptions) -> None:
        """Start from the stated rate."""
        self.bytes_per_ms = stated_bytes_per_ms
        self.lowered_ms = -inf
        self._stated_bytes_per_ms = stated_bytes_per_ms
        self._options = options
        self._sent = 0
        self._losses = 0
        self._busy_ms: float = 0
        self._no_growth_until_ms = -inf

    @property
    def is_unpaced(self) -> bool:
        """Whether the link is stated to be so fast that packets need not be paced."""
        return self._stated_bytes_per_ms >= self._options.unpaced_bytes_per_ms

    def record_losses(self, packets: int) -> None:
        """Count packets that were sent, and lost before they reached the upstream."""
        self._losses += packets

    def record_busy(self, busy_ms: float) -> None:
        """Record for how long packets have waited for the link."""
        self._busy_ms += busy_ms

    def record_sent(self, now_ms: float) -> None:
        """Count a packet that was paced, and adapt the rate after each sample."""
        self._sent += 1
        if self._sent < self._options.sample_packets:
            return
        loss_share = self._losses / self._sent
        is_excess = self.bytes_per_ms > self._stated_bytes_per_ms
        limit = self._options.loss_share
        if is_excess:
            limit = self._options.excess_loss_share
        if loss_share >= limit:
            self._lower(now_ms)
        else:
            self._raise(loss_share, now_ms)
        self._busy_ms = 0
        self._sent = 0
        self._losses = 0

    def _lower(self, now_ms: float) -> None:
        stated = self._stated_bytes_per_ms
        self.lowered_ms = now_ms
        if self.bytes_per_ms > stated:
            self._no_growth_until_ms = now_ms + self._options.growth_pause_ms
            self.bytes_per_ms = stated
            return
        lowest = stated * self._options.min_share
        self.bytes_per_ms = max(lowest, self.bytes_per_ms * self._options.decrease)

    def _raise(self, loss_share: float, now_ms: float) -> None:
        stated = self._stated_bytes_per_ms
        busy_s = self._busy_ms / MS_PER_S
        if self.bytes_per_ms < stated:
            step = stated * self._options.recovery_per_s * busy_s
            self.bytes_per_ms = min(stated, self.bytes_per_ms + step)
            return
        is_clean = loss_share <= self._options.growth_loss_share
        if is_clean and now_ms >= self._no_growth_until_ms:
            step = stated * self._options.growth_per_s * busy_s
            highest = stated * self._options.max_share
            self.bytes_per_ms = min(highest, self.bytes_per_ms + step)


DEFAULT_RATE = RateOptions(
    min_share=0.25,
    max_share=2.0,
    unpaced_bytes_per_ms=12_500,
    sample_packets=64,
    loss_share=0.35,
    excess_loss_share=0.1,
    growth_loss_share=0.02,
    decrease=0.7,
    recovery_per_s=0.1,
    growth_per_s=0.02,
    growth_pause_ms=60_000,
)
