"""Workers that join, are lost, return or are quarantined."""

from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang, Outcome
from dragonflynotch.core.guarantee_registry import GuaranteeRegistry
from dragonflynotch.core.inventory import AllocationKind, WorkerState
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.topology import Worker

__all__ = ('Fleet',)


class Fleet:
    """Updates the inventory and the guarantees as workers come and go.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Stops the gangs of lost workers.
    guarantees : GuaranteeRegistry
        Guarantees in force.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        guarantees: GuaranteeRegistry,
    ) -> None:
        """Keep references to the components."""
        self._state = state
        self._gangs = gangs
        self._guarantees = guarantees

    def join(self, worker: Worker, *, is_verified: bool = True) -> None:
        """Add a worker, or mark a lost one as present.

        Parameters
        ----------
        worker : Worker
            Worker as announced.
        is_verified : bool
            False while tasks of an earlier owner may run on it unknown to
            this one.
        """
        known = self._state.inventory.find(worker.worker_id)
        if known is None:
            self._add(worker, is_verified)
        elif known.worker != worker:
            self._replace(known, worker)
        elif known.lost_at is not None:
            known.lost_at = None
            self._state.inventory.refresh(known)
        else:
            return
        self._state.capacity_changed()
        self.detach_gangs(self._guarantees.place_unplaced())

    def lose(self, worker_id: str, reason: str) -> None:
        """Stop the gangs of a worker; hold its members for the task lease."""
        worker = self._state.inventory.find(worker_id)
        if worker is None or worker.lost_at is not None:
            return
        worker.lost_at = self._state.now
        self._state.inventory.refresh(worker)
        self._state.timers.set(
            Deadline(DeadlineKind.lease, worker_id),
            self._state.now + self._state.policy.task_lease,
        )
        for gang in self._state.gangs_on(worker_id):
            if gang.members[worker_id].holds:
                self._gangs.stop(
                    gang,
                    Outcome.requeue,
                    f'worker {worker_id} was lost: {reason}',
                )
        self._state.capacity_changed()
        self.detach_gangs(self._guarantees.worker_unavailable(worker_id))

    def lease_expired(self, worker_id: str) -> None:
        """Release all members on a lost worker and remove the worker."""
        worker = self._state.inventory.find(worker_id)
        if worker is None or worker.lost_at is None:
            return
        for gang in self._state.gangs_on(worker_id):
            self._gangs.release_expired_member(gang, worker_id)
        self._state.inventory.remove(worker_id)
        self._state.recently_lost.add(worker.worker, self._state.now)
        if worker.replacement is not None:
            self.join(worker.replacement, is_verified=worker.is_verified)

    def start_cooldown(self, worker_id: str) -> None:
        """Place no gangs on a worker for a while after it failed an order."""
        worker = self._state.inventory.find(worker_id)
        if worker is None:
            return
        until = self._state.now + self._state.policy.prepare_timeout
        worker.cooldown_until = until
        self._state.inventory.refresh(worker)
        self._state.timers.set(
            Deadline(DeadlineKind.cooldown, worker_id), until
        )

    def end_cooldown(self, worker_id: str) -> None:
        """Allow placements on a worker after its cooldown."""
        worker = self._state.inventory.find(worker_id)
        if worker is not None:
            worker.cooldown_until = None
            self._state.inventory.refresh(worker)
            self._state.capacity_changed()

    def quarantine(self, worker: WorkerState) -> None:
        """Place no new gangs on a worker; let its gangs run on."""
        worker.is_quarantined = True
        self._state.inventory.refresh(worker)
        self._state.capacity_changed()
        self.detach_gangs(
            self._guarantees.worker_unavailable(worker.worker.worker_id)
        )

    def end_quarantine(self, worker: WorkerState) -> None:
        """Allow placements on a worker after its quarantine."""
        worker.is_quarantined = False
        self._state.inventory.refresh(worker)
        self._state.capacity_changed()
        self.detach_gangs(self._guarantees.place_unplaced())

    def place_guarantees(self) -> None:
        """Retry the placement of guarantees that have none."""
        self.detach_gangs(self._guarantees.place_unplaced())

    def detach_gangs(self, guarantee_ids: set[int]) -> None:
        """Stop counting gangs towards guarantees that moved or ended."""
        if not guarantee_ids:
            return
        for gang in self._state.gangs.values():
            if gang.guarantee_id in guarantee_ids:
                self._detach_from_guarantee(gang)
        self._state.capacity_changed()

    def _detach_from_guarantee(self, gang: Gang) -> None:
        spec = self._state.jobs[gang.job_id].spec
        gang.guarantee_id = None
        gang.allocation_kind = (
            AllocationKind.lent
            if spec.is_checkpointable
            else AllocationKind.firm
        )
        for member in gang.members.values():
            unguaranteed_allocation = member.allocation.with_kind(
                gang.allocation_kind
            )
            if member.holds:
                self._state.inventory.release(member.allocation)
                self._state.inventory.hold(unguaranteed_allocation)
            member.allocation = unguaranteed_allocation

    def _add(self, worker: Worker, is_verified: bool) -> None:
        state = self._state.inventory.add(worker)
        self._state.recently_lost.discard(worker.worker_id)
        state.is_verified = is_verified
        for gang in self._state.gangs_on(worker.worker_id):
            if gang.members[worker.worker_id].holds:
                self._state.hold_inherited(gang, worker.worker_id)
        self._state.inventory.refresh(state)

    def _replace(self, known: WorkerState, worker: Worker) -> None:
        """Replace a worker that came back with other hardware.

        Tasks on the old hardware may run until their lease has expired, so
        the new hardware joins only after that, unless nothing was in use.
        """
        self.lose(worker.worker_id, 'replaced by other hardware')
        known.replacement = worker
        if known.used.is_zero:
            self.lease_expired(worker.worker_id)
