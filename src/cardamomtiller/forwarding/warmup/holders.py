"""Instances that hold parts of the quota of an upstream in slow start.

The quota consists of permits, each for one request in the window of the record. The
permits of an upstream are dealt to the failure domains, and those of a domain to its
members, in the order of a hash of upstream and name. No message is needed, and two
instances that know the same names agree.

Views differ, because an announcement lists only some members. Three rules keep the sum of
the parts low. Failure domains are taken from the settings and the entries, not from who
is alive, so that a cut between domains moves no permit. A member of the own domain is
remembered long after it was last seen, so that neither a partition nor a lossy network
adds permits to those that remain. An instance that has started holds nothing until it
knows its domain and the domain knows it. ``gate`` leaves room for what remains.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple
from zlib import crc32

from cardamomtiller.forwarding.member import READER_CANDIDATES, Member, rank
from cardamomtiller.ids import DomainName, UpstreamId

HASH_MASK = 0xFFFFFFFF
# Final mixing steps of MurmurHash3 (Appleby); CRC-32 alone is linear, and would give
# similar orders for similar ids.
MIX_SHIFTS = (16, 13, 16)
MIX_MULTIPLIERS = (0x85EBCA6B, 0xC2B2AE35, 1)


class HolderOptions(NamedTuple):
    """
    How an instance learns who the other holders are.

    Attributes
    ----------
    update_interval_ms
        Time between two looks at the member table.
    retention_ms
        Time for which a member counts after it was last in the table.
    min_age_ms
        Shortest time from the start until this instance holds a part. Longer than the
        window of the record, so that an instance that has restarted holds nothing while
        what it sent before counts.
    early_members
        Members of the failure domain that know this instance after that time, because
        announcements are more frequent at the start.
    member_interval_ms
        Additional time for each further member: an instance announces itself to all
        others in rotation, so only then do they know it.
    seen_share
        Share of the known members that must be seen again before the table can count
        as complete.
    max_new_share
        Share of the members seen meanwhile that may have been unknown.
    """

    update_interval_ms: float
    retention_ms: float
    min_age_ms: float
    early_members: int
    member_interval_ms: float
    seen_share: float
    max_new_share: float


class HolderTable:
    """Remembered members of the own failure domain, and all failure domains."""

    def __init__(
        self,
        local_domain: DomainName,
        domains: Iterable[DomainName],
        options: HolderOptions,
    ) -> None:
        """
        Start without members.

        Parameters
        ----------
        local_domain
            Failure domain of this instance.
        domains
            Failure domains that the settings name.
        options
            Times of the observation.
        """
        self._options = options
        self._local_domain = local_domain
        self._domains = {local_domain, *domains}
        self._local_host = ''
        self._last_seen_ms: dict[str, float] = {}
        self._is_any_other_known = False
        self._started_ms: float | None = None
        self._contact_ms: dict[str, float] = {}
        # Members seen, and seen for the first time, since the last check.
        self._seen: set[str] = set()
        self._new: set[str] = set()
        self._is_complete = False
        self._next_update_ms: float = 0
        # Whether this instance has known its failure domain once. Members that join later
        # do not change that: they hold nothing until the others know them.
        self.is_settled = False
        # Changes whenever a part may change.
        self.version = 0

    @property
    def size(self) -> int:
        """Number of remembered members of the own failure domain."""
        return len(self._last_seen_ms)

    def add_domain(self, domain: DomainName) -> None:
        """Add a failure domain that an entry or a member names."""
        if domain not in self._domains:
            self._domains.add(domain)
            self.version += 1

    def update(
        self, local: Member, contacts: Iterable[tuple[Member, float]], now_ms: float
    ) -> None:
        """
        Take over the members that this instance knows now.

        Parameters
        ----------
        local
            This instance.
        contacts
            The other members, with the time of the last message of each.
        now_ms
            Current time.
        """
        if now_ms < self._next_update_ms:
            return
        self._next_update_ms = now_ms + self._options.update_interval_ms
        if self._started_ms is None:
            self._started_ms = now_ms
        self._local_host = local.host
        self._remember(local.host, now_ms)
        peers = []
        for member, contact_ms in contacts:
            self._is_any_other_known = True
            self.add_domain(member.domain)
            if member.domain == self._local_domain:
                peers.append(member)
                self._record_contact(member.host, contact_ms)
                self._remember(member.host, now_ms)
        self._expire(now_ms)
        if not self.is_settled:
            self._check_completeness(peers)
            self._settle(now_ms)

    def part(
        self, upstream: UpstreamId, upstream_domain: DomainName, permits: int
    ) -> int:
        """
        Return how many of the permits of an upstream this instance holds.

        The upstream's own failure domain is dealt to first, because it reaches the
        upstream while it is cut off from the others.
        """
        if not self.is_settled:
            return 0
        key = crc32(upstream.encode())
        domain_permits = _deal(
            permits, key, self._local_domain, self._domains, upstream_domain
        )
        return _deal(domain_permits, key, self._local_host, self._last_seen_ms)

    def _remember(self, host: str, now_ms: float) -> None:
        if host not in self._last_seen_ms:
            self.version += 1
        self._last_seen_ms[host] = now_ms

    def _record_contact(self, host: str, contact_ms: float) -> None:
        if self._contact_ms.get(host) != contact_ms:
            self._contact_ms[host] = contact_ms
            self._seen.add(host)
        if host not in self._last_seen_ms:
            self._new.add(host)

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._options.retention_ms
        for host, seen_ms in tuple(self._last_seen_ms.items()):
            if seen_ms < oldest_ms:
                del self._last_seen_ms[host]
                self._contact_ms.pop(host, None)
                self.version += 1

    def _check_completeness(self, peers: Iterable[Member]) -> None:
        """
        Compare the members that were seen since the last check with those before.

        Members are seen in rotation, so the share of unknown ones among them shows how
        many are unknown in all. Reader candidates are listed in every announcement and
        show nothing.
        """
        candidates = {member.host for member in rank(peers)[:READER_CANDIDATES]}
        seen = self._seen - candidates
        others = self._last_seen_ms.keys() - candidates - {self._local_host}
        if len(seen) < len(others) * self._options.seen_share:
            return
        new = self._new - candidates
        self._is_complete = len(new) <= len(seen) * self._options.max_new_share
        self._seen.clear()
        self._new.clear()

    def _settle(self, now_ms: float) -> None:
        """Let this instance hold parts once it knows the others, and they know it."""
        options = self._options
        later_members = max(0, self.size - options.early_members)
        known_ms = options.min_age_ms + later_members * options.member_interval_ms
        is_known = (
            self._started_ms is not None and now_ms - self._started_ms >= known_ms
        )
        if self._is_complete and self._is_any_other_known and is_known:
            self.is_settled = True
            self.version += 1


def _deal(
    permits: int, key: int, name: str, names: Collection[str], first: str | None = None
) -> int:
    """Return how many permits one of the names gets if they are dealt in turn."""
    equal_part, remainder = divmod(permits, len(names))
    if not remainder or name == first:
        return equal_part + bool(remainder)
    own_order = (_score(key, name), name)
    # Counting the names before this one is cheaper than sorting them.
    position = sum(
        1
        for other in names
        if other == first or (_score(key, other), other) > own_order
    )
    return equal_part + (position < remainder)


def _score(key: int, name: str) -> int:
    """Return a pseudo-random number for a pair, which is equal on all instances."""
    mixed = crc32(name.encode(), key)
    for shift, multiplier in zip(MIX_SHIFTS, MIX_MULTIPLIERS, strict=True):
        mixed = (mixed ^ mixed >> shift) * multiplier & HASH_MASK
    return mixed


DEFAULT_HOLDERS = HolderOptions(
    update_interval_ms=500,
    retention_ms=300_000,
    min_age_ms=3000,
    early_members=12,
    member_interval_ms=1000,
    seen_share=0.5,
    max_new_share=0.05,
)
