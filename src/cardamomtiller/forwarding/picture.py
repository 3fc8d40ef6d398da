"""The picture of the world that an instance acts on, and how old it is."""

from cardamomtiller.forwarding.configuration import Configuration
from cardamomtiller.forwarding.decisionlog import DecisionLog
from cardamomtiller.forwarding.forwarder import Forwarder
from cardamomtiller.forwarding.meters import Meters
from cardamomtiller.forwarding.records import (
    NO_REVISION,
    Batch,
    EntryRemoval,
    MalformedRecord,
    Record,
    RecordDecoder,
    RecordKey,
    Revision,
)
from cardamomtiller.forwarding.upstreams import UpstreamEntry
from cardamomtiller.ids import UpstreamId


class Picture:
    """
    Applies batches of records to the forwarder, each record once and in order.

    Attributes
    ----------
    revision
        Revision up to which the picture is complete.
    confirmed_ms
        Time at which the source last confirmed that nothing newer existed.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        decoder: RecordDecoder,
        log: DecisionLog,
        meters: Meters,
    ) -> None:
        """Start with nothing known."""
        self._forwarder = forwarder
        self._decoder = decoder
        self._log = log
        self._meters = meters
        self._revisions: dict[RecordKey, Revision] = {}
        self.revision = NO_REVISION
        self.confirmed_ms: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether a configuration is known and all entries were read once."""
        return self.revision != NO_REVISION and bool(
            self._forwarder.configuration.routes,
        )

    def apply(self, batch: Batch, confirmed_ms: float, now_ms: float) -> bool:
        """
        Apply a batch.

        Parameters
        ----------
        batch
            A complete list, or changes.
        confirmed_ms
            When the source was asked for the batch.
        now_ms
            Present time.

        Returns
        -------
        bool
            False if changes are missing between the picture and the batch.
        """
        if batch.after is not None and batch.after > self.revision:
            return False
        if batch.after is None:
            self._apply_complete_list(batch, now_ms)
        for record in batch.records:
            self._apply_record(record, now_ms)
        self.revision = max(self.revision, batch.revision)
        if self.confirmed_ms is None or confirmed_ms > self.confirmed_ms:
            self.confirmed_ms = confirmed_ms
        return True

    def _apply_complete_list(self, batch: Batch, now_ms: float) -> None:
        if batch.revision < self.revision:
            return
        listed = {record.key for record in batch.records}
        for key in tuple(self._revisions):
            if key not in listed and self._revisions[key] <= batch.revision:
                self._apply_record(Record(key, batch.revision, None), now_ms)
        self._log.write(
            'records_listed',
            now_ms,
            records=len(batch.records),
            revision=batch.revision,
        )

    def _apply_record(self, record: Record, now_ms: float) -> None:
        if record.revision <= self._revisions.get(record.key, NO_REVISION):
            return
        self._revisions[record.key] = record.revision
        if record.content is None:
            # The removal counts as known until the list no longer has the key.
            del self._revisions[record.key]
        change = self._decoder.decode(record)
        if isinstance(change, Configuration):
            self._forwarder.take_configuration(change, now_ms)
        elif isinstance(change, UpstreamEntry):
            self._forwarder.take_entry(change, now_ms)
        elif isinstance(change, EntryRemoval):
            self._forwarder.lose_entry(change.upstream, now_ms)
        elif isinstance(change, MalformedRecord):
            self._report_malformed(record, change, now_ms)

    def _report_malformed(
        self,
        record: Record,
        change: MalformedRecord,
        now_ms: float,
    ) -> None:
        self._meters.count('records_malformed')
        self._log.write(
            'record_malformed',
            now_ms,
            key=record.key,
            revision=record.revision,
            reason=change.reason,
        )
        if change.upstream is not None:
            self._forwarder.lose_entry(UpstreamId(change.upstream), now_ms)
