"""Job service for the partition that this entry owns."""

import asyncio
import hashlib
import uuid
from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.jobs.job_service import (
    HTTP_ACCEPTED,
    HTTP_OK,
    JobAnswer,
    JobCommand,
    JobMethod,
    JobService,
    problem_answer,
    refusal_answer,
)
from dragonflynotch.entry.partition.owner_inputs import (
    Cancellation,
    CancelResult,
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    Submission,
    SubmissionResult,
)
from dragonflynotch.entry.partition.partition_owner import PartitionOwner
from dragonflynotch.records.job_rows import (
    IdempotencyKeyRow,
    decode_idempotency_key_row,
    decode_job_row,
    encode_row,
    idempotency_key_row_key,
    job_row_key,
    job_rows_prefix,
)
from dragonflynotch.records.jobs import JobStatusBody, parse_job_body
from dragonflynotch.services.readable_rows import require_readable
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    TableService,
)

__all__ = ('LocalJobService',)

_HTTP_BAD_REQUEST = 400
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_UNAVAILABLE = 503
_RETRY_AFTER = timedelta(seconds=5)
_MAX_KEY_LENGTH = 200
# Long enough to find out the outcome of an uncertain write, unless the table
# service is down.
_RECORD_TIMEOUT_S = 5


class LocalJobService(JobService):
    """Answers job calls from the partition in this process.

    Parameters
    ----------
    data_centre : str
        Data centre of the partition.
    owner : PartitionOwner
        Scheduler of the partition.
    table : TableService
        Stores the records of ended jobs and the idempotency keys.
    clock : Clock
        Clock of the entry.
    view : callable
        Returns the current configuration.
    """

    def __init__(
        self,
        data_centre: str,
        owner: PartitionOwner,
        table: TableService,
        clock: Clock,
        view: Callable[[], ConfigurationView],
    ) -> None:
        """Create the service without submissions in flight."""
        self._view = view
        self._data_centre = data_centre
        self._owner = owner
        self._table = table
        self._clock = clock
        self._submissions_in_flight: dict[
            tuple[str, str], asyncio.Future[None]
        ] = {}

    async def call(self, command: JobCommand) -> JobAnswer:
        """Return the answer to a call; invalid input gives a problem answer."""
        if not self._owner.is_owner:
            return refusal_answer(
                JobRefused(
                    'not_owner',
                    'this entry does not own the partition',
                    _RETRY_AFTER,
                )
            )
        try:
            return await self._answer(command)
        except InvalidInputError as error:
            return problem_answer(
                _HTTP_BAD_REQUEST,
                'malformed',
                str(error),
                invalid=error,
                step='check job',
            )
        except PlatformUnavailableError as error:
            return problem_answer(
                _HTTP_UNAVAILABLE,
                'table_unavailable',
                str(error),
                retry_after=_RETRY_AFTER,
                step=error.step,
                peer=error.peer,
            )

    async def _answer(self, command: JobCommand) -> JobAnswer:
        match command.method:
            case JobMethod.submit:
                return await self._submit(command)
            case JobMethod.list_all:
                return await self._list(command.workspace)
            case JobMethod.show:
                return await self._show(command.workspace, command.job_id)
            case JobMethod.cancel:
                return await self._cancel(command.workspace, command.job_id)

    async def _submit(self, command: JobCommand) -> JobAnswer:
        key = command.idempotency_key
        if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
            raise InvalidInputError(
                'Idempotency-Key',
                key,
                f'at most {_MAX_KEY_LENGTH} printable characters',
            )
        # Submissions with the same key run one after another, so that only one
        # of them finds the key unused.
        submission_key = (command.workspace, key or uuid.uuid4().hex)
        while submission_key in self._submissions_in_flight:
            await asyncio.wait((self._submissions_in_flight[submission_key],))
        finished: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._submissions_in_flight[submission_key] = finished
        try:
            return await self._submit_once(command, key)
        finally:
            self._submissions_in_flight.pop(submission_key)
            finished.set_result(None)

    async def _submit_once(self, command: JobCommand, key: str) -> JobAnswer:
        spec = parse_job_body(command.body).spec(command.workspace)
        digest = hashlib.sha256(command.body).hexdigest()
        row_key = idempotency_key_row_key(command.workspace, key)
        if key:
            row = await self._table.read(row_key)
            if row is not None:
                return await self._answer_repeated(
                    require_readable(row, decode_idempotency_key_row), digest
                )
        refusal = self._check_admission(command.workspace)
        if refusal is not None:
            return refusal_answer(refusal)
        job = Job(uuid.uuid4().hex, spec, self._clock.now())
        key_row = IdempotencyKeyRow(
            job_id=job.job_id, data_centre=self._data_centre, body_digest=digest
        )
        write = ConditionalWrite(row_key, encode_row(key_row), ABSENT_VERSION)
        future: asyncio.Future[SubmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._owner.post(Submission(job, write if key else None, future))
        result = await _wait_for_result(future)
        if isinstance(result, JobAccepted):
            current = self._owner.find(job.job_id) or job
            return self._status_answer(HTTP_ACCEPTED, current)
        return refusal_answer(result)

    def _check_admission(self, workspace: str) -> JobRefused | None:
        if not self._owner.is_worker_discovery_over:
            return JobRefused(
                'starting',
                'the workers of the partition are not known yet',
                _RETRY_AFTER,
            )
        spec = self._view().workspaces.get(workspace)
        if spec is None:
            return None
        if self._owner.count_waiting(workspace) < spec.max_waiting_jobs:
            return None
        return JobRefused(
            'too_many_waiting_jobs',
            f'{spec.max_waiting_jobs} jobs of the workspace are waiting',
            _RETRY_AFTER,
        )

    async def _answer_repeated(
        self, key_row: IdempotencyKeyRow, digest: str
    ) -> JobAnswer:
        if key_row.body_digest != digest:
            return problem_answer(
                _HTTP_CONFLICT,
                'key_reused',
                f'the key was used for job {key_row.job_id} with another body',
            )
        job = await self._find(key_row.job_id, key_row.data_centre)
        if job is None:
            return _unknown_job(key_row.job_id)
        return self._status_answer(HTTP_ACCEPTED, job)

    async def _show(self, workspace: str, job_id: str) -> JobAnswer:
        job = await self._find(job_id)
        if job is None or job.spec.workspace != workspace:
            return _unknown_job(job_id)
        return self._status_answer(HTTP_OK, job)

    async def _cancel(self, workspace: str, job_id: str) -> JobAnswer:
        job = await self._find(job_id)
        if job is None or job.spec.workspace != workspace:
            return _unknown_job(job_id)
        if job.state.is_final:
            return self._status_answer(HTTP_OK, job)
        future: asyncio.Future[CancelResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._owner.post(Cancellation(job_id, future))
        result = await _wait_for_result(future)
        if not isinstance(result, JobAccepted):
            return refusal_answer(result)
        current = await self._find(job_id)
        return self._status_answer(HTTP_ACCEPTED, current or job)

    async def _list(self, workspace: str) -> JobAnswer:
        all_jobs = (*await self._recorded_jobs(), *self._owner.jobs())
        jobs = {
            each.job_id: each
            for each in all_jobs
            if each.spec.workspace == workspace
        }
        documents = ', '.join(
            self._status_body(each).model_dump_json()
            for each in sorted(jobs.values(), key=_submission_sort_key)
        )
        return JobAnswer(HTTP_OK, f'{{"jobs": [{documents}]}}'.encode())

    async def _recorded_jobs(self) -> tuple[Job, ...]:
        """Return the recorded jobs, or none while the table service is down."""
        try:
            rows = await self._table.scan(job_rows_prefix(self._data_centre))
        except PlatformUnavailableError:
            return ()
        jobs = (decode_job_row(row.content) for row in rows)
        return tuple(job for job in jobs if not isinstance(job, Unreadable))

    async def _find(self, job_id: str, data_centre: str = '') -> Job | None:
        job = self._owner.find(job_id)
        if job is not None:
            return job
        row = await self._table.read(
            job_row_key(data_centre or self._data_centre, job_id)
        )
        return None if row is None else require_readable(row, decode_job_row)

    def _status_answer(self, status: int, job: Job) -> JobAnswer:
        return JobAnswer(
            status, self._status_body(job).model_dump_json().encode()
        )

    def _status_body(self, job: Job) -> JobStatusBody:
        if job.state is not JobState.waiting:
            return JobStatusBody.of(job, timedelta(), '')
        waiting = self._owner.waiting().get(job.job_id)
        waited = self._clock.now() - job.submitted_at
        return JobStatusBody.of(
            job, waited, waiting.reason if waiting else 'waits for its turn'
        )


async def _wait_for_result(
    future: 'asyncio.Future[SubmissionResult]',
) -> SubmissionResult:
    try:
        async with asyncio.timeout(_RECORD_TIMEOUT_S):
            return await asyncio.shield(future)
    except TimeoutError:
        return JobOutcomeUnknown(
            'not_recorded_yet',
            'the job record is not written yet; repeat with the same key',
            _RETRY_AFTER,
        )


def _unknown_job(job_id: str) -> JobAnswer:
    return problem_answer(
        _HTTP_NOT_FOUND, 'unknown_job', f'there is no job {job_id!r}'
    )


def _submission_sort_key(job: Job) -> tuple[str, str]:
    return (job.submitted_at.isoformat(), job.job_id)
