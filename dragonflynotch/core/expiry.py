"""What happens when a deadline is reached."""

from collections.abc import Callable

from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Outcome
from dragonflynotch.core.health import Health
from dragonflynotch.core.jobs import JobState
from dragonflynotch.core.reservations import Reservations
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.takeover import Takeover

__all__ = ('Expiry',)


class Expiry:
    """Handles the deadlines that were reached.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    fleet : Fleet
        Workers of the partition.
    takeover : Takeover
        Jobs and workers of an earlier owner.
    reservations : Reservations
        Accelerators kept for the longest-waiting job.
    health : Health
        Quarantine of workers.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        fleet: Fleet,
        takeover: Takeover,
        reservations: Reservations,
        health: Health,
    ) -> None:
        """Keep the parts."""
        self._health = health
        self._reservations = reservations
        self._state = state
        self._gangs = gangs
        self._fleet = fleet
        self._takeover = takeover
        self._handlers: dict[DeadlineKind, Callable[[str], None]] = {
            DeadlineKind.prepare: self._not_prepared,
            DeadlineKind.confirm: self._not_confirmed,
            DeadlineKind.stop: self._not_stopped,
            DeadlineKind.checkpoint: self._checkpoint_due,
            DeadlineKind.lease: self._lease_expired,
            DeadlineKind.cooldown: fleet.end_cooldown,
            DeadlineKind.takeover: self._takeover_lease_over,
            DeadlineKind.guarantees: self._guarantees_due,
            DeadlineKind.readmission: health.readmit,
            DeadlineKind.retry: self._retry,
            DeadlineKind.reservation: self._reservation_due,
        }

    def run(self) -> None:
        """Handle all deadlines that were reached, in their order."""
        for deadline in self._state.timers.pop_due(self._state.now):
            if isinstance(deadline, Deadline):
                self._handlers[deadline.kind](deadline.subject)

    def _not_prepared(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._health.orders_late(gang)
        self._gangs.stop(gang, Outcome.requeue, 'members were not prepared')

    def _not_confirmed(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._health.orders_late(gang)
        self._gangs.stop(gang, Outcome.requeue, 'a start was not confirmed')

    def _not_stopped(self, job_id: str) -> None:
        self._gangs.stop_overdue(self._state.gangs[job_id])

    def _checkpoint_due(self, job_id: str) -> None:
        self._gangs.checkpoint(self._state.gangs[job_id])

    def _lease_expired(self, worker_id: str) -> None:
        self._fleet.lease_expired(worker_id)
        self._takeover.forget(worker_id)

    def _guarantees_due(self, _subject: str) -> None:
        self._fleet.place_guarantees()

    def _reservation_due(self, _subject: str) -> None:
        self._reservations.due()

    def _retry(self, job_id: str) -> None:
        job = self._state.jobs.get(job_id)
        if job is not None and job.state is JobState.waiting:
            self._state.enqueue(job)

    def _takeover_lease_over(self, _subject: str) -> None:
        self._takeover.lease_over()
