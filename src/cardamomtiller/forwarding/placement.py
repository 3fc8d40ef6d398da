"""Choice of the upstream for a new flow.

The load this answers: the crest of a demand swing, when random choices fill the
queue of one upstream while slots of others are free, and the seconds after an
upstream fails, when new flows must not go to it.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.load import LoadBook, SilenceOptions, UpstreamLoad
from cardamomtiller.forwarding.upstreams import Upstream, UpstreamState
from cardamomtiller.ids import DomainName, UpstreamId

MIX_MULTIPLIER = 0x9E3779B1
MIX_MASK = 0xFFFFFFFF


class PlacementOptions(NamedTuple):
    """
    Costs in units of one busy slot of the upstream.

    Attributes
    ----------
    idle_flow
        Of an open flow with no request in progress.
    remote
        Of an upstream in another failure domain.
    cold
        Of an upstream that has just started and is still slow.
    missing
        Of an upstream whose entry has just disappeared.
    silent
        Of an upstream that does not answer.
    """

    idle_flow: float
    remote: float
    cold: float
    missing: float
    silent: float
    silence: SilenceOptions


class Choice(NamedTuple):
    """A chosen upstream, and what it was chosen by."""

    upstream: Upstream
    cost: float
    in_progress: int
    open_flows: int
    candidates: int


def choose(
    pool: Iterable[Upstream],
    loads: LoadBook,
    domain: DomainName,
    options: PlacementOptions,
    hashed: int,
    now_ms: float,
    excluded: UpstreamId | None = None,
) -> Choice | None:
    """
    Choose the upstream with the least cost.

    Parameters
    ----------
    pool
        Upstreams that may get the flow.
    loads
        Estimated load.
    domain
        Failure domain of this instance.
    options
        Costs.
    hashed
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
    others = [one for one in candidates if one.entry.upstream != excluded]
    ranked = _rank(others or candidates, loads, domain, options, hashed, now_ms)
    best = min(ranked, default=None, key=lambda row: row[:2])
    if best is None:
        return None
    cost, _, upstream, load = best
    load.tried_ms = now_ms
    return Choice(upstream, cost, load.in_progress, load.open_flows, len(candidates))


def _rank(
    pool: Iterable[Upstream],
    loads: LoadBook,
    domain: DomainName,
    options: PlacementOptions,
    hashed: int,
    now_ms: float,
) -> Iterator[tuple[float, int, Upstream, UpstreamLoad]]:
    for upstream in pool:
        load = loads.of(upstream)
        cost = cost_of(upstream, load, domain, options, now_ms)
        # Instances that know the same spread their flows over equal upstreams.
        order = (hashed ^ upstream.token) * MIX_MULTIPLIER & MIX_MASK
        yield cost, order, upstream, load


def cost_of(
    upstream: Upstream,
    load: UpstreamLoad,
    domain: DomainName,
    options: PlacementOptions,
    now_ms: float,
) -> float:
    """Return the cost of placing one more flow on an upstream."""
    idle_flows = max(0, load.open_flows - load.in_progress)
    busy = load.in_progress + options.idle_flow * idle_flows
    cost = busy / upstream.entry.slots
    if upstream.entry.domain != domain:
        cost += options.remote
    if now_ms < upstream.warm_ms:
        cost += options.cold
    if upstream.state is UpstreamState.MISSING:
        cost += options.missing
    if load.is_silent(options.silence):
        if now_ms - load.tried_ms < options.silence.retry_ms:
            cost += options.silent
    return cost
