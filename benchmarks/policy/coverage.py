"""Watches whether jobs within a guarantee start within the stated bound."""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Final

from benchmarks.policy.progress import JobProgress
from benchmarks.policy.trace import Site
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.jobs import PriorityClass
from dragonflynotch.core.shapes import Proximity, Shape

__all__ = ('CoverageWatch',)

URGENT_BOUND: Final = timedelta(seconds=1)
# Checkpoint bound, stop bound and task lease of the design page.
GENERAL_BOUND: Final = timedelta(seconds=30 + 5 + 20)
_WIDTHS: Final = tuple(Proximity)


class _Remainder:
    """What the running jobs of a workspace leave of one guarantee."""

    def __init__(self, guarantee: Guarantee) -> None:
        self._guarantee = guarantee
        self._accelerators = guarantee.shape.accelerators

    @property
    def is_urgent(self) -> bool:
        return self._guarantee.is_urgent

    def covers(self, shape: Shape) -> bool:
        width = _WIDTHS.index(self._guarantee.shape.proximity)
        is_narrow = width <= _WIDTHS.index(shape.proximity)
        return is_narrow and shape.accelerators <= self._accelerators

    def use(self, shape: Shape) -> None:
        self._accelerators -= shape.accelerators


class CoverageWatch:
    """Marks the jobs of one data centre whose guarantee was violated."""

    def __init__(self, site: Site) -> None:
        """Start without jobs."""
        self._guarantees = site.guarantees
        self._workspaces = frozenset(
            guarantee.workspace for guarantee in site.guarantees
        )
        self._open: dict[str, dict[str, JobProgress]] = {
            name: {} for name in self._workspaces
        }

    def add(self, progress: JobProgress) -> None:
        """Watch an accepted job until it ends."""
        workspace = progress.job.spec.workspace
        if workspace in self._workspaces:
            self._open[workspace][progress.job.job_id] = progress

    def update(self, now: datetime, *, is_healthy: bool) -> None:
        """Compare every open job with the guarantees of its workspace.

        Parameters
        ----------
        now : datetime
            Time of the present state.
        is_healthy : bool
            Whether all hardware is usable; coverage lapses otherwise.
        """
        for workspace, jobs in self._open.items():
            ended = tuple(name for name, job in jobs.items() if job.end)
            for name in ended:
                self._close(jobs.pop(name), now)
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
                self._close(progress, progress.computing_since)
            elif not progress.members:
                waiting.append(progress)
            if progress.members:
                holding.append(progress)
        if not waiting:
            return
        remainders = self._remainders(workspace, holding)
        for progress in waiting:
            bound = _find_bound(progress, remainders)
            if bound is None or not is_healthy:
                progress.covered_since = None
                continue
            progress.covered_since = progress.covered_since or now
            progress.bound = bound
            self._judge(progress, now)

    def _remainders(
        self, workspace: str, holding: Iterable[JobProgress]
    ) -> list[_Remainder]:
        remainders = [
            _Remainder(guarantee)
            for guarantee in self._guarantees
            if guarantee.workspace == workspace
        ]
        for progress in holding:
            shape = progress.job.spec.shape
            for part in remainders:
                part.use(shape)
        return remainders

    def _close(self, progress: JobProgress, now: datetime) -> None:
        if progress.covered_since is not None:
            self._judge(progress, now)
            progress.covered_since = None

    def _judge(self, progress: JobProgress, now: datetime) -> None:
        covered_since = progress.covered_since
        if covered_since is None or not progress.job.is_sound:
            return
        if now - covered_since > progress.bound:
            progress.violates_guarantee = True


def _find_bound(
    progress: JobProgress, remainders: Iterable[_Remainder]
) -> timedelta | None:
    spec = progress.job.spec
    is_urgent = spec.priority is PriorityClass.urgent
    bound: timedelta | None = None
    for part in remainders:
        if part.covers(spec.shape):
            if part.is_urgent and is_urgent:
                return URGENT_BOUND
            bound = GENERAL_BOUND
    return bound
