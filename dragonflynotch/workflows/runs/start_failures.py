"""Workers on which ordered runs did not start."""

__all__ = ('StartFailures',)

# A failed start counts for this long, unless a later run starts there.
_FAILURE_MS = 10_000


class StartFailures:
    """Workers whose guards rejected orders for a fault of the worker.

    The minion may leave starts unanswered, or the guard may not reach it or the
    store in time. Such a worker has free room and reports it, so a choice by
    room alone orders the same tasks there again for as long as the fault lasts.
    """

    def __init__(self) -> None:
        """Create an instance without any failures."""
        self._failed_ms: dict[str, int] = {}

    def record(self, minion_id: str, now_ms: int) -> None:
        """Record that an ordered run did not start."""
        self._failed_ms[minion_id] = now_ms

    def record_start(self, minion_id: str, ordered_ms: int) -> None:
        """Record that a run has started, which clears earlier failures.

        Runs that were ordered before the failure say nothing about it.

        Parameters
        ----------
        ordered_ms : int
            Store time at which the run was ordered.
        """
        failed_ms = self._failed_ms.get(minion_id)
        if failed_ms is not None and ordered_ms >= failed_ms:
            self._failed_ms.pop(minion_id)

    def recent(self, now_ms: int) -> set[str]:
        """Return the minions on which a run recently did not start."""
        self._failed_ms = {
            minion_id: failed_ms
            for minion_id, failed_ms in self._failed_ms.items()
            if now_ms - failed_ms < _FAILURE_MS
        }
        return set(self._failed_ms)
