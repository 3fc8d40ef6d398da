"""Estimates of running times, averaged over finished work."""

from collections import OrderedDict
from collections.abc import Iterator

from cardamomtiller.queueing.work import Work

DEFAULT_RUN_MS = 50
MIN_RUN_MS = 1
# An estimate follows a change of the running time within about this many runs.
MAX_AVERAGED_SAMPLES = 10
MAX_ESTIMATES = 10_000
# Request sizes within a factor of four share an estimate.
SIZE_BITS_PER_BAND = 2


class RunTimeEstimator:
    """Average running times by customer, class and size band."""

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._estimates: OrderedDict[tuple[object, ...], tuple[float, int]] = (
            OrderedDict()
        )

    def estimate_ms(self, work: Work) -> float:
        """Return the average of the customer, else of the class, else the default."""
        for key in _estimate_keys(work):
            estimate = self._estimates.get(key)
            if estimate is not None:
                return estimate[0]
        return DEFAULT_RUN_MS

    def record_run(self, work: Work, run_ms: float) -> None:
        """Include a measured running time in the averages."""
        for key in _estimate_keys(work):
            mean_ms, count = self._estimates.get(key, (0, 0))
            count = min(count + 1, MAX_AVERAGED_SAMPLES)
            mean_ms += (run_ms - mean_ms) / count
            self._estimates[key] = (max(mean_ms, MIN_RUN_MS), count)
            self._estimates.move_to_end(key)
        while len(self._estimates) > MAX_ESTIMATES:
            self._estimates.popitem(last=False)


def _estimate_keys(work: Work) -> Iterator[tuple[object, ...]]:
    size_band = work.size_bytes.bit_length() // SIZE_BITS_PER_BAND
    service_class = work.service_class.value
    yield (work.customer, service_class, size_band)
    yield (service_class, size_band)
