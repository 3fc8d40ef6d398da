"""Upstreams that an instance prefers in a large service.

An instance that spreads few flows over many upstreams cannot spread them evenly, and
compares more upstreams for each flow than its processor time allows. The preferred
upstreams are the first ones by rendezvous hashing (Thaler and Ravishankar, 1998) of the
instance and the upstream, those of the own failure domain before all others: an upstream
that comes or goes changes at most one of them, and other instances do not matter.
"""

from collections.abc import Sequence
from typing import NamedTuple
from zlib import crc32

from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.observation.reachability import Reachability
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.placement.selection import (
    PlacementOptions,
    base_cost,
    sample_candidates,
)
from cardamomtiller.forwarding.placement.staleload import (
    SpreadOptions,
    mix,
    uses_shares,
)
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.ids import InstanceId, ServiceName


class PreferredUpstreams(NamedTuple):
    """
    Preferred upstreams of a service.

    Attributes
    ----------
    pool
        All upstreams of the service.
    preferred
        Those that this instance prefers.
    others
        Those that it tries in turn: the rest of its failure domain, or of the pool if
        that has none.
    """

    pool: Sequence[Upstream]
    preferred: list[Upstream]
    others: list[Upstream]


class CandidateSource:
    """
    Candidates of an instance for each flow.

    Keeps the preferred upstreams of each service until its pool changes.
    """

    def __init__(self, locality: Locality, options: PlacementOptions) -> None:
        """Start without any service."""
        self._locality = locality
        self._options = options
        self._by_service: dict[ServiceName, PreferredUpstreams] = {}

    def select(
        self,
        pool: Sequence[Upstream],
        loads: LoadTable,
        reachability: Reachability,
        flow_hash: int,
        now_ms: float,
    ) -> list[Upstream]:
        """
        Return the upstreams to compare for a flow.

        Parameters
        ----------
        pool
            All upstreams of a service; the same object as long as nothing changes.
        loads, reachability
            What this instance knows of them. If all preferred ones are busy or may be
            unreachable, the candidates are from the whole pool.
        flow_hash
            Hash of the flow.
        now_ms
            Current time.
        """
        options = self._options
        spread = options.spread
        if spread is not None and uses_shares(loads, spread):
            preferred = self._preferred(pool, spread, flow_hash)
            for upstream in preferred:
                load = loads.get_or_create(upstream.token)
                cost = base_cost(
                    upstream, load, reachability, self._locality, options, now_ms
                )
                if cost < spread.spill_cost:
                    return preferred
        return sample_candidates(
            pool, self._locality.domain, options.max_candidates, flow_hash
        )

    def _preferred(
        self, pool: Sequence[Upstream], spread: SpreadOptions, flow_hash: int
    ) -> list[Upstream]:
        """Return the preferred upstreams and some that the hash of the flow selects."""
        rotating = spread.rotating
        if len(pool) <= spread.subset_size + rotating:
            return list(pool)
        _, preferred, others = self._split(pool, spread.subset_size)
        rotated = (
            others[(flow_hash + step) % len(others)]
            for step in range(min(rotating, len(others)))
        )
        return [*preferred, *rotated]

    def _split(self, pool: Sequence[Upstream], size: int) -> PreferredUpstreams:
        service = pool[0].entry.service
        cached = self._by_service.get(service)
        if cached is not None and cached.pool is pool:
            return cached
        domain = self._locality.domain
        ranked = sorted(
            pool,
            key=lambda upstream: (
                upstream.entry.domain != domain,
                -score(self._locality.instance, upstream),
                upstream.token,
            ),
        )
        preferred, rest = ranked[:size], ranked[size:]
        local = [upstream for upstream in rest if upstream.entry.domain == domain]
        split = PreferredUpstreams(pool, preferred, local or rest)
        self._by_service[service] = split
        return split


def score(instance: InstanceId, upstream: Upstream) -> int:
    """Return the rendezvous score of an upstream for an instance."""
    return mix(crc32(instance.encode()) ^ upstream.token)
