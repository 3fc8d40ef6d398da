"""The local replica of the published records, and its age."""

from collections.abc import Iterator

from cardamomtiller.forwarding.observation.unknowntokens import (
    NOT_STEADY,
    Steadiness,
)
from cardamomtiller.forwarding.published.configuration import Configuration
from cardamomtiller.forwarding.published.records import (
    NO_REVISION,
    Batch,
    DecodedRecord,
    EntryRemoval,
    Evacuation,
    MalformedRecord,
    Record,
    RecordDecoder,
    RecordKey,
    Revision,
)
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry
from cardamomtiller.forwarding.replication.removals import RecentRemovals
from cardamomtiller.forwarding.routing.forwarder import Forwarder
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters

# Longest time between two confirmations that still counts as continuous. During a
# longer outage of the source entries may expire, and return after it.
MAX_CONFIRMATION_GAP_MS = 4000.0
# Time after a restore in which the source may have entries of upstreams that have left.
MAX_REWRITE_MS = 10_000.0


class Replica:
    """
    All records up to a revision; applies each change to the forwarder once, in order.

    Attributes
    ----------
    revision
        Revision up to which the replica is complete.
    confirmed_ms
        Time at which the source last confirmed that the replica was up to date.
    steady_since_ms
        Start of the period in which the source has confirmed the replica without a gap
        longer than ``MAX_CONFIRMATION_GAP_MS``, and without a restore, after which
        entries may be missing.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        decoder: RecordDecoder,
        log: DecisionLog,
        meters: Meters,
    ) -> None:
        """Start with an empty replica."""
        self._forwarder = forwarder
        self._decoder = decoder
        self._log = log
        self._meters = meters
        self._records: dict[RecordKey, Record] = {}
        self._removals = RecentRemovals()
        # Records up to this revision may be from the copy that the epoch began with.
        self._copied_until = NO_REVISION
        self._restored_ms: float | None = None
        # Keys of the copy's entries whose upstreams are known to have left.
        self._departed_keys: set[RecordKey] = set()
        self.revision = NO_REVISION
        self.confirmed_ms: float | None = None
        self.steady_since_ms: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether there is a configuration and the complete list was applied."""
        return self.revision != NO_REVISION and self._has_routes

    @property
    def is_usable(self) -> bool:
        """
        Whether new flows can be placed, if only on a part of the upstreams.

        When all instances restart with thousands of upstreams, the link of the source
        is saturated for seconds by their list requests. The first page of the list has
        the configuration and enough upstreams to serve before the rest arrives.
        """
        return self.is_complete or (self._has_routes and len(self._records) > 1)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last confirmation; ``now_ms`` if there was none."""
        return now_ms if self.confirmed_ms is None else now_ms - self.confirmed_ms

    def is_confirmed_since(self, time_ms: float) -> bool:
        """Return whether the last confirmation is later than a time."""
        return self.confirmed_ms is not None and self.confirmed_ms > time_ms

    def apply(self, batch: Batch, confirmed_ms: float, now_ms: float) -> bool:
        """
        Apply a batch of records.

        Parameters
        ----------
        batch
            A complete list, a page of it, or changes.
        confirmed_ms
            When the source confirmed the batch.
        now_ms
            Current time.

        Returns
        -------
        bool
            False if the batch was ignored, because it is older than the replica or
            changes between the two are missing.
        """
        if batch.revision < self.revision:
            return False
        if self._starts_epoch(batch):
            self._copied_until = batch.revision
            self._restored_ms = now_ms
            self._departed_keys.clear()
            self.steady_since_ms = None
        if batch.is_partial:
            for record in batch.records:
                self._apply_record(record, now_ms)
            return True
        if batch.after is None:
            self._apply_complete_list(batch, now_ms)
        elif self.has_gap(batch):
            return False
        else:
            self._apply_changes(batch, now_ms)
        self.revision = batch.revision
        self._confirm(confirmed_ms)
        return True

    def apply_retained(self, batch: Batch, now_ms: float) -> None:
        """
        Apply what a peer kept across a restore, and what the copy had before it.

        Parameters
        ----------
        batch
            Complete list of the peer, or changes if it kept nothing.
        now_ms
            Current time.
        """
        if batch.after is not None or batch.revision.epoch != self.revision.epoch:
            return
        self._copied_until = max(self._copied_until, batch.revision)
        self._restored_ms = now_ms
        retained = [record for record in batch.records if self._is_lost(record)]
        for record in retained:
            self._records[record.key] = record
            self._apply_change(record, now_ms)
        departed = tuple(self._unlisted_keys(batch))
        for key in departed:
            self._remove(Record(key, batch.revision, None), now_ms)
        self._departed_keys.update(departed)
        if retained or departed:
            self._log.write_milestone(
                'records_retained',
                now_ms,
                records=len(retained),
                removed=len(departed),
                revision=str(batch.revision),
            )

    def steadiness(self, now_ms: float) -> Steadiness:
        """Return for how long the source has confirmed the replica without a gap."""
        if (
            self.confirmed_ms is None
            or self.steady_since_ms is None
            or self.age_ms(now_ms) > MAX_CONFIRMATION_GAP_MS
        ):
            return NOT_STEADY
        duration_ms = max(0, self.confirmed_ms - self.steady_since_ms)
        return Steadiness(self.confirmed_ms, duration_ms)

    def changes_after(self, after: Revision) -> Batch:
        """Return the changes after a peer's revision, or else the complete list."""
        if after == self.revision:
            return Batch(after, after, ())
        if not self._removals.is_complete_after(after):
            return Batch(None, self.revision, tuple(self._records.values()))
        newer = (
            record
            for record in (*self._records.values(), *self._removals)
            if record.revision > after
        )
        ordered = sorted(newer, key=lambda record: record.revision)
        return Batch(after, self.revision, tuple(ordered))

    def retained(self, now_ms: float) -> Batch:
        """Return all records if the source may lack some of them, else no changes."""
        if self._is_ahead_of_source(now_ms):
            return Batch(None, self.revision, tuple(self._records.values()))
        return Batch(self.revision, self.revision, ())

    def has_gap(self, batch: Batch) -> bool:
        """Return whether changes between the replica and a batch are missing."""
        return batch.after is not None and batch.after > self.revision

    @property
    def _has_routes(self) -> bool:
        return bool(self._forwarder.configuration.routes)

    def _confirm(self, confirmed_ms: float) -> None:
        previous_ms = self.confirmed_ms
        if previous_ms is None or confirmed_ms - previous_ms > MAX_CONFIRMATION_GAP_MS:
            self.steady_since_ms = None
        if self.steady_since_ms is None:
            self.steady_since_ms = confirmed_ms
        if previous_ms is None or confirmed_ms > previous_ms:
            self.confirmed_ms = confirmed_ms

    def _apply_complete_list(self, batch: Batch, now_ms: float) -> None:
        # A list does not show what was added and removed since the last revision.
        self._removals.restart(batch.revision)
        for record in batch.records:
            self._apply_record(record, now_ms)
        for key in tuple(self._unlisted_keys(batch)):
            self._remove(Record(key, batch.revision, None), now_ms)
        self._log.write_milestone(
            'records_listed',
            now_ms,
            records=len(batch.records),
            revision=str(batch.revision),
            before=str(self.revision),
        )

    def _unlisted_keys(self, batch: Batch) -> Iterator[RecordKey]:
        listed_keys = {record.key for record in batch.records}
        for key, record in self._records.items():
            if key not in listed_keys and record.revision <= batch.revision:
                yield key

    def _apply_changes(self, batch: Batch, now_ms: float) -> None:
        for record in batch.records:
            # An older record is in the replica already, or has been removed since.
            if record.revision > self.revision:
                self._apply_record(record, now_ms)

    def _apply_record(self, record: Record, now_ms: float) -> None:
        current = self._records.get(record.key)
        if current is not None and record.revision <= current.revision:
            return
        if record.content is None:
            self._remove(record, now_ms)
            return
        is_changed = current is None or record.content != current.content
        if is_changed and self._is_outdated(record):
            if current is None:
                self._departed_keys.add(record.key)
            self._report_outdated(record, now_ms)
            return
        self._records[record.key] = record
        if is_changed:
            self._apply_change(record, now_ms)

    def _starts_epoch(self, batch: Batch) -> bool:
        return (
            self.revision != NO_REVISION and self.revision.epoch < batch.revision.epoch
        )

    def _is_outdated(self, record: Record) -> bool:
        """Return whether a record is from the copy, and older than what is in force."""
        if record.revision > self._copied_until:
            return False
        if record.key in self._departed_keys:
            return True
        return self._forwarder.is_outdated(self._decode_if_valid(record))

    def _is_lost(self, record: Record) -> bool:
        """Return whether a record of an earlier epoch is later than that of the copy."""
        current = self._records.get(record.key)
        if current is None or record.revision.epoch >= current.revision.epoch:
            return False
        copied = self._decode_if_valid(current)
        kept = self._decode_if_valid(record)
        if isinstance(copied, Configuration) and isinstance(kept, Configuration):
            return copied.precedes(kept)
        if isinstance(copied, UpstreamEntry) and isinstance(kept, UpstreamEntry):
            return copied.precedes(kept)
        return False

    def _decode_if_valid(self, record: Record) -> DecodedRecord | None:
        try:
            return self._decoder.decode(record)
        except Exception:
            # The error is reported when the record is applied.
            return None

    def _is_ahead_of_source(self, now_ms: float) -> bool:
        if self._restored_ms is None:
            return False
        if now_ms - self._restored_ms < MAX_REWRITE_MS:
            return True
        epoch = self.revision.epoch
        return any(record.revision.epoch < epoch for record in self._records.values())

    def _remove(self, record: Record, now_ms: float) -> None:
        self._departed_keys.discard(record.key)
        if self._records.pop(record.key, None) is None:
            return
        self._removals.add(record)
        self._apply_change(record, now_ms)

    def _apply_change(self, record: Record, now_ms: float) -> None:
        try:
            self._apply_decoded(record, self._decoder.decode(record), now_ms)
        except Exception as error:
            # An error here would skip the records that follow, and the changes after
            # them would be refused as incomplete.
            upstream = self._decoder.upstream_of(record.key)
            malformed = MalformedRecord(upstream, f'unexpected error: {error!r:.200}')
            self._report_malformed(record, malformed, now_ms)

    def _apply_decoded(
        self, record: Record, change: DecodedRecord | None, now_ms: float
    ) -> None:
        match change:
            case Configuration():
                self._forwarder.apply_configuration(change, now_ms)
            case UpstreamEntry():
                self._forwarder.apply_entry(change, now_ms)
            case EntryRemoval():
                self._forwarder.remove_entry(change.upstream, now_ms)
            case Evacuation():
                self._forwarder.apply_evacuation(change, now_ms)
            case MalformedRecord():
                self._report_malformed(record, change, now_ms)

    def _report_outdated(self, record: Record, now_ms: float) -> None:
        self._meters.count('records_outdated')
        self._log.write(
            'record_outdated',
            now_ms,
            key=record.key,
            revision=str(record.revision),
        )

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
            revision=str(record.revision),
            reason=change.reason,
        )
        if change.upstream is not None:
            self._forwarder.remove_entry(change.upstream, now_ms)
