"""Time intervals in which a job had no run although it could have had one.

Lists, from the logs of a play, each stretch of time in which the turn of one
of a job's tasks had come and no run of the job was at work, with the room that
the minions had meanwhile. The order is by how long less than half of each
resource was used while there was room for the task, or its gang, twice.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benchmarks.site_days.play_log import read_entries
from benchmarks.site_days.played_fleet import (
    LogEntry,
    PlayedFleet,
    PlayedJob,
    PlayedStep,
)
from benchmarks.site_days.room import Room, Use

__all__ = (
    'IdleStretch',
    'find_idle_stretches',
    'format_stretches',
    'read_capacity',
)

# Use of the minions' room below which a job that could run is not to wait.
_MAX_IDLE_USE = 0.5
# How many times a task, or its gang, has to fit.
_FIT_FACTOR = 2
# How long a job may wait then.
_MAX_WAIT_S = 3.0
_NEVER = float('inf')
# More tasks than fit into any fleet.
_MAX_FIT_COUNT = 1_000_000
_COLUMNS = (
    'job',
    'step',
    'tasks',
    'accepted',
    'waits from',
    'to',
    'unused s',
    'by cores/memory/accelerators',
    'least use',
    'most',
    'fit',
    'last wait',
    'causes',
)


class _Node(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Service(msgspec.Struct):
    node: _Node | None = None


class _Site(msgspec.Struct):
    services: list[_Service]


@dataclass(slots=True)
class _Span:
    """Longest interval in which a condition held without a break."""

    longest_s: float = 0
    began_s: float | None = None

    def update(self, at_s: float, *, holds: bool) -> None:
        """Record whether the condition holds from this time on."""
        if self.began_s is not None:
            self.longest_s = max(self.longest_s, at_s - self.began_s)
        if not holds:
            self.began_s = None
        elif self.began_s is None:
            self.began_s = at_s


@dataclass(slots=True)
class UnusedSpans:
    """Longest intervals with room for a task twice and little use.

    Which resource the users count is not known, so each is followed.

    Parameters
    ----------
    every : _Span
        Each resource was used below half.
    cores, memory, accelerators : _Span
        This resource was used below half.
    """

    every: _Span = field(default_factory=_Span)
    cores: _Span = field(default_factory=_Span)
    memory: _Span = field(default_factory=_Span)
    accelerators: _Span = field(default_factory=_Span)

    @property
    def longest_s(self) -> float:
        """Longest time for any resource."""
        return max(
            self.cores.longest_s,
            self.memory.longest_s,
            self.accelerators.longest_s,
        )

    def update(self, at_s: float, use: Use, *, could_run: bool) -> None:
        """Record the use from this time on."""
        for span, share in (
            (self.every, use.most),
            (self.cores, use.cores),
            (self.memory, use.memory),
            (self.accelerators, use.accelerators),
        ):
            span.update(at_s, holds=could_run and share < _MAX_IDLE_USE)


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
    causes : set of str
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
    causes: set[str] = field(default_factory=set)

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
    with log.open(encoding='utf-8', errors='replace') as lines:
        for at_s, entry in read_entries(lines, LogEntry):
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
        self._open: dict[tuple[str, int], IdleStretch] = {}
        self._closed: list[IdleStretch] = []
        self._last_wait: dict[tuple[str, int], LogEntry] = {}
        self._now_s = -_NEVER

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Apply an entry, and review all jobs when time has passed."""
        has_passed = at_s > self._now_s
        if has_passed and self._now_s >= self._from_s:
            self._review()
        self._now_s = at_s
        if entry.event == 'step_waits':
            self._last_wait[entry.job, entry.step] = entry
        elif entry.event == 'run_lost':
            self._add_cause(entry.task, f'run lost: {entry.reason}')
        elif entry.event == 'start_order':
            self._add_cause(entry.task, f'start: {entry.outcome}')
        self._fleet.apply(at_s, entry)

    def finish(self) -> list[IdleStretch]:
        """Return all stretches; those that are left end with the log."""
        self._review()
        for key in list(self._open):
            self._close(key)
        return self._closed

    def _add_cause(self, task: str, cause: str) -> None:
        job_id, _, rest = task.partition('.')
        stretch = self._open.get((job_id, int(rest.split('.')[1])))
        if stretch is not None:
            stretch.causes.add(cause)

    def _review(self) -> None:
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
            self._update(stretch, use)

    def _idle_jobs(self) -> Iterator[tuple[tuple[str, int], PlayedJob]]:
        for job in self._fleet.jobs.values():
            step = job.due_step()
            if step is not None and not self._fleet.has_run(job):
                yield (job.job_id, step), job

    def _update(self, stretch: IdleStretch, use: Use) -> None:
        spec = stretch.spec
        fit = self._fleet.fit_count(spec.needs)
        could_run = fit >= _FIT_FACTOR * spec.start_count
        stretch.unused.update(self._now_s, use, could_run=could_run)
        if use.most <= stretch.least.most:
            stretch.least = use
        stretch.highest = max(stretch.highest, use.most)
        stretch.fewest_fit = min(fit, stretch.fewest_fit)
        stretch.causes.update(self._causes(stretch))

    def _causes(self, stretch: IdleStretch) -> Iterator[str]:
        tasks = set(stretch.job.tasks_of(stretch.step))
        if tasks & self._fleet.ordered.keys():
            yield 'ordered, not at work'
        for before in stretch.spec.after:
            if self._fleet.unrecorded & set(stretch.job.tasks_of(before)):
                yield 'end of an earlier step not recorded'

    def _close(self, key: tuple[str, int]) -> None:
        stretch = self._open.pop(key)
        stretch.ended_s = self._now_s
        stretch.unused.update(self._now_s, Use(), could_run=False)
        stretch.last_wait = self._last_wait.get(key)
        self._closed.append(stretch)


def format_stretches(stretches: list[IdleStretch]) -> Iterator[str]:
    """Return a table of stretches, one a line."""
    yield f'| {" | ".join(_COLUMNS)} |'
    yield '|---' * len(_COLUMNS) + '|'
    for stretch in stretches:
        yield f'| {" | ".join(_cells(stretch))} |'


def _cells(stretch: IdleStretch) -> Iterator[str]:
    yield stretch.job.job_id
    yield str(stretch.step)
    yield _format_spec(stretch.spec)
    yield f'{stretch.job.accepted_s:.1f}'
    yield f'{stretch.began_s:.2f}'
    yield f'{stretch.ended_s:.2f}'
    yield from _unused_cells(stretch)
    least = stretch.least
    yield f'{least.cores:.2f}/{least.memory:.2f}/{least.accelerators:.2f}'
    yield f'{stretch.highest:.2f}'
    yield str(stretch.fewest_fit)
    yield _format_wait(stretch.last_wait)
    yield '; '.join(sorted(stretch.causes))


def _unused_cells(stretch: IdleStretch) -> Iterator[str]:
    unused = stretch.unused
    mark = ' !' if stretch.breaks_rule else ''
    yield f'{unused.every.longest_s:.2f}{mark}'
    spans = (unused.cores, unused.memory, unused.accelerators)
    yield '/'.join(f'{span.longest_s:.2f}' for span in spans)


def _format_spec(spec: PlayedStep) -> str:
    kind = 'gang of ' if spec.is_gang else ''
    needs = f'{spec.millicores}/{spec.memory_mb}/{spec.accelerators}'
    return f'{kind}{spec.count} x {needs}'


def _format_wait(entry: LogEntry | None) -> str:
    if entry is None:
        return 'none'
    return (
        f'tier {entry.tier}, free {entry.fit_free}, '
        f'unreserved {entry.fit_unreserved}, of {entry.candidates}, '
        f'avoided {len(entry.avoided)}, report {entry.oldest_report_ms} ms'
    )
