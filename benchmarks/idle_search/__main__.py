"""Command line of the search.

Examples
--------
::

    python -m benchmarks.idle_search --kinds bad,racks,lost --seeds 200
    python -m benchmarks.idle_search --kinds racks --seed 23 --trace j4
"""

from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import chain
from time import monotonic
from typing import Annotated

import cappa

from benchmarks.idle_search.days import draw_day
from benchmarks.idle_search.faults import FaultKind
from benchmarks.idle_search.play import (
    MAX_WAIT_MS,
    DayResult,
    GangWait,
    play_day,
)
from dragonflynotch.workflows.decision_log_buffer import DecisionLogEntry

__all__ = ('Search',)

_EXIT_FINDINGS = 1
_S_PER_HOUR = 3600
# The ends whose tasks were repeated for longest.
_MAX_SHOWN_ENDS = 3


def _play(
    seed: int, kinds: frozenset[FaultKind], max_wait_ms: int
) -> DayResult:
    return play_day(draw_day(seed, kinds), max_wait_ms)


@cappa.command(name='benchmarks.idle_search')
@dataclass(frozen=True, slots=True)
class Search:
    """Play random days and print each job that waits beside idle room.

    Exit code 1 means that there were findings.
    """

    kinds: Annotated[
        str, cappa.Arg(long=True, help='Kinds of faults, joined by commas.')
    ] = ''
    seed: Annotated[int, cappa.Arg(long=True, help='First seed.')] = 1
    seeds: Annotated[
        int, cappa.Arg(long=True, help='Number of consecutive seeds.')
    ] = 1
    processes: Annotated[
        int, cappa.Arg(long=True, help='Days to play at once.')
    ] = 1
    max_wait_ms: Annotated[
        int, cappa.Arg(long=True, help='Longest wait that is allowed.')
    ] = MAX_WAIT_MS
    trace: Annotated[
        str, cappa.Arg(long=True, help='Job to print the decisions about.')
    ] = ''

    def __call__(self) -> None:
        """Play all seeds and print the findings."""
        names = self.kinds.split(',') if self.kinds else []
        kinds = frozenset(map(FaultKind, names))
        if self.trace:
            self._follow(kinds)
            return
        started_s = monotonic()
        seeds = range(self.seed, self.seed + self.seeds)
        play = partial(_play, kinds=kinds, max_wait_ms=self.max_wait_ms)
        with ProcessPoolExecutor(self.processes) as pool:
            results = list(map(_print, pool.map(play, seeds, chunksize=2)))
        elapsed_s = monotonic() - started_s
        print(*_format_summary(self.kinds, results, elapsed_s), sep='\n')
        if any(result.findings or result.violations for result in results):
            raise cappa.Exit(code=_EXIT_FINDINGS)

    def _follow(self, kinds: frozenset[FaultKind]) -> None:
        day = draw_day(self.seed, kinds)
        print(*day.machines, *day.faults, *day.absences, sep='\n')
        print(*(one for one in day.arrivals if one.job_id == self.trace))

        def print_entry(now_ms: int, entry: DecisionLogEntry) -> None:
            text = str(entry.fields)
            if f"'{self.trace}'" in text or f"'{self.trace}." in text:
                print(now_ms, entry.event, text)

        print(
            *_format_result(play_day(day, self.max_wait_ms, print_entry)),
            sep='',
        )


def _print(result: DayResult) -> DayResult:
    print(*_format_result(result), sep='', end='', flush=True)
    return result


def _format_result(result: DayResult) -> Iterable[str]:
    for wait in result.findings:
        yield f'seed {result.seed} {wait.main_class.value}: {wait.describe()}\n'
    for wait in result.held:
        yield f'seed {result.seed} (held) {wait.describe()}\n'
    repeated_ms = result.repeated_ms
    worst = sorted(
        result.lost_ends,
        key=lambda end: repeated_ms[end.task],
        reverse=True,
    )
    for end in worst[:_MAX_SHOWN_ENDS]:
        yield (
            f'seed {result.seed} {end.describe()}, '
            f'repeated {repeated_ms[end.task]} ms\n'
        )
    if len(worst) > _MAX_SHOWN_ENDS:
        yield f'seed {result.seed} ends lost: {len(worst)}\n'
    for violation in result.violations:
        yield f'seed {result.seed} VIOLATION {violation}\n'


def _format_summary(
    kinds: str, results: list[DayResult], elapsed_s: float
) -> Iterable[str]:
    findings = list(chain.from_iterable(one.findings for one in results))
    classes = Counter(wait.main_class.value for wait in findings)
    causes = Counter(wait.idle_cause for wait in findings)
    broken = [one.seed for one in results if one.findings]
    held = sum(len(one.held) for one in results)
    violations = sum(len(one.violations) for one in results)
    longest_ms = max(one.longest_counted_ms for one in results)
    gangs = list(chain.from_iterable(one.gang_waits for one in results))
    days_per_hour = len(results) / elapsed_s * _S_PER_HOUR
    yield (
        f'[{kinds or "plain"}] {len(results)} days, {len(broken)} with '
        f'findings: {dict(classes)}, causes {dict(causes)}, '
        f'longest {longest_ms} ms, held {held}, violations {violations}'
    )
    yield f'seeds: {broken}'
    yield _format_gangs(gangs)
    yield _format_ends(results)
    yield f'{elapsed_s:.0f} s, {days_per_hour:.0f} days an hour'


def _format_gangs(gangs: list[GangWait]) -> str:
    if not gangs:
        return 'whole-fleet gangs: none'
    waits = sorted(gang.wait_ms for gang in gangs)
    missing = sum(not gang.has_started for gang in gangs)
    return (
        f'whole-fleet gangs: {len(gangs)}, median {waits[len(waits) // 2]} ms, '
        f'longest {waits[-1]} ms, never started {missing}'
    )


def _format_ends(results: list[DayResult]) -> str:
    lost = list(chain.from_iterable(one.lost_ends for one in results))
    places = Counter(end.place.value for end in lost)
    repeated_ms = sum(one.repeated_ms.total() for one in results)
    longest_ms = max(one.longest_open_end_ms for one in results)
    return (
        f'ends lost: {len(lost)} {dict(places)}, seeds '
        f'{[one.seed for one in results if one.lost_ends]}, '
        f'repeated {repeated_ms} ms, longest not recorded {longest_ms} ms'
    )


if __name__ == '__main__':
    cappa.invoke(Search)
