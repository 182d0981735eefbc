"""SVG chart of a run: starts, waits and faults over time."""

from collections import Counter
from html import escape

from benchmarks.soak.findings import Timeline

__all__ = ('render_timeline',)

_LEFT = 180
_WIDTH = 800
_ROW_HEIGHT = 14
_CHART_HEIGHT = 100
_MARGIN = 16
_COLOUR_STARTS = '#1565c0'
_COLOUR_WAITS = '#6a1b9a'
_COLOUR_FAULTS = '#ef6c00'
_COLOUR_FINDINGS = '#c0392b'


def render_timeline(timeline: Timeline, title: str) -> str:
    """Return the chart as an SVG document.

    The upper plot shows the task starts in each second, the lower one how
    long jobs waited for their first start, by the time of their acceptance.
    Bars below are faults, red lines are findings.
    """
    length_s = max(1.0, timeline.now_s())
    scale = _WIDTH / length_s
    top = 2 * _MARGIN
    parts = [_draw_text(_MARGIN, _MARGIN, title)]
    parts.extend(_draw_starts(timeline, top, scale))
    top += _CHART_HEIGHT + _MARGIN
    parts.extend(_draw_waits(timeline, top, scale))
    top += _CHART_HEIGHT + _MARGIN
    faults = sorted(timeline.faults)
    for begin_s, end_s, name in faults:
        parts.append(_draw_text(_MARGIN, top + _ROW_HEIGHT - 3, name))
        width = max(2.0, (end_s - begin_s) * scale)
        parts.append(
            f'<rect x="{_LEFT + begin_s * scale:.1f}" y="{top + 2}" '
            f'width="{width:.1f}" height="{_ROW_HEIGHT - 4}" '
            f'fill="{_COLOUR_FAULTS}"/>'
        )
        top += _ROW_HEIGHT
    for finding in timeline.findings:
        x_px = f'{_LEFT + finding.time_s * scale:.1f}'
        parts.append(
            f'<line x1="{x_px}" y1="{2 * _MARGIN}" x2="{x_px}" y2="{top}" '
            f'stroke="{_COLOUR_FINDINGS}">'
            f'<title>{escape(str(finding))}</title></line>'
        )
    body = '\n'.join(parts)
    return (
        '<svg xmlns="http://www.w3.org/2000/svg" '
        f'width="{_LEFT + _WIDTH + _MARGIN}" height="{top + _MARGIN}" '
        'font-family="sans-serif" font-size="11">\n'
        f'<rect width="100%" height="100%" fill="white"/>\n{body}\n</svg>\n'
    )


def _draw_starts(timeline: Timeline, top: int, scale: float) -> list[str]:
    by_second = Counter(int(start_s) for start_s in timeline.start_times_s)
    max_count = max(by_second.values(), default=1)
    parts = [
        _draw_text(
            _MARGIN,
            top + _MARGIN,
            f'task starts per second, at most {max_count}',
        )
    ]
    for second, count in by_second.items():
        height = count / max_count * _CHART_HEIGHT
        parts.append(
            f'<rect x="{_LEFT + second * scale:.1f}" '
            f'y="{top + _CHART_HEIGHT - height:.1f}" '
            f'width="{max(1.0, scale - 1):.1f}" height="{height:.1f}" '
            f'fill="{_COLOUR_STARTS}"/>'
        )
    return parts


def _draw_waits(timeline: Timeline, top: int, scale: float) -> list[str]:
    max_wait_s = (
        max((wait_s for _, wait_s in timeline.waits), default=1.0) or 1.0
    )
    label = f'wait of jobs, at most {max_wait_s:.1f} s'
    parts = [_draw_text(_MARGIN, top + _MARGIN, label)]
    for accepted_s, wait_s in timeline.waits:
        height = wait_s / max_wait_s * _CHART_HEIGHT
        parts.append(
            f'<circle cx="{_LEFT + accepted_s * scale:.1f}" '
            f'cy="{top + _CHART_HEIGHT - height:.1f}" r="2" '
            f'fill="{_COLOUR_WAITS}"/>'
        )
    return parts


def _draw_text(x_px: int, y_px: int, content: str) -> str:
    return f'<text x="{x_px}" y="{y_px}">{escape(content)}</text>'
