"""Directory of upstreams by service and token, including recently removed ones."""

from collections.abc import Iterable, Iterator

from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.published.addresses import AddressIndex
from cardamomtiller.forwarding.published.evacuations import Evacuations
from cardamomtiller.forwarding.published.upstreams import (
    Upstream,
    UpstreamEntry,
    UpstreamState,
    token_of,
)
from cardamomtiller.ids import DomainName, ServiceName, UpstreamId


class UpstreamDirectory:
    """
    Upstreams by token and by service.

    Departed upstreams stay for ``departed_retention_ms``, because they may still serve
    their open flows. Upstreams of evacuated failure domains are in no pool.
    """

    def __init__(
        self, missing_entry_grace_ms: float, departed_retention_ms: float
    ) -> None:
        """Initialise an empty directory."""
        self._missing_entry_grace_ms = missing_entry_grace_ms
        self._departed_retention_ms = departed_retention_ms
        self._evacuations = Evacuations(missing_entry_grace_ms)
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._by_token: dict[Token, Upstream] = {}
        self._addresses = AddressIndex()
        # Kept beyond the configurations that named them: their upstreams may remain.
        self._services: set[ServiceName] = set()
        # Built on first use after a change, because entries change in batches.
        self._pools: dict[ServiceName, tuple[Upstream, ...]] | None = None
        self._slots: dict[ServiceName, int] = {}

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over a snapshot of all upstreams, including departed ones."""
        return iter(tuple(self._by_id.values()))

    def by_token(self, token: Token) -> Upstream | None:
        """Return the upstream that holds a token, or None."""
        return self._by_token.get(token)

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return the upstream with an id, or None."""
        return self._by_id.get(upstream_id)

    def eligible_in_domain(self, domain: DomainName) -> Iterator[Upstream]:
        """Iterate over the upstreams of a failure domain that may get new flows."""
        for upstream in self:
            is_eligible = upstream.state in {UpstreamState.READY, UpstreamState.MISSING}
            if is_eligible and upstream.entry.domain == domain:
                yield upstream

    def is_superseded(self, upstream: Upstream) -> bool:
        """
        Return whether it is certain from the entries that an upstream has ended.

        Its entry was removed, and a later process has published the address. The entry
        of another upstream alone proves nothing: an upstream that lives keeps its own.
        """
        return not upstream.is_published and self.is_address_shared(upstream)

    def is_address_shared(self, upstream: Upstream) -> bool:
        """Return whether a later process has published the address of an upstream."""
        later = self._later_users(upstream.entry)
        return any(other.is_published for other in later)

    def is_outdated(self, entry: UpstreamEntry) -> bool:
        """
        Return whether a later state of an upstream is known than that of an entry.

        An upstream whose entry had expired may not publish it again if the source has
        it. Therefore an earlier entry of such an upstream, or one that differs in the
        sequence only, is not outdated.
        """
        if any(self._later_users(entry)):
            return True
        current = self._by_id.get(entry.upstream)
        if current is None or current.was_removed_while_ready:
            return False
        return entry.precedes(current.entry)

    def add_services(self, services: Iterable[ServiceName]) -> None:
        """Add services that a configuration names."""
        self._services.update(services)

    def pool(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams that may get new flows of a service."""
        if self._pools is None:
            self._pools = self._build_pools()
        return self._pools.get(service, ())

    def pools(self) -> Iterator[tuple[Upstream, ...]]:
        """Iterate over the upstreams of each service that may get new flows."""
        if self._pools is None:
            self._pools = self._build_pools()
        return iter(tuple(self._pools.values()))

    def slots(self, service: ServiceName) -> int:
        """Return the slots of all upstreams that accept new flows of a service."""
        pool = self.pool(service)
        slots = self._slots.get(service)
        if slots is None:
            slots = sum(upstream.entry.slots for upstream in pool)
            self._slots[service] = slots
        return slots

    def put(self, entry: UpstreamEntry, now_ms: float) -> Upstream:
        """Add an upstream, or update it with a changed entry."""
        upstream = self._by_id.get(entry.upstream)
        if upstream is None:
            upstream = Upstream(entry, token_of(entry.upstream), now_ms)
            self._by_id[entry.upstream] = upstream
            self._claim_token(upstream)
        else:
            self._addresses.remove(upstream)
            upstream.update(entry, now_ms)
        self._addresses.add(upstream)
        self._pools = None
        return upstream

    def remove(self, upstream_id: UpstreamId, now_ms: float) -> Upstream | None:
        """Record the removal of an entry; return its upstream, or None if unknown."""
        upstream = self._by_id.get(upstream_id)
        if upstream is not None:
            upstream.record_removal(now_ms)
            self._pools = None
        return upstream

    def evacuate(self, domain: DomainName) -> None:
        """Give no new flows to the upstreams of a failure domain."""
        self._evacuations.start(domain)
        self._pools = None

    def remove_evacuation(self, domain: DomainName, now_ms: float) -> None:
        """Record that an evacuation was removed; ``expire_evacuations`` ends it."""
        self._evacuations.record_removal(domain, now_ms)

    def expire_evacuations(self, now_ms: float) -> list[DomainName]:
        """Return the failure domains that may get new flows again."""
        domains = list(self._evacuations.expire(now_ms))
        if domains:
            self._pools = None
        return domains

    def expire(self, now_ms: float) -> list[Upstream]:
        """Delete old departed upstreams; return missing ones that now count as gone."""
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

    def _later_users(self, entry: UpstreamEntry) -> Iterator[Upstream]:
        """
        Iterate over the upstreams that later processes at an address have published.

        An entry of a service that no configuration has named is not one of them: it may
        be from a writer that knows nothing of the address.
        """
        for upstream in self._addresses.later_than(entry):
            if upstream.entry.service in self._services:
                yield upstream

    def _claim_token(self, upstream: Upstream) -> None:
        # Two ids may have the same token. All instances assign it to the smaller id;
        # the other upstream gets no new flows until the token is free.
        holder = self._by_token.get(upstream.token)
        if holder is None or upstream.entry.upstream < holder.entry.upstream:
            self._by_token[upstream.token] = upstream

    def _delete(self, upstream: Upstream) -> None:
        del self._by_id[upstream.entry.upstream]
        self._addresses.remove(upstream)
        if self._by_token.get(upstream.token) is upstream:
            del self._by_token[upstream.token]
            for other in self._by_id.values():
                if other.token == upstream.token:
                    self._claim_token(other)
            self._pools = None

    def _build_pools(self) -> dict[ServiceName, tuple[Upstream, ...]]:
        self._slots.clear()
        pools: dict[ServiceName, list[Upstream]] = {}
        for upstream in self._by_id.values():
            if self._is_eligible(upstream):
                pools.setdefault(upstream.entry.service, []).append(upstream)
        return {service: tuple(pool) for service, pool in pools.items()}

    def _is_eligible(self, upstream: Upstream) -> bool:
        if upstream.entry.domain in self._evacuations:
            return False
        is_published = upstream.state in {UpstreamState.READY, UpstreamState.MISSING}
        return is_published and self._by_token.get(upstream.token) is upstream
