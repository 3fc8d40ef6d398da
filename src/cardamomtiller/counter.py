"""Counters, gauges and timings, and their export to statsd."""

import threading
from collections.abc import Mapping

import statsd

from cardamomtiller.identity import Endpoint

MAX_PENDING_TIMINGS = 10_000


class Counters:
    """
    Hold the counters, gauges and timings of a process by name.

    The thread that owns the object updates it, and the thread of the statsd
    sender reads it. Single dictionary operations are atomic, so there is no lock.
    """

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings_ms: list[tuple[str, float]] = []

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter, which starts at zero."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Replace the value of a gauge."""
        self._gauges[name] = value

    def record_timing_ms(self, name: str, value_ms: float) -> None:
        """Record a duration; it is dropped if too many are pending."""
        if len(self._timings_ms) < MAX_PENDING_TIMINGS:
            self._timings_ms.append((name, value_ms))

    def count(self, name: str) -> int:
        """Return the value of a counter, 0 if it was never increased."""
        return self._counts.get(name, 0)

    def counts(self) -> Mapping[str, int]:
        """Return a copy of all counters."""
        return dict(self._counts)

    def gauges(self) -> Mapping[str, float]:
        """Return a copy of all gauges."""
        return dict(self._gauges)

    def pop_timings_ms(self) -> list[tuple[str, float]]:
        """Return and remove the durations recorded since the last call."""
        timings_ms = self._timings_ms
        self._timings_ms = []
        return timings_ms


class StatsdSender:
    """Send counter increases, gauges and timings to statsd over UDP."""

    def __init__(self, counters: Counters, address: Endpoint, prefix: str) -> None:
        """Create the statsd client; no packet is sent before ``send``."""
        self._counters = counters
        self._sent_counts: dict[str, int] = {}
        self._client = statsd.StatsClient(address.host, address.port, prefix)

    def send(self) -> None:
        """Send all changes since the last call."""
        with self._client.pipeline() as pipeline:
            for name, total in self._counters.counts().items():
                increase = total - self._sent_counts.get(name, 0)
                self._sent_counts[name] = total
                if increase:
                    pipeline.incr(name, increase)
            for name, value in self._counters.gauges().items():
                pipeline.gauge(name, value)
            for name, value_ms in self._counters.pop_timings_ms():
                pipeline.timing(name, value_ms)

    def run(self, interval_s: float, stop: threading.Event) -> None:
        """Send at an interval until ``stop`` is set, then a last time."""
        while not stop.wait(interval_s):
            self.send()
        self.send()
