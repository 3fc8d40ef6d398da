"""Ways to place flows that ``tools.evenness_replay`` compares with those in use."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from random import Random

from cardamomtiller.forwarding.placement.selection import PlacementOptions
from cardamomtiller.forwarding.placement.staleload import SpreadOptions
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.forwarding.routing.options import DEFAULT_PLACEMENT, DEFAULT_SPREAD
from cardamomtiller.ids import MS_PER_S
from tools.evenness_model import Instance, LeastCost, Policy, Shares

# Requests that an upstream can take for each slot, as in the concurrency limit.
REQUESTS_PER_SLOT = 3.0
ANSWER_DECAY_S = 5.0


class FullWeight(LeastCost):
    """Reported load has the weight of the own load."""

    options = DEFAULT_PLACEMENT._replace(others_busy_weight=1.0, spread=None)


class NoReports(LeastCost):
    """Reported load has no weight; own requests and latencies decide."""

    options = DEFAULT_PLACEMENT._replace(others_busy_weight=0.0, spread=None)


def _changed(**changes: float) -> PlacementOptions:
    spread: SpreadOptions = DEFAULT_SPREAD._replace(**changes)  # type: ignore[arg-type]
    return DEFAULT_PLACEMENT._replace(spread=spread)


class SharesWithoutCorrection(Shares):
    """Shares by the own latencies alone."""

    options = _changed(correction_gain=0.0)


class SharesWithoutSubset(Shares):
    """Shares of all upstreams of the pool."""

    options = _changed(subset_size=100_000)


class SubsetOnly(Shares):
    """Shares of the preferred upstreams alone."""

    options = _changed(rotating=0)


class ByLoad(Policy):
    """Draw by the reported load of the upstreams of the own failure domain."""

    def __init__(self, instance: Instance) -> None:
        """Start without any placement."""
        super().__init__(instance)
        self.random = Random(instance.number)

    def choose(
        self, pool: Sequence[Upstream], flow_hash: int, now_ms: float
    ) -> Upstream:
        """Draw an upstream."""
        loads, domain = self.instance.loads, self.instance.locality.domain
        busy = {
            upstream: loads.get_or_create(upstream.token).others_busy
            + loads.get_or_create(upstream.token).in_progress
            for upstream in pool
            if upstream.entry.domain == domain
        }
        weights = self.weights(busy, now_ms)
        return self.random.choices(list(weights), list(weights.values()))[0]

    def weights(
        self, busy: Mapping[Upstream, float], now_ms: float
    ) -> Mapping[Upstream, float]:
        """Return weights in proportion to the remaining capacity."""
        return {
            upstream: max(0.01, REQUESTS_PER_SLOT * upstream.entry.slots - load)
            for upstream, load in busy.items()
        }


class ByAge(ByLoad):
    """
    Fill up the least loaded upstreams with what has arrived since the report.

    Basic load interpretation (Dahlin, 1999). The arrivals of the failure domain follow
    from the answers that the reports count.
    """

    def weights(
        self, busy: Mapping[Upstream, float], now_ms: float
    ) -> Mapping[Upstream, float]:
        """Return what each upstream lacks to the level that the arrivals reach."""
        loads = self.instance.loads
        age_s = (now_ms - (loads.others_reported_ms or 0)) / MS_PER_S
        rows = [loads.get_or_create(upstream.token) for upstream in busy]
        answers = sum(load.answers + load.others_answers for load in rows)
        arrivals = 1 + answers / ANSWER_DECAY_S * age_s
        level = 0.0
        filled = 0.0
        for count, load in enumerate(sorted(busy.values()), 1):
            filled += load
            if load >= (arrivals + filled) / count:
                break
            level = (arrivals + filled) / count
        return {
            upstream: max(0.0, level - load) or 1e-9 for upstream, load in busy.items()
        }


class OwnPlacements(ByLoad):
    """Least reported load, plus the own placements since the report."""

    def __init__(self, instance: Instance) -> None:
        """Start without any placement."""
        super().__init__(instance)
        self.placed: dict[Upstream, int] = defaultdict(int)
        self.reported_ms: float | None = None

    def choose(
        self, pool: Sequence[Upstream], flow_hash: int, now_ms: float
    ) -> Upstream:
        """Choose an upstream and count the placement."""
        if self.reported_ms != self.instance.loads.others_reported_ms:
            self.reported_ms = self.instance.loads.others_reported_ms
            self.placed.clear()
        chosen = super().choose(pool, flow_hash, now_ms)
        self.placed[chosen] += 1
        return chosen

    def weights(
        self, busy: Mapping[Upstream, float], now_ms: float
    ) -> Mapping[Upstream, float]:
        """Return the least loaded upstream alone."""
        least = min(
            busy,
            key=lambda upstream: (
                (busy[upstream] + self.placed[upstream]) / upstream.entry.slots
            ),
        )
        return {least: 1.0}


class IdleFirst(ByLoad):
    """Any upstream with less than one reported request for each slot."""

    def weights(
        self, busy: Mapping[Upstream, float], now_ms: float
    ) -> Mapping[Upstream, float]:
        """Return equal weights of those that are idle, or of all if none is."""
        idle = {
            upstream: 1.0
            for upstream, load in busy.items()
            if load < upstream.entry.slots
        }
        return idle or dict.fromkeys(busy, 1.0)


WEIGHED: dict[str, type[Policy]] = {
    'full weight': FullWeight,
    'no reports': NoReports,
    'by age': ByAge,
    'own placements': OwnPlacements,
    'remaining capacity': ByLoad,
    'idle first': IdleFirst,
    'latency shares': SharesWithoutCorrection,
    'shares, whole pool': SharesWithoutSubset,
    'shares, subset only': SubsetOnly,
}
