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

__all__ = ('JobCallHandler', 'JobController', 'create_job_router')

_MAX_BODY_BYTES = 65_536
_MAX_SUCCESS_STATUS = 299


class JobCallHandler:
    """Authenticates callers and passes their calls to a job service.

    Parameters
    ----------
    service : JobService
        Answers the calls.
    configuration : callable
        Returns the current configuration.
    """

    def __init__(
        self,
        service: JobService,
        configuration: Callable[[], ConfigurationView],
    ) -> None:
        """Pass the calls of authenticated callers to ``service``."""
        self._service = service
        self._configuration = configuration

    async def answer(
        self,
        request: Request[Any, Any, Any],
        command: JobCommand,
    ) -> Response[bytes]:
        """Return the answer to a call; unknown callers are refused."""
        authorization = request.headers.get('authorization', '')
        identity = identify(
            self._configuration(), command.workspace, authorization
        )
        if isinstance(identity, NotIdentified):
            return outcome_response(
                NotRun(
                    identity.reason,
                    identity.detail,
                    timedelta(),
                    step='identify',
                )
            )
        if command.method is JobMethod.submit:
            command = replace(command, body=await request.body())
        data_centre = request.headers.get('data-centre', '')
        command = replace(command, data_centre=data_centre)
        return _response(await self._service.call(command))


_CallHandler = NamedDependency[SkipValidation[JobCallHandler]]


class JobController(Controller):
    """Routes below ``/v1/workspaces/{workspace}/jobs``."""

    path = '/v1/workspaces/{workspace:str}/jobs'

    @post('/', request_max_body_size=_MAX_BODY_BYTES)
    async def submit(
        self,
        workspace: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _CallHandler,
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
        calls: _CallHandler,
    ) -> Response[bytes]:
        """Return all jobs of a workspace, oldest first."""
        command = JobCommand(JobMethod.list_all, workspace)
        return await calls.answer(request, command)

    @get('/{job_id:str}')
    async def show(
        self,
        workspace: FromPath[str],
        job_id: FromPath[str],
        request: Request[Any, Any, Any],
        calls: _CallHandler,
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
        calls: _CallHandler,
    ) -> Response[bytes]:
        """Cancel a job."""
        command = JobCommand(JobMethod.cancel, workspace, job_id)
        return await calls.answer(request, command)


def create_job_router(
    service: JobService, configuration: Callable[[], ConfigurationView]
) -> Router:
    """Return the job routes, answered by ``service``."""
    calls = JobCallHandler(service, configuration)
    provider = Provide(lambda: calls, sync_to_thread=False)
    return Router(
        '/', route_handlers=[JobController], dependencies={'calls': provider}
    )


def _response(answer: JobAnswer) -> Response[bytes]:
    is_success = answer.status <= _MAX_SUCCESS_STATUS
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
