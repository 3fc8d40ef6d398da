"""Membership of the fleet, spread by announcements over UDP.

An instance sends announcements several times a second during start-up and once a
second later: to one of the reader candidates of its failure domain, to some other
members of the domain and to a seed. The reader candidates, the first members by rank,
therefore receive announcements of all members directly, and every announcement lists
them, so that all instances agree on the reader however large the failure domain is.
Nothing depends on a complete table: an instance with an empty table reads the
published source and uses only its own load figures.
"""

import zlib
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain, islice
from math import isfinite
from typing import NamedTuple, TypeVar

import ujson

from cardamomtiller.forwarding.member import READER_CANDIDATES, Member, rank
from cardamomtiller.forwarding.valuetext import describe
from cardamomtiller.ids import DomainName, InstanceId

ItemT = TypeVar('ItemT')

MALFORMED_ERRORS = (
    zlib.error,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

MESSAGE_VERSION = 2
COMPRESSION_LEVEL = 1
MAX_TEXT_BYTES = 65_536
# After its start-up phase an instance sends every n-th announcement to a seed too.
SEED_ANNOUNCEMENT_INTERVAL = 4


class FleetOptions(NamedTuple):
    """
    Intervals and sizes of announcements.

    Attributes
    ----------
    interval_ms
        Time between announcements.
    startup_interval_ms, startup_ms
        Time between announcements during start-up, and length of that phase.
    discovery_ms
        Time after the start until the announcements of most members have arrived.
    fanout
        Receivers of each announcement besides a reader candidate and a seed.
    relayed_members
        Members that an announcement lists besides the reader candidates.
    member_timeout_ms
        Time without news of a member after which it leaves the table.
    """

    interval_ms: float
    startup_interval_ms: float
    startup_ms: float
    discovery_ms: float
    fanout: int
    relayed_members: int
    member_timeout_ms: float


class KnownMember(NamedTuple):
    """A member, and the age of its last message, received directly or relayed."""

    member: Member
    age_ms: float


class Announcement(NamedTuple):
    """
    A message about its sender and some members from the table of the sender.

    Attributes
    ----------
    is_reply_wanted
        Whether the sender has no peers in its table and requests an announcement in
        return.
    is_leaving
        Whether the sender is about to stop.
    """

    sender: Member
    is_reply_wanted: bool
    is_leaving: bool
    known_members: tuple[KnownMember, ...]


class AnnouncementError(ValueError):
    """A datagram is not a valid announcement."""


def encode_announcement(announcement: Announcement) -> bytes:
    """Encode an announcement as compressed JSON."""
    message = {
        'version': MESSAGE_VERSION,
        'sender': list(announcement.sender),
        'reply': announcement.is_reply_wanted,
        'leaving': announcement.is_leaving,
        'members': [
            [*known.member, round(known.age_ms)] for known in announcement.known_members
        ],
    }
    text = ujson.dumps(message, escape_forward_slashes=False)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_announcement(datagram: bytes) -> Announcement:
    """
    Decode a datagram.

    Raises
    ------
    AnnouncementError
        If it is not an announcement of this version.
    """
    try:
        message = ujson.loads(_decompress(datagram))
        if message['version'] != MESSAGE_VERSION:
            version = describe(message['version'])
            raise AnnouncementError(f'unsupported version {version}')
        return Announcement(
            sender=_read_member(message['sender']),
            is_reply_wanted=bool(message['reply']),
            is_leaving=bool(message['leaving']),
            known_members=tuple(
                KnownMember(_read_member(row[:-1]), max(0, _read_number(row[-1])))
                for row in message['members']
            ),
        )
    except MALFORMED_ERRORS as error:
        raise AnnouncementError(f'not an announcement: {error!r}') from error


class MemberTable:
    """Other members by host, with the time of the last message of each."""

    def __init__(self, local_member: Member, options: FleetOptions) -> None:
        """Start with an empty table of other members."""
        self.local_member = local_member
        self._options = options
        # Starts at a different value on each host, because members that start together
        # would otherwise all send to the same receiver.
        self._round = zlib.crc32(local_member.host.encode())
        self._members: dict[str, Member] = {}
        self._last_contact_ms: dict[str, float] = {}
        self._departed_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of other members."""
        return len(self._members)

    def members(self) -> tuple[Member, ...]:
        """Return the other members of all failure domains."""
        return tuple(self._members.values())

    def contacts(self) -> Iterator[tuple[Member, float]]:
        """Iterate over the other members, with the time of the last message of each."""
        for host, member in self._members.items():
            yield member, self._last_contact_ms[host]

    def find(self, host: str) -> Member | None:
        """Return the member with this IP address, or None."""
        return self._members.get(host)

    def peers(self) -> tuple[Member, ...]:
        """Return the other members of this instance's failure domain."""
        members = tuple(self._members.values())
        return tuple(
            member for member in members if member.domain == self.local_member.domain
        )

    def remote_members(self) -> tuple[Member, ...]:
        """Return the known members of other failure domains."""
        members = tuple(self._members.values())
        return tuple(
            member for member in members if member.domain != self.local_member.domain
        )

    def fleet_size(self) -> int:
        """
        Return the estimated number of instances, including this one.

        An instance knows most members of its own failure domain, but of the others
        only some. They are assumed to have as many each.
        """
        domains = {member.domain for member in self._members.values()}
        domains.add(self.local_member.domain)
        return max(len(self._members) + 1, len(domains) * (len(self.peers()) + 1))

    def handle_announcement(self, announcement: Announcement, now_ms: float) -> bool:
        """Update the table from an announcement; return whether the sender is new."""
        sender = announcement.sender
        if announcement.is_leaving:
            self._remove(sender.host)
            self._departed_ms[sender.host] = now_ms
            return False
        self._departed_ms.pop(sender.host, None)
        is_new = sender.host not in self._members
        self._update(sender, now_ms)
        for known in announcement.known_members:
            self._update(known.member, now_ms - known.age_ms)
        self.expire(now_ms)
        return is_new

    def record_contact(self, host: str, now_ms: float) -> None:
        """Record a message other than an announcement, if its sender is a member."""
        member = self._members.get(host)
        if member is not None:
            self._update(member, now_ms)

    def expire(self, now_ms: float) -> None:
        """Remove members without news for the timeout, and old departures."""
        oldest_ms = now_ms - self._options.member_timeout_ms
        for host, contact_ms in tuple(self._last_contact_ms.items()):
            if contact_ms < oldest_ms:
                self._remove(host)
        for departed_host, departed_ms in tuple(self._departed_ms.items()):
            if departed_ms < oldest_ms:
                del self._departed_ms[departed_host]

    def build_announcement(
        self,
        domain: DomainName,
        now_ms: float,
        is_reply_wanted: bool = False,
        is_leaving: bool = False,
    ) -> Announcement:
        """
        Build an announcement for a receiver in a failure domain.

        It lists the reader candidates of that domain, some of its other members in
        rotation, and the first member of each other domain.
        """
        ranked = rank(
            member for member in self._members.values() if member.domain == domain
        )
        candidates, others = ranked[:READER_CANDIDATES], ranked[READER_CANDIDATES:]
        selected = chain(
            candidates,
            self._rotate(others, self._options.relayed_members),
            self._first_of_other_domains(domain),
        )
        return Announcement(
            self.local_member,
            is_reply_wanted,
            is_leaving,
            tuple(
                KnownMember(member, now_ms - self._last_contact_ms[member.host])
                for member in selected
            ),
        )

    def next_receivers(
        self,
        seeds: Iterable[str],
        age_ms: float,
    ) -> Iterator[tuple[str, DomainName]]:
        """
        Iterate over host and failure domain of the next announcement's receivers.

        Parameters
        ----------
        seeds
            Hosts that a new instance contacts first; most are in other failure
            domains.
        age_ms
            Time since this instance started.
        """
        self._round += 1
        ranked = rank(self.peers())
        selected = chain(
            self._rotate(ranked[:READER_CANDIDATES], 1),
            self._rotate(ranked[READER_CANDIDATES:], self._options.fanout),
        )
        for peer in selected:
            yield peer.host, peer.domain
        round_number = self._round
        if age_ms >= self._options.startup_ms:
            round_number, remainder = divmod(round_number, SEED_ANNOUNCEMENT_INTERVAL)
            if remainder:
                return
        other_seeds = [seed for seed in seeds if seed != self.local_member.host]
        if other_seeds:
            yield other_seeds[round_number % len(other_seeds)], self.local_member.domain

    def interval_ms(self, age_ms: float) -> float:
        """Return the time to the next announcement, by the age of this instance."""
        if age_ms < self._options.startup_ms:
            return self._options.startup_interval_ms
        return self._options.interval_ms

    def _first_of_other_domains(self, domain: DomainName) -> Iterator[Member]:
        """Iterate over the first member by rank of each other failure domain."""
        by_domain: dict[DomainName, list[Member]] = {}
        for member in self._members.values():
            if member.domain != domain:
                by_domain.setdefault(member.domain, []).append(member)
        for members in by_domain.values():
            yield rank(members)[0]

    def _rotate(self, items: Sequence[ItemT], count: int) -> Iterator[ItemT]:
        """Iterate over ``count`` items; successive rounds cover all items."""
        if not items:
            return iter(())
        start = self._round * count % len(items)
        return islice(chain(items[start:], items[:start]), count)

    def _update(self, member: Member, contact_ms: float) -> None:
        if member.host == self.local_member.host:
            return
        if contact_ms <= self._departed_ms.get(member.host, contact_ms - 1):
            return
        if contact_ms > self._last_contact_ms.get(member.host, contact_ms - 1):
            self._last_contact_ms[member.host] = contact_ms
            self._members[member.host] = member

    def _remove(self, host: str) -> None:
        self._members.pop(host, None)
        self._last_contact_ms.pop(host, None)


def _decompress(datagram: bytes) -> bytes:
    """Decompress an announcement; the output limit guards against zip bombs."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(datagram, MAX_TEXT_BYTES)
    if not decompressor.eof:
        raise AnnouncementError('truncated, or larger than the limit')
    return text


def _read_member(row: list[object]) -> Member:
    instance, domain, host, capacity = row
    if not all(isinstance(text, str) for text in (instance, domain, host)):
        raise AnnouncementError('instance, domain and host of a member must be strings')
    return Member(
        InstanceId(str(instance)),
        DomainName(str(domain)),
        str(host),
        _read_number(capacity),
    )


def _read_number(number: object) -> float:
    if not isinstance(number, (int, float)) or not isfinite(number):
        raise AnnouncementError(f'{describe(number)} is not a finite number')
    return float(number)


DEFAULT_FLEET = FleetOptions(
    interval_ms=1000,
    startup_interval_ms=200,
    startup_ms=3000,
    discovery_ms=1000,
    fanout=1,
    relayed_members=4,
    member_timeout_ms=8000,
)
