"""Calls to the replicas of peers, each with a time limit."""

from typing import NamedTuple

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.records import Revision
from cardamomtiller.forwarding.replication.peersource import (
    ChangesRequest,
    PeerConnection,
    PeerReply,
)
from cardamomtiller.forwarding.replication.sources import Choice


class PeerOptions(NamedTuple):
    """
    Timing of calls to peers.

    Attributes
    ----------
    internal_port
        Port at which all peers serve their replicas.
    reply_ms
        Time that the reply of a peer may take beyond its wait for a change.
    timeout_ms
        Longest time of a call that does not wait for a change.
    """

    internal_port: int
    reply_ms: float
    timeout_ms: float


class PeerReader:
    """Reads from one peer at a time, and keeps the connection to it."""

    def __init__(self, options: PeerOptions) -> None:
        """Start without a connection."""
        self._options = options
        self._connection: PeerConnection | None = None
        self.calls = 0

    def read_changes(self, choice: Choice, after: Revision, age_ms: float) -> PeerReply:
        """
        Read the changes after a revision; wait for one as long as the choice allows.

        Parameters
        ----------
        choice
            The peer, and the age of the local replica by which the call must have ended.
        after
            Revision of the local replica.
        age_ms
            Age of the local replica.

        Raises
        ------
        SourceError
            If the peer does not answer in time or its reply is malformed.
        """
        self.calls += 1
        return self._connect(choice.member).read(self._request(choice, after, age_ms))

    def read_retained(self, peer: Member) -> PeerReply:
        """
        Read what a peer kept across a restore, over a connection of its own.

        Raises
        ------
        SourceError
            If the peer does not answer in time or its reply is malformed.
        """
        self.calls += 1
        connection = self._open(peer)
        try:
            return connection.read_retained(self._options.timeout_ms)
        finally:
            connection.close()

    def _request(
        self, choice: Choice, after: Revision, age_ms: float
    ) -> ChangesRequest:
        reply_ms = self._options.reply_ms
        max_age_ms = round(choice.end_age_ms - reply_ms)
        timeout_ms = choice.end_age_ms - age_ms
        if timeout_ms < reply_ms:
            # No source has answered in time, so any reply is better than none.
            return ChangesRequest(after, 0, max_age_ms, self._options.timeout_ms)
        wait_ms = round(timeout_ms - reply_ms)
        return ChangesRequest(after, wait_ms, max_age_ms, timeout_ms)

    def _connect(self, peer: Member) -> PeerConnection:
        address = (peer.host, self._options.internal_port)
        if self._connection is None or self._connection.address != address:
            if self._connection is not None:
                self._connection.close()
            self._connection = self._open(peer)
        return self._connection

    def _open(self, peer: Member) -> PeerConnection:
        return PeerConnection((peer.host, self._options.internal_port))
