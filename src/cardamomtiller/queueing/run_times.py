"""Estimates of running times, learned from finished work."""

from collections import OrderedDict
from collections.abc import Iterator

from cardamomtiller.queueing.work import Work

DEFAULT_RUN_MS = 50
SMALLEST_RUN_MS = 1
# An estimate follows a change of the running time within about ten runs.
SAMPLES_AVERAGED = 10
ESTIMATES_KEPT = 10_000
# Sizes within a factor of four share an estimate.
BITS_PER_BAND = 2


class RunTimes:
    """Learned running time by customer, class and band of sizes."""

    def __init__(self) -> None:
        """Start without samples."""
        self._known: OrderedDict[tuple[object, ...], tuple[float, int]] = OrderedDict()

    def estimate_ms(self, work: Work) -> float:
        """Return the expected running time."""
        for key in _estimate_keys(work):
            found = self._known.get(key)
            if found is not None:
                return found[0]
        return DEFAULT_RUN_MS

    def learn(self, work: Work, run_ms: float) -> None:
        """Take a measured running time into the averages."""
        for key in _estimate_keys(work):
            mean_ms, count = self._known.get(key, (0, 0))
            count = min(count + 1, SAMPLES_AVERAGED)
            mean_ms += (run_ms - mean_ms) / count
            self._known[key] = (max(mean_ms, SMALLEST_RUN_MS), count)
            self._known.move_to_end(key)
        while len(self._known) > ESTIMATES_KEPT:
            self._known.popitem(last=False)


def _estimate_keys(work: Work) -> Iterator[tuple[object, ...]]:
    band = work.size_bytes.bit_length() // BITS_PER_BAND
    service_class = work.service_class.value
    yield (work.customer, service_class, band)
    yield (service_class, band)
