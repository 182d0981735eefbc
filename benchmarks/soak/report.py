"""Picture of a run: starts, waits and faults over time, as SVG."""

from collections import Counter
from html import escape

from benchmarks.soak.findings import Timeline

__all__ = ('draw_run',)

_LEFT = 180
_WIDTH = 800
_ROW_HEIGHT = 14
_CHART_HEIGHT = 100
_MARGIN = 16
_COLOUR_STARTS = '#1565c0'
_COLOUR_WAITS = '#6a1b9a'
_COLOUR_FAULTS = '#ef6c00'
_COLOUR_FINDINGS = '#c0392b'


def draw_run(timeline: Timeline, title: str) -> str:
    """Return an SVG document.

    The first chart shows starts of tasks in each second, the second how long
    jobs waited for their first start, by the time of their acceptance. Bars
    below are faults, red lines findings.
    """
    length_s = max(1.0, timeline.now_s())
    scale = _WIDTH / length_s
    top = 2 * _MARGIN
    parts = [_text(_MARGIN, _MARGIN, title)]
    parts.extend(_starts(timeline, top, scale))
    top += _CHART_HEIGHT + _MARGIN
    parts.extend(_waits(timeline, top, scale))
    top += _CHART_HEIGHT + _MARGIN
    faults = sorted(timeline.faults)
    for began_s, end_s, name in faults:
        parts.append(_text(_MARGIN, top + _ROW_HEIGHT - 3, name))
        width = max(2.0, (end_s - began_s) * scale)
        parts.append(
            f'<rect x="{_LEFT + began_s * scale:.1f}" y="{top + 2}" '
            f'width="{width:.1f}" height="{_ROW_HEIGHT - 4}" '
            f'fill="{_COLOUR_FAULTS}"/>'
        )
        top += _ROW_HEIGHT
    for finding in timeline.findings:
        place = f'{_LEFT + finding.at_s * scale:.1f}'
        parts.append(
            f'<line x1="{place}" y1="{2 * _MARGIN}" x2="{place}" y2="{top}" '
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


def _starts(timeline: Timeline, top: int, scale: float) -> list[str]:
    by_second = Counter(int(start_s) for start_s in timeline.starts)
    most = max(by_second.values(), default=1)
    parts = [_text(_MARGIN, top + _MARGIN, f'starts a second, up to {most}')]
    for second, count in by_second.items():
        height = count / most * _CHART_HEIGHT
        parts.append(
            f'<rect x="{_LEFT + second * scale:.1f}" '
            f'y="{top + _CHART_HEIGHT - height:.1f}" '
            f'width="{max(1.0, scale - 1):.1f}" height="{height:.1f}" '
            f'fill="{_COLOUR_STARTS}"/>'
        )
    return parts


def _waits(timeline: Timeline, top: int, scale: float) -> list[str]:
    longest = max((wait_s for _, wait_s in timeline.waits), default=1.0) or 1.0
    label = f'wait of jobs, up to {longest:.1f} s'
    parts = [_text(_MARGIN, top + _MARGIN, label)]
    for accepted_s, wait_s in timeline.waits:
        height = wait_s / longest * _CHART_HEIGHT
        parts.append(
            f'<circle cx="{_LEFT + accepted_s * scale:.1f}" '
            f'cy="{top + _CHART_HEIGHT - height:.1f}" r="2" '
            f'fill="{_COLOUR_WAITS}"/>'
        )
    return parts


def _text(left: int, base: int, content: str) -> str:
    return f'<text x="{left}" y="{base}">{escape(content)}</text>'
