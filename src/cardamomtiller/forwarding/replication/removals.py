"""Recent removals of records, which changes for peers consist of in part."""

from collections import deque
from collections.abc import Iterator

from cardamomtiller.forwarding.published.records import NO_REVISION, Record, Revision

# A peer whose revision is older than these removals receives the complete list.
MAX_REMOVALS = 1000


class RecentRemovals:
    """Removals since a revision, at most ``MAX_REMOVALS``."""

    def __init__(self) -> None:
        """Start without removals."""
        self._removals: deque[Record] = deque()
        self._start = NO_REVISION

    def __iter__(self) -> Iterator[Record]:
        """Iterate over the removals, oldest first."""
        return iter(self._removals)

    def is_complete_after(self, revision: Revision) -> bool:
        """Return whether no removal after a revision is missing here."""
        return revision != NO_REVISION and revision >= self._start

    def add(self, removal: Record) -> None:
        """Add the latest removal; the oldest one is dropped if there are too many."""
        self._removals.append(removal)
        if len(self._removals) > MAX_REMOVALS:
            self._start = self._removals.popleft().revision

    def restart(self, revision: Revision) -> None:
        """Start again after a revision; what was removed up to it is not known."""
        self._removals.clear()
        self._start = revision
