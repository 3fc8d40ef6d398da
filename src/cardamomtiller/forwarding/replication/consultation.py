"""Selection of the peers that are asked for what they kept across a restore.

A source that was restored from an older copy lacks the latest changes until they are
written again. An instance that starts then, or that had missed them, learns them from
peers that had them in force.
"""

from collections.abc import Iterable

from cardamomtiller.forwarding.member import READER_CANDIDATES, Member, rank
from cardamomtiller.forwarding.published.records import (
    NO_EPOCH,
    NO_REVISION,
    Batch,
    Epoch,
)


class Consultation:
    """Peers to ask after the first list of an epoch, until one has kept something."""

    def __init__(self) -> None:
        """Start without an epoch; no peer is asked before the first list."""
        self._epoch = NO_EPOCH
        self._asked_hosts: set[str] = set()
        self._is_answered = True

    def start(self, epoch: Epoch) -> None:
        """Ask again if the list that was read is of another epoch than before."""
        if epoch != self._epoch:
            self._epoch = epoch
            self._asked_hosts.clear()
            self._is_answered = False

    def next_peer(self, peers: Iterable[Member]) -> Member | None:
        """Return the next peer to ask, None if no other one has to be asked."""
        if self._is_answered or len(self._asked_hosts) >= READER_CANDIDATES:
            return None
        for peer in rank(peers):
            if peer.host not in self._asked_hosts:
                return peer
        return None

    def record_answer(self, host: str, batch: Batch) -> None:
        """Record an answer; a peer that is still in an earlier epoch is asked again."""
        if batch.revision != NO_REVISION and batch.revision.epoch < self._epoch:
            return
        self._asked_hosts.add(host)
        self._is_answered = batch.after is None

    def record_failure(self, host: str) -> None:
        """Record that a peer did not answer; it is not asked again."""
        self._asked_hosts.add(host)
