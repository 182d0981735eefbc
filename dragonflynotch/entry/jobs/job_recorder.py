"""Writes job records as the owner of the partition."""

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

# Keeps a transaction far below the size limits of table services.
_BATCH_LIMIT = 50

_log = part_logger('entry.job_recorder')

Commit = Callable[
    [Sequence[ConditionalWrite]], Awaitable[Written | WriteConflict]
]


@dataclass(frozen=True, slots=True)
class FlushResult:
    """What one commit did.

    Parameters
    ----------
    accepted : tuple of str
        New jobs whose first record is committed.
    refused : tuple of str
        New jobs of which certainly nothing was written.
    is_done : bool
        Whether the commit succeeded.
    """

    accepted: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    is_done: bool = False


@dataclass(slots=True)
class _NewJob:
    key_write: ConditionalWrite | None
    is_uncertain: bool = False


@dataclass(slots=True)
class _Batch:
    jobs: dict[str, Job]
    writes: list[ConditionalWrite] = field(default_factory=list)


class JobRecorder:
    """Holds the records that are not written yet; the latest state wins.

    Parameters
    ----------
    data_centre : str
        Partition.
    commit : callable
        Writes rows as the owner; see ``OwnershipKeeper.commit``.
    is_own_token : callable
        Whether a writer token is one of this process.
    """

    def __init__(
        self,
        data_centre: str,
        commit: Commit,
        is_own_token: Callable[[str], bool],
    ) -> None:
        """Start without records."""
        self._data_centre = data_centre
        self._commit = commit
        self._is_own_token = is_own_token
        self._versions: dict[str, int] = {}
        self._dirty: dict[str, Job] = {}
        self._new: dict[str, _NewJob] = {}
        self._discarded: set[str] = set()
        self._is_failing = False

    @property
    def is_dirty(self) -> bool:
        """Whether a record waits for its write."""
        return bool(self._dirty)

    @property
    def is_failing(self) -> bool:
        """Whether the last commit failed."""
        return self._is_failing

    def load(self, versions: dict[str, int]) -> None:
        """Start again with the versions of the rows read at a takeover."""
        self._versions = dict(versions)
        self._dirty.clear()
        self._new.clear()
        self._discarded.clear()

    def is_recorded(self, job_id: str) -> bool:
        """Whether the latest state of a job is written."""
        return job_id not in self._dirty

    def is_new(self, job_id: str) -> bool:
        """Whether a job is not accepted yet."""
        return job_id in self._new

    def expect(self, job_id: str, key_write: ConditionalWrite | None) -> None:
        """Write the first record of a job together with ``key_write``."""
        self._new[job_id] = _NewJob(key_write)

    def discard(self, job_id: str) -> None:
        """Write no record of a job that was not accepted."""
        self._new.pop(job_id, None)
        self._dirty.pop(job_id, None)
        self._discarded.add(job_id)

    def put(self, job: Job) -> None:
        """Write the state of a job with the next flush."""
        if job.job_id not in self._discarded:
            self._dirty[job.job_id] = job
        elif job.state.is_final:
            self._discarded.discard(job.job_id)

    async def flush(self) -> FlushResult:
        """Write waiting records in one transaction.

        Raises
        ------
        NotOwnerError
            If another entry owns the partition.
        """
        batch = self._next_batch()
        try:
            outcome = await self._commit(batch.writes)
        except PlatformUnavailableError:
            return self._not_written(batch)
        except UncertainWriteError as error:
            _log.warning('job records may be written: {}', error)
            self._note_uncertainty(batch)
            return FlushResult()
        self._is_failing = False
        if isinstance(outcome, WriteConflict):
            return self._resolve(batch, outcome)
        return self._written(batch, outcome)

    def _next_batch(self) -> _Batch:
        jobs = dict(tuple(self._dirty.items())[:_BATCH_LIMIT])
        batch = _Batch(jobs)
        for job_id, job in jobs.items():
            batch.writes.append(
                ConditionalWrite(
                    self._row_key(job_id),
                    encode_row(JobRow(job=job)),
                    self._versions.get(job_id, ABSENT_VERSION),
                )
            )
            new = self._new.get(job_id)
            if new is not None and new.key_write is not None:
                batch.writes.append(new.key_write)
        return batch

    def _written(self, batch: _Batch, outcome: Written) -> FlushResult:
        for job_id, job in batch.jobs.items():
            key = self._row_key(job_id)
            # Without a version, because the answer was lost, the next write
            # conflicts with the own row and learns it.
            self._versions[job_id] = outcome.versions.get(
                key, self._versions.get(job_id, ABSENT_VERSION)
            )
            if self._dirty.get(job_id) is job:
                self._dirty.pop(job_id)
            if job.state.is_final and job_id not in self._dirty:
                self._versions.pop(job_id, None)
        return FlushResult(self._accept(batch.jobs), is_done=True)

    def _accept(self, jobs: dict[str, Job]) -> tuple[str, ...]:
        return tuple(
            job_id for job_id in jobs if self._new.pop(job_id, None) is not None
        )

    def _not_written(self, batch: _Batch) -> FlushResult:
        self._is_failing = True
        refused = tuple(
            job_id
            for job_id in batch.jobs
            if job_id in self._new and not self._new[job_id].is_uncertain
        )
        # A later flush must not write what the caller is told did not run.
        for job_id in refused:
            self.discard(job_id)
        return FlushResult(refused=refused)

    def _note_uncertainty(self, batch: _Batch) -> None:
        self._is_failing = True
        for job_id in batch.jobs:
            if job_id in self._new:
                self._new[job_id].is_uncertain = True

    def _resolve(self, batch: _Batch, conflict: WriteConflict) -> FlushResult:
        """Take over the versions of rows that an earlier write left."""
        accepted = []
        refused = []
        for job_id in batch.jobs:
            row = conflict.found.get(self._row_key(job_id))
            if row is not None:
                self._adopt(job_id, row)
                if self._new.pop(job_id, None) is not None:
                    accepted.append(job_id)
            elif self._is_key_taken(job_id, conflict):
                self.discard(job_id)
                refused.append(job_id)
        return FlushResult(tuple(accepted), tuple(refused))

    def _adopt(self, job_id: str, row: Row) -> None:
        if not self._is_own_token(row.writer_token):
            _log.warning('record of job {} was changed by others', job_id)
        self._versions[job_id] = row.version

    def _is_key_taken(self, job_id: str, conflict: WriteConflict) -> bool:
        new = self._new.get(job_id)
        if new is None or new.key_write is None:
            return False
        return new.key_write.key in conflict.found

    def _row_key(self, job_id: str) -> str:
        return job_row_key(self._data_centre, job_id)
