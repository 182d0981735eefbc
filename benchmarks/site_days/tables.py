"""Tables of one set of plays, and of the difference between two."""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

from benchmarks.site_days.figures import Figures, load_figures, mean

__all__ = ('comparison_rows', 'load_set', 'set_rows')

# Plays of a set by day and seed.
PlaySet = dict[tuple[str, int], Figures]


def load_set(reports: Path) -> PlaySet:
    """Read all reports of a folder."""
    found: PlaySet = {}
    for path in sorted(reports.glob('*.json')):
        day, _, seed = path.stem.rpartition('-')
        found[day, int(seed)] = load_figures(path)
    return found


def set_rows(plays: PlaySet) -> Iterator[str]:
    """Return a table of the means by day, and over all days."""
    yield (
        '| day | plays | worth | spread | served | not earned | machines '
        '| thrown away | store calls | other | with faults |'
    )
    yield '|---|---|---|---|---|---|---|---|---|---|---|'
    for day, found in _by_day(plays).items():
        yield _set_row(day, found)
    yield _set_row('all', list(plays.values()))


def comparison_rows(before: PlaySet, after: PlaySet) -> Iterator[str]:
    """Return a table of paired differences: the second set less the first.

    The spread is the standard deviation of the difference of one play, the
    error that of the mean difference.
    """
    yield (
        '| day | pairs | worth | difference | spread | error | served '
        '| thrown away, core s |'
    )
    yield '|---|---|---|---|---|---|---|---|'
    pairs = {key: (before[key], after[key]) for key in before if key in after}
    by_day: dict[str, list[tuple[Figures, Figures]]] = defaultdict(list)
    for (day, _), pair in pairs.items():
        by_day[day].append(pair)
    for day, found in sorted(by_day.items()):
        yield _comparison_row(day, found)
    if pairs:
        yield _comparison_row('all', list(pairs.values()))


def _by_day(plays: PlaySet) -> dict[str, list[Figures]]:
    by_day: dict[str, list[Figures]] = defaultdict(list)
    for (day, _), figures in sorted(plays.items()):
        by_day[day].append(figures)
    return by_day


def _deviation(values: list[float]) -> float:
    return statistics.stdev(values) if len(values) > 1 else math.nan


def _set_row(name: str, plays: list[Figures]) -> str:
    average = mean(plays)
    faults = sum(bool(play.faults) for play in plays)
    cells = [
        average.worth,
        _deviation([play.worth for play in plays]),
        average.served,
        average.not_earned,
        *average.costs.values(),
    ]
    numbers = ' | '.join(f'{cell:.3f}' for cell in cells)
    return f'| {name} | {len(plays)} | {numbers} | {faults} |'


def _comparison_row(name: str, pairs: list[tuple[Figures, Figures]]) -> str:
    before = mean(pair[0] for pair in pairs)
    after = mean(pair[1] for pair in pairs)
    spread = _deviation([pair[1].worth - pair[0].worth for pair in pairs])
    return (
        f'| {name} | {len(pairs)} '
        f'| {before.worth:.3f} to {after.worth:.3f} '
        f'| {after.worth - before.worth:+.3f} | {spread:.3f} '
        f'| {spread / math.sqrt(len(pairs)):.3f} '
        f'| {before.served:.3f} to {after.served:.3f} '
        f'| {before.thrown_away_core_s:.0f} to '
        f'{after.thrown_away_core_s:.0f} |'
    )
