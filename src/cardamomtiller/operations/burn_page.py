"""Burn report as one self-contained HTML page with plots in SVG."""

from collections.abc import Iterable, Sequence
from xml.etree import ElementTree as Xml

from cardamomtiller.identity import MS_PER_S
from cardamomtiller.operations.burn import TITLES, Alert, BurnOptions, BurnRow, cells

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
    """Return the page; it refers to no other file."""
    page = Xml.Element('html', lang='en')
    _add_head(page)
    body = Xml.SubElement(page, 'body')
    _add(body, 'h1', 'Burn report')
    _add(body, 'p', _explain(options))
    _add_table(body, rows)
    for row in rows:
        key = row.key
        title = f'{key.service}, {key.customer}, {key.service_class}'
        _add(body, 'h2', title)
        if len(row.history) > 1:
            body.append(_plot(row, options, title))
        else:
            _add(body, 'p', 'Fewer than two samples with events.')
    return f'<!doctype html>\n{Xml.tostring(page, "unicode", method="html")}\n'


def _add_head(page: Xml.Element) -> None:
    head = Xml.SubElement(page, 'head')
    Xml.SubElement(head, 'meta', charset='utf-8')
    _add(head, 'title', 'Burn report')
    _add(head, 'style', STYLE)


def _explain(options: BurnOptions) -> str:
    return (
        f'Short window {options.short_window_ms / MS_PER_S:g} s, '
        f'long window {options.long_window_ms / MS_PER_S:g} s. '
        f'An alert is fast from a burn rate of {options.fast_burn:g} and slow from '
        f'{options.slow_burn:g}, in both windows.'
    )


def _add(
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
    head = Xml.SubElement(table, 'tr')
    for title in TITLES:
        _add(head, 'th', title)
    for row in rows:
        line = Xml.SubElement(table, 'tr')
        if row.alert is not Alert.NONE:
            line.set('class', row.alert.value)
        for cell in cells(row):
            _add(line, 'td', cell)


def _plot(row: BurnRow, options: BurnOptions, title: str) -> Xml.Element:
    start_ms, end_ms = row.history[0][0], row.history[-1][0]
    highest = max(options.fast_burn, *(rate for _, rate in row.history))
    plot = Xml.Element(
        'svg',
        viewBox=f'0 0 {PLOT_WIDTH + 2 * MARGIN} {PLOT_HEIGHT + 2 * MARGIN}',
        width=str(PLOT_WIDTH + 2 * MARGIN),
        role='img',
    )
    _add(plot, 'title', f'Burn rate over time: {title}')
    for name, limit in (('fast', options.fast_burn), ('slow', options.slow_burn)):
        _add_limit(plot, name, limit, _height(limit, highest))
    _add_limit(plot, 'axis', 0, _height(0, highest))
    points = ' '.join(
        f'{_across(time_ms, start_ms, end_ms):.1f},{_height(rate, highest):.1f}'
        for time_ms, rate in row.history
    )
    Xml.SubElement(plot, 'polyline', {'class': 'curve', 'points': points})
    bottom = str(PLOT_HEIGHT + 2 * MARGIN - 10)
    span = f'{(end_ms - start_ms) / MS_PER_S:g} s'
    _add(plot, 'text', span, x=str(PLOT_WIDTH + MARGIN - 30), y=bottom)
    return plot


def _add_limit(plot: Xml.Element, name: str, value: float, height: float) -> None:
    place = {'x1': str(MARGIN), 'x2': str(PLOT_WIDTH + MARGIN)}
    level = {'y1': f'{height:.1f}', 'y2': f'{height:.1f}'}
    Xml.SubElement(plot, 'line', {**place, **level, 'class': f'limit {name}'})
    _add(plot, 'text', f'{value:g}', x='5', y=f'{height:.1f}')


def _across(time_ms: float, start_ms: float, end_ms: float) -> float:
    return MARGIN + PLOT_WIDTH * (time_ms - start_ms) / (end_ms - start_ms)


def _height(rate: float, highest: float) -> float:
    return MARGIN + PLOT_HEIGHT * (1 - rate / highest)
