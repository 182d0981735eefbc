"""Burn rates of service-level objectives and multi-window alerts.

The burn rate is the share of failed requests divided by the share that the
objective allows: at rate 1 the error budget lasts exactly its period.
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

# A window counts as covered if samples span this share of it, because the
# sampling interval leaves a gap at its start.
_COVERED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Objective:
    """Share of requests that must be answered in time.

    Parameters
    ----------
    workspace, request_class : str
        Requests that the objective is about.
    target : float
        Share that must be good, between 0 and 1.
    latency : timedelta
        Longest good answer time.
    period : timedelta
        Period of the error budget.
    """

    workspace: str
    request_class: str
    target: float
    latency: timedelta
    period: timedelta = timedelta(days=28)

    def __post_init__(self) -> None:
        """Reject a target without an error budget."""
        if not 0 < self.target < 1:
            raise InvalidInputError('target', self.target, 'between 0 and 1')


@dataclass(frozen=True, slots=True)
class CounterSample:
    """Counters of one source at one time.

    Parameters
    ----------
    at : datetime
        When the counters were read, with a time zone.
    source : str
        Entry that counts; counters of different entries are added.
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
        Burn rate; 0 if there was no request.
    bad, total : float
        Requests in the window.
    covered : timedelta
        Part of the window that samples span.
    """

    window: timedelta
    rate: float
    bad: float
    total: float
    covered: timedelta

    @property
    def is_covered(self) -> bool:
        """Whether the samples are enough for an alert."""
        return self.covered >= self.window * _COVERED_SHARE


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Condition over a short and a long window.

    The long window shows that the burn matters, the short one that it still
    goes on.

    Parameters
    ----------
    short, long : timedelta
        The two windows.
    budget_share : float
        Share of the budget that may be burned in the long window.
    severity : str
        ``'page'`` or ``'ticket'``.
    """

    short: timedelta
    long: timedelta
    budget_share: float
    severity: str

    def threshold(self, period: timedelta) -> float:
        """Return the burn rate that spends the share in the long window."""
        return self.budget_share * (period / self.long)


class AlertState(Enum):
    """Result of a rule."""

    firing = 'firing'
    quiet = 'quiet'
    not_enough_data = 'not_enough_data'


@dataclass(frozen=True, slots=True)
class RuleResult:
    """A rule with its burn rates and its state."""

    rule: AlertRule
    threshold: float
    short: WindowBurn
    long: WindowBurn
    state: AlertState


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn rates of one objective."""

    objective: Objective
    at: datetime
    results: tuple[RuleResult, ...]

    @property
    def firing(self) -> tuple[RuleResult, ...]:
        """Rules whose condition holds."""
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
    """Return the burn rates and alerts of an objective.

    Parameters
    ----------
    objective : Objective
        What is promised.
    samples : iterable of CounterSample
        Counters of all sources, in any order.
    at : datetime
        End of all windows.
    rules : sequence of AlertRule
        Conditions to evaluate.
    """
    known = tuple(samples)
    results = []
    for rule in rules:
        threshold = rule.threshold(objective.period)
        short = window_burn(objective, known, at, rule.short)
        long = window_burn(objective, known, at, rule.long)
        state = _state(short, long, threshold)
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
    >>> promise = Objective('resorts', 'checklist', 0.99, hour)
    >>> first = CounterSample(end - hour, 'e1', good=0, total=0)
    >>> last = CounterSample(end, 'e1', good=90, total=100)
    >>> round(window_burn(promise, (first, last), end, hour).rate, 6)
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
        inside = _inside(series, at - window)
        good += _increase([each.good for each in inside])
        total += _increase([each.total for each in inside])
        if len(inside) > 1:
            covered = max(covered, min(window, at - inside[0].at))
    # Good and total are read one after the other, so good may be ahead.
    bad = max(float(0), total - good)
    share = bad / total if total else 0
    return WindowBurn(
        window, share / (1 - objective.target), bad, total, covered
    )


def _inside(
    series: Sequence[CounterSample], start: datetime
) -> Sequence[CounterSample]:
    """Return the samples from the last one at or before the start on."""
    first = 0
    for position, sample in enumerate(series):
        if sample.at <= start:
            first = position
    return series[first:]


def _increase(readings: Sequence[float]) -> float:
    """Return how much a counter grew; a decrease is a restart from zero."""
    return sum(
        after - before if after >= before else after
        for before, after in pairwise(readings)
    )


def _state(short: WindowBurn, long: WindowBurn, threshold: float) -> AlertState:
    if not (short.is_covered and long.is_covered):
        return AlertState.not_enough_data
    if min(short.rate, long.rate) >= threshold:
        return AlertState.firing
    return AlertState.quiet
