"""HTTP interface for callers."""

import uuid
from datetime import timedelta
from typing import Any

import msgspec
from litestar import Litestar, Request, Response, get, post
from litestar.params import FromPath

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.requests import (
    Answer,
    NotRun,
    Outcome,
    Unknown,
    content_digest,
)
from dragonflynotch.core.requests import Request as CallerRequest
from dragonflynotch.entry.dispatcher import Dispatcher
from dragonflynotch.entry.health import Health
from dragonflynotch.entry.job_api import create_job_router
from dragonflynotch.entry.job_service import JobService

__all__ = ('create_caller_app',)

_MAX_BODY_BYTES = 1024 * 1024
_DEFAULT_DEADLINE_MS = 30_000
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 504


def create_caller_app(
    dispatcher: Dispatcher, clock: Clock, health: Health, jobs: JobService
) -> Litestar:
    """Return the ASGI application for callers."""

    @post(
        '/v1/workspaces/{workspace:str}/requests',
        request_max_body_size=_MAX_BODY_BYTES,
    )
    async def run_request(
        workspace: FromPath[str], request: Request[Any, Any, Any]
    ) -> Response[bytes]:
        headers = request.headers
        deadline_ms = int(
            headers.get('request-deadline-ms', _DEFAULT_DEADLINE_MS)
        )
        caller_request = CallerRequest(
            request_id=uuid.uuid4().hex,
            workspace=workspace,
            request_class=headers.get('request-class', 'default'),
            idempotency_key=headers.get('idempotency-key', ''),
            is_idempotent=headers.get('request-idempotent') == 'true',
            deadline=clock.now() + timedelta(milliseconds=deadline_ms),
            body=await request.body(),
        )
        return _response(await dispatcher.dispatch(caller_request))

    @get('/ready')
    async def ready() -> Response[str]:
        status = 200 if health.is_ready else _STATUS_NOT_RUN
        return Response(health.reason or 'ready', status_code=status)

    return Litestar(
        [run_request, ready, create_job_router(jobs)],
        openapi_config=None,
        logging_config=None,
    )


def _response(outcome: Outcome) -> Response[bytes]:
    if isinstance(outcome, Answer):
        return Response(
            outcome.body,
            status_code=200,
            media_type='application/octet-stream',
            headers={
                'Request-Id': outcome.request_id,
                'Content-Digest': content_digest(outcome.body),
            },
        )
    return _problem(outcome)


def _problem(outcome: NotRun | Unknown) -> Response[bytes]:
    retry_after_ms = int(outcome.retry_after.total_seconds() * 1000)
    problem = {
        'outcome': 'not_run' if isinstance(outcome, NotRun) else 'unknown',
        'reason': outcome.reason,
        'detail': outcome.detail,
        'retry_after_ms': retry_after_ms,
        'step': outcome.step,
        'peer': outcome.peer,
    }
    is_not_run = isinstance(outcome, NotRun)
    return Response(
        msgspec.json.encode(problem),
        status_code=_STATUS_NOT_RUN if is_not_run else _STATUS_UNKNOWN,
        media_type='application/problem+json',
        headers={'Retry-After': str(-(-retry_after_ms // 1000))},
    )
