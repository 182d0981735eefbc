"""Workers in quarantine and jobs that fail everywhere."""

from dataclasses import replace

from dragonflynotch.core.actions import QuarantineWorker, ReadmitWorker
from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.feasibility import find_obstacle
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang, GangPhase, MemberPhase, Outcome
from dragonflynotch.core.jobs import Job, JobSpec
from dragonflynotch.core.quarantine import Evidence, Verdict
from dragonflynotch.core.state import PartitionState

__all__ = ('Health',)


class Health:
    """Collects failures and acts on the verdicts.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    fleet : Fleet
        Workers of the partition.
    """

    def __init__(
        self, state: PartitionState, gangs: GangControl, fleet: Fleet
    ) -> None:
        """Start without evidence."""
        self._state = state
        self._gangs = gangs
        self._fleet = fleet
        self._evidence = Evidence(
            state.policy.quarantine_evidence, state.policy.bad_job_workers
        )

    def member_failed(self, gang: Gang, worker_id: str, reason: str) -> None:
        """Stop the gang of a failed member and weigh the failure.

        A failure while the gang stops is a consequence of the stop and counts
        against nobody.
        """
        sentence = f'failed on {worker_id}: {reason}'
        if gang.phase is GangPhase.stopping:
            self._gangs.member_ended(gang, worker_id, sentence)
            return
        job = self._noted(gang, worker_id)
        verdict = self._evidence.failed(
            gang.job_id, worker_id, job.failed_workers
        )
        outcome = Outcome.requeue
        if verdict is Verdict.bad_job:
            outcome = Outcome.fail
            sentence = (
                f'failed on {len(job.failed_workers)} distinct workers; last '
                f'{sentence}'
            )
        elif job.failures >= self._state.policy.max_failures:
            outcome = Outcome.fail
            sentence = f'failed {job.failures} times; last {sentence}'
        gang.retry_after = self._state.policy.retry_after(job.failures)
        self._gangs.member_ended(gang, worker_id, sentence, outcome)
        if verdict is Verdict.bad_worker:
            self._quarantine(worker_id)

    def order_failed(self, gang: Gang, worker_id: str) -> None:
        """Note that a worker did not carry out an order to prepare or start.

        This is no evidence against the job, because its task did not run.
        """
        self._fleet.cool_down(worker_id)
        if worker_id in self._state.inventory:
            verdict = self._evidence.failed(gang.job_id, worker_id, ())
            if verdict is Verdict.bad_worker:
                self._quarantine(worker_id)

    def orders_late(self, gang: Gang) -> None:
        """Note the workers that did not confirm an order in time."""
        late = MemberPhase.ordered
        if gang.phase is GangPhase.starting:
            late = MemberPhase.prepared
        for worker_id, member in gang.members.items():
            if member.phase is late:
                self.order_failed(gang, worker_id)

    def gang_ended(self, gang: Gang, _job: Job) -> None:
        """Drop the evidence against workers that finished a member."""
        if gang.is_complete:
            for worker_id in gang.members:
                self._evidence.succeeded(worker_id)

    def readmit(self, worker_id: str) -> None:
        """Give a quarantined worker new work."""
        worker = self._state.inventory.find(worker_id)
        if worker is not None and worker.is_quarantined:
            self._evidence.succeeded(worker_id)
            self._state.emit(ReadmitWorker(worker_id))
            self._fleet.end_quarantine(worker)

    def _noted(self, gang: Gang, worker_id: str) -> Job:
        job = self._state.jobs[gang.job_id]
        failed_on = dict.fromkeys((*job.failed_workers, worker_id))
        changed = replace(
            job, failed_workers=tuple(failed_on), failures=job.failures + 1
        )
        self._state.jobs[gang.job_id] = changed
        avoided = frozenset(failed_on)
        if not self._can_avoid(job.spec, avoided):
            avoided = frozenset()
        self._state.avoid(changed, avoided)
        return changed

    def _can_avoid(self, spec: JobSpec, avoided: frozenset[str]) -> bool:
        """Whether a job has another place under the rights that it has.

        A job that cannot be checkpointed may not borrow, so guaranteed
        accelerators are no other place for it.
        """
        if find_obstacle(spec, self._state, avoided) is not None:
            return False
        if spec.is_checkpointable or not spec.shape.accelerators:
            return True
        outside = CapacityMap()
        for worker in self._state.inventory:
            worker_id = worker.worker.worker_id
            if worker_id not in avoided:
                usable = worker.worker.accelerators - worker.guaranteed
                outside.set(worker.rack, worker_id, max(0, usable))
        return bool(self._state.placer.place(spec.shape, outside, _unlimited))

    def _acquit(self, job_id: str, worker_id: str) -> None:
        """Forgive a job what it failed on a worker that is bad."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            others = tuple(
                name for name in job.failed_workers if name != worker_id
            )
            acquitted = replace(
                job, failed_workers=others, failures=len(others)
            )
            self._state.jobs[job_id] = acquitted
            self._state.avoid(acquitted, frozenset(others))

    def _quarantine(self, worker_id: str) -> None:
        """Quarantine a worker, unless the cap on their share is reached."""
        worker = self._state.inventory.find(worker_id)
        if worker is None or worker.is_quarantined:
            return
        for job_id in self._evidence.jobs_against(worker_id):
            self._acquit(job_id, worker_id)
        held = sum(state.is_quarantined for state in self._state.inventory)
        cap = self._state.policy.quarantine_cap * len(self._state.inventory)
        if held + 1 > cap:
            return
        self._state.emit(
            QuarantineWorker(
                worker_id,
                f'{self._state.policy.quarantine_evidence} distinct jobs '
                f'failed on it',
            )
        )
        self._state.timers.set(
            Deadline(DeadlineKind.readmission, worker_id),
            self._state.now + self._state.policy.quarantine_period,
        )
        self._fleet.quarantine(worker)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
