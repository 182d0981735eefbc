"""Writes the decisions of scheduling rounds under the lease."""

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.row_cleanup import delete_submission
from dragonflynotch.control.rows import (
    PROGRESS,
    SCHEDULER_PART,
    RowName,
    RowStore,
    RowWrite,
    order_row,
)
from dragonflynotch.workflows.records import encode_row
from dragonflynotch.workflows.scheduler import Decisions

__all__ = ('DecisionWriter',)

# Leaves room in a transaction for conditions and the lease row.
_MAX_ROWS_PER_WRITE = 90


class DecisionWriter:
    """Writes decisions, and the lease row with each of them.

    Parameters
    ----------
    store : RowStore
        Store of the rows.
    leadership : Leadership
        Scheduling lease, held by this node.
    clock : SteadyClock
        Measures how long a write takes.
    """

    def __init__(
        self, store: RowStore, leadership: Leadership, clock: SteadyClock
    ) -> None:
        """Create a writer; the lease counts as written now."""
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._written_ms = clock.now_ms()
        self._duration_ms = 0

    @property
    def written_ms(self) -> int:
        """Local time of the last write, in milliseconds."""
        return self._written_ms

    @property
    def duration_ms(self) -> int:
        """How long the last write took, in milliseconds."""
        return self._duration_ms

    async def write(
        self, decisions: Decisions, waiting_by_queue: dict[str, int]
    ) -> None:
        """Write the progress of jobs before the orders that result from it.

        Raises
        ------
        LeaseLostError
            If another node holds the lease.
        """
        writes = _row_writes(decisions)
        for job_id in decisions.expired_jobs:
            # A submission without progress would run again, so the progress
            # row is deleted only after the submission.
            if await delete_submission(self._store, job_id):
                writes.append(RowWrite(_progress_row(job_id), None))
        started_ms = self._clock.now_ms()
        for start in range(0, max(1, len(writes)), _MAX_ROWS_PER_WRITE):
            await self._leadership.commit(
                writes[start : start + _MAX_ROWS_PER_WRITE],
                [],
                waiting_by_queue,
            )
        self._written_ms = self._clock.now_ms()
        self._duration_ms = self._written_ms - started_ms


def _row_writes(decisions: Decisions) -> list[RowWrite]:
    writes = [
        RowWrite(_progress_row(job_id), encode_row(row))
        for job_id, row in decisions.progress.items()
    ]
    writes.extend(
        RowWrite(
            order_row(minion_id, task),
            None if order is None else encode_row(order),
        )
        for (minion_id, task), order in decisions.orders.items()
    )
    return writes


def _progress_row(job_id: str) -> RowName:
    return RowName(PROGRESS.name, SCHEDULER_PART, job_id)
