"""Workers, runs and jobs of a play, followed through its logs."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import MINION_GONE
from benchmarks.site_days.played_jobs import PlayedJob
from benchmarks.site_days.room import Room, Use

__all__ = ('PlayedFleet',)

_DONE = 'done'
_STARTED = 'Started'
# Entries that concern each run of a task have no number.
_ANY_RUN = 0


@dataclass(frozen=True, slots=True)
class _Run:
    minion: str
    number: int


@dataclass(slots=True)
class _Minion:
    capacity: Room
    # ``None`` if the logs do not tell them.
    labels: tuple[str, ...] | None = None
    is_draining: bool = False


class PlayedFleet:
    """State of the minions and jobs of a play, as its logs tell it.

    Parameters
    ----------
    capacity : Room
        Resources of each minion that does not report others.
    """

    def __init__(self, capacity: Room) -> None:
        """Start without minions and jobs."""
        self._capacity = capacity
        self._minion_by_node: dict[str, str] = {}
        self._minions: dict[str, _Minion] = {}
        self._at_work: dict[str, _Run] = {}
        # Resources of a task, by job and step.
        self._needs: dict[tuple[str, str], Room] = {}
        self._accepted: set[str] = set()
        self._jobs: dict[str, PlayedJob] = {}
        self._ordered: dict[str, str] = {}
        self._unrecorded: set[str] = set()
        self._handlers: dict[str, Callable[[float, LogEntry], None]] = {
            'job_accepted': self._accept,
            'job_ended': self._remove_job,
            'job_cancelled': self._remove_job,
            'cancel_accepted': self._remove_job,
            'minion_registered': self._register,
            'capacity_changed': self._resize,
            'minion_draining': self._drain,
            'minion_left': self._lose,
            'minion_ended': self._lose,
            'minion_lost': self._lose,
            MINION_GONE: self._lose,
            'run_ordered': self._order,
            'start_order': self._start,
            'run_found': self._find_run,
            'run_ended': self._note_end,
            'end_recorded': self._record_end,
            'run_lost': self._record_end,
            'start_not_run': self._cancel_order,
        }

    @property
    def jobs(self) -> Mapping[str, PlayedJob]:
        """Jobs that are accepted and neither ended nor cancelled."""
        return self._jobs

    @property
    def ordered(self) -> Mapping[str, str]:
        """Minion by task, for runs whose end the leader does not know."""
        return self._ordered

    @property
    def unrecorded(self) -> set[str]:
        """Tasks whose run has ended, which the leader has not recorded."""
        return self._unrecorded

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Apply an entry of the logs."""
        apply = self._handlers.get(entry.event)
        if apply is not None:
            apply(at_s, entry)

    def has_run(self, job: PlayedJob) -> bool:
        """Return whether a run of a job is at work.

        A run of a task that is done does not count: the leader repeats it if
        it cannot learn of the end.
        """
        prefix = f'{job.job_id}.'
        return any(
            task.startswith(prefix) and task not in job.done
            for task in self._at_work
        )

    def is_repeated(self, job: PlayedJob, step: int) -> bool:
        """Return whether a task of a step is at work although it is done."""
        return any(
            task in self._at_work and task in job.done
            for task in job.tasks_of(step)
        )

    def minions_of(self, nodes: set[str]) -> set[str]:
        """Return the minions on some nodes."""
        return {
            self._minion_by_node[node]
            for node in nodes
            if node in self._minion_by_node
        }

    def is_up(self, minion: str) -> bool:
        """Return whether a minion is there, draining or not."""
        return minion in self._minions

    def use(self) -> Use:
        """Return the shares of the minions' resources that runs hold."""
        free = self._free()
        if not free:
            return Use()
        capacities = (self._minions[minion].capacity for minion in free)
        return Use.of(sum(free.values(), Room()), sum(capacities, Room()))

    def fit_count(self, job: PlayedJob, number: int) -> int:
        """Return how many tasks of a step fit into what no run holds."""
        step = job.steps[number]
        limit = step.max_per_worker or step.count
        by_minion = self._count_runs(job.tasks_of(number))
        return sum(
            min(room.fit_count(step.needs), max(0, limit - by_minion[minion]))
            if step.max_per_worker
            else room.fit_count(step.needs)
            for minion, room in self._free().items()
            if self._has_label(minion, step.constraint)
        )

    def _has_label(self, minion: str, label: str) -> bool:
        labels = self._minions[minion].labels
        return not label or labels is None or label in labels

    def _count_runs(self, tasks: list[str]) -> Counter[str]:
        """Return the runs at work of some tasks, by minion."""
        return Counter(
            self._at_work[task].minion
            for task in tasks
            if task in self._at_work
        )

    def _free(self) -> dict[str, Room]:
        free = {
            name: minion.capacity
            for name, minion in self._minions.items()
            if not minion.is_draining
        }
        for task, run in self._at_work.items():
            if run.minion in free:
                free[run.minion] -= self._needs_of(task)
        return free

    def _needs_of(self, task: str) -> Room:
        job, _, step, _ = task.split('.')
        return self._needs.get((job, step), Room())

    def _register(self, _: float, entry: LogEntry) -> None:
        previous = self._minion_by_node.get(entry.node, '')
        # A guard that restarts finds its minion at work.
        if previous != entry.minion:
            self._remove_minion(previous)
            self._minion_by_node[entry.node] = entry.minion
        minion = self._minions.setdefault(entry.minion, _Minion(self._capacity))
        if entry.capacity is not None:
            minion.capacity = Room(*entry.capacity)
        minion.labels = entry.labels or minion.labels

    def _resize(self, _: float, entry: LogEntry) -> None:
        minion = self._minions.get(entry.minion)
        if minion is not None and entry.capacity is not None:
            minion.capacity = Room(*entry.capacity)

    def _accept(self, at_s: float, entry: LogEntry) -> None:
        # A repeated submission is acknowledged again, also after the end.
        if entry.job in self._accepted:
            return
        self._accepted.add(entry.job)
        job = PlayedJob(entry.job, at_s, entry.steps)
        self._jobs[entry.job] = job
        for number, step in enumerate(entry.steps):
            self._needs[entry.job, str(number)] = step.needs

    def _remove_job(self, _: float, entry: LogEntry) -> None:
        self._jobs.pop(entry.job, None)

    def _drain(self, _: float, entry: LogEntry) -> None:
        minion = self._minions.get(entry.minion)
        if minion is not None:
            minion.is_draining = entry.is_draining

    def _lose(self, _: float, entry: LogEntry) -> None:
        self._remove_minion(entry.minion)

    def _order(self, _: float, entry: LogEntry) -> None:
        self._ordered[entry.task] = entry.minion

    def _start(self, _: float, entry: LogEntry) -> None:
        if entry.outcome == _STARTED:
            minion = self._minion_by_node.get(entry.node, '')
            self._at_work[entry.task] = _Run(minion, entry.run)

    def _find_run(self, _: float, entry: LogEntry) -> None:
        minion = self._minion_by_node.get(entry.node, '')
        self._at_work[entry.task] = _Run(minion, entry.run)

    def _cancel_order(self, _: float, entry: LogEntry) -> None:
        if entry.minion in {'', self._ordered.get(entry.task)}:
            self._ordered.pop(entry.task, None)

    def _note_end(self, _: float, entry: LogEntry) -> None:
        self._unrecorded.add(entry.task)
        self._end(entry)

    def _record_end(self, _: float, entry: LogEntry) -> None:
        self._unrecorded.discard(entry.task)
        if entry.minion == self._ordered.get(entry.task):
            self._ordered.pop(entry.task)
        self._end(entry)

    def _end(self, entry: LogEntry) -> None:
        at_work = self._at_work.get(entry.task)
        if at_work is not None and self._is_of(entry, at_work):
            self._at_work.pop(entry.task)
        job = self._jobs.get(entry.task.partition('.')[0])
        if entry.kind == _DONE and job is not None:
            job.done.add(entry.task)

    def _is_of(self, entry: LogEntry, run: _Run) -> bool:
        # The leader may record an end after the next run has started, on the
        # same minion too.
        minion = entry.minion or self._minion_by_node.get(entry.node)
        return minion == run.minion and entry.run in {run.number, _ANY_RUN}

    def _remove_minion(self, minion: str) -> None:
        self._minions.pop(minion, None)
        for task, run in list(self._at_work.items()):
            if run.minion == minion:
                self._at_work.pop(task)
