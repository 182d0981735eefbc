"""HTTP interface of the guard as a bare ASGI application."""

import re
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import msgspec

from dragonflynotch.core.requests import content_digest
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.guard.order_api import TaskApi
from dragonflynotch.guard.requests import (
    HandOver,
    Never,
    Ran,
    Refused,
    RequestRunner,
    Running,
    RunUnknown,
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
# The rest of an oversized body is not read, so the connection is of no use.
_CLOSE = {'Connection': 'close'}
_METRICS_TYPE = {'Content-Type': 'text/plain; version=0.0.4; charset=utf-8'}
_OUTCOME_NAMES = {Ran: 'answered', Refused: 'refused', RunUnknown: 'unknown'}
_RESOLVE_PATH = re.compile('/v1/requests/(?P<attempt>[A-Za-z0-9-]+)/resolve')

_log = part_logger('guard.app')


class GuardApp:
    """Serves entries.

    Parameters
    ----------
    runner : RequestRunner
        Runs handed-over requests.
    configuration : ConfigurationCopy
        Copy of the configuration, kept for entries.
    start_drain : callable
        Called once an operator orders the guard to drain.
    tasks : TaskApi, optional
        Serves orders and reports of gang members.
    metrics : GuardMetrics, optional
        Series of ``GET /metrics``; none are served without it.
    """

    def __init__(
        self,
        runner: RequestRunner,
        configuration: ConfigurationCopy,
        start_drain: Callable[[], None],
        tasks: TaskApi | None = None,
        metrics: GuardMetrics | None = None,
    ) -> None:
        """Serve requests with ``runner`` and orders with ``tasks``."""
        self._runner = runner
        self._configuration = configuration
        self._start_drain = start_drain
        self._tasks = tasks
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
            await send_reply(send, Reply(_TOO_LARGE, headers=_CLOSE))
        except ConnectionResetError:
            _log.debug('an entry disconnected before its request was whole')
        else:
            await send_reply(send, await self._answer(call))

    async def _answer(self, call: HttpCall) -> Reply:
        resolved = _RESOLVE_PATH.fullmatch(call.path)
        match (call.method, call.path):
            case ('POST', '/v1/requests'):
                return await self._run(call)
            case ('POST', _) if resolved:
                return self._resolve(call, resolved['attempt'])
            case ('POST', '/v1/drain'):
                self._start_drain()
                return Reply(_ACCEPTED)
            case (_, '/v1/configuration'):
                return self._configure(call)
            case _ if self._tasks is not None and self._tasks.serves(call):
                return self._tasks.answer(call)
            case ('GET', '/metrics') if self._metrics is not None:
                return Reply(_OK, self._metrics.render(), _METRICS_TYPE)
            case ('GET', '/live'):
                return Reply(_OK)
            case ('GET', '/ready'):
                is_ready = not self._runner.is_draining
                return Reply(_OK if is_ready else _UNAVAILABLE)
            case _:
                return Reply(_NOT_FOUND)

    def _configure(self, call: HttpCall) -> Reply:
        copy = self._configuration
        if call.method == 'PUT':
            incarnation = call.headers.get('guard-incarnation', '')
            if not copy.put(call.body, incarnation):
                return _problem(_BAD_REQUEST, 'refused', 'update not usable')
        body = copy.get() if call.method == 'GET' else b''
        return Reply(_OK, body, {'Configuration-Revision': str(copy.revision)})

    async def _run(self, call: HttpCall) -> Reply:
        try:
            hand_over = _read_hand_over(call)
        except (KeyError, ValueError, OverflowError) as error:
            return _problem(_BAD_REQUEST, 'refused', f'bad header: {error!r}')
        if call.headers.get('content-digest') != content_digest(call.body):
            return _problem(_BAD_REQUEST, 'refused', 'digest_mismatch')
        outcome = await self._runner.run(hand_over)
        if self._metrics is not None:
            self._metrics.count_attempt(_OUTCOME_NAMES[type(outcome)])
        if isinstance(outcome, Ran):
            return _whole_answer(outcome, hand_over.attempt)
        if isinstance(outcome, Refused):
            return _problem(_UNAVAILABLE, 'refused', outcome.reason)
        return _problem(_TIMEOUT, 'unknown', outcome.reason)

    def _resolve(self, call: HttpCall, attempt: str) -> Reply:
        try:
            incarnation = int(call.headers['guard-incarnation'])
        except (KeyError, ValueError) as error:
            return Reply(_BAD_REQUEST, repr(error).encode())
        is_idempotent = call.headers.get('request-idempotent') == 'true'
        outcome = self._runner.resolve(
            attempt, incarnation, is_idempotent=is_idempotent
        )
        match outcome:
            case Ran():
                return _whole_answer(outcome, attempt)
            case Running():
                return _problem(_ACCEPTED, 'running', '')
            case Never():
                return _problem(_ACCEPTED, 'never', '')
            case RunUnknown(reason):
                return _problem(_ACCEPTED, 'unknown', reason)


def _read_hand_over(call: HttpCall) -> HandOver:
    headers = call.headers
    expires_at_s = int(headers['request-expires-at-ms']) / _MS_PER_S
    return HandOver(
        request_id=headers['request-id'],
        attempt=headers['attempt'],
        incarnation=int(headers['guard-incarnation']),
        timeout=timedelta(milliseconds=int(headers['request-deadline-ms'])),
        expires_at=datetime.fromtimestamp(expires_at_s, UTC),
        body=call.body,
        is_idempotent=headers.get('request-idempotent') == 'true',
    )


def _whole_answer(answer: Ran, attempt: str) -> Reply:
    headers = {
        'Request-Id': answer.request_id,
        'Attempt': attempt,
        'Content-Digest': content_digest(answer.body),
    }
    return Reply(_OK, answer.body, headers)


def _problem(status: int, outcome: str, reason: str) -> Reply:
    body = msgspec.json.encode({'outcome': outcome, 'reason': reason})
    return Reply(status, body, {'Content-Type': 'application/json'})
