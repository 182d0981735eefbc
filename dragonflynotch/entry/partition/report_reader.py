"""Converts guard reports to events for the partition."""

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

# A starting member may not compute yet, so it counts as prepared. A stopping
# member still holds its accelerators, so it counts as running. The partition
# has no state for a member that is still preparing.
_STATE_BY_PHASE = {
    MemberPhase.prepared: MemberState.prepared,
    MemberPhase.starting: MemberState.prepared,
    MemberPhase.running: MemberState.running,
    MemberPhase.stopping: MemberState.running,
    MemberPhase.finished: MemberState.finished,
    MemberPhase.failed: MemberState.failed,
    MemberPhase.stopped: MemberState.stopped,
}


class ReportReader:
    """Compares each report of a guard with its previous one.

    The first report under a fence tells the partition which members the guard
    holds; each later one yields events for what has changed. A lost report
    does no harm: a member stays in the reports until the owner releases it.

    Parameters
    ----------
    find_job : callable
        Returns the current record of a job that is not final.
    """

    def __init__(self, find_job: Callable[[str], Job | None]) -> None:
        """Create a reader without previous reports."""
        self._find_job = find_job
        self._last_members: dict[str, dict[_MemberKey, MemberStatus]] = {}

    def read(self, worker_id: str, report: GuardReport) -> tuple[Event, ...]:
        """Return the events of a report in the order of processing."""
        previous = self._last_members.get(worker_id)
        self._last_members[worker_id] = {
            member.key: member for member in report.members
        }
        reported = WorkerReported(
            worker_id,
            tuple(
                _member_report(member)
                for member in report.members
                if member.phase in _STATE_BY_PHASE
            ),
            report.highest_fence,
        )
        changes = [
            event
            for member in report.members
            for event in self._member_events(
                worker_id, member, (previous or {}).get(member.key)
            )
        ]
        if previous is None:
            checkpoints = (
                event for event in changes if isinstance(event, CheckpointTaken)
            )
            return (reported, *checkpoints)
        return (*changes, reported)

    def clear(self) -> None:
        """Treat the next report of each guard as its first one."""
        self._last_members.clear()

    def _member_events(
        self,
        worker_id: str,
        member: MemberStatus,
        previous: MemberStatus | None,
    ) -> Iterator[Event]:
        key = (*member.key, worker_id)
        if self._is_new_checkpoint(member, previous):
            yield CheckpointTaken(
                *key,
                member.checkpoint,
                timedelta(milliseconds=member.work_done_ms),
            )
        if previous is not None and previous.phase is member.phase:
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
        self, member: MemberStatus, previous: MemberStatus | None
    ) -> bool:
        if not member.checkpoint:
            return False
        if previous is not None and previous.checkpoint == member.checkpoint:
            return False
        job = self._find_job(member.job_id)
        return job is not None and job.checkpoint != member.checkpoint


def _member_report(member: MemberStatus) -> MemberReport:
    return MemberReport(
        member.job_id,
        member.attempt,
        _STATE_BY_PHASE[member.phase],
        member.accelerators,
        member.cores_used,
        member.memory_used_mb,
    )
