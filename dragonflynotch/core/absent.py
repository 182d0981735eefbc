"""Workers that were lost a short time ago and may come back."""

from datetime import datetime, timedelta

from dragonflynotch.core.topology import Worker

__all__ = ('AbsentWorkers',)

# A lost worker, rack or data centre is usually back or replaced within hours.
_KEPT = timedelta(hours=24)


class AbsentWorkers:
    """Workers that left the inventory within the last day."""

    def __init__(self) -> None:
        """Start with none."""
        self._left_at: dict[str, tuple[datetime, Worker]] = {}

    def add(self, worker: Worker, now: datetime) -> None:
        """Remember a worker that left; forget those that left long ago."""
        self.discard(worker.worker_id)
        self._left_at[worker.worker_id] = (now, worker)
        for name, (left_at, _) in tuple(self._left_at.items()):
            if now - left_at <= _KEPT:
                break
            self._left_at.pop(name)

    def discard(self, worker_id: str) -> None:
        """Forget a worker that came back."""
        self._left_at.pop(worker_id, None)

    def recent(self, now: datetime) -> tuple[Worker, ...]:
        """Return the workers that left within the last day."""
        return tuple(
            worker
            for left_at, worker in self._left_at.values()
            if now - left_at <= _KEPT
        )
