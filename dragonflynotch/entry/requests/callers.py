"""HTTP interface for callers."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, cast

from litestar import (
    Controller,
    Litestar,
    Request,
    Response,
    Router,
    get,
    post,
)
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.params import FromPath

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.requests import NotRun, Outcome, Unknown
from dragonflynotch.core.requests import Request as CallerRequest
from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec
from dragonflynotch.entry.members.health import Health
from dragonflynotch.entry.requests.dispatcher import Dispatcher
from dragonflynotch.entry.requests.headers import read_headers
from dragonflynotch.entry.requests.identity import NotIdentified, identify
from dragonflynotch.entry.requests.problems import (
    malformed,
    outcome_name,
    outcome_response,
    too_large,
)
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.observability.metrics import EntryMetrics

__all__ = ('CallerContext', 'create_caller_app')

_MAX_BODY_BYTES = 1024 * 1024
_OK = 200
_UNAVAILABLE = 503
_TOO_LARGE = 413
_FIRST_SERVER_ERROR = 500
_REASONS_BY_STATUS = {404: 'not_found', 405: 'method_not_allowed'}

_log = part_logger('entry.callers')


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Components of the entry that the caller interface uses.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs requests.
    configuration : callable
        Returns the configuration in force.
    health : Health
        Readiness of the entry.
    clock : Clock
        Clock for the deadlines.
    metrics : EntryMetrics
        Counts requests and measures answer times.
    """

    dispatcher: Dispatcher
    configuration: Callable[[], ConfigurationView]
    health: Health
    clock: Clock
    metrics: EntryMetrics


class RequestController(Controller):
    """Requests of workspaces."""

    path = '/v1/workspaces/{workspace:str}/requests'

    @post('/', status_code=_OK, request_max_body_size=_MAX_BODY_BYTES)
    async def run_request(
        self, workspace: FromPath[str], request: Request[Any, Any, Any]
    ) -> Response[bytes]:
        """Run a request and return its one outcome."""
        context = _context(request)
        received_at = context.clock.now()
        spec = identify(
            context.configuration(),
            workspace,
            request.headers.get('authorization', ''),
        )
        outcome: Outcome
        if isinstance(spec, NotIdentified):
            outcome = NotRun(
                spec.reason, spec.detail, timedelta(), step='identify'
            )
        else:
            outcome = await _read_and_dispatch(context, spec, request)
            _count_request(context, spec, request, outcome, received_at)
        response = outcome_response(outcome)
        if context.health.is_stopping:
            response.headers['Connection'] = 'close'
        return response


class HealthController(Controller):
    """Health of the process for the load balancer."""

    @get('/ready')
    async def ready(self, request: Request[Any, Any, Any]) -> Response[str]:
        """Answer 200 if the entry takes new callers, otherwise 503."""
        health = _context(request).health
        status = _OK if health.is_ready else _UNAVAILABLE
        return Response(health.reason or 'ready', status_code=status)

    @get('/live')
    async def live(self) -> str:
        """Answer 200 while the process runs."""
        return 'live'


def create_caller_app(context: CallerContext, *routers: Router) -> Litestar:
    """Return the ASGI application for callers, with further ``routers``."""
    return Litestar(
        [RequestController, HealthController, *routers],
        openapi_config=None,
        logging_config=None,
        state=State({'context': context}),
        exception_handlers={
            HTTPException: _answer_http_error,
            Exception: _answer_internal_error,
        },
    )


async def _read_and_dispatch(
    context: CallerContext,
    spec: WorkspaceSpec,
    request: Request[Any, Any, Any],
) -> Outcome:
    try:
        headers = read_headers(request.headers, spec)
    except InvalidInputError as error:
        return malformed(str(error))
    deadline = context.clock.now() + headers.timeout
    try:
        async with asyncio.timeout(headers.timeout.total_seconds()):
            body = await request.body()
    except TimeoutError:
        return malformed('body: not received completely within the deadline')
    return await context.dispatcher.dispatch(
        CallerRequest(
            request_id=uuid.uuid4().hex,
            workspace=spec.name,
            request_class=headers.request_class,
            idempotency_key=headers.idempotency_key,
            is_idempotent=headers.is_idempotent,
            deadline=deadline,
            body=body,
            is_first_attempt=headers.is_first_attempt,
        ),
        spec,
    )


def _count_request(
    context: CallerContext,
    spec: WorkspaceSpec,
    request: Request[Any, Any, Any],
    outcome: Outcome,
    received_at: datetime,
) -> None:
    # Only classes from the configuration become labels, so that callers cannot
    # create metric series.
    request_class = request.headers.get('request-class', 'default')
    context.metrics.count_request(
        spec.name,
        request_class if request_class in spec.classes else 'unknown_class',
        outcome_name(outcome),
        context.clock.now() - received_at,
    )


def _context(request: Request[Any, Any, Any]) -> CallerContext:
    return cast(CallerContext, request.app.state['context'])


def _answer_http_error(
    _: Request[Any, Any, Any], error: HTTPException
) -> Response[bytes]:
    if error.status_code == _TOO_LARGE:
        response = outcome_response(too_large(_MAX_BODY_BYTES))
        # The rest of the body is not read, so the connection cannot be reused.
        response.headers['Connection'] = 'close'
        return response
    # Litestar raises a server error if the caller disconnects while its body
    # is read.
    if error.status_code >= _FIRST_SERVER_ERROR:
        return outcome_response(malformed(error.detail))
    reason = _REASONS_BY_STATUS.get(error.status_code, 'malformed')
    return outcome_response(
        NotRun(reason, error.detail, timedelta(), step='check request')
    )


def _answer_internal_error(
    _: Request[Any, Any, Any], error: Exception
) -> Response[bytes]:
    _log.opt(exception=error).error('unhandled error while handling a request')
    return outcome_response(
        Unknown(
            'internal_error',
            'internal error of the entry while handling the request',
            timedelta(seconds=1),
            step='dispatch',
        )
    )
