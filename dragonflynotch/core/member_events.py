"""Applies events and reports of gang members to the current attempts."""

from dragonflynotch.core.events import (
    CheckpointTaken,
    MemberEvent,
    MemberFailed,
    MemberFinished,
    MemberPrepared,
    MemberRefused,
    MemberReport,
    MemberStarted,
    MemberState,
    MemberStopped,
    WorkerReported,
)
from dragonflynotch.core.failure_tracker import FailureTracker
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang, GangPhase, MemberPhase
from dragonflynotch.core.orphaned_members import OrphanedMembers
from dragonflynotch.core.size_enforcement import SizeEnforcer
from dragonflynotch.core.state import PartitionState

__all__ = ('MemberEvents',)

# A report may have been made before the order that it seems to contradict, so
# a member is taken for ended only after two reports in a row without it.
_ABSENCES_TO_END = 2
_END_EVENTS = (MemberFailed, MemberFinished, MemberRefused, MemberStopped)


class MemberEvents:
    """Applies events and reports of guards to gang members.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    failure_tracker : FailureTracker
        Records failures of members and orders.
    size_enforcer : SizeEnforcer
        Compares usage with declared sizes.
    orphaned_members : OrphanedMembers
        Members of no current attempt.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        failure_tracker: FailureTracker,
        size_enforcer: SizeEnforcer,
        orphaned_members: OrphanedMembers,
    ) -> None:
        """Store the components."""
        self._orphaned_members = orphaned_members
        self._state = state
        self._gangs = gangs
        self._failure_tracker = failure_tracker
        self._size_enforcer = size_enforcer

    def current_gang(
        self, job_id: str, attempt: int, worker_id: str
    ) -> Gang | None:
        """Return the gang of a member, or None if the attempt is outdated."""
        gang = self._state.gangs.get(job_id)
        if gang is None or gang.attempt != attempt:
            return None
        return gang if worker_id in gang.members else None

    def apply(self, event: MemberEvent) -> None:
        """Apply an event; events of other attempts do not affect the gang."""
        gang = self.current_gang(event.job_id, event.attempt, event.worker_id)
        if gang is None:
            if isinstance(event, _END_EVENTS):
                self._orphaned_members.release(
                    (event.job_id, event.attempt, event.worker_id)
                )
            return
        worker_id = event.worker_id
        match event:
            case MemberPrepared():
                self._gangs.member_prepared(gang, worker_id)
            case MemberStarted():
                self._gangs.member_started(gang, worker_id)
            case MemberFinished():
                self._gangs.member_finished(gang, worker_id)
            case MemberFailed(reason=reason):
                self._failure_tracker.member_failed(gang, worker_id, reason)
            case MemberRefused(reason=reason):
                self._end_refused(gang, worker_id, reason)
            case MemberStopped():
                self._gangs.member_stopped(gang, worker_id)
            case CheckpointTaken():
                self._gangs.checkpoint_taken(gang, event)

    def stop_orphaned_members(self, report: WorkerReported) -> None:
        """Stop the members of a report that belong to no current attempt."""
        orphaned = [
            member
            for member in report.members
            if self.current_gang(
                member.job_id, member.attempt, report.worker_id
            )
            is None
        ]
        self._orphaned_members.observe(report.worker_id, orphaned)

    def reconcile(self, report: WorkerReported) -> None:
        """Bring the members of current attempts in line with a report."""
        listed = set()
        for member in report.members:
            gang = self.current_gang(
                member.job_id, member.attempt, report.worker_id
            )
            if gang is not None:
                listed.add(member.job_id)
                gang.members[report.worker_id].consecutive_absences = 0
                self._apply_report(gang, report.worker_id, member)
        for expected in self._state.gangs_on(report.worker_id):
            if expected.job_id not in listed:
                self._count_absence(expected, report.worker_id)

    def _end_refused(self, gang: Gang, worker_id: str, reason: str) -> None:
        self._failure_tracker.order_failed(gang, worker_id)
        self._gangs.member_ended(
            gang, worker_id, f'order refused by worker {worker_id}: {reason}'
        )

    def _apply_report(
        self, gang: Gang, worker_id: str, report: MemberReport
    ) -> None:
        match report.state:
            case MemberState.prepared:
                self._confirm_prepared(gang, worker_id)
            case MemberState.running:
                self._gangs.member_started(gang, worker_id)
                self._size_enforcer.observe(gang, worker_id, report)
            case MemberState.finished:
                self._gangs.member_finished(gang, worker_id)
            case MemberState.failed:
                self._failure_tracker.member_failed(
                    gang, worker_id, 'no reason reported'
                )
            case MemberState.stopped:
                self._gangs.member_ended(
                    gang, worker_id, f'stopped by worker {worker_id}'
                )

    def _confirm_prepared(self, gang: Gang, worker_id: str) -> None:
        self._gangs.member_prepared(gang, worker_id)
        is_prepared = gang.members[worker_id].phase is MemberPhase.prepared
        if is_prepared and gang.phase is GangPhase.starting:
            self._gangs.order_start(gang, worker_id)

    def _count_absence(self, gang: Gang, worker_id: str) -> None:
        member = gang.members[worker_id]
        if not member.holds:
            return
        is_stopping = gang.phase is GangPhase.stopping
        if member.phase is MemberPhase.ordered and not is_stopping:
            return
        member.consecutive_absences += 1
        if member.consecutive_absences >= _ABSENCES_TO_END:
            self._gangs.member_ended(
                gang,
                worker_id,
                f'missing in {_ABSENCES_TO_END} consecutive reports of worker '
                f'{worker_id}',
            )
