"""Upstreams by the address of their latest entry."""

from collections.abc import Iterator

from cardamomtiller.forwarding.published.upstreams import (
    SocketAddress,
    Upstream,
    UpstreamEntry,
)


class AddressIndex:
    """
    All upstreams of each address, also those that have departed.

    An address has several upstreams when it is used again, or when an entry names the
    address of another upstream.
    """

    def __init__(self) -> None:
        """Start without upstreams."""
        self._upstreams: dict[SocketAddress, list[Upstream]] = {}

    def add(self, upstream: Upstream) -> None:
        """Add an upstream at the address of its entry."""
        self._upstreams.setdefault(upstream.entry.address, []).append(upstream)

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream; its entry must be the one with which it was added."""
        address = upstream.entry.address
        others = [other for other in self._upstreams[address] if other is not upstream]
        if others:
            self._upstreams[address] = others
        else:
            del self._upstreams[address]

    def later_than(self, entry: UpstreamEntry) -> Iterator[Upstream]:
        """Iterate over the upstreams at the address of an entry that started later."""
        for upstream in self._upstreams.get(entry.address, ()):
            if upstream.entry.incarnation > entry.incarnation:
                yield upstream
