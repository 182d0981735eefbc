"""Burn rates as an SVG bar chart, with one bar per window."""

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

__all__ = ('render_burn_chart',)

_LABEL_WIDTH = 260
_BAR_WIDTH = 420
_ROW_HEIGHT = 18
_TITLE_HEIGHT = 26
_MARGIN = 12
# Burn rates span several orders of magnitude, so the axis is logarithmic
# between these rates.
_LOWEST_RATE = 0.01
_HIGHEST_RATE = 1000
_AXIS_DECADES = math.log10(_HIGHEST_RATE / _LOWEST_RATE)
_COLOURS = {
    AlertState.firing: '#c0392b',
    AlertState.quiet: '#2e7d32',
    AlertState.not_enough_data: '#9e9e9e',
}
_HOUR = timedelta(hours=1)
_DAY = timedelta(days=1)
_MINUTE = timedelta(minutes=1)


def render_burn_chart(reports: Sequence[BurnReport]) -> str:
    """Return a chart of burn rates as an SVG document.

    A bar is red if its alert rule fires, green if it does not, and grey if
    the samples do not cover the windows of the rule. The tick on a bar marks
    the threshold of the rule.
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
        parts.append(
            _text_element(_MARGIN, top + _ROW_HEIGHT - 4, title, bold=True)
        )
        top += _TITLE_HEIGHT
        for result in report.results:
            for burn in (result.short, result.long):
                parts.extend(_bar_elements(top, result, burn))
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


def _bar_elements(top: int, result: RuleResult, burn: WindowBurn) -> list[str]:
    left = _LABEL_WIDTH
    label = (
        f'{_window_name(burn.window)} ({result.rule.severity}): '
        f'rate {burn.rate:.2f}'
    )
    tick = left + _bar_length(result.threshold)
    bottom = top + _ROW_HEIGHT - 2
    return [
        _text_element(_MARGIN, bottom - 3, label),
        f'<rect x="{left}" y="{top + 2}" width="{_bar_length(burn.rate):.1f}" '
        f'height="{_ROW_HEIGHT - 4}" fill="{_COLOURS[result.state]}"/>',
        f'<line x1="{tick:.1f}" y1="{top}" x2="{tick:.1f}" y2="{bottom}" '
        'stroke="black"/>',
    ]


def _bar_length(rate: float) -> float:
    clamped = min(max(rate, _LOWEST_RATE), _HIGHEST_RATE)
    return math.log10(clamped / _LOWEST_RATE) / _AXIS_DECADES * _BAR_WIDTH


def _text_element(
    left: int, base: int, content: str, *, bold: bool = False
) -> str:
    weight = ' font-weight="bold"' if bold else ''
    return f'<text x="{left}" y="{base}"{weight}>{escape(content)}</text>'


def _window_name(window: timedelta) -> str:
    if window >= _DAY:
        return f'{window / _DAY:g} d'
    if window >= _HOUR:
        return f'{window / _HOUR:g} h'
    return f'{window / _MINUTE:g} min'
