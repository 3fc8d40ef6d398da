"""View of all published instances, as one instance sees them at one moment."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from cardamomtiller.identity import DomainName, Incarnation, InstanceId, RegionName
from cardamomtiller.lists.document import InstanceRow


class InstanceState(Enum):
    """State of an instance; the values are those of the wire."""

    JOINING = 1
    LIVE = 2
    SUSPECT = 3
    LEAVING = 4
    DEAD = 5


@dataclass(frozen=True, slots=True)
class Member:
    """A published instance as this instance sees it."""

    row: InstanceRow
    state: InstanceState
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class View:
    """All published instances at one moment; immutable."""

    revision: int = 0
    members: Mapping[InstanceId, Member] = field(default_factory=dict)
    serving: Mapping[DomainName, tuple[InstanceId, ...]] = field(default_factory=dict)
    regions: Mapping[RegionName, tuple[InstanceId, ...]] = field(default_factory=dict)

    def serving_in(self, domain: DomainName) -> tuple[InstanceId, ...]:
        """Return the instances of a failure domain that own upstreams, by name."""
        return self.serving.get(domain, ())

    def serving_in_region(self, region: RegionName) -> tuple[InstanceId, ...]:
        """Return the instances of a region that own upstreams, by name."""
        return self.regions.get(region, ())

    def serving_all(self) -> tuple[InstanceId, ...]:
        """Return all instances that own upstreams, by name."""
        return tuple(sorted(name for names in self.regions.values() for name in names))

    def is_home_alive(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """
        Return whether a home with this incarnation may still answer.

        A cookie may name a newer incarnation than the one this instance has
        heard of; that home counts as alive, because it answers for itself.
        """
        member = self.members.get(instance)
        if member is None or incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            return True
        return member.state is not InstanceState.DEAD
