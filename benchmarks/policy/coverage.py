"""Checks that jobs covered by a guarantee start within its time bound."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Final

from benchmarks.policy.progress import JobProgress
from benchmarks.policy.trace import Site
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.jobs import PriorityClass
from dragonflynotch.core.shapes import Proximity, Shape

__all__ = ('CoverageMonitor',)

URGENT_START_BOUND: Final = timedelta(seconds=1)
# Sum of the checkpoint bound, the stop bound and the task lease that the
# design page states.
GENERAL_START_BOUND: Final = timedelta(seconds=30 + 5 + 20)
_PROXIMITIES_BY_WIDTH: Final = tuple(Proximity)


class _RemainingGuarantee:
    """Part of a guarantee that the running jobs of its workspace leave."""

    def __init__(self, guarantee: Guarantee) -> None:
        self._guarantee = guarantee
        self._remaining_accelerators = guarantee.shape.accelerators

    @property
    def is_urgent(self) -> bool:
        return self._guarantee.is_urgent

    def covers(self, shape: Shape) -> bool:
        width = _PROXIMITIES_BY_WIDTH.index(self._guarantee.shape.proximity)
        is_narrow_enough = width <= _PROXIMITIES_BY_WIDTH.index(shape.proximity)
        return (
            is_narrow_enough
            and shape.accelerators <= self._remaining_accelerators
        )

    def use(self, shape: Shape) -> None:
        self._remaining_accelerators -= shape.accelerators


class CoverageMonitor:
    """Marks the jobs of one data centre whose guarantee is violated."""

    def __init__(self, site: Site) -> None:
        """Start with the guarantees of a data centre and no jobs."""
        self._guarantees = site.guarantees
        self._workspaces = frozenset(
            guarantee.workspace for guarantee in site.guarantees
        )
        self._open_jobs: dict[str, dict[str, JobProgress]] = {
            workspace: {} for workspace in self._workspaces
        }

    def add(self, progress: JobProgress) -> None:
        """Monitor a job until it ends."""
        workspace = progress.job.spec.workspace
        if workspace in self._workspaces:
            self._open_jobs[workspace][progress.job.job_id] = progress

    def update(self, now: datetime, *, is_healthy: bool) -> None:
        """Compare every open job with the guarantees of its workspace.

        Parameters
        ----------
        now : datetime
            Current virtual time.
        is_healthy : bool
            Whether all hardware is usable; otherwise no job is covered.
        """
        for workspace, jobs in self._open_jobs.items():
            ended = tuple(job_id for job_id, job in jobs.items() if job.end)
            for job_id in ended:
                self._end_coverage(jobs.pop(job_id), now)
            self._update_workspace(workspace, jobs.values(), now, is_healthy)

    def _update_workspace(
        self,
        workspace: str,
        jobs: Iterable[JobProgress],
        now: datetime,
        is_healthy: bool,
    ) -> None:
        waiting = []
        holding = []
        for progress in jobs:
            if progress.computing_since is not None:
                self._end_coverage(progress, progress.computing_since)
            elif not progress.members:
                waiting.append(progress)
            if progress.members:
                holding.append(progress)
        if not waiting:
            return
        remaining_guarantees = self._compute_remaining(workspace, holding)
        for progress in waiting:
            bound = _find_bound(progress, remaining_guarantees)
            if bound is None or not is_healthy:
                progress.covered_since = None
                continue
            progress.covered_since = progress.covered_since or now
            progress.bound = bound
            self._check_bound(progress, now)

    def _compute_remaining(
        self, workspace: str, holding: Iterable[JobProgress]
    ) -> list[_RemainingGuarantee]:
        remaining_guarantees = [
            _RemainingGuarantee(guarantee)
            for guarantee in self._guarantees
            if guarantee.workspace == workspace
        ]
        for progress in holding:
            shape = progress.job.spec.shape
            for remaining in remaining_guarantees:
                remaining.use(shape)
        return remaining_guarantees

    def _end_coverage(self, progress: JobProgress, now: datetime) -> None:
        if progress.covered_since is not None:
            self._check_bound(progress, now)
            progress.covered_since = None

    def _check_bound(self, progress: JobProgress, now: datetime) -> None:
        covered_since = progress.covered_since
        if covered_since is None or not progress.job.is_sound:
            return
        if now - covered_since > progress.bound:
            progress.violates_guarantee = True


def _find_bound(
    progress: JobProgress, remaining_guarantees: Iterable[_RemainingGuarantee]
) -> timedelta | None:
    spec = progress.job.spec
    is_urgent = spec.priority is PriorityClass.urgent
    bound: timedelta | None = None
    for remaining in remaining_guarantees:
        if remaining.covers(spec.shape):
            if remaining.is_urgent and is_urgent:
                return URGENT_START_BOUND
            bound = GENERAL_START_BOUND
    return bound
