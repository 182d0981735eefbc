"""Checkpoints the gangs of draining guards before their jobs move.

A gang is the set of members of one job, which run at the same time.
"""

from datetime import datetime

from dragonflynotch.core.events import Event
from dragonflynotch.entry.jobs.job_state_cache import JobStateCache
from dragonflynotch.entry.members.guard_channel import ReportFetched
from dragonflynotch.entry.members.guard_roster import GuardRoster
from dragonflynotch.entry.partition.outbox import OutgoingOrder
from dragonflynotch.entry.partition.owner_inputs import GuardAnnounced
from dragonflynotch.links.orders import CheckpointOrder

__all__ = ('DrainCoordinator',)


class DrainCoordinator:
    """Handles announcements and reports of draining guards.

    A draining guard refuses new members and stops its running members after a
    notice period. The owner uses this period to checkpoint their whole gangs.
    It counts the worker as lost once all members on it have ended.

    Parameters
    ----------
    roster : GuardRoster
        Guards, and the channels to them.
    job_states : JobStateCache
        Jobs of the partition.
    """

    def __init__(self, roster: GuardRoster, job_states: JobStateCache) -> None:
        """Coordinate the guards of ``roster``."""
        self._roster = roster
        self._job_states = job_states

    def handle_announcement(
        self, announcement: GuardAnnounced, now: datetime
    ) -> tuple[Event, ...]:
        """Handle an announcement and return the resulting events."""
        worker = announcement.info.worker
        worker_id = '' if worker is None else worker.worker_id
        was_draining = self._roster.is_draining(worker_id)
        is_busy = not announcement.info.is_ready and self._is_busy(worker_id)
        events = self._roster.handle_announcement(
            announcement.info, announcement.digest, now, is_busy=is_busy
        )
        if self._roster.is_draining(worker_id) and not was_draining:
            self._checkpoint_gangs(worker_id)
        return events

    def check_drained(self, fetched: ReportFetched) -> tuple[Event, ...]:
        """Return the event of losing a drained worker, if all members ended.

        It is handled before the outcomes in the report, so that no job is
        placed on the worker again.
        """
        if not self._roster.is_draining(fetched.worker_id):
            return ()
        if all(member.phase.is_final for member in fetched.report.members):
            return self._roster.mark_lost(
                fetched.worker_id, 'its guard is draining'
            )
        return ()

    def _is_busy(self, worker_id: str) -> bool:
        return bool(self._job_states.jobs_on_worker(worker_id))

    def _checkpoint_gangs(self, worker_id: str) -> None:
        label = f'drain-{worker_id}'
        for job in self._job_states.jobs_on_worker(worker_id):
            for member in job.members:
                order = CheckpointOrder(job.job_id, job.attempt, label)
                self._roster.dispatch(OutgoingOrder(member.worker_id, order))
