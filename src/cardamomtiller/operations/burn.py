"""Error-budget burn report, computed from service-level counters."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from itertools import groupby
from operator import attrgetter
from typing import Any

from cardamomtiller.identity import (
    MS_PER_S,
    CustomerId,
    ServiceClass,
    ServiceName,
)
from cardamomtiller.lists.document import ObjectiveRow

COUNTER_PREFIX = 'sli.'
# Burn rates that use up a 30-day budget within about 2 and 5 days: the usual
# thresholds for paging and for opening a ticket.
FAST_BURN = 14.4
SLOW_BURN = 6.0
SHORT_WINDOW_MS = 300_000.0
LONG_WINDOW_MS = 3_600_000.0
RATE_DIGITS = 9

_STATSD_LINE = re.compile(
    r'(?:(?P<time_s>\d+(?:\.\d+)?)\s+)?'
    r'(?P<name>[^\s:|]+):(?P<value>[+-]?\d+(?:\.\d+)?)\|c'
    r'(?:\|@(?P<rate>\d*\.?\d+))?'
)


class Alert(Enum):
    """Highest alert threshold that the burn rate reaches in both windows."""

    NONE = 'none'
    SLOW = 'slow'
    FAST = 'fast'


@dataclass(frozen=True, slots=True, order=True)
class SliKey:
    """Service, client account and class that a pair of counters belongs to."""

    service: ServiceName
    customer: CustomerId
    service_class: str


@dataclass(frozen=True, slots=True)
class EventDelta:
    """
    Good and bad events of a key that were added at a sample time.

    ``time_ms`` is None for events counted before the first sample: they count for
    the error budget, but for no window.
    """

    key: SliKey
    time_ms: float | None
    good: float
    bad: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Counters of an instance since its start, with the time of the reading."""

    source: str
    time_ms: float
    counts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class BurnOptions:
    """Window lengths and alert thresholds of the report."""

    short_window_ms: float = SHORT_WINDOW_MS
    long_window_ms: float = LONG_WINDOW_MS
    fast_burn: float = FAST_BURN
    slow_burn: float = SLOW_BURN


@dataclass(frozen=True, slots=True)
class BurnRow:
    """
    Burn rates, error budget and alert of a key.

    A burn rate of 1 uses exactly the whole error budget. ``budget_left`` is the
    unused share of the budget over all events read; it is negative if more than
    the budget was used. Burn rates and ``budget_left`` are None without events.
    ``history`` has pairs of sample time and burn rate.
    """

    key: SliKey
    target: float
    latency_ms: float
    good: float
    bad: float
    short_burn: float | None
    long_burn: float | None
    budget_left: float | None
    alert: Alert
    history: tuple[tuple[float, float], ...]


def read_samples(
    samples: Iterable[Sample],
    services: Iterable[ServiceName],
) -> Iterator[EventDelta]:
    """
    Convert counter totals into the events added between samples.

    Parameters
    ----------
    samples
        Samples in order of time. If a counter is lower than in the previous sample
        of its source, the instance was restarted and its whole total is added.
    services
        Services with objectives, needed to parse counter names.
    """
    parse_name = _make_name_parser(services)
    last_counts: dict[str, Mapping[str, float]] = {}
    for sample in samples:
        previous_counts = last_counts.get(sample.source)
        last_counts[sample.source] = sample.counts
        for name, total in sample.counts.items():
            parsed = parse_name(name)
            if parsed is None:
                continue
            previous_total = (previous_counts or {}).get(name, 0)
            increase = total - previous_total if total >= previous_total else total
            time_ms = None if previous_counts is None else sample.time_ms
            yield _make_delta(parsed, time_ms, increase)


def read_statsd(
    lines: Iterable[str],
    services: Iterable[ServiceName],
) -> Iterator[EventDelta]:
    """
    Parse statsd counter lines, each with an optional leading time in seconds.

    A line without a time has the time of the previous line. Gauges, timers and
    lines of other forms are ignored.
    """
    parse_name = _make_name_parser(services)
    time_ms: float = 0
    for line in lines:
        match = _STATSD_LINE.fullmatch(line.strip())
        if match is None:
            continue
        if match['time_s']:
            time_ms = float(match['time_s']) * MS_PER_S
        parsed = parse_name(match['name'])
        if parsed is not None:
            amount = float(match['value']) / float(match['rate'] or 1)
            yield _make_delta(parsed, time_ms, amount)


def make_report(
    deltas: Iterable[EventDelta],
    objectives: Iterable[ObjectiveRow],
    options: BurnOptions,
) -> tuple[BurnRow, ...]:
    """
    Compute a row for each key that has an objective.

    Parameters
    ----------
    deltas
        Events by key and time, in any order.
    objectives
        Published objectives; keys without an objective are ignored.
    options
        Alert thresholds and window lengths; both windows end at the latest time
        in ``deltas``.

    Returns
    -------
    tuple
        Rows in order of service, client account and class.
    """
    objectives_by_class = {
        (row.service, row.service_class.name.lower()): row for row in objectives
    }
    sorted_deltas = sorted(deltas, key=attrgetter('key'))
    end_ms = max(
        (delta.time_ms for delta in sorted_deltas if delta.time_ms is not None),
        default=0,
    )
    report: list[BurnRow] = []
    for key, group in groupby(sorted_deltas, key=attrgetter('key')):
        objective = objectives_by_class.get((key.service, key.service_class))
        if objective is not None:
            report.append(_make_row(key, tuple(group), objective, options, end_ms))
    return tuple(report)


def as_json(rows: Iterable[BurnRow]) -> list[dict[str, Any]]:
    """Return the report as a list of JSON objects."""
    return [{**asdict(row), 'alert': row.alert.value} for row in rows]


def as_text(rows: Sequence[BurnRow]) -> Iterator[str]:
    """Iterate over the lines of a text table with aligned columns."""
    table = [list(COLUMN_TITLES), *(format_cells(row) for row in rows)]
    widths = [
        max(len(line[index]) for line in table) for index in range(len(COLUMN_TITLES))
    ]
    for line in table:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield '  '.join(padded).rstrip()


COLUMN_TITLES = (
    'service',
    'customer',
    'class',
    'objective',
    'good',
    'bad',
    'short burn',
    'long burn',
    'budget left',
    'alert',
)


def format_cells(row: BurnRow) -> list[str]:
    """Return the texts of a row in the order of ``COLUMN_TITLES``."""
    return [
        row.key.service,
        row.key.customer,
        row.key.service_class,
        f'{row.target:.3%} within {row.latency_ms:g} ms',
        f'{row.good:.0f}',
        f'{row.bad:.0f}',
        _format_optional(row.short_burn, '.2f'),
        _format_optional(row.long_burn, '.2f'),
        _format_optional(row.budget_left, '.1%'),
        row.alert.value,
    ]


def _format_optional(value: float | None, format_spec: str) -> str:
    return '-' if value is None else format(value, format_spec)


_ParsedName = tuple[SliKey, bool]


def _make_name_parser(
    services: Iterable[ServiceName],
) -> Callable[[str], _ParsedName | None]:
    service_names = sorted(set(services), key=len, reverse=True)
    classes = {member.name.lower() for member in ServiceClass}

    def parse_name(name: str) -> _ParsedName | None:
        # Names of services and client accounts may contain dots, so the service is
        # the longest published name that the counter name starts with.
        _, prefix, unprefixed = f'.{name}'.partition(f'.{COUNTER_PREFIX}')
        service = next(
            (
                candidate
                for candidate in service_names
                if unprefixed.startswith(f'{candidate}.')
            ),
            None,
        )
        if not prefix or service is None:
            return None
        customer_and_class, _, kind = unprefixed[len(service) + 1 :].rpartition('.')
        customer, _, service_class = customer_and_class.rpartition('.')
        if kind not in {'good', 'bad'} or service_class not in classes or not customer:
            return None
        return SliKey(service, CustomerId(customer), service_class), kind == 'good'

    return parse_name


def _make_delta(
    parsed: _ParsedName, time_ms: float | None, amount: float
) -> EventDelta:
    key, is_good = parsed
    return EventDelta(
        key=key,
        time_ms=time_ms,
        good=amount if is_good else 0,
        bad=0 if is_good else amount,
    )


def _make_row(
    key: SliKey,
    deltas: Sequence[EventDelta],
    objective: ObjectiveRow,
    options: BurnOptions,
    end_ms: float,
) -> BurnRow:
    timed_deltas = [
        (delta.time_ms, delta) for delta in deltas if delta.time_ms is not None
    ]
    short_burn, long_burn = (
        _burn_rate(
            (delta for time_ms, delta in timed_deltas if time_ms > end_ms - window_ms),
            objective.target,
        )
        for window_ms in (options.short_window_ms, options.long_window_ms)
    )
    total_burn = _burn_rate(deltas, objective.target)
    return BurnRow(
        key=key,
        target=objective.target,
        latency_ms=objective.latency_ms,
        good=sum(delta.good for delta in deltas),
        bad=sum(delta.bad for delta in deltas),
        short_burn=short_burn,
        long_burn=long_burn,
        budget_left=None if total_burn is None else 1 - total_burn,
        alert=_choose_alert(short_burn, long_burn, options),
        history=tuple(_make_history(timed_deltas, objective.target)),
    )


def _burn_rate(deltas: Iterable[EventDelta], target: float) -> float | None:
    good: float = 0
    bad: float = 0
    for delta in deltas:
        good += delta.good
        bad += delta.bad
    events = good + bad
    if not events:
        return None
    # 1 - target is inexact; without rounding, a rate equal to a threshold could
    # compare as below it.
    return round(bad / events / (1 - target), RATE_DIGITS)


def _choose_alert(
    short_burn: float | None, long_burn: float | None, options: BurnOptions
) -> Alert:
    # The long window shows that a significant part of the budget was used, the
    # short window that the budget is still being used.
    lower_burn = min(short_burn or 0, long_burn or 0)
    if lower_burn >= options.fast_burn:
        return Alert.FAST
    return Alert.SLOW if lower_burn >= options.slow_burn else Alert.NONE


def _make_history(
    timed_deltas: Iterable[tuple[float, EventDelta]],
    target: float,
) -> Iterator[tuple[float, float]]:
    sorted_deltas = sorted(timed_deltas, key=lambda pair: pair[0])
    for time_ms, group in groupby(sorted_deltas, key=lambda pair: pair[0]):
        rate = _burn_rate((delta for _, delta in group), target)
        if rate is not None:
            yield time_ms, rate
