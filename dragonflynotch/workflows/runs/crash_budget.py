"""Which tasks are suspected when a minion crashes, and which are given up.

Load: some tasks crash each minion that starts them, beside many that don't. A
crash ends all runs on the minion and alone does not tell which one caused it.
Runs that had just started are suspected first. Later crashes on other workers
then tell the cause from its neighbours. No input or output.
"""

from collections.abc import Sequence

from dragonflynotch.workflows.crash_records import (
    CrashEvidence,
    MinionCrash,
    RunAtCrash,
    TaskCrash,
)
from dragonflynotch.workflows.jobs import parse_task_id

__all__ = ('RECENT_START_MS', 'find_suspects', 'is_given_up')

# A run that started less than this long before the crash is suspected first.
RECENT_START_MS = 1_000
# A run that had been there for this long is no suspect.
_MAX_SUSPECT_AGE_MS = 600_000
# Crashes on one worker may be the fault of the worker, so clear ones count
# from this number of workers on.
_MIN_CRASHED_WORKERS = 2
# Crashes after which one clear one among them is enough.
_MAX_CLEAR_CRASHES = 3
# A task is given up after this many crashes, whatever the evidence.
_MAX_CRASHES = 5


def find_suspects(
    crash: MinionCrash,
) -> tuple[list[RunAtCrash], CrashEvidence]:
    """Return the runs that may have caused a crash, and how clearly."""
    runs = [run for run in crash.runs if run.age_ms < _MAX_SUSPECT_AGE_MS]
    recent = [run for run in runs if run.age_ms < RECENT_START_MS]
    jobs = {_job_of(run.task) for run in recent}
    # A job fails as a whole, so its tasks need not be told apart.
    is_clear = len(jobs) == 1
    return recent or runs, (
        CrashEvidence.strong if is_clear else CrashEvidence.weak
    )


def is_given_up(crashes: Sequence[TaskCrash], *, is_long_running: bool) -> bool:
    """Return whether a task is not started again.

    Parameters
    ----------
    crashes : sequence of TaskCrash
        Crashes of which the task is suspected.
    is_long_running : bool
        Whether the task runs until its job is cancelled. Over a long time,
        several of its minions crash for other reasons.
    """
    strong = [
        crash for crash in crashes if crash.evidence is CrashEvidence.strong
    ]
    counted = strong if is_long_running else list(crashes)
    if len(counted) >= _MAX_CRASHES:
        return True
    if strong and len(counted) >= _MAX_CLEAR_CRASHES:
        return True
    return len({crash.node for crash in strong}) >= _MIN_CRASHED_WORKERS


def _job_of(task: str) -> str:
    task_id = parse_task_id(task)
    return task if task_id is None else task_id.job_id
