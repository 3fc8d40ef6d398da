"""Counters, gauges and latency histograms of the forwarding path."""

from bisect import bisect_left
from collections import defaultdict

BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Histogram of durations in fixed buckets."""

    __slots__ = ('buckets', 'total_ms')

    def __init__(self) -> None:
        """Create empty buckets; the last one has no upper bound."""
        self.buckets = [0 for _ in range(len(BUCKET_BOUNDS_MS) + 1)]
        self.total_ms: float = 0

    def observe(self, value_ms: float) -> None:
        """Add a duration to its bucket and to the total."""
        self.buckets[bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self.total_ms += value_ms


class Meters:
    """Metrics of a process by name."""

    def __init__(self) -> None:
        """Start without metrics; each is created when it is first updated."""
        self.counters: defaultdict[str, int] = defaultdict(int)
        self.gauges: dict[str, float] = {}
        self.histograms: defaultdict[str, Histogram] = defaultdict(Histogram)

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by ``amount``."""
        self.counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, value_ms: float) -> None:
        """Add a duration to a histogram."""
        self.histograms[name].observe(value_ms)
