"""HTTP interface with which callers submit, cancel and read jobs."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec

from dragonflynotch.control.store_health import StoreHealth
from dragonflynotch.control.submissions import (
    Accepted,
    NotAccepted,
    NotFound,
    SubmissionService,
    Unavailable,
    Unknown,
)
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable, shorten
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.platform.jobs import decode_job, is_job_id
from dragonflynotch.workflows.deployment import Deployment, Queue
from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import JobSpec

__all__ = ('JobApi',)

_CREDENTIAL_HEADER = 'dragonflynotch-credential'
_DEADLINE_HEADER = 'dragonflynotch-deadline-ms'
# Other values, which include times of more than a day, count as no header.
_DEADLINE = re.compile('[0-9]{1,8}')
_DEFAULT_DEADLINE = timedelta(seconds=3)
# Part of the deadline that is kept for returning the response.
_RESPONSE_MARGIN = timedelta(milliseconds=150)
# In seconds. Most outages of the store are over within a few seconds, and
# another node may still reach it.
_RETRY_AFTER_HEADERS = {'Retry-After': '1'}
# Most steps of a job that are logged.
_MAX_LOGGED_STEPS = 8
_MS_PER_S = 1000
_OK = 200
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_GONE = 410
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class _Refusal:
    """An error response and the reason for it."""

    status: int
    reason: str


class JobApi:
    """Serves the requests of callers.

    Parameters
    ----------
    submissions : SubmissionService
        Stores and reads jobs.
    deployment : callable
        Returns the current configuration, or ``None`` before it was read.
    store_health : StoreHealth
        Whether the store can be reached.
    metrics : JobMetrics
        Counts the calls and their durations.
    """

    def __init__(
        self,
        submissions: SubmissionService,
        deployment: Callable[[], Deployment | None],
        store_health: StoreHealth,
        metrics: JobMetrics,
    ) -> None:
        """Create the handler; it needs no start."""
        self._submissions = submissions
        self._deployment = deployment
        self._store_health = store_health
        self._metrics = metrics

    async def __call__(self, call: HttpCall) -> Reply:
        """Return the response to a request."""
        started_s = time.monotonic()
        outcome = await self._dispatch(call)
        held_s = time.monotonic() - started_s
        reply = (
            _error_reply(call, outcome, held_s)
            if isinstance(outcome, _Refusal)
            else outcome
        )
        self._metrics.count_call(call.method, reply.status, held_s)
        if self._store_health.is_reachable:
            return reply
        # A new connection lets the load balancer choose another entry.
        return replace(reply, headers={**reply.headers, 'Connection': 'close'})

    async def _dispatch(self, call: HttpCall) -> Reply | _Refusal:
        deployment = self._deployment()
        if deployment is None:
            return _Refusal(_UNAVAILABLE, 'configuration not read yet')
        host, _, _ = call.headers.get('host', '').partition(':')
        queue = deployment.queue_for(host.lower(), call.path)
        if queue is None:
            return _Refusal(_NOT_FOUND, 'no queue for this host and path')
        workspace = deployment.workspace_by_key.get(
            call.headers.get(_CREDENTIAL_HEADER, '')
        )
        if workspace is None and not queue.is_public:
            return _Refusal(
                _UNAUTHORIZED,
                f'unknown credential at configuration {deployment.version}',
            )
        access = JobAccess(workspace, queue.name if queue.is_public else '')
        job_id = call.path.removeprefix(queue.prefix)
        if not job_id:
            return await self._count_waiting(call, queue)
        if not is_job_id(job_id):
            return _Refusal(
                _NOT_FOUND, 'job identifier is not 16 hexadecimal digits'
            )
        match call.method:
            case 'POST':
                spec = decode_job(
                    call.body, queue, workspace or '', deployment.version
                )
                return await self._submit(call, spec, job_id)
            case 'GET':
                return await self._read_state(call, job_id, access)
            case 'DELETE':
                return await self._cancel(call, job_id, access)
            case _:
                return _Refusal(_METHOD_NOT_ALLOWED, 'method not allowed')

    async def _submit(
        self, call: HttpCall, spec: JobSpec | Unreadable, job_id: str
    ) -> Reply | _Refusal:
        if isinstance(spec, Unreadable):
            return _Refusal(
                _BAD_REQUEST, f'body is not a valid job: {spec.reason}'
            )
        try:
            outcome = await self._submissions.submit(
                job_id, spec, _remaining_time(call)
            )
        except InvalidInputError as error:
            # A row that the store refuses, for example for its size, is
            # refused each time.
            return _Refusal(_BAD_REQUEST, shorten(str(error)))
        match outcome:
            case Accepted():
                decision_log.record(
                    'job_accepted',
                    job=job_id,
                    queue=spec.queue,
                    workspace=spec.workspace,
                    steps=_logged_steps(spec),
                )
                return Reply(_OK, b'{}', _JSON_HEADERS)
            case NotAccepted(reason=reason):
                return _Refusal(_UNAVAILABLE, reason)
            case Unknown(reason=reason):
                return _Refusal(_GATEWAY_TIMEOUT, reason)

    async def _read_state(
        self, call: HttpCall, job_id: str, access: JobAccess
    ) -> Reply | _Refusal:
        status = await self._submissions.status(
            job_id, _remaining_time(call), access
        )
        if isinstance(status, NotFound):
            return _Refusal(_GONE, 'no such job')
        if isinstance(status, Unavailable):
            return _Refusal(_UNAVAILABLE, status.reason)
        body = {'state': status.state.value}
        if status.reason:
            body['reason'] = status.reason
        return Reply(_OK, msgspec.json.encode(body), _JSON_HEADERS)

    async def _cancel(
        self, call: HttpCall, job_id: str, access: JobAccess
    ) -> Reply | _Refusal:
        outcome = await self._submissions.cancel(
            job_id, _remaining_time(call), access
        )
        match outcome:
            case Accepted():
                decision_log.record('cancel_accepted', job=job_id)
                return Reply(_OK, b'{}', _JSON_HEADERS)
            case NotFound():
                return _Refusal(_GONE, 'no such job')
            case NotAccepted(reason=reason):
                return _Refusal(_UNAVAILABLE, reason)
            case Unknown(reason=reason):
                return _Refusal(_GATEWAY_TIMEOUT, reason)

    async def _count_waiting(
        self, call: HttpCall, queue: Queue
    ) -> Reply | _Refusal:
        waiting = await self._submissions.waiting_jobs(
            queue.name, _remaining_time(call)
        )
        if isinstance(waiting, Unavailable):
            return _Refusal(_UNAVAILABLE, waiting.reason)
        return Reply(
            _OK, msgspec.json.encode({'pending_count': waiting}), _JSON_HEADERS
        )


_JSON_HEADERS = {'Content-Type': 'application/json'}


def _logged_steps(spec: JobSpec) -> list[dict[str, object]]:
    """Return the first steps, without default values."""
    return [
        msgspec.to_builtins(step) for step in spec.steps[:_MAX_LOGGED_STEPS]
    ]


def _remaining_time(call: HttpCall) -> timedelta:
    header = call.headers.get(_DEADLINE_HEADER, '')
    limit = _DEFAULT_DEADLINE
    if _DEADLINE.fullmatch(header):
        limit = timedelta(milliseconds=int(header))
    return max(timedelta(), limit - _RESPONSE_MARGIN)


def _error_reply(call: HttpCall, refusal: _Refusal, held_s: float) -> Reply:
    decision_log.record(
        'call_refused',
        method=call.method,
        path=shorten(call.path),
        status=refusal.status,
        reason=refusal.reason,
        held_ms=round(held_s * _MS_PER_S),
        deadline_ms=shorten(call.headers.get(_DEADLINE_HEADER, '')),
    )
    headers = dict(_JSON_HEADERS)
    if refusal.status == _UNAVAILABLE:
        headers.update(_RETRY_AFTER_HEADERS)
    body = b'{}'
    if refusal.status == _BAD_REQUEST:
        # The caller can do something about it.
        body = msgspec.json.encode({'reason': refusal.reason})
    return Reply(refusal.status, body, headers)
