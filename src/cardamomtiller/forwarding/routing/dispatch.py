"""Sends deliveries through the queue of the instance's link, and reports its state."""

from collections.abc import Iterable, Iterator

from cardamomtiller.forwarding.link.control import ControlReserve
from cardamomtiller.forwarding.link.egress import EgressQueue, PutResult
from cardamomtiller.forwarding.link.evidence import LinkEvidence
from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.link.rate import LinkRate
from cardamomtiller.forwarding.routing.forwarder import Delivery
from cardamomtiller.forwarding.telemetry.reporting import Reporter

# Counters of the bytes of control messages, which are sent past the queue.
CONTROL_COUNTERS = ('announcement_bytes', 'load_report_bytes', 'peer_reply_bytes')
BUSY_LOG_INTERVAL_MS = 1000.0
# Change of the rate, as a share of the one logged before, from which it is logged.
LOGGED_RATE_CHANGE = 0.1


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
        self._control = ControlReserve(rate, options.egress.credit.control_share)
        self._logged_bytes_per_ms = rate.bytes_per_ms
        self._next_busy_log_ms: float = 0
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
        """Forget packets that were sent long ago, and report the state of the link."""
        self._egress.expire(now_ms)
        meters = self._reporter.meters
        control_bytes = sum(meters.counters[name] for name in CONTROL_COUNTERS)
        excess_bytes = self._control.record_total(control_bytes, now_ms)
        self._egress.charge(excess_bytes, now_ms)
        meters.set_gauge('link_control_bytes_per_s', self._control.bytes_per_s)
        self._log_changes(now_ms)
        meters.set_gauge('link_backlog_ms', self._egress.backlog_ms(now_ms))
        meters.set_gauge('link_bytes_per_ms', self._rate.bytes_per_ms)

    def _put(self, delivery: Delivery, now_ms: float) -> None:
        result = self._egress.put(delivery, now_ms)
        if result is not PutResult.READY:
            self._reporter.meters.count(f'link_{result.value}')
            self._evidence.record_backlog(self._egress.backlog_ms(now_ms), now_ms)
            self._evidence.record_loss(self._rate.lowered_ms)

    def _log_changes(self, now_ms: float) -> None:
        current = self._rate.bytes_per_ms
        change = abs(current - self._logged_bytes_per_ms)
        if change > LOGGED_RATE_CHANGE * self._logged_bytes_per_ms:
            self._reporter.link_rate_changed(self._logged_bytes_per_ms, current, now_ms)
            self._logged_bytes_per_ms = current
        if self._evidence.is_busy(now_ms) and now_ms >= self._next_busy_log_ms:
            self._next_busy_log_ms = now_ms + BUSY_LOG_INTERVAL_MS
            self._reporter.link_busy(
                self._egress.backlog_ms(now_ms),
                self._egress.queued_bytes,
                self._egress.queued_flows,
                current,
                now_ms,
            )
