"""
Assignment of upstreams to instances by rendezvous hashing with bounded loads.

The result depends only on the published upstreams and the view, so instances with
equal views agree on every owner without further messages.
"""

import heapq
import math
from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from cardamomtiller.identity import DomainName, InstanceId, UpstreamId
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.membership.view import View
from cardamomtiller.rendezvous import score

# Maximum number of upstreams on one instance, as a multiple of the mean.
LOAD_FACTOR = 1.25
HALF_WORD_BITS = 32
WORD_MASK = (1 << 64) - 1
# Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio, an odd number.
HASH_MULTIPLIER = 0x9E3779B97F4A7C15


def owners(
    upstreams: Sequence[UpstreamRow],
    view: View,
) -> Mapping[UpstreamId, InstanceId]:
    """
    Compute the owner of each upstream.

    Parameters
    ----------
    upstreams
        Published upstreams, possibly of several failure domains.
    view
        Membership view; its serving instances are the candidates.

    Returns
    -------
    Mapping
        Owner by upstream; empty if no instance serves.
    """
    return OwnerTable().owners(upstreams, view)


class OwnerTable:
    """
    Compute owners incrementally.

    The owners of a failure domain are recomputed only if its upstreams or their
    candidate instances change; hash weights are cached per instance.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._domains: dict[DomainName, _DomainOwners] = {}
        self._cached: tuple[object, object, Mapping[UpstreamId, InstanceId]] | None
        self._cached = None

    def owners(
        self,
        upstreams: Sequence[UpstreamRow],
        view: View,
    ) -> Mapping[UpstreamId, InstanceId]:
        """Return the owner of each upstream; see the function ``owners``."""
        if self._cached is not None:
            is_same_list = self._cached[0] is upstreams
            if is_same_list and self._cached[1] == view.serving:
                return self._cached[2]
        groups: dict[DomainName, list[UpstreamRow]] = {}
        for row in upstreams:
            groups.setdefault(row.domain, []).append(row)
        for removed in self._domains.keys() - groups.keys():
            self._domains.pop(removed)
        owner_by_upstream: dict[UpstreamId, InstanceId] = {}
        for domain, rows in groups.items():
            domain_owners = self._domains.setdefault(domain, _DomainOwners())
            names = tuple(sorted(row.name for row in rows))
            owner_by_upstream.update(
                domain_owners.owners(names, owner_candidates(rows[0], view))
            )
        self._cached = (upstreams, view.serving, owner_by_upstream)
        return owner_by_upstream


def owner_candidates(upstream: UpstreamRow, view: View) -> tuple[InstanceId, ...]:
    """
    Return the instances that may own an upstream.

    These are the serving instances of its failure domain; if there are none, those
    of its region; if there are none either, all.
    """
    return (
        view.serving_in(upstream.domain)
        or view.serving_in_region(upstream.region)
        or view.serving_all()
    )


@dataclass(slots=True)
class _DomainOwners:
    names: tuple[UpstreamId, ...] = ()
    instances: tuple[InstanceId, ...] = ()
    upstream_hashes: 'array[int]' = field(default_factory=lambda: array('Q'))
    weights: dict[InstanceId, 'array[int]'] = field(default_factory=dict)
    owner_by_upstream: Mapping[UpstreamId, InstanceId] = field(default_factory=dict)

    def owners(
        self,
        names: tuple[UpstreamId, ...],
        instances: tuple[InstanceId, ...],
    ) -> Mapping[UpstreamId, InstanceId]:
        if names == self.names and instances == self.instances:
            return self.owner_by_upstream
        if names != self.names:
            self.weights = {}
            self.upstream_hashes = array(
                'Q', (score(name, 'upstream') for name in names)
            )
        self.weights = {
            instance: self.weights.get(instance)
            or _compute_weights(instance, self.upstream_hashes)
            for instance in instances
        }
        self.names = names
        self.instances = instances
        self.owner_by_upstream = _assign_owners(names, self.weights)
        return self.owner_by_upstream


def _compute_weights(
    instance: InstanceId, upstream_hashes: Iterable[int]
) -> 'array[int]':
    # Hashing every pair would block the event loop for a second with 590 instances
    # and 3,500 upstreams. Two multiplications mix the two precomputed hashes
    # instead.
    instance_hash = score('owner', instance)
    return array(
        'Q',
        (
            _mix_hash(_mix_hash(upstream_hash ^ instance_hash))
            for upstream_hash in upstream_hashes
        ),
    )


def _mix_hash(number: int) -> int:
    return (number ^ number >> HALF_WORD_BITS) * HASH_MULTIPLIER & WORD_MASK


def _assign_owners(
    names: Sequence[UpstreamId],
    weights: Mapping[InstanceId, 'array[int]'],
) -> Mapping[UpstreamId, InstanceId]:
    """
    Assign each upstream to its highest-weighted instance with free capacity.

    An instance at capacity keeps the upstreams with the highest weights and
    displaces the lowest, which is assigned to its next instance. The result thus
    does not depend on the order of assignment, and one change moves few upstreams.
    """
    if not weights:
        return {}
    capacity = math.ceil(LOAD_FACTOR * len(names) / len(weights))
    assigned: dict[InstanceId, list[tuple[int, int]]] = {
        instance: [] for instance in weights
    }
    rejected_by: dict[int, set[InstanceId]] = {}
    unassigned = list(range(len(names)))
    while unassigned:
        index = unassigned.pop()
        excluded = rejected_by.get(index, set())
        _heaviest, instance = max(
            (instance_weights[index], instance)
            for instance, instance_weights in weights.items()
            if instance not in excluded
        )
        heap = assigned[instance]
        heapq.heappush(heap, (weights[instance][index], index))
        if len(heap) > capacity:
            _weight, displaced = heapq.heappop(heap)
            rejected_by.setdefault(displaced, set()).add(instance)
            unassigned.append(displaced)
    return {
        names[item[1]]: instance for instance, heap in assigned.items() for item in heap
    }
