"""Topology of probes: who probes whom, from the published list alone."""

from collections.abc import Iterable

from cardamomtiller.identity import DomainName, InstanceId
from cardamomtiller.lists.document import InstanceRow
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.rendezvous import score


class Topology:
    """Who probes whom, from the published list alone."""

    def __init__(self, row: InstanceRow, options: MembershipOptions) -> None:
        """Start without any published instance."""
        self._own = row
        self._options = options
        self._domains: dict[DomainName, list[InstanceId]] = {}
        self._rings: list[list[InstanceId]] = []
        self._domain_of: dict[InstanceId, DomainName] = {}
        self._cached: tuple[frozenset[InstanceId], dict[InstanceId, float]] | None
        self._cached = None

    def set_rows(self, rows: Iterable[InstanceRow]) -> None:
        """Take the published list."""
        self._cached = None
        self._domain_of = {row.name: row.domain for row in rows}
        self._domain_of[self._own.name] = self._own.domain
        domains: dict[DomainName, list[InstanceId]] = {}
        for name in sorted(self._domain_of):
            domains.setdefault(self._domain_of[name], []).append(name)
        self._domains = domains
        self._rings = [
            _ring(domains[self._own.domain], number)
            for number in range(self._options.probe_successors)
        ]

    def intervals_ms(self, usable: frozenset[InstanceId]) -> dict[InstanceId, float]:
        """Return the regular targets and the interval of each."""
        if self._cached is not None and self._cached[0] == usable:
            return self._cached[1]
        interval_ms = self._options.probe_interval_ms
        intervals: dict[InstanceId, float] = {}
        for ring in self._rings:
            name = _successor(ring, self._own.name, usable - intervals.keys())
            if name is not None:
                intervals[name] = interval_ms
        others = [name for name in self._domains if name != self._own.domain]
        for domain in others:
            name = self._counterpart(domain, usable)
            if name is not None:
                # One other domain per interval, so that the number of messages
                # does not grow with the number of domains.
                intervals[name] = interval_ms * len(others)
        self._cached = (usable, intervals)
        return intervals

    def observers(self, target: InstanceId) -> list[InstanceId]:
        """Return the instances that probe a target of the own domain."""
        found: dict[InstanceId, None] = {}
        for ring in self._rings:
            if target in ring:
                found[ring[ring.index(target) - 1]] = None
        found.pop(target, None)
        return list(found)

    def _counterpart(
        self,
        domain: DomainName,
        usable: frozenset[InstanceId],
    ) -> InstanceId | None:
        own = self._domains[self._own.domain]
        names = self._domains[domain]
        start = own.index(self._own.name) * len(names) // len(own)
        return _first_usable(names[start:] + names[:start], usable)


def _ring(names: Iterable[InstanceId], number: int) -> list[InstanceId]:
    # Independent orders make the graph of probes an expander: a rumour crosses
    # a domain of n instances in about log(n) exchanges. With the neighbours on
    # one ring it would take n / (2 * successors).
    return sorted(names, key=lambda name: (score(str(number), name), name))


def _successor(
    ring: list[InstanceId],
    own: InstanceId,
    usable: frozenset[InstanceId],
) -> InstanceId | None:
    start = ring.index(own)
    return _first_usable(ring[start + 1 :] + ring[:start], usable)


def _first_usable(
    names: Iterable[InstanceId],
    usable: frozenset[InstanceId],
) -> InstanceId | None:
    return next((name for name in names if name in usable), None)
