"""Workers that were lost recently and may return."""

from datetime import datetime, timedelta

from dragonflynotch.core.topology import Worker

__all__ = ('RecentlyLostWorkers',)

# A lost worker, rack or data centre is usually back or replaced within hours.
_RETENTION = timedelta(hours=24)


class RecentlyLostWorkers:
    """Workers removed from the inventory within the retention period."""

    def __init__(self) -> None:
        """Create an empty set of workers."""
        self._removed: dict[str, tuple[datetime, Worker]] = {}

    def add(self, worker: Worker, now: datetime) -> None:
        """Add a removed worker; drop those past the retention period."""
        self.discard(worker.worker_id)
        self._removed[worker.worker_id] = (now, worker)
        for worker_id, (removed_at, _) in tuple(self._removed.items()):
            if now - removed_at <= _RETENTION:
                break
            self._removed.pop(worker_id)

    def discard(self, worker_id: str) -> None:
        """Drop a worker that has returned."""
        self._removed.pop(worker_id, None)

    def recent(self, now: datetime) -> tuple[Worker, ...]:
        """Return the workers removed within the retention period."""
        return tuple(
            worker
            for removed_at, worker in self._removed.values()
            if now - removed_at <= _RETENTION
        )
