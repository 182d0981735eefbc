"""State shared by the components of a partition."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import UTC, datetime
from math import inf

from dragonflynotch.core.actions import Action, WriteJob
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.inventory import Allocation, Inventory
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Placer
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.recently_lost import RecentlyLostWorkers
from dragonflynotch.core.timers import Timers
from dragonflynotch.core.waiting_queue import WaitingQueue

__all__ = ('GangEndObserver', 'PartitionState')

GangEndObserver = Callable[[Gang, Job], None]


class FeasibilityCache:
    """Cached results of whether a job fits on the idle topology.

    The results hold for one version of the inventory's topology.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self.topology_version = -1
        self.fits: dict[object, bool] = {}


class PartitionState:
    """Jobs, gangs, workers, deadlines and the actions not yet returned.

    Parameters
    ----------
    policy : PolicySettings
        Bounds and limits.
    placer : Placer
        Chooses the accelerators.
    """

    def __init__(self, policy: PolicySettings, placer: Placer) -> None:
        """Create an empty state without ownership."""
        self.policy = policy
        self.placer = placer
        self.now = datetime.min.replace(tzinfo=UTC)
        self.is_owner = False
        self.fence = 0
        self.inventory = Inventory()
        self.recently_lost = RecentlyLostWorkers()
        self.queue = WaitingQueue()
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[str, Gang] = {}
        # Values of None make a dictionary a set that keeps its order.
        self.jobs_by_worker: dict[str, dict[str, None]] = {}
        self.timers = Timers()
        self.capacity_version = 0
        self.accelerators_by_workspace: Counter[str] = Counter()
        self.avoided_workers: dict[str, frozenset[str]] = {}
        self.max_accelerators: Mapping[str, int] = {}
        self.feasibility_cache = FeasibilityCache()
        self.inherited_jobs: dict[str, None] = {}
        self.deferred_jobs: dict[str, None] = {}
        # Highest attempt number by job in the first reports of guards.
        self.highest_attempts: dict[str, int] = {}
        # Recorded allocations by worker and job that were held only in part.
        self._conflicting_allocations: dict[str, dict[str, Allocation]] = {}
        self.gang_end_observers: list[GangEndObserver] = []
        self._actions: list[Action] = []

    def reset(self) -> None:
        """Drop all jobs, gangs and deadlines; keep present workers as idle."""
        self.queue = WaitingQueue()
        self.jobs.clear()
        self.gangs.clear()
        self.avoided_workers.clear()
        self.jobs_by_worker.clear()
        self.accelerators_by_workspace.clear()
        self._conflicting_allocations.clear()
        self.feasibility_cache = FeasibilityCache()
        self.inherited_jobs.clear()
        self.deferred_jobs.clear()
        self.highest_attempts.clear()
        self.timers = Timers()
        workers = [
            state.worker for state in self.inventory if state.lost_at is None
        ]
        self.inventory.clear()
        for worker in workers:
            self.inventory.add(worker)
        self.capacity_changed()

    def remaining_quota(self, workspace: str) -> float:
        """Return how many more accelerators the quota of a workspace allows."""
        limit = self.max_accelerators.get(workspace, inf)
        return limit - self.accelerators_by_workspace[workspace]

    def emit(self, action: Action) -> None:
        """Append an action for the daemon to carry out."""
        self._actions.append(action)

    def take_actions(self) -> tuple[Action, ...]:
        """Return the actions emitted since the last call."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def capacity_changed(self) -> None:
        """Count a change after which waiting jobs may fit."""
        self.capacity_version += 1

    def save_job(self, job: Job) -> Job:
        """Store a job and emit the write of its record; drop it if final."""
        if job.state.is_final:
            self.jobs.pop(job.job_id, None)
            self.avoided_workers.pop(job.job_id, None)
            self.timers.cancel(Deadline(DeadlineKind.avoidance, job.job_id))
        else:
            self.jobs[job.job_id] = job
        self.emit(WriteJob(job))
        return job

    def update_job(self, job_id: str, **changes: object) -> Job:
        """Update fields of a job and emit the write of its record."""
        return self.save_job(replace(self.jobs[job_id], **changes))  # type: ignore[arg-type]

    def enqueue(self, job: Job) -> None:
        """Add a job to the waiting queue.

        A job inherited from an earlier owner is deferred while that owner may
        have started an attempt of it that is not known yet.
        """
        if job.job_id in self.inherited_jobs:
            self.deferred_jobs[job.job_id] = None
            return
        self.queue.add(job, self.avoided_workers.get(job.job_id, frozenset()))

    def set_avoided_workers(self, job: Job, worker_ids: frozenset[str]) -> None:
        """Replace the set of workers on which a job must not be placed."""
        self.avoided_workers[job.job_id] = worker_ids
        if self.queue.has(job.job_id):
            self.queue.remove(job)
            self.enqueue(job)

    def add_gang(self, gang: Gang) -> None:
        """Add a gang whose accelerators are already held."""
        self.gangs[gang.job_id] = gang
        for worker_id in gang.members:
            self.jobs_by_worker.setdefault(worker_id, {})[gang.job_id] = None
        workspace = self.jobs[gang.job_id].spec.workspace
        gang.charged_accelerators = gang.accelerators
        self.accelerators_by_workspace[workspace] += gang.charged_accelerators

    def hold_inherited(self, gang: Gang, worker_id: str) -> None:
        """Hold the idle part of the allocation of an inherited member.

        Two job records can name the same accelerator if a member of the older
        gang ended and its job's record was not written after that. The first
        report of the guard shows which record is current; until then the
        worker gets no new work.
        """
        member = gang.members[worker_id]
        recorded = member.allocation
        busy_mask = self.inventory[worker_id].busy_mask
        idle = tuple(
            index
            for index in recorded.accelerators
            if not busy_mask >> index & 1
        )
        if idle != recorded.accelerators:
            member.allocation = replace(recorded, accelerators=idle)
            conflicting = self._conflicting_allocations.setdefault(
                worker_id, {}
            )
            conflicting[gang.job_id] = recorded
        self.inventory.hold(member.allocation)

    def resolve_conflicts(self, worker_id: str) -> None:
        """Hold the recorded allocations of the members that are left."""
        for job_id, recorded in self._conflicting_allocations.pop(
            worker_id, {}
        ).items():
            gang = self.gangs.get(job_id)
            if gang is not None and gang.members[worker_id].holds:
                member = gang.members[worker_id]
                self.inventory.release(member.allocation)
                self.inventory.hold(recorded)
                member.allocation = recorded

    def remove_gang(self, gang: Gang) -> None:
        """Remove a gang that holds no accelerators any more."""
        self.gangs.pop(gang.job_id)
        job = self.jobs[gang.job_id]
        self.accelerators_by_workspace[job.spec.workspace] -= (
            gang.charged_accelerators
        )
        for worker_id in gang.members:
            self._remove_from_worker(worker_id, gang.job_id)
        for observer in self.gang_end_observers:
            observer(gang, job)

    def gangs_on(self, worker_id: str) -> tuple[Gang, ...]:
        """Return the gangs that have a member on a worker."""
        return tuple(
            self.gangs[job_id]
            for job_id in self.jobs_by_worker.get(worker_id, ())
        )

    def _remove_from_worker(self, worker_id: str, job_id: str) -> None:
        jobs = self.jobs_by_worker[worker_id]
        jobs.pop(job_id)
        if not jobs:
            self.jobs_by_worker.pop(worker_id)
