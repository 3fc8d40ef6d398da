"""Link time of the messages between instances, which do not wait for the link."""

from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.ids import MS_PER_S

# Time over which unused bytes add up, and time constant of the average.
AVERAGING_MS = 1000.0


class ControlReserve:
    """
    Share of the link that stays free for control messages.

    Attributes
    ----------
    bytes_per_s
        Moving average of the use.
    """

    def __init__(self, rate: LinkRate, share: float) -> None:
        """Start with an empty reserve."""
        self._rate = rate
        self._share = share
        self._total_bytes = 0
        self._updated_ms: float | None = None
        self._unused_bytes: float = 0
        self.bytes_per_s: float = 0

    def record_total(self, total_bytes: int, now_ms: float) -> float:
        """
        Record how many bytes were sent since the start of the process.

        Returns
        -------
        float
            Bytes beyond the reserve, which other packets have to give way to.
        """
        used = total_bytes - self._total_bytes
        self._total_bytes = total_bytes
        if self._updated_ms is None:
            self._updated_ms = now_ms
            return 0
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        reserve = self._rate.bytes_per_ms * self._share
        available = min(
            reserve * AVERAGING_MS, self._unused_bytes + reserve * elapsed_ms
        )
        self._unused_bytes = max(0, available - used)
        gain = min(1, elapsed_ms / AVERAGING_MS)
        if elapsed_ms:
            used_per_s = used / elapsed_ms * MS_PER_S
            self.bytes_per_s += gain * (used_per_s - self.bytes_per_s)
        return max(0, used - available)
