"""Writes the decisions of scheduling rounds under the lease."""

import asyncio

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
from dragonflynotch.control.transactions import cut_transactions
from dragonflynotch.workflows.records import encode_row
from dragonflynotch.workflows.scheduler import Decisions

__all__ = ('DecisionWriter',)


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

        The rows of expired jobs are deleted last, so that orders don't wait
        for it.

        Raises
        ------
        LeaseLostError
            If another node holds the lease.
        """
        started_ms = self._clock.now_ms()
        await self._commit(_row_writes(decisions), waiting_by_queue)
        self._duration_ms = self._written_ms - started_ms
        if decisions.expired_jobs:
            deletions = await self._delete_submissions(decisions.expired_jobs)
            await self._commit(deletions, waiting_by_queue)

    async def _commit(
        self, writes: list[RowWrite], waiting_by_queue: dict[str, int]
    ) -> None:
        transactions = cut_transactions(
            writes, self._store.limits, self._leadership.lease_write
        )
        # Without writes, the lease is renewed.
        for transaction in list(transactions) or [[]]:
            await self._leadership.commit(transaction, [], waiting_by_queue)
        self._written_ms = self._clock.now_ms()

    async def _delete_submissions(self, job_ids: list[str]) -> list[RowWrite]:
        """Delete the submissions of jobs; return what to delete after it.

        A submission without progress would run again, so the progress row is
        deleted only after the submission.
        """
        are_deleted = await asyncio.gather(
            *(delete_submission(self._store, job_id) for job_id in job_ids)
        )
        return [
            RowWrite(_progress_row(job_id), None)
            for job_id, is_deleted in zip(job_ids, are_deleted, strict=True)
            if is_deleted
        ]


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
