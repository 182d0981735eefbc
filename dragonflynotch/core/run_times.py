"""Run-time estimates learned from finished jobs."""

from collections import deque
from datetime import timedelta
from math import ceil

from dragonflynotch.core.jobs import JobSpec

__all__ = ('RunTimes',)

# Only recent runs are kept: they resemble the next run more than old ones do.
_MAX_RUNS = 64
# With fewer runs the quantile is unreliable, so the declared run time counts
# as well.
_MIN_RUNS = 5


class RunTimes:
    """Upper quantile of observed run times by workspace and kind.

    Parameters
    ----------
    quantile : float
        Quantile used as the estimate, above 0 and at most 1.
    """

    def __init__(self, quantile: float) -> None:
        """Start without observations."""
        if not 0 < quantile <= 1:
            raise ValueError(f'quantile must be in (0, 1]: {quantile!r}')
        self._quantile = quantile
        self._runs: dict[tuple[str, str], deque[timedelta]] = {}
        self._estimates: dict[tuple[str, str], timedelta] = {}

    def observe(self, spec: JobSpec, run_time: timedelta) -> None:
        """Record the run time of a finished job, summed over its attempts."""
        key = (spec.workspace, spec.kind)
        runs = self._runs.setdefault(key, deque(maxlen=_MAX_RUNS))
        runs.append(run_time)
        ranked = sorted(runs)
        self._estimates[key] = ranked[ceil(self._quantile * len(runs)) - 1]

    def estimate(self, spec: JobSpec) -> timedelta:
        """Return the estimated total run time of a job.

        This is the quantile of the observed run times. With few observations
        it is the longest of the observed and the declared run times.
        """
        key = (spec.workspace, spec.kind)
        runs = self._runs.get(key)
        if runs is None:
            return spec.declared_run_time
        if len(runs) < _MIN_RUNS:
            return max(spec.declared_run_time, *runs)
        return self._estimates[key]
