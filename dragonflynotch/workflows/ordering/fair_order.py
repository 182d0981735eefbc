"""Order of waiting steps by urgency, and by share where workspaces compete.

Answers lasting overload by one workspace. Where less is waiting than there is
room, or only one workspace waits, the order is by urgency alone.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.ordering.shares import (
    RecentUsage,
    WorkspaceShare,
    compute_shares,
)
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.resources import Resources

__all__ = ('FairOrder', 'find_contended_services', 'total_resources')

# Minimum time between two log entries about the shares.
_LOG_INTERVAL_MS = 5000


def find_contended_services(
    waiting: Sequence[tuple[str, WaitingStep]], pool: WorkerPool
) -> set[str]:
    """Return the services for whose workers several workspaces compete.

    Parameters
    ----------
    waiting : sequence
        Service of each waiting step, and the step.
    """
    needs: defaultdict[str, Resources] = defaultdict(Resources)
    workspaces: defaultdict[str, set[str]] = defaultdict(set)
    for name, entry in waiting:
        needs[name] += _waiting_needs(entry)
        workspaces[name].add(entry.job.spec.workspace)
    room: defaultdict[str, Resources] = defaultdict(Resources)
    for minion_id, worker in pool.workers.items():
        room[worker.report.service] += pool.free[minion_id].without_deficits()
    return {
        service
        for service, names in workspaces.items()
        if len(names) > 1 and not room[service].covers(needs[service])
    }


class FairOrder:
    """Sorts waiting steps, and records the shares of the workspaces.

    Parameters
    ----------
    usage : RecentUsage
        What the workspaces hold and held.
    weight : callable
        Returns the weight of a workspace.
    """

    def __init__(
        self,
        usage: RecentUsage,
        weight: Callable[[str], float],
        decision_log: DecisionLogBuffer,
    ) -> None:
        """Create an order that adds its entries to ``decision_log``."""
        self._usage = usage
        self._weight = weight
        self._decision_log = decision_log
        self._logged_ms: int | None = None
        self.shares: dict[str, WorkspaceShare] = {}

    def sort(
        self, waiting: Sequence[tuple[str, WaitingStep]], pool: WorkerPool
    ) -> list[WaitingStep]:
        """Return the waiting steps, the first to be placed first."""
        ordered = sorted(waiting, key=lambda pair: pair[1].urgency)
        self.shares = compute_shares(
            self._usage,
            {entry.job.spec.workspace for _, entry in ordered},
            self._weight,
        )
        contended = find_contended_services(ordered, pool)
        if not contended:
            return [entry for _, entry in ordered]
        self._record(pool.now_ms, contended)
        ranked = [
            self._with_level(step) if name in contended else step
            for name, step in ordered
        ]
        ranked.sort(key=lambda step: step.urgency)
        return ranked

    def _with_level(self, entry: WaitingStep) -> WaitingStep:
        level = self.shares[entry.job.spec.workspace].level
        if not level or not entry.urgency.has_share_level:
            return entry
        return replace(entry, urgency=replace(entry.urgency, share_level=level))

    def _record(self, now_ms: int, contended: set[str]) -> None:
        if (
            self._logged_ms is not None
            and now_ms - self._logged_ms < _LOG_INTERVAL_MS
        ):
            return
        self._logged_ms = now_ms
        self._decision_log.record(
            'workspaces_compete',
            services=sorted(contended),
            shares={
                name: [
                    round(part, 3)
                    for part in (share.current, share.recent, share.entitled)
                ]
                for name, share in sorted(self.shares.items())
            },
        )


def total_resources(pool: WorkerPool) -> Resources:
    """Return the resources of all workers."""
    return sum(
        (worker.report.resources for worker in pool.workers.values()),
        Resources(),
    )


def _waiting_needs(entry: WaitingStep) -> Resources:
    return entry.step.spec.needs * len(entry.step.waiting_tasks)
