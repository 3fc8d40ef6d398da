"""Gate that keeps the requests of upstreams in slow start within their quota.

The quota holds for any second and for all instances together. Not quite half of it is
dealt as permits (``holders``), and each permit allows one request in a window that is
longer than a second (``sendrecord``). The rest is for instances that do not know of each other,
such as two parts of a split failure domain of which all members have restarted, and for
requests on open flows that reach the upstream through instances without a part.
"""

from collections.abc import Iterable, Iterator
from itertools import chain, repeat, takewhile
from math import floor, isinf
from typing import NamedTuple

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.reachability import Reachability
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.placement.gates import PlacementGate
from cardamomtiller.forwarding.placement.locality import Locality
from cardamomtiller.forwarding.published.configuration import (
    Configuration,
    ServiceLimits,
)
from cardamomtiller.forwarding.published.upstreams import Upstream, UpstreamEntry
from cardamomtiller.forwarding.warmup.holders import DEFAULT_HOLDERS, HolderTable
from cardamomtiller.forwarding.warmup.options import WarmupOptions
from cardamomtiller.forwarding.warmup.sendrecord import SendRecord
from cardamomtiller.forwarding.warmup.slowstart import SlowStarts

# Share of the quota that is dealt as permits. Below half, so that both sides of a split
# domain stay within the quota together, even if their member tables differ.
PERMIT_SHARE = 0.45


class SlowStartChange(NamedTuple):
    """
    Begin or end of a slow-start period, as this instance sees it.

    Attributes
    ----------
    left_ms
        Rest of the period, None while the upstream is unreachable; 0 at the end.
    part
        Requests that this instance may send in a window.
    quota
        Requests that all instances may send in a second.
    members
        Members of the own failure domain that this instance remembers.
    """

    upstream: Upstream
    is_begin: bool
    left_ms: float | None
    part: int
    quota: float
    members: int


class SlowStartGate(PlacementGate):
    """Admits an upstream in slow start while this instance has a permit left."""

    is_mandatory = True

    def __init__(
        self,
        options: WarmupOptions | None,
        locality: Locality,
        reachability: Reachability,
    ) -> None:
        """
        Initialise without members, so that upstreams in slow start get nothing.

        Parameters
        ----------
        options
            Bounds of the quota; None if the settings state none. Then the gate is never
            active.
        locality
            Failure domain of this instance, and those that the settings name.
        reachability
            State of the path to each upstream.
        """
        self._options = options
        self._slow_starts = SlowStarts(reachability)
        self._holders = HolderTable(locality.domain, locality.regions, DEFAULT_HOLDERS)
        self._sends = SendRecord()
        # Part by upstream, with the version of the holders and the permits it is for.
        self._parts: dict[Token, tuple[int, int, int]] = {}
        self._reported: dict[Token, Upstream] = {}

    def is_active(self, now_ms: float) -> bool:
        """Return whether some upstream may be in slow start."""
        return self._options is not None and self._slow_starts.is_any(now_ms)

    def admits(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream may get another flow now."""
        # Most upstreams of a pool are warm, and leave here.
        if not self._slow_starts.may_include(upstream, now_ms):
            return True
        if not self.is_limited(upstream, now_ms):
            return True
        part = self.part(upstream)
        return part > 0 and self._sends.count(upstream.token, now_ms) < part

    def free_times_ms(self, upstream: Upstream, now_ms: float) -> Iterator[float]:
        """Iterate over the times at which further flows may be placed."""
        if not self.is_limited(upstream, now_ms):
            return repeat(now_ms)
        ends_ms = self._slow_starts.ends_ms(upstream, now_ms)
        free_ms = self._sends.free_times_ms(upstream.token, self.part(upstream), now_ms)
        return chain(
            takewhile(lambda time_ms: time_ms < ends_ms, free_ms), repeat(ends_ms)
        )

    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Record that an opening packet, or a copy of one, is sent to an upstream."""
        self.record_request(upstream, now_ms)

    def record_request(self, upstream: Upstream, now_ms: float) -> bool:
        """
        Record a request; return whether the upstream is in slow start.

        Requests on open flows cannot be refused, but leave less for openings.
        """
        is_limited = self.is_limited(upstream, now_ms)
        if is_limited:
            self._sends.add(upstream.token, now_ms)
        return is_limited

    def is_limited(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream is in slow start."""
        return (
            self._slow_starts.may_include(upstream, now_ms)
            and self.is_active(now_ms)
            and self._slow_starts.ends_ms(upstream, now_ms) > now_ms
        )

    def part(self, upstream: Upstream) -> int:
        """Return how many requests this instance may send to it in a window."""
        permits = permits_of(self.quota(upstream))
        version = self._holders.version
        cached = self._parts.get(upstream.token)
        if cached is not None and cached[:2] == (version, permits):
            return cached[2]
        entry = upstream.entry
        part = self._holders.part(entry.upstream, entry.domain, permits)
        self._parts[upstream.token] = (version, permits, part)
        return part

    def quota(self, upstream: Upstream) -> float:
        """Return how many requests all instances may send to it in any second."""
        if self._options is None:
            return 0
        limits = self._slow_starts.limits_of(upstream)
        return quota_of(limits, self._options)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the limits of the services."""
        self._slow_starts.service_limits = configuration.service_limits

    def apply_entry(
        self, upstream: Upstream, lost: UpstreamEntry | None, now_ms: float
    ) -> None:
        """Record that an entry was applied; ``lost`` is the removed one before it."""
        if self._options is not None:
            self._holders.add_domain(upstream.entry.domain)
            self._slow_starts.record_entry(upstream, lost, now_ms)

    def update_members(
        self, local: Member, contacts: Iterable[tuple[Member, float]], now_ms: float
    ) -> None:
        """Take over the other members, with the time of the last message of each."""
        if self._options is not None:
            self._holders.update(local, contacts, now_ms)

    def observe(
        self,
        upstreams: Iterable[Upstream],
        unreachable: Iterable[Upstream],
        now_ms: float,
    ) -> Iterator[SlowStartChange]:
        """
        Update the slow-start periods, and iterate over those that began or ended.

        Parameters
        ----------
        upstreams
            All upstreams; read only while some upstream may be in slow start.
        unreachable
            Upstreams whose path is not reachable; they count when they return.
        now_ms
            Current time.
        """
        if self._options is None:
            return
        self._slow_starts.observe_paths(unreachable)
        if not self.is_active(now_ms) and not self._reported:
            return
        by_token = {upstream.token: upstream for upstream in upstreams}
        self._slow_starts.expire(by_token, now_ms)
        self._sends.expire(now_ms)
        limited = {
            token: upstream
            for token, upstream in by_token.items()
            if self.is_limited(upstream, now_ms)
        }
        for token, ended in self._reported.items():
            if token not in limited:
                change = self._change(ended, now_ms, is_begin=False)
                self._parts.pop(token, None)
                yield change
        for token, begun in limited.items():
            if token not in self._reported:
                yield self._change(begun, now_ms, is_begin=True)
        self._reported = limited

    def _change(
        self, upstream: Upstream, now_ms: float, *, is_begin: bool
    ) -> SlowStartChange:
        left_ms = self._slow_starts.ends_ms(upstream, now_ms) - now_ms
        return SlowStartChange(
            upstream,
            is_begin,
            None if isinf(left_ms) else max(0, left_ms),
            self.part(upstream),
            self.quota(upstream),
            self._holders.size,
        )


def quota_of(limits: ServiceLimits, options: WarmupOptions) -> float:
    """Return the requests that an upstream in slow start may get in any second."""
    return limits.warmup_per_s * options.overshoot + options.slack


def permits_of(quota: float) -> int:
    """
    Return how many permits are dealt for a quota.

    A quota of at least 1 has a permit, although a quota below 2 has no room then.
    """
    return max(floor(quota * PERMIT_SHARE), int(quota >= 1))
