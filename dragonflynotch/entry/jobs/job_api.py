"""HTTP interface for jobs on the caller port."""

import math
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any

from litestar import Controller, Request, Response, Router, delete, get, post
from litestar.di import NamedDependency, Provide
from litestar.params import FromPath, SkipValidation

from dragonflynotch.core.requests import NotRun
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.jobs.job_service import (
    JobAnswer,
    JobCommand,
    JobMethod,
    JobService,
)
from dragonflynotch.entry.requests.identity import NotIdentified, identify
from dragonflynotch.entry.requests.problems import outcome_response

__all__ = ('JobCalls', 'JobController', 'create_job_router')

_MAX_BODY_BYTES = 65_536
_LAST_SUCCESS = 299


class JobCalls:
    """Identifies callers and hands their calls to a job service.

    Parameters
    ----------
    service : JobService
        Answers the calls.
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        service: JobService,
        configuration: Callable[[], ConfigurationView],
    ) -> None:
        """Use ``service`` for identified callers."""
        self._service = service
        self._configuration = configuration

    async def answer(
        self,
        request: Request[Any, Any, Any],
        command: JobCommand,
    ) -> Response[bytes]:
        """Return the answer to a call, or the refusal of its caller."""
        authorization = request.headers.get('authorization', '')
        found = identify(
            self._configuration(), command.workspace, authorization
        )
        if isinstance(found, NotIdentified):
            return outcome_response(
                NotRun(found.reason, found.detail, timedelta(), step='identify')
            )
        if command.method is JobMethod.submit:
            command = replace(command, body=await request.body())
        wanted = request.headers.get('data-centre', '')
        command = replace(command, data_centre=wanted)
        return _response(await self._service.call(command))


_Calls = NamedDependency[SkipValidation[JobCalls]]


class JobController(Controller):
    """Routes below ``/v1/workspaces/{workspace}/jobs``."""

    path = '/v1/workspaces/{workspace:str}/jobs'

    @post('/', request_max_body_size=_MAX_BODY_BYTES)
    async def submit(
        self,
        workspace: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _Calls,
    ) -> Response[bytes]:
        """Submit a job."""
        key = request.headers.get('idempotency-key', '')
        command = JobCommand(JobMethod.submit, workspace, idempotency_key=key)
        return await calls.answer(request, command)

    @get('/')
    async def list_all(
        self,
        workspace: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _Calls,
    ) -> Response[bytes]:
        """Return all jobs of a workspace, the oldest first."""
        command = JobCommand(JobMethod.list_all, workspace)
        return await calls.answer(request, command)

    @get('/{job_id:str}')
    async def show(
        self,
        workspace: FromPath[str],
        job_id: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _Calls,
    ) -> Response[bytes]:
        """Return the state of a job."""
        command = JobCommand(JobMethod.show, workspace, job_id)
        return await calls.answer(request, command)

    @delete('/{job_id:str}', status_code=200)
    async def cancel(
        self,
        workspace: FromPath[str],
        job_id: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _Calls,
    ) -> Response[bytes]:
        """Cancel a job."""
        command = JobCommand(JobMethod.cancel, workspace, job_id)
        return await calls.answer(request, command)


def create_job_router(
    service: JobService, configuration: Callable[[], ConfigurationView]
) -> Router:
    """Return the routes that answer with ``service``."""
    calls = JobCalls(service, configuration)
    provider = Provide(lambda: calls, sync_to_thread=False)
    return Router(
        '/', route_handlers=[JobController], dependencies={'calls': provider}
    )


def _response(answer: JobAnswer) -> Response[bytes]:
    is_success = answer.status <= _LAST_SUCCESS
    headers = {}
    if answer.retry_after is not None:
        retry_after_s = math.ceil(answer.retry_after.total_seconds())
        headers['Retry-After'] = str(retry_after_s)
    return Response(
        answer.body,
        status_code=answer.status,
        media_type='application/json'
        if is_success
        else 'application/problem+json',
        headers=headers,
    )
