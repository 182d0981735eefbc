"""Compares the ends of runs on the minions with what the leader records.

An end is lost once neither its minion nor a report in the store holds it and
no leader records it. A run of a task that is done is a repeat.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from benchmarks.idle_search.fleet import Fleet, Machine
from benchmarks.idle_search.store import Store
from dragonflynotch.workflows.records import EndKind

__all__ = ('EndAudit', 'EndPlace', 'LostEnd')

# A leader that has read an end records it within two rounds.
_RECORD_MS = 500
_RunKey = tuple[str, int]


class EndPlace(StrEnum):
    """Last place that an end reached."""

    minion = 'minion'
    guard = 'guard'
    report = 'report'


@dataclass(frozen=True, slots=True)
class LostEnd:
    """The end of a run as done that nothing holds any more.

    Parameters
    ----------
    ended_ms, lost_ms : int
        When the run ended, and when the last holder was gone.
    place : EndPlace
        Last place that the end reached.
    """

    task: str
    run: int
    ended_ms: int
    lost_ms: int
    place: EndPlace

    def describe(self) -> str:
        """Return the lost end in one line."""
        return (
            f'end of {self.task} run {self.run} at {self.ended_ms} lost at '
            f'{self.lost_ms}, last in {self.place.value}'
        )


@dataclass(slots=True)
class _OpenEnd:
    """An end as done that the leader has not recorded."""

    ended_ms: int
    place: EndPlace = EndPlace.minion
    # Last moment at which its minion or a report held it.
    held_ms: int = 0


class EndAudit:
    """Follows the ends of runs as done on one day."""

    def __init__(self, fleet: Fleet, store: Store) -> None:
        """Create an audit of a day that begins."""
        self._fleet = fleet
        self._store = store
        self._open: dict[_RunKey, _OpenEnd] = {}
        self._done: set[str] = set()
        self.lost: list[LostEnd] = []
        # Repeats at work at the last moment.
        self.repeats_by_job: Counter[str] = Counter()
        # Time at work of repeats, by task.
        self.repeated_ms: Counter[str] = Counter()
        self.longest_open_ms = 0

    @property
    def lost_tasks(self) -> set[str]:
        """Tasks whose end as done was lost, recorded meanwhile or not."""
        return {end.task for end in self.lost}

    @property
    def done_tasks(self) -> set[str]:
        """Tasks of which a run has ended as done, recorded or not."""
        return self._done

    def review(self, now_ms: int, elapsed_ms: int) -> None:
        """Compare the minions with the store at a moment.

        Parameters
        ----------
        elapsed_ms : int
            Time since the moment before.
        """
        listed = set(self._listed_ends())
        for key in listed:
            self._note(key, now_ms)
        if self._open:
            self._follow(listed, now_ms)
        self._count_repeats(elapsed_ms)

    def _machines(self) -> Iterator[Machine]:
        return (machine for machine in self._fleet.machines if machine.is_up)

    def _listed_ends(self) -> Iterator[_RunKey]:
        for machine in self._machines():
            for end in machine.minion.ends:
                if end.kind is EndKind.done:
                    yield end.task, end.run

    def _note(self, key: _RunKey, now_ms: int) -> None:
        task = key[0]
        if task not in self._done:
            self._done.add(task)
            self._open[key] = _OpenEnd(now_ms)

    def _follow(self, listed: set[_RunKey], now_ms: int) -> None:
        """Update the places of all open ends, and close those that are not."""
        reported = self._reported_ends()
        known = self._known_ends()
        for key, end in list(self._open.items()):
            if key in reported:
                end.place = EndPlace.report
            elif key in known and end.place is EndPlace.minion:
                end.place = EndPlace.guard
            if key in listed or key in reported:
                end.held_ms = now_ms
            self._close(key, end, now_ms)

    def _close(self, key: _RunKey, end: _OpenEnd, now_ms: int) -> None:
        """Close an end that has been recorded or lost."""
        age_ms = now_ms - end.ended_ms
        self.longest_open_ms = max(self.longest_open_ms, age_ms)
        if self._is_settled(key[0]):
            del self._open[key]
        elif now_ms - end.held_ms > _RECORD_MS:
            del self._open[key]
            self.lost.append(
                LostEnd(*key, end.ended_ms, end.held_ms, end.place)
            )

    def _count_repeats(self, elapsed_ms: int) -> None:
        self.repeats_by_job.clear()
        for machine in self._machines():
            for task, run in machine.minion.runs.items():
                if task in self._done:
                    self.repeats_by_job[run.job_id] += 1
                    self.repeated_ms[task] += elapsed_ms

    def _reported_ends(self) -> set[_RunKey]:
        reports = [row.report for row in self._store.reports.values()]
        ends = [end for report in reports for end in report.ended]
        ends.extend(
            earlier.end for report in reports for earlier in report.earlier_ends
        )
        return {(end.task, end.run) for end in ends}

    def _known_ends(self) -> set[_RunKey]:
        return {
            (end.task, end.run)
            for machine in self._machines()
            for end in machine.guard.known_ends
        }

    def _is_settled(self, task: str) -> bool:
        job_id, _, number, _ = task.split('.')
        if job_id in self._store.ended_jobs or job_id in self._store.cancelled:
            return True
        recorded = self._store.done_tasks
        spec = self._store.jobs[job_id]
        if not spec.steps[int(number)].is_gang:
            return task in recorded
        # A gang is done once the end of any member is recorded.
        step = task.rpartition('.')[0]
        return any(name.rpartition('.')[0] == step for name in recorded)
