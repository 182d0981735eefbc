"""Burn rates of service-level objectives and multi-window alerts.

The burn rate is the share of bad requests divided by the share that the
objective allows: at rate 1 the error budget is used up exactly at the end of
its period. A request is bad if it was not answered within the latency of the
objective.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from itertools import pairwise
from typing import Final

from dragonflynotch.core.errors import InvalidInputError

__all__ = (
    'ALERT_RULES',
    'AlertRule',
    'AlertState',
    'BurnReport',
    'CounterSample',
    'Objective',
    'RuleResult',
    'WindowBurn',
    'burn_report',
    'window_burn',
)

# The sampling interval leaves a gap at the start of a window, so samples need
# not span all of it.
_MIN_COVERED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Objective:
    """Share of requests that must be answered within a latency.

    Parameters
    ----------
    workspace, request_class : str
        Requests to which the objective applies.
    target : float
        Required share of good requests, between 0 and 1.
    latency : timedelta
        Longest response time of a good request.
    period : timedelta
        Period over which the error budget is counted.
    """

    workspace: str
    request_class: str
    target: float
    latency: timedelta
    period: timedelta = timedelta(days=28)

    def __post_init__(self) -> None:
        """Reject a target that leaves no error budget."""
        if not 0 < self.target < 1:
            raise InvalidInputError('target', self.target, 'between 0 and 1')


@dataclass(frozen=True, slots=True)
class CounterSample:
    """Request counters of one source at one time.

    Parameters
    ----------
    at : datetime
        When the counters were read; must have a time zone.
    source : str
        Entry that holds the counters; the increases of all entries are added.
    good : float
        Requests answered within the latency of the objective, since the
        source started.
    total : float
        All requests since the source started.
    """

    at: datetime
    source: str
    good: float
    total: float


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate over one window.

    Parameters
    ----------
    window : timedelta
        Length of the window.
    rate : float
        Burn rate; 0 if there were no requests.
    bad, total : float
        Number of bad requests and of all requests in the window.
    covered : timedelta
        Part of the window that the samples span.
    """

    window: timedelta
    rate: float
    bad: float
    total: float
    covered: timedelta

    @property
    def is_covered(self) -> bool:
        """Whether the samples span enough of the window for an alert."""
        return self.covered >= self.window * _MIN_COVERED_SHARE


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Alert condition over a short and a long window.

    A high burn rate over the long window is significant; the short window
    ends the alert soon after the failures stop.

    Parameters
    ----------
    short, long : timedelta
        Lengths of the windows.
    budget_share : float
        Share of the error budget that must be used up within the long window
        for an alert.
    severity : str
        ``'page'`` or ``'ticket'``.
    """

    short: timedelta
    long: timedelta
    budget_share: float
    severity: str

    def threshold(self, period: timedelta) -> float:
        """Return the burn rate that uses ``budget_share`` in ``long``."""
        return self.budget_share * (period / self.long)


class AlertState(Enum):
    """State of an alert rule."""

    firing = 'firing'
    quiet = 'quiet'
    not_enough_data = 'not_enough_data'


@dataclass(frozen=True, slots=True)
class RuleResult:
    """An alert rule with its burn rates and its state."""

    rule: AlertRule
    threshold: float
    short: WindowBurn
    long: WindowBurn
    state: AlertState


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn rates and alert states of one objective."""

    objective: Objective
    at: datetime
    results: tuple[RuleResult, ...]

    @property
    def firing(self) -> tuple[RuleResult, ...]:
        """Results of the rules that fire."""
        return tuple(
            each for each in self.results if each.state is AlertState.firing
        )


ALERT_RULES: Final = (
    AlertRule(timedelta(minutes=5), timedelta(hours=1), 0.02, 'page'),
    AlertRule(timedelta(minutes=30), timedelta(hours=6), 0.05, 'page'),
    AlertRule(timedelta(hours=2), timedelta(days=1), 0.1, 'ticket'),
    AlertRule(timedelta(hours=6), timedelta(days=3), 0.1, 'ticket'),
)


def burn_report(
    objective: Objective,
    samples: Iterable[CounterSample],
    at: datetime,
    rules: Sequence[AlertRule] = ALERT_RULES,
) -> BurnReport:
    """Return the burn rates and alert states of an objective.

    Parameters
    ----------
    objective : Objective
        Objective to evaluate.
    samples : iterable of CounterSample
        Counters of all sources, in any order.
    at : datetime
        End of all windows.
    rules : sequence of AlertRule
        Alert rules to evaluate.
    """
    all_samples = tuple(samples)
    results = []
    for rule in rules:
        threshold = rule.threshold(objective.period)
        short = window_burn(objective, all_samples, at, rule.short)
        long = window_burn(objective, all_samples, at, rule.long)
        state = _alert_state(short, long, threshold)
        results.append(RuleResult(rule, threshold, short, long, state))
    return BurnReport(objective, at, tuple(results))


def window_burn(
    objective: Objective,
    samples: Iterable[CounterSample],
    at: datetime,
    window: timedelta,
) -> WindowBurn:
    """Return the burn rate over the window that ends at ``at``.

    Examples
    --------
    >>> end = datetime.fromisoformat('2026-01-01T01:00:00+00:00')
    >>> hour = timedelta(hours=1)
    >>> objective = Objective('resorts', 'checklist', 0.99, hour)
    >>> first = CounterSample(end - hour, 'e1', good=0, total=0)
    >>> last = CounterSample(end, 'e1', good=90, total=100)
    >>> round(window_burn(objective, (first, last), end, hour).rate, 6)
    10.0
    """
    by_source: dict[str, list[CounterSample]] = defaultdict(list)
    for sample in sorted(samples, key=lambda each: each.at):
        if sample.at <= at:
            by_source[sample.source].append(sample)
    good: float = 0
    total: float = 0
    covered = timedelta()
    for series in by_source.values():
        in_window = _samples_in_window(series, at - window)
        good += _counter_increase([each.good for each in in_window])
        total += _counter_increase([each.total for each in in_window])
        if len(in_window) > 1:
            covered = max(covered, min(window, at - in_window[0].at))
    # The two counters are not read atomically, so good may exceed total.
    bad = max(float(0), total - good)
    bad_share = bad / total if total else 0
    return WindowBurn(
        window, bad_share / (1 - objective.target), bad, total, covered
    )


def _samples_in_window(
    series: Sequence[CounterSample], start: datetime
) -> Sequence[CounterSample]:
    """Return the last sample at or before ``start`` and all later ones."""
    first = 0
    for position, sample in enumerate(series):
        if sample.at <= start:
            first = position
    return series[first:]


def _counter_increase(readings: Sequence[float]) -> float:
    """Return the increase of a counter, which a restart resets to zero."""
    return sum(
        after - before if after >= before else after
        for before, after in pairwise(readings)
    )


def _alert_state(
    short: WindowBurn, long: WindowBurn, threshold: float
) -> AlertState:
    if not (short.is_covered and long.is_covered):
        return AlertState.not_enough_data
    if min(short.rate, long.rate) >= threshold:
        return AlertState.firing
    return AlertState.quiet
