"""Simulated progress of one job during a replay."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from benchmarks.policy.trace import TrueJob
from dragonflynotch.core.events import MemberState
from dragonflynotch.core.jobs import Member

__all__ = ('End', 'HeldMember', 'JobProgress')


class End(Enum):
    """How a job ended."""

    finished = 'finished'
    failed = 'failed'
    cancelled = 'cancelled'
    refused = 'refused'


@dataclass(slots=True)
class HeldMember:
    """A gang member that holds accelerators on a worker."""

    member: Member
    state: MemberState = MemberState.prepared
    is_stopping: bool = False


@dataclass(slots=True)
class JobProgress:
    """Work done, accelerators held and work lost by a job so far.

    Parameters
    ----------
    job : TrueJob
        Job with its true behaviour.
    waiting_since : datetime
        Submission, or when the last attempt released its last member.
    end, ended_at : End and datetime, or None
        How and when the job ended.
    first_started_at : datetime or None
        When the whole gang first ran.
    longest_wait : timedelta
        Longest time from ``waiting_since`` until the gang ran, or until the end
        of a job that never ran.
    attempt : int
        Number of the current attempt.
    members : dict of str to HeldMember
        Members that hold accelerators, by worker.
    computing_since : datetime or None
        When the whole gang of this attempt began to run; None if it does not.
    resumed_from : timedelta
        Run time already done when this attempt began, or when it halted.
    checkpoints : dict of str to timedelta
        Run time saved in each checkpoint, by its key.
    saves_at_stop : timedelta or None
        Run time that the checkpoint of the current stop will save.
    is_cancelling : bool
        Whether the caller has cancelled the job.
    preempted_s, lost_to_faults_s : float
        Accelerator seconds lost to stops, except cancellations, and to faults.
    covered_since : datetime or None
        Since when a guarantee has covered the waiting job.
    bound : timedelta
        Time within which a covered job must start.
    violates_guarantee : bool
        Whether the job was covered for longer than its bound.
    """

    job: TrueJob
    waiting_since: datetime
    end: End | None = None
    ended_at: datetime | None = None
    first_started_at: datetime | None = None
    longest_wait: timedelta = timedelta()
    attempt: int = 0
    members: dict[str, HeldMember] = field(default_factory=dict)
    computing_since: datetime | None = None
    resumed_from: timedelta = timedelta()
    checkpoints: dict[str, timedelta] = field(default_factory=dict)
    saves_at_stop: timedelta | None = None
    is_cancelling: bool = False
    preempted_s: float = 0
    lost_to_faults_s: float = 0
    covered_since: datetime | None = None
    bound: timedelta = timedelta.max
    violates_guarantee: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the job has not ended and holds nothing."""
        return self.end is None and not self.members

    @property
    def holds_whole_gang(self) -> bool:
        """Whether all accelerators of the shape are held."""
        held = sum(
            len(entry.member.accelerators) for entry in self.members.values()
        )
        return held == self.job.spec.shape.accelerators

    @property
    def is_running_everywhere(self) -> bool:
        """Whether the gang is whole and every member runs."""
        return self.holds_whole_gang and all(
            entry.state is MemberState.running and not entry.is_stopping
            for entry in self.members.values()
        )

    @property
    def last_saved(self) -> timedelta:
        """Run time saved in the most advanced checkpoint."""
        return max(self.checkpoints.values(), default=timedelta())

    def work_done(self, now: datetime) -> timedelta:
        """Return the run time done by this attempt and those it resumes."""
        if self.computing_since is None:
            return self.resumed_from
        return self.resumed_from + (now - self.computing_since)

    def begin(self, now: datetime) -> timedelta:
        """Start computing and return the remaining run time."""
        self.longest_wait = max(self.longest_wait, now - self.waiting_since)
        self.first_started_at = self.first_started_at or now
        self.computing_since = now
        return max(self.job.run_time - self.resumed_from, timedelta())

    def halt(self, now: datetime, kept: timedelta, *, is_fault: bool) -> None:
        """Stop computing and account for the work beyond ``kept``."""
        if self.computing_since is None:
            return
        lost = max(self.work_done(now) - kept, timedelta())
        lost_s = lost.total_seconds() * self.job.spec.shape.accelerators
        if is_fault:
            self.lost_to_faults_s += lost_s
        elif not self.is_cancelling:
            self.preempted_s += lost_s
        self.resumed_from = self.work_done(now)
        self.computing_since = None

    def abandon_checkpoint(self) -> None:
        """Account for a checkpoint cut off by a stop with a shorter limit."""
        if self.saves_at_stop is not None and not self.is_cancelling:
            lost = max(self.saves_at_stop - self.last_saved, timedelta())
            accelerators = self.job.spec.shape.accelerators
            self.preempted_s += lost.total_seconds() * accelerators
        self.saves_at_stop = None

    def finish(self, end: End, now: datetime) -> None:
        """Record how and when the job ended."""
        if self.end is None:
            self.end = end
            self.ended_at = now
            if self.first_started_at is None:
                wait = now - self.waiting_since
                self.longest_wait = max(self.longest_wait, wait)
