"""Enforcement of the cores and memory that jobs declare."""

from datetime import timedelta

from dragonflynotch.core.actions import ThrottleMember
from dragonflynotch.core.events import MemberReport
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang, GangPhase, Outcome
from dragonflynotch.core.state import PartitionState

__all__ = ('SizeEnforcer',)

# Usage reports lag and may repeat a short peak, so a member must exceed its
# size in two more reports in a row before each step.
_REPORTS_TO_THROTTLE = 2
_REPORTS_TO_STOP = 4
_MILLICORES_PER_CORE = 1000
_NO_CHECKPOINT = timedelta()


class SizeEnforcer:
    """Throttles members that exceed their declared size, then stops the gang.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Stops gangs.
    """

    def __init__(self, state: PartitionState, gangs: GangControl) -> None:
        """Keep references to the components."""
        self._state = state
        self._gangs = gangs

    def observe(self, gang: Gang, worker_id: str, report: MemberReport) -> None:
        """Compare the reported usage of a running member with its size."""
        member = gang.members[worker_id]
        if gang.phase is not GangPhase.running or not member.holds:
            return
        tolerance = 1 + self._state.policy.size_tolerance
        is_oversize = (
            report.cores_used * _MILLICORES_PER_CORE
            > member.allocation.millicores * tolerance
            or report.memory_used_mb > member.allocation.memory_mb * tolerance
        )
        if not is_oversize:
            member.oversize_reports = 0
            return
        member.oversize_reports += 1
        if member.oversize_reports >= _REPORTS_TO_STOP:
            self._stop(gang, worker_id, report)
        elif member.oversize_reports == _REPORTS_TO_THROTTLE:
            self._state.emit(
                ThrottleMember(
                    gang.job_id, gang.attempt, worker_id, self._state.fence
                )
            )

    def _stop(self, gang: Gang, worker_id: str, report: MemberReport) -> None:
        allocation = gang.members[worker_id].allocation
        self._gangs.stop(
            gang,
            Outcome.fail,
            f'used {report.cores_used:g} cores and {report.memory_used_mb} '
            f'MiB on {worker_id} but declared '
            f'{allocation.millicores / _MILLICORES_PER_CORE:g} cores and '
            f'{allocation.memory_mb} MiB',
            checkpoint_limit=_NO_CHECKPOINT,
        )
