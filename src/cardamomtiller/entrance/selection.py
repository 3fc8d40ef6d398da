"""Select an upstream for a new flow."""

import hashlib
import math
import statistics
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cardamomtiller.identity import FlowId, OperatorState, Outcome, UpstreamId
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.settings_pb2 import SelectionSettings
from cardamomtiller.wire_pb2 import UpstreamLoad

CANDIDATES = 2
# Load reports over which the requests in progress are averaged. A single report is
# mostly noise, because it states how many of two or three slots are in use at one
# moment. In pools of seven, a slow upstream had up to 1.23 times the mean requests
# per slot with an average over 20 reports, and up to 1.13 times with 60.
REPORTS_AVERAGED = 60
# Lower bound of the mean requests per slot that scores are relative to. Below it,
# differences between upstreams are irrelevant.
MIN_TYPICAL_REQUESTS_PER_SLOT = 0.2
# Weight of requests in progress relative to open flows; both are normalized to the
# pool. With 1.05, the unevenness of open flows in a pool of three equal upstreams
# reached 1.07.
REQUEST_WEIGHT = 1
# Decay time of this instance's own picks, which load reports do not contain yet;
# about the age of a typical report.
PICK_DECAY_MS = 1500
OBSERVATIONS_AVERAGED = 10
OBSERVATIONS_NEEDED = 5
# An upstream is an outlier if its failure share exceeds the median of the pool by
# OUTLYING_FAILURE_SHARE, or its latency exceeds the median by this factor.
OUTLYING_FAILURE_SHARE = 0.3
OUTLYING_LATENCY_FACTOR = 5
MIN_OUTLYING_LATENCY_MS = 50
MAX_EJECTION_FACTOR = 16
# Load penalty at a failure share of 1, for an outlier that is not ejected because
# too many upstreams are.
FAILURE_PENALTY = 9
# Decay time of the failure share. Without decay, an upstream that gets no flows
# would keep its failure share, because it has no new observations.
FAILURE_DECAY_MS = 10_000
UNHEALTHY_PENALTY = 3
MIN_RAMP_SHARE = 0.1
TYPICAL_REFRESH_MS = 100

DIGEST_BYTES = 32
WORD_BYTES = 8
WORD_RANGE = 1 << 64


@dataclass(frozen=True, slots=True)
class SelectionOptions:
    """Options of ejection and slow start."""

    largest_ejected_share: float
    ramp_ms: float
    ejection_ms: float

    @classmethod
    def from_settings(cls, settings: SelectionSettings) -> 'SelectionOptions':
        """Return the options from validated settings."""
        return cls(
            largest_ejected_share=settings.largest_ejected_share,
            ramp_ms=settings.ramp_ms,
            ejection_ms=settings.ejection_ms,
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an upstream, reported by the instance that owns it."""

    open_flows: int
    queued_requests: int
    running_requests: int
    slots: int
    is_healthy: bool

    @classmethod
    def from_message(cls, message: UpstreamLoad) -> 'Load':
        """Convert the message of a load report."""
        return cls(
            open_flows=message.open_flows,
            queued_requests=message.queued_requests,
            running_requests=message.running_requests,
            slots=message.slots,
            is_healthy=message.is_healthy,
        )


class _UpstreamState:
    """Reported load and observed outcomes of one upstream."""

    def __init__(self, row: UpstreamRow, now_ms: float) -> None:
        self.row = row
        self.load: Load | None = None
        self.reports = 0
        # Moving average of the queued and running requests per slot.
        self.requests_per_slot: float = 0
        self.failure_share: float = 0
        self.latency_ms: float = 0
        self.observations = 0
        self.observed_ms = now_ms
        self.ramp_from_ms: float = -math.inf
        self.ejected_until_ms: float = -math.inf
        self.is_ejected = False
        self.ejections = 0
        self._picks: float = 0
        self._picked_ms = now_ms

    def count_pick(self, now_ms: float) -> None:
        self._picks = self.recent_picks(now_ms) + 1
        self._picked_ms = now_ms

    def recent_picks(self, now_ms: float) -> float:
        elapsed_ms = max(0, now_ms - self._picked_ms)
        return self._picks * math.exp(-elapsed_ms / PICK_DECAY_MS)

    def observe(self, latency_ms: float, now_ms: float, *, is_failure: bool) -> None:
        self.observed_ms = now_ms
        self.observations += 1
        weight = 1 / min(self.observations, OBSERVATIONS_AVERAGED)
        self.failure_share += (is_failure - self.failure_share) * weight
        if not is_failure:
            self.latency_ms += (latency_ms - self.latency_ms) * weight

    def add_report(self, load: Load) -> None:
        self.load = load
        self.reports += 1
        weight = 1 / min(self.reports, REPORTS_AVERAGED)
        requests = load.queued_requests + load.running_requests
        self.requests_per_slot += (
            requests / self.slots() - self.requests_per_slot
        ) * weight

    def slots(self) -> int:
        reported = self.load.slots if self.load else 0
        return max(1, reported or self.row.slots)

    def flows(self, now_ms: float) -> float | None:
        """Return the estimated open flows per slot, or None before a report."""
        if self.load is None:
            return None
        return (self.load.open_flows + self.recent_picks(now_ms)) / self.slots()

    def has_observations(self) -> bool:
        return self.observations >= OBSERVATIONS_NEEDED

    def eject(self, ejection_ms: float, now_ms: float) -> None:
        factor = min(2**self.ejections, MAX_EJECTION_FACTOR)
        if now_ms - self.ejected_until_ms > ejection_ms * MAX_EJECTION_FACTOR:
            factor = 1
            self.ejections = 0
        self.ejections += 1
        self.is_ejected = True
        self.ejected_until_ms = now_ms + ejection_ms * factor

    def readmit(self, now_ms: float) -> None:
        self.is_ejected = False
        self.failure_share = 0
        self.latency_ms = 0
        self.observations = 0
        self.observed_ms = now_ms
        self.ramp_from_ms = now_ms

    def penalty(self, now_ms: float) -> float:
        """Return the factor that failures apply to the load score."""
        if self.has_observations():
            elapsed_ms = max(0, now_ms - self.observed_ms)
            decay = math.exp(-elapsed_ms / FAILURE_DECAY_MS)
            return 1 + FAILURE_PENALTY * self.failure_share * decay
        # The reported health is used until this instance has enough observations.
        is_healthy = self.load is None or self.load.is_healthy
        return 1 if is_healthy else 1 + UNHEALTHY_PENALTY


class Selection:
    """
    Select an upstream of one service for each new flow.

    The hash of the flow id determines two candidates, and the one with the lower
    load is selected. With few random candidates, instances that use the same
    outdated load reports do not all select the same upstream.
    """

    def __init__(self, options: SelectionOptions, candidates: int = CANDIDATES) -> None:
        """
        Create a selection with an empty pool.

        Parameters
        ----------
        options
            Options of ejection and slow start.
        candidates
            Number of upstreams that are compared for each flow.
        """
        self._options = options
        self._candidates = candidates
        self._upstreams: dict[UpstreamId, _UpstreamState] = {}
        self._eligible: tuple[_UpstreamState, ...] = ()
        self._typical_flows: float = 0
        self._typical_requests_per_slot: float = 0
        self._typical_failure_share: float = 0
        self._typical_latency_ms: float = 0
        self._typical_until_ms: float = -math.inf
        self._readmit_at_ms: float = math.inf

    def choose(
        self,
        flow: FlowId,
        exclude: frozenset[UpstreamId],
        now_ms: float,
    ) -> UpstreamId | None:
        """Return the upstream for a new flow, or None if none is available."""
        self._readmit(now_ms)
        self._refresh_typical(now_ms)
        pool: Sequence[_UpstreamState] = self._eligible
        if exclude:
            pool = [item for item in pool if item.row.name not in exclude]
            pool = pool or self._ejected_except(exclude)
        if not pool:
            return None
        words = _hash_words(flow)
        candidates = _draw_candidates(pool, self._candidates, words)
        candidates.sort(key=lambda item: self._score(item, now_ms))
        chosen = self._pick_by_ramp(candidates, words, now_ms)
        chosen.count_pick(now_ms)
        return chosen.row.name

    def observe(
        self,
        upstream: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Record the outcome of a request; eject the upstream if it is an outlier."""
        item = self._upstreams.get(upstream)
        if item is None or outcome is Outcome.CANCELLED:
            return
        is_failure = outcome is not Outcome.DONE
        item.observe(latency_ms, now_ms, is_failure=is_failure)
        self._refresh_typical(now_ms)
        if not item.is_ejected and self._is_outlier(item) and self._may_eject():
            item.eject(self._options.ejection_ms, now_ms)
            self._update_eligible()

    def report_load(self, upstream: UpstreamId, load: Load, now_ms: float) -> None:
        """Record a load report, which may be seconds old."""
        item = self._upstreams.get(upstream)
        if item is not None:
            item.add_report(load)
            self._refresh_typical(now_ms)

    def set_upstreams(self, rows: tuple[UpstreamRow, ...], now_ms: float) -> None:
        """Replace the pool; upstreams that remain keep their load and observations."""
        is_initial = not self._upstreams
        previous = self._upstreams
        self._upstreams = {}
        for row in rows:
            item = previous.get(row.name) or _UpstreamState(row, now_ms)
            was_leaving = item.row.state is OperatorState.LEAVING
            is_new = row.name not in previous and not is_initial
            is_joining = row.name not in previous and row.state is OperatorState.JOINING
            if is_new or is_joining or (was_leaving and row.state != item.row.state):
                item.ramp_from_ms = now_ms
            item.row = row
            self._upstreams[row.name] = item
        self._typical_until_ms = -math.inf
        self._enforce_cap(now_ms)
        self._update_eligible()

    def ejected(self, now_ms: float) -> frozenset[UpstreamId]:
        """Return the upstreams that are currently ejected."""
        self._readmit(now_ms)
        return frozenset(item.row.name for item in self._ejected_items())

    def _score(self, item: _UpstreamState, now_ms: float) -> float:
        """Return the load relative to the mean of the pool, which is 1."""
        flows = item.flows(now_ms)
        if flows is None:
            flows = self._typical_flows + item.recent_picks(now_ms) / item.slots()
        flow_score = flows / max(self._typical_flows, 1)
        request_score = item.requests_per_slot / max(
            self._typical_requests_per_slot, MIN_TYPICAL_REQUESTS_PER_SLOT
        )
        return max(flow_score, REQUEST_WEIGHT * request_score) * item.penalty(now_ms)

    def _pick_by_ramp(
        self,
        candidates: Sequence[_UpstreamState],
        words: Sequence[int],
        now_ms: float,
    ) -> _UpstreamState:
        for index, item in enumerate(candidates):
            # Hash words from the end are independent of those that determine the
            # candidates.
            word = words[-1 - index % len(words)]
            if self._ramp_share(item, now_ms) * WORD_RANGE > word:
                return item
        return candidates[0]

    def _ramp_share(self, item: _UpstreamState, now_ms: float) -> float:
        if now_ms - item.ramp_from_ms >= self._options.ramp_ms:
            return 1
        elapsed_share = (now_ms - item.ramp_from_ms) / self._options.ramp_ms
        return max(MIN_RAMP_SHARE, elapsed_share)

    def _readmit(self, now_ms: float) -> None:
        if now_ms < self._readmit_at_ms:
            return
        for item in self._ejected_items():
            if now_ms >= item.ejected_until_ms:
                item.readmit(now_ms)
        self._update_eligible()

    def _ejected_items(self) -> Iterator[_UpstreamState]:
        return (item for item in self._upstreams.values() if item.is_ejected)

    def _ejected_except(self, exclude: frozenset[UpstreamId]) -> list[_UpstreamState]:
        # A retry may use an ejected upstream if no other one is left.
        return [
            item
            for item in self._ejected_items()
            if item.row.name not in exclude
            and item.row.state is not OperatorState.LEAVING
        ]

    def _update_eligible(self) -> None:
        self._eligible = tuple(
            item
            for item in self._upstreams.values()
            if not item.is_ejected and item.row.state is not OperatorState.LEAVING
        )
        times = [item.ejected_until_ms for item in self._ejected_items()]
        self._readmit_at_ms = min(times, default=math.inf)

    def _may_eject(self) -> bool:
        count = sum(1 for _ in self._ejected_items())
        return count < self._ejection_cap() and len(self._eligible) > 1

    def _ejection_cap(self) -> int:
        return int(self._options.largest_ejected_share * self._serving_count())

    def _serving_count(self) -> int:
        return sum(
            1
            for item in self._upstreams.values()
            if item.row.state is not OperatorState.LEAVING
        )

    def _enforce_cap(self, now_ms: float) -> None:
        # After the pool has shrunk, too many upstreams may be ejected.
        items = sorted(self._ejected_items(), key=lambda item: item.ejected_until_ms)
        for item in items[: max(0, len(items) - self._ejection_cap())]:
            item.readmit(now_ms)

    def _is_outlier(self, item: _UpstreamState) -> bool:
        if not item.has_observations():
            return False
        excess = item.failure_share - self._typical_failure_share
        if excess > OUTLYING_FAILURE_SHARE:
            return True
        limit_ms = OUTLYING_LATENCY_FACTOR * self._typical_latency_ms
        return item.latency_ms > max(limit_ms, MIN_OUTLYING_LATENCY_MS)

    def _refresh_typical(self, now_ms: float) -> None:
        if now_ms < self._typical_until_ms:
            return
        self._typical_until_ms = now_ms + TYPICAL_REFRESH_MS
        items = self._upstreams.values()
        observed = [item for item in items if item.has_observations()]
        self._typical_failure_share = _median([item.failure_share for item in observed])
        self._typical_latency_ms = _median([item.latency_ms for item in observed])
        reported = [item for item in items if item.load is not None]
        self._typical_flows = _mean([item.flows(now_ms) or 0 for item in reported])
        self._typical_requests_per_slot = _mean(
            [item.requests_per_slot for item in reported]
        )


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0


def _median(values: Sequence[float]) -> float:
    # The low median is that of the better upstream in a pool of two.
    return statistics.median_low(values) if values else 0


def _hash_words(flow: FlowId) -> tuple[int, ...]:
    digest = hashlib.blake2b(flow, digest_size=DIGEST_BYTES).digest()
    return tuple(
        int.from_bytes(digest[start : start + WORD_BYTES], 'big')
        for start in range(0, DIGEST_BYTES, WORD_BYTES)
    )


def _draw_candidates(
    pool: Sequence[_UpstreamState],
    count: int,
    words: Sequence[int],
) -> list[_UpstreamState]:
    """Return distinct upstreams, determined by the words of a hash."""
    if count >= len(pool):
        return list(pool)
    positions: list[int] = []
    for index in range(count):
        position = words[index % len(words)] % (len(pool) - index)
        for earlier in sorted(positions):
            position += position >= earlier
        positions.append(position)
    return [pool[position] for position in positions]
