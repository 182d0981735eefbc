"""Burn rates and alert states computed from counter samples."""

from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.reports.burn import (
    ALERT_RULES,
    AlertState,
    CounterSample,
    Objective,
    burn_report,
    window_burn,
)

_END = datetime(2026, 3, 1, tzinfo=UTC)
_MINUTE = timedelta(minutes=1)
_HOUR = timedelta(hours=1)
_DAY = timedelta(days=1)
_OBJECTIVE = Objective('resorts', 'checklist', 0.99, timedelta(seconds=1))


def _sample(age, good, total, source='e1'):
    return CounterSample(_END - age, source, good, total)


def _constant_rate_samples(
    bad_share, span, step=5 * _MINUTE, rate_per_step=100
):
    count = int(span / step)
    return [
        _sample(
            span - number * step,
            good=number * rate_per_step * (1 - bad_share),
            total=number * rate_per_step,
        )
        for number in range(count + 1)
    ]


def _alert_states(samples):
    report = burn_report(_OBJECTIVE, samples, _END)
    return [result.state for result in report.results]


@pytest.mark.parametrize(
    ('samples', 'rate'),
    [
        ([], 0),
        ([_sample(_HOUR, 5, 10)], 0),
        ([_sample(_HOUR, 0, 0), _sample(0 * _HOUR, 0, 0)], 0),
        ([_sample(_HOUR, 0, 0), _sample(0 * _HOUR, 99, 100)], 1),
        ([_sample(_HOUR, 0, 0), _sample(0 * _HOUR, 0, 100)], 100),
        # Only the increase within the window counts.
        ([_sample(9 * _HOUR, 0, 900), *_constant_rate_samples(0.02, _HOUR)], 2),
        # The counters are not read atomically, so good may exceed total.
        ([_sample(_HOUR, 0, 0), _sample(0 * _HOUR, 101, 100)], 0),
        # Samples after the end of the window do not count.
        ([*_constant_rate_samples(0.01, _HOUR), _sample(-_HOUR, 0, 10_000)], 1),
    ],
)
def test_burn_rate(samples, rate):
    """Guards against a rate that counts requests outside the window."""
    burn = window_burn(_OBJECTIVE, samples, _END, _HOUR)
    assert burn.rate == pytest.approx(rate)


def test_a_restarted_entry_counts_from_zero():
    """Guards against a negative number of requests after a restart."""
    samples = [
        _sample(_HOUR, 100, 100),
        _sample(30 * _MINUTE, 150, 150),
        _sample(0 * _MINUTE, 40, 50),
    ]
    burn = window_burn(_OBJECTIVE, samples, _END, _HOUR)
    assert (burn.bad, burn.total) == (10, 100)


def test_counters_of_entries_are_added():
    """Guards against counting the difference between entries as requests."""
    samples = [
        _sample(_HOUR, 1000, 1000, 'e1'),
        _sample(_HOUR, 10, 10, 'e2'),
        _sample(0 * _HOUR, 1090, 1100, 'e1'),
        _sample(0 * _HOUR, 110, 110, 'e2'),
    ]
    burn = window_burn(_OBJECTIVE, samples, _END, _HOUR)
    assert (burn.bad, burn.total) == (10, 200)


def test_thresholds_follow_the_budget_shares():
    """Guards against thresholds that ignore the budget period."""
    thresholds = [rule.threshold(30 * _DAY) for rule in ALERT_RULES]
    assert thresholds == pytest.approx([14.4, 6, 3, 1])


def test_alert_windows():
    """Guards against windows that differ from the documented ones."""
    windows = [(rule.short, rule.long) for rule in ALERT_RULES]
    assert windows == [
        (5 * _MINUTE, _HOUR),
        (30 * _MINUTE, 6 * _HOUR),
        (2 * _HOUR, _DAY),
        (6 * _HOUR, 3 * _DAY),
    ]


@pytest.mark.parametrize(
    ('bad_share', 'firing'), [(0, 0), (0.02, 1), (0.04, 2), (0.07, 3), (0.2, 4)]
)
def test_constant_failure_rate_fires_the_rules(bad_share, firing):
    """Guards against a rule that fires at another rate than its threshold."""
    states = _alert_states(_constant_rate_samples(bad_share, 3 * _DAY))
    assert states.count(AlertState.firing) == firing
    assert states.count(AlertState.quiet) == 4 - firing


def test_an_alert_ends_when_the_failures_end():
    """Guards against an alert that fires long after the recovery."""
    failing = _constant_rate_samples(0.5, _HOUR)
    last = failing[-1]
    after = [
        CounterSample(
            last.at + 6 * _MINUTE, 'e1', last.good + 600, last.total + 600
        )
    ]
    report = burn_report(_OBJECTIVE, failing + after, after[-1].at)
    shortest = report.results[0]
    assert shortest.long.rate > shortest.threshold
    assert shortest.state is AlertState.quiet


def test_a_rule_needs_samples_of_its_whole_window():
    """Guards against an alert for days based on samples of one hour."""
    states = _alert_states(_constant_rate_samples(0.5, _HOUR))
    assert states == [AlertState.firing] + [AlertState.not_enough_data] * 3


@pytest.mark.parametrize('target', [0, 1, 1.5])
def test_an_objective_without_budget_is_refused(target):
    """Guards against a division by zero for a target of 1."""
    with pytest.raises(InvalidInputError, match='target'):
        Objective('resorts', 'checklist', target, _MINUTE)
