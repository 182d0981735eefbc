"""HTTP interface of the guard as a bare ASGI application."""

import re
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import msgspec

from dragonflynotch.core.requests import content_digest
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.guard.order_api import OrderApi
from dragonflynotch.guard.requests import (
    Answered,
    Handover,
    Refused,
    RequestRunner,
    Running,
    RunUnknown,
    WillNotRun,
)
from dragonflynotch.links.asgi import (
    HttpCall,
    OversizedBodyError,
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)
from dragonflynotch.observability.guard_metrics import GuardMetrics
from dragonflynotch.observability.logs import part_logger

__all__ = ('GuardApp',)

_MAX_BODY_BYTES = 1024 * 1024
_MS_PER_S = 1000
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_LARGE = 413
_UNAVAILABLE = 503
_TIMEOUT = 504
# The rest of an oversized body is not read, so the connection cannot carry
# another request.
_CLOSE_HEADERS = {'Connection': 'close'}
_METRICS_HEADERS = {'Content-Type': 'text/plain; version=0.0.4; charset=utf-8'}
_METRIC_OUTCOMES = {
    Answered: 'answered',
    Refused: 'refused',
    RunUnknown: 'unknown',
}
_RESOLVE_PATH = re.compile('/v1/requests/(?P<attempt>[A-Za-z0-9-]+)/resolve')

_log = part_logger('guard.app')


class GuardApp:
    """Serves handed-over requests, configuration, orders and metrics.

    Parameters
    ----------
    runner : RequestRunner
        Runs requests that entries hand over.
    configuration : ConfigurationCopy
        Copy of the configuration that entries can fetch back.
    start_drain : callable
        Called when an operator requests a drain.
    order_api : OrderApi, optional
        Serves orders and the member report; absent without a worker.
    metrics : GuardMetrics, optional
        Metrics for ``GET /metrics``; the path is not served without them.
    """

    def __init__(
        self,
        runner: RequestRunner,
        configuration: ConfigurationCopy,
        start_drain: Callable[[], None],
        order_api: OrderApi | None = None,
        metrics: GuardMetrics | None = None,
    ) -> None:
        """Serve requests with ``runner`` and orders with ``order_api``."""
        self._runner = runner
        self._configuration = configuration
        self._start_drain = start_drain
        self._order_api = order_api
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        try:
            call = await read_call(scope, receive, _MAX_BODY_BYTES)
        except OversizedBodyError:
            await send_reply(send, Reply(_TOO_LARGE, headers=_CLOSE_HEADERS))
        except ConnectionResetError:
            _log.debug(
                'an entry disconnected before it sent its complete request'
            )
        else:
            await send_reply(send, await self._route(call))

    async def _route(self, call: HttpCall) -> Reply:
        resolve_match = _RESOLVE_PATH.fullmatch(call.path)
        match (call.method, call.path):
            case ('POST', '/v1/requests'):
                return await self._run_attempt(call)
            case ('POST', _) if resolve_match:
                return self._resolve_attempt(call, resolve_match['attempt'])
            case ('POST', '/v1/drain'):
                self._start_drain()
                return Reply(_ACCEPTED)
            case (_, '/v1/configuration'):
                return self._serve_configuration(call)
            case _ if self._order_api is not None and self._order_api.serves(
                call
            ):
                return self._order_api.answer(call)
            case ('GET', '/metrics') if self._metrics is not None:
                return Reply(_OK, self._metrics.render(), _METRICS_HEADERS)
            case ('GET', '/live'):
                return Reply(_OK)
            case ('GET', '/ready'):
                is_ready = not self._runner.is_draining
                return Reply(_OK if is_ready else _UNAVAILABLE)
            case _:
                return Reply(_NOT_FOUND)

    def _serve_configuration(self, call: HttpCall) -> Reply:
        configuration = self._configuration
        if call.method == 'PUT':
            incarnation = call.headers.get('guard-incarnation', '')
            if not configuration.put(call.body, incarnation):
                return _problem_reply(
                    _BAD_REQUEST, 'refused', 'update not usable'
                )
        body = configuration.get() if call.method == 'GET' else b''
        return Reply(
            _OK, body, {'Configuration-Revision': str(configuration.revision)}
        )

    async def _run_attempt(self, call: HttpCall) -> Reply:
        try:
            handover = _read_handover(call)
        except (KeyError, ValueError, OverflowError) as error:
            return _problem_reply(
                _BAD_REQUEST, 'refused', f'bad header: {error!r}'
            )
        if call.headers.get('content-digest') != content_digest(call.body):
            return _problem_reply(_BAD_REQUEST, 'refused', 'digest_mismatch')
        outcome = await self._runner.run(handover)
        if self._metrics is not None:
            self._metrics.count_request(_METRIC_OUTCOMES[type(outcome)])
        if isinstance(outcome, Answered):
            return _answer_reply(outcome, handover.attempt)
        if isinstance(outcome, Refused):
            return _problem_reply(_UNAVAILABLE, 'refused', outcome.reason)
        return _problem_reply(_TIMEOUT, 'unknown', outcome.reason)

    def _resolve_attempt(self, call: HttpCall, attempt: str) -> Reply:
        try:
            incarnation = int(call.headers['guard-incarnation'])
        except (KeyError, ValueError) as error:
            return Reply(_BAD_REQUEST, repr(error).encode())
        is_idempotent = call.headers.get('request-idempotent') == 'true'
        outcome = self._runner.resolve(
            attempt, incarnation, is_idempotent=is_idempotent
        )
        match outcome:
            case Answered():
                return _answer_reply(outcome, attempt)
            case Running():
                return _problem_reply(_ACCEPTED, 'running', '')
            case WillNotRun():
                return _problem_reply(_ACCEPTED, 'never', '')
            case RunUnknown(reason):
                return _problem_reply(_ACCEPTED, 'unknown', reason)


def _read_handover(call: HttpCall) -> Handover:
    headers = call.headers
    expires_at_s = int(headers['request-expires-at-ms']) / _MS_PER_S
    return Handover(
        request_id=headers['request-id'],
        attempt=headers['attempt'],
        incarnation=int(headers['guard-incarnation']),
        timeout=timedelta(milliseconds=int(headers['request-deadline-ms'])),
        expires_at=datetime.fromtimestamp(expires_at_s, UTC),
        body=call.body,
        is_idempotent=headers.get('request-idempotent') == 'true',
    )


def _answer_reply(answer: Answered, attempt: str) -> Reply:
    headers = {
        'Request-Id': answer.request_id,
        'Attempt': attempt,
        'Content-Digest': content_digest(answer.body),
    }
    return Reply(_OK, answer.body, headers)


def _problem_reply(status: int, outcome: str, reason: str) -> Reply:
    body = msgspec.json.encode({'outcome': outcome, 'reason': reason})
    return Reply(status, body, {'Content-Type': 'application/json'})
