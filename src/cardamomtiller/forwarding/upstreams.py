"""The upstreams that entries name, present and departed, by service and token."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple
from zlib import crc32

from cardamomtiller.forwarding.packet import NO_TOKEN, Token
from cardamomtiller.ids import DomainName, ServiceName, UpstreamId

SocketAddress = tuple[str, int]


class UpstreamState(Enum):
    """What is known of an upstream."""

    READY = 'ready'
    DRAINING = 'draining'
    # The entry has disappeared a moment ago; it may be back at once.
    MISSING = 'missing'
    GONE = 'gone'


class UpstreamEntry(NamedTuple):
    """
    What an upstream has published of itself.

    Attributes
    ----------
    frame
        Bytes that precede a packet so that only this upstream takes it.
    slow_start_left_ms
        How much longer the upstream is slow, from the time of the entry.
    incarnation
        Start of the process, which tells a restart under the same id.
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


class Upstream:
    """One upstream with the time-dependent parts of what is known of it."""

    __slots__ = ('changed_ms', 'entry', 'slow_start_ends_ms', 'state', 'token')

    def __init__(self, entry: UpstreamEntry, token: Token, now_ms: float) -> None:
        """Start from the first entry."""
        self.token = token
        self.update(entry, now_ms)

    def update(self, entry: UpstreamEntry, now_ms: float) -> None:
        """Replace what is known by a newer entry."""
        self.entry = entry
        self.state = UpstreamState.READY if entry.is_ready else UpstreamState.DRAINING
        self.changed_ms = now_ms
        self.slow_start_ends_ms = now_ms + entry.slow_start_left_ms

    def record_removal(self, now_ms: float) -> None:
        """Record that the entry has disappeared."""
        if self.state is UpstreamState.READY:
            self.state = UpstreamState.MISSING
        elif self.state is UpstreamState.DRAINING:
            self.state = UpstreamState.GONE
        self.changed_ms = now_ms


class UpstreamDirectory:
    """
    Upstreams by token and by service.

    Departed upstreams stay for ``departed_retention_ms``, because they may still serve
    the flows that they hold.
    """

    def __init__(
        self, missing_entry_grace_ms: float, departed_retention_ms: float
    ) -> None:
        """Start empty."""
        self._missing_entry_grace_ms = missing_entry_grace_ms
        self._departed_retention_ms = departed_retention_ms
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._by_token: dict[Token, Upstream] = {}
        self._by_address: dict[SocketAddress, Upstream] = {}
        # Built when it is asked for, because entries change many at a time.
        self._pools: dict[ServiceName, tuple[Upstream, ...]] | None = None

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams that are known, departed ones too."""
        return iter(tuple(self._by_id.values()))

    def by_token(self, token: Token) -> Upstream | None:
        """Return the upstream that a token names."""
        return self._by_token.get(token)

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream that is known."""
        return self._by_id.get(upstream_id)

    def eligible_in_domain(self, domain: DomainName) -> Iterator[Upstream]:
        """Iterate over the upstreams of a failure domain that may get flows."""
        for upstream in self:
            is_eligible = upstream.state in {UpstreamState.READY, UpstreamState.MISSING}
            if is_eligible and upstream.entry.domain == domain:
                yield upstream

    def is_superseded(self, upstream: Upstream) -> bool:
        """Return whether a later upstream has the address, so this one has ended."""
        holder = self._by_address.get(upstream.entry.address, upstream)
        return holder.entry.incarnation > upstream.entry.incarnation

    def pool(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams that may get new flows of a service."""
        if self._pools is None:
            self._pools = self._build_pools()
        return self._pools.get(service, ())

    def put(self, entry: UpstreamEntry, now_ms: float) -> Upstream:
        """Take a new or changed entry."""
        upstream = self._by_id.get(entry.upstream)
        if upstream is None:
            upstream = Upstream(entry, token_of(entry.upstream), now_ms)
            self._by_id[entry.upstream] = upstream
            self._claim_token(upstream)
        else:
            upstream.update(entry, now_ms)
        if not self.is_superseded(upstream):
            self._by_address[entry.address] = upstream
        self._pools = None
        return upstream

    def remove(self, upstream_id: UpstreamId, now_ms: float) -> Upstream | None:
        """Record that an entry has disappeared."""
        upstream = self._by_id.get(upstream_id)
        if upstream is not None:
            upstream.record_removal(now_ms)
            self._pools = None
        return upstream

    def expire(self, now_ms: float) -> list[Upstream]:
        """Age missing and departed upstreams; return those that are now gone."""
        expired: list[Upstream] = []
        for upstream in self:
            age_ms = now_ms - upstream.changed_ms
            if upstream.state is UpstreamState.MISSING:
                if age_ms > self._missing_entry_grace_ms:
                    upstream.state = UpstreamState.GONE
                    expired.append(upstream)
            elif upstream.state is UpstreamState.GONE:
                if age_ms > self._departed_retention_ms:
                    self._delete(upstream)
        if expired:
            self._pools = None
        return expired

    def _claim_token(self, upstream: Upstream) -> None:
        # Two ids may have the same token. All instances give it to the smaller id;
        # the other one gets no new flows until the token is free.
        holder = self._by_token.get(upstream.token)
        if holder is None or upstream.entry.upstream < holder.entry.upstream:
            self._by_token[upstream.token] = upstream

    def _delete(self, upstream: Upstream) -> None:
        del self._by_id[upstream.entry.upstream]
        if self._by_address.get(upstream.entry.address) is upstream:
            del self._by_address[upstream.entry.address]
        if self._by_token.get(upstream.token) is upstream:
            del self._by_token[upstream.token]
            for other in self._by_id.values():
                if other.token == upstream.token:
                    self._claim_token(other)
            self._pools = None

    def _build_pools(self) -> dict[ServiceName, tuple[Upstream, ...]]:
        pools: dict[ServiceName, list[Upstream]] = {}
        for upstream in self._by_id.values():
            is_eligible = upstream.state in {UpstreamState.READY, UpstreamState.MISSING}
            if is_eligible and self._by_token.get(upstream.token) is upstream:
                pools.setdefault(upstream.entry.service, []).append(upstream)
        return {service: tuple(pool) for service, pool in pools.items()}


def token_of(upstream_id: UpstreamId) -> Token:
    """Return the token of an upstream, the same on every instance."""
    return Token(crc32(upstream_id.encode()) or 1) if upstream_id else NO_TOKEN
