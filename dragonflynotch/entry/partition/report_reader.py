"""Turns reports of guards into events of the partition."""

from collections.abc import Callable, Iterator
from datetime import timedelta

from dragonflynotch.core.events import (
    CheckpointTaken,
    Event,
    MemberFailed,
    MemberFinished,
    MemberPrepared,
    MemberReport,
    MemberStarted,
    MemberState,
    MemberStopped,
    WorkerReported,
)
from dragonflynotch.core.jobs import Job
from dragonflynotch.links.orders import GuardReport, MemberPhase, MemberStatus

__all__ = ('ReportReader',)

_MemberKey = tuple[str, int]

# A started member may not compute yet; a stopping one holds its accelerators.
# A member that is still preparing is in no state that a partition knows.
_STATES = {
    MemberPhase.prepared: MemberState.prepared,
    MemberPhase.starting: MemberState.prepared,
    MemberPhase.running: MemberState.running,
    MemberPhase.stopping: MemberState.running,
    MemberPhase.finished: MemberState.finished,
    MemberPhase.failed: MemberState.failed,
    MemberPhase.stopped: MemberState.stopped,
}


class ReportReader:
    """Remembers the last report of each guard under one fence.

    The first report of a guard tells the partition what the guard holds; later
    ones are compared with the one before. Nothing depends on a single message:
    a state stays in the report until the owner has released the member.

    Parameters
    ----------
    find_job : callable
        Returns the current record of a job that is not final.
    """

    def __init__(self, find_job: Callable[[str], Job | None]) -> None:
        """Start without reports."""
        self._find_job = find_job
        self._last: dict[str, dict[_MemberKey, MemberStatus]] = {}

    def read(self, worker_id: str, report: GuardReport) -> tuple[Event, ...]:
        """Return the events that follow from a report, in order."""
        before = self._last.get(worker_id)
        self._last[worker_id] = {each.key: each for each in report.members}
        reported = WorkerReported(
            worker_id,
            tuple(
                _member_report(each)
                for each in report.members
                if each.phase in _STATES
            ),
            report.highest_fence,
        )
        changes = [
            event
            for member in report.members
            for event in self._changes(
                worker_id, member, (before or {}).get(member.key)
            )
        ]
        if before is None:
            checkpoints = (
                each for each in changes if isinstance(each, CheckpointTaken)
            )
            return (reported, *checkpoints)
        return (*changes, reported)

    def clear(self) -> None:
        """Treat the next report of each guard as its first one."""
        self._last.clear()

    def _changes(
        self,
        worker_id: str,
        member: MemberStatus,
        before: MemberStatus | None,
    ) -> Iterator[Event]:
        key = (*member.key, worker_id)
        if self._is_new_checkpoint(member, before):
            yield CheckpointTaken(
                *key,
                member.checkpoint,
                timedelta(milliseconds=member.work_done_ms),
            )
        if before is not None and before.phase is member.phase:
            return
        match member.phase:
            case MemberPhase.prepared | MemberPhase.starting:
                yield MemberPrepared(*key)
            case MemberPhase.running:
                yield MemberPrepared(*key)
                yield MemberStarted(*key)
            case MemberPhase.finished:
                yield MemberStarted(*key)
                yield MemberFinished(*key)
            case MemberPhase.failed:
                yield MemberFailed(*key, member.reason)
            case MemberPhase.stopped:
                yield MemberStopped(*key)

    def _is_new_checkpoint(
        self, member: MemberStatus, before: MemberStatus | None
    ) -> bool:
        if not member.checkpoint:
            return False
        if before is not None and before.checkpoint == member.checkpoint:
            return False
        job = self._find_job(member.job_id)
        return job is not None and job.checkpoint != member.checkpoint


def _member_report(member: MemberStatus) -> MemberReport:
    return MemberReport(
        member.job_id,
        member.attempt,
        _STATES[member.phase],
        member.accelerators,
        member.cores_used,
        member.memory_used_mb,
    )
