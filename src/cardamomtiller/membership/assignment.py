"""Owners of the upstreams, computed from a view of the instances."""

import heapq
import math
from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from cardamomtiller.identity import DomainName, InstanceId, UpstreamId
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.membership.view import View
from cardamomtiller.rendezvous import score

# Largest number of upstreams on one instance as a multiple of the mean.
LOAD_FACTOR = 1.25
HALF_BITS = 32
WORD_MASK = (1 << 64) - 1
# Odd, from the golden ratio: 2^64 / 1.618.
MULTIPLIER = 0x9E3779B97F4A7C15


def owners(
    upstreams: Sequence[UpstreamRow],
    view: View,
) -> Mapping[UpstreamId, InstanceId]:
    """
    Return the owner of each upstream.

    Parameters
    ----------
    upstreams
        Published upstreams of any failure domains.
    view
        View of the instances.

    Returns
    -------
    Mapping
        Owner by upstream; empty if no instance serves.
    """
    return OwnerTable().owners(upstreams, view)


class OwnerTable:
    """
    Compute owners, and only those that a change of the view can affect.

    A failure domain is computed again when its upstreams or the instances that
    own them change; weights are kept per instance.
    """

    def __init__(self) -> None:
        """Start without any owner."""
        self._domains: dict[DomainName, _DomainOwners] = {}
        self._last: tuple[object, object, Mapping[UpstreamId, InstanceId]] | None
        self._last = None

    def owners(
        self,
        upstreams: Sequence[UpstreamRow],
        view: View,
    ) -> Mapping[UpstreamId, InstanceId]:
        """Return the owner of each upstream, see ``owners``."""
        if self._last is not None:
            is_same_list = self._last[0] is upstreams
            if is_same_list and self._last[1] == view.serving:
                return self._last[2]
        groups: dict[DomainName, list[UpstreamRow]] = {}
        for row in upstreams:
            groups.setdefault(row.domain, []).append(row)
        for gone in self._domains.keys() - groups.keys():
            self._domains.pop(gone)
        found: dict[UpstreamId, InstanceId] = {}
        for domain, rows in groups.items():
            held = self._domains.setdefault(domain, _DomainOwners())
            keys = tuple(sorted(row.name for row in rows))
            found.update(held.owners(keys, candidates(rows[0], view)))
        self._last = (upstreams, view.serving, found)
        return found


def candidates(upstream: UpstreamRow, view: View) -> tuple[InstanceId, ...]:
    """Return who may own an upstream: its domain, else its region, else all."""
    return (
        view.serving_in(upstream.domain)
        or view.serving_in_region(upstream.region)
        or view.serving_all()
    )


@dataclass(slots=True)
class _DomainOwners:
    keys: tuple[UpstreamId, ...] = ()
    nodes: tuple[InstanceId, ...] = ()
    hashes: 'array[int]' = field(default_factory=lambda: array('Q'))
    weights: dict[InstanceId, 'array[int]'] = field(default_factory=dict)
    found: Mapping[UpstreamId, InstanceId] = field(default_factory=dict)

    def owners(
        self,
        keys: tuple[UpstreamId, ...],
        nodes: tuple[InstanceId, ...],
    ) -> Mapping[UpstreamId, InstanceId]:
        if keys == self.keys and nodes == self.nodes:
            return self.found
        if keys != self.keys:
            self.weights = {}
            self.hashes = array('Q', (score(key, 'upstream') for key in keys))
        self.weights = {
            node: self.weights.get(node) or _weigh(node, self.hashes) for node in nodes
        }
        self.keys = keys
        self.nodes = nodes
        self.found = _match(keys, self.weights)
        return self.found


def _weigh(node: InstanceId, hashes: Iterable[int]) -> 'array[int]':
    # Hashing each pair would block the event loop for a second at 590 instances
    # and 3,500 upstreams; two rounds of multiplication mix two hashes well.
    own = score('owner', node)
    return array('Q', (_mix(_mix(number ^ own)) for number in hashes))


def _mix(number: int) -> int:
    return (number ^ number >> HALF_BITS) * MULTIPLIER & WORD_MASK


def _match(
    keys: Sequence[UpstreamId],
    weights: Mapping[InstanceId, 'array[int]'],
) -> Mapping[UpstreamId, InstanceId]:
    """
    Give each key its heaviest node that has room for it.

    A full node keeps the keys with the highest weights and passes the lightest
    on, so the result depends on no order and one change moves few keys.
    """
    if not weights:
        return {}
    capacity = math.ceil(LOAD_FACTOR * len(keys) / len(weights))
    kept: dict[InstanceId, list[tuple[int, int]]] = {node: [] for node in weights}
    refusals: dict[int, set[InstanceId]] = {}
    waiting = list(range(len(keys)))
    while waiting:
        index = waiting.pop()
        refused = refusals.get(index, set())
        _top, node = max(
            (column[index], node)
            for node, column in weights.items()
            if node not in refused
        )
        heap = kept[node]
        heapq.heappush(heap, (weights[node][index], index))
        if len(heap) > capacity:
            _weight, passed = heapq.heappop(heap)
            refusals.setdefault(passed, set()).add(node)
            waiting.append(passed)
    return {keys[row[1]]: node for node, heap in kept.items() for row in heap}
