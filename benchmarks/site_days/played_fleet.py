"""Workers, runs and jobs of a play, followed through its logs."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from benchmarks.site_days.room import Room, Use

__all__ = ('LogEntry', 'PlayedFleet', 'PlayedJob', 'PlayedStep')

_DONE = 'done'
_STARTED = 'Started'
# Entries that concern each run of a task have no number.
_ANY_RUN = 0


class PlayedStep(msgspec.Struct):
    """A step as it was accepted."""

    count: int = 1
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    is_gang: bool = False
    after: tuple[int, ...] = ()

    @property
    def needs(self) -> Room:
        """Resources of one task."""
        return Room(self.millicores, self.memory_mb, self.accelerators)

    @property
    def start_count(self) -> int:
        """How many tasks have to start together."""
        return self.count if self.is_gang else 1


class LogEntry(msgspec.Struct):
    """Fields of the entries that concern minions, runs and jobs."""

    event: str
    node: str = ''
    job: str = ''
    task: str = ''
    run: int = 0
    kind: str = ''
    minion: str = ''
    outcome: str = ''
    reason: str = ''
    is_draining: bool = False
    steps: list[PlayedStep] = []
    step: int = 0
    tier: int = -1
    candidates: int = -1
    avoided: list[str] = []
    fit_free: int = -1
    fit_unreserved: int = -1
    oldest_report_ms: int = -1


@dataclass(slots=True)
class PlayedJob:
    """A job, with the tasks of it that are done."""

    job_id: str
    accepted_s: float
    steps: list[PlayedStep]
    done: set[str] = field(default_factory=set)

    def due_step(self) -> int | None:
        """Return the first step whose turn has come and that is not done."""
        for number, step in enumerate(self.steps):
            if not self._is_done(number) and all(
                map(self._is_done, step.after)
            ):
                return number
        return None

    def tasks_of(self, number: int) -> list[str]:
        """Return the tasks of a step; the jobs have no repetitions."""
        count = self.steps[number].count
        return [f'{self.job_id}.0.{number}.{task}' for task in range(count)]

    def _is_done(self, number: int) -> bool:
        return self.done.issuperset(self.tasks_of(number))


@dataclass(frozen=True, slots=True)
class _Run:
    minion: str
    number: int


class PlayedFleet:
    """State of the minions and jobs of a play, as its logs tell it.

    A minion counts until the log says that it is gone, so one that lost power
    counts until its machine is back.

    Parameters
    ----------
    capacity : Room
        Resources of each minion.
    """

    def __init__(self, capacity: Room) -> None:
        """Start without minions and jobs."""
        self._capacity = capacity
        self._minion_by_node: dict[str, str] = {}
        self._draining: set[str] = set()
        self._at_work: dict[str, _Run] = {}
        self._needs: dict[str, Room] = {}
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
            'minion_draining': self._drain,
            'minion_left': self._lose,
            'minion_ended': self._lose,
            'minion_lost': self._lose,
            'run_ordered': self._order,
            'start_order': self._start,
            'run_ended': self._note_end,
            'end_recorded': self._record_end,
            'run_lost': self._record_end,
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
        """Return whether a run of a job is at work."""
        prefix = f'{job.job_id}.'
        return any(task.startswith(prefix) for task in self._at_work)

    def use(self) -> Use:
        """Return the shares of the minions' resources that runs hold."""
        rooms = list(self._free().values())
        if not rooms:
            return Use()
        total = sum((self._capacity for _ in rooms), Room())
        return Use.of(sum(rooms, Room()), total)

    def fit_count(self, needs: Room) -> int:
        """Return how many tasks fit into what no run holds."""
        return sum(room.fit_count(needs) for room in self._free().values())

    def _free(self) -> dict[str, Room]:
        free = {
            minion: self._capacity
            for minion in self._minion_by_node.values()
            if minion not in self._draining
        }
        for task, run in self._at_work.items():
            if run.minion in free:
                free[run.minion] -= self._needs.get(task, Room())
        return free

    def _register(self, _: float, entry: LogEntry) -> None:
        previous = self._minion_by_node.get(entry.node, '')
        # A guard that restarts finds its minion at work.
        if previous != entry.minion:
            self._remove_minion(previous)
            self._minion_by_node[entry.node] = entry.minion

    def _accept(self, at_s: float, entry: LogEntry) -> None:
        # A repeated submission is acknowledged again, also after the end.
        if entry.job in self._accepted:
            return
        self._accepted.add(entry.job)
        job = PlayedJob(entry.job, at_s, entry.steps)
        self._jobs[entry.job] = job
        for number, step in enumerate(entry.steps):
            self._needs.update(dict.fromkeys(job.tasks_of(number), step.needs))

    def _remove_job(self, _: float, entry: LogEntry) -> None:
        self._jobs.pop(entry.job, None)

    def _drain(self, _: float, entry: LogEntry) -> None:
        if entry.is_draining:
            self._draining.add(entry.minion)
        else:
            self._draining.discard(entry.minion)

    def _lose(self, _: float, entry: LogEntry) -> None:
        self._remove_minion(entry.minion)

    def _order(self, _: float, entry: LogEntry) -> None:
        self._ordered[entry.task] = entry.minion

    def _start(self, _: float, entry: LogEntry) -> None:
        if entry.outcome == _STARTED:
            minion = self._minion_by_node.get(entry.node, '')
            self._at_work[entry.task] = _Run(minion, entry.run)

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
        for node, known in list(self._minion_by_node.items()):
            if known == minion:
                self._minion_by_node.pop(node)
        for task, run in list(self._at_work.items()):
            if run.minion == minion:
                self._at_work.pop(task)
