"""Outcomes of a call that did not succeed, each with its reason."""

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
class _Unsuccessful:
    """What every unsuccessful outcome tells.

    Parameters
    ----------
    reason : str
        Stable code, for example ``'rate_exceeded'``.
    detail : str
        One sentence.
    step : str
        Operation that failed.
    peer : str
        Process that answered, or that did not answer.
    retry_after : timedelta or None
        When to repeat the call; ``None`` if the entry named no time.
    key : str
        Idempotency key of the call, under which it can be repeated; empty
        for calls without a key.
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


class Invalid(_Unsuccessful):
    """The entry did not understand the call, or the target does not exist."""

    __slots__ = ()


class Refused(_Unsuccessful):
    """The call was not carried out."""

    __slots__ = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict(_Unsuccessful):
    """Another state was found than the caller expected.

    Parameters
    ----------
    current_revision : int or None
        Revision in force, or ``None`` for conflicts about a key.
    """

    current_revision: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownOutcome(_Unsuccessful):
    """The call may or may not have been carried out.

    Parameters
    ----------
    handed_to : str
        Guard that received the request, if known.
    """

    handed_to: str = ''


class Unreachable(_Unsuccessful):
    """No connection could be made; the call was not sent."""

    __slots__ = ()


Failure = Invalid | Refused | Conflict | UnknownOutcome | Unreachable
