"""Immutable snapshot of the membership table of one instance."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from cardamomtiller.identity import DomainName, Incarnation, InstanceId, RegionName
from cardamomtiller.lists.document import InstanceRow


class InstanceState(Enum):
    """State of an instance; the values match ``InstanceState`` in ``peer.proto``."""

    JOINING = 1
    LIVE = 2
    SUSPECT = 3
    LEAVING = 4
    DEAD = 5


@dataclass(frozen=True, slots=True)
class Member:
    """State of a published instance, according to the local membership table."""

    row: InstanceRow
    state: InstanceState
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class View:
    """
    Immutable snapshot of all published instances.

    ``revision`` increases with every new view. ``serving`` and ``regions`` list
    the instances that may own upstreams, sorted by name, per failure domain and
    per region.
    """

    revision: int = 0
    members: Mapping[InstanceId, Member] = field(default_factory=dict)
    serving: Mapping[DomainName, tuple[InstanceId, ...]] = field(default_factory=dict)
    regions: Mapping[RegionName, tuple[InstanceId, ...]] = field(default_factory=dict)

    def serving_in(self, domain: DomainName) -> tuple[InstanceId, ...]:
        """Return the serving instances of a failure domain, sorted by name."""
        return self.serving.get(domain, ())

    def serving_in_region(self, region: RegionName) -> tuple[InstanceId, ...]:
        """Return the serving instances of a region, sorted by name."""
        return self.regions.get(region, ())

    def serving_all(self) -> tuple[InstanceId, ...]:
        """Return all serving instances, sorted by name."""
        return tuple(sorted(name for names in self.regions.values() for name in names))

    def is_home_alive(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """
        Return whether the process that a cookie names as home may still run.

        A cookie can carry a newer incarnation than the local table, because the
        rumour about a restart may not have arrived yet. Such a home counts as
        alive, because it can answer for itself.
        """
        member = self.members.get(instance)
        if member is None or incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            return True
        return member.state is not InstanceState.DEAD
