"""Commands for jobs and the answers to them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.entry.partition.owner_inputs import (
    JobOutcomeUnknown,
    JobRefused,
)

__all__ = (
    'JobAnswer',
    'JobCommand',
    'JobMethod',
    'JobService',
    'problem_answer',
    'refusal_answer',
)

HTTP_OK = 200
HTTP_ACCEPTED = 202
_HTTP_UNPROCESSABLE = 422
_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_UNAVAILABLE = 503
_HTTP_GATEWAY_TIMEOUT = 504
_FIRST_PROBLEM_STATUS = 300
_MAX_VALUE_LENGTH = 200
_MILLISECOND = timedelta(milliseconds=1)


class JobMethod(Enum):
    """Operation on jobs."""

    submit = 'submit'
    list_all = 'list'
    show = 'show'
    cancel = 'cancel'


@dataclass(frozen=True, slots=True)
class JobCommand:
    """A job call in the form that entries forward unchanged.

    Parameters
    ----------
    method : JobMethod
        Operation that the caller requests.
    workspace : str
        Workspace of the caller.
    job_id : str
        Job for ``show`` and ``cancel``.
    idempotency_key : str
        Key for ``submit``; empty for none.
    body : bytes
        JSON body for ``submit``.
    data_centre : str
        Data centre that the caller requests; empty for any.
    """

    method: JobMethod
    workspace: str
    job_id: str = ''
    idempotency_key: str = ''
    body: bytes = b''
    data_centre: str = ''


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """HTTP status and JSON body for the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        JSON document; a problem document unless ``status`` is below 300.
    retry_after : timedelta or None
        How long to wait before repeating the call.
    """

    status: int
    body: bytes
    retry_after: timedelta | None = None

    @property
    def is_success(self) -> bool:
        """Whether the call succeeded."""
        return self.status < _FIRST_PROBLEM_STATUS

    @property
    def reason(self) -> str:
        """Reason code of a problem; empty for a success."""
        if self.is_success:
            return ''
        problem = decode_untrusted(_problem_decoder.decode, self.body)
        # The answer may come from another entry.
        return '' if isinstance(problem, Unreadable) else problem.reason

    @property
    def is_not_owner(self) -> bool:
        """Whether the call was refused because another entry is the owner."""
        return self.reason == 'not_owner'


class JobService(ABC):
    """Answers job calls."""

    @abstractmethod
    async def call(self, command: JobCommand) -> JobAnswer:
        """Return the answer to a call; invalid input gives a problem answer."""


class _Problem(msgspec.Struct, omit_defaults=False):
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int = 0
    path: str = ''
    value: str = ''
    expected: str = ''
    step: str = ''
    peer: str = ''


_problem_decoder = msgspec.json.Decoder(_Problem)


def problem_answer(
    status: int,
    reason: str,
    detail: str,
    *,
    outcome: str = 'not_run',
    retry_after: timedelta | None = None,
    invalid: InvalidInputError | None = None,
    step: str = 'decide on job',
    peer: str = '',
) -> JobAnswer:
    """Return an answer with a problem document."""
    retry_after_ms = (retry_after or timedelta()) // _MILLISECOND
    problem = _Problem(
        outcome,
        reason,
        detail,
        retry_after_ms,
        step=step,
        peer=peer,
    )
    if invalid is not None:
        problem.path = invalid.path
        problem.value = repr(invalid.value)[:_MAX_VALUE_LENGTH]
        problem.expected = invalid.expected
    return JobAnswer(status, msgspec.json.encode(problem), retry_after)


def refusal_answer(result: JobRefused | JobOutcomeUnknown) -> JobAnswer:
    """Return the answer for a call that was refused or has no known outcome."""
    if isinstance(result, JobOutcomeUnknown):
        return problem_answer(
            _HTTP_GATEWAY_TIMEOUT,
            result.reason,
            result.detail,
            outcome='unknown',
            retry_after=result.retry_after,
        )
    status = _HTTP_UNAVAILABLE
    if result.reason == 'too_many_waiting_jobs':
        status = _HTTP_TOO_MANY_REQUESTS
    elif result.retry_after is None:
        status = _HTTP_UNPROCESSABLE
    return problem_answer(
        status,
        result.reason,
        result.detail,
        retry_after=result.retry_after,
    )
