"""Selection of the source from which an instance reads records.

Calls to the published source are limited and charged, and would grow with the fleet if
every instance waited for changes there. Therefore one instance of each failure domain
reads the source, and the others read from this reader. If the reader does not answer or
its replica is stale, an instance reads from the next candidate.

A change must be in force in time however many candidates are stale, silent or refuse
the call. Therefore the age of the local replica limits the wait for all of them
together: for each candidate there is an age by which the call must have ended, and an
older replica is updated from the published source itself.
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
    end_ages_ms
        Age of the local replica by which a call to each candidate must have ended, by
        rank. Beyond the last one an instance reads the published source.
    reply_ms
        Time that the reply of a peer may take beyond its wait for a change.
    failure_backoff_ms
        Time for which a failed source is not read again while there is another.
    initial_retry_ms, max_retry_ms
        First and longest time until the published source is called again after it has
        failed; the time doubles with each failure.
    """

    max_age_ms: float
    end_ages_ms: tuple[float, ...]
    reply_ms: float
    failure_backoff_ms: float
    initial_retry_ms: float
    max_retry_ms: float


class Choice(NamedTuple):
    """
    Where to read next.

    Attributes
    ----------
    member
        The member to read from; this instance if it reads the published source.
    end_age_ms
        Age of the local replica by which the call to a peer must have ended.
    """

    member: Member
    end_age_ms: float


class SourceSelector:
    """Selects the next source to read, and avoids those that failed recently."""

    def __init__(self, local_member: Member, options: SourceOptions) -> None:
        """Start without recorded failures."""
        self._local_member = local_member
        self._options = options
        self._backoff_until_ms: dict[str, float] = {}
        self._source_failures = 0
        self._next_retry_ms = options.initial_retry_ms
        self._retry_at_ms: float = 0

    def record_failure(self, host: str, now_ms: float) -> None:
        """Start the back-off of a source that failed or was stale."""
        for expired_host, until_ms in tuple(self._backoff_until_ms.items()):
            if until_ms <= now_ms:
                del self._backoff_until_ms[expired_host]
        self._backoff_until_ms[host] = now_ms + self._options.failure_backoff_ms

    def record_source_failure(self, now_ms: float, *, is_connection_lost: bool) -> None:
        """
        Record a failed call to the published source.

        A connection that is lost once may be tried again at once: the source may end a
        call that waits for a change although it serves this instance.
        """
        self._source_failures += 1
        if is_connection_lost and self._source_failures == 1:
            return
        self.record_failure(self._local_member.host, now_ms)
        self._retry_at_ms = now_ms + self._next_retry_ms
        self._next_retry_ms = min(self._next_retry_ms * 2, self._options.max_retry_ms)

    def record_source_success(self) -> None:
        """Record an answer of the published source."""
        self._source_failures = 0
        self._next_retry_ms = self._options.initial_retry_ms

    def is_stale(self, age_ms: float) -> bool:
        """Return whether a replica of this age is too old to use."""
        return age_ms > self._options.max_age_ms

    def has_time(self, duration_ms: float, age_ms: float) -> bool:
        """Return whether a call that updates nothing may take this long."""
        return age_ms + duration_ms <= self._options.end_ages_ms[0]

    def retry_in_ms(self, now_ms: float) -> float:
        """Return the time until the published source may be called again."""
        return max(0, self._retry_at_ms - now_ms)

    def select(
        self, peers: Iterable[Member], age_ms: float, now_ms: float
    ) -> Choice | None:
        """
        Return where to read next.

        Parameters
        ----------
        peers
            The other members of the failure domain.
        age_ms
            Age of the local replica; infinite if there is none.
        now_ms
            Current time.

        Returns
        -------
        Choice or None
            The first reader candidate that is not in back-off and may answer before the
            replica is too old, otherwise the published source. If that has failed
            recently, any candidate that is not in back-off; None if there is none.
        """
        ranked = rank([self._local_member, *peers])[:READER_CANDIDATES]
        available = [
            Choice(member, end_age_ms)
            for member, end_age_ms in zip(
                ranked, self._options.end_ages_ms, strict=False
            )
            if not self._is_in_backoff(member, now_ms)
        ]
        for choice in available:
            if self._is_local(choice) or self._can_answer(choice, age_ms):
                return choice
        if self.retry_in_ms(now_ms) == 0:
            return Choice(self._local_member, self._options.end_ages_ms[-1])
        others = (choice for choice in available if not self._is_local(choice))
        return next(others, None)

    def select_any(self, members: Iterable[Member], now_ms: float) -> Choice | None:
        """
        Return any member that is not in back-off, None if there is none.

        For an instance without records that cannot read the published source: members
        of other failure domains have the same records.
        """
        for member in rank(members):
            if not self._is_in_backoff(member, now_ms):
                return Choice(member, self._options.end_ages_ms[-1])
        return None

    def _is_in_backoff(self, member: Member, now_ms: float) -> bool:
        return self._backoff_until_ms.get(member.host, now_ms) > now_ms

    def _is_local(self, choice: Choice) -> bool:
        return choice.member.host == self._local_member.host

    def _can_answer(self, choice: Choice, age_ms: float) -> bool:
        return choice.end_age_ms - age_ms >= self._options.reply_ms
