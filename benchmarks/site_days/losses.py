"""Work that did not count in a play, by cause, from the logs of the play."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from benchmarks.site_days.play_log import read_entries

__all__ = ('Losses', 'format_losses', 'read_losses')

_CORES_PER_ACCELERATOR = 8
_MILLICORES_PER_CORE = 1000
# A run that can resume loses about what it did since its last checkpoint.
_CHECKPOINT_INTERVAL_S = 1.0
_DONE = 'done'


class _Step(msgspec.Struct):
    millicores: int = 0
    accelerators: int = 0
    is_gang: bool = False
    has_checkpoints: bool = False

    @property
    def kind(self) -> str:
        """How the tasks run; queues have other names in each play."""
        members = 'gang' if self.is_gang else 'tasks'
        return f'{members}, resumable' if self.has_checkpoints else members

    @property
    def core_equivalents(self) -> float:
        return (
            self.millicores / _MILLICORES_PER_CORE
            + self.accelerators * _CORES_PER_ACCELERATOR
        )


class _Entry(msgspec.Struct):
    event: str
    job: str = ''
    task: str = ''
    run: int = 0
    kind: str = ''
    reason: str = ''
    state: str = ''
    steps: list[_Step] = []


@dataclass(slots=True)
class Losses:
    """Core seconds of runs by how they ended.

    Parameters
    ----------
    core_s : Counter
        Core seconds that did not count, by kind of step and cause.
    runs : Counter
        Runs that did not count, by kind of step and cause.
    done_core_s : float
        Core seconds of runs that were done.
    jobs : Counter
        Jobs by kind of step and final state.
    """

    core_s: Counter[tuple[str, str]] = field(default_factory=Counter)
    runs: Counter[tuple[str, str]] = field(default_factory=Counter)
    done_core_s: float = 0
    jobs: Counter[tuple[str, str]] = field(default_factory=Counter)

    def add(self, other: 'Losses') -> None:
        """Add the losses of another play."""
        self.core_s.update(other.core_s)
        self.runs.update(other.runs)
        self.done_core_s += other.done_core_s
        self.jobs.update(other.jobs)


class _Reader:
    """Follows the runs of one play through its log."""

    def __init__(self) -> None:
        self.losses = Losses()
        self._steps: dict[str, list[_Step]] = {}
        self._started_s: dict[tuple[str, int], float] = {}
        self._stop_reasons: dict[tuple[str, int], str] = {}
        self._ended_jobs: set[str] = set()
        self._runs: dict[str, int] = {}
        self._handlers: dict[str, Callable[[float, _Entry], None]] = {
            'job_accepted': self._accept,
            'run_ordered': self._start,
            'stop_ordered': self._stop,
            'end_recorded': self._end_run,
            'run_lost': self._lose_run,
            'job_ended': self._end_job,
        }

    def apply(self, at_s: float, entry: _Entry) -> None:
        """Apply one entry; others than those of runs and jobs do nothing."""
        apply = self._handlers.get(entry.event)
        if apply is not None:
            apply(at_s, entry)

    def _accept(self, at_s: float, entry: _Entry) -> None:
        self._steps[entry.job] = entry.steps

    def _start(self, at_s: float, entry: _Entry) -> None:
        self._started_s[entry.task, entry.run] = at_s
        self._runs[entry.task] = entry.run

    def _stop(self, at_s: float, entry: _Entry) -> None:
        self._stop_reasons[entry.task, entry.run] = entry.reason

    def _end_run(self, at_s: float, entry: _Entry) -> None:
        self._end(at_s, entry.task, entry.run, entry.kind)

    def _lose_run(self, at_s: float, entry: _Entry) -> None:
        run = self._runs.get(entry.task, 0)
        self._end(at_s, entry.task, run, f'lost: {entry.reason}')

    def _end_job(self, at_s: float, entry: _Entry) -> None:
        # A new leader may record an end that was recorded before.
        if entry.job not in self._ended_jobs:
            self._ended_jobs.add(entry.job)
            steps = self._steps.get(entry.job)
            kind = steps[0].kind if steps else 'not known'
            self.losses.jobs[kind, entry.state] += 1

    def _end(self, at_s: float, task: str, run: int, kind: str) -> None:
        started_s = self._started_s.pop((task, run), None)
        job_id, _, rest = task.partition('.')
        steps = self._steps.get(job_id)
        if started_s is None or steps is None:
            return
        step = steps[int(rest.split('.')[1])]
        held_s = at_s - started_s
        if kind == _DONE:
            self.losses.done_core_s += held_s * step.core_equivalents
            return
        if step.has_checkpoints:
            held_s = min(held_s, _CHECKPOINT_INTERVAL_S)
        reason = self._stop_reasons.get((task, run), '')
        cause = f'{kind}: {reason}' if kind == 'stopped' else kind
        key = (step.kind, cause)
        self.losses.core_s[key] += held_s * step.core_equivalents
        self.losses.runs[key] += 1


def read_losses(log: Path) -> Losses:
    """Return the losses of one play from its output with logs."""
    reader = _Reader()
    with log.open(encoding='utf-8', errors='replace') as lines:
        for at_s, entry in read_entries(lines, _Entry):
            reader.apply(at_s, entry)
    return reader.losses


def format_losses(losses: Losses, plays: int) -> Iterator[str]:
    """Return tables of the losses and of the ends of jobs, a play."""
    yield '| kind | cause | runs a play | core seconds a play |'
    yield '|---|---|---|---|'
    for key, core_s in losses.core_s.most_common():
        kind, cause = key
        yield (
            f'| {kind} | {cause} | {losses.runs[key] / plays:.1f} '
            f'| {core_s / plays:.0f} |'
        )
    yield f'| all | done | | {losses.done_core_s / plays:.0f} |'
    yield ''
    yield '| kind | state | jobs a play |'
    yield '|---|---|---|'
    for (kind, state), count in sorted(losses.jobs.items()):
        yield f'| {kind} | {state} | {count / plays:.1f} |'
