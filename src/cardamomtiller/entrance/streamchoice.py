"""Which upstream a plain TCP connection goes to, and whether it may."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Callable

from cardamomtiller.identity import (
    CustomerId,
    InstanceId,
    OperatorState,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import UpstreamRow

# Time for which an upstream that refused a connection is chosen last.
AVOIDANCE_MS = 2000


class StreamLimit(ABC):
    """Limit on the plain TCP connections of a customer."""

    @abstractmethod
    def admit(self, customer: CustomerId, now_ms: float) -> bool:
        """Return whether one more connection is within the allowance."""

    @abstractmethod
    def release(self, customer: CustomerId, now_ms: float) -> None:
        """Return an admitted connection."""


class StreamChooser(ABC):
    """Choice of an upstream for a new connection."""

    @abstractmethod
    def choose(
        self,
        service: ServiceName,
        exclude: frozenset[UpstreamId],
        now_ms: float,
    ) -> UpstreamRow | None:
        """Return an upstream of the service outside ``exclude``, or None."""

    @abstractmethod
    def opened(self, upstream: UpstreamId) -> None:
        """Learn that a connection to an upstream is open."""

    @abstractmethod
    def closed(self, upstream: UpstreamId) -> None:
        """Learn that a connection to an upstream has ended."""

    @abstractmethod
    def connect_failed(self, upstream: UpstreamId, now_ms: float) -> None:
        """Learn that an upstream could not be connected to."""


class FewestConnections(StreamChooser):
    """
    Choose the upstream with the fewest connections relayed by this instance.

    Ties are broken by a hash of the names of instance and upstream, so that
    instances with few connections do not all prefer the same upstream.
    """

    def __init__(self, catalog: Callable[[], Catalog], instance: InstanceId) -> None:
        """Start without connections."""
        self._catalog = catalog
        self._instance = instance
        self._open_counts: dict[UpstreamId, int] = {}
        self._avoid_until_ms: dict[UpstreamId, float] = {}

    def choose(
        self,
        service: ServiceName,
        exclude: frozenset[UpstreamId],
        now_ms: float,
    ) -> UpstreamRow | None:
        """Return the upstream with the fewest connections, or None."""
        rows = (
            row
            for row in self._catalog().pools.get(service, ())
            if row.stream_address is not None
            and row.state is not OperatorState.LEAVING
            and row.name not in exclude
        )
        return min(rows, key=lambda row: self._rank(row.name, now_ms), default=None)

    def opened(self, upstream: UpstreamId) -> None:
        """Count a connection."""
        self._open_counts[upstream] = self._open_counts.get(upstream, 0) + 1
        self._avoid_until_ms.pop(upstream, None)

    def closed(self, upstream: UpstreamId) -> None:
        """Forget a connection."""
        remaining = self._open_counts.pop(upstream, 0) - 1
        if remaining > 0:
            self._open_counts[upstream] = remaining

    def connect_failed(self, upstream: UpstreamId, now_ms: float) -> None:
        """Choose this upstream last for a while."""
        self._avoid_until_ms[upstream] = now_ms + AVOIDANCE_MS

    def _rank(self, upstream: UpstreamId, now_ms: float) -> tuple[bool, int, bytes]:
        is_avoided = self._avoid_until_ms.get(upstream, 0) > now_ms
        names = f'{self._instance} {upstream}'.encode()
        tie_breaker = hashlib.blake2b(names, digest_size=8).digest()
        return (is_avoided, self._open_counts.get(upstream, 0), tie_breaker)
