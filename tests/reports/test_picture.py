"""The chart of burn rates is a valid SVG document."""

from datetime import UTC, datetime, timedelta
from xml.etree import ElementTree as Tree

from dragonflynotch.reports.burn import CounterSample, Objective, burn_report
from dragonflynotch.reports.picture import render_burn_chart

_END = datetime(2026, 3, 1, tzinfo=UTC)
_HOUR = timedelta(hours=1)


def test_one_bar_for_each_window():
    """Guards against unescaped text and missing bars."""
    objective = Objective('a<b&c', 'checklist', 0.99, _HOUR)
    samples = (
        CounterSample(_END - _HOUR, 'e1', 0, 0),
        CounterSample(_END - _HOUR / 12, 'e1', 0, 50),
        CounterSample(_END, 'e1', 0, 100),
    )
    picture = render_burn_chart([burn_report(objective, samples, _END)])
    root = Tree.fromstring(picture)
    bars = root.findall('.//{*}rect')[1:]
    assert [float(bar.get('width')) >= 0 for bar in bars] == [True] * 8
    assert bars[0].get('fill') != bars[-1].get('fill')
    assert 'a<b&c' in root.find('.//{*}text').text
