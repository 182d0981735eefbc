"""Writes the job records of a partition to the table service."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.jobs import Job
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.job_rows import JobRow, encode_row, job_row_key
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    WriteConflict,
    Written,
)

__all__ = ('FlushResult', 'JobRecorder')

# Keeps transactions far below the size limits of table services.
_MAX_BATCH_JOBS = 50

_log = part_logger('entry.job_recorder')

Commit = Callable[
    [Sequence[ConditionalWrite]], Awaitable[Written | WriteConflict]
]


@dataclass(frozen=True, slots=True)
class FlushResult:
    """Result of one flush.

    Parameters
    ----------
    accepted : tuple of str
        Submitted jobs whose first record is committed.
    refused : tuple of str
        Submitted jobs for which certainly nothing was written.
    is_committed : bool
        Whether the whole transaction was committed.
    """

    accepted: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    is_committed: bool = False


@dataclass(slots=True)
class _UnacceptedJob:
    key_write: ConditionalWrite | None
    is_uncertain: bool = False


@dataclass(slots=True)
class _Batch:
    jobs: dict[str, Job]
    writes: list[ConditionalWrite] = field(default_factory=list)


class JobRecorder:
    """Collects job states and writes the latest of each job.

    A submitted job is accepted once its first record is committed.

    Parameters
    ----------
    data_centre : str
        Data centre of the partition.
    commit : callable
        Writes rows while this entry is the owner; see
        ``OwnershipManager.commit``.
    is_own_token : callable
        Returns whether a writer token was issued by this process.
    """

    def __init__(
        self,
        data_centre: str,
        commit: Commit,
        is_own_token: Callable[[str], bool],
    ) -> None:
        """Start without records to write."""
        self._data_centre = data_centre
        self._commit = commit
        self._is_own_token = is_own_token
        self._versions: dict[str, int] = {}
        self._unwritten: dict[str, Job] = {}
        self._unaccepted: dict[str, _UnacceptedJob] = {}
        self._discarded: set[str] = set()
        self._is_failing = False

    @property
    def has_unwritten(self) -> bool:
        """Whether there are records to write."""
        return bool(self._unwritten)

    @property
    def is_failing(self) -> bool:
        """Whether the last commit failed or its outcome was unknown."""
        return self._is_failing

    def load(self, versions: dict[str, int]) -> None:
        """Discard all state; use the row versions read at a takeover."""
        self._versions = dict(versions)
        self._unwritten.clear()
        self._unaccepted.clear()
        self._discarded.clear()

    def is_recorded(self, job_id: str) -> bool:
        """Return whether the latest state of a job is written."""
        return job_id not in self._unwritten

    def is_unaccepted(self, job_id: str) -> bool:
        """Return whether a submitted job is not accepted yet."""
        return job_id in self._unaccepted

    def add_submitted(
        self, job_id: str, key_write: ConditionalWrite | None
    ) -> None:
        """Register a submitted job.

        Its first record is written in one transaction with ``key_write``, the
        row of its idempotency key.
        """
        self._unaccepted[job_id] = _UnacceptedJob(key_write)

    def discard(self, job_id: str) -> None:
        """Drop a job that was not accepted; later states are not written."""
        self._unaccepted.pop(job_id, None)
        self._unwritten.pop(job_id, None)
        self._discarded.add(job_id)

    def enqueue(self, job: Job) -> None:
        """Queue the state of a job for the next flush."""
        if job.job_id not in self._discarded:
            self._unwritten[job.job_id] = job
        elif job.state.is_final:
            self._discarded.discard(job.job_id)

    async def flush(self) -> FlushResult:
        """Write queued records in one transaction.

        Raises
        ------
        NotOwnerError
            If another entry owns the partition.
        """
        batch = self._next_batch()
        try:
            outcome = await self._commit(batch.writes)
        except PlatformUnavailableError:
            return self._handle_not_written(batch)
        except UncertainWriteError as error:
            _log.warning('job records may or may not be written: {}', error)
            self._mark_uncertain(batch)
            return FlushResult()
        self._is_failing = False
        if isinstance(outcome, WriteConflict):
            return self._resolve_conflict(batch, outcome)
        return self._handle_written(batch, outcome)

    def _next_batch(self) -> _Batch:
        jobs = dict(tuple(self._unwritten.items())[:_MAX_BATCH_JOBS])
        batch = _Batch(jobs)
        for job_id, job in jobs.items():
            batch.writes.append(
                ConditionalWrite(
                    self._row_key(job_id),
                    encode_row(JobRow(job=job)),
                    self._versions.get(job_id, ABSENT_VERSION),
                )
            )
            unaccepted = self._unaccepted.get(job_id)
            if unaccepted is not None and unaccepted.key_write is not None:
                batch.writes.append(unaccepted.key_write)
        return batch

    def _handle_written(self, batch: _Batch, outcome: Written) -> FlushResult:
        for job_id, job in batch.jobs.items():
            key = self._row_key(job_id)
            # If the version is missing because the answer was lost, the next
            # write conflicts with this row and returns its version.
            self._versions[job_id] = outcome.versions.get(
                key, self._versions.get(job_id, ABSENT_VERSION)
            )
            if self._unwritten.get(job_id) is job:
                self._unwritten.pop(job_id)
            if job.state.is_final and job_id not in self._unwritten:
                self._versions.pop(job_id, None)
        return FlushResult(self._mark_accepted(batch.jobs), is_committed=True)

    def _mark_accepted(self, jobs: dict[str, Job]) -> tuple[str, ...]:
        return tuple(
            job_id
            for job_id in jobs
            if self._unaccepted.pop(job_id, None) is not None
        )

    def _handle_not_written(self, batch: _Batch) -> FlushResult:
        self._is_failing = True
        refused = tuple(
            job_id
            for job_id in batch.jobs
            if job_id in self._unaccepted
            and not self._unaccepted[job_id].is_uncertain
        )
        # The caller is told that these jobs did not run, so no later flush may
        # write them.
        for job_id in refused:
            self.discard(job_id)
        return FlushResult(refused=refused)

    def _mark_uncertain(self, batch: _Batch) -> None:
        self._is_failing = True
        for job_id in batch.jobs:
            if job_id in self._unaccepted:
                self._unaccepted[job_id].is_uncertain = True

    def _resolve_conflict(
        self, batch: _Batch, conflict: WriteConflict
    ) -> FlushResult:
        """Adopt the versions of the rows that an earlier write left."""
        accepted = []
        refused = []
        for job_id in batch.jobs:
            row = conflict.current_rows.get(self._row_key(job_id))
            if row is not None:
                self._adopt_version(job_id, row)
                if self._unaccepted.pop(job_id, None) is not None:
                    accepted.append(job_id)
            elif self._is_key_used(job_id, conflict):
                self.discard(job_id)
                refused.append(job_id)
        return FlushResult(tuple(accepted), tuple(refused))

    def _adopt_version(self, job_id: str, row: Row) -> None:
        if not self._is_own_token(row.writer_token):
            _log.warning(
                'record of job {} was changed by another process', job_id
            )
        self._versions[job_id] = row.version

    def _is_key_used(self, job_id: str, conflict: WriteConflict) -> bool:
        unaccepted = self._unaccepted.get(job_id)
        if unaccepted is None or unaccepted.key_write is None:
            return False
        return unaccepted.key_write.key in conflict.current_rows

    def _row_key(self, job_id: str) -> str:
        return job_row_key(self._data_centre, job_id)
