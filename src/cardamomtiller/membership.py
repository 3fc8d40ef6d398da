"""Membership: which instances are alive, decided without I/O."""

import hashlib
import math
import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cardamomtiller.counter import Counters
from cardamomtiller.document import InstanceRow
from cardamomtiller.identity import (
    DomainName,
    Incarnation,
    InstanceId,
    OperatorState,
    RegionName,
)
from cardamomtiller.peer_pb2 import InstanceState as WireState
from cardamomtiller.peer_pb2 import MemberRumor, MembershipDelta
from cardamomtiller.rendezvous import score
from cardamomtiller.settings_pb2 import MembershipSettings

RUMORS_PER_MESSAGE = 256
# A rumour is sent this often per doubling of the fleet; losses that remain are
# repaired by the table checksum.
SENDS_PER_DOUBLING = 2
# Time during which a peer counts as new and is sent the whole table.
NEW_PEER_MS = 5_000.0
# Failed probes by one observer before it may declare a death.
FAILURES_TO_DEATH = 2
# Others wait this many suspicion times for the verdict of an observer.
HEARSAY_FACTOR = 4
# Fleet-wide probes per probe interval of an instance that counts as lost.
LOST_PROBES = 2
CO_OBSERVERS_ASKED = 2
# Part of an interval by which a probe is moved at random.
JITTER_SHARE = 0.1
# Part of an interval over which exchanges with news are spread.
HURRY_SHARE = 0.2
INCARNATION_RANDOM_BITS = 20
# Peers may still address this process by a number that it has raised.
INCARNATIONS_KEPT = 4
CHECKSUM_BYTES = 4
UNHEARD = Incarnation(0)
LARGEST_INCARNATION = 1 << 62
LARGEST_REVISION = 1 << 31


class InstanceState(Enum):
    """State of an instance; the values are those of the wire."""

    JOINING = 1
    LIVE = 2
    SUSPECT = 3
    LEAVING = 4
    DEAD = 5


# Of two rumours with the same incarnation and revision the later one here wins.
_PRECEDENCE = {
    InstanceState.JOINING: 0,
    InstanceState.LIVE: 1,
    InstanceState.LEAVING: 2,
    InstanceState.SUSPECT: 3,
    InstanceState.DEAD: 4,
}
_DOUBTED = frozenset((InstanceState.SUSPECT, InstanceState.DEAD))
_STATES = {state.value: state for state in InstanceState}


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Times and sizes of the membership protocol."""

    probe_interval_ms: float
    probe_timeout_ms: float
    suspect_ms: float
    probe_successors: int
    late_wake_ms: float

    @property
    def alone_ms(self) -> float:
        """Time without any reachable peer after which an instance serves alone."""
        return self.suspect_ms + 2 * self.probe_interval_ms


@dataclass(frozen=True, slots=True)
class Member:
    """A published instance as this instance sees it."""

    row: InstanceRow
    state: InstanceState
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class View:
    """All published instances at one moment; immutable."""

    revision: int = 0
    members: Mapping[InstanceId, Member] = field(default_factory=dict)
    serving: Mapping[DomainName, tuple[InstanceId, ...]] = field(default_factory=dict)
    regions: Mapping[RegionName, tuple[InstanceId, ...]] = field(default_factory=dict)

    def serving_in(self, domain: DomainName) -> tuple[InstanceId, ...]:
        """Return the instances of a failure domain that own upstreams, by name."""
        return self.serving.get(domain, ())

    def serving_in_region(self, region: RegionName) -> tuple[InstanceId, ...]:
        """Return the instances of a region that own upstreams, by name."""
        return self.regions.get(region, ())

    def serving_all(self) -> tuple[InstanceId, ...]:
        """Return all instances that own upstreams, by name."""
        return tuple(sorted(name for names in self.regions.values() for name in names))

    def is_home_alive(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """
        Return whether a home with this incarnation may still answer.

        A cookie may name a newer incarnation than the one this instance has
        heard of; that home counts as alive, because it answers for itself.
        """
        member = self.members.get(instance)
        if member is None or incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            return True
        return member.state is not InstanceState.DEAD


@dataclass(slots=True)
class _Record:
    row: InstanceRow
    known_ms: float
    is_published: bool = True
    state: InstanceState = InstanceState.JOINING
    incarnation: Incarnation = UNHEARD
    revision: int = 0
    is_leaving: bool = False
    suspected_ms: float = 0
    is_observer: bool = False
    failures: int = 0

    @property
    def is_heard_of(self) -> bool:
        return self.incarnation > 0

    @property
    def is_lost(self) -> bool:
        return self.state is InstanceState.DEAD or not self.is_heard_of

    @property
    def is_serving(self) -> bool:
        if not self.is_published or self.row.state is OperatorState.LEAVING:
            return False
        if self.state is InstanceState.SUSPECT:
            return not self.is_leaving
        return self.state is InstanceState.LIVE

    def visible_state(self) -> InstanceState:
        is_active = self.state in {InstanceState.LIVE, InstanceState.JOINING}
        if is_active and self.row.state is OperatorState.LEAVING:
            return InstanceState.LEAVING
        return self.state

    def checksum(self) -> int:
        if not self.is_heard_of or not self.is_published:
            return 0
        return _rumor_checksum(self.rumor())

    def rumor(self) -> MemberRumor:
        return MemberRumor(
            instance=self.row.name,
            incarnation=self.incarnation,
            state=_wire_state(self.state),
            revision=self.revision,
        )


def _is_in_range(rumor: MemberRumor) -> bool:
    # Both numbers are raised by one in a refutation and must still fit then.
    is_revision_valid = rumor.revision < LARGEST_REVISION
    return is_revision_valid and 0 < rumor.incarnation < LARGEST_INCARNATION


def _rumor_checksum(rumor: MemberRumor) -> int:
    # Not a CRC: it is linear, so that the same change in two rows would cancel.
    numbers = f'{rumor.incarnation} {rumor.revision} {rumor.state}'
    text = f'{rumor.instance} {numbers}'
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _wire_state(state: InstanceState) -> WireState.ValueType:
    return WireState.ValueType(state.value)


def read_options(settings: MembershipSettings) -> MembershipOptions:
    """Return the options that stand in the settings."""
    return MembershipOptions(
        probe_interval_ms=settings.probe_interval_ms,
        probe_timeout_ms=settings.probe_timeout_ms,
        suspect_ms=settings.suspect_ms,
        probe_successors=settings.probe_successors,
        late_wake_ms=settings.late_wake_ms,
    )


def make_incarnation(unix_ms: float, entropy: int) -> Incarnation:
    """
    Return the incarnation of a process that starts now.

    Parameters
    ----------
    unix_ms
        Wall clock; later starts get higher numbers unless it steps back.
    entropy
        Random number; its low bits separate two starts in one millisecond.

    Returns
    -------
    Incarnation
        64-bit number above zero.
    """
    low = entropy % (1 << INCARNATION_RANDOM_BITS)
    return Incarnation((max(1, int(unix_ms)) << INCARNATION_RANDOM_BITS) | low)


class Membership:
    """
    Decide who is alive from the published list, probes and rumours.

    The object belongs to the control thread. ``is_late`` and ``current_view``
    only read and may be called from other threads.
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
        Start as JOINING and late.

        Parameters
        ----------
        row
            This instance as its settings describe it.
        options
            Times and sizes.
        incarnation
            From ``make_incarnation``; may rise later, see ``incarnation``.
        now_ms
            Monotonic time in milliseconds.
        counters
            Receives the counts ``membership.*``.
        """
        self.name = row.name
        self.options = options
        self.counters = counters or Counters()
        self._random = random.Random(f'{row.name} {incarnation}')
        self._own = _Record(row, now_ms, is_published=False, incarnation=incarnation)
        self.own_incarnations: tuple[Incarnation, ...] = (incarnation,)
        self._records: dict[InstanceId, _Record] = {row.name: self._own}
        self._checksum = 0
        self._met_ms: dict[InstanceId, float] = {}
        self._peer_checksums: dict[InstanceId, int] = {}
        # Peers whose table still differed after their last message was merged,
        # and since when.
        self._differing: dict[InstanceId, float] = {}
        self._pending: dict[InstanceId, int] = {}
        self._fill_cursor = self._random.randrange(1 << 16)
        self._topology = _Topology(row, options)
        self._due_ms: dict[InstanceId, float] = {}
        self._asked_ms: list[tuple[float, InstanceId]] = []
        self._lost_round_ms = now_ms
        self._hurried_ms = -math.inf
        self._has_news = False
        self._last_call_ms = now_ms
        self._late_since_ms: float | None = now_ms
        self._suspects: set[InstanceId] = set()
        self._usable: frozenset[InstanceId] = frozenset()
        self._usable_until_ms = now_ms
        self._is_changed = True
        self._view = View()
        self._refresh_view()

    @property
    def incarnation(self) -> Incarnation:
        """Return the own incarnation; it rises if a peer knows a higher one."""
        return self._own.incarnation

    @property
    def state(self) -> InstanceState:
        """Return the own state."""
        return self._own.visible_state()

    def current_view(self) -> View:
        """Return the view as of the last decision; safe from any thread."""
        return self._view

    def view(self, now_ms: float) -> View:
        """Return the view, after suspicions that have run out are settled."""
        self._advance(now_ms)
        return self._view

    def is_late(self, now_ms: float) -> bool:
        """
        Return whether this instance must not use its authority now.

        It is late from its start, or from a gap in its calls longer than
        ``late_wake_ms``, until an exchange succeeds that was sent later and
        after which both tables are the same, or until ``alone_ms`` have passed
        without one: then it serves with what it knows.
        """
        if now_ms - self._last_call_ms > self.options.late_wake_ms:
            return True
        since_ms = self._late_since_ms
        return since_ms is not None and now_ms - since_ms < self.options.alone_ms

    def set_live(self, now_ms: float) -> None:
        """Announce that this instance serves."""
        self._announce(InstanceState.LIVE, now_ms)

    def leave(self, now_ms: float) -> None:
        """Announce that this instance leaves; it owns no upstream any more."""
        self._announce(InstanceState.LEAVING, now_ms)

    def set_published(self, rows: Iterable[InstanceRow], now_ms: float) -> None:
        """
        Take the published list.

        A new row counts as JOINING until it is heard of; an instance that is
        not in the list any more is forgotten.
        """
        published = {row.name: row for row in rows}
        for name in list(self._records):
            if name not in published and name != self.name:
                self._forget(name)
        for name, row in published.items():
            record = self._records.get(name)
            if record is None:
                self._records[name] = _Record(row, now_ms)
                continue
            self._checksum ^= record.checksum()
            record.row = row
            record.is_published = True
            self._checksum ^= record.checksum()
        if self.name not in published and self._own.is_published:
            self._checksum ^= self._own.checksum()
            self._own.is_published = False
        self._topology.set_rows(published.values())
        self._is_changed = True
        self._refresh_view()

    def probe_targets(self, now_ms: float) -> tuple[InstanceId, ...]:
        """
        Return the instances with which to start an exchange now.

        To be called every few tens of milliseconds; each target is returned
        once per its interval.
        """
        self._advance(now_ms)
        if self._has_news:
            self._has_news = False
            self.hurry(now_ms)
        targets = set(self._due_neighbors(now_ms))
        targets.update(self._due_lost(now_ms))
        asked = [name for due_ms, name in self._asked_ms if due_ms <= now_ms]
        self._asked_ms = [row for row in self._asked_ms if row[0] > now_ms]
        targets.update(name for name in asked if name in self._records)
        targets.discard(self.name)
        return tuple(sorted(targets))

    def hurry(self, now_ms: float) -> None:
        """
        Bring the next regular exchanges forward, because there is news.

        A change thus crosses the fleet in a few delays of the network and not
        in a few probe intervals. Bounded to one per half interval.
        """
        if now_ms < self._hurried_ms + self.options.probe_interval_ms / 2:
            return
        self._hurried_ms = now_ms
        spread_ms = HURRY_SHARE * self.options.probe_interval_ms
        for name, due_ms in self._due_ms.items():
            hurried_ms = now_ms + spread_ms * self._random.random()
            self._due_ms[name] = min(due_ms, hurried_ms)

    def neighbors(self) -> tuple[InstanceId, ...]:
        """Return the instances that are probed regularly."""
        return tuple(self._intervals_ms())

    def digest(self, target: InstanceId, now_ms: float) -> MembershipDelta:
        """
        Return what to say to a peer in the next exchange.

        At most ``RUMORS_PER_MESSAGE`` rumours, and none if the peer's table is
        known to be the same.
        """
        self._advance(now_ms)
        delta = MembershipDelta(table_checksum=self._checksum)
        if self._peer_checksums.get(target) != self._checksum:
            for name in self._choose_rumors(target, now_ms):
                delta.rumors.append(self._records[name].rumor())
        return delta

    def merge(
        self,
        sender: InstanceId,
        delta: MembershipDelta,
        now_ms: float,
    ) -> None:
        """Take the rumours of a peer; unknown instances are ignored."""
        self._advance(now_ms)
        if sender in self._records:
            self._peer_checksums[sender] = delta.table_checksum
            self._met_ms.setdefault(sender, now_ms)
            if self._records[sender].state in _DOUBTED:
                # It was away and may have missed changes, as a new peer has.
                self._met_ms[sender] = now_ms
        # What the sender's table says about this instance, as far as it is told.
        about_self = self._own.checksum()
        for rumor in delta.rumors[:RUMORS_PER_MESSAGE]:
            state = _STATES.get(rumor.state)
            if state is None or not _is_in_range(rumor):
                self.counters.add('membership.malformed_rumor')
            elif rumor.instance == self.name:
                about_self = _rumor_checksum(rumor)
                self._refute(rumor, state, now_ms)
            else:
                self._adopt(rumor, state, now_ms)
        # A refutation that the sender could not know of yet is no difference.
        others = self._checksum ^ self._own.checksum()
        if delta.table_checksum ^ about_self == others:
            self._differing.pop(sender, None)
        elif sender in self._records:
            self._differing.setdefault(sender, now_ms)
        self._refresh_view()

    def correct(
        self,
        sender: InstanceId,
        incarnation: Incarnation,
    ) -> MemberRumor | None:
        """
        Return what a sender must hear about itself, if anything.

        It is suspected, counts as dead, or runs with an incarnation lower than
        one that was already used under its name.
        """
        record = self._records.get(sender)
        if record is None or not record.is_heard_of:
            return None
        is_doubted = record.state in _DOUBTED
        if record.incarnation > incarnation or (
            is_doubted and record.incarnation == incarnation
        ):
            return record.rumor()
        return None

    def exchange_succeeded(
        self,
        target: InstanceId,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Take note that an exchange sent at ``sent_ms`` was answered."""
        self._advance(now_ms)
        record = self._records.get(target)
        if record is not None:
            record.failures = 0
            record.is_observer = False
        since_ms = self._late_since_ms
        is_agreed = target not in self._differing
        if since_ms is not None and sent_ms >= since_ms and is_agreed:
            self._late_since_ms = None

    def probe_failed(
        self,
        target: InstanceId,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """
        Take note that an exchange sent at ``sent_ms`` was not answered.

        Nothing follows from one that was sent before this instance was late,
        because the failure may be its own.
        """
        self._advance(now_ms)
        record = self._records.get(target)
        since_ms = self._late_since_ms
        if record is None or record.is_lost:
            return
        if since_ms is not None and sent_ms < since_ms:
            return
        record.failures += 1
        self._due_ms[target] = now_ms + self.options.probe_interval_ms / 2
        if record.state is not InstanceState.SUSPECT:
            self._change(record, InstanceState.SUSPECT, now_ms)
            self.counters.add('membership.suspected')
            self._ask_co_observers(target, now_ms)
        if not record.is_observer:
            record.is_observer = True
            record.suspected_ms = now_ms
        self._refresh_view()

    def _advance(self, now_ms: float) -> None:
        gap_ms = now_ms - self._last_call_ms
        self._last_call_ms = max(self._last_call_ms, now_ms)
        if gap_ms > self.options.late_wake_ms:
            self._wake_late(gap_ms, now_ms)
        for name in sorted(self._suspects):
            record = self._records[name]
            if self._is_run_out(record, now_ms):
                self._change(record, InstanceState.DEAD, now_ms)
                self.counters.add('membership.declared_dead')
        self._refresh_view()

    def _wake_late(self, gap_ms: float, now_ms: float) -> None:
        self.counters.add('membership.late_wake')
        self._late_since_ms = now_ms
        for record in self._records.values():
            record.suspected_ms += gap_ms
            record.failures = 0
        # All regular peers are asked at once, so that one answer is enough.
        self._due_ms = dict.fromkeys(self._due_ms, now_ms)

    def _is_run_out(self, record: _Record, now_ms: float) -> bool:
        age_ms = now_ms - record.suspected_ms
        if record.is_observer:
            is_confirmed = record.failures >= FAILURES_TO_DEATH
            return is_confirmed and age_ms >= self.options.suspect_ms
        return age_ms >= HEARSAY_FACTOR * self.options.suspect_ms

    def _announce(self, state: InstanceState, now_ms: float) -> None:
        if self._own.state is state or self._own.state is InstanceState.LEAVING:
            return
        self._own.is_leaving = state is InstanceState.LEAVING
        self._set_own(self._own.incarnation, self._own.revision + 1, state, now_ms)
        self._refresh_view()

    def _refute(
        self,
        rumor: MemberRumor,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        own = self._own
        if rumor.incarnation > own.incarnation:
            # The clock stepped back: an earlier process used a higher number.
            self.counters.add('membership.incarnation_raised')
            raised = make_incarnation(
                (rumor.incarnation >> INCARNATION_RANDOM_BITS) + 1,
                own.incarnation,
            )
            self.own_incarnations = (raised, *self.own_incarnations)[:INCARNATIONS_KEPT]
            self._set_own(raised, 0, own.state, now_ms)
            return
        if rumor.incarnation < own.incarnation or rumor.revision < own.revision:
            return
        if rumor.revision > own.revision or state is not own.state:
            is_older = _PRECEDENCE[state] < _PRECEDENCE[own.state]
            if rumor.revision == own.revision and is_older:
                return
            self.counters.add('membership.refuted')
            self._set_own(own.incarnation, rumor.revision + 1, own.state, now_ms)

    def _set_own(
        self,
        incarnation: Incarnation,
        revision: int,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        self._checksum ^= self._own.checksum()
        self._own.incarnation = incarnation
        self._own.revision = revision
        self._own.state = state
        self._has_news = True
        self._checksum ^= self._own.checksum()
        self._note_change(self._own, now_ms)

    def _adopt(
        self,
        rumor: MemberRumor,
        state: InstanceState,
        now_ms: float,
    ) -> None:
        record = self._records.get(InstanceId(rumor.instance))
        if record is None:
            self.counters.add('membership.unknown_instance')
            return
        held = (record.incarnation, record.revision, _PRECEDENCE[record.state])
        if (rumor.incarnation, rumor.revision, _PRECEDENCE[state]) <= held:
            return
        if rumor.incarnation > record.incarnation:
            record.is_leaving = False
            self._met_ms[record.row.name] = now_ms
        self._checksum ^= record.checksum()
        record.incarnation = Incarnation(rumor.incarnation)
        record.revision = rumor.revision
        self._checksum ^= record.checksum()
        self._change(record, state, now_ms)

    def _change(self, record: _Record, state: InstanceState, now_ms: float) -> None:
        self._checksum ^= record.checksum()
        if state is InstanceState.SUSPECT:
            record.suspected_ms = now_ms
            self._suspects.add(record.row.name)
        else:
            record.is_leaving = state is InstanceState.LEAVING
            record.failures = 0
            self._suspects.discard(record.row.name)
        record.is_observer = False
        record.state = state
        self._has_news = True
        self._checksum ^= record.checksum()
        self._note_change(record, now_ms)

    def _note_change(self, record: _Record, now_ms: float) -> None:
        doublings = len(self._records).bit_length()
        self._pending[record.row.name] = SENDS_PER_DOUBLING * doublings
        self._is_changed = True

    def _forget(self, name: InstanceId) -> None:
        self._checksum ^= self._records.pop(name).checksum()
        self._suspects.discard(name)
        self._differing.pop(name, None)
        for table in (self._pending, self._peer_checksums, self._met_ms, self._due_ms):
            table.pop(name, None)

    def _choose_rumors(self, target: InstanceId, now_ms: float) -> list[InstanceId]:
        chosen: dict[InstanceId, None] = {self.name: None}
        about_target = self._records.get(target)
        if about_target is not None and about_target.state in _DOUBTED:
            chosen[target] = None
        for name in sorted(self._pending, key=self._pending.__getitem__, reverse=True):
            if len(chosen) >= RUMORS_PER_MESSAGE:
                break
            chosen[name] = None
            self._pending[name] -= 1
            if not self._pending[name]:
                self._pending.pop(name)
        if self._needs_fill(target, now_ms):
            self._fill(chosen)
        return [name for name in chosen if self._records[name].is_heard_of]

    def _needs_fill(self, target: InstanceId, now_ms: float) -> bool:
        since_ms = self._differing.get(target)
        if since_ms is None:
            return False
        # A difference that has lasted is no change that is still on its way.
        is_lasting = now_ms - since_ms > 2 * self.options.probe_interval_ms
        met_ms = now_ms - self._met_ms.get(target, now_ms)
        return is_lasting or met_ms < NEW_PEER_MS

    def _fill(self, chosen: dict[InstanceId, None]) -> None:
        names = list(self._records)
        for _ in names:
            if len(chosen) >= RUMORS_PER_MESSAGE:
                return
            self._fill_cursor = (self._fill_cursor + 1) % len(names)
            name = names[self._fill_cursor]
            if self._records[name].is_heard_of:
                chosen[name] = None

    def _intervals_ms(self) -> Mapping[InstanceId, float]:
        now_ms = self._last_call_ms
        if now_ms >= self._usable_until_ms:
            self._usable_until_ms = now_ms + NEW_PEER_MS
            self._usable = frozenset(
                name
                for name, record in self._records.items()
                if not record.is_lost or now_ms - record.known_ms < NEW_PEER_MS
            )
        return self._topology.intervals_ms(self._usable)

    def _due_neighbors(self, now_ms: float) -> Iterator[InstanceId]:
        intervals_ms = self._intervals_ms()
        for gone in self._due_ms.keys() - intervals_ms.keys():
            self._due_ms.pop(gone)
        for name, interval_ms in intervals_ms.items():
            due_ms = self._due_ms.get(name)
            if due_ms is None:
                due_ms = now_ms + JITTER_SHARE * interval_ms * self._random.random()
                self._due_ms[name] = due_ms
            if due_ms <= now_ms:
                jitter = 1 + JITTER_SHARE * self._random.uniform(-1, 1)
                self._due_ms[name] = now_ms + interval_ms * jitter
                yield name

    def _due_lost(self, now_ms: float) -> Iterator[InstanceId]:
        if now_ms < self._lost_round_ms:
            return
        jitter = 1 + JITTER_SHARE * self._random.uniform(-1, 1)
        self._lost_round_ms = now_ms + self.options.probe_interval_ms * jitter
        lost = [name for name, record in self._records.items() if record.is_lost]
        present = max(1, len(self._records) - len(lost))
        if lost and self._random.random() < LOST_PROBES * len(lost) / present:
            yield self._random.choice(lost)

    def _ask_co_observers(self, target: InstanceId, now_ms: float) -> None:
        # They may still reach the target and then hold its refutation, so they
        # are asked at once and again before the suspicion runs out.
        names = [
            name
            for name in self._topology.observers(target)
            if name != self.name and not self._records[name].is_lost
        ]
        for name in names[:CO_OBSERVERS_ASKED]:
            self._asked_ms.append((now_ms, name))
            again_ms = self.options.suspect_ms - self.options.probe_timeout_ms / 2
            self._asked_ms.append((now_ms + max(again_ms, 0), name))

    def _refresh_view(self) -> None:
        if self._is_changed:
            self._is_changed = False
            self._usable_until_ms = self._last_call_ms
            self._rebuild_view()

    def _rebuild_view(self) -> None:
        members: dict[InstanceId, Member] = {}
        serving: dict[DomainName, list[InstanceId]] = {}
        regions: dict[RegionName, list[InstanceId]] = {}
        for name in sorted(self._records):
            record = self._records[name]
            if not record.is_published:
                continue
            members[name] = Member(
                record.row, record.visible_state(), record.incarnation
            )
            if record.is_serving:
                serving.setdefault(record.row.domain, []).append(name)
                regions.setdefault(record.row.region, []).append(name)
        self._view = View(
            revision=self._view.revision + 1,
            members=members,
            serving={key: tuple(names) for key, names in serving.items()},
            regions={key: tuple(names) for key, names in regions.items()},
        )


class _Topology:
    """Who probes whom, from the published list alone."""

    def __init__(self, row: InstanceRow, options: MembershipOptions) -> None:
        self._own = row
        self._options = options
        self._domains: dict[DomainName, list[InstanceId]] = {}
        self._rings: list[list[InstanceId]] = []
        self._domain_of: dict[InstanceId, DomainName] = {}
        self._cached: tuple[frozenset[InstanceId], dict[InstanceId, float]] | None
        self._cached = None

    def set_rows(self, rows: Iterable[InstanceRow]) -> None:
        self._cached = None
        self._domain_of = {row.name: row.domain for row in rows}
        self._domain_of[self._own.name] = self._own.domain
        domains: dict[DomainName, list[InstanceId]] = {}
        for name in sorted(self._domain_of):
            domains.setdefault(self._domain_of[name], []).append(name)
        self._domains = domains
        self._rings = [
            _ring(domains[self._own.domain], number)
            for number in range(self._options.probe_successors)
        ]

    def intervals_ms(self, usable: frozenset[InstanceId]) -> dict[InstanceId, float]:
        """Return the regular targets and the interval of each."""
        if self._cached is not None and self._cached[0] == usable:
            return self._cached[1]
        interval_ms = self._options.probe_interval_ms
        intervals: dict[InstanceId, float] = {}
        for ring in self._rings:
            name = _successor(ring, self._own.name, usable - intervals.keys())
            if name is not None:
                intervals[name] = interval_ms
        others = [name for name in self._domains if name != self._own.domain]
        for domain in others:
            name = self._counterpart(domain, usable)
            if name is not None:
                # One other domain per interval, so that the number of messages
                # does not grow with the number of domains.
                intervals[name] = interval_ms * len(others)
        self._cached = (usable, intervals)
        return intervals

    def observers(self, target: InstanceId) -> list[InstanceId]:
        """Return the instances that probe a target of the own domain."""
        found: dict[InstanceId, None] = {}
        for ring in self._rings:
            if target in ring:
                found[ring[ring.index(target) - 1]] = None
        found.pop(target, None)
        return list(found)

    def _counterpart(
        self,
        domain: DomainName,
        usable: frozenset[InstanceId],
    ) -> InstanceId | None:
        own = self._domains[self._own.domain]
        names = self._domains[domain]
        start = own.index(self._own.name) * len(names) // len(own)
        return _first_usable(names[start:] + names[:start], usable)


def _ring(names: Iterable[InstanceId], number: int) -> list[InstanceId]:
    # Independent orders make the graph of probes an expander: a rumour crosses
    # a domain of n instances in about log(n) exchanges. With the neighbours on
    # one ring it would take n / (2 * successors).
    return sorted(names, key=lambda name: (score(str(number), name), name))


def _successor(
    ring: list[InstanceId],
    own: InstanceId,
    usable: frozenset[InstanceId],
) -> InstanceId | None:
    start = ring.index(own)
    return _first_usable(ring[start + 1 :] + ring[:start], usable)


def _first_usable(
    names: Iterable[InstanceId],
    usable: frozenset[InstanceId],
) -> InstanceId | None:
    return next((name for name in names if name in usable), None)
