"""Choice of the upstream for a new flow.

The load this answers: the peak of a demand swing, when random choices fill the
queue of one upstream while slots of others are free, and the seconds after an
upstream fails, when new flows must not go to it.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import cycle, islice
from typing import NamedTuple

from cardamomtiller.forwarding.load import LoadTable, SilenceOptions, UpstreamLoad
from cardamomtiller.forwarding.locality import Distance, Locality
from cardamomtiller.forwarding.reachability import PathState, Reachability
from cardamomtiller.forwarding.upstreams import Upstream, UpstreamState
from cardamomtiller.ids import DomainName, UpstreamId

MIX_MULTIPLIER = 0x9E3779B1
MIX_MASK = 0xFFFFFFFF
HASH_SHIFT = 16
MIN_LATENCY_MS = 1.0
MAX_LATENCY_RATIO = 10.0


class PlacementOptions(NamedTuple):
    """
    Weights of the choice, most of them as a share of the slots of an upstream.

    Attributes
    ----------
    idle_flow_weight
        Load of an open flow with no request in progress, in requests.
    others_busy_weight
        Weight of a request of another instance. Reports are older than the own
        counts; with the full weight, all instances would choose the same upstream
        until the next reports.
    latency_weight
        Of a mean latency that is twice the least one of the pool.
    unanswered_weight
        Of a request that the upstream has lately left unanswered for long.
    same_region_cost
        Of an upstream in another failure domain of the region.
    other_region_cost
        Of an upstream in another region.
    slow_start_cost
        Of an upstream that has just started and is still slow.
    missing_entry_cost
        Of an upstream whose entry has just disappeared.
    max_candidates
        Upstreams of a large pool that a flow chooses between.
    silent_cost
        Of an upstream that does not answer, or that cannot be reached.
    """

    idle_flow_weight: float
    others_busy_weight: float
    latency_weight: float
    unanswered_weight: float
    same_region_cost: float
    other_region_cost: float
    slow_start_cost: float
    missing_entry_cost: float
    silent_cost: float
    silence: SilenceOptions
    max_candidates: int


class Choice(NamedTuple):
    """A chosen upstream, and what it was chosen by."""

    upstream: Upstream
    cost: float
    in_progress: int
    others_busy: float
    open_flows: int
    candidates: int


def sample_candidates(
    pool: Sequence[Upstream],
    domain: DomainName,
    limit: int,
    flow_hash: int,
) -> list[Upstream]:
    """
    Return the upstreams of a large pool that a flow chooses between.

    Bounds the work of an opening packet. Half of the sample or more is of the own
    failure domain if it has as many; flows start at different places of the pool.
    """
    if len(pool) <= limit:
        return list(pool)
    local = [upstream for upstream in pool if upstream.entry.domain == domain]
    rotated_local = (
        islice(cycle(local), flow_hash % len(local), None) if local else iter(())
    )
    chosen = {
        upstream.token: upstream
        for upstream in islice(rotated_local, min(len(local), limit // 2))
    }
    start = (flow_hash >> HASH_SHIFT) % len(pool)
    for upstream in islice(cycle(pool), start, start + len(pool)):
        if len(chosen) >= limit:
            break
        chosen[upstream.token] = upstream
    return list(chosen.values())


def choose_upstream(
    pool: Iterable[Upstream],
    loads: LoadTable,
    reachability: Reachability,
    locality: Locality,
    options: PlacementOptions,
    flow_hash: int,
    now_ms: float,
    excluded: UpstreamId | None = None,
) -> Choice | None:
    """
    Choose the upstream with the least cost.

    Parameters
    ----------
    pool
        Upstreams that may get the flow.
    loads, reachability
        Estimated load, and what is known of the paths.
    locality
        Place of this instance.
    options
        Weights.
    flow_hash
        Hash of the flow, which orders upstreams of equal cost.
    now_ms
        Present time.
    excluded
        Upstream that has not answered this flow; only used if there is no other.

    Returns
    -------
    Choice or None
        None if the pool is empty.
    """
    candidates = list(pool)
    if not candidates:
        return None
    eligible = _eligible_upstreams(candidates, reachability, excluded)
    lowest_ms = min_latency_ms(
        (loads.get_or_create(upstream.token) for upstream in eligible), now_ms
    )
    ranked = [
        Candidate(
            upstream,
            load,
            base_cost(upstream, load, reachability, locality, options, now_ms)
            + latency_cost(load, lowest_ms, options, now_ms),
        )
        for upstream, load in _with_loads(eligible, loads)
    ]
    best = min(
        ranked, key=lambda candidate: (candidate.cost, _tie_break(candidate, flow_hash))
    )
    load = best.load
    load.last_placed_ms = now_ms
    return Choice(
        best.upstream,
        best.cost,
        load.in_progress,
        load.others_busy,
        load.open_flows,
        len(candidates),
    )


class Candidate(NamedTuple):
    """An upstream with its load and the cost of placing a flow there."""

    upstream: Upstream
    load: UpstreamLoad
    cost: float


def base_cost(
    upstream: Upstream,
    load: UpstreamLoad,
    reachability: Reachability,
    locality: Locality,
    options: PlacementOptions,
    now_ms: float,
) -> float:
    """Return the load of an upstream by slot, with what else speaks against it."""
    idle_flows = max(0, load.open_flows - load.in_progress)
    weighted_load = load.in_progress + options.idle_flow_weight * idle_flows
    weighted_load += options.others_busy_weight * load.others_busy
    weighted_load += options.unanswered_weight * (
        load.unanswered(now_ms) + load.others_unanswered
    )
    cost = weighted_load / upstream.entry.slots
    distance = locality.distance(upstream.entry.domain)
    if distance is Distance.SAME_REGION:
        cost += options.same_region_cost
    elif distance is Distance.OTHER_REGION:
        cost += options.other_region_cost
    if now_ms < upstream.slow_start_ends_ms:
        cost += options.slow_start_cost
    if upstream.state is UpstreamState.MISSING:
        cost += options.missing_entry_cost
    is_reachable = reachability.state(upstream.token) is PathState.REACHABLE
    if not is_reachable or _is_silent(load, options, now_ms):
        cost += options.silent_cost
    return cost


def min_latency_ms(loads: Iterable[UpstreamLoad], now_ms: float) -> float | None:
    """Return the least mean latency of some upstreams, None if none is known."""
    latencies = (load.latency_ms(now_ms) for load in loads)
    return min(
        (known_ms for known_ms in latencies if known_ms is not None), default=None
    )


def latency_cost(
    load: UpstreamLoad,
    lowest_ms: float | None,
    options: PlacementOptions,
    now_ms: float,
) -> float:
    """Return the cost of an upstream that answers later than the fastest one."""
    latency_ms = load.latency_ms(now_ms)
    if lowest_ms is None or latency_ms is None:
        return 0
    ratio = latency_ms / max(lowest_ms, MIN_LATENCY_MS)
    return options.latency_weight * min(max(ratio - 1, 0), MAX_LATENCY_RATIO)


def _eligible_upstreams(
    candidates: list[Upstream],
    reachability: Reachability,
    excluded: UpstreamId | None,
) -> list[Upstream]:
    """Leave out what cannot serve the flow, unless nothing would be left."""
    reachable = [
        upstream
        for upstream in candidates
        if reachability.state(upstream.token) is not PathState.UNREACHABLE
    ]
    not_excluded = [
        upstream for upstream in reachable if upstream.entry.upstream != excluded
    ]
    return not_excluded or reachable or candidates


def _is_silent(load: UpstreamLoad, options: PlacementOptions, now_ms: float) -> bool:
    is_recently_tried = now_ms - load.last_placed_ms < options.silence.retry_ms
    return is_recently_tried and load.is_silent(options.silence)


def _with_loads(
    pool: Iterable[Upstream],
    loads: LoadTable,
) -> Iterator[tuple[Upstream, UpstreamLoad]]:
    for upstream in pool:
        yield upstream, loads.get_or_create(upstream.token)


def _tie_break(candidate: Candidate, flow_hash: int) -> int:
    """Return a number that spreads flows over upstreams of equal cost."""
    return (flow_hash ^ candidate.upstream.token) * MIX_MULTIPLIER & MIX_MASK
