"""Rendering of metrics in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from cardamomtiller.forwarding.telemetry.meters import BUCKET_BOUNDS_MS, Meters

PREFIX = 'cardamomtiller'


class MetersCollector(Collector):
    """Converts the metrics of a process to the types of ``prometheus_client``."""

    def __init__(self, meters: Meters) -> None:
        """Use ``meters`` as the source of all metrics."""
        self._meters = meters

    def collect(self) -> Iterator[Metric]:
        """Iterate over counters, gauges and histograms, each sorted by name."""
        for name, total in sorted(self._meters.counters.items()):
            yield CounterMetricFamily(f'{PREFIX}_{name}', name, value=total)
        for name, level in sorted(self._meters.gauges.items()):
            yield GaugeMetricFamily(f'{PREFIX}_{name}', name, value=level)
        for name, histogram in sorted(self._meters.histograms.items()):
            yield HistogramMetricFamily(
                f'{PREFIX}_{name}',
                name,
                buckets=list(_cumulative(histogram.buckets)),
                sum_value=histogram.total_ms,
            )


def render(meters: Meters) -> tuple[str, bytes]:
    """Return the media type and the text of all metrics."""
    registry = CollectorRegistry()
    registry.register(MetersCollector(meters))
    return CONTENT_TYPE_LATEST, generate_latest(registry)


def _cumulative(buckets: list[int]) -> Iterator[tuple[str, float]]:
    total = 0
    bounds = [str(float(bound)) for bound in BUCKET_BOUNDS_MS]
    for bound, count in zip([*bounds, '+Inf'], buckets, strict=True):
        total += count
        yield bound, total
