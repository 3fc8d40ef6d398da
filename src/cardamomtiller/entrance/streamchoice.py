"""Select the upstream of a plain TCP connection, and limit connections."""

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

# Time for which an upstream that refused a connection is the last choice.
AVOIDANCE_MS = 2000


class StreamLimit(ABC):
    """Interface: limit on the plain TCP connections of a customer."""

    @abstractmethod
    def admit(self, customer: CustomerId, now_ms: float) -> bool:
        """Charge a connection; return False if the allowance is exceeded."""

    @abstractmethod
    def release(self, customer: CustomerId, now_ms: float) -> None:
        """Release an admitted connection."""


class StreamChooser(ABC):
    """Interface: selection of an upstream for a new connection."""

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
        """Record that a connection to an upstream is open."""

    @abstractmethod
    def closed(self, upstream: UpstreamId) -> None:
        """Record that a connection to an upstream is closed."""

    @abstractmethod
    def connect_failed(self, upstream: UpstreamId, now_ms: float) -> None:
        """Record that a connection to an upstream failed."""


class FewestConnections(StreamChooser):
    """
    Select the upstream with the fewest connections through this instance.

    Ties are broken by a hash of instance name and upstream name, so that
    instances with few connections do not all select the same upstream.
    """

    def __init__(self, catalog: Callable[[], Catalog], instance: InstanceId) -> None:
        """Create a chooser without connections."""
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
        """Count an open connection; stop avoiding the upstream."""
        self._open_counts[upstream] = self._open_counts.get(upstream, 0) + 1
        self._avoid_until_ms.pop(upstream, None)

    def closed(self, upstream: UpstreamId) -> None:
        """Remove a connection from the count."""
        remaining = self._open_counts.pop(upstream, 0) - 1
        if remaining > 0:
            self._open_counts[upstream] = remaining

    def connect_failed(self, upstream: UpstreamId, now_ms: float) -> None:
        """Make the upstream the last choice for ``AVOIDANCE_MS``."""
        self._avoid_until_ms[upstream] = now_ms + AVOIDANCE_MS

    def _rank(self, upstream: UpstreamId, now_ms: float) -> tuple[bool, int, bytes]:
        is_avoided = self._avoid_until_ms.get(upstream, 0) > now_ms
        names = f'{self._instance} {upstream}'.encode()
        tie_breaker = hashlib.blake2b(names, digest_size=8).digest()
        return (is_avoided, self._open_counts.get(upstream, 0), tie_breaker)
