"""Outcomes of failed calls."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = (
    'Conflict',
    'Failure',
    'Invalid',
    'Refused',
    'UnknownOutcome',
    'Unreachable',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _FailureBase:
    """Fields of every failed call.

    Parameters
    ----------
    reason : str
        Stable reason code, for example ``'rate_exceeded'``.
    detail : str
        Explanation in one sentence.
    step : str
        Operation that failed.
    peer : str
        Process that sent the answer or should have sent it.
    retry_after : timedelta or None
        Delay before a retry; ``None`` if the entry stated none.
    key : str
        Idempotency key with which the call can be retried; empty for calls
        without a key.
    """

    reason: str
    detail: str
    step: str
    peer: str
    retry_after: timedelta | None = None
    key: str = ''

    def __str__(self) -> str:
        """Return one sentence with reason, step and peer."""
        return (
            f'{self.reason}: {self.detail} '
            f'(step {self.step!r}, peer {self.peer!r})'
        )


class Invalid(_FailureBase):
    """The call is malformed, or the named object does not exist."""

    __slots__ = ()


class Refused(_FailureBase):
    """The entry refused the call and did not carry it out."""

    __slots__ = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict(_FailureBase):
    """The current state differs from the one that the caller expected.

    Parameters
    ----------
    current_revision : int or None
        Current revision of the record; ``None`` if the conflict is about an
        idempotency key.
    """

    current_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownOutcome(_FailureBase):
    """The call may or may not have been carried out.

    Parameters
    ----------
    handed_to : str
        Guard that received the request, if known.
    """

    handed_to: str = ''


class Unreachable(_FailureBase):
    """The entry did not answer, and the call left no unknown outcome.

    Either no connection could be made, so that the call was not sent, or an
    idempotent call got no answer and can be repeated.
    """

    __slots__ = ()


Failure = Invalid | Refused | Conflict | UnknownOutcome | Unreachable
