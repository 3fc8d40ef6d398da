"""Instances as members of the fleet, and their rank as readers."""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomtiller.ids import DomainName, InstanceId

# Number of members of a failure domain, first by rank, that may read the published
# source for the others: the first does, and the next one when it fails. All members
# of the domain exchange announcements with them.
READER_CANDIDATES = 3


class Member(NamedTuple):
    """
    An instance of the fleet.

    Attributes
    ----------
    host
        IP address, which identifies the member; all members use the same ports.
    capacity
        Relative capacity to serve other members, such as the speed of its link.
    """

    instance: InstanceId
    domain: DomainName
    host: str
    capacity: float


def rank(members: Iterable[Member]) -> list[Member]:
    """Sort members by descending capacity, then by host; the first is the reader."""
    return sorted(members, key=lambda member: (-member.capacity, member.host))
