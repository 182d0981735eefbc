"""Client of the caller interface of an entry: requests and jobs."""

import re
import uuid
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import msgspec

from dragonflynotch.client.outcomes import Failure, UnknownOutcome
from dragonflynotch.client.transport import (
    Call,
    HttpTransport,
    Reply,
    decode_reply,
)
from dragonflynotch.client.views import JobList, JobView, RequestAnswer
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.requests import content_digest

__all__ = ('CallerClient', 'HttpCallerClient', 'RequestCall', 'SubmitCall')

# The entry may answer right at the deadline; this lets the answer arrive.
_ANSWER_TRANSIT_MARGIN = timedelta(seconds=2)
_MILLISECOND = timedelta(milliseconds=1)
_MAX_DEADLINE = timedelta(seconds=600)
_MAX_BODY_BYTES = 1024 * 1024
_HEADER_VALUE = re.compile('[!-~]{0,200}')


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestCall:
    """A short request.

    Parameters
    ----------
    body : bytes
        Opaque body, at most 1 MiB.
    request_class : str
        Class configured for the workspace.
    is_idempotent : bool
        Whether the request may run more than once.
    key : str
        Idempotency key of an earlier attempt. If empty, a key is generated
        for a request that is not idempotent.
    deadline : timedelta
        Time limit of the answer, at most 600 s.
    """

    body: bytes
    request_class: str = 'default'
    is_idempotent: bool = False
    key: str = ''
    deadline: timedelta = timedelta(seconds=30)

    def __post_init__(self) -> None:
        """Reject a request that an entry would refuse.

        An entry closes the connection while it receives a body that is too
        large, which the client could only report as an unknown outcome.
        """
        _check_header_value('key', self.key)
        _check_header_value('request_class', self.request_class)
        if len(self.body) > _MAX_BODY_BYTES:
            raise InvalidInputError(
                'body',
                f'{len(self.body)} bytes',
                f'at most {_MAX_BODY_BYTES} bytes',
            )
        if not _MILLISECOND <= self.deadline <= _MAX_DEADLINE:
            raise InvalidInputError(
                'deadline', str(self.deadline), '1 ms to 600 s'
            )


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitCall:
    """A job submission.

    Parameters
    ----------
    job : dict
        Body of the submission (docs/schemas/job.json).
    key : str
        Idempotency key of an earlier attempt. If empty, one is generated.
    """

    job: dict[str, Any]
    key: str = ''

    def __post_init__(self) -> None:
        """Reject a key that is not a valid header value."""
        _check_header_value('key', self.key)


class CallerClient(ABC):
    """Operations of an entry for the callers of a workspace."""

    @abstractmethod
    async def request(self, request: RequestCall) -> RequestAnswer | Failure:
        """Run a request and return its answer."""

    @abstractmethod
    async def submit(self, submission: SubmitCall) -> JobView | Failure:
        """Submit a job and return its state."""

    @abstractmethod
    async def list_jobs(self) -> JobList | Failure:
        """Return all jobs of the workspace."""

    @abstractmethod
    async def get_job(self, job_id: str) -> JobView | Failure:
        """Return the state of a job."""

    @abstractmethod
    async def cancel_job(self, job_id: str) -> JobView | Failure:
        """Cancel a job; a cancelled job stays cancelled."""


class HttpCallerClient(CallerClient):
    """Caller interface reached over HTTP.

    Parameters
    ----------
    transport : HttpTransport
        Connection to the caller port.
    workspace : str
        Workspace for which the client acts.
    token : str
        Bearer token of the workspace.
    """

    def __init__(
        self, transport: HttpTransport, workspace: str, token: str = ''
    ) -> None:
        """Create a client for one workspace."""
        _check_header_value('token', token)
        self._transport = transport
        self._path = f'/v1/workspaces/{quote(workspace, safe="")}'
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def request(self, request: RequestCall) -> RequestAnswer | Failure:
        """Run a request and return its answer."""
        call = self._build_request_call(request)
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        # Content-Digest (RFC 9530) detects a truncated or altered body.
        if reply.headers.get('content-digest') != content_digest(reply.body):
            return UnknownOutcome(
                reason='digest_mismatch',
                detail='the body of the answer does not match Content-Digest',
                step=call.step,
                peer=reply.peer,
                key=call.key,
            )
        return RequestAnswer(
            reply.headers.get('request-id', ''), reply.body, call.key
        )

    async def submit(self, submission: SubmitCall) -> JobView | Failure:
        """Submit a job and return its state."""
        key = submission.key or uuid.uuid4().hex
        return await self._send_job_call(
            Call(
                'submit job',
                'POST',
                f'{self._path}/jobs',
                is_idempotent=False,
                body=msgspec.json.encode(submission.job),
                headers={**self._headers, 'Idempotency-Key': key},
                key=key,
            )
        )

    async def list_jobs(self) -> JobList | Failure:
        """Return all jobs of the workspace."""
        call = self._call_without_body('list jobs', 'GET', '/jobs')
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        return decode_reply(reply, JobList, call)

    async def get_job(self, job_id: str) -> JobView | Failure:
        """Return the state of a job."""
        return await self._send_job_call(
            self._call_without_body('read job', 'GET', _job_path(job_id))
        )

    async def cancel_job(self, job_id: str) -> JobView | Failure:
        """Cancel a job; a cancelled job stays cancelled."""
        return await self._send_job_call(
            self._call_without_body('cancel job', 'DELETE', _job_path(job_id))
        )

    async def _send_job_call(self, call: Call) -> JobView | Failure:
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        return decode_reply(reply, JobView, call)

    def _call_without_body(self, step: str, method: str, path: str) -> Call:
        return Call(
            step,
            method,
            self._path + path,
            is_idempotent=True,
            headers=self._headers,
        )

    def _build_request_call(self, request: RequestCall) -> Call:
        key = request.key
        # A key generated here cannot have been sent before. With this
        # guarantee the entry can answer "not run" while its ledger is down.
        is_first_attempt = not request.key and not request.is_idempotent
        if is_first_attempt:
            key = uuid.uuid4().hex
        headers = {
            **self._headers,
            'Request-Class': request.request_class,
            'Request-Idempotent': _boolean_header(flag=request.is_idempotent),
            'Request-First-Attempt': _boolean_header(flag=is_first_attempt),
            'Request-Deadline-Ms': str(request.deadline // _MILLISECOND),
        }
        if key:
            headers['Idempotency-Key'] = key
        return Call(
            'run request',
            'POST',
            f'{self._path}/requests',
            is_idempotent=request.is_idempotent,
            body=request.body,
            headers=headers,
            key=key,
            timeout=request.deadline + _ANSWER_TRANSIT_MARGIN,
        )


def _check_header_value(name: str, text: str) -> None:
    if not _HEADER_VALUE.fullmatch(text):
        raise InvalidInputError(
            name, text, 'at most 200 printable ASCII characters, no spaces'
        )


def _job_path(job_id: str) -> str:
    return f'/jobs/{quote(job_id, safe="")}'


def _boolean_header(*, flag: bool) -> str:
    return 'true' if flag else 'false'
