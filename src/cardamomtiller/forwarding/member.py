"""One instance among others, and the order in which instances read for others."""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomtiller.ids import DomainName, InstanceId

# Leading members of a failure domain: they read for the others, one after the other
# fails, and everybody keeps in touch with them.
READER_CANDIDATES = 3


class Member(NamedTuple):
    """
    One instance.

    Attributes
    ----------
    host
        IP address, which identifies the member; all use the same ports.
    capacity
        Relative ability to serve the others, such as the speed of its link.
    """

    instance: InstanceId
    domain: DomainName
    host: str
    capacity: float


def rank(members: Iterable[Member]) -> list[Member]:
    """Return members in the order in which they read for the others."""
    return sorted(members, key=lambda member: (-member.capacity, member.host))
