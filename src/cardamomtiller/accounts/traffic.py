"""Measured demand of one customer on one instance."""

from dataclasses import dataclass, field

from cardamomtiller.accounts.allowance import Allowance
from cardamomtiller.identity import MS_PER_S

BIN_MS = 250.0
# Demand is the larger of the last two windows, so that a gap between requests does
# not lower it at once.
WINDOW_BINS = 4
BIN_COUNT = 2 * WINDOW_BINS
# Fewer requests are too few to estimate a rate over less than a window.
MIN_SHORT_RATE_REQUESTS = 8
# The request rate counts as zero if one of the windows has at least
# STOPPED_MIN_REQUESTS requests and the last STOPPED_BINS bins are empty.
STOPPED_MIN_REQUESTS = 16
STOPPED_BINS = 3


@dataclass(slots=True)
class _Bin:
    """Counts of one ``BIN_MS`` interval; amounts in use are at their peak."""

    offered_requests: int = 0
    requests: int = 0
    flows: int = 0
    bytes_in_flight: int = 0
    refused_requests: int = 0
    refused_flows: int = 0
    refused_bytes: int = 0

    def peaks(self) -> tuple[int, int, int]:
        """Return peak requests, flows and bytes, refused ones included."""
        return (
            self.requests + self.refused_requests,
            self.flows + self.refused_flows,
            self.bytes_in_flight + self.refused_bytes,
        )


@dataclass(slots=True)
class Traffic:
    """Amounts in use, and demand over the last windows, refusals included."""

    begin_ms: float
    requests: int = 0
    flows: int = 0
    bytes_in_flight: int = 0
    bins: list[_Bin] = field(default_factory=lambda: [_Bin()])

    def advance(self, now_ms: float) -> _Bin:
        """Append bins for the elapsed time and return the current one."""
        elapsed_bins = int((now_ms - self.begin_ms) / BIN_MS)
        if elapsed_bins > 0:
            self.begin_ms += elapsed_bins * BIN_MS
            for _ in range(min(elapsed_bins, BIN_COUNT)):
                self.bins.append(
                    _Bin(0, self.requests, self.flows, self.bytes_in_flight)
                )
            del self.bins[:-BIN_COUNT]
        return self.bins[-1]

    def offer_request(self, now_ms: float) -> None:
        """Count a request before it is admitted or refused."""
        if now_ms - self.begin_ms >= BIN_MS:
            self.advance(now_ms)
        self.bins[-1].offered_requests += 1

    def admit_request(self, bytes_count: int) -> None:
        """Count an admitted request as in use."""
        self.requests += 1
        self.bytes_in_flight += bytes_count
        current = self.bins[-1]
        if self.requests > current.requests:
            current.requests = self.requests
        if self.bytes_in_flight > current.bytes_in_flight:
            current.bytes_in_flight = self.bytes_in_flight

    def refuse_request(self, bytes_count: int) -> None:
        """Count a request that was refused by the limit of requests or bytes."""
        current = self.bins[-1]
        current.refused_requests += 1
        current.refused_bytes += bytes_count

    def admit_flow(self, now_ms: float) -> None:
        """Count an admitted flow as open."""
        current = self.advance(now_ms)
        self.flows += 1
        current.flows = max(current.flows, self.flows)

    def refuse_flow(self, now_ms: float) -> None:
        """Count a refused flow."""
        self.advance(now_ms).refused_flows += 1

    def demand(self, now_ms: float) -> Allowance:
        """Return the current demand, refusals included."""
        self.advance(now_ms)
        peaks = zip(
            *(bin_counts.peaks() for bin_counts in self.bins[-WINDOW_BINS:]),
            strict=True,
        )
        return Allowance(self._rate_per_s(now_ms), *(max(levels) for levels in peaks))

    def usage(self) -> Allowance:
        """Return the amounts in use; the rate is zero."""
        return Allowance(0, self.requests, self.flows, self.bytes_in_flight)

    def is_idle(self) -> bool:
        """Return whether nothing is in use and the bins contain no demand."""
        if self.requests or self.flows or self.bytes_in_flight:
            return False
        return not any(
            bin_counts.offered_requests or any(bin_counts.peaks())
            for bin_counts in self.bins
        )

    def _rate_per_s(self, now_ms: float) -> float:
        counts = [bin_counts.offered_requests for bin_counts in self.bins]
        window_s = WINDOW_BINS * BIN_MS / MS_PER_S
        windows = (sum(counts[-WINDOW_BINS:]), sum(counts[:-WINDOW_BINS]))
        if max(windows) >= STOPPED_MIN_REQUESTS and not any(counts[-STOPPED_BINS:]):
            return 0
        rate_per_s = max(windows) / window_s
        recent = sum(counts[-2:])
        if recent < MIN_SHORT_RATE_REQUESTS:
            return rate_per_s
        recent_ms = now_ms - self.begin_ms + (BIN_MS if len(counts) > 1 else 0)
        return max(rate_per_s, recent * MS_PER_S / max(recent_ms, BIN_MS))
