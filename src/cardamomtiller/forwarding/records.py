"""Published records, where they are read from, and what they mean."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import NamedTuple, NewType

from cardamomtiller.forwarding.configuration import Configuration
from cardamomtiller.forwarding.upstreams import UpstreamEntry
from cardamomtiller.ids import UpstreamId

RecordKey = NewType('RecordKey', str)
# Position in the order of all changes of the source; higher is later.
Revision = NewType('Revision', int)

NO_REVISION = Revision(-1)


class Record(NamedTuple):
    """
    One published record as it was written, or its removal.

    Attributes
    ----------
    content
        Text of the record, None if the record was removed.
    """

    key: RecordKey
    revision: Revision
    content: str | None


class Batch(NamedTuple):
    """
    Records up to a revision.

    Attributes
    ----------
    after
        Revision that the changes follow, None if ``records`` is the complete list.
    revision
        Revision up to which the records are complete.
    is_partial
        Whether ``records`` is only a part of the complete list, which follows.
    """

    after: Revision | None
    revision: Revision
    records: tuple[Record, ...]
    is_partial: bool = False


class SourceError(Exception):
    """The source did not answer, or not as agreed."""


class HistoryLostError(SourceError):
    """The source no longer has the changes after a revision."""


class RecordSource(ABC):
    """Where records are read; used by one thread."""

    @abstractmethod
    def read_all(self) -> Iterator[Batch]:
        """
        Iterate over parts of the complete list as they come, and then all of it.

        Raises
        ------
        SourceError
            If the source does not answer.
        """

    @abstractmethod
    def wait_for_changes(self, after: Revision, wait_ms: int) -> Batch:
        """
        Return the changes after a revision, empty if none come in ``wait_ms``.

        Raises
        ------
        HistoryLostError
            If the changes are no longer available.
        SourceError
            If the source does not answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop the connection."""


class EntryRemoval(NamedTuple):
    """The entry of an upstream was removed."""

    upstream: UpstreamId


class MalformedRecord(NamedTuple):
    """A record that names nothing usable; the upstream that it hides, if any."""

    upstream: UpstreamId | None
    reason: str


DecodedRecord = Configuration | UpstreamEntry | EntryRemoval | MalformedRecord


class RecordDecoder(ABC):
    """What the records of a platform mean."""

    @abstractmethod
    def decode(self, record: Record) -> DecodedRecord | None:
        """Return the meaning of a record, None if it concerns nobody here."""
