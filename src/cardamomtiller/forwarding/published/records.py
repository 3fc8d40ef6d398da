"""Published records, and the interfaces for reading and decoding them."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import NamedTuple, NewType

from cardamomtiller.forwarding.published.configuration import Configuration
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry
from cardamomtiller.ids import DomainName, UpstreamId

RecordKey = NewType('RecordKey', str)
Epoch = NewType('Epoch', int)

NO_EPOCH = Epoch(0)
# Key of a record that was published without one.
NO_KEY = RecordKey('')


class Revision(NamedTuple):
    """
    Position of a change in the histories of the source; a higher one is later.

    A source that is restored from an older copy gives out numbers again, so that
    numbers of different epochs cannot be compared. The text form is ``EPOCH.NUMBER``.

    Attributes
    ----------
    epoch
        History of the source, higher after each restore; ``NO_EPOCH`` if the source does
        not tell it.
    number
        Number of the change in this history.
    """

    epoch: Epoch
    number: int

    @classmethod
    def parse(cls, text: str) -> 'Revision':
        """
        Parse the text form.

        Raises
        ------
        ValueError
            If the text has another form.
        """
        epoch, _, number = text.partition('.')
        return cls(Epoch(int(epoch)), int(number))

    def __str__(self) -> str:
        """Return the text form."""
        return f'{self.epoch}.{self.number}'


NO_REVISION = Revision(NO_EPOCH, -1)


class Record(NamedTuple):
    """
    A published record as written by its publisher, or the removal of a record.

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
    Records of the source up to a revision.

    Attributes
    ----------
    after
        Revision after which ``records`` has all changes; None if ``records`` is not a
        list of changes but the complete list, or a part of it.
    revision
        Revision up to which the records are complete.
    is_partial
        Whether ``records`` is only a part of the complete list; the complete list
        follows in a later batch.
    """

    after: Revision | None
    revision: Revision
    records: tuple[Record, ...]
    is_partial: bool = False


class SourceError(Exception):
    """The source did not answer, or its answer was invalid."""


class ConnectionLostError(SourceError):
    """The connection was closed before the answer was complete."""


class HistoryLostError(SourceError):
    """The source does not store the changes after the requested revision."""


class RecordSource(ABC):
    """Interface for reading records from a source; used by a single thread."""

    @abstractmethod
    def read_all(self) -> Iterator[Batch]:
        """
        Iterate over parts of the complete list as they arrive, then the whole list.

        Raises
        ------
        HistoryLostError
            If the epoch changes between two parts of the list.
        SourceError
            If the source does not answer.
        """

    @abstractmethod
    def wait_for_changes(self, after: Revision, wait_ms: int) -> Batch:
        """
        Return the changes after a revision; empty if none occur within ``wait_ms``.

        Raises
        ------
        HistoryLostError
            If the changes are no longer available, or the revision is of an earlier
            epoch.
        SourceError
            If the source does not answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection to the source."""


class EntryRemoval(NamedTuple):
    """Removal of the entry of an upstream."""

    upstream: UpstreamId


class Evacuation(NamedTuple):
    """Start or end of the evacuation of a failure domain."""

    domain: DomainName
    is_removed: bool


class MalformedRecord(NamedTuple):
    """An invalid record, and the id of the upstream that it was meant for, if any."""

    upstream: UpstreamId | None
    reason: str


DecodedRecord = (
    Configuration | UpstreamEntry | EntryRemoval | Evacuation | MalformedRecord
)


class RecordDecoder(ABC):
    """Interface for decoding the records of a platform."""

    @abstractmethod
    def decode(self, record: Record) -> DecodedRecord | None:
        """Return the decoded record, or None if forwarding does not use it."""

    @abstractmethod
    def upstream_of(self, key: RecordKey) -> UpstreamId | None:
        """Return the upstream whose entry has a key, None for a key of another kind."""
