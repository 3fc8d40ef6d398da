"""Selection of the upstream for a new flow.

Each flow goes to the candidate with the least cost. Random selection is not enough
for two situations: at a demand peak it fills the queue of some upstreams while others
have free slots, and just after an upstream fails it keeps sending flows there.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import cycle, islice
from typing import NamedTuple

from cardamomtiller.forwarding.observation.load import (
    LoadTable,
    SilenceOptions,
    UpstreamLoad,
)
from cardamomtiller.forwarding.observation.reachability import PathState, Reachability
from cardamomtiller.forwarding.placement.locality import Distance, Locality
from cardamomtiller.forwarding.placement.staleload import (
    Candidate,
    SpreadOptions,
    choose_by_share,
    uses_shares,
)
from cardamomtiller.forwarding.published.upstreams import Upstream, UpstreamState
from cardamomtiller.ids import DomainName, UpstreamId

MIX_MULTIPLIER = 0x9E3779B1
MIX_MASK = 0xFFFFFFFF
HASH_SHIFT = 16
MIN_LATENCY_MS = 1.0
MAX_LATENCY_RATIO = 10.0


class PlacementOptions(NamedTuple):
    """
    Weights and costs of the selection.

    The cost of an upstream is its weighted load, in requests, divided by its slots,
    plus the fixed costs that apply to it and the cost of its latency.

    Attributes
    ----------
    idle_flow_weight
        Weight of an open flow that has no request in progress.
    others_busy_weight
        Weight of a request that another instance reports. Reports are older than the
        local counts: with a weight of 1, all instances would select the same upstream
        until the next reports arrive.
    latency_weight
        Cost of a mean latency that is twice the lowest one among the candidates.
    unanswered_weight
        Weight of a recent request that was retransmitted twice without an answer.
    short_answers_cost
        Cost of an upstream that sends only short answers while the others send none.
    same_region_cost
        Cost of an upstream in another failure domain of the same region.
    other_region_cost
        Cost of an upstream in another region.
    slow_start_cost
        Cost of an upstream that is still in its slow-start period.
    missing_entry_cost
        Cost of an upstream whose entry was removed a short time ago.
    silent_cost
        Cost of an upstream that does not respond or is not known to be reachable.
    silence
        Limits above which an upstream counts as silent.
    max_candidates
        Largest number of upstreams that are compared for one flow.
    spread
        Parameters of the shares by which an instance with a small part of the load
        places flows; None to compare costs only.
    """

    idle_flow_weight: float
    others_busy_weight: float
    latency_weight: float
    unanswered_weight: float
    short_answers_cost: float
    same_region_cost: float
    other_region_cost: float
    slow_start_cost: float
    missing_entry_cost: float
    silent_cost: float
    silence: SilenceOptions
    max_candidates: int
    spread: SpreadOptions | None = None


class Choice(NamedTuple):
    """The selected upstream, with the values that are logged with the decision."""

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
    Return at most ``limit`` upstreams of a pool as candidates for a flow.

    This bounds the processor time of an opening packet in a large service. At least
    half of the candidates are in ``domain`` if it has that many upstreams. The hash of
    the flow sets where sampling starts, so that flows spread over the whole pool.
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
    Select the upstream with the least cost.

    Parameters
    ----------
    pool
        Upstreams that accept new flows of the service.
    loads
        Load estimate of each upstream.
    reachability
        State of the path to each upstream.
    locality
        Failure domain and region of this instance.
    options
        Weights and costs.
    flow_hash
        Hash of the flow, which breaks ties between upstreams of equal cost.
    now_ms
        Current time.
    excluded
        Upstream that did not answer an earlier copy of the opening packet; selected
        only if no other upstream is eligible.

    Returns
    -------
    Choice or None
        None if the pool is empty.
    """
    candidates = list(pool)
    if not candidates:
        return None
    eligible = _eligible_upstreams(candidates, reachability, excluded)
    ranked = [
        Candidate(
            upstream,
            load,
            base_cost(upstream, load, reachability, locality, options, now_ms),
        )
        for upstream, load in _with_loads(eligible, loads)
    ]
    spread = options.spread
    if spread is not None and uses_shares(loads, spread):
        best = choose_by_share(ranked, loads, spread, flow_hash, now_ms)
    else:
        best = _least_cost(ranked, options, flow_hash, now_ms)
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


def base_cost(
    upstream: Upstream,
    load: UpstreamLoad,
    reachability: Reachability,
    locality: Locality,
    options: PlacementOptions,
    now_ms: float,
) -> float:
    """Return the load per slot plus the fixed costs that apply, without latency."""
    idle_flows = max(0, load.open_flows - load.in_progress)
    weighted_load = load.in_progress + options.idle_flow_weight * idle_flows
    weighted_load += options.others_busy_weight * load.others_busy
    weighted_load += options.unanswered_weight * (
        load.unanswered(now_ms) + load.others_unanswered
    )
    cost = weighted_load / upstream.entry.slots
    cost += options.short_answers_cost * load.short_excess
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
    """Return the lowest recent mean latency, or None if there is no recent one."""
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
    """Return the cost of a latency above the lowest one of the candidates."""
    latency_ms = load.latency_ms(now_ms)
    if lowest_ms is None or latency_ms is None:
        return 0
    ratio = latency_ms / max(lowest_ms, MIN_LATENCY_MS)
    return options.latency_weight * min(max(ratio - 1, 0), MAX_LATENCY_RATIO)


def _least_cost(
    ranked: Sequence[Candidate],
    options: PlacementOptions,
    flow_hash: int,
    now_ms: float,
) -> Candidate:
    """Return the candidate with the least cost, including that of its latency."""
    lowest_ms = min_latency_ms((candidate.load for candidate in ranked), now_ms)
    with_latency = (
        candidate._replace(
            cost=candidate.cost
            + latency_cost(candidate.load, lowest_ms, options, now_ms)
        )
        for candidate in ranked
    )
    return min(
        with_latency,
        key=lambda candidate: (candidate.cost, _tie_break(candidate, flow_hash)),
    )


def _eligible_upstreams(
    candidates: list[Upstream],
    reachability: Reachability,
    excluded: UpstreamId | None,
) -> list[Upstream]:
    """
    Return the candidates without unreachable and excluded upstreams.

    Falls back to the excluded upstream, and then to unreachable ones, if there is no
    other candidate.
    """
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
    """Return a pseudo-random rank, so that equal costs do not favour one upstream."""
    return (flow_hash ^ candidate.upstream.token) * MIX_MULTIPLIER & MIX_MASK
