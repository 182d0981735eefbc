"""Figures of one play, decoded from the report of the bench."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

__all__ = ('COSTS', 'Figures', 'UnreadableReportError', 'load_figures', 'mean')

# Price lines of a report that are kept apart, by the name used here.
COSTS = {
    'machines': 'machine-seconds',
    'thrown_away': 'core-seconds of work thrown away',
    'store_calls': 'cloud calls',
}


class UnreadableReportError(Exception):
    """A report that can't be decoded; the message names the file."""


class _Report(msgspec.Struct):
    worth: float | None = msgspec.field(name='G', default=None)
    served: float = 0
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float | None]] = []
    breaks: dict[str, int] = {}
    fault: str | None = None
    short: list[str] = []


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a play, all but the last in parts of what could be earned.

    Parameters
    ----------
    worth : float
        What was earned less all costs.
    served : float
        Share of the owed benefit that was earned over the day.
    not_earned : float
        What the day, its worst parts included, was short of.
    costs : dict of str to float
        Costs by the names of ``COSTS``, and ``other``.
    thrown_away_core_s : float
        Work of runs that did not count, in core seconds.
    faults : list of str
        Broken rules, and floors that were missed.
    """

    worth: float
    served: float
    not_earned: float
    costs: dict[str, float]
    thrown_away_core_s: float
    faults: list[str]


def load_figures(path: Path) -> Figures:
    """Read the report of one play.

    Raises
    ------
    UnreadableReportError
        If the file is not a report.
    """
    try:
        report = msgspec.json.decode(path.read_bytes(), type=_Report)
    except (OSError, msgspec.DecodeError) as error:
        raise UnreadableReportError(f'{path.name!r}: {error}') from error
    weights = sum(weight for _, weight, _ in report.parts) or 1
    earned = sum(weight * share for _, weight, share in report.parts) / weights
    paid = {name: cost or 0 for name, _, cost in report.prices}
    amounts = {name: amount for name, amount, _ in report.prices}
    costs = {name: paid.get(line, 0) for name, line in COSTS.items()}
    costs['other'] = sum(paid.values()) - sum(costs.values())
    return Figures(
        worth=report.worth or 0,
        served=report.served,
        not_earned=1 - earned,
        costs=costs,
        thrown_away_core_s=amounts.get(COSTS['thrown_away'], 0),
        faults=[*report.breaks, *report.short],
    )


def mean(figures: Iterable[Figures]) -> Figures:
    """Return the means of several plays, with the faults of all."""
    plays = list(figures)
    return Figures(
        worth=statistics.fmean(one.worth for one in plays),
        served=statistics.fmean(one.served for one in plays),
        not_earned=statistics.fmean(one.not_earned for one in plays),
        costs={
            name: statistics.fmean(one.costs[name] for one in plays)
            for name in plays[0].costs
        },
        thrown_away_core_s=statistics.fmean(
            one.thrown_away_core_s for one in plays
        ),
        faults=[fault for one in plays for fault in one.faults],
    )
