"""Which tasks are suspected when a minion crashes, and which are given up.

Load: some tasks crash each minion that starts them, beside many that don't,
and at times a rack or the operator ends several minions at once. A crash ends
all runs on the minion and alone does not tell which one caused it. Runs that
had just started are suspected first. Later crashes on other workers then tell
the cause from its neighbours. No input or output.
"""

from collections.abc import Iterable, Sequence

from dragonflynotch.workflows.crash_records import (
    CrashEvidence,
    MinionCrash,
    RunAtCrash,
    TaskCrash,
)
from dragonflynotch.workflows.jobs import parse_task_id

__all__ = (
    'RECENT_START_MS',
    'find_suspects',
    'has_outside_cause',
    'is_given_up',
)

# A run that started less than this long before the crash is suspected first.
RECENT_START_MS = 1_000
# A run that had been there for this long is no suspect.
_MAX_SUSPECT_AGE_MS = 600_000
# Crashes within this time may have one cause; covers differences between the
# clocks of guards.
_SAME_TIME_MS = 500
# Crashes on one worker may be the fault of the worker, so strong evidence
# counts from this number of workers on.
_MIN_CRASHED_WORKERS = 2
# Crashes just after a start that are enough if one of them is strong evidence.
_MAX_EARLY_CRASHES = 3
# A task is given up after this many crashes, whatever the evidence.
_MAX_CRASHES = 5


def find_suspects(
    crash: MinionCrash,
) -> tuple[list[RunAtCrash], CrashEvidence]:
    """Return the runs that may have caused a crash, and how clearly."""
    runs = [run for run in crash.runs if run.age_ms < _MAX_SUSPECT_AGE_MS]
    recent = _recent_runs(crash)
    if not recent:
        return runs, CrashEvidence.late
    # A job fails as a whole, so its tasks need not be told apart.
    jobs = {_job_of(run.task) for run in recent}
    return recent, (
        CrashEvidence.strong if len(jobs) == 1 else CrashEvidence.weak
    )


def has_outside_cause(
    crash: MinionCrash, others: Iterable[MinionCrash]
) -> bool:
    """Return whether no task caused a crash.

    Tasks that crash their minions may do so on several workers at once. But if
    a minion crashes at the same time on which no run had just started, all of
    them were rather ended from outside.

    Parameters
    ----------
    others : iterable of MinionCrash
        Crashes on other workers.
    """
    at_same_time = [
        other
        for other in others
        if abs(other.at_ms - crash.at_ms) <= _SAME_TIME_MS
    ]
    return bool(at_same_time) and any(
        not _recent_runs(known) for known in (crash, *at_same_time)
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
    early = strong if is_long_running else _without_late(crashes)
    if strong and len(early) >= _MAX_EARLY_CRASHES:
        return True
    if len({crash.node for crash in strong}) >= _MIN_CRASHED_WORKERS:
        return True
    return not is_long_running and len(crashes) >= _MAX_CRASHES


def _recent_runs(crash: MinionCrash) -> list[RunAtCrash]:
    return [run for run in crash.runs if run.age_ms < RECENT_START_MS]


def _without_late(crashes: Sequence[TaskCrash]) -> list[TaskCrash]:
    return [
        crash for crash in crashes if crash.evidence is not CrashEvidence.late
    ]


def _job_of(task: str) -> str:
    task_id = parse_task_id(task)
    return task if task_id is None else task_id.job_id
