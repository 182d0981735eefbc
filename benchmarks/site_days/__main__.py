"""Command line of the plays.

Examples
--------
::

    python -m benchmarks.site_days play --bench BENCH --site SITE.toml \\
        --source CHECKOUT --reports build/before --days trouble-1,scale-1 \\
        --seeds 8 --first-seed 9000 --reason 'baseline'
    python -m benchmarks.site_days table build/before
    python -m benchmarks.site_days compare build/before build/after
    python -m benchmarks.site_days idle --site SITE.toml build/scale-1.log
    python -m benchmarks.site_days ends --site SITE.toml build/scale-1.log
"""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from benchmarks.site_days.end_tables import (
    format_delays,
    format_end_summary,
    format_ends,
)
from benchmarks.site_days.idle_jobs import (
    IdleStretch,
    find_idle_stretches,
    read_capacity,
)
from benchmarks.site_days.idle_tables import format_stretches, format_summary
from benchmarks.site_days.losses import Losses, format_losses, read_losses
from benchmarks.site_days.play_ends import PlayEnds, read_play_ends
from benchmarks.site_days.played_faults import read_broken_rules
from benchmarks.site_days.plays import PlaySettings, list_plays, play_all
from benchmarks.site_days.tables import comparison_rows, load_set, set_rows
from benchmarks.site_days.wait_causes import WaitCause

_DEFAULT_DAYS = 'trouble-1,scale-1,trouble-2,scale-2,trouble-3'


@cappa.command(name='play')
@dataclass(frozen=True, slots=True)
class PlayCommand:
    """Play days with several seeds; an interrupted set is continued."""

    bench: Annotated[Path, cappa.Arg(long=True)]
    site: Annotated[Path, cappa.Arg(long=True)]
    source: Annotated[Path, cappa.Arg(long=True)]
    reports: Annotated[Path, cappa.Arg(long=True)]
    reason: Annotated[str, cappa.Arg(long=True)]
    days: Annotated[str, cappa.Arg(long=True)] = _DEFAULT_DAYS
    seeds: Annotated[int, cappa.Arg(long=True)] = 8
    first_seed: Annotated[int, cappa.Arg(long=True)] = 9000
    at_once: Annotated[int, cappa.Arg(long=True)] = 3
    charge_cpu: Annotated[bool, cappa.Arg(long=True)] = False
    logs: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Play the set and print its table."""
        settings = PlaySettings(
            self.bench.resolve(),
            self.source.resolve(),
            self.site.resolve(),
            self.reports.resolve(),
            self.reason,
            self.at_once,
            (
                *(() if self.charge_cpu else ('--no-cpu',)),
                *(('--log', 'all') if self.logs else ()),
            ),
        )
        seeds = range(self.first_seed, self.first_seed + self.seeds)
        plays = list_plays(self.days.split(','), seeds)
        failed = asyncio.run(play_all(settings, plays))
        print(*set_rows(load_set(settings.reports)), sep='\n')
        if failed:
            raise cappa.Exit(f'{len(failed)} plays failed', code=1)


@cappa.command(name='table')
@dataclass(frozen=True, slots=True)
class TableCommand:
    """Print the means of a set of plays."""

    reports: Path

    def __call__(self) -> None:
        """Print the table."""
        print(*set_rows(load_set(self.reports)), sep='\n')


@cappa.command(name='compare')
@dataclass(frozen=True, slots=True)
class CompareCommand:
    """Print the paired differences between two sets of plays."""

    before: Path
    after: Path

    def __call__(self) -> None:
        """Print the table."""
        rows = comparison_rows(load_set(self.before), load_set(self.after))
        print(*rows, sep='\n')


@cappa.command(name='losses')
@dataclass(frozen=True, slots=True)
class LossesCommand:
    """Print the work that did not count in plays with logs, by cause."""

    logs: list[Path]

    def __call__(self) -> None:
        """Print the tables."""
        total = Losses()
        for log in self.logs:
            total.add(read_losses(log))
        print(*format_losses(total, len(self.logs)), sep='\n')


@cappa.command(name='idle')
@dataclass(frozen=True, slots=True)
class IdleCommand:
    """Print when jobs had nothing at work, from plays with all logs."""

    logs: list[Path]
    site: Annotated[Path, cappa.Arg(long=True)]
    min_s: Annotated[float, cappa.Arg(long=True)] = 1.0
    from_s: Annotated[float, cappa.Arg(long=True)] = float('-inf')
    most: Annotated[int, cappa.Arg(long=True)] = 10

    def __call__(self) -> None:
        """Print the worst stretches of each play, and a summary of all."""
        capacity = read_capacity(self.site)
        found = {}
        for log in self.logs:
            found[log.stem] = find_idle_stretches(
                log, capacity, self.min_s, self.from_s
            )
            if self.most:
                self._print_play(log, found[log.stem])
        print('all plays')
        print(*format_summary(found), sep='\n')

    def _print_play(self, log: Path, stretches: list[IdleStretch]) -> None:
        lines = log.read_text(encoding='utf-8', errors='replace').splitlines()
        print(log.stem, *read_broken_rules(lines), sep='\n')
        print(*format_stretches(stretches[: self.most]), sep='\n')


@cappa.command(name='ends')
@dataclass(frozen=True, slots=True)
class EndsCommand:
    """Print which ends of runs plays lost, and what they repeated.

    With a site, also the jobs that had only such repeats at work.
    """

    logs: list[Path]
    site: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Print the ends of each play, and a summary of all."""
        found = {}
        for log in self.logs:
            found[log.stem] = read_play_ends(log)
            self._print_play(log, found[log.stem])
        print('all plays')
        print(*format_end_summary(found), sep='\n')
        ends = [end for play in found.values() for end in play.ends]
        print(*format_delays(ends), sep='\n')

    def _print_play(self, log: Path, play: PlayEnds) -> None:
        lines = log.read_text(encoding='utf-8', errors='replace').splitlines()
        print(log.stem, *read_broken_rules(lines), sep='\n')
        print(*format_ends(play), sep='\n')
        if self.site is None:
            return
        stretches = [
            stretch
            for stretch in find_idle_stretches(log, read_capacity(self.site))
            if WaitCause.end_lost in stretch.facts.seconds
        ]
        if stretches:
            print(*format_stretches(stretches), sep='\n')


@cappa.command(name='python -m benchmarks.site_days')
@dataclass(frozen=True, slots=True)
class Command:
    """Play days of a site with several seeds and compare the plays."""

    command: cappa.Subcommands[
        PlayCommand
        | TableCommand
        | CompareCommand
        | LossesCommand
        | IdleCommand
        | EndsCommand
    ]


if __name__ == '__main__':
    cappa.invoke(Command)
