"""Membership state machine: failure detection and gossip, without I/O."""

import random
from collections.abc import Iterable, Mapping

from cardamomtiller.counter import Counters
from cardamomtiller.identity import Incarnation, InstanceId
from cardamomtiller.lists.document import InstanceRow
from cardamomtiller.membership.gossip import (
    NEW_PEER_PERIOD_MS,
    RUMORS_PER_MESSAGE,
    Gossip,
)
from cardamomtiller.membership.lateness import LatenessTracker
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.membertable import MemberRecord, MemberTable
from cardamomtiller.membership.probing import ProbeSchedule
from cardamomtiller.membership.rumor import (
    INCARNATION_RANDOM_BITS,
    PRECEDENCE,
    STATE_BY_VALUE,
    SUSPECT_OR_DEAD,
    checksum_rumor,
    is_in_range,
    make_incarnation,
)
from cardamomtiller.membership.topology import ProbeTopology
from cardamomtiller.membership.view import InstanceState, View
from cardamomtiller.peer_pb2 import MemberRumor, MembershipDelta

# Consecutive failed probes before an observer may declare an instance dead.
FAILED_PROBES_TO_DEATH = 2
# An instance that received a suspicion in a rumour waits this multiple of
# ``suspect_ms`` for the decision of the direct observers.
INDIRECT_SUSPICION_FACTOR = 4
# Peers may still address this process by one of its previous incarnations.
INCARNATIONS_KEPT = 4


class Membership:
    """
    Track the state of every published instance.

    The inputs are the published list, the outcomes of probes and the rumours of
    peers; the protocol is similar to SWIM. Only the control thread may use the
    object, except for ``is_late`` and ``current_view``, which are read-only and
    may be called from any thread.
    """

    def __init__(
        self,
        row: InstanceRow,
        options: MembershipOptions,
        incarnation: Incarnation,
        now_ms: float,
        counters: Counters | None = None,
    ) -> None:
        """
        Start in the state JOINING, and late; see ``is_late``.

        Parameters
        ----------
        row
            This instance, according to its settings.
        options
            Timeouts and fan-out.
        incarnation
            From ``make_incarnation``; it may be raised later, see ``incarnation``.
        now_ms
            Monotonic time in milliseconds.
        counters
            Receives the counters ``membership.*``.
        """
        self.name = row.name
        self.options = options
        self.counters = counters or Counters()
        self._table = MemberTable(row, incarnation, now_ms)
        self._own_record = self._table.own_record
        self._records = self._table.records
        self.own_incarnations: tuple[Incarnation, ...] = (incarnation,)
        generator = random.Random(f'{row.name} {incarnation}')
        table_cursor = generator.randrange(1 << 16)
        self._gossip = Gossip(self._table, options, table_cursor)
        self._topology = ProbeTopology(row, options)
        self._schedule = ProbeSchedule(self._table, options, generator, now_ms)
        self._lateness = LatenessTracker(options, now_ms)
        self._has_unsent_changes = False
        self._suspects: set[InstanceId] = set()
        self._probe_candidates: frozenset[InstanceId] = frozenset()
        self._candidates_until_ms = now_ms
        self._is_view_outdated = True
        self._view = View()
        self._refresh_view()

    @property
    def incarnation(self) -> Incarnation:
        """
        Return the incarnation of this process.

        It is raised if a rumour carries a higher incarnation of this instance.
        """
        return self._own_record.incarnation

    @property
    def state(self) -> InstanceState:
        """Return the state of this instance, as its views show it."""
        return self._own_record.visible_state()

    def current_view(self) -> View:
        """Return the latest view; may be called from any thread."""
        return self._view

    def view(self, now_ms: float) -> View:
        """Apply the timeouts that have expired, and return the view."""
        self._advance_time(now_ms)
        return self._view

    def is_late(self, now_ms: float) -> bool:
        """
        Return whether this instance must not act on its ownership now.

        An instance is late after its start, and after a gap between two calls that
        is longer than ``late_wake_ms``. Lateness ends with a successful exchange
        that was sent after it began and left both tables equal. Without one it
        ends after ``isolation_timeout_ms``, and the instance serves alone.
        """
        return self._lateness.is_late(now_ms)

    def set_live(self, now_ms: float) -> None:
        """Announce this instance as LIVE, which makes it a candidate for ownership."""
        self._announce(InstanceState.LIVE, now_ms)

    def leave(self, now_ms: float) -> None:
        """Announce this instance as LEAVING; peers then assign no upstream to it."""
        self._announce(InstanceState.LEAVING, now_ms)

    def set_published(self, rows: Iterable[InstanceRow], now_ms: float) -> None:
        """
        Apply the published list of instances.

        A new instance is JOINING until a rumour about it arrives. An instance that
        is no longer listed is removed from the table.
        """
        published = {row.name: row for row in rows}
        for removed in self._table.apply_published(published, now_ms):
            self._suspects.discard(removed)
            self._gossip.remove(removed)
            self._schedule.remove(removed)
        self._topology.apply_published(published.values())
        self._is_view_outdated = True
        self._refresh_view()

    def probe_targets(self, now_ms: float) -> tuple[InstanceId, ...]:
        """
        Return the instances with which to start an exchange now.

        The caller polls this every few tens of milliseconds; each target is
        returned once per interval.
        """
        self._advance_time(now_ms)
        if self._has_unsent_changes:
            self._has_unsent_changes = False
            self.expedite_exchanges(now_ms)
        return tuple(
            sorted(self._schedule.pop_due_targets(self._intervals_ms(), now_ms))
        )

    def expedite_exchanges(self, now_ms: float) -> None:
        """
        Reschedule the next regular exchanges earlier, because of a change.

        A change thus spreads through the fleet within a few network delays instead
        of a few probe intervals. Limited to one call per half interval.
        """
        self._schedule.expedite(now_ms)

    def neighbors(self) -> tuple[InstanceId, ...]:
        """Return the instances that this instance probes regularly."""
        return tuple(self._intervals_ms())

    def digest(self, target: InstanceId, now_ms: float) -> MembershipDelta:
        """
        Return the membership part of the next message to a peer.

        It holds at most ``RUMORS_PER_MESSAGE`` rumours, and none if the peer's last
        table checksum equals the local one.
        """
        self._advance_time(now_ms)
        delta = MembershipDelta(table_checksum=self._table.checksum)
        delta.rumors.extend(self._gossip.select_rumors(target, now_ms))
        return delta

    def merge(
        self,
        sender: InstanceId,
        delta: MembershipDelta,
        now_ms: float,
    ) -> None:
        """Apply the rumours of a peer; unpublished instances are ignored."""
        self._advance_time(now_ms)
        self._gossip.record_message(sender, delta.table_checksum, now_ms)
        # Checksum of this instance's record in the table of the sender. Without a
        # rumour about it, the record is assumed to be up to date.
        own_checksum_at_sender = self._own_record.checksum()
        for rumor in delta.rumors[:RUMORS_PER_MESSAGE]:
            state = STATE_BY_VALUE.get(rumor.state)
            if state is None or not is_in_range(rumor):
                self.counters.add('membership.malformed_rumor')
            elif rumor.instance == self.name:
                own_checksum_at_sender = checksum_rumor(rumor)
                self._refute(rumor, state, now_ms)
            else:
                self._apply_rumor(rumor, state, now_ms)
        # The record of this instance is compared as the sender has it: a refutation
        # made just now cannot have reached the sender and is no difference.
        others_checksum = self._table.checksum ^ self._own_record.checksum()
        is_same = delta.table_checksum ^ own_checksum_at_sender == others_checksum
        self._gossip.record_comparison(sender, now_ms, is_same=is_same)
        self._refresh_view()

    def find_correction(
        self,
        sender: InstanceId,
        incarnation: Incarnation,
    ) -> MemberRumor | None:
        """
        Return the rumour about a sender that it must refute, if there is one.

        That is the case if the local table has the sender as SUSPECT or DEAD with
        the same incarnation, or with a higher incarnation.
        """
        record = self._records.get(sender)
        if record is None or not record.has_announced:
            return None
        is_suspect_or_dead = record.state in SUSPECT_OR_DEAD
        if record.incarnation > incarnation or (
            is_suspect_or_dead and record.incarnation == incarnation
        ):
            return record.build_rumor()
        return None

    def exchange_succeeded(
        self,
        target: InstanceId,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record that an exchange sent at ``sent_ms`` was answered."""
        self._advance_time(now_ms)
        record = self._records.get(target)
        if record is not None:
            record.failed_probes = 0
            record.is_directly_suspected = False
        if self._gossip.is_in_sync(target):
            self._lateness.clear(sent_ms)

    def probe_failed(
        self,
        target: InstanceId,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """
        Record that an exchange sent at ``sent_ms`` was not answered.

        A failure of an exchange that was sent before the current late period is
        ignored, because the pause of this instance may have caused it.
        """
        self._advance_time(now_ms)
        record = self._records.get(target)
        if (
            record is None
            or record.is_presumed_down
            or self._lateness.is_before_lateness(sent_ms)
        ):
            return
        record.failed_probes += 1
        self._schedule.schedule_retry(target, now_ms)
        if record.state is not InstanceState.SUSPECT:
            self._set_state(record, InstanceState.SUSPECT, now_ms)
            self.counters.add('membership.suspected')
            observers = self._topology.observers(target)
            self._schedule.schedule_co_observers(observers, now_ms)
        if not record.is_directly_suspected:
            record.is_directly_suspected = True
            record.suspected_ms = now_ms
        self._refresh_view()

    def _advance_time(self, now_ms: float) -> None:
        gap_ms = self._lateness.record_call(now_ms)
        if gap_ms > 0:
            self._handle_late_wake(gap_ms, now_ms)
        for name in sorted(self._suspects):
            record = self._records[name]
            if self._is_suspicion_expired(record, now_ms):
                self._set_state(record, InstanceState.DEAD, now_ms)
                self.counters.add('membership.declared_dead')
        self._refresh_view()

    def _handle_late_wake(self, gap_ms: float, now_ms: float) -> None:
        self.counters.add('membership.late_wake')
        for record in self._records.values():
            record.suspected_ms += gap_ms
            record.failed_probes = 0
        # Exchanges with all regular peers start at once, because any one answer
        # ends the late period.
        self._schedule.make_all_due(now_ms)

    def _is_suspicion_expired(self, record: MemberRecord, now_ms: float) -> bool:
        age_ms = now_ms - record.suspected_ms
        if record.is_directly_suspected:
            is_confirmed = record.failed_probes >= FAILED_PROBES_TO_DEATH
            return is_confirmed and age_ms >= self.options.suspect_ms
        return age_ms >= INDIRECT_SUSPICION_FACTOR * self.options.suspect_ms

    def _announce(self, state: InstanceState, now_ms: float) -> None:
        if (
            self._own_record.state is state
            or self._own_record.state is InstanceState.LEAVING
        ):
            return
        self._own_record.is_leaving = state is InstanceState.LEAVING
        self._update_own_record(
            self._own_record.incarnation, self._own_record.revision + 1, state, now_ms
        )
        self._refresh_view()

    def _refute(
        self,
        rumor: MemberRumor,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        own_record = self._own_record
        if rumor.incarnation > own_record.incarnation:
            # The clock was set back: an earlier process of this instance had a
            # higher incarnation.
            self.counters.add('membership.incarnation_raised')
            raised = make_incarnation(
                (rumor.incarnation >> INCARNATION_RANDOM_BITS) + 1,
                own_record.incarnation,
            )
            self.own_incarnations = (raised, *self.own_incarnations)[:INCARNATIONS_KEPT]
            self._update_own_record(raised, 0, own_record.state, now_ms)
            return
        if (
            rumor.incarnation < own_record.incarnation
            or rumor.revision < own_record.revision
        ):
            return
        if rumor.revision > own_record.revision or state is not own_record.state:
            is_older = PRECEDENCE[state] < PRECEDENCE[own_record.state]
            if rumor.revision == own_record.revision and is_older:
                return
            self.counters.add('membership.refuted')
            self._update_own_record(
                own_record.incarnation, rumor.revision + 1, own_record.state, now_ms
            )

    def _update_own_record(
        self,
        incarnation: Incarnation,
        revision: int,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        with self._table.updating_checksum(self._own_record):
            self._own_record.incarnation = incarnation
            self._own_record.revision = revision
            self._own_record.state = state
        self._record_change(self._own_record)

    def _apply_rumor(
        self,
        rumor: MemberRumor,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        record = self._records.get(InstanceId(rumor.instance))
        if record is None:
            self.counters.add('membership.unknown_instance')
            return
        current_order = (record.incarnation, record.revision, PRECEDENCE[record.state])
        if (rumor.incarnation, rumor.revision, PRECEDENCE[state]) <= current_order:
            return
        if rumor.incarnation > record.incarnation:
            record.is_leaving = False
            self._gossip.record_new_peer(record.row.name, now_ms)
        with self._table.updating_checksum(record):
            record.incarnation = Incarnation(rumor.incarnation)
            record.revision = rumor.revision
        self._set_state(record, state, now_ms)

    def _set_state(
        self, record: MemberRecord, state: InstanceState, now_ms: float
    ) -> None:
        if state is InstanceState.SUSPECT:
            record.suspected_ms = now_ms
            self._suspects.add(record.row.name)
        else:
            record.is_leaving = state is InstanceState.LEAVING
            record.failed_probes = 0
            self._suspects.discard(record.row.name)
        record.is_directly_suspected = False
        with self._table.updating_checksum(record):
            record.state = state
        self._record_change(record)

    def _record_change(self, record: MemberRecord) -> None:
        self._has_unsent_changes = True
        self._gossip.queue_rumor(record.row.name)
        self._is_view_outdated = True

    def _intervals_ms(self) -> Mapping[InstanceId, float]:
        now_ms = self._lateness.last_call_ms
        if now_ms >= self._candidates_until_ms:
            self._candidates_until_ms = now_ms + NEW_PEER_PERIOD_MS
            self._probe_candidates = frozenset(
                name
                for name, record in self._records.items()
                if not record.is_presumed_down
                or now_ms - record.added_ms < NEW_PEER_PERIOD_MS
            )
        return self._topology.intervals_ms(self._probe_candidates)

    def _refresh_view(self) -> None:
        if self._is_view_outdated:
            self._is_view_outdated = False
            self._candidates_until_ms = self._lateness.last_call_ms
            self._view = self._table.build_view(self._view.revision + 1)
