"""Renders the results of several policies as Markdown tables."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from statistics import mean, stdev
from typing import Final

from benchmarks.policy.results import Completion, PolicyResult

__all__ = ('PARTITION', 'TARGETS', 'Target', 'Verdict', 'judge', 'render')

PARTITION: Final = 'partition'
_REQUIRED_IMPROVEMENT: Final = 0.2


@dataclass(frozen=True, slots=True)
class Target:
    """A column in which the partition must improve on every baseline."""

    column: str
    title: str


TARGETS: Final[Mapping[str, Target]] = {
    'tavua': Target('weighted_completion', 'weighted completion time'),
    'ravi': Target('fragmentation', 'fragmentation'),
}


@dataclass(frozen=True, slots=True)
class Verdict:
    """Relative improvement of the partition over one baseline.

    Parameters
    ----------
    baseline : str
        Name of the baseline.
    ahead : float
        Relative reduction of the mean over all seeds.
    least, most : float
        The improvement for the worst and the best single seed.
    """

    baseline: str
    ahead: float
    least: float
    most: float

    @property
    def is_met(self) -> bool:
        """Whether the target is met."""
        return self.ahead >= _REQUIRED_IMPROVEMENT


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
        Name of the workload, which selects the target.
    results : mapping of str to sequence of PolicyResult
        Results by policy, for the same seeds in the same order.

    Returns
    -------
    tuple of Verdict
        A verdict for each baseline; empty if the partition has no results.
    """
    if PARTITION not in results:
        return ()
    column = TARGETS[workload].column
    partition_values = _values(results[PARTITION], column)
    return tuple(
        _compare(name, partition_values, _values(baseline_results, column))
        for name, baseline_results in results.items()
        if name != PARTITION
    )


def render(workload: str, results: Results) -> str:
    """Return the report as Markdown tables.

    Parameters
    ----------
    workload : str
        Name of the workload, which selects the target.
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
    name: str,
    partition_values: Sequence[float],
    baseline_values: Sequence[float],
) -> Verdict:
    by_seed = [
        _improvement(partition_value, baseline_value)
        for partition_value, baseline_value in zip(
            partition_values, baseline_values, strict=True
        )
    ]
    return Verdict(
        name,
        _improvement(mean(partition_values), mean(baseline_values)),
        min(by_seed),
        max(by_seed),
    )


def _improvement(partition: float, baseline: float) -> float:
    return 1 - partition / baseline if baseline else float(-(partition > 0))


def _values(results: Sequence[PolicyResult], column: str) -> list[float]:
    return [float(getattr(result, column)) for result in results]


def _format_values(values: Sequence[float], format_spec: str) -> str:
    text = format(mean(values), format_spec)
    if len(values) > 1:
        deviation = format(stdev(values), format_spec)
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
    for title, column, format_spec in _COLUMNS:
        cells = (
            _format_values(_values(policy_results, column), format_spec)
            for policy_results in results.values()
        )
        yield (title, *cells)
    yield ('starved classes', *map(_format_starved, results.values()))


def _format_starved(policy_results: Sequence[PolicyResult]) -> str:
    names = set(
        chain.from_iterable(result.starved for result in policy_results)
    )
    return ', '.join(sorted(names)) or 'none'


_GroupGetter = Callable[[PolicyResult], Mapping[str, Completion]]


def _by_class(result: PolicyResult) -> Mapping[str, Completion]:
    return result.by_class


def _by_size(result: PolicyResult) -> Mapping[str, Completion]:
    return result.by_size


def _group_rows(
    results: Results, get_groups: _GroupGetter
) -> Iterator[tuple[str, ...]]:
    all_results = chain.from_iterable(results.values())
    names = set(chain.from_iterable(map(get_groups, all_results)))
    for name in sorted(names):
        for column in _COMPLETION_COLUMNS:
            title = column.replace('_', ' ')
            cells = (
                _group_cell(policy_results, get_groups, name, column)
                for policy_results in results.values()
            )
            yield (f'{name}: {title}, min', *cells)


def _group_cell(
    policy_results: Sequence[PolicyResult],
    get_groups: _GroupGetter,
    name: str,
    column: str,
) -> str:
    groups = [get_groups(result) for result in policy_results]
    values = [
        float(getattr(group[name], column)) for group in groups if name in group
    ]
    return _format_values(values, '.1f')


def _target_lines(workload: str, results: Results) -> Iterator[str]:
    title = TARGETS[workload].title
    verdicts = judge(workload, results)
    if not verdicts:
        yield f'Target ({title}): not measured, the partition did not run.'
    for verdict in verdicts:
        outcome = 'met' if verdict.is_met else 'MISSED'
        yield (
            f'Target ({title}, at least {_REQUIRED_IMPROVEMENT:.0%} ahead)'
            f' against {verdict.baseline}: {verdict.ahead:+.1%},'
            f' single seeds {verdict.least:+.1%} to {verdict.most:+.1%}:'
            f' {outcome}'
        )
