"""Gossip between instances: which rumours a message carries."""

from collections.abc import Iterator

from cardamomtiller.identity import InstanceId
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.membertable import MemberTable
from cardamomtiller.membership.rumor import DOUBTED
from cardamomtiller.peer_pb2 import MemberRumor

RUMORS_PER_MESSAGE = 256
# A rumour is sent this often per doubling of the fleet; losses that remain are
# repaired by the table checksum.
SENDS_PER_DOUBLING = 2
# Time during which a peer counts as new and is sent the whole table.
NEW_PEER_MS = 5_000.0


class Gossip:
    """
    Choose the rumours of each message.

    News is sent a few times; a peer whose table still differs is sent the rest
    of the table piece by piece.
    """

    def __init__(
        self,
        table: MemberTable,
        options: MembershipOptions,
        fill_cursor: int,
    ) -> None:
        """Start without news; ``fill_cursor`` is the first place in the table."""
        self._table = table
        self._options = options
        self._met_ms: dict[InstanceId, float] = {}
        self._peer_checksums: dict[InstanceId, int] = {}
        # Peers whose table still differed after their last message was merged,
        # and since when.
        self._differing: dict[InstanceId, float] = {}
        self._pending: dict[InstanceId, int] = {}
        self._fill_cursor = fill_cursor

    def is_agreed(self, peer: InstanceId) -> bool:
        """Return whether a peer's table is not known to differ."""
        return peer not in self._differing

    def note_news(self, name: InstanceId) -> None:
        """Spread what the table says about an instance."""
        doublings = len(self._table.records).bit_length()
        self._pending[name] = SENDS_PER_DOUBLING * doublings

    def note_new_peer(self, peer: InstanceId, now_ms: float) -> None:
        """Take note that a peer started anew and may lack the table."""
        self._met_ms[peer] = now_ms

    def note_message(self, peer: InstanceId, checksum: int, now_ms: float) -> None:
        """Take note of a message of a peer and the checksum of its table."""
        record = self._table.records.get(peer)
        if record is None:
            return
        self._peer_checksums[peer] = checksum
        self._met_ms.setdefault(peer, now_ms)
        if record.state in DOUBTED:
            # It was away and may have missed changes, as a new peer has.
            self._met_ms[peer] = now_ms

    def note_comparison(
        self,
        peer: InstanceId,
        now_ms: float,
        *,
        is_same: bool,
    ) -> None:
        """Take note whether both tables are the same after a merge."""
        if is_same:
            self._differing.pop(peer, None)
        elif peer in self._table.records:
            self._differing.setdefault(peer, now_ms)

    def forget(self, name: InstanceId) -> None:
        """Drop what is known about an instance."""
        self._differing.pop(name, None)
        self._pending.pop(name, None)
        self._peer_checksums.pop(name, None)
        self._met_ms.pop(name, None)

    def choose(self, target: InstanceId, now_ms: float) -> Iterator[MemberRumor]:
        """
        Iterate over what to say to a peer.

        At most ``RUMORS_PER_MESSAGE`` rumours, and none if the peer's table is
        known to be the same.
        """
        if self._peer_checksums.get(target) == self._table.checksum:
            return
        for name in self._choose_names(target, now_ms):
            yield self._table.records[name].rumor()

    def _choose_names(self, target: InstanceId, now_ms: float) -> list[InstanceId]:
        chosen: dict[InstanceId, None] = {self._table.own.row.name: None}
        about_target = self._table.records.get(target)
        if about_target is not None and about_target.state in DOUBTED:
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
        return [name for name in chosen if self._table.records[name].is_heard_of]

    def _needs_fill(self, target: InstanceId, now_ms: float) -> bool:
        since_ms = self._differing.get(target)
        if since_ms is None:
            return False
        # A difference that has lasted is no change that is still on its way.
        is_lasting = now_ms - since_ms > 2 * self._options.probe_interval_ms
        met_ms = now_ms - self._met_ms.get(target, now_ms)
        return is_lasting or met_ms < NEW_PEER_MS

    def _fill(self, chosen: dict[InstanceId, None]) -> None:
        names = list(self._table.records)
        for _ in names:
            if len(chosen) >= RUMORS_PER_MESSAGE:
                return
            self._fill_cursor = (self._fill_cursor + 1) % len(names)
            name = names[self._fill_cursor]
            if self._table.records[name].is_heard_of:
                chosen[name] = None
