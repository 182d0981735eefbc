"""Promises that are checked while the soak runs.

Each check sees only what callers, minions and the store see.
"""

from collections import Counter
from collections.abc import Callable

from benchmarks.soak.findings import Timeline
from benchmarks.soak.jobs import ACCELERATORS, URGENT, SoakJob
from dragonflynotch.control.clocks import BootClock
from dragonflynotch.testing.gang_registry import GangRegistry
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.workflows.records import EndKind, RunEnd

__all__ = ('RunChecks', 'check_at_end', 'check_cancelled', 'check_urgent')

# Bounds of the deployment, in seconds.
_CANCEL_S = 3.0
_STOP_S = 0.2
RECLAIM_S = 2.7
FINISH_S = 14.0
# A start is counted when its message reaches the minion, and messages of one
# caller and of the minion reach this process in any order.
_ORDER_SLACK_S = 0.1


class RunChecks(RunLog):
    """Checks each start and end on the minions.

    Parameters
    ----------
    advance : callable
        Ends on all minions what is due, so that a lapsed run is not counted
        as present.
    """

    def __init__(self, timeline: Timeline, advance: Callable[[], None]) -> None:
        """Create checks without jobs."""
        super().__init__(gangs=GangRegistry(BootClock()))
        self.jobs: dict[str, SoakJob] = {}
        self.first_starts: dict[str, float] = {}
        self.done: set[str] = set()
        self._timeline = timeline
        self._advance = advance
        self._noted_done: set[str] = set()
        self._room: Counter[str] = Counter()
        self._run_ids: dict[tuple[str, int], str] = {}
        self._is_advancing = False

    def add(self, job: SoakJob) -> None:
        """Expect the runs of a job."""
        self.jobs[job.job_id] = job
        for number, step in enumerate(job.steps):
            if step.is_gang:
                self.gangs.declare(f'{job.job_id}.0.{number}', step.count)

    def duration_ms(self, task: str) -> int:
        """Return how long a task runs."""
        job = self.jobs.get(_job_of(task))
        return 1 if job is None else job.duration_ms

    def begin(self, task: str, run: int, minion_id: str) -> None:
        """Check a start."""
        if not self._is_advancing:
            self._is_advancing = True
            self._advance()
            self._is_advancing = False
        running = self.active.get(task, set())
        if running:
            self._find('one run at a time', f'{task} runs on {running} too')
        super().begin(task, run, minion_id)
        self._timeline.starts.append(self._timeline.now_s())
        self.first_starts.setdefault(task, self._timeline.now_s())
        job = self.jobs.get(_job_of(task))
        if job is None:
            self._find('only what was asked for', f'{task} was not submitted')
            return
        self._check_order(job, task)
        self._check_cancelled(job, task)
        self._take_room(job, task, minion_id, 1)

    def end(self, task: str, run: int, minion_id: str, kind: str) -> None:
        """Check an end."""
        super().end(task, run, minion_id, kind)
        job = self.jobs.get(_job_of(task))
        if job is None:
            return
        self._take_room(job, task, minion_id, -1)
        if kind == EndKind.done:
            self.done.update(self._members(job, task))
        now_s = self._timeline.now_s()
        if (
            kind == EndKind.alone
            and job.cancel_sent_s is None
            and self._timeline.is_calm(now_s - 2 * _CANCEL_S, now_s)
        ):
            self._find('gangs start whole', f'{task} run {run} was alone')

    def acknowledge(self, end: RunEnd) -> None:
        """Take note that an end may be forgotten."""
        job = self.jobs.get(_job_of(end.task))
        if end.kind == EndKind.done and job is not None:
            self._noted_done.update(self._members(job, end.task))

    def _members(self, job: SoakJob, task: str) -> list[str]:
        """Return the tasks that end together with this one."""
        step = job.step_of(task)
        if not step.is_gang:
            return [task]
        name = task.rpartition('.')[0]
        return [f'{name}.{index}' for index in range(step.count)]

    def _check_order(self, job: SoakJob, task: str) -> None:
        if task in self._noted_done or job.completed_s is not None:
            self._find('no run after the end', task)
        for number in job.step_of(task).after:
            step = job.steps[number]
            missing = {
                f'{job.job_id}.0.{number}.{index}'
                for index in range(step.count)
            } - self.done
            if missing:
                self._find('steps in order', f'{task} before {missing}')

    def _check_cancelled(self, job: SoakJob, task: str) -> None:
        now_s = self._timeline.now_s()
        if job.cancelled_s is None:
            return
        limit_s = job.cancelled_s + _CANCEL_S
        if now_s > limit_s and self._timeline.is_calm(job.cancelled_s, now_s):
            self._find('cancelled jobs do not start', task)

    def _take_room(
        self, job: SoakJob, task: str, minion_id: str, sign: int
    ) -> None:
        self._room[minion_id] += sign * job.step_of(task).accelerators
        if sign > 0 and self._room[minion_id] > ACCELERATORS:
            self._find('room of a minion', f'{minion_id} with {task}')

    def _find(self, promise: str, detail: str) -> None:
        self._timeline.find(promise, detail)


def check_cancelled(
    job: SoakJob, checks: RunChecks, timeline: Timeline
) -> None:
    """Check that nothing of a cancelled job runs on."""
    now_s = timeline.now_s()
    if job.cancelled_s is None:
        return
    limit_s = job.cancelled_s + _CANCEL_S + _STOP_S + _ORDER_SLACK_S
    if now_s < limit_s or not timeline.is_calm(job.cancelled_s, now_s):
        return
    running = [task for task in job.tasks if checks.active.get(task)]
    if running:
        timeline.find('cancelled jobs are stopped', f'{running} run on')


def check_urgent(job: SoakJob, checks: RunChecks, timeline: Timeline) -> None:
    """Check that guaranteed work has begun in time."""
    if job.queue != URGENT or job.accepted_s is None:
        return
    limit_s = job.accepted_s + RECLAIM_S
    if not timeline.is_calm(job.accepted_s, limit_s):
        return
    late = [
        task
        for task in job.tasks
        if checks.first_starts.get(task, timeline.now_s()) > limit_s
    ]
    if late and timeline.now_s() > limit_s:
        timeline.find('guarantees are kept', f'{late} have not begun')


def check_at_end(checks: RunChecks, timeline: Timeline) -> None:
    """Check the jobs some time after the last fault."""
    started = {_job_of(task) for task in checks.first_starts}
    for job in checks.jobs.values():
        if job.is_refused and job.job_id in started:
            timeline.find('refused jobs never run', job.job_id)
        is_owed = job.accepted_s is not None and job.cancel_sent_s is None
        if is_owed and job.completed_s is None and not job.has_failed:
            timeline.find('accepted jobs are completed', job.job_id)


def _job_of(task: str) -> str:
    return task.partition('.')[0]
