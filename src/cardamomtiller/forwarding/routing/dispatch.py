"""Sends deliveries through the queue of the instance's link, and reports its state."""

from collections.abc import Iterable, Iterator

from cardamomtiller.forwarding.link.egress import EgressQueue, PutResult
from cardamomtiller.forwarding.link.evidence import LinkEvidence
from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.routing.forwarder import Delivery
from cardamomtiller.forwarding.telemetry.reporting import Reporter


class Dispatcher:
    """Queue of the deliveries that wait for the link, with its counters."""

    def __init__(
        self,
        options: LinkOptions,
        rate: LinkRate,
        evidence: LinkEvidence,
        reporter: Reporter,
    ) -> None:
        """Start with an empty queue."""
        self._reporter = reporter
        self._evidence = evidence
        self._rate = rate
        self._egress: EgressQueue[Delivery] = EgressQueue(self._rate, options.egress)

    @property
    def is_waiting(self) -> bool:
        """Whether a delivery waits for the link."""
        return bool(self._egress)

    def send(self, deliveries: Iterable[Delivery], now_ms: float) -> Iterator[Delivery]:
        """Iterate over the deliveries that may be sent now, and queue the others."""
        for delivery in deliveries:
            if self._egress.passes(delivery):
                yield delivery
            else:
                self._put(delivery, now_ms)
        if self._egress:
            yield from self._egress.due(now_ms)

    def due(self, now_ms: float) -> Iterator[Delivery]:
        """Remove and iterate over the deliveries that may be sent now."""
        return self._egress.due(now_ms)

    def drain(self, now_ms: float) -> Iterator[Delivery]:
        """Remove and iterate over all deliveries, before the process stops."""
        return self._egress.drain(now_ms)

    def wait_ms(self, now_ms: float) -> float | None:
        """Return the time until the next delivery is due, None if none waits."""
        due_ms = self._egress.next_due_ms(now_ms)
        return None if due_ms is None else max(0, due_ms - now_ms)

    def sweep(self, now_ms: float) -> None:
        """Forget packets that were sent long ago, and update the gauges."""
        self._egress.expire(now_ms)
        meters = self._reporter.meters
        meters.set_gauge('link_backlog_ms', self._egress.backlog_ms(now_ms))
        meters.set_gauge('link_bytes_per_ms', self._rate.bytes_per_ms)

    def _put(self, delivery: Delivery, now_ms: float) -> None:
        result = self._egress.put(delivery, now_ms)
        if result is not PutResult.READY:
            self._reporter.meters.count(f'link_{result.value}')
            self._evidence.record_backlog(self._egress.backlog_ms(now_ms), now_ms)
            self._evidence.record_loss(self._rate.lowered_ms)
