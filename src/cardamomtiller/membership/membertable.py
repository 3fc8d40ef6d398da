"""Membership table of an instance, with an incremental checksum."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from cardamomtiller.identity import (
    DomainName,
    Incarnation,
    InstanceId,
    OperatorState,
    RegionName,
)
from cardamomtiller.lists.document import InstanceRow
from cardamomtiller.membership.rumor import (
    UNKNOWN_INCARNATION,
    checksum_rumor,
    encode_state,
)
from cardamomtiller.membership.view import InstanceState, Member, View
from cardamomtiller.peer_pb2 import MemberRumor


@dataclass(slots=True)
class MemberRecord:
    """
    Record of one instance in the membership table.

    ``is_directly_suspected`` is true if probes of this instance itself failed,
    and false if the suspicion was received in a rumour. ``failed_probes`` counts
    the consecutive failures. ``is_leaving`` is kept while the instance is
    suspected.
    """

    row: InstanceRow
    added_ms: float
    is_published: bool = True
    state: InstanceState = InstanceState.JOINING
    incarnation: Incarnation = UNKNOWN_INCARNATION
    revision: int = 0
    is_leaving: bool = False
    suspected_ms: float = 0
    is_directly_suspected: bool = False
    failed_probes: int = 0

    @property
    def has_announced(self) -> bool:
        """Return whether an incarnation of the instance has been recorded."""
        return self.incarnation > 0

    @property
    def is_presumed_down(self) -> bool:
        """Return whether the instance is not expected to answer probes."""
        return self.state is InstanceState.DEAD or not self.has_announced

    @property
    def is_serving(self) -> bool:
        """Return whether the instance may own upstreams."""
        if not self.is_published or self.row.state is OperatorState.LEAVING:
            return False
        if self.state is InstanceState.SUSPECT:
            return not self.is_leaving
        return self.state is InstanceState.LIVE

    def visible_state(self) -> InstanceState:
        """Return the state for views: LEAVING if the operators published it so."""
        is_active = self.state in {InstanceState.LIVE, InstanceState.JOINING}
        if is_active and self.row.state is OperatorState.LEAVING:
            return InstanceState.LEAVING
        return self.state

    def checksum(self) -> int:
        """Return the contribution of this record to the table checksum."""
        if not self.has_announced or not self.is_published:
            return 0
        return checksum_rumor(self.build_rumor())

    def build_rumor(self) -> MemberRumor:
        """Return the record as a rumour for a message to a peer."""
        return MemberRumor(
            instance=self.row.name,
            incarnation=self.incarnation,
            state=encode_state(self.state),
            revision=self.revision,
        )


class MemberTable:
    """
    Records of all published instances and of this instance, with their checksum.

    The checksum covers the published records that have an incarnation. Two
    instances whose checksums differ exchange further rumours.
    """

    def __init__(
        self, row: InstanceRow, incarnation: Incarnation, now_ms: float
    ) -> None:
        """Start with the record of this instance, which is not published yet."""
        self.own_record = MemberRecord(
            row, now_ms, is_published=False, incarnation=incarnation
        )
        self.records: dict[InstanceId, MemberRecord] = {row.name: self.own_record}
        self.checksum = 0

    @contextmanager
    def updating_checksum(self, record: MemberRecord) -> Iterator[None]:
        """Update the table checksum for a change of a record inside the context."""
        self.checksum ^= record.checksum()
        yield
        self.checksum ^= record.checksum()

    def apply_published(
        self,
        published: Mapping[InstanceId, InstanceRow],
        now_ms: float,
    ) -> list[InstanceId]:
        """Apply the published list and return the instances that were removed."""
        own_name = self.own_record.row.name
        removed = [
            name for name in self.records if name not in published and name != own_name
        ]
        for name in removed:
            self.checksum ^= self.records.pop(name).checksum()
        for name, row in published.items():
            record = self.records.get(name)
            if record is None:
                self.records[name] = MemberRecord(row, now_ms)
                continue
            with self.updating_checksum(record):
                record.row = row
                record.is_published = True
        if own_name not in published:
            with self.updating_checksum(self.own_record):
                self.own_record.is_published = False
        return removed

    def build_view(self, revision: int) -> View:
        """Build the immutable view of all published instances."""
        members: dict[InstanceId, Member] = {}
        serving: dict[DomainName, list[InstanceId]] = {}
        regions: dict[RegionName, list[InstanceId]] = {}
        for name in sorted(self.records):
            record = self.records[name]
            if not record.is_published:
                continue
            members[name] = Member(
                record.row, record.visible_state(), record.incarnation
            )
            if record.is_serving:
                serving.setdefault(record.row.domain, []).append(name)
                regions.setdefault(record.row.region, []).append(name)
        return View(
            revision=revision,
            members=members,
            serving={key: tuple(names) for key, names in serving.items()},
            regions={key: tuple(names) for key, names in regions.items()},
        )
