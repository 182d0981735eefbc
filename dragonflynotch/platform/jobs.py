"""Decodes submitted jobs."""

import re

import msgspec

from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

__all__ = ('decode_job', 'is_job_id')

_JOB_ID = re.compile('[0-9a-fA-F]{16}')


class _WireStep(msgspec.Struct):
    """A step of subtasks; ``cpu`` is in thousandths of a core."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    after: list[int] = []
    # Whether it writes checkpoints, not whether it does so now.
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    constraints: str = ''
    # The rack of the data.
    affinity: str = ''
    # The most tasks on one worker.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    may_miss: int | None = None


class _WireJob(msgspec.Struct):
    """``spec`` is the payload; the steps hold what is scheduled."""

    spec: str
    steps: list[_WireStep]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


def is_job_id(text: str) -> bool:
    """Return whether the text is an identifier of a job."""
    return _JOB_ID.fullmatch(text) is not None


def decode_job(body: bytes, queue: Queue, workspace: str) -> JobSpec | None:
    """Return the job, or ``None`` if the body is not one."""
    try:
        job = msgspec.json.decode(body, type=_WireJob)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    steps = tuple(_step(step) for step in job.steps)
    spec = JobSpec(
        queue=queue.name,
        workspace=workspace,
        service=queue.service,
        payload=job.spec,
        steps=steps,
        repetitions=job.repetitions,
        first_due_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
    )
    return spec if spec.is_sound else None


def _step(step: _WireStep) -> StepSpec:
    return StepSpec(
        count=step.count,
        millicores=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimated_ms=int(step.estimated_ms),
        after=tuple(step.after),
        is_gang=step.gang,
        wants_one_rack=step.same_rack,
        has_checkpoints=step.checkpointing,
        constraint=step.constraints,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        is_speculative=step.speculative,
        is_long_running=step.long_running,
        fills=step.fills,
        max_unavailable=step.may_miss,
    )
