"""Selection of the source from which an instance reads records.

Calls to the published source are limited and charged, and would grow with the fleet if
every instance waited for changes there. Therefore one instance of each failure domain
reads the source, and the others read from this reader. If the reader does not answer or
its replica is stale, an instance reads from the next candidate, and as a last resort
from the source itself. A switch takes less time than a change may take to be in force.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomtiller.forwarding.member import READER_CANDIDATES, Member, rank


class SourceOptions(NamedTuple):
    """
    Time limits of the selection.

    Attributes
    ----------
    max_age_ms
        Age beyond which the replica of a peer counts as stale.
    failure_backoff_ms
        Time for which a failed source is not read again while there is another.
    """

    max_age_ms: float
    failure_backoff_ms: float


class SourceSelector:
    """Selects the next source to read, and avoids those that failed recently."""

    def __init__(self, local_member: Member, options: SourceOptions) -> None:
        """Start without recorded failures."""
        self._local_member = local_member
        self._options = options
        self._backoff_until_ms: dict[str, float] = {}

    def record_failure(self, host: str, now_ms: float) -> None:
        """Start the back-off of a source that failed or was stale."""
        for expired_host, until_ms in tuple(self._backoff_until_ms.items()):
            if until_ms <= now_ms:
                del self._backoff_until_ms[expired_host]
        self._backoff_until_ms[host] = now_ms + self._options.failure_backoff_ms

    def is_stale(self, age_ms: float) -> bool:
        """Return whether a replica of this age is too old to use."""
        return age_ms > self._options.max_age_ms

    def select(self, peers: Iterable[Member], now_ms: float) -> Member:
        """
        Return the member to read from.

        Parameters
        ----------
        peers
            The other members of the failure domain.
        now_ms
            Current time.

        Returns
        -------
        Member
            The first reader candidate that is not in back-off, otherwise this instance.
            This instance reads the published source.
        """
        ranked = rank([self._local_member, *peers])
        for member in ranked[:READER_CANDIDATES]:
            if self._backoff_until_ms.get(member.host, now_ms) <= now_ms:
                return member
        return self._local_member
