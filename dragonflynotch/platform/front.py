"""Calls of callers on the platform's wire."""

import time
from collections.abc import Callable
from datetime import timedelta

import msgspec

from dragonflynotch.control.submissions import (
    Accepted,
    NotAccepted,
    NotFound,
    SubmissionService,
    Unavailable,
    Unknown,
)
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.platform.jobs import decode_job, is_job_id
from dragonflynotch.workflows.deployment import Deployment, Queue

__all__ = ('FrontApi',)

_KEY_HEADER = 'dragonflynotch-credential'
_DEADLINE_HEADER = 'dragonflynotch-deadline-ms'
_DEFAULT_DEADLINE = timedelta(seconds=3)
# Left for the way of the answer.
_ANSWER_MARGIN = timedelta(milliseconds=150)
# The usual outage is over within seconds, and other nodes may be served.
_RETRY_AFTER = {'Retry-After': '1'}
_OK = 200
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_METHOD = 405
_GONE = 410
_UNAVAILABLE = 503
_TIMEOUT = 504


class FrontApi:
    """Answers the calls of callers.

    Parameters
    ----------
    submissions : SubmissionService
        Stores and reads jobs.
    deployment : callable
        Returns the configuration in force, or ``None`` before the first.
    metrics : JobMetrics
        Counts the answers.
    """

    def __init__(
        self,
        submissions: SubmissionService,
        deployment: Callable[[], Deployment | None],
        metrics: JobMetrics,
    ) -> None:
        """Serve from ``submissions``."""
        self._submissions = submissions
        self._deployment = deployment
        self._metrics = metrics

    async def __call__(self, call: HttpCall) -> Reply:
        """Answer one call."""
        began_s = time.monotonic()
        reply = await self._answer(call)
        self._metrics.count_call(
            call.method, reply.status, time.monotonic() - began_s
        )
        return reply

    async def _answer(self, call: HttpCall) -> Reply:
        deployment = self._deployment()
        if deployment is None:
            return _refusal(call, _UNAVAILABLE, 'no configuration yet')
        host, _, _ = call.headers.get('host', '').partition(':')
        queue = deployment.queue_for(host.lower(), call.path)
        if queue is None:
            return _refusal(call, _NOT_FOUND, 'no such queue')
        workspace = deployment.workspace_by_key.get(
            call.headers.get(_KEY_HEADER, '')
        )
        if workspace is None and not queue.is_public:
            return _refusal(
                call, _UNAUTHORIZED, f'unknown key at {deployment.version}'
            )
        name = call.path.removeprefix(queue.prefix)
        if not name:
            return await self._count(call, queue)
        if not is_job_id(name):
            return _refusal(call, _NOT_FOUND, 'not a job identifier')
        match call.method:
            case 'POST':
                return await self._submit(call, queue, workspace or '', name)
            case 'GET':
                return await self._state(call, name)
            case 'DELETE':
                return await self._cancel(call, name)
            case _:
                return _refusal(call, _BAD_METHOD, 'unknown method')

    async def _submit(
        self, call: HttpCall, queue: Queue, workspace: str, job_id: str
    ) -> Reply:
        spec = decode_job(call.body, queue, workspace)
        if spec is None:
            return _refusal(call, _BAD_REQUEST, 'not a job')
        outcome = await self._submissions.submit(job_id, spec, _time_left(call))
        match outcome:
            case Accepted():
                decision_log.record(
                    'job_accepted',
                    job=job_id,
                    queue=queue.name,
                    workspace=workspace,
                )
                return Reply(_OK, b'{}', _JSON)
            case NotAccepted(reason=reason):
                return _refusal(call, _UNAVAILABLE, reason)
            case Unknown(reason=reason):
                return _refusal(call, _TIMEOUT, reason)

    async def _state(self, call: HttpCall, job_id: str) -> Reply:
        state = await self._submissions.state(job_id)
        if isinstance(state, NotFound):
            return _refusal(call, _GONE, 'no such job')
        if isinstance(state, Unavailable):
            return _refusal(call, _UNAVAILABLE, state.reason)
        return Reply(_OK, msgspec.json.encode({'state': state.value}), _JSON)

    async def _cancel(self, call: HttpCall, job_id: str) -> Reply:
        outcome = await self._submissions.cancel(job_id, _time_left(call))
        match outcome:
            case Accepted():
                decision_log.record('cancel_accepted', job=job_id)
                return Reply(_OK, b'{}', _JSON)
            case NotFound():
                return _refusal(call, _GONE, 'no such job')
            case NotAccepted(reason=reason):
                return _refusal(call, _UNAVAILABLE, reason)
            case Unknown(reason=reason):
                return _refusal(call, _TIMEOUT, reason)

    async def _count(self, call: HttpCall, queue: Queue) -> Reply:
        waiting = await self._submissions.waiting(queue.name)
        if isinstance(waiting, Unavailable):
            return _refusal(call, _UNAVAILABLE, waiting.reason)
        return Reply(
            _OK, msgspec.json.encode({'pending_count': waiting}), _JSON
        )


_JSON = {'Content-Type': 'application/json'}


def _time_left(call: HttpCall) -> timedelta:
    text = call.headers.get(_DEADLINE_HEADER, '')
    limit = _DEFAULT_DEADLINE
    if text.isdecimal():
        limit = timedelta(milliseconds=int(text))
    return max(timedelta(), limit - _ANSWER_MARGIN)


def _refusal(call: HttpCall, status: int, reason: str) -> Reply:
    decision_log.record(
        'call_refused',
        method=call.method,
        path=call.path,
        status=status,
        reason=reason,
    )
    headers = dict(_JSON)
    if status == _UNAVAILABLE:
        headers.update(_RETRY_AFTER)
    return Reply(status, b'{}', headers)
