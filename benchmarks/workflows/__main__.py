"""Replays all load patterns with several seeds and prints a table."""

import statistics
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from benchmarks.workflows.loads import LOADS, generate_arrivals
from benchmarks.workflows.replay import JobOutcome, ReplayResult, replay

_QUEUES = ('urgent', 'normal', 'batch')
_DEFAULT_SEEDS = 10
_MAX_PROCESSES = 4
# One in so many workspaces counts as worst-served.
_WORST_FRACTION = 10


def _replay_one(case: tuple[str, int]) -> ReplayResult:
    name, seed = case
    load = LOADS[name]
    return replay(load, generate_arrivals(load, seed))


def _share(result: ReplayResult, queue: str = '') -> float:
    outcomes = [
        outcome for outcome in result.outcomes if queue in {'', outcome.queue}
    ]
    owed = sum(outcome.owed for outcome in outcomes)
    return sum(outcome.value for outcome in outcomes) / owed if owed else 1


def _worst_workspaces_share(result: ReplayResult) -> float:
    """Return the mean share of the worst-served tenth of workspaces."""
    by_workspace: defaultdict[str, list[JobOutcome]] = defaultdict(list)
    for outcome in result.outcomes:
        by_workspace[outcome.workspace].append(outcome)
    shares = sorted(
        _share(ReplayResult(outcomes)) for outcomes in by_workspace.values()
    )
    return statistics.mean(shares[: -(-len(shares) // _WORST_FRACTION)])


def _completed_share(result: ReplayResult) -> float:
    done = sum(outcome.is_completed for outcome in result.outcomes)
    return done / max(1, len(result.outcomes))


def _format_row(name: str, results: list[ReplayResult]) -> str:
    shares = [_share(result) for result in results]
    by_queue = ' '.join(
        f'{statistics.mean(_share(one, queue) for one in results):7.3f}'
        for queue in _QUEUES
    )
    lost = statistics.mean(
        one.lost_core_s / (one.lost_core_s + one.done_core_s) for one in results
    )
    completed = statistics.mean(map(_completed_share, results))
    worst = statistics.mean(map(_worst_workspaces_share, results))
    stops = statistics.mean(one.stops for one in results)
    return (
        f'{name:16} {statistics.mean(shares):6.3f} '
        f'{statistics.pstdev(shares):6.3f} {min(shares):6.3f} {by_queue} '
        f'{worst:6.3f} {completed:9.3f} {lost:6.3f} {stops:6.1f}'
    )


def main() -> None:
    """Print one line for each load pattern; the argument is a seed count."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _DEFAULT_SEEDS
    cases = list(product(LOADS, range(seeds)))
    with ProcessPoolExecutor(_MAX_PROCESSES) as pool:
        results = list(pool.map(_replay_one, cases))
    print(
        f'{"load":16} {"earned":>6} {"spread":>6} {"least":>6} '
        f'{"urgent":>7} {"normal":>7} {"batch":>7} '
        f'{"worst":>6} {"completed":>9} {"lost":>6} {"stops":>6}'
    )
    for name in LOADS:
        found = [
            result
            for (case_name, _), result in zip(cases, results, strict=True)
            if case_name == name
        ]
        print(_format_row(name, found))


if __name__ == '__main__':
    main()
