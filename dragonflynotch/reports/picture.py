"""Picture of burn rates as SVG: one bar for each window of each objective."""

import math
from collections.abc import Sequence
from datetime import timedelta
from html import escape

from dragonflynotch.reports.burn import (
    AlertState,
    BurnReport,
    RuleResult,
    WindowBurn,
)

__all__ = ('draw_burn',)

_LABEL_WIDTH = 260
_BAR_WIDTH = 420
_ROW_HEIGHT = 18
_TITLE_HEIGHT = 26
_MARGIN = 12
# Burn rates span decades; the axis is logarithmic between these rates.
_LOWEST_RATE = 0.01
_HIGHEST_RATE = 1000
_DECADES = math.log10(_HIGHEST_RATE / _LOWEST_RATE)
_COLOURS = {
    AlertState.firing: '#c0392b',
    AlertState.quiet: '#2e7d32',
    AlertState.not_enough_data: '#9e9e9e',
}
_HOUR = timedelta(hours=1)
_DAY = timedelta(days=1)
_MINUTE = timedelta(minutes=1)


def draw_burn(reports: Sequence[BurnReport]) -> str:
    """Return an SVG document.

    Bars are red if the rule fires, green if it does not, and grey if the
    samples do not cover its windows. The tick on a bar is the threshold.
    """
    parts: list[str] = []
    top = _MARGIN
    for report in reports:
        objective = report.objective
        title = (
            f'{objective.workspace} / {objective.request_class}: '
            f'{objective.target:.2%} within '
            f'{objective.latency.total_seconds():g} s'
        )
        parts.append(_text(_MARGIN, top + _ROW_HEIGHT - 4, title, bold=True))
        top += _TITLE_HEIGHT
        for result in report.results:
            for burn in (result.short, result.long):
                parts.extend(_bar(top, result, burn))
                top += _ROW_HEIGHT
        top += _MARGIN
    width = _LABEL_WIDTH + _BAR_WIDTH + 2 * _MARGIN
    body = '\n'.join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{top}" font-family="sans-serif" font-size="12">\n'
        f'<rect width="{width}" height="{top}" fill="white"/>\n'
        f'{body}\n</svg>\n'
    )


def _bar(top: int, result: RuleResult, burn: WindowBurn) -> list[str]:
    left = _LABEL_WIDTH
    label = (
        f'{_window_name(burn.window)} ({result.rule.severity}): '
        f'rate {burn.rate:.2f}'
    )
    tick = left + _position(result.threshold)
    bottom = top + _ROW_HEIGHT - 2
    return [
        _text(_MARGIN, bottom - 3, label),
        f'<rect x="{left}" y="{top + 2}" width="{_position(burn.rate):.1f}" '
        f'height="{_ROW_HEIGHT - 4}" fill="{_COLOURS[result.state]}"/>',
        f'<line x1="{tick:.1f}" y1="{top}" x2="{tick:.1f}" y2="{bottom}" '
        'stroke="black"/>',
    ]


def _position(rate: float) -> float:
    bounded = min(max(rate, _LOWEST_RATE), _HIGHEST_RATE)
    return math.log10(bounded / _LOWEST_RATE) / _DECADES * _BAR_WIDTH


def _text(left: int, base: int, content: str, *, bold: bool = False) -> str:
    weight = ' font-weight="bold"' if bold else ''
    return f'<text x="{left}" y="{base}"{weight}>{escape(content)}</text>'


def _window_name(window: timedelta) -> str:
    if window >= _DAY:
        return f'{window / _DAY:g} d'
    if window >= _HOUR:
        return f'{window / _HOUR:g} h'
    return f'{window / _MINUTE:g} min'
