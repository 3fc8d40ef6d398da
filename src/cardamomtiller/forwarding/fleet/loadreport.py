"""Load reports, and their encoding as datagrams."""

import struct
from enum import Enum
from itertools import chain, repeat
from typing import NamedTuple

from cardamomtiller.forwarding.packet import Token

HEADER = struct.Struct('>BBH')
ROW = struct.Struct('>IHH')
ANSWERS = struct.Struct('>BB')
MAGIC = 0x4C
# Payload of a UDP datagram within the usual MTU of 1500 bytes.
MAX_DATAGRAM_BYTES = 1472
MAX_DATAGRAM_ROWS = 150
# Loads are sent as fixed-point numbers in units of 1/64 request, answers in units of
# 1/4 answer.
SCALE = 64
ANSWER_SCALE = 4
MAX_FIELD = 0xFFFF
MAX_ANSWERS_FIELD = 0xFF


class ReportKind(Enum):
    """Whose load a report contains, and whether it is an answer."""

    INSTANCE = 1
    INSTANCE_ANSWER = 2
    DOMAIN = 3
    DOMAIN_ANSWER = 4


class LoadRow(NamedTuple):
    """
    Load of one upstream.

    Attributes
    ----------
    busy
        Mean number of requests in progress.
    unanswered
        Number of unanswered requests.
    answers, short_answers
        Number of recent answers, and of those that were much shorter than usual.
    """

    token: Token
    busy: float
    unanswered: float
    answers: float = 0
    short_answers: float = 0


class LoadReport(NamedTuple):
    """Load of one instance, a failure domain, or all instances but the receiver."""

    kind: ReportKind
    rows: tuple[LoadRow, ...]


class ReportError(ValueError):
    """The datagram is not a valid load report."""


def encode_report(report: LoadReport) -> bytes:
    """
    Return a report as a datagram, without the smallest loads if it is too large.

    The loads are followed by the answers of the first rows, as far as there is space.
    """
    rows = busiest_rows(report.rows, MAX_DATAGRAM_ROWS)
    chunks = [HEADER.pack(MAGIC, report.kind.value, len(rows))]
    for row in rows:
        fields = (row.busy, row.unanswered)
        scaled = (min(MAX_FIELD, round(number * SCALE)) for number in fields)
        chunks.append(ROW.pack(row.token, *scaled))
    space_bytes = MAX_DATAGRAM_BYTES - HEADER.size - len(rows) * ROW.size
    for row in rows[: space_bytes // ANSWERS.size]:
        chunks.append(ANSWERS.pack(*_scaled_answers(row)))
    return b''.join(chunks)


def busiest_rows(rows: tuple[LoadRow, ...], limit: int) -> tuple[LoadRow, ...]:
    """Return the rows with the most load, and with unanswered requests and short answers."""
    if len(rows) <= limit:
        return rows
    ranked = sorted(rows, key=_importance, reverse=True)
    return tuple(ranked[:limit])


def unreported_busy(rows: tuple[LoadRow, ...], limit: int) -> float:
    """
    Return the load to assume for upstreams that a report has no row of.

    Parameters
    ----------
    rows
        Rows of the report.
    limit
        Number of rows from which others may have been left out. Those have at most the
        least load that is reported; if they counted as idle, all instances would select
        them.
    """
    if len(rows) < min(limit, MAX_DATAGRAM_ROWS):
        return 0
    return min((row.busy for row in rows), default=0)


def _importance(row: LoadRow) -> float:
    return row.busy + row.unanswered + row.short_answers


def decode_report(datagram: bytes) -> LoadReport:
    """
    Decode a load report.

    Raises
    ------
    ReportError
        If the datagram is not a valid report.
    """
    try:
        magic, kind, count = HEADER.unpack_from(datagram)
        loads_end = HEADER.size + count * ROW.size
        answers_bytes = len(datagram) - loads_end
        if magic != MAGIC or not 0 <= answers_bytes <= count * ANSWERS.size:
            raise ReportError('wrong magic byte or length')
        loads = ROW.iter_unpack(datagram[HEADER.size : loads_end])
        answers = chain(ANSWERS.iter_unpack(datagram[loads_end:]), repeat((0, 0)))
        return LoadReport(
            ReportKind(kind),
            tuple(
                LoadRow(
                    Token(token),
                    busy / SCALE,
                    unanswered / SCALE,
                    all_answers / ANSWER_SCALE,
                    short_answers / ANSWER_SCALE,
                )
                for (token, busy, unanswered), (all_answers, short_answers) in zip(
                    loads, answers, strict=False
                )
            ),
        )
    except (struct.error, ValueError) as error:
        raise ReportError(f'not a load report: {error}') from error


def is_report(datagram: bytes) -> bool:
    """Return whether a datagram starts with the magic byte of a load report."""
    return datagram[:1] == bytes((MAGIC,))


def _scaled_answers(row: LoadRow) -> tuple[int, int]:
    """Return both numbers of answers as they are sent; they keep their ratio."""
    largest = MAX_ANSWERS_FIELD / ANSWER_SCALE
    scale = ANSWER_SCALE * min(1, largest / max(row.answers, 1))
    short_answers = min(row.short_answers, row.answers)
    return round(row.answers * scale), round(short_answers * scale)
