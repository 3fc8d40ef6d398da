"""Upstreams with their published entry and their state."""

from enum import Enum
from typing import NamedTuple
from zlib import crc32

from cardamomtiller.forwarding.packet import NO_TOKEN, Token
from cardamomtiller.ids import DomainName, ServiceName, UpstreamId

SocketAddress = tuple[str, int]


class UpstreamState(Enum):
    """State of an upstream in the directory."""

    READY = 'ready'
    DRAINING = 'draining'
    # The entry was removed a short time ago and may be published again.
    MISSING = 'missing'
    GONE = 'gone'


class UpstreamEntry(NamedTuple):
    """
    Published entry of an upstream.

    Attributes
    ----------
    frame
        Bytes put before each packet, so that another process at the same address
        does not accept it.
    slots
        Number of requests that the upstream executes at the same time.
    slow_start_left_ms
        Rest of the slow-start period, from the time of the entry.
    incarnation
        Start of the process; higher after a restart under the same id.
    sequence
        Number of the entry among those that the process has written.
    """

    upstream: UpstreamId
    service: ServiceName
    domain: DomainName
    address: SocketAddress
    frame: bytes
    slots: int
    is_ready: bool
    slow_start_left_ms: float
    incarnation: int
    sequence: int = 0

    def precedes(self, other: 'UpstreamEntry') -> bool:
        """Return whether another entry of this upstream is later and differs."""
        position = (self.incarnation, self.sequence)
        is_earlier = position < (other.incarnation, other.sequence)
        return is_earlier and self._replace(sequence=other.sequence) != other


class Upstream:
    """An upstream with its latest entry, its state and the time of the last change."""

    __slots__ = ('changed_ms', 'entry', 'slow_start_ends_ms', 'state', 'token')

    def __init__(self, entry: UpstreamEntry, token: Token, now_ms: float) -> None:
        """Initialise from the first entry."""
        self.token = token
        self.update(entry, now_ms)

    @property
    def is_published(self) -> bool:
        """Whether the source has an entry of the upstream."""
        return self.state in {UpstreamState.READY, UpstreamState.DRAINING}

    @property
    def was_removed_while_ready(self) -> bool:
        """Whether the entry was removed although the upstream did not drain."""
        return self.entry.is_ready and not self.is_published

    def update(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Replace the entry by a newer one and set the state from it."""
        self.entry = entry
        self.state = UpstreamState.READY if entry.is_ready else UpstreamState.DRAINING
        self.changed_ms = now_ms
        self.slow_start_ends_ms = now_ms + entry.slow_start_left_ms

    def record_removal(self, now_ms: float) -> None:
        """Change the state because the entry was removed."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.MISSING
        elif self.state is UpstreamState.DRAINING:
            self.state = UpstreamState.GONE
        self.changed_ms = now_ms


def token_of(upstream_id: UpstreamId) -> Token:
    """Return the token of an upstream id, which is equal on all instances."""
    return Token(crc32(upstream_id.encode()) or 1) if upstream_id else NO_TOKEN
