"""Invariants that are checked while the soak test runs.

The checks use only what callers, minions and the store observe.
"""

from collections import Counter
from collections.abc import Callable

from benchmarks.soak.findings import Timeline
from benchmarks.soak.jobs import ACCELERATORS_PER_MINION, URGENT, SoakJob
from dragonflynotch.control.clocks import BootClock
from dragonflynotch.testing.gang_registry import GangRegistry
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.workflows.records import EndKind, RunEnd

__all__ = ('RunChecks', 'check_final_state', 'check_cancelled', 'check_urgent')

# Time limits of the deployment.
_CANCEL_LIMIT_S = 3.0
_STOP_LIMIT_S = 0.2
RECLAIM_LIMIT_S = 2.7
FINISH_LIMIT_S = 14.0
# Three crashes, and two more starts of a task under which minions crashed.
_MAX_CRASHING_STARTS = 5
# A start is counted when its message reaches the minion. Messages of a caller
# and of a minion reach this process in any order.
_REORDERING_SLACK_S = 0.1


class RunChecks(RunLog):
    """Checks each start and end on the minions.

    Parameters
    ----------
    advance : callable
        Ends the runs on all minions that are due to end, so that a run with
        an expired lease is not counted as active.
    """

    def __init__(self, timeline: Timeline, advance: Callable[[], None]) -> None:
        """Create the checks without jobs."""
        super().__init__(gangs=GangRegistry(BootClock()))
        self.jobs: dict[str, SoakJob] = {}
        self.first_starts: dict[str, float] = {}
        self.done: set[str] = set()
        self._timeline = timeline
        self._advance = advance
        self._acknowledged_done: set[str] = set()
        self._used_accelerators: Counter[str] = Counter()
        self._crashing_starts: Counter[str] = Counter()
        self._run_ids: dict[tuple[str, int], str] = {}
        self._is_advancing = False

    def add(self, job: SoakJob) -> None:
        """Register a job whose runs are expected."""
        self.jobs[job.job_id] = job
        for number, step in enumerate(job.steps):
            if step.is_gang:
                self.gangs.declare(f'{job.job_id}.0.{number}', step.count)

    def duration_ms(self, task: str) -> int:
        """Return the duration of a task."""
        job = self.jobs.get(_job_of(task))
        return 1 if job is None else job.duration_ms

    def record_start(self, task: str, run: int, minion_id: str) -> None:
        """Record the start of a run and check it."""
        if not self._is_advancing:
            self._is_advancing = True
            self._advance()
            self._is_advancing = False
        running = self.active_minions.get(task, set())
        if running:
            self._add_finding(
                'one run at a time', f'{task} is already running on {running}'
            )
        super().record_start(task, run, minion_id)
        self._timeline.start_times_s.append(self._timeline.now_s())
        self.first_starts.setdefault(task, self._timeline.now_s())
        self._check_crashing(task)
        job = self.jobs.get(_job_of(task))
        if job is None:
            self._add_finding(
                'only submitted jobs run', f'{task} was not submitted'
            )
            return
        self._check_order(job, task)
        self._check_cancelled(job, task)
        self._add_accelerators(job, task, minion_id, 1)

    def record_end(
        self, task: str, run: int, minion_id: str, kind: str
    ) -> None:
        """Record the end of a run and check it."""
        super().record_end(task, run, minion_id, kind)
        job = self.jobs.get(_job_of(task))
        if job is None:
            return
        self._add_accelerators(job, task, minion_id, -1)
        if kind == EndKind.done:
            self.done.update(self._tasks_ending_with(job, task))
        now_s = self._timeline.now_s()
        if (
            kind == EndKind.alone
            and job.cancel_sent_s is None
            and self._timeline.is_fault_free(now_s - 2 * _CANCEL_LIMIT_S, now_s)
        ):
            self._add_finding(
                'gangs start completely',
                f'{task} run {run} ended without the other members',
            )

    def acknowledge(self, end: RunEnd) -> None:
        """Record that a minion was told to forget an end."""
        job = self.jobs.get(_job_of(end.task))
        if end.kind == EndKind.done and job is not None:
            self._acknowledged_done.update(
                self._tasks_ending_with(job, end.task)
            )

    def _tasks_ending_with(self, job: SoakJob, task: str) -> list[str]:
        """Return the tasks of the gang, or the task itself outside a gang."""
        step = job.step_of(task)
        if not step.is_gang:
            return [task]
        name = task.rpartition('.')[0]
        return [f'{name}.{index}' for index in range(step.count)]

    def _check_order(self, job: SoakJob, task: str) -> None:
        if task in self._acknowledged_done or job.completed_s is not None:
            self._add_finding('no run after a reported end', task)
        for number in job.step_of(task).after:
            step = job.steps[number]
            missing = {
                f'{job.job_id}.0.{number}.{index}'
                for index in range(step.count)
            } - self.done
            if missing:
                self._add_finding(
                    'steps in order', f'{task} started before {missing} ended'
                )

    def _check_crashing(self, task: str) -> None:
        if task not in self.crashing_tasks:
            return
        self._crashing_starts[task] += 1
        if self._crashing_starts[task] > _MAX_CRASHING_STARTS:
            self._add_finding(
                'tasks that crash minions are given up',
                f'{task} started {self._crashing_starts[task]} times',
            )

    def _check_cancelled(self, job: SoakJob, task: str) -> None:
        now_s = self._timeline.now_s()
        if job.cancelled_s is None:
            return
        limit_s = job.cancelled_s + _CANCEL_LIMIT_S
        if now_s > limit_s and self._timeline.is_fault_free(
            job.cancelled_s, now_s
        ):
            self._add_finding('cancelled jobs do not start', task)

    def _add_accelerators(
        self, job: SoakJob, task: str, minion_id: str, sign: int
    ) -> None:
        self._used_accelerators[minion_id] += (
            sign * job.step_of(task).accelerators
        )
        if (
            sign > 0
            and self._used_accelerators[minion_id] > ACCELERATORS_PER_MINION
        ):
            self._add_finding(
                'accelerators of a minion suffice',
                f'{minion_id} has too few for {task}',
            )

    def _add_finding(self, invariant: str, detail: str) -> None:
        self._timeline.add_finding(invariant, detail)


def check_cancelled(
    job: SoakJob, checks: RunChecks, timeline: Timeline
) -> None:
    """Check that no task of a cancelled job is still running."""
    now_s = timeline.now_s()
    if job.cancelled_s is None:
        return
    limit_s = (
        job.cancelled_s + _CANCEL_LIMIT_S + _STOP_LIMIT_S + _REORDERING_SLACK_S
    )
    if now_s < limit_s or not timeline.is_fault_free(job.cancelled_s, now_s):
        return
    running = [task for task in job.tasks if checks.active_minions.get(task)]
    if running:
        timeline.add_finding(
            'cancelled jobs are stopped', f'{running} are still running'
        )


def check_urgent(job: SoakJob, checks: RunChecks, timeline: Timeline) -> None:
    """Check that the tasks of a guaranteed job have started in time."""
    if job.queue != URGENT or job.accepted_s is None:
        return
    limit_s = job.accepted_s + RECLAIM_LIMIT_S
    if not timeline.is_fault_free(job.accepted_s, limit_s):
        return
    late = [
        task
        for task in job.tasks
        if checks.first_starts.get(task, timeline.now_s()) > limit_s
    ]
    if late and timeline.now_s() > limit_s:
        timeline.add_finding(
            'guaranteed jobs start in time', f'{late} have not started in time'
        )


def check_final_state(checks: RunChecks, timeline: Timeline) -> None:
    """Check that each job has an allowed outcome at the end of the run."""
    started = {_job_of(task) for task in checks.first_starts}
    for job in checks.jobs.values():
        if job.is_refused and job.job_id in started:
            timeline.add_finding('refused jobs never run', job.job_id)
        must_complete = job.accepted_s is not None and job.cancel_sent_s is None
        if must_complete and job.completed_s is None and not job.has_failed:
            timeline.add_finding('accepted jobs are completed', job.job_id)


def _job_of(task: str) -> str:
    return task.partition('.')[0]
