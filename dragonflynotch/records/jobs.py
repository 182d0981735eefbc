"""HTTP bodies of the job API, validated with pydantic."""

import json
from datetime import datetime, timedelta
from typing import Annotated, Any, Literal

from pydantic import (
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.jobs import Job, JobSpec, PriorityClass
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted

__all__ = ('JobBody', 'JobStatusBody', 'parse_job_body')

_MAX_ACCELERATORS = 1024
_MAX_CORES = 1024
_MAX_MEMORY_MB = 16 * 1024 * 1024
_MAX_RUN_TIME_S = 365 * 24 * 3600
_MAX_COMMAND_CHARACTERS = 16_384
_KIND_PATTERN = r'^[a-z0-9][a-z0-9.-]{0,62}$'


class _Body(BaseModel):
    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)


class _ShapeBody(_Body):
    accelerators: Annotated[int, Field(ge=0, le=_MAX_ACCELERATORS)]
    proximity: Literal['worker', 'rack', 'adjacent_racks'] = 'rack'


class JobBody(_Body):
    """Body of a submission.

    Parameters
    ----------
    kind : str
        Kind of work; run times are learned for each kind.
    shape : object
        Accelerators and their proximity.
    cores_per_accelerator, memory_mb_per_accelerator : float, int
        Needs for each accelerator, or for the job if it has none.
    declared_run_time_s : float
        Run time stated by the caller, in seconds.
    priority : str
        ``urgent``, ``normal`` or ``batch``.
    checkpointable : bool
        Whether the job can be checkpointed and resumed.
    deadline : datetime or None
        When the caller needs the result; with a time zone.
    command : str
        What the worker runs.
    """

    kind: Annotated[str, Field(pattern=_KIND_PATTERN)] = 'default'
    shape: _ShapeBody
    cores_per_accelerator: Annotated[float, Field(gt=0, le=_MAX_CORES)] = 1
    memory_mb_per_accelerator: Annotated[
        int, Field(ge=1, le=_MAX_MEMORY_MB)
    ] = 1024
    declared_run_time_s: Annotated[float, Field(gt=0, le=_MAX_RUN_TIME_S)] = (
        3600
    )
    priority: Literal['urgent', 'normal', 'batch'] = 'normal'
    checkpointable: bool = True
    deadline: AwareDatetime | None = None
    command: Annotated[str, Field(max_length=_MAX_COMMAND_CHARACTERS)] = ''

    @model_validator(mode='before')
    @classmethod
    def _read_deadline(cls, values: Any) -> Any:
        # JSON has no type for times, and strict mode refuses strings.
        if isinstance(values, dict) and isinstance(values.get('deadline'), str):
            deadline = datetime.fromisoformat(values['deadline'])
            return {**values, 'deadline': deadline}
        return values

    def spec(self, workspace: str) -> JobSpec:
        """Return the specification of the job in a workspace."""
        return JobSpec(
            workspace=workspace,
            kind=self.kind,
            shape=Shape(
                self.shape.accelerators, Proximity(self.shape.proximity)
            ),
            cores_per_accelerator=self.cores_per_accelerator,
            memory_mb_per_accelerator=self.memory_mb_per_accelerator,
            declared_run_time=timedelta(seconds=self.declared_run_time_s),
            priority=PriorityClass(self.priority),
            is_checkpointable=self.checkpointable,
            deadline=self.deadline,
            command=self.command,
        )


class JobStatusBody(_Body):
    """State of a job in a response to a caller.

    Parameters
    ----------
    waited_ms : int
        How long the job has waited, or 0 if it is not waiting.
    waits_for : str
        Why the job waits, in one sentence; empty if it is not waiting.
    detail : str
        Why the job ended, or why it was last stopped.
    """

    job_id: str
    workspace: str
    kind: str
    state: str
    priority: str
    accelerators: int
    proximity: str
    submitted_at: datetime
    started_at: datetime | None
    ended_at: datetime | None
    attempt: int
    workers: tuple[str, ...]
    checkpoint: str
    work_done_ms: int
    waited_ms: int
    waits_for: str
    detail: str

    @classmethod
    def of(cls, job: Job, waited: timedelta, waits_for: str) -> 'JobStatusBody':
        """Return the response for a job."""
        spec = job.spec
        millisecond = timedelta(milliseconds=1)
        return cls(
            job_id=job.job_id,
            workspace=spec.workspace,
            kind=spec.kind,
            state=job.state.value,
            priority=spec.priority.value,
            accelerators=spec.shape.accelerators,
            proximity=spec.shape.proximity.value,
            submitted_at=job.submitted_at,
            started_at=job.started_at,
            ended_at=job.ended_at,
            attempt=job.attempt,
            workers=tuple(member.worker_id for member in job.members),
            checkpoint=job.checkpoint,
            work_done_ms=job.work_done // millisecond,
            waited_ms=waited // millisecond,
            waits_for=waits_for,
            detail=job.detail,
        )


def parse_job_body(body: bytes) -> JobBody:
    """Return the validated body of a submission.

    Raises
    ------
    InvalidInputError
        If the body is not JSON or a field is invalid. The error holds the
        path of the first invalid field, its value and what was expected.
    """
    document = decode_untrusted(json.loads, body)
    if isinstance(document, Unreadable):
        raise InvalidInputError('$', body[:80], 'a JSON object')
    try:
        return JobBody.model_validate(document)
    except ValidationError as error:
        details = error.errors(include_url=False)[0]
        path = '.'.join(('$', *map(str, details['loc'])))
        raise InvalidInputError(
            path, details.get('input'), details['msg']
        ) from error
