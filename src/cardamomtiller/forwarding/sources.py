"""Which source an instance reads its records from.

The load this answers: calls to the published source, which are limited and priced
and which grow with the fleet if every instance waits for changes there. In each
failure domain one instance reads the source, and the others read from it. An
instance whose reader is silent or stale goes to the next one, and in the end to the
source itself, so a fault of a reader costs less time than a change may take.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomtiller.forwarding.member import READER_CANDIDATES, Member, rank


class SourceOptions(NamedTuple):
    """
    Times of the choice.

    Attributes
    ----------
    max_age_ms
        Age beyond which a peer's replica is not good enough.
    failure_backoff_ms
        How long a source that failed is not asked again if there is another.
    """

    max_age_ms: float
    failure_backoff_ms: float


class SourceSelector:
    """Remembers which sources failed, and names the next one to ask."""

    def __init__(self, local_member: Member, options: SourceOptions) -> None:
        """Start with no failures."""
        self._local_member = local_member
        self._options = options
        self._backoff_until_ms: dict[str, float] = {}

    def record_failure(self, host: str, now_ms: float) -> None:
        """Take note that a source failed or was stale."""
        for expired_host, until_ms in tuple(self._backoff_until_ms.items()):
            if until_ms <= now_ms:
                del self._backoff_until_ms[expired_host]
        self._backoff_until_ms[host] = now_ms + self._options.failure_backoff_ms

    def is_stale(self, age_ms: float) -> bool:
        """Return whether a replica of an age is too old to rely on."""
        return age_ms > self._options.max_age_ms

    def select(self, peers: Iterable[Member], now_ms: float) -> Member:
        """
        Return the member to read from.

        Parameters
        ----------
        peers
            Other members of the failure domain.
        now_ms
            Present time.

        Returns
        -------
        Member
            The first member by rank that has not failed lately. This instance
            itself stands for the published source; it is also the last resort.
        """
        ranked = rank([self._local_member, *peers])
        for member in ranked[:READER_CANDIDATES]:
            if self._backoff_until_ms.get(member.host, now_ms) <= now_ms:
                return member
        return self._local_member
