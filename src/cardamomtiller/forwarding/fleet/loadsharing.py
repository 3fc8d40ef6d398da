"""Exchange of load reports between instances.

An instance observes only its own flows, a small part of the requests of an upstream. At a
demand peak it would place flows on upstreams that flows of other instances keep busy.

In each failure domain the first instance by rank is the aggregator: the other
instances send it their load, and it replies with the sum of all others. Aggregators
of different failure domains exchange their sums at a longer interval, because traffic
between failure domains is expensive. An instance that receives no reports uses only
the load of its own flows.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.fleet.loadreport import (
    ANSWER_SCALE,
    SCALE,
    LoadReport,
    LoadRow,
    ReportKind,
    busiest_rows,
    unreported_busy,
)
from cardamomtiller.forwarding.member import Member, rank
from cardamomtiller.forwarding.observation.load import MAX_REPORT_AGE_MS, LoadTable
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.ids import DomainName

# Lower bound of the rows of a report in a failure domain with many members.
MIN_REPORT_ROWS = 16
# Unanswered requests that one instance reports at most for an upstream. Below the number
# at which others suspect it (`ForwardingOptions.unanswered_threshold`), so that a sum of
# reports reaches that number only if at least two instances agree: one instance may be
# cut off, or its link may lose packets.
MAX_REPORTED_UNANSWERED = 1.0


class SharingOptions(NamedTuple):
    """
    Intervals and limits of the reports.

    Attributes
    ----------
    interval_ms
        Minimum time between reports to the aggregator.
    interval_per_member_ms
        Time between reports for each other member of the failure domain, if that is
        longer in total; bounds the work of the aggregator.
    rows_per_domain
        Rows of the reports of all members of a failure domain together. With more
        members, each report has fewer rows, those of the busiest upstreams.
    domain_interval_ms
        Time between reports to the aggregators of other failure domains.
    horizon_ms
        Time over which load is averaged.
    max_report_age_ms
        Age from which a report is ignored.
    """

    interval_ms: float
    interval_per_member_ms: float
    rows_per_domain: int
    domain_interval_ms: float
    horizon_ms: float
    max_report_age_ms: float


class ReceivedReport(NamedTuple):
    """The rows of a report and the time of its arrival."""

    rows: tuple[LoadRow, ...]
    received_ms: float


class LoadSharing:
    """Schedules load reports and adds the reported loads to the load table."""

    def __init__(
        self, local_member: Member, loads: LoadTable, options: SharingOptions
    ) -> None:
        """Initialise without received reports; the first report is due at once."""
        self._local_member = local_member
        self._loads = loads
        self._options = options
        self._reports_by_host: dict[str, ReceivedReport] = {}
        self._reports_by_domain: dict[DomainName, ReceivedReport] = {}
        # Last answer of the aggregator; None while this instance is the aggregator.
        self._aggregator_answer: ReceivedReport | None = None
        self._unanswered_since_ms: dict[str, float] = {}
        self._next_report_ms: float = 0
        self._next_domain_report_ms: float = 0
        self._peers = 0

    def update_loads(self, now_ms: float) -> None:
        """Update the load table with the mean local loads and the reported loads."""
        for host, report in tuple(self._reports_by_host.items()):
            if now_ms - report.received_ms > self._options.max_report_age_ms:
                del self._reports_by_host[host]
        for _, load in self._loads:
            load.update_mean_busy(now_ms, self._options.horizon_ms)
        rows = tuple(self._rows_of_others(now_ms))
        rows_by_token = {row.token: row for row in rows}
        unreported = self._unreported_busy(rows)
        self._loads.others_reported_ms = self._last_report_ms()
        for token, load in self._loads:
            row = rows_by_token.get(token)
            load.others_busy = row.busy if row else unreported
            load.others_unanswered = row.unanswered if row else 0
            load.others_answers = row.answers if row else 0
            load.others_short_answers = row.short_answers if row else 0
        self._loads.update_own_share()

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
            All members of the fleet except this instance.
        now_ms
            Current time.

        Yields
        ------
        tuple
            The receiver and the report.
        """
        all_members = tuple(members)
        peers = [
            peer for peer in all_members if peer.domain == self._local_member.domain
        ]
        self._peers = len(peers)
        if now_ms >= self._next_report_ms:
            scaled_ms = self._options.interval_per_member_ms * len(peers)
            self._next_report_ms = now_ms + max(self._options.interval_ms, scaled_ms)
            aggregator = self._find_aggregator(peers, now_ms)
            if aggregator is not None:
                self._unanswered_since_ms.setdefault(aggregator.host, now_ms)
                rows = busiest_rows(
                    tuple(self._local_rows(now_ms)), self._max_rows(len(peers))
                )
                yield aggregator, LoadReport(ReportKind.INSTANCE, rows)
                return
            self._aggregator_answer = None
        if self._aggregator_answer is None and now_ms >= self._next_domain_report_ms:
            self._next_domain_report_ms = now_ms + self._options.domain_interval_ms
            yield from self._reports_to_domains(all_members, now_ms)

    def handle_report(
        self,
        sender: Member,
        report: LoadReport,
        now_ms: float,
    ) -> LoadReport | None:
        """Store a received report; return the answer to send, if there is one."""
        received = ReceivedReport(report.rows, now_ms)
        if report.kind is ReportKind.INSTANCE:
            received = ReceivedReport(tuple(_bounded_rows(report.rows)), now_ms)
            self._reports_by_host[sender.host] = received
            rows = tuple(self._rows_excluding(sender.host, now_ms))
            max_rows = self._max_rows(len(self._reports_by_host))
            return LoadReport(ReportKind.INSTANCE_ANSWER, busiest_rows(rows, max_rows))
        if report.kind is ReportKind.DOMAIN:
            self._reports_by_domain[sender.domain] = received
            rows = tuple(self._domain_rows(now_ms))
            return LoadReport(ReportKind.DOMAIN_ANSWER, rows)
        if report.kind is ReportKind.DOMAIN_ANSWER:
            self._reports_by_domain[sender.domain] = received
            return None
        self._aggregator_answer = received
        self._unanswered_since_ms.pop(sender.host, None)
        return None

    def _last_report_ms(self) -> float | None:
        """Return the arrival of the newest report, None if there was none."""
        received = [*self._reports_by_host.values(), *self._reports_by_domain.values()]
        if self._aggregator_answer is not None:
            received = [self._aggregator_answer]
        return max((report.received_ms for report in received), default=None)

    def _unreported_busy(self, rows: tuple[LoadRow, ...]) -> float:
        """Return the load of upstreams without a row; an aggregator omits none."""
        if self._aggregator_answer is None:
            return 0
        return unreported_busy(rows, self._max_rows(self._peers))

    def _max_rows(self, members: int) -> int:
        """Return the largest number of rows of a report, by the number of members."""
        return max(MIN_REPORT_ROWS, self._options.rows_per_domain // max(1, members))

    def _find_aggregator(self, peers: Iterable[Member], now_ms: float) -> Member | None:
        """
        Return the aggregator, or None if it is this instance.

        A member that has not answered for ``max_report_age_ms`` is skipped. After four
        times that age it is tried again, because it may be available again.
        """
        for candidate in rank([self._local_member, *peers]):
            if candidate.host == self._local_member.host:
                return None
            unanswered_since_ms = self._unanswered_since_ms.get(candidate.host)
            if (
                unanswered_since_ms is None
                or now_ms - unanswered_since_ms < self._options.max_report_age_ms
            ):
                return candidate
            if now_ms - unanswered_since_ms > 4 * self._options.max_report_age_ms:
                self._unanswered_since_ms.pop(candidate.host)
        return None

    def _reports_to_domains(
        self,
        members: Iterable[Member],
        now_ms: float,
    ) -> Iterator[tuple[Member, LoadReport]]:
        by_domain: dict[DomainName, list[Member]] = defaultdict(list)
        for member in members:
            if member.domain != self._local_member.domain:
                by_domain[member.domain].append(member)
        rows = tuple(self._domain_rows(now_ms))
        for domain in by_domain.values():
            # Of two aggregators, the one with the smaller host reports; the answer has
            # the load of the other failure domain.
            aggregator = rank(domain)[0]
            if self._local_member.host < aggregator.host:
                yield aggregator, LoadReport(ReportKind.DOMAIN, rows)

    def _local_rows(self, now_ms: float) -> Iterator[LoadRow]:
        for token, load in self._loads:
            unanswered = min(MAX_REPORTED_UNANSWERED, load.unanswered(now_ms))
            is_idle = max(load.mean_busy, unanswered) <= 1 / SCALE
            if not is_idle or load.answers > 1 / ANSWER_SCALE:
                yield LoadRow(
                    token,
                    load.mean_busy,
                    unanswered,
                    load.answers,
                    load.short_answers,
                )

    def _domain_rows(self, now_ms: float) -> Iterator[LoadRow]:
        reports = self._recent_rows(self._reports_by_host.values(), now_ms)
        return _sum_rows([*self._local_rows(now_ms), *reports])

    def _rows_excluding(self, host: str, now_ms: float) -> Iterator[LoadRow]:
        other_reports = (
            report for key, report in self._reports_by_host.items() if key != host
        )
        rows = [*self._local_rows(now_ms), *self._recent_rows(other_reports, now_ms)]
        return _sum_rows(
            [*rows, *self._recent_rows(self._reports_by_domain.values(), now_ms)]
        )

    def _rows_of_others(self, now_ms: float) -> Iterator[LoadRow]:
        if self._aggregator_answer is not None:
            return self._recent_rows([self._aggregator_answer], now_ms)
        received = [*self._reports_by_host.values(), *self._reports_by_domain.values()]
        return _sum_rows(self._recent_rows(received, now_ms))

    def _recent_rows(
        self,
        reports: Iterable[ReceivedReport],
        now_ms: float,
    ) -> Iterator[LoadRow]:
        for report in reports:
            if now_ms - report.received_ms < self._options.max_report_age_ms:
                yield from report.rows


DEFAULT_SHARING = SharingOptions(
    interval_ms=100,
    interval_per_member_ms=10,
    rows_per_domain=2400,
    domain_interval_ms=400,
    horizon_ms=1000,
    max_report_age_ms=MAX_REPORT_AGE_MS,
)


def _sum_rows(rows: Iterable[LoadRow]) -> Iterator[LoadRow]:
    sums: dict[Token, LoadRow] = {}
    for row in rows:
        total = sums.get(row.token)
        sums[row.token] = row if total is None else _add(total, row)
    yield from sums.values()


def _bounded_rows(rows: Iterable[LoadRow]) -> Iterator[LoadRow]:
    """Bound the unanswered requests in the report of one instance."""
    for row in rows:
        unanswered = min(MAX_REPORTED_UNANSWERED, row.unanswered)
        yield row._replace(unanswered=unanswered)


def _add(first: LoadRow, second: LoadRow) -> LoadRow:
    return LoadRow(
        first.token,
        first.busy + second.busy,
        first.unanswered + second.unanswered,
        first.answers + second.answers,
        first.short_answers + second.short_answers,
    )
