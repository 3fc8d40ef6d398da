"""What instances tell each other about the load that they put on the upstreams.

The load this answers: the peak of a demand swing. An instance sees only its own
flows, a small part of the requests of an upstream, and would place flows on
upstreams that the flows of others keep busy. In a failure domain every instance
reports to the first one by rank, which answers with the sum of the others. The first
ones of the failure domains exchange their sums less often, because bytes between
failure domains are dear. An instance that hears nothing goes by its own flows.
"""

import struct
from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.load import LoadTable
from cardamomtiller.forwarding.member import Member, rank
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.ids import DomainName

HEADER = struct.Struct('>BBH')
ROW = struct.Struct('>IHH')
MAGIC = 0x4C
# Rows in one datagram, which keeps it below the usual size of a packet.
MAX_ROWS = 150
# Rows that a report has room for however many members there are.
LEAST_ROWS = 16
SCALE = 64
MAX_FIELD = 0xFFFF


class ReportKind(Enum):
    """Whose load a report has, and which answer it wants."""

    INSTANCE = 1
    INSTANCE_ANSWER = 2
    DOMAIN = 3
    DOMAIN_ANSWER = 4


class LoadRow(NamedTuple):
    """Mean requests in progress, and unanswered ones, at one upstream."""

    token: Token
    busy: float
    unanswered: float


class LoadReport(NamedTuple):
    """Loads of an instance, of a failure domain, or of all others."""

    kind: ReportKind
    rows: tuple[LoadRow, ...]


class SharingOptions(NamedTuple):
    """
    Pace of the reports.

    Attributes
    ----------
    interval_ms, interval_per_member_ms
        Time between reports, and how much each member of the failure domain adds,
        which bounds the work of the one that all report to.
    rows
        Rows of the reports to all members of a failure domain together. The more
        members there are, the fewer upstreams each report names, the busiest first.
    domain_interval_ms
        Time between reports to other failure domains.
    horizon_ms
        Time over which load is averaged.
    max_report_age_ms
        Age at which a report no longer counts.
    """

    interval_ms: float
    interval_per_member_ms: float
    rows: int
    domain_interval_ms: float
    horizon_ms: float
    max_report_age_ms: float


class Received(NamedTuple):
    """A report and when it came."""

    rows: tuple[LoadRow, ...]
    at_ms: float


class ReportError(ValueError):
    """A datagram is not a load report."""


def encode_report(report: LoadReport) -> bytes:
    """Return the datagram of a report; the smallest loads go if there are too many."""
    rows = heaviest(report.rows, MAX_ROWS)
    parts = [HEADER.pack(MAGIC, report.kind.value, len(rows))]
    for row in rows:
        fields = (min(MAX_FIELD, round(one * SCALE)) for one in row[1:])
        parts.append(ROW.pack(row.token, *fields))
    return b''.join(parts)


def heaviest(rows: tuple[LoadRow, ...], most: int) -> tuple[LoadRow, ...]:
    """Return the rows of the busiest upstreams, and of those that do not answer."""
    if len(rows) <= most:
        return rows
    ranked = sorted(rows, key=lambda row: row.busy + row.unanswered, reverse=True)
    return tuple(ranked[:most])


def decode_report(datagram: bytes) -> LoadReport:
    """
    Read a datagram.

    Raises
    ------
    ReportError
        If it is not a report.
    """
    try:
        magic, kind, count = HEADER.unpack_from(datagram)
        if magic != MAGIC or len(datagram) != HEADER.size + count * ROW.size:
            raise ReportError('wrong length')
        rows = ROW.iter_unpack(datagram[HEADER.size :])
        return LoadReport(
            ReportKind(kind),
            tuple(
                LoadRow(Token(token), busy / SCALE, unanswered / SCALE)
                for token, busy, unanswered in rows
            ),
        )
    except (struct.error, ValueError) as error:
        raise ReportError(f'not a load report: {error}') from error


def is_report(datagram: bytes) -> bool:
    """Return whether a datagram claims to be a load report."""
    return datagram[:1] == bytes((MAGIC,))


class LoadSharing:
    """Decides which reports go where, and what the loads of the others are."""

    def __init__(self, me: Member, book: LoadTable, options: SharingOptions) -> None:
        """Start with no reports."""
        self._me = me
        self._book = book
        self._options = options
        self._instances: dict[str, Received] = {}
        self._domains: dict[DomainName, Received] = {}
        # The answer of the first instance, while this one is not the first.
        self._answer: Received | None = None
        self._asked_ms: dict[str, float] = {}
        self._report_at_ms: float = 0
        self._domain_report_at_ms: float = 0

    def update_loads(self, now_ms: float) -> None:
        """Update the means of this instance and the loads of the others."""
        for host, report in tuple(self._instances.items()):
            if now_ms - report.at_ms > self._options.max_report_age_ms:
                del self._instances[host]
        for _, load in self._book:
            load.measure(now_ms, self._options.horizon_ms)
        others = {row.token: row for row in self._others(now_ms)}
        for token, load in self._book:
            row = others.get(token)
            load.others_busy = row.busy if row else 0
            load.others_unanswered = row.unanswered if row else 0

    def due_reports(
        self,
        members: Iterable[Member],
        now_ms: float,
    ) -> Iterator[tuple[Member, LoadReport]]:
        """
        Iterate over the reports that are due.

        Parameters
        ----------
        members
            All other known members.
        now_ms
            Present time.

        Yields
        ------
        tuple
            The receiver and the report.
        """
        known = tuple(members)
        peers = [one for one in known if one.domain == self._me.domain]
        if now_ms >= self._report_at_ms:
            pause_ms = self._options.interval_per_member_ms * len(peers)
            self._report_at_ms = now_ms + max(self._options.interval_ms, pause_ms)
            first = self._first(peers, now_ms)
            if first is not None:
                self._asked_ms.setdefault(first.host, now_ms)
                rows = heaviest(tuple(self._own_rows(now_ms)), self._room(len(peers)))
                yield first, LoadReport(ReportKind.INSTANCE, rows)
                return
            self._answer = None
        if self._answer is None and now_ms >= self._domain_report_at_ms:
            self._domain_report_at_ms = now_ms + self._options.domain_interval_ms
            yield from self._domain_reports(known, now_ms)

    def handle_report(
        self,
        sender: Member,
        report: LoadReport,
        now_ms: float,
    ) -> LoadReport | None:
        """Take a report; return the answer that it wants."""
        received = Received(report.rows, now_ms)
        if report.kind is ReportKind.INSTANCE:
            self._instances[sender.host] = received
            rows = tuple(self._sum_for(sender.host, now_ms))
            room = self._room(len(self._instances))
            return LoadReport(ReportKind.INSTANCE_ANSWER, heaviest(rows, room))
        if report.kind is ReportKind.DOMAIN:
            self._domains[sender.domain] = received
            rows = tuple(self._domain_rows(now_ms))
            return LoadReport(ReportKind.DOMAIN_ANSWER, rows)
        if report.kind is ReportKind.DOMAIN_ANSWER:
            self._domains[sender.domain] = received
            return None
        self._answer = received
        self._asked_ms.pop(sender.host, None)
        return None

    def _room(self, members: int) -> int:
        """Return the rows of a report in a failure domain with some members."""
        return max(LEAST_ROWS, self._options.rows // max(1, members))

    def _first(self, peers: Iterable[Member], now_ms: float) -> Member | None:
        """Return the instance to report to, None if it is this one."""
        for member in rank([self._me, *peers]):
            if member.host == self._me.host:
                return None
            asked_ms = self._asked_ms.get(member.host)
            if asked_ms is None or now_ms - asked_ms < self._options.max_report_age_ms:
                return member
            if now_ms - asked_ms > 4 * self._options.max_report_age_ms:
                # It may be back.
                self._asked_ms.pop(member.host)
        return None

    def _domain_reports(
        self,
        members: Iterable[Member],
        now_ms: float,
    ) -> Iterator[tuple[Member, LoadReport]]:
        by_domain: dict[DomainName, list[Member]] = defaultdict(list)
        for member in members:
            if member.domain != self._me.domain:
                by_domain[member.domain].append(member)
        rows = tuple(self._domain_rows(now_ms))
        for domain in by_domain.values():
            # One of the two reports; the answer tells it of the other one.
            first = rank(domain)[0]
            if self._me.host < first.host:
                yield first, LoadReport(ReportKind.DOMAIN, rows)

    def _own_rows(self, now_ms: float) -> Iterator[LoadRow]:
        for token, load in self._book:
            unanswered = load.unanswered(now_ms)
            if max(load.mean_busy, unanswered) > 1 / SCALE:
                yield LoadRow(token, load.mean_busy, unanswered)

    def _domain_rows(self, now_ms: float) -> Iterator[LoadRow]:
        reports = self._fresh(self._instances.values(), now_ms)
        return _sum_rows([*self._own_rows(now_ms), *reports])

    def _sum_for(self, host: str, now_ms: float) -> Iterator[LoadRow]:
        others = (row for key, row in self._instances.items() if key != host)
        rows = [*self._own_rows(now_ms), *self._fresh(others, now_ms)]
        return _sum_rows([*rows, *self._fresh(self._domains.values(), now_ms)])

    def _others(self, now_ms: float) -> Iterator[LoadRow]:
        if self._answer is not None:
            return self._fresh([self._answer], now_ms)
        received = [*self._instances.values(), *self._domains.values()]
        return _sum_rows(self._fresh(received, now_ms))

    def _fresh(
        self,
        received: Iterable[Received],
        now_ms: float,
    ) -> Iterator[LoadRow]:
        for report in received:
            if now_ms - report.at_ms < self._options.max_report_age_ms:
                yield from report.rows


DEFAULT_SHARING = SharingOptions(
    interval_ms=100,
    interval_per_member_ms=10,
    rows=2400,
    domain_interval_ms=400,
    horizon_ms=1000,
    max_report_age_ms=1500,
)


def _sum_rows(rows: Iterable[LoadRow]) -> Iterator[LoadRow]:
    busy: dict[Token, float] = defaultdict(float)
    unanswered: dict[Token, float] = defaultdict(float)
    for row in rows:
        busy[row.token] += row.busy
        unanswered[row.token] += row.unanswered
    for token, total in busy.items():
        yield LoadRow(token, total, unanswered[token])
