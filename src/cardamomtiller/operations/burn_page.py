"""Burn report as a self-contained HTML page with SVG plots."""

from collections.abc import Iterable, Sequence
from xml.etree import ElementTree as Xml

from cardamomtiller.identity import MS_PER_S
from cardamomtiller.operations.burn import (
    COLUMN_TITLES,
    Alert,
    BurnOptions,
    BurnRow,
    format_cells,
)

PLOT_WIDTH = 720
PLOT_HEIGHT = 160
MARGIN = 40
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem;
  padding: 0 1rem; color: #1d2329; background: #fff; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: .3rem .7rem; border-bottom: 1px solid #d5dbe1; }
tr.fast td { background: #fbdcd6; }
tr.slow td { background: #fdf0cd; }
svg { max-width: 100%; height: auto; }
svg text { font-size: 11px; fill: #515c66; }
.axis { stroke: #9aa5b1; }
.curve { fill: none; stroke: #1f5fa8; stroke-width: 1.5; }
.fast { stroke: #b3311b; }
.slow { stroke: #b07d00; }
.limit { stroke-dasharray: 4 3; }
"""


def as_html(rows: Sequence[BurnRow], options: BurnOptions) -> str:
    """Return the HTML page, which loads no other resource."""
    page = Xml.Element('html', lang='en')
    _add_head(page)
    body = Xml.SubElement(page, 'body')
    _add_element(body, 'h1', 'Burn report')
    _add_element(body, 'p', _describe_options(options))
    _add_table(body, rows)
    for row in rows:
        key = row.key
        title = f'{key.service}, {key.customer}, {key.service_class}'
        _add_element(body, 'h2', title)
        if len(row.history) > 1:
            body.append(_plot(row, options, title))
        else:
            _add_element(body, 'p', 'Fewer than two samples with events.')
    return f'<!doctype html>\n{Xml.tostring(page, "unicode", method="html")}\n'


def _add_head(page: Xml.Element) -> None:
    head = Xml.SubElement(page, 'head')
    Xml.SubElement(head, 'meta', charset='utf-8')
    _add_element(head, 'title', 'Burn report')
    _add_element(head, 'style', STYLE)


def _describe_options(options: BurnOptions) -> str:
    return (
        f'Short window {options.short_window_ms / MS_PER_S:g} s, '
        f'long window {options.long_window_ms / MS_PER_S:g} s. '
        f'An alert is fast from a burn rate of {options.fast_burn:g} and slow from '
        f'{options.slow_burn:g}, in both windows.'
    )


def _add_element(
    parent: Xml.Element,
    tag: str,
    text: str,
    **attributes: str,
) -> Xml.Element:
    child = Xml.SubElement(parent, tag, attributes)
    child.text = text
    return child


def _add_table(body: Xml.Element, rows: Iterable[BurnRow]) -> None:
    table = Xml.SubElement(body, 'table')
    header_row = Xml.SubElement(table, 'tr')
    for title in COLUMN_TITLES:
        _add_element(header_row, 'th', title)
    for row in rows:
        table_row = Xml.SubElement(table, 'tr')
        if row.alert is not Alert.NONE:
            table_row.set('class', row.alert.value)
        for cell in format_cells(row):
            _add_element(table_row, 'td', cell)


def _plot(row: BurnRow, options: BurnOptions, title: str) -> Xml.Element:
    start_ms, end_ms = row.history[0][0], row.history[-1][0]
    max_rate = max(options.fast_burn, *(rate for _, rate in row.history))
    plot = Xml.Element(
        'svg',
        viewBox=f'0 0 {PLOT_WIDTH + 2 * MARGIN} {PLOT_HEIGHT + 2 * MARGIN}',
        width=str(PLOT_WIDTH + 2 * MARGIN),
        role='img',
    )
    _add_element(plot, 'title', f'Burn rate over time: {title}')
    for name, limit in (('fast', options.fast_burn), ('slow', options.slow_burn)):
        _add_limit(plot, name, limit, _y_position(limit, max_rate))
    _add_limit(plot, 'axis', 0, _y_position(0, max_rate))
    points = ' '.join(
        f'{_x_position(time_ms, start_ms, end_ms):.1f},{_y_position(rate, max_rate):.1f}'
        for time_ms, rate in row.history
    )
    Xml.SubElement(plot, 'polyline', {'class': 'curve', 'points': points})
    label_y = str(PLOT_HEIGHT + 2 * MARGIN - 10)
    duration = f'{(end_ms - start_ms) / MS_PER_S:g} s'
    _add_element(plot, 'text', duration, x=str(PLOT_WIDTH + MARGIN - 30), y=label_y)
    return plot


def _add_limit(plot: Xml.Element, name: str, value: float, y_position: float) -> None:
    x_range = {'x1': str(MARGIN), 'x2': str(PLOT_WIDTH + MARGIN)}
    y_range = {'y1': f'{y_position:.1f}', 'y2': f'{y_position:.1f}'}
    Xml.SubElement(plot, 'line', {**x_range, **y_range, 'class': f'limit {name}'})
    _add_element(plot, 'text', f'{value:g}', x='5', y=f'{y_position:.1f}')


def _x_position(time_ms: float, start_ms: float, end_ms: float) -> float:
    return MARGIN + PLOT_WIDTH * (time_ms - start_ms) / (end_ms - start_ms)


def _y_position(rate: float, max_rate: float) -> float:
    return MARGIN + PLOT_HEIGHT * (1 - rate / max_rate)
