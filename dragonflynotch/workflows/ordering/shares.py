"""Weighted dominant-resource shares of workspaces, now and lately.

Answers a workspace that floods the queues with small jobs. By work left alone,
these come before all wider jobs of the other workspaces, which starve while the
flood lasts. Usage is what runs hold, since callers' estimates of run times are
far off.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from dragonflynotch.workflows.resources import Resources

__all__ = ('RecentUsage', 'WorkspaceShare', 'compute_shares')

# The runs of a workspace count half after this time, which is about the run
# time of normal jobs: a workspace that has just been served stays behind the
# others for about one run.
_HALF_LIFE_MS = 15_000
# Shares below this are left out of what is kept.
_MIN_SHARE = 0.001
# Most workspaces whose usage is stored, those with the largest first.
_MAX_STORED = 100
# Each level is a share this many times as large as the one before, so that
# small differences in usage do not overturn the order by work left.
_LEVEL_RATIO = 2


@dataclass(frozen=True, slots=True)
class WorkspaceShare:
    """Share of a workspace in the resources of all workers.

    Parameters
    ----------
    current : float
        Dominant share of its active runs, 1 for all workers.
    recent : float
        Mean of the current share, weighted by age.
    entitled : float
        Share by weight among the workspaces that run or wait, at least an
        equal one.
    """

    current: float
    recent: float
    entitled: float

    @property
    def relative(self) -> float:
        """Usage as a multiple of the share by weight."""
        return (self.current + self.recent) / 2 / self.entitled

    @property
    def level(self) -> int:
        """Place in the order; 0 is up to twice the share by weight."""
        if self.relative <= _LEVEL_RATIO:
            return 0
        return math.ceil(math.log(self.relative, _LEVEL_RATIO)) - 1


class RecentUsage:
    """Dominant shares that workspaces held, with exponential decay."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._current: dict[str, float] = {}
        self._recent: dict[str, float] = {}
        self._updated_ms: int | None = None

    @property
    def current(self) -> Mapping[str, float]:
        """Shares by workspace at the last update."""
        return self._current

    @property
    def recent(self) -> Mapping[str, float]:
        """Decayed means of the shares by workspace at the last update."""
        return self._recent

    def update(
        self,
        held: Iterable[tuple[str, Resources]],
        total: Resources,
        now_ms: int,
    ) -> None:
        """Replace the current shares and add them to the recent ones.

        Parameters
        ----------
        held : iterable
            Workspace and resources of each active run.
        total : Resources
            Resources of all workers.
        """
        held_by_workspace: defaultdict[str, Resources] = defaultdict(Resources)
        for name, needs in held:
            held_by_workspace[name] += needs
        self._current = {
            # Runs on workers that are not ready count, but not their room.
            workspace: min(1, resources.dominant_share_of(total))
            for workspace, resources in held_by_workspace.items()
        }
        self._decay(now_ms)

    def restore(self, recent: Mapping[str, float], stored_ms: int) -> None:
        """Continue from stored shares; what was held since counts for none."""
        self._recent = dict(recent)
        self._updated_ms = stored_ms

    def largest(self) -> dict[str, float]:
        """Return the recent shares to store, a bounded number of them."""
        ranked = sorted(
            self._recent.items(), key=lambda entry: entry[1], reverse=True
        )
        return {
            workspace: round(share, 4)
            for workspace, share in ranked[:_MAX_STORED]
        }

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = 0
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
        kept = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
        shares = {
            workspace: self._recent.get(workspace, 0) * kept
            + self._current.get(workspace, 0) * (1 - kept)
            for workspace in self._recent.keys() | self._current.keys()
        }
        self._recent = {
            workspace: share
            for workspace, share in shares.items()
            if share >= _MIN_SHARE
        }
        self._updated_ms = now_ms


def compute_shares(
    usage: RecentUsage,
    waiting: Iterable[str],
    weight: Callable[[str], float],
) -> dict[str, WorkspaceShare]:
    """Return the share of each workspace that runs or waits.

    Parameters
    ----------
    waiting : iterable of str
        Workspaces that wait.
    weight : callable
        Returns the weight of a workspace; at least one is used.
    """
    names = usage.current.keys() | set(waiting)
    weights = {name: max(1, weight(name)) for name in names}
    weight_sum = sum(weights.values())
    return {
        name: WorkspaceShare(
            usage.current.get(name, 0),
            usage.recent.get(name, 0),
            # Demand without a guarantee is far above one accelerator, so that
            # all of it would have the same high level by weight alone.
            max(weights[name] / weight_sum, 1 / len(names)),
        )
        for name in names
    }
