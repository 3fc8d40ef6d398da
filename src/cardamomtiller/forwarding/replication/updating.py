"""Update of the replica with what the reading thread has read."""

from cardamomtiller.forwarding.published.records import NO_EPOCH, Batch
from cardamomtiller.forwarding.replication.following import Follower, ReadResult
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters


class ReplicaUpdater:
    """Applies read results to the replica, and reports changes of the source."""

    def __init__(
        self,
        follower: Follower,
        replica: Replica,
        log: DecisionLog,
        meters: Meters,
    ) -> None:
        """Start without a source."""
        self._follower = follower
        self._replica = replica
        self._log = log
        self._meters = meters
        self._errors_by_host: dict[str, str] = {}
        self._current_host = ''
        self._epoch = NO_EPOCH

    def apply(self, result: ReadResult, now_ms: float) -> None:
        """Apply the batch of a result; request a list if changes are missing."""
        if result.is_retained:
            self._apply_retained(result, now_ms)
            return
        self._log_source_changes(result, now_ms)
        self._meters.set_gauge('source_calls', self._follower.source_calls)
        self._meters.set_gauge('peer_calls', self._follower.peer_calls)
        if result.batch is None:
            self._meters.count('readings_failed')
            return
        self._log_epoch(result.batch, now_ms)
        if not self._replica.apply(result.batch, result.confirmed_ms, now_ms):
            self._handle_ignored(result.batch, result, now_ms)

    def _handle_ignored(self, batch: Batch, result: ReadResult, now_ms: float) -> None:
        self._meters.count('readings_outdated')
        self._log_ignored(batch, result, now_ms)
        if self._replica.has_gap(batch):
            # The changes in between were lost with an error.
            self._follower.request_list()

    def _apply_retained(self, result: ReadResult, now_ms: float) -> None:
        if result.batch is not None:
            self._replica.apply_retained(result.batch, now_ms)
            return
        self._meters.count('consultations_failed')
        self._log.write_milestone(
            'consultation_failed',
            now_ms,
            host=result.host,
            error=result.error,
        )

    def _log_epoch(self, batch: Batch, now_ms: float) -> None:
        epoch = batch.revision.epoch
        if epoch == self._epoch:
            return
        self._log.write_milestone(
            'source_epoch',
            now_ms,
            epoch=epoch,
            before=self._epoch,
            batch_revision=str(batch.revision),
            revision=str(self._replica.revision),
        )
        self._epoch = epoch

    def _log_ignored(self, batch: Batch, result: ReadResult, now_ms: float) -> None:
        self._log.write_milestone(
            'batch_ignored',
            now_ms,
            host=result.host,
            is_published_source=result.is_from_source,
            after=None if batch.after is None else str(batch.after),
            batch_revision=str(batch.revision),
            records=len(batch.records),
            revision=str(self._replica.revision),
        )

    def _log_source_changes(self, result: ReadResult, now_ms: float) -> None:
        """Log the loss or recovery of a source, and a switch to another one."""
        error = self._errors_by_host.get(result.host)
        if result.error is not None:
            if error is None:
                self._log_source_event('source_lost', result, now_ms, result.error)
            self._errors_by_host[result.host] = result.error
            return
        if error is not None:
            del self._errors_by_host[result.host]
            self._log_source_event('source_regained', result, now_ms, error)
        if result.host != self._current_host:
            self._current_host = result.host
            self._log_source_event('source_chosen', result, now_ms, None)

    def _log_source_event(
        self,
        event: str,
        result: ReadResult,
        now_ms: float,
        error: str | None,
    ) -> None:
        self._log.write_milestone(
            event,
            now_ms,
            host=result.host,
            is_published_source=result.is_from_source,
            error=error,
            revision=str(self._replica.revision),
            replica_age_ms=self._replica_age_ms(now_ms),
        )

    def _replica_age_ms(self, now_ms: float) -> int | None:
        if self._replica.confirmed_ms is None:
            return None
        return round(self._replica.age_ms(now_ms))
