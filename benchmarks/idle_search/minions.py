"""Simulated minions: what really runs, and how runs end."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from benchmarks.idle_search.job_mix import Arrival
from dragonflynotch.workflows.jobs import StepSpec, TaskId, parse_task_id
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.resources import Resources

__all__ = ('Gang', 'Minion', 'Run', 'RunBook')

STOP_MS = 300
_FAIL_AFTER_MS = 250
_GANG_TIMEOUT_MS = 3000
_CHECKPOINT_INTERVAL_MS = 1000
_OFF_RACK_SLOWDOWN = 3
_FAILING_RUN_SHARE = 0.05
_PERCENT = 100


def _read_task_id(task: str) -> TaskId:
    """Return the identifier in a name that the scheduler has made."""
    task_id = parse_task_id(task)
    assert task_id is not None
    return task_id


@dataclass(slots=True)
class Gang:
    """One run of a gang; its members only work while all are present."""

    size: int
    racks: dict[str, str] = field(default_factory=dict)
    working_since_ms: int | None = None
    slowdown: int = 1
    end: EndKind | None = None

    def add(self, task: str, rack: str, now_ms: int) -> None:
        """Add a member that has started."""
        self.racks[task] = rack
        if len(self.racks) == self.size and self.end is None:
            self.working_since_ms = now_ms

    def remove(self, kind: EndKind | None) -> None:
        """Record that a member has ended; ``None`` if its minion is gone."""
        if self.end is None:
            self.end = EndKind.done if kind is EndKind.done else EndKind.broken


@dataclass(slots=True)
class Run:
    """A run on a minion."""

    task: str
    number: int
    step: StepSpec
    started_ms: int
    work_ms: int
    saved_ms: int
    # Work after which the run fails; ``None`` if it does not.
    fails_at_ms: int | None
    is_poison: bool
    gang: Gang | None = None
    slowdown: int = 1
    stops_at_ms: int | None = None

    @property
    def job_id(self) -> str:
        """Job of the task."""
        return self.task.partition('.')[0]

    def done_ms(self, now_ms: int) -> int:
        """Return the work done so far, with what was restored."""
        since_ms: int | None = self.started_ms
        slowdown = self.slowdown
        if self.gang is not None:
            since_ms = self.gang.working_since_ms
            slowdown = self.gang.slowdown
        if since_ms is None:
            return self.saved_ms
        return self.saved_ms + (now_ms - since_ms) // slowdown

    def checkpoint(self, now_ms: int) -> str:
        """Return the last checkpoint, or ``''``."""
        done_ms = min(self.done_ms(now_ms), self.work_ms)
        saved_ms = done_ms - done_ms % _CHECKPOINT_INTERVAL_MS
        if not self.step.has_checkpoints or not saved_ms:
            return ''
        return str(saved_ms)

    def percent(self, now_ms: int) -> int:
        """Return the progress that the task tells."""
        return min(99, _PERCENT * self.done_ms(now_ms) // self.work_ms)

    def due_end(self, now_ms: int, *, is_failing: bool) -> EndKind | None:
        """Return how the run ends now, or ``None`` if it goes on."""
        age_ms = now_ms - self.started_ms
        if self.stops_at_ms is not None and now_ms >= self.stops_at_ms:
            return EndKind.stopped
        if (is_failing or self.is_poison) and age_ms >= _FAIL_AFTER_MS:
            return EndKind.failed
        if self.gang is not None:
            if self.gang.end is not None:
                return self.gang.end
            if self.gang.working_since_ms is None:
                return EndKind.alone if age_ms > _GANG_TIMEOUT_MS else None
        return self._end_of_work(now_ms)

    def _end_of_work(self, now_ms: int) -> EndKind | None:
        done_ms = self.done_ms(now_ms)
        if self.fails_at_ms is not None and done_ms >= self.fails_at_ms:
            return EndKind.failed
        is_done = done_ms >= self.work_ms and not self.step.is_long_running
        return EndKind.done if is_done else None


class RunBook:
    """All runs of a day: gangs, overlapping runs and runs by job.

    Parameters
    ----------
    report_violation : callable
        Receives the name of a broken rule and the task.
    is_turn : callable
        Returns whether all steps that come before a task are done.
    """

    def __init__(
        self,
        seed: int,
        arrivals: dict[str, Arrival],
        report_violation: Callable[[str, str], None],
        is_turn: Callable[[str], bool],
    ) -> None:
        """Create a book without runs."""
        self._seed = seed
        self._arrivals = arrivals
        self._report_violation = report_violation
        self._is_turn = is_turn
        self._gangs: dict[tuple[str, int], Gang] = {}
        # Runs on minions that are up.
        self.runs_by_job: Counter[str] = Counter()
        self.running_tasks: Counter[str] = Counter()
        # First time at which all members of a gang ran, by step.
        self.gang_starts_ms: dict[str, int] = {}

    def begin(self, task: str, order: Order, rack: str, now_ms: int) -> Run:
        """Return a run that starts now."""
        task_id = _read_task_id(task)
        arrival = self._arrivals[task_id.job_id]
        step = arrival.spec.steps[task_id.step]
        run = Run(
            task,
            order.run,
            step,
            now_ms,
            arrival.work_ms[task_id.step],
            int(order.checkpoint or 0),
            self._failure_ms(task_id, order, arrival.work_ms[task_id.step]),
            arrival.is_poison,
        )
        if step.data_rack not in {'', rack}:
            run.slowdown = _OFF_RACK_SLOWDOWN
        if step.is_gang:
            run.gang = self._join_gang(run, rack, now_ms)
        self._check_start(run)
        self.running_tasks[task] += 1
        self.runs_by_job[run.job_id] += 1
        return run

    def check_limit(self, run: Run, others: Iterable[Run]) -> None:
        """Check the limit per worker of a run beside others on its minion."""
        step_name = run.task.rpartition('.')[0]
        of_step = [
            one for one in others if one.task.rpartition('.')[0] == step_name
        ]
        if 0 < run.step.max_per_worker <= len(of_step):
            self._report_violation('more than the limit per worker', run.task)

    def finish(self, run: Run, kind: EndKind | None) -> None:
        """Record the end of a run; ``None`` if its minion is gone."""
        self.running_tasks[run.task] -= 1
        self.runs_by_job[run.job_id] -= 1
        if run.gang is not None:
            run.gang.remove(kind)

    def _check_start(self, run: Run) -> None:
        if self.running_tasks[run.task]:
            self._report_violation('two runs at the same time', run.task)
        if not self._is_turn(run.task):
            self._report_violation('started before its turn', run.task)

    def _join_gang(self, run: Run, rack: str, now_ms: int) -> Gang:
        step_name = run.task.rpartition('.')[0]
        gang = self._gangs.setdefault(
            (step_name, run.number), Gang(run.step.count)
        )
        gang.add(run.task, rack, now_ms)
        if run.step.wants_one_rack and len(set(gang.racks.values())) > 1:
            gang.slowdown = _OFF_RACK_SLOWDOWN
        if gang.working_since_ms is not None:
            self.gang_starts_ms.setdefault(step_name, now_ms)
        return gang

    def _failure_ms(
        self, task_id: TaskId, order: Order, work_ms: int
    ) -> int | None:
        """Draw whether a run fails, whatever else happens on the day."""
        step = self._arrivals[task_id.job_id].spec.steps[task_id.step]
        random = Random(f'{self._seed}/{task_id}/{order.run}')
        # A gang is drawn once, by its first member, whatever its size.
        is_drawn = not step.is_gang or not task_id.index
        if not is_drawn or random.random() >= _FAILING_RUN_SHARE:
            return None
        return int(random.random() * work_ms)


class Minion:
    """One incarnation of a minion.

    Parameters
    ----------
    minion_id : str
        Identifier of the incarnation.
    """

    def __init__(
        self, minion_id: str, rack: str, capacity: Resources, book: RunBook
    ) -> None:
        """Create a minion without runs."""
        self.minion_id = minion_id
        self.capacity = capacity
        self.is_failing = False
        self.runs: dict[str, Run] = {}
        self.ends: list[RunEnd] = []
        self.held = Resources()
        self._rack = rack
        self._book = book
        self._end_count = 0

    @property
    def free(self) -> Resources:
        """Room that no run holds; negative after the minion has shrunk."""
        return self.capacity - self.held

    def start(self, task: str, order: Order, now_ms: int) -> bool:
        """Start a run if there is room; return whether there was."""
        if not self.free.covers(order.resources):
            return False
        run = self._book.begin(task, order, self._rack, now_ms)
        self._book.check_limit(run, self.runs.values())
        self.runs[task] = run
        self.held += run.step.needs
        return True

    def stop(self, task: str, number: int, now_ms: int) -> bool:
        """Begin to stop a run; return whether it is there."""
        run = self.runs.get(task)
        if run is None or run.number != number:
            return False
        if run.stops_at_ms is None:
            run.stops_at_ms = now_ms + STOP_MS
        return True

    def advance(self, now_ms: int) -> bool:
        """End the runs that are due; return whether there were any."""
        due = [
            (run, kind)
            for run in self.runs.values()
            if (kind := run.due_end(now_ms, is_failing=self.is_failing))
        ]
        for run, kind in due:
            self._finish(run, kind, now_ms)
        return bool(due)

    def end_all(self, kind: EndKind, now_ms: int) -> None:
        """End all runs, and list their ends."""
        for run in list(self.runs.values()):
            self._finish(run, kind, now_ms)

    def vanish(self) -> None:
        """Drop all runs without their ends: the process is gone."""
        for run in self.runs.values():
            self._book.finish(run, None)
        self.runs.clear()
        self.ends.clear()
        self.held = Resources()

    def list_running(self, now_ms: int) -> list[RunningTask]:
        """Return the runs as the minion tells them."""
        return [
            RunningTask(
                run.task,
                run.number,
                run.checkpoint(now_ms),
                run.percent(now_ms),
            )
            for run in self.runs.values()
        ]

    def _finish(self, run: Run, kind: EndKind, now_ms: int) -> None:
        del self.runs[run.task]
        self.held -= run.step.needs
        self._end_count += 1
        self.ends.append(
            RunEnd(
                self._end_count,
                run.task,
                run.number,
                kind,
                run.checkpoint(now_ms),
            )
        )
        self._book.finish(run, kind)
