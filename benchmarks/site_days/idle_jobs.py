"""Time intervals in which a job had no run although it could have had one.

Lists, from the logs of a play, each stretch of time in which the turn of one
of a job's tasks had come and no run of the job was at work, with the room that
the minions had meanwhile. The order is by how long less than half of each
resource was used while there was room for the task, or its gang, twice. What
is at work and what room there is come from the guards' entries, not from what
the leader believes.
"""

import tomllib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import add_losses
from benchmarks.site_days.play_log import read_entries
from benchmarks.site_days.played_faults import read_faults
from benchmarks.site_days.played_fleet import PlayedFleet
from benchmarks.site_days.played_jobs import PlayedJob, PlayedStep
from benchmarks.site_days.room import Room, Use
from benchmarks.site_days.unused_spans import UnusedSpans
from benchmarks.site_days.wait_causes import LeaderLog, WaitCause

__all__ = (
    'IdleStretch',
    'WaitFacts',
    'find_idle_stretches',
    'read_capacity',
)

# How many times a task, or its gang, has to fit.
_FIT_FACTOR = 2
# How long a job may wait then.
_MAX_WAIT_S = 3.0
_NEVER = float('inf')
# More tasks than fit into any fleet.
_MAX_FIT_COUNT = 1_000_000


class _Node(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Service(msgspec.Struct):
    node: _Node | None = None


class _Site(msgspec.Struct):
    services: list[_Service]


@dataclass(slots=True)
class WaitFacts:
    """What the logs say of a wait.

    Parameters
    ----------
    seconds : dict of WaitCause to float
        Time by cause while the step fitted, or its gang.
    seconds_unused : dict of WaitCause to float
        Time by cause while it fitted twice and each resource was used below
        half.
    orders : Counter
        Orders for the step, by minion.
    details : set of str
        Outcomes of start calls, and reasons why runs were lost.
    takeovers : int
        New leaders.
    backfilled_stops : int
        Times that backfilled runs were stopped for another step.
    most_believed : float
        Highest share of the capacity that the leader took for used.
    """

    seconds: dict[WaitCause, float] = field(default_factory=dict)
    seconds_unused: dict[WaitCause, float] = field(default_factory=dict)
    orders: Counter[str] = field(default_factory=Counter)
    details: set[str] = field(default_factory=set)
    takeovers: int = 0
    backfilled_stops: int = 0
    most_believed: float = 0

    @property
    def cause(self) -> WaitCause:
        """Cause that held for longest, first of all while room was unused."""
        seconds = self.seconds_unused or self.seconds or {WaitCause.full: 0}
        return max(seconds, key=lambda cause: seconds[cause])

    def add_time(
        self, cause: WaitCause, elapsed_s: float, *, is_unused: bool
    ) -> None:
        """Add time in which the step fitted."""
        for seconds in (
            (self.seconds, self.seconds_unused)
            if is_unused
            else (self.seconds,)
        ):
            seconds[cause] = seconds.get(cause, 0) + elapsed_s


@dataclass(slots=True)
class IdleStretch:
    """A time in which a job waited with no run at work.

    Parameters
    ----------
    job : PlayedJob
        The job.
    step : int
        The step whose turn had come.
    began_s, ended_s : float
        When the wait began and ended.
    least : Use
        Use of the minions when they were used least.
    highest : float
        Highest use of a resource.
    fewest_fit : int
        Fewest tasks that fitted into what no run held.
    unused : UnusedSpans
        How long the job could have run.
    last_wait : LogEntry or None
        Last entry of the leader about the wait of the step.
    facts : WaitFacts
        What else the logs say of the wait.
    """

    job: PlayedJob
    step: int
    began_s: float
    ended_s: float = _NEVER
    least: Use = field(default_factory=Use)
    highest: float = 0
    fewest_fit: int = _MAX_FIT_COUNT
    unused: UnusedSpans = field(default_factory=UnusedSpans)
    last_wait: LogEntry | None = None
    facts: WaitFacts = field(default_factory=WaitFacts)

    @property
    def spec(self) -> PlayedStep:
        """The step that waited."""
        return self.job.steps[self.step]

    @property
    def breaks_rule(self) -> bool:
        """Whether the job could have run for too long."""
        return self.unused.every.longest_s >= _MAX_WAIT_S

    @property
    def length_s(self) -> float:
        """How long the job waited."""
        return self.ended_s - self.began_s


def read_capacity(site: Path) -> Room:
    """Return the resources of a minion from the site file."""
    content = tomllib.loads(site.read_text(encoding='utf-8'))
    services = msgspec.convert(content, type=_Site).services
    for service in services:
        node = service.node
        if node is not None:
            return Room(node.cpu, node.mem_mb, node.gpu)
    raise ValueError(f'no service of {site} has minions for tasks')


def find_idle_stretches(
    log: Path, capacity: Room, min_s: float = 1.0, from_s: float = -_NEVER
) -> list[IdleStretch]:
    """Return the stretches of a play in which a job waited, the worst first.

    Parameters
    ----------
    log : Path
        Output of a play with the logs of all programs.
    capacity : Room
        Resources of each minion.
    min_s : float
        Shortest stretch to return, in seconds.
    from_s : float
        Time of the play from which waits count, in seconds.
    """
    reader = _Reader(capacity, from_s)
    lines = log.read_text(encoding='utf-8', errors='replace').splitlines()
    entries = list(read_entries(lines, LogEntry))
    for at_s, entry in add_losses(entries, list(read_faults(lines))):
        reader.apply(at_s, entry)
    stretches = [
        stretch for stretch in reader.finish() if stretch.length_s >= min_s
    ]
    return sorted(stretches, key=_rank, reverse=True)


def _rank(stretch: IdleStretch) -> tuple[float, float, float]:
    return (
        stretch.unused.every.longest_s,
        stretch.unused.longest_s,
        stretch.length_s,
    )


class _Reader:
    """Follows the jobs of one play through its logs."""

    def __init__(self, capacity: Room, from_s: float) -> None:
        self._from_s = from_s
        self._fleet = PlayedFleet(capacity)
        self._leader = LeaderLog()
        self._open: dict[tuple[str, int], IdleStretch] = {}
        self._closed: list[IdleStretch] = []
        self._now_s = -_NEVER

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Apply an entry, and review all jobs when time has passed."""
        if at_s > self._now_s and self._now_s >= self._from_s:
            self._review(at_s - self._now_s)
        self._now_s = at_s
        self._add_fact(entry)
        self._leader.apply(entry)
        self._fleet.apply(at_s, entry)

    def finish(self) -> list[IdleStretch]:
        """Return all stretches; those that are left end with the log."""
        self._review(0)
        for key in list(self._open):
            self._close(key)
        return self._closed

    def _add_fact(self, entry: LogEntry) -> None:
        match entry.event:
            case 'run_lost':
                self._add_detail(entry.task, f'run lost: {entry.reason}')
            case 'start_order':
                self._add_detail(entry.task, f'start: {entry.outcome}')
            case 'start_not_run':
                self._add_detail(entry.task, f'not started: {entry.reason}')
            case 'run_ordered':
                for stretch in self._find_open(entry.task):
                    stretch.facts.orders[entry.minion] += 1
            case 'scheduling_started':
                for stretch in self._open.values():
                    stretch.facts.takeovers += 1
            case 'room_taken' if entry.backfilled:
                for stretch in self._open.values():
                    stretch.facts.backfilled_stops += 1
            case 'job_idle':
                self._note_belief(entry)

    def _note_belief(self, entry: LogEntry) -> None:
        for (job_id, _), stretch in self._open.items():
            if job_id == entry.job:
                stretch.facts.most_believed = max(
                    stretch.facts.most_believed, entry.capacity_in_use
                )

    def _add_detail(self, task: str, detail: str) -> None:
        for stretch in self._find_open(task):
            stretch.facts.details.add(detail)

    def _find_open(self, task: str) -> Iterator[IdleStretch]:
        """Yield the stretch in which the step of a task waits, if any."""
        job_id, _, step, _ = task.split('.')
        stretch = self._open.get((job_id, int(step)))
        if stretch is not None:
            yield stretch

    def _review(self, elapsed_s: float) -> None:
        """Update all stretches with the state of the last ``elapsed_s``."""
        idle = dict(self._idle_jobs())
        for key in self._open.keys() - idle.keys():
            self._close(key)
        if not idle:
            return
        use = self._fleet.use()
        for key, job in idle.items():
            stretch = self._open.setdefault(
                key, IdleStretch(job, key[1], self._now_s)
            )
            self._update(stretch, use, elapsed_s)

    def _idle_jobs(self) -> Iterator[tuple[tuple[str, int], PlayedJob]]:
        for job in self._fleet.jobs.values():
            step = job.due_step()
            if step is not None and not self._fleet.has_run(job):
                yield (job.job_id, step), job

    def _update(self, stretch: IdleStretch, use: Use, elapsed_s: float) -> None:
        job, step = stretch.job, stretch.step
        fit = self._fleet.fit_count(job, step)
        starts = stretch.spec.start_count
        could_run = fit >= _FIT_FACTOR * starts
        is_unused = stretch.unused.update(self._now_s, use, could_run=could_run)
        if use.most <= stretch.least.most:
            stretch.least = use
        stretch.highest = max(stretch.highest, use.most)
        stretch.fewest_fit = min(fit, stretch.fewest_fit)
        if fit >= starts:
            cause = self._leader.find_cause(self._fleet, job, step)
            stretch.facts.add_time(cause, elapsed_s, is_unused=is_unused)

    def _close(self, key: tuple[str, int]) -> None:
        stretch = self._open.pop(key)
        stretch.ended_s = self._now_s
        stretch.unused.update(self._now_s, Use(), could_run=False)
        stretch.last_wait = self._leader.last_wait(*key)
        self._leader.forget(stretch.job.job_id)
        self._closed.append(stretch)
