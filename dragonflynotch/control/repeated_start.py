"""Repeats a start call while there is no response."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from dragonflynotch.control.minions import (
    NoAnswer,
    OtherIncarnation,
    Started,
    StartRefused,
    Unhealthy,
)

__all__ = ('RepeatedOutcome', 'StartOutcome', 'start_repeatedly')

# A minion responds to a start within some milliseconds, if at all.
_REPEAT_INTERVAL_S = 0.15
_MAX_OPEN_CALLS = 4

StartOutcome = Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer
_StartCall = asyncio.Task[StartOutcome]


@dataclass(frozen=True, slots=True)
class RepeatedOutcome:
    """Outcome of a start that may have been sent several times.

    Parameters
    ----------
    first : StartOutcome
        First response, or the outcome of the first call without one.
    has_open_calls : bool
        Whether further calls may still be carried out.
    """

    first: StartOutcome
    has_open_calls: bool


async def start_repeatedly(
    start: Callable[[], Coroutine[Any, Any, StartOutcome]],
) -> RepeatedOutcome:
    """Call a minion, and again while no call has a response.

    Parameters
    ----------
    start : callable
        Sends the start, which is idempotent, and ends after its timeout.
    """
    calls: set[_StartCall] = set()
    try:
        while True:
            if len(calls) < _MAX_OPEN_CALLS:
                calls.add(asyncio.create_task(start()))
            done, is_open = await asyncio.wait(
                calls,
                timeout=_REPEAT_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return RepeatedOutcome(_first_response(done), bool(is_open))
    finally:
        for call in calls:
            call.cancel()


def _first_response(calls: Iterable[_StartCall]) -> StartOutcome:
    outcomes = [call.result() for call in calls]
    return next(
        (outcome for outcome in outcomes if not isinstance(outcome, NoAnswer)),
        outcomes[0],
    )
