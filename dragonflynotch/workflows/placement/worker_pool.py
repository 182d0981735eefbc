"""Workers that may get new runs, and what steps may use of them."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from dragonflynotch.workflows.jobs import StepId
from dragonflynotch.workflows.placement.recent_starts import RecentStarts
from dragonflynotch.workflows.placement.start_risks import StartRisk
from dragonflynotch.workflows.placement.trials import Trials
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.resources import Resources

__all__ = (
    'Demand',
    'Reservation',
    'ServiceUse',
    'WorkerPool',
    'count_step_tasks',
)


_NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class Reservation:
    """Resources reserved for a step that cannot start yet.

    Parameters
    ----------
    step_id : StepId
        Step that the resources are reserved for.
    start_ms : int
        Expected start of the step. Until then, runs that end earlier may
        use the resources.
    resources : mapping
        Reserved resources by minion.
    """

    step_id: StepId
    start_ms: int
    resources: Mapping[str, Resources]


@dataclass(slots=True)
class Demand:
    """Placement requirements of a step.

    Parameters
    ----------
    expected_ms : int
        Estimated run time of a task.
    may_leave_data_rack : bool
        Whether the tasks may run on other racks than that of their data.
    may_span_racks : bool
        Whether the gang may be spread over racks.
    avoided_minions : frozenset of str
        Minions that no waiting task of the step may use for now.
    may_join_suspects : bool
        Whether the tasks may start on a worker on which a suspected task has
        just started.
    may_try_excluded : bool
        Whether the tasks may try excluded workers, each with one start.
    uses_idle_room : bool
        Whether the tasks may use reserved resources and try excluded workers.
    ignores_preferences : bool
        Whether only the hard requirements count, and that suspected tasks
        start apart from others: resources, service, label and the limit per
        worker. Reservations and racks are separate.
    max_attempts : int
        How many runs of a task may fail.
    """

    step: Step
    service: str
    expected_ms: int
    may_leave_data_rack: bool = False
    may_span_racks: bool = False
    avoided_minions: frozenset[str] = frozenset()
    may_join_suspects: bool = False
    may_try_excluded: bool = False
    uses_idle_room: bool = False
    ignores_preferences: bool = False
    max_attempts: int = 1

    def suits(self, worker: Worker) -> bool:
        """Return whether a worker has the service, label and rack wanted."""
        spec = self.step.spec
        report = worker.report
        return (
            report.service == self.service
            and (not spec.constraint or spec.constraint in report.labels)
            and (
                not spec.data_rack
                or self.may_leave_data_rack
                or report.rack == spec.data_rack
            )
        )


@dataclass(slots=True)
class ServiceUse:
    """Resources of all workers of a service, and how much orders hold."""

    capacity: Resources
    used: Resources

    @property
    def share(self) -> float:
        """Largest share of a resource that is in use."""
        return self.used.dominant_share_of(self.capacity)

    def add(self, needs: Resources) -> None:
        """Count the resources of another run."""
        self.used += needs


@dataclass(slots=True)
class WorkerPool:
    """Workers that may get new runs, with their free resources.

    Built anew for each round of decisions and updated as tasks are placed.

    Parameters
    ----------
    workers : dict
        Workers by minion.
    free : dict
        Resources by minion that no order holds; reservations are not
        subtracted. Includes the minions in ``excluded``.
    now_ms : int
        Store time of the round.
    failed_job_counts : mapping
        Recently failed jobs by minion; a lower count is preferred.
    refused_needs : mapping
        What minions recently refused to start for want of room, by minion.
    start_risks : mapping
        Signs that a worker might not start a run, by minion; workers with
        fewer are preferred.
    slow_minions : frozenset of str
        Minions on which runs have become slow; others are preferred.
    reservations : list of Reservation
        Resources kept for steps that come earlier in the round.
    recent_starts : RecentStarts
        Runs that were started a short time ago, also in this round.
    excluded : mapping of str to Worker
        Workers left out because several jobs failed on them, by minion.
    trials : Trials
        Excluded workers that may be tried in this round.
    claims : dict of str to str
        Jobs for which workers are kept free of other starts, by minion.
    """

    workers: dict[str, Worker]
    free: dict[str, Resources]
    now_ms: int
    failed_job_counts: Mapping[str, int] = field(default_factory=dict)
    refused_needs: Mapping[str, Sequence[Resources]] = field(
        default_factory=dict
    )
    start_risks: Mapping[str, Sequence[StartRisk]] = field(default_factory=dict)
    slow_minions: frozenset[str] = frozenset()
    reservations: list[Reservation] = field(default_factory=list)
    recent_starts: RecentStarts = field(default_factory=RecentStarts)
    excluded: Mapping[str, Worker] = field(default_factory=dict)
    trials: Trials = field(default_factory=Trials)
    claims: dict[str, str] = field(default_factory=dict)
    # Resources of the runs that were ordered in this round, by minion.
    _ordered: dict[str, Resources] = field(
        init=False, default_factory=lambda: defaultdict(Resources)
    )
    _free_total: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Sum up the free resources of the workers."""
        self._free_total = sum(
            (
                self.free[minion_id].without_deficits()
                for minion_id in self.workers
            ),
            Resources(),
        )

    def find(self, minion_id: str) -> Worker:
        """Return the worker of a minion, excluded ones included."""
        return self.workers.get(minion_id) or self.excluded[minion_id]

    def trial_room(self) -> Resources:
        """Return the free resources of the workers that may be tried."""
        return sum(
            (
                self.free[worker.minion_id].without_deficits()
                for worker in self.trials.untried()
            ),
            Resources(),
        )

    def may_fit(self, step: Step, released: Resources = _NOTHING) -> bool:
        """Return whether all workers together have enough for a step.

        That is, for a gang or one task of another step. Under overload, this
        rules out most waiting steps without a look at each worker.

        Parameters
        ----------
        released : Resources
            Further resources that the step may get.
        """
        total = self._free_total + released
        return total.covers(step.spec.needs * step.start_count)

    def ordered_resources(self, minion_id: str) -> Resources:
        """Return what the runs take up that were ordered in this round."""
        return self._ordered.get(minion_id, _NOTHING)

    def use_of(self, service: str) -> ServiceUse:
        """Return how much of the workers of a service is in use."""
        use = ServiceUse(Resources(), Resources())
        for minion_id, worker in {**self.workers, **self.excluded}.items():
            if worker.report.service == service:
                capacity = worker.report.resources
                use.capacity += capacity
                use.add(capacity - self.free[minion_id])
        return use

    def candidates(self, demand: Demand) -> list[Worker]:
        """Return the workers that the tasks of the step may start on now."""
        refusing = self._refusing_minions(demand.step.spec.needs)
        job_id = demand.step.step_id.job_id
        return [
            worker
            for worker in self.eligible_workers(demand)
            if worker.minion_id not in refusing
            and self.claims.get(worker.minion_id, job_id) == job_id
        ]

    def eligible_workers(self, demand: Demand) -> list[Worker]:
        """Return the workers that the tasks may run on if they have room."""
        workers = list(self.workers.values())
        if demand.ignores_preferences:
            workers.extend(self.excluded.values())
        elif demand.may_try_excluded or demand.uses_idle_room:
            workers.extend(self.trials.untried())
        return [
            worker
            for worker in workers
            if demand.suits(worker)
            and worker.minion_id not in demand.avoided_minions
        ]

    def available(self, worker: Worker, demand: Demand) -> Resources:
        """Return the free resources of a worker without reserved ones.

        A reservation counts if a task of the step, started now, would still
        run when the reservation begins.
        """
        free = self.free[worker.minion_id]
        if demand.uses_idle_room:
            return free
        end_ms = self.now_ms + demand.expected_ms
        for reservation in self.reservations:
            reserved = reservation.resources.get(worker.minion_id)
            if reserved is not None and end_ms > reservation.start_ms:
                free -= reserved
        return free

    def could_run(
        self,
        step: Step,
        service: str,
        avoided_minions: frozenset[str],
    ) -> bool:
        """Return whether a step could run if the workers were empty.

        That is, all members of a gang, or one task of another step. Whether
        they fit on the preferred racks does not matter.
        """
        spec = step.spec
        demand = Demand(
            step,
            service,
            expected_ms=0,
            may_leave_data_rack=True,
            may_span_racks=True,
            avoided_minions=avoided_minions,
        )
        count = len(step.tasks)
        limit = spec.max_per_worker or count
        fitting = sum(
            min(limit, worker.report.resources.fit_count(spec.needs))
            for worker in self.eligible_workers(demand)
        )
        return fitting >= count if spec.is_gang else fitting > 0

    def allocate(self, worker: Worker, needs: Resources) -> None:
        """Take resources of a worker for a run."""
        self.free[worker.minion_id] -= needs
        self._ordered[worker.minion_id] += needs
        if worker.minion_id in self.workers:
            self._free_total -= needs
        self.trials.record_start(worker.minion_id)

    def _refusing_minions(self, needs: Resources) -> set[str]:
        """Return the minions that recently had no room for as much or less."""
        return {
            minion_id
            for minion_id, refused in self.refused_needs.items()
            if any(needs.covers(amount) for amount in refused)
        }


def count_step_tasks(step: Step) -> Counter[str]:
    """Return the number of active tasks of a step by minion."""
    return Counter(task.active.minion_id for task in step.tasks if task.active)
