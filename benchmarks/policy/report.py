"""Prints the columns of several policies over several seeds."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from statistics import mean, stdev
from typing import Final

from benchmarks.policy.results import Completion, PolicyResult

__all__ = ('PARTITION', 'TARGETS', 'Target', 'Verdict', 'judge', 'render')

PARTITION: Final = 'partition'
_AHEAD: Final = 0.2


@dataclass(frozen=True, slots=True)
class Target:
    """A column in which the partition must be ahead of every baseline."""

    column: str
    title: str


TARGETS: Final[Mapping[str, Target]] = {
    'tavua': Target('weighted_completion', 'weighted completion time'),
    'ravi': Target('fragmentation', 'fragmentation'),
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """How far the partition is ahead of one baseline.

    Parameters
    ----------
    baseline : str
        Name of the baseline.
    ahead : float
        One minus the ratio of the means over all seeds.
    least, most : float
        The same for the worst and the best single seed.
    """

    baseline: str
    ahead: float
    least: float
    most: float

    @property
    def is_met(self) -> bool:
        """Whether the target is met."""
        return self.ahead >= _AHEAD


Results = Mapping[str, Sequence[PolicyResult]]

_COLUMNS: Final[Sequence[tuple[str, str, str]]] = (
    ('weighted completion, min', 'weighted_completion', '.1f'),
    ('fragmentation', 'fragmentation', '.3f'),
    ('unusable accelerators', 'unusable', '.2f'),
    ('utilisation', 'utilisation', '.3f'),
    ('missed deadlines', 'missed_deadlines', '.1f'),
    ('preempted work lost, acc h', 'preempted_hours', '.2f'),
    ('work lost to faults, acc h', 'fault_hours', '.2f'),
    ('longest wait, min', 'longest_wait', '.0f'),
    ('unfinished sound jobs', 'unfinished', '.1f'),
    ('failed sound jobs', 'failed', '.1f'),
    ('guarantee violations', 'guarantee_violations', '.1f'),
    ('partial gangs', 'partial_gangs', '.1f'),
    ('double uses', 'double_uses', '.1f'),
)
_COMPLETION_COLUMNS: Final = ('mean', 'p50', 'p95', 'p99', 'longest_wait')


def judge(workload: str, results: Results) -> tuple[Verdict, ...]:
    """Compare the partition with every baseline on the target column.

    Parameters
    ----------
    workload : str
        Chooses the target.
    results : mapping of str to sequence of PolicyResult
        Results by policy, for the same seeds in the same order.

    Returns
    -------
    tuple of Verdict
        One for each baseline; empty without results of the partition.
    """
    if PARTITION not in results:
        return ()
    column = TARGETS[workload].column
    ours = _values(results[PARTITION], column)
    return tuple(
        _compare(name, ours, _values(theirs, column))
        for name, theirs in results.items()
        if name != PARTITION
    )


def render(workload: str, results: Results) -> str:
    """Return the report as Markdown tables.

    Parameters
    ----------
    workload : str
        Chooses the target.
    results : mapping of str to sequence of PolicyResult
        Results by policy, for the same seeds in the same order.

    Returns
    -------
    str
        Tables of all columns, then the targets.
    """
    lines = [
        *_table('all jobs', results, _overall_rows(results)),
        *_table('by class', results, _group_rows(results, _by_class)),
        *_table('by size', results, _group_rows(results, _by_size)),
        *_target_lines(workload, results),
    ]
    return '\n'.join(lines)


def _compare(
    name: str, ours: Sequence[float], theirs: Sequence[float]
) -> Verdict:
    by_seed = [
        _ahead(our, their) for our, their in zip(ours, theirs, strict=True)
    ]
    return Verdict(
        name, _ahead(mean(ours), mean(theirs)), min(by_seed), max(by_seed)
    )


def _ahead(ours: float, theirs: float) -> float:
    return 1 - ours / theirs if theirs else float(-(ours > 0))


def _values(results: Sequence[PolicyResult], column: str) -> list[float]:
    return [float(getattr(result, column)) for result in results]


def _spread(values: Sequence[float], layout: str) -> str:
    text = format(mean(values), layout)
    if len(values) > 1:
        deviation = format(stdev(values), layout)
        return f'{text} ± {deviation}'
    return text


def _table(
    title: str, results: Results, rows: Iterator[tuple[str, ...]]
) -> list[str]:
    header = (title, *results)
    return [
        _row(header),
        _row(('---',) * len(header)),
        *(_row(row) for row in rows),
        '',
    ]


def _row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _overall_rows(results: Results) -> Iterator[tuple[str, ...]]:
    for title, column, layout in _COLUMNS:
        cells = (
            _spread(_values(of_policy, column), layout)
            for of_policy in results.values()
        )
        yield (title, *cells)
    yield ('starved classes', *map(_name_starved, results.values()))


def _name_starved(of_policy: Sequence[PolicyResult]) -> str:
    names = set(chain.from_iterable(one.starved for one in of_policy))
    return ', '.join(sorted(names)) or 'none'


_Groups = Callable[[PolicyResult], Mapping[str, Completion]]


def _by_class(result: PolicyResult) -> Mapping[str, Completion]:
    return result.by_class


def _by_size(result: PolicyResult) -> Mapping[str, Completion]:
    return result.by_size


def _group_rows(
    results: Results, groups_of: _Groups
) -> Iterator[tuple[str, ...]]:
    all_results = chain.from_iterable(results.values())
    names = set(chain.from_iterable(map(groups_of, all_results)))
    for name in sorted(names):
        for column in _COMPLETION_COLUMNS:
            title = column.replace('_', ' ')
            cells = (
                _group_cell(of_policy, groups_of, name, column)
                for of_policy in results.values()
            )
            yield (f'{name}: {title}, min', *cells)


def _group_cell(
    of_policy: Sequence[PolicyResult],
    groups_of: _Groups,
    name: str,
    column: str,
) -> str:
    groups = [groups_of(result) for result in of_policy]
    values = [
        float(getattr(group[name], column)) for group in groups if name in group
    ]
    return _spread(values, '.1f')


def _target_lines(workload: str, results: Results) -> Iterator[str]:
    title = TARGETS[workload].title
    verdicts = judge(workload, results)
    if not verdicts:
        yield f'Target ({title}): not measured, the partition did not run.'
    for verdict in verdicts:
        outcome = 'met' if verdict.is_met else 'MISSED'
        yield (
            f'Target ({title}, at least {_AHEAD:.0%} ahead) against'
            f' {verdict.baseline}: {verdict.ahead:+.1%}, single seeds'
            f' {verdict.least:+.1%} to {verdict.most:+.1%}: {outcome}'
        )
