"""Replays each load without one mechanism of the scheduler at a time.

Run as ``python -m benchmarks.workflows.ablation SEEDS``.
Differences are those to the scheduler with all mechanisms, in pairs.
"""

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields, replace
from itertools import product

from benchmarks.workflows.loads import LOADS, LoadPattern, generate_arrivals
from benchmarks.workflows.replay import ReplayResult, replay
from dragonflynotch.workflows.mechanisms import Mechanisms

_DEFAULT_SEEDS = 6
_MAX_PROCESSES = 2
_ALL = 'all'
# The callers' estimates are right, which no scheduler can know.
_TRUE_ESTIMATES = 'true run times'
_VARIANTS = (_ALL, _TRUE_ESTIMATES, *(one.name for one in fields(Mechanisms)))


@dataclass(frozen=True, slots=True)
class _Case:
    variant: str
    load: str
    seed: int


@dataclass(frozen=True, slots=True)
class _Outcome:
    """Share earned, and work lost in core seconds, of one replay."""

    earned: float
    lost_core_s: float


def _with_true_estimates(load: LoadPattern) -> LoadPattern:
    return replace(
        load,
        classes=tuple(replace(one, estimate_error=0) for one in load.classes),
    )


def _replay_case(case: _Case) -> _Outcome:
    load = LOADS[case.load]
    mechanisms = Mechanisms()
    if case.variant == _TRUE_ESTIMATES:
        load = _with_true_estimates(load)
    elif case.variant != _ALL:
        mechanisms = replace(mechanisms, **{case.variant: False})
    return _summarize(
        replay(load, generate_arrivals(load, case.seed), mechanisms)
    )


def _summarize(result: ReplayResult) -> _Outcome:
    owed = sum(outcome.owed for outcome in result.outcomes)
    earned = sum(outcome.value for outcome in result.outcomes)
    return _Outcome(earned / owed if owed else 1, result.lost_core_s)


def _format_row(
    variant: str, load: str, pairs: list[tuple[_Outcome, _Outcome]]
) -> str:
    changes = [after.earned - before.earned for before, after in pairs]
    lost_before = statistics.fmean(before.lost_core_s for before, _ in pairs)
    lost_after = statistics.fmean(after.lost_core_s for _, after in pairs)
    earned = statistics.fmean(after.earned for _, after in pairs)
    return (
        f'| {variant} | {load} | {earned:.3f} '
        f'| {statistics.fmean(changes):+.3f} | {statistics.stdev(changes):.3f} '
        f'| {lost_before:.0f} to {lost_after:.0f} |'
    )


def main() -> None:
    """Print a line for each variant and load."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _DEFAULT_SEEDS
    cases = [_Case(*case) for case in product(_VARIANTS, LOADS, range(seeds))]
    with ProcessPoolExecutor(_MAX_PROCESSES) as pool:
        outcomes = dict(zip(cases, pool.map(_replay_case, cases), strict=True))
    print('| without | load | earned | difference | spread | lost, core s |')
    print('|---|---|---|---|---|---|')
    for variant, load in product(_VARIANTS, LOADS):
        pairs = [
            (
                outcomes[_Case(_ALL, load, seed)],
                outcomes[_Case(variant, load, seed)],
            )
            for seed in range(seeds)
        ]
        print(_format_row(variant, load, pairs))


if __name__ == '__main__':
    main()
