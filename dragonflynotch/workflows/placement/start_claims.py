"""Workers that are kept free of other starts for a job that starts apart.

Load: a task is suspected of having crashed a minion, or waits for a worker
without suspected tasks, while runs start on each worker all the time. Without a
claim no worker would ever be free of recent starts.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dragonflynotch.workflows.placement.best_fit import avoided_starts
from dragonflynotch.workflows.placement.recent_starts import must_start_apart
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.tasks import Task

__all__ = ('CLAIM_DELAY_MS', 'StartClaims')

# A job that has had nothing at work for this long claims workers.
CLAIM_DELAY_MS = 1000
# A claim lasts for this long at most: starts are recent for 1.3 s.
_MAX_CLAIM_MS = 3000
# Largest share of the workers that is claimed at a time, one at least.
_MAX_CLAIMED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class _Claim:
    minions: tuple[str, ...]
    # Store time of the first claim of the job since it last ran.
    since_ms: int


class StartClaims:
    """Claims of jobs on workers, kept for a limited time until the job runs."""

    def __init__(self) -> None:
        """Create an instance without claims."""
        self._claims: dict[str, _Claim] = {}

    @property
    def are_active(self) -> bool:
        """Whether a job had claims in the last round.

        They apply once more when no start is recent any longer: otherwise the
        next suspected task would start first and keep the job away again.
        """
        return bool(self._claims)

    def update(self, pool: WorkerPool, demands: Iterable[Demand]) -> None:
        """Renew the claims and pass them to the pool.

        Parameters
        ----------
        demands : iterable of Demand
            Requirements of steps that have waited for long enough, the first
            one first.
        """
        kept: dict[str, _Claim] = {}
        for demand in demands:
            job_id = demand.step.step_id.job_id
            if job_id in kept:
                continue
            claim = self._renew(pool, demand)
            if claim is None:
                continue
            kept[job_id] = claim
            if pool.now_ms - claim.since_ms < _MAX_CLAIM_MS:
                pool.claims.update(dict.fromkeys(claim.minions, job_id))
        self._claims = kept

    def _renew(self, pool: WorkerPool, demand: Demand) -> _Claim | None:
        known = self._claims.get(demand.step.step_id.job_id)
        minions = self._find(pool, demand, known.minions if known else ())
        if known is not None:
            return _Claim(minions, known.since_ms)
        return _Claim(minions, pool.now_ms) if minions else None

    def _find(
        self, pool: WorkerPool, demand: Demand, known: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the minions to claim; none if the step need not wait."""
        room = _fit_counts(pool, demand)
        wanted = demand.step.start_count
        if known and _total(room, known) >= wanted:
            return known
        tasks = _starting_tasks(demand)
        kept_apart = avoided_starts(pool, demand, tasks)
        if not must_start_apart(tasks, pool.now_ms) and (
            _total(room, room.keys() - kept_apart) >= wanted
        ):
            return ()
        by_preference = sorted(
            (minion_id in kept_apart, -count, minion_id)
            for minion_id, count in room.items()
        )
        return _choose(
            pool, room, [entry[-1] for entry in by_preference], wanted
        )


def _choose(
    pool: WorkerPool,
    room: Mapping[str, int],
    candidates: Iterable[str],
    wanted: int,
) -> tuple[str, ...]:
    """Return the first candidates that have room enough, or none."""
    most = max(1, int(len(pool.workers) * _MAX_CLAIMED_SHARE))
    chosen: list[str] = []
    for minion_id in candidates:
        if len(pool.claims) + len(chosen) >= most:
            return ()
        chosen.append(minion_id)
        if _total(room, chosen) >= wanted:
            return tuple(chosen)
    return ()


def _fit_counts(pool: WorkerPool, demand: Demand) -> dict[str, int]:
    """Return how many tasks fit now, by minion, whatever started there."""
    step = demand.step
    limit = step.spec.max_per_worker or len(step.tasks)
    by_minion = count_step_tasks(step)
    counts = {
        worker.minion_id: min(
            limit - by_minion[worker.minion_id],
            pool.free[worker.minion_id].fit_count(step.spec.needs),
        )
        for worker in pool.candidates(demand)
    }
    return {
        minion_id: count for minion_id, count in counts.items() if count > 0
    }


def _starting_tasks(demand: Demand) -> list[Task]:
    step = demand.step
    return step.tasks if step.spec.is_gang else step.waiting_tasks[:1]


def _total(room: Mapping[str, int], minion_ids: Iterable[str]) -> int:
    return sum(room.get(minion_id, 0) for minion_id in minion_ids)
