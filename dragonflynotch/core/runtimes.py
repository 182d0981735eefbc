"""Run times learned from finished runs."""

from collections import deque
from datetime import timedelta
from math import ceil

from dragonflynotch.core.jobs import JobSpec

__all__ = ('RunTimes',)

# Recent runs describe the present inputs better than old ones.
_RUNS_KEPT = 64
# With fewer runs the quantile says little; the declared time counts too.
_RUNS_NEEDED = 5


class RunTimes:
    """Upper quantile of observed run times by workspace and kind.

    Parameters
    ----------
    quantile : float
        Quantile, above 0 and at most 1.
    """

    def __init__(self, quantile: float) -> None:
        """Start without observations."""
        if not 0 < quantile <= 1:
            raise ValueError(f'quantile must be in (0, 1]: {quantile!r}')
        self._quantile = quantile
        self._runs: dict[tuple[str, str], deque[timedelta]] = {}
        self._estimates: dict[tuple[str, str], timedelta] = {}

    def observe(self, spec: JobSpec, run_time: timedelta) -> None:
        """Note the whole run time of a finished job."""
        key = (spec.workspace, spec.kind)
        runs = self._runs.setdefault(key, deque(maxlen=_RUNS_KEPT))
        runs.append(run_time)
        ranked = sorted(runs)
        self._estimates[key] = ranked[ceil(self._quantile * len(runs)) - 1]

    def estimate(self, spec: JobSpec) -> timedelta:
        """Return how long a whole run takes at most, with the quantile."""
        key = (spec.workspace, spec.kind)
        runs = self._runs.get(key)
        if runs is None:
            return spec.declared_run_time
        if len(runs) < _RUNS_NEEDED:
            return max(spec.declared_run_time, *runs)
        return self._estimates[key]
