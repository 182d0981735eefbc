"""State of a partition that its parts share."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import UTC, datetime
from math import inf

from dragonflynotch.core.absent import AbsentWorkers
from dragonflynotch.core.actions import Action, WriteJob
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.inventory import Allocation, Inventory
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Placer
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.timers import Timers
from dragonflynotch.core.waiting_queue import WaitingQueue

__all__ = ('GangObserver', 'PartitionState')

GangObserver = Callable[[Gang, Job], None]


class ObstacleAnswers:
    """Answers to whether a job could run on the idle topology."""

    def __init__(self) -> None:
        """Start without answers."""
        self.version = -1
        self.found: dict[object, bool] = {}


class PartitionState:
    """Jobs, gangs, workers, deadlines and the actions not yet handed out.

    Parameters
    ----------
    policy : PolicySettings
        Bounds and limits.
    placer : Placer
        Chooses the accelerators.
    """

    def __init__(self, policy: PolicySettings, placer: Placer) -> None:
        """Start empty, without ownership."""
        self.policy = policy
        self.placer = placer
        self.now = datetime.min.replace(tzinfo=UTC)
        self.is_owner = False
        self.fence = 0
        self.inventory = Inventory()
        self.absent = AbsentWorkers()
        self.queue = WaitingQueue()
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[str, Gang] = {}
        self.on_worker: dict[str, dict[str, None]] = {}
        self.timers = Timers()
        self.capacity_version = 0
        self.accelerators_of: Counter[str] = Counter()
        self.avoided: dict[str, frozenset[str]] = {}
        self.max_accelerators: Mapping[str, int] = {}
        self.obstacles = ObstacleAnswers()
        self.inherited: dict[str, None] = {}
        self.held_back: dict[str, None] = {}
        self.attempt_floor: dict[str, int] = {}
        self._disputed: dict[str, dict[str, Allocation]] = {}
        self.observers: list[GangObserver] = []
        self._actions: list[Action] = []

    def reset(self) -> None:
        """Forget all jobs, gangs and deadlines; keep the workers, idle."""
        self.queue = WaitingQueue()
        self.jobs.clear()
        self.gangs.clear()
        self.avoided.clear()
        self.on_worker.clear()
        self.accelerators_of.clear()
        self._disputed.clear()
        self.obstacles = ObstacleAnswers()
        self.inherited.clear()
        self.held_back.clear()
        self.attempt_floor.clear()
        self.timers = Timers()
        workers = [
            state.worker for state in self.inventory if state.lost_at is None
        ]
        self.inventory.clear()
        for worker in workers:
            self.inventory.add(worker)
        self.capacity_changed()

    def quota_left(self, workspace: str) -> float:
        """Return how many more accelerators a workspace may hold."""
        limit = self.max_accelerators.get(workspace, inf)
        return limit - self.accelerators_of[workspace]

    def emit(self, action: Action) -> None:
        """Add an action for the daemon."""
        self._actions.append(action)

    def drain(self) -> tuple[Action, ...]:
        """Return the actions since the last call."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def capacity_changed(self) -> None:
        """Note that waiting jobs may have a new chance."""
        self.capacity_version += 1

    def save(self, job: Job) -> Job:
        """Store a job and have its record written; forget it if final."""
        if job.state.is_final:
            self.jobs.pop(job.job_id, None)
            self.avoided.pop(job.job_id, None)
        else:
            self.jobs[job.job_id] = job
        self.emit(WriteJob(job))
        return job

    def change(self, job_id: str, **changes: object) -> Job:
        """Change a job and have its record written."""
        return self.save(replace(self.jobs[job_id], **changes))  # type: ignore[arg-type]

    def enqueue(self, job: Job) -> None:
        """Let a job wait.

        While an attempt of an earlier owner may be unknown, a job of that
        owner is held back from the queue.
        """
        if job.job_id in self.inherited:
            self.held_back[job.job_id] = None
            return
        self.queue.add(job, self.avoided.get(job.job_id, frozenset()))

    def avoid(self, job: Job, worker_ids: frozenset[str]) -> None:
        """Keep a job from some workers from now on, and from no others."""
        self.avoided[job.job_id] = worker_ids
        if self.queue.has(job.job_id):
            self.queue.remove(job)
            self.enqueue(job)

    def add_gang(self, gang: Gang) -> None:
        """Register a gang whose accelerators are already held."""
        self.gangs[gang.job_id] = gang
        for worker_id in gang.members:
            self.on_worker.setdefault(worker_id, {})[gang.job_id] = None
        workspace = self.jobs[gang.job_id].spec.workspace
        gang.counted = gang.accelerators
        self.accelerators_of[workspace] += gang.counted

    def hold_inherited(self, gang: Gang, worker_id: str) -> None:
        """Hold what a member of an earlier owner has, as far as it is idle.

        Two records can name the same accelerator if a member of the older
        gang had ended before its job's record was written again. The report
        of the guard tells which of them is right; until then the worker gets
        no new work.
        """
        member = gang.members[worker_id]
        whole = member.allocation
        busy = self.inventory[worker_id].busy
        idle = tuple(
            index for index in whole.accelerators if not busy >> index & 1
        )
        if idle != whole.accelerators:
            member.allocation = replace(whole, accelerators=idle)
            disputed = self._disputed.setdefault(worker_id, {})
            disputed[gang.job_id] = whole
        self.inventory.hold(member.allocation)

    def settle_disputes(self, worker_id: str) -> None:
        """Give the remaining members of a worker all that they have."""
        for job_id, whole in self._disputed.pop(worker_id, {}).items():
            gang = self.gangs.get(job_id)
            if gang is not None and gang.members[worker_id].holds:
                member = gang.members[worker_id]
                self.inventory.release(member.allocation)
                self.inventory.hold(whole)
                member.allocation = whole

    def drop_gang(self, gang: Gang) -> None:
        """Forget a gang that holds nothing any more."""
        self.gangs.pop(gang.job_id)
        job = self.jobs[gang.job_id]
        self.accelerators_of[job.spec.workspace] -= gang.counted
        for worker_id in gang.members:
            self._drop_from_worker(worker_id, gang.job_id)
        for observer in self.observers:
            observer(gang, job)

    def gangs_on(self, worker_id: str) -> tuple[Gang, ...]:
        """Return the gangs that have a member on a worker."""
        return tuple(
            self.gangs[job_id] for job_id in self.on_worker.get(worker_id, ())
        )

    def _drop_from_worker(self, worker_id: str, job_id: str) -> None:
        jobs = self.on_worker[worker_id]
        jobs.pop(job_id)
        if not jobs:
            self.on_worker.pop(worker_id)
