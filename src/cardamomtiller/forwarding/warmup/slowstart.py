"""Which upstreams count as in their slow-start period.

An entry states the rest of the period. It is counted from the receipt of the entry, so
the period ends late here, never early. An upstream may start again under its id before
its new entry is read, and the old entry states no rest. Therefore an upstream that was
unreachable, or whose lost entry was published again without proof that it is the same
process, counts as started when it returns.
"""

from collections.abc import Iterable, Mapping
from math import inf
from types import MappingProxyType
from typing import NamedTuple

from cardamomtiller.forwarding.observation.reachability import PathState, Reachability
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.published.configuration import ServiceLimits
from cardamomtiller.forwarding.published.upstreams import Upstream, UpstreamEntry
from cardamomtiller.ids import ServiceName

NO_LIMITS = ServiceLimits()


class Return(NamedTuple):
    """
    An upstream that may have started again without a new entry.

    Attributes
    ----------
    incarnation
        Incarnation of the entry in force; a later one states the rest of its own.
    ends_ms
        End of the period, None while the upstream has not returned.
    """

    incarnation: int
    ends_ms: float | None


class SlowStarts:
    """Slow-start periods by entries, paths and lost entries."""

    def __init__(self, reachability: Reachability) -> None:
        """Start without upstreams in slow start."""
        self._reachability = reachability
        self._returns: dict[Token, Return] = {}
        self._published_until_ms = -inf
        self.service_limits: Mapping[ServiceName, ServiceLimits] = MappingProxyType({})

    def limits_of(self, upstream: Upstream) -> ServiceLimits:
        """Return what the configuration states for an upstream."""
        return self.service_limits.get(upstream.entry.service, NO_LIMITS)

    def is_any(self, now_ms: float) -> bool:
        """Return whether some upstream may be in slow start; costs almost nothing."""
        return now_ms < self._published_until_ms or bool(self._returns)

    def may_include(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream may be in slow start; costs almost nothing."""
        return now_ms < upstream.slow_start_ends_ms or upstream.token in self._returns

    def record_entry(
        self, upstream: Upstream, lost: UpstreamEntry | None, now_ms: float
    ) -> None:
        """
        Record that an entry was applied.

        Parameters
        ----------
        upstream
            The upstream with the new entry.
        lost
            Its entry before, if that had been removed, else None.
        now_ms
            Current time.
        """
        if upstream.slow_start_ends_ms > now_ms:
            self._published_until_ms = max(
                self._published_until_ms, upstream.slow_start_ends_ms
            )
        entry = upstream.entry
        # A later entry was written after the loss, and states the rest.
        if lost is not None and not _position(entry) > _position(lost):
            ends_ms = now_ms + self.limits_of(upstream).warmup_ms
            self._returns[upstream.token] = Return(entry.incarnation, ends_ms)

    def observe_paths(self, upstreams: Iterable[Upstream]) -> None:
        """Take over which of the given upstreams are unreachable now."""
        for upstream in upstreams:
            is_bounded = self.limits_of(upstream).warmup_ms > 0
            if is_bounded and self._is_unreachable(upstream):
                self._returns[upstream.token] = Return(upstream.entry.incarnation, None)

    def ends_ms(self, upstream: Upstream, now_ms: float) -> float:
        """Return the end of the period; not after ``now_ms`` outside of it."""
        ends_ms = upstream.slow_start_ends_ms
        warmup_ms = self.limits_of(upstream).warmup_ms
        if warmup_ms:
            ends_ms = min(ends_ms, upstream.changed_ms + warmup_ms)
        returned = self._returns.get(upstream.token)
        if returned is None or returned.incarnation != upstream.entry.incarnation:
            return ends_ms
        if self._is_unreachable(upstream):
            return inf
        if returned.ends_ms is None:
            # The path is reachable again since at most this moment.
            returned = Return(returned.incarnation, now_ms + warmup_ms)
            self._returns[upstream.token] = returned
        return max(ends_ms, returned.ends_ms or 0)

    def expire(self, upstreams: Mapping[Token, Upstream], now_ms: float) -> None:
        """Delete what no longer concerns one of the given upstreams."""
        for token, returned in tuple(self._returns.items()):
            upstream = upstreams.get(token)
            if upstream is None or upstream.entry.incarnation != returned.incarnation:
                del self._returns[token]
            elif self.ends_ms(upstream, now_ms) <= now_ms:
                del self._returns[token]

    def _is_unreachable(self, upstream: Upstream) -> bool:
        return self._reachability.state(upstream.token) is PathState.UNREACHABLE


def _position(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.incarnation, entry.sequence
