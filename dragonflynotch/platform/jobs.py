"""Decodes the jobs that callers submit."""

import re

import msgspec

from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.bounds import (
    Accelerators,
    Count,
    FloatDurationMs,
    Megabytes,
    Millicores,
    TimeMs,
)
from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

__all__ = ('decode_job', 'is_job_id')

_JOB_ID = re.compile('[0-9a-fA-F]{16}')


class _WireStep(msgspec.Struct):
    """Step of a job, a group of identical tasks; ``cpu`` is in millicores."""

    count: Count = 1
    cpu: Millicores = 0
    mem_mb: Megabytes = 0
    gpu: Accelerators = 0
    estimated_ms: FloatDurationMs = 0
    # Indices of the steps that must have completed before this one.
    after: list[Count] = []
    # Whether the tasks can write checkpoints, not whether one is being written.
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Despite the plural, the one label that the worker must have.
    constraints: str = ''
    # Rack that holds the data of the tasks.
    affinity: str = ''
    # Maximum number of tasks on one worker; 0 for no limit.
    anti_affinity: Count = 0
    # Whether copies of a task may run at the same time.
    speculative: bool = False
    # Whether the tasks run until the job is cancelled.
    long_running: bool = False
    # Whether ``cpu`` is not counted against the capacity of the worker.
    fills: bool = False
    # Maximum number of tasks that the scheduler may make unavailable at a time.
    may_miss: Count | None = None


class _WireJob(msgspec.Struct):
    """Submitted job; ``spec`` is the payload that the tasks receive.

    ``steps`` describes the tasks to schedule. The steps run ``repetitions``
    times, first at ``first_run_ms`` (Unix time) and then every
    ``interval_ms``; with 0 repetitions they run once and at once.
    """

    spec: str
    steps: list[_WireStep]
    repetitions: Count = 0
    first_run_ms: TimeMs = 0
    interval_ms: TimeMs = 0


def is_job_id(text: str) -> bool:
    """Return whether the text is 16 hexadecimal digits."""
    return _JOB_ID.fullmatch(text) is not None


_job_decoder = msgspec.json.Decoder(_WireJob)


def decode_job(
    body: bytes, queue: Queue, workspace: str, version: int = 0
) -> JobSpec | Unreadable:
    """Return the job, or why the body is malformed or inconsistent.

    Parameters
    ----------
    version : int
        Version of the configuration with the queue.
    """
    job = decode_untrusted(_job_decoder.decode, body)
    if isinstance(job, Unreadable):
        return job
    steps = tuple(_step_spec(step) for step in job.steps)
    spec = JobSpec(
        queue=queue.name,
        workspace=workspace,
        service=queue.service,
        payload=job.spec,
        steps=steps,
        repetitions=job.repetitions,
        first_due_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
        policy=queue.policy(version),
    )
    return spec if spec.is_valid else Unreadable('inconsistent job')


def _step_spec(step: _WireStep) -> StepSpec:
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
        ignores_cpu=step.fills,
        max_unavailable=step.may_miss,
    )
