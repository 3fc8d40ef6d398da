"""Selection of the rumours that a gossip message carries."""

from collections.abc import Iterator

from cardamomtiller.identity import InstanceId
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.membertable import MemberTable
from cardamomtiller.membership.rumor import SUSPECT_OR_DEAD
from cardamomtiller.peer_pb2 import MemberRumor

RUMORS_PER_MESSAGE = 256
# A rumour is sent this many times per doubling of the fleet size. Rumours that are
# lost nevertheless are repaired after a comparison of the table checksums.
SENDS_PER_DOUBLING = 2
# After its first message, a peer counts as new for this time and is sent the whole
# table if its checksum differs.
NEW_PEER_PERIOD_MS = 5_000.0


class Gossip:
    """
    Select the rumours for each message.

    A changed record is sent in a limited number of messages. A peer whose table
    checksum keeps differing is also sent the rest of the table, split over
    several messages.
    """

    def __init__(
        self,
        table: MemberTable,
        options: MembershipOptions,
        table_cursor: int,
    ) -> None:
        """Start with no queued rumours; ``table_cursor`` is an offset in the table."""
        self._table = table
        self._options = options
        self._new_since_ms: dict[InstanceId, float] = {}
        self._peer_checksums: dict[InstanceId, int] = {}
        # Peers whose table checksum still differed after their last message was
        # merged, with the time of the first such message.
        self._differing_since_ms: dict[InstanceId, float] = {}
        self._remaining_sends: dict[InstanceId, int] = {}
        self._table_cursor = table_cursor

    def is_in_sync(self, peer: InstanceId) -> bool:
        """Return whether the last comparison with a peer's table found it equal."""
        return peer not in self._differing_since_ms

    def queue_rumor(self, name: InstanceId) -> None:
        """Queue the record of an instance for the next messages."""
        doublings = len(self._table.records).bit_length()
        self._remaining_sends[name] = SENDS_PER_DOUBLING * doublings

    def record_new_peer(self, peer: InstanceId, now_ms: float) -> None:
        """Record that a peer was restarted and may have an empty table."""
        self._new_since_ms[peer] = now_ms

    def record_message(self, peer: InstanceId, checksum: int, now_ms: float) -> None:
        """Record that a message of a peer arrived, with the checksum of its table."""
        record = self._table.records.get(peer)
        if record is None:
            return
        self._peer_checksums[peer] = checksum
        self._new_since_ms.setdefault(peer, now_ms)
        if record.state in SUSPECT_OR_DEAD:
            # The peer was unreachable and, like a new peer, may lack changes.
            self._new_since_ms[peer] = now_ms

    def record_comparison(
        self,
        peer: InstanceId,
        now_ms: float,
        *,
        is_same: bool,
    ) -> None:
        """Record whether the local table equals a peer's table after a merge."""
        if is_same:
            self._differing_since_ms.pop(peer, None)
        elif peer in self._table.records:
            self._differing_since_ms.setdefault(peer, now_ms)

    def remove(self, name: InstanceId) -> None:
        """Remove an instance that is no longer published."""
        self._differing_since_ms.pop(name, None)
        self._remaining_sends.pop(name, None)
        self._peer_checksums.pop(name, None)
        self._new_since_ms.pop(name, None)

    def select_rumors(self, target: InstanceId, now_ms: float) -> Iterator[MemberRumor]:
        """
        Select the rumours for the next message to a peer.

        Yields at most ``RUMORS_PER_MESSAGE`` rumours, and none if the peer's last
        table checksum equals the local one.
        """
        if self._peer_checksums.get(target) == self._table.checksum:
            return
        for name in self._select_names(target, now_ms):
            yield self._table.records[name].build_rumor()

    def _select_names(self, target: InstanceId, now_ms: float) -> list[InstanceId]:
        chosen: dict[InstanceId, None] = {self._table.own_record.row.name: None}
        target_record = self._table.records.get(target)
        if target_record is not None and target_record.state in SUSPECT_OR_DEAD:
            chosen[target] = None
        for name in sorted(
            self._remaining_sends, key=self._remaining_sends.__getitem__, reverse=True
        ):
            if len(chosen) >= RUMORS_PER_MESSAGE:
                break
            chosen[name] = None
            self._remaining_sends[name] -= 1
            if not self._remaining_sends[name]:
                self._remaining_sends.pop(name)
        if self._needs_table(target, now_ms):
            self._add_table_rumors(chosen)
        return [name for name in chosen if self._table.records[name].has_announced]

    def _needs_table(self, target: InstanceId, now_ms: float) -> bool:
        since_ms = self._differing_since_ms.get(target)
        if since_ms is None:
            return False
        # A recent difference may be a change that is still being sent as a rumour.
        is_lasting = now_ms - since_ms > 2 * self._options.probe_interval_ms
        peer_age_ms = now_ms - self._new_since_ms.get(target, now_ms)
        return is_lasting or peer_age_ms < NEW_PEER_PERIOD_MS

    def _add_table_rumors(self, chosen: dict[InstanceId, None]) -> None:
        names = list(self._table.records)
        for _ in names:
            if len(chosen) >= RUMORS_PER_MESSAGE:
                return
            self._table_cursor = (self._table_cursor + 1) % len(names)
            name = names[self._table_cursor]
            if self._table.records[name].has_announced:
                chosen[name] = None
