"""Writes the decisions of scheduling rounds under the lease."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.row_cleanup import (
    delete_cancellation,
    delete_submission,
)
from dragonflynotch.control.rows import (
    PROGRESS,
    SCHEDULER_PART,
    RowName,
    RowStore,
    RowWrite,
    order_row,
)
from dragonflynotch.control.transactions import cut_transactions
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import shorten
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.jobs import parse_task_id
from dragonflynotch.workflows.records import encode_row
from dragonflynotch.workflows.scheduler import Decisions
from dragonflynotch.workflows.waiting_counts import WaitingCounts

__all__ = ('DecisionWriter', 'RefusedJob')


@dataclass(frozen=True, slots=True)
class RefusedJob:
    """A job of which the store refuses a row for good.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    row : str
        Key of the longest row that was not written.
    row_bytes : int
        Length of its content.
    reason : str
        Error of the store.
    """

    job_id: str
    row: str
    row_bytes: int
    reason: str


@dataclass(frozen=True, slots=True)
class _JobWrite:
    """A write with the job that it belongs to."""

    job_id: str
    write: RowWrite


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
        self, decisions: Decisions, counts: WaitingCounts | None
    ) -> list[RefusedJob]:
        """Write the progress of jobs before the orders that result from it.

        The rows of expired jobs are deleted last, so that orders don't wait
        for it.

        Parameters
        ----------
        counts : WaitingCounts or None
            Waiting jobs; ``None`` if they could not be counted anew.

        Returns
        -------
        list of RefusedJob
            Jobs of which rows were refused; those of all others are written.

        Raises
        ------
        LeaseLostError
            If another node holds the lease.
        """
        started_ms = self._clock.now_ms()
        refused = await self._commit(_job_writes(decisions), counts)
        self._duration_ms = self._written_ms - started_ms
        if decisions.expired_jobs:
            deletions = await self._delete_submissions(decisions)
            refused.extend(await self._commit(deletions, counts))
        await asyncio.gather(
            *(
                delete_cancellation(self._store, cancellation)
                for cancellation in decisions.expired_cancellations
            )
        )
        return refused

    async def _commit(
        self, job_writes: list[_JobWrite], counts: WaitingCounts | None
    ) -> list[RefusedJob]:
        refused: list[RefusedJob] = []
        for transaction in self._cut(job_writes):
            refused.extend(await self._commit_transaction(transaction, counts))
        self._written_ms = self._clock.now_ms()
        return refused

    def _cut(self, job_writes: list[_JobWrite]) -> Iterable[list[_JobWrite]]:
        if not job_writes:
            # Renews the lease.
            return [[]]
        transactions = cut_transactions(
            [job_write.write for job_write in job_writes],
            self._store.limits,
            self._leadership.lease_write,
        )
        remaining = iter(job_writes)
        return [
            [next(remaining) for _ in transaction]
            for transaction in transactions
        ]

    async def _commit_transaction(
        self, transaction: list[_JobWrite], counts: WaitingCounts | None
    ) -> list[RefusedJob]:
        """Commit writes, those of each job on its own if they are refused."""
        try:
            await self._leadership.commit(
                [job_write.write for job_write in transaction],
                [],
                counts,
            )
        except InvalidInputError as error:
            jobs = _by_job(transaction)
            if not jobs:
                raise
            if len(jobs) == 1:
                # A store that refuses each write says nothing about the job.
                await self._leadership.commit([], [], counts)
                return [_refuse(transaction, error)]
            refused: list[RefusedJob] = []
            for job_writes in jobs:
                refused.extend(
                    await self._commit_transaction(job_writes, counts)
                )
            return refused
        return []

    async def _delete_submissions(
        self, decisions: Decisions
    ) -> list[_JobWrite]:
        """Delete the submissions of jobs; return what to delete after it.

        A submission without progress would run again, so the progress rows are
        deleted only after the submission.
        """
        job_ids = decisions.expired_jobs
        are_deleted = await asyncio.gather(
            *(delete_submission(self._store, job_id) for job_id in job_ids)
        )
        return [
            _JobWrite(job_id, RowWrite(_progress_row(key), None))
            for job_id, is_deleted in zip(job_ids, are_deleted, strict=True)
            if is_deleted
            for key in decisions.expired_rows.get(job_id, [job_id])
        ]


def _job_writes(decisions: Decisions) -> list[_JobWrite]:
    writes = [
        _JobWrite(
            key.partition('/')[0], RowWrite(_progress_row(key), encode_row(row))
        )
        for key, row in decisions.progress.items()
    ]
    writes.extend(
        _JobWrite(
            _job_of(task),
            RowWrite(
                order_row(minion_id, task),
                None if order is None else encode_row(order),
            ),
        )
        for (minion_id, task), order in decisions.orders.items()
    )
    return writes


def _by_job(transaction: list[_JobWrite]) -> list[list[_JobWrite]]:
    """Return the writes of each job, in their order."""
    ordered = sorted(transaction, key=lambda job_write: job_write.job_id)
    return [
        list(writes)
        for _, writes in groupby(
            ordered, key=lambda job_write: job_write.job_id
        )
    ]


def _refuse(
    transaction: list[_JobWrite], error: InvalidInputError
) -> RefusedJob:
    longest = max(
        transaction, key=lambda job_write: len(job_write.write.content or b'')
    )
    refused = RefusedJob(
        longest.job_id,
        longest.write.name.key,
        len(longest.write.content or b''),
        shorten(str(error)),
    )
    decision_log.record(
        'job_write_refused',
        job=refused.job_id,
        row=refused.row,
        row_bytes=refused.row_bytes,
        rows=len(transaction),
        reason=refused.reason,
    )
    return refused


def _job_of(task: str) -> str:
    task_id = parse_task_id(task)
    return task if task_id is None else task_id.job_id


def _progress_row(key: str) -> RowName:
    return RowName(PROGRESS.name, SCHEDULER_PART, key)
