"""Counters, gauges and latency histograms of the forwarding path."""

from bisect import bisect_left
from collections import defaultdict

BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Counts of durations by bucket."""

    __slots__ = ('buckets', 'total_ms')

    def __init__(self) -> None:
        """Start empty; the last bucket has no upper bound."""
        self.buckets = [0 for _ in range(len(BUCKET_BOUNDS_MS) + 1)]
        self.total_ms: float = 0

    def observe(self, value_ms: float) -> None:
        """Count one duration."""
        self.buckets[bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self.total_ms += value_ms


class Meters:
    """All measured values by name."""

    def __init__(self) -> None:
        """Start at zero."""
        self.counters: defaultdict[str, int] = defaultdict(int)
        self.gauges: dict[str, float] = {}
        self.histograms: defaultdict[str, Histogram] = defaultdict(Histogram)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, value_ms: float) -> None:
        """Count a duration in a histogram."""
        self.histograms[name].observe(value_ms)
