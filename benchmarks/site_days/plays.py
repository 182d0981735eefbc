"""Plays days with an external bench, several at a time, one report a play."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path

__all__ = ('Play', 'PlaySettings', 'list_plays', 'play_all')


@dataclass(frozen=True, slots=True, order=True)
class Play:
    """One day with one seed."""

    day: str
    seed: int

    @property
    def file_name(self) -> str:
        """Name of the report of this play."""
        return f'{self.day}-{self.seed}.json'


@dataclass(frozen=True, slots=True)
class PlaySettings:
    """How days are played.

    Parameters
    ----------
    bench : Path
        Program that plays a day and writes a report.
    source : Path
        Checkout of the code to play, in which the bench runs.
    site : Path
        Site file.
    reports : Path
        Folder of the reports; plays that have a report there are left out.
    reason : str
        Text for the journal entry of each play.
    at_once : int
        Number of plays that run at the same time.
    options : tuple of str
        Further arguments for the bench.
    """

    bench: Path
    source: Path
    site: Path
    reports: Path
    reason: str
    at_once: int = 3
    options: tuple[str, ...] = field(default=('--no-cpu',))


def list_plays(days: list[str], seeds: range) -> list[Play]:
    """Return each day with each seed, all days of a seed together."""
    return [Play(day, seed) for seed, day in product(seeds, days)]


async def play_all(
    settings: PlaySettings,
    plays: list[Play],
    notify: Callable[[str], None] = print,
) -> list[Play]:
    """Play what has no report yet and return the plays that failed.

    Parameters
    ----------
    notify : callable
        Called with a line of progress after each play.
    """
    settings.reports.mkdir(parents=True, exist_ok=True)
    pending = [
        play
        for play in plays
        if not (settings.reports / play.file_name).exists()
    ]
    slots = asyncio.Semaphore(settings.at_once)
    failed: list[Play] = []

    async def play_in_slot(play: Play, number: int) -> None:
        async with slots:
            status = await _play(settings, play)
        if status:
            failed.append(play)
        outcome = f'exit status {status}' if status else 'played'
        notify(
            f'{number}/{len(pending)} {play.day} seed {play.seed}: {outcome}'
        )

    running: list[Awaitable[None]] = [
        play_in_slot(play, number)
        for number, play in enumerate(pending, start=1)
    ]
    await asyncio.gather(*running)
    return failed


async def _play(settings: PlaySettings, play: Play) -> int:
    """Play one day; its report appears only once it is complete.

    Returns
    -------
    int
        0 if there is a report, else the exit status of the bench.
    """
    report = settings.reports / play.file_name
    partial = report.with_suffix('.partial')
    with report.with_suffix('.txt').open('wb') as output:
        process = await asyncio.create_subprocess_exec(
            settings.bench,
            'run',
            settings.site,
            play.day,
            '--seed',
            str(play.seed),
            '--report',
            partial,
            '--why',
            settings.reason,
            *settings.options,
            cwd=settings.source,
            stdout=output,
            stderr=asyncio.subprocess.STDOUT,
            env=os.environ,
        )
        status = await process.wait()
    # The bench also exits with a status other than 0 if a rule was broken.
    if partial.exists():
        partial.rename(report)
        return 0
    return status or 1
