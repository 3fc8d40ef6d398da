"""Probe topology: which instance probes which, derived from the published list."""

from collections.abc import Iterable

from cardamomtiller.identity import DomainName, InstanceId
from cardamomtiller.lists.document import InstanceRow
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.rendezvous import score


class ProbeTopology:
    """
    Choose the regular probe targets of this instance.

    The instances of a failure domain form several rings. These depend only on the
    published list, so every instance computes the same ones. An instance probes
    its next candidate on each ring, and one counterpart in every other domain.
    """

    def __init__(self, row: InstanceRow, options: MembershipOptions) -> None:
        """Start with an empty topology; see ``apply_published``."""
        self._own_row = row
        self._options = options
        self._names_by_domain: dict[DomainName, list[InstanceId]] = {}
        self._rings: list[list[InstanceId]] = []
        self._domain_of: dict[InstanceId, DomainName] = {}
        self._cached: tuple[frozenset[InstanceId], dict[InstanceId, float]] | None
        self._cached = None

    def apply_published(self, rows: Iterable[InstanceRow]) -> None:
        """Rebuild the rings from the published list."""
        self._cached = None
        self._domain_of = {row.name: row.domain for row in rows}
        self._domain_of[self._own_row.name] = self._own_row.domain
        names_by_domain: dict[DomainName, list[InstanceId]] = {}
        for name in sorted(self._domain_of):
            names_by_domain.setdefault(self._domain_of[name], []).append(name)
        self._names_by_domain = names_by_domain
        self._rings = [
            _ring(names_by_domain[self._own_row.domain], ring_number)
            for ring_number in range(self._options.probe_successors)
        ]

    def intervals_ms(
        self, probe_candidates: frozenset[InstanceId]
    ) -> dict[InstanceId, float]:
        """Return the interval of each regular target, chosen from the candidates."""
        if self._cached is not None and self._cached[0] == probe_candidates:
            return self._cached[1]
        interval_ms = self._options.probe_interval_ms
        intervals: dict[InstanceId, float] = {}
        for ring in self._rings:
            name = _successor(
                ring, self._own_row.name, probe_candidates - intervals.keys()
            )
            if name is not None:
                intervals[name] = interval_ms
        other_domains = [
            name for name in self._names_by_domain if name != self._own_row.domain
        ]
        for domain in other_domains:
            name = self._counterpart(domain, probe_candidates)
            if name is not None:
                # On average one other domain is probed per interval, so the number
                # of messages does not grow with the number of domains.
                intervals[name] = interval_ms * len(other_domains)
        self._cached = (probe_candidates, intervals)
        return intervals

    def observers(self, target: InstanceId) -> list[InstanceId]:
        """Return the instances that probe a target in this failure domain."""
        observers: dict[InstanceId, None] = {}
        for ring in self._rings:
            if target in ring:
                observers[ring[ring.index(target) - 1]] = None
        observers.pop(target, None)
        return list(observers)

    def _counterpart(
        self,
        domain: DomainName,
        probe_candidates: frozenset[InstanceId],
    ) -> InstanceId | None:
        own_names = self._names_by_domain[self._own_row.domain]
        names = self._names_by_domain[domain]
        start_index = own_names.index(self._own_row.name) * len(names) // len(own_names)
        return _first_candidate(
            names[start_index:] + names[:start_index], probe_candidates
        )


def _ring(names: Iterable[InstanceId], ring_number: int) -> list[InstanceId]:
    # Each ring has an independent pseudo-random order, so the probe graph is an
    # expander: a rumour reaches all n instances of a domain in about log(n)
    # exchanges. With several successors on a single ring it would take
    # n / (2 * successors) exchanges.
    return sorted(names, key=lambda name: (score(str(ring_number), name), name))


def _successor(
    ring: list[InstanceId],
    own_name: InstanceId,
    probe_candidates: frozenset[InstanceId],
) -> InstanceId | None:
    own_index = ring.index(own_name)
    return _first_candidate(ring[own_index + 1 :] + ring[:own_index], probe_candidates)


def _first_candidate(
    names: Iterable[InstanceId],
    probe_candidates: frozenset[InstanceId],
) -> InstanceId | None:
    return next((name for name in names if name in probe_candidates), None)
