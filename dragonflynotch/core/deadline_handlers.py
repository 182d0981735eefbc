"""Handlers of the deadlines of a partition."""

from collections.abc import Callable

from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.failure_tracker import FailureTracker
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Outcome
from dragonflynotch.core.jobs import JobState
from dragonflynotch.core.reservations import Reservations
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.takeover import Takeover

__all__ = ('DeadlineHandlers',)


class DeadlineHandlers:
    """Calls the handler of each deadline that was reached.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    fleet : Fleet
        Workers of the partition.
    takeover : Takeover
        Jobs and workers taken over from an earlier owner.
    reservations : Reservations
        Reservation for the longest-waiting job.
    failure_tracker : FailureTracker
        Quarantine of workers.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        fleet: Fleet,
        takeover: Takeover,
        reservations: Reservations,
        failure_tracker: FailureTracker,
    ) -> None:
        """Store the components and the handlers."""
        self._failure_tracker = failure_tracker
        self._reservations = reservations
        self._state = state
        self._gangs = gangs
        self._fleet = fleet
        self._takeover = takeover
        self._handlers: dict[DeadlineKind, Callable[[str], None]] = {
            DeadlineKind.prepare: self._stop_unprepared,
            DeadlineKind.confirm: self._stop_unconfirmed,
            DeadlineKind.stop: self._repeat_stop,
            DeadlineKind.checkpoint: self._order_checkpoint,
            DeadlineKind.lease: self._expire_lease,
            DeadlineKind.cooldown: fleet.end_cooldown,
            DeadlineKind.takeover: self._end_takeover_lease,
            DeadlineKind.guarantees: self._place_guarantees,
            DeadlineKind.readmission: failure_tracker.readmit,
            DeadlineKind.avoidance: failure_tracker.end_avoidance,
            DeadlineKind.retry: self._retry,
            DeadlineKind.reservation: self._handle_reservation,
        }

    def run(self) -> None:
        """Handle all deadlines that were reached, earliest first."""
        for deadline in self._state.timers.pop_due(self._state.now):
            if isinstance(deadline, Deadline):
                self._handlers[deadline.kind](deadline.subject)

    def _stop_unprepared(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._failure_tracker.record_late_orders(gang)
        self._gangs.stop(
            gang, Outcome.requeue, 'not all members were prepared in time'
        )

    def _stop_unconfirmed(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._failure_tracker.record_late_orders(gang)
        self._gangs.stop(
            gang,
            Outcome.requeue,
            'not all members confirmed their start in time',
        )

    def _repeat_stop(self, job_id: str) -> None:
        self._gangs.repeat_stop(self._state.gangs[job_id])

    def _order_checkpoint(self, job_id: str) -> None:
        self._gangs.checkpoint(self._state.gangs[job_id])

    def _expire_lease(self, worker_id: str) -> None:
        self._fleet.lease_expired(worker_id)
        self._takeover.stop_waiting_for(worker_id)

    def _place_guarantees(self, _subject: str) -> None:
        self._fleet.place_guarantees()

    def _handle_reservation(self, _subject: str) -> None:
        self._reservations.handle_deadline()

    def _retry(self, job_id: str) -> None:
        job = self._state.jobs.get(job_id)
        if job is not None and job.state is JobState.waiting:
            self._state.enqueue(job)

    def _end_takeover_lease(self, _subject: str) -> None:
        self._takeover.handle_lease_expiry()
