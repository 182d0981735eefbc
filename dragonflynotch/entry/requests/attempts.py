"""One attempt of a request at one guard, until its fate is known."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.core.handover import (
    GuardDone,
    GuardNever,
    GuardRunning,
    GuardSilent,
    GuardUnknown,
    Resolution,
)
from dragonflynotch.core.requests import Request
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.links.guard_link import (
    GuardDoubt,
    GuardLink,
    GuardRefusal,
    HandOverReply,
)

__all__ = ('AttemptOutcome', 'AttemptRunner', 'Failed', 'Proven', 'Succeeded')

# A request that takes longer is checked at its guard, so that a connection
# that went silent is noticed long before the deadline.
_FIRST_CHECK_S = 0.5
_LAST_CHECK_S = 2.0
_CHECK_GROWTH = 1.5
_MAX_STRIKES = 2
_SILENT_CONNECTION = 'the connection to the guard is silent'
_POLL_INTERVAL_S = 0.2
RESOLVE_BOUND = timedelta(seconds=1)
_STRIKES = (GuardSilent(), GuardUnknown('not_remembered'))
# Refusals that say nothing about the health of the minion.
_FULL = 'no_free_slot'
_NEUTRAL = frozenset(('deadline_passed', 'never'))
_MINION_FAULT = 'minion_unreachable'


@dataclass(frozen=True, slots=True)
class Succeeded:
    """The whole answer."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Proven:
    """Proof that the attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """No answer; the attempt may have run.

    Parameters
    ----------
    resolution : GuardUnknown, GuardGone, GuardSilent or GuardRunning
        What is known from the guard.
    error : str
        What went wrong.
    """

    resolution: Resolution
    error: str


AttemptOutcome = Succeeded | Proven | Failed


class AttemptRunner:
    """Hands attempts over and finds out what became of them."""

    def __init__(
        self, routing: RoutingTable, link: GuardLink, clock: Clock
    ) -> None:
        """Use ``link`` and report the health of members to ``routing``."""
        self._routing = routing
        self._link = link
        self._clock = clock

    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        *,
        is_retry: bool = False,
    ) -> AttemptOutcome:
        """Return the outcome of one attempt.

        Parameters
        ----------
        target : Target
            Guard and incarnation.
        request : Request
            The request; its deadline limits the attempt.
        attempt : str
            Id of the attempt, never used before.
        is_retry : bool
            Whether an earlier attempt of the request failed.
        """
        now = self._clock.now()
        if now >= request.deadline:
            return Proven('deadline_passed')
        call = asyncio.create_task(
            self._link.run(target, request, attempt, now, is_retry=is_retry)
        )
        try:
            return await self._supervise(call, target, request, attempt)
        finally:
            call.cancel()
            with suppress(LinkError, asyncio.CancelledError):
                await call

    async def resolve(
        self, target: Target, attempt: str, *, is_idempotent: bool = False
    ) -> Resolution:
        """Return what the guard says of an attempt within the bound."""
        try:
            async with asyncio.timeout(RESOLVE_BOUND.total_seconds()):
                return await self._link.resolve(
                    target,
                    attempt,
                    is_idempotent=is_idempotent,
                    timeout=RESOLVE_BOUND,
                )
        except (LinkError, TimeoutError):
            return GuardSilent()

    def record(self, target: Target, outcome: AttemptOutcome) -> None:
        """Report an outcome to the routing table, after the slot's release."""
        match outcome:
            case Succeeded():
                self._routing.record_success(target)
            case Proven(reason) if reason == _MINION_FAULT:
                self._routing.record_failure(target, self._clock.now())
            case Proven(reason) if reason not in _NEUTRAL:
                self._routing.record_refusal(target, is_full=reason == _FULL)
            case Failed():
                self._routing.record_failure(target, self._clock.now())

    async def _supervise(
        self,
        call: asyncio.Task[HandOverReply],
        target: Target,
        request: Request,
        attempt: str,
    ) -> AttemptOutcome:
        watch = _Watch()
        while not await watch.is_done(call):
            resolution = await self.resolve(
                target, attempt, is_idempotent=request.is_idempotent
            )
            if call.done():
                break
            is_live = self._routing.is_live(target, self._clock.now())
            if watch.has_patience(resolution, is_live=is_live):
                continue
            outcome = self._judge(resolution, request, _SILENT_CONNECTION)
            if outcome is not None:
                return outcome
        final, error = _reply_outcome(call, request)
        return final or await self._poll(target, request, attempt, error)

    async def _poll(
        self, target: Target, request: Request, attempt: str, error: str
    ) -> AttemptOutcome:
        while True:
            resolution = await self.resolve(target, attempt)
            outcome = self._judge(resolution, request, error)
            if outcome is not None:
                return outcome
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _judge(
        self, resolution: Resolution, request: Request, error: str
    ) -> AttemptOutcome | None:
        match resolution:
            case GuardDone(body):
                return Succeeded(body)
            case GuardNever():
                return Proven('never')
            case GuardRunning() if self._clock.now() < request.deadline:
                return None
            case _:
                return Failed(resolution, error)


class _Watch:
    """Intervals between the checks of an attempt that takes long."""

    def __init__(self) -> None:
        self._interval_s = _FIRST_CHECK_S
        self._strikes = 0

    async def is_done(self, call: asyncio.Task[HandOverReply]) -> bool:
        """Wait one interval for the call and return whether it is done."""
        await asyncio.wait((call,), timeout=self._interval_s)
        self._interval_s = min(self._interval_s * _CHECK_GROWTH, _LAST_CHECK_S)
        return call.done()

    def has_patience(self, resolution: Resolution, *, is_live: bool) -> bool:
        """Return whether to check again before the attempt is given up.

        An answer that is on its way leaves no trace of an idempotent attempt
        at the guard, so one such reply is not taken as a loss.
        """
        if resolution not in _STRIKES:
            self._strikes = 0
            return False
        self._strikes += 1
        self._interval_s = _FIRST_CHECK_S
        return is_live and self._strikes < _MAX_STRIKES


def _reply_outcome(
    call: asyncio.Task[HandOverReply], request: Request
) -> tuple[AttemptOutcome | None, str]:
    """Return the outcome, or ``None`` and the error if the guard must say."""
    try:
        reply = call.result()
    except NotSentError as error:
        return Proven('guard_unreachable'), str(error)
    except LinkError as error:
        if request.is_idempotent:
            return Failed(GuardSilent(), str(error)), str(error)
        return None, str(error)
    match reply:
        case GuardRefusal(reason):
            return Proven(reason), ''
        case GuardDoubt(reason):
            return Failed(GuardUnknown(reason), reason), ''
        case bytes():
            return Succeeded(reply), ''
