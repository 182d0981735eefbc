"""HTTP interface for jobs on the caller port."""

import math
from typing import Annotated, Any

from litestar import Controller, Request, Response, Router, delete, get, post
from litestar.di import Provide
from litestar.params import Dependency, FromPath

from dragonflynotch.entry.job_service import (
    JobAnswer,
    JobCommand,
    JobMethod,
    JobService,
)

__all__ = ('JobController', 'create_job_router')

_MAX_BODY_BYTES = 65_536
_LAST_SUCCESS = 299


_Jobs = Annotated[JobService, Dependency(skip_validation=True)]


class JobController(Controller):
    """Routes below ``/v1/workspaces/{workspace}/jobs``."""

    path = '/v1/workspaces/{workspace:str}/jobs'

    @post('/', request_max_body_size=_MAX_BODY_BYTES)
    async def submit(
        self,
        workspace: FromPath[str],
        request: Request[Any, Any, Any],
        jobs: _Jobs,
    ) -> Response[bytes]:
        """Submit a job."""
        command = JobCommand(
            JobMethod.submit,
            workspace,
            idempotency_key=request.headers.get('idempotency-key', ''),
            body=await request.body(),
        )
        return _response(await jobs.call(command))

    @get('/')
    async def list_all(
        self, workspace: FromPath[str], jobs: _Jobs
    ) -> Response[bytes]:
        """Return all jobs of a workspace, the oldest first."""
        command = JobCommand(JobMethod.list_all, workspace)
        return _response(await jobs.call(command))

    @get('/{job_id:str}')
    async def show(
        self, workspace: FromPath[str], job_id: FromPath[str], jobs: _Jobs
    ) -> Response[bytes]:
        """Return the state of a job."""
        command = JobCommand(JobMethod.show, workspace, job_id)
        return _response(await jobs.call(command))

    @delete('/{job_id:str}', status_code=200)
    async def cancel(
        self, workspace: FromPath[str], job_id: FromPath[str], jobs: _Jobs
    ) -> Response[bytes]:
        """Cancel a job."""
        command = JobCommand(JobMethod.cancel, workspace, job_id)
        return _response(await jobs.call(command))


def create_job_router(service: JobService) -> Router:
    """Return the routes that answer with ``service``."""
    provider = Provide(lambda: service, sync_to_thread=False)
    return Router(
        '/', route_handlers=[JobController], dependencies={'jobs': provider}
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
