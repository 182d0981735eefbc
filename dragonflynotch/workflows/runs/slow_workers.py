"""Workers on which runs have become slow."""

from collections import defaultdict
from collections.abc import Iterator

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.tasks import Task

__all__ = ('SlowWorkers',)

# How long a worker without runs that show its pace counts as slow.
_RETENTION_MS = 60_000
_PERCENT = 100
# A run that has no better pace than this multiple of its estimate does not
# show that its worker is sound.
_MAX_SOUND_FACTOR = 3


class SlowWorkers:
    """Finds slow workers by the paces of their runs.

    A worker is slow once at least half of its runs are slower than before. It
    stays so while no run shows that it is sound, since a run that starts there
    has no earlier pace to compare with.
    """

    def __init__(self, jobs: JobRegistry) -> None:
        """Create an instance that knows of no slow workers."""
        self._jobs = jobs
        # Store time of the last sign, by minion.
        self._slow_ms: dict[str, int] = {}

    def update(self, now_ms: int) -> frozenset[str]:
        """Return the slow minions by what is known now."""
        for minion_id, signs in self._signs().items():
            if sum(signs) * 2 >= len(signs):
                self._slow_ms[minion_id] = now_ms
            else:
                self._slow_ms.pop(minion_id, None)
        self._slow_ms = {
            slow_id: at_ms
            for slow_id, at_ms in self._slow_ms.items()
            if now_ms - at_ms < _RETENTION_MS
        }
        return frozenset(self._slow_ms)

    def _signs(self) -> dict[str, list[bool]]:
        """Return whether each run that shows its pace is slow, by minion."""
        signs: dict[str, list[bool]] = defaultdict(list)
        for step, task in self._running():
            run, pace = task.active, task.pace
            if run is None or pace.best_ms is None or not pace.current_ms:
                continue
            is_slow = pace.slow_since_ms is not None
            max_sound_ms = step.spec.estimated_ms * _MAX_SOUND_FACTOR / _PERCENT
            if is_slow or pace.best_ms < max_sound_ms:
                signs[run.minion_id].append(is_slow)
        return signs

    def _running(self) -> Iterator[tuple[Step, Task]]:
        for job in self._jobs.open_jobs():
            for step in job.steps:
                # A service's percentage tells its state, not its progress.
                if step.has_active_runs and not step.spec.is_long_running:
                    for task in step.tasks:
                        yield step, task
