"""Runs one attempt of a request at a guard and determines its outcome."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.core.handover import (
    AttemptDone,
    AttemptNeverRun,
    AttemptNotRemembered,
    AttemptRunning,
    GuardNotReachable,
    Resolution,
)
from dragonflynotch.core.requests import Request
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.links.guard_link import (
    GuardLink,
    GuardOutcomeUnknown,
    GuardRefusal,
    HandoverReply,
)

__all__ = (
    'AttemptOutcome',
    'AttemptRunner',
    'OutcomeUnknown',
    'ProvenNotRun',
    'Succeeded',
)

# The guard is asked about an attempt that takes longer, so that a broken
# connection is noticed long before the deadline.
_FIRST_CHECK_INTERVAL_S = 0.5
_MAX_CHECK_INTERVAL_S = 2.0
_CHECK_INTERVAL_GROWTH = 1.5
# Failed checks in a row after which an attempt is given up.
_MAX_FAILED_CHECKS = 2
_SILENT_CONNECTION = 'no answer on the connection to the guard'
_POLL_INTERVAL_S = 0.2
_RESOLVE_TIMEOUT = timedelta(seconds=1)
# The guard did not reply, or does not know the attempt.
_FAILED_CHECKS = (GuardNotReachable(), AttemptNotRemembered('not_remembered'))
_NO_FREE_SLOT = 'no_free_slot'
# Refusals that say nothing about the health of the minion.
_HEALTH_NEUTRAL_REASONS = frozenset(('deadline_passed', 'never'))
_MINION_UNREACHABLE = 'minion_unreachable'


@dataclass(frozen=True, slots=True)
class Succeeded:
    """The minion answered completely."""

    body: bytes


@dataclass(frozen=True, slots=True)
class ProvenNotRun:
    """The attempt is proven not to have run; it never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The attempt got no answer and may have run.

    Parameters
    ----------
    resolution : Resolution
        What the guard last said about the attempt, or why it said nothing:
        AttemptNotRemembered, IncarnationEnded, GuardNotReachable or
        AttemptRunning.
    error : str
        Why there is no answer.
    """

    resolution: Resolution
    error: str


AttemptOutcome = Succeeded | ProvenNotRun | OutcomeUnknown


class AttemptRunner:
    """Hands attempts over to guards and determines their outcomes."""

    def __init__(
        self, routing: RoutingTable, link: GuardLink, clock: Clock
    ) -> None:
        """Create a runner that reports the health of members to ``routing``."""
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
            Guard and incarnation to hand the attempt to.
        request : Request
            The request; its deadline limits the attempt.
        attempt : str
            Id of the attempt, never used before.
        is_retry : bool
            Whether an earlier attempt of the request failed.
        """
        now = self._clock.now()
        if now >= request.deadline:
            return ProvenNotRun('deadline_passed')
        call = asyncio.create_task(
            self._link.run(target, request, attempt, now, is_retry=is_retry)
        )
        try:
            return await self._wait_with_checks(call, target, request, attempt)
        finally:
            call.cancel()
            with suppress(LinkError, asyncio.CancelledError):
                await call

    async def resolve(
        self, target: Target, attempt: str, *, is_idempotent: bool = False
    ) -> Resolution:
        """Return what the guard says about an attempt, or its silence."""
        try:
            async with asyncio.timeout(_RESOLVE_TIMEOUT.total_seconds()):
                return await self._link.resolve(
                    target,
                    attempt,
                    is_idempotent=is_idempotent,
                    timeout=_RESOLVE_TIMEOUT,
                )
        except (LinkError, TimeoutError):
            return GuardNotReachable()

    def record(
        self, target: Target, outcome: AttemptOutcome, sent_at: datetime
    ) -> None:
        """Report an outcome to the routing table once the slot is released.

        Parameters
        ----------
        target : Target
            Target of the attempt.
        outcome : AttemptOutcome
            Outcome of the attempt.
        sent_at : datetime
            When the target was assigned to the attempt.
        """
        match outcome:
            case Succeeded():
                self._routing.record_success(target, sent_at)
            case ProvenNotRun(reason) if reason == _MINION_UNREACHABLE:
                self._routing.record_failure(target, sent_at, self._clock.now())
            case ProvenNotRun(reason) if reason not in _HEALTH_NEUTRAL_REASONS:
                self._routing.record_refusal(
                    target, is_full=reason == _NO_FREE_SLOT
                )
            case OutcomeUnknown():
                self._routing.record_failure(target, sent_at, self._clock.now())

    async def _wait_with_checks(
        self,
        call: asyncio.Task[HandoverReply],
        target: Target,
        request: Request,
        attempt: str,
    ) -> AttemptOutcome:
        schedule = _CheckSchedule()
        while not await schedule.is_done(call):
            resolution = await self.resolve(
                target, attempt, is_idempotent=request.is_idempotent
            )
            if call.done():
                break
            is_live = self._routing.is_live(target, self._clock.now())
            if schedule.should_check_again(resolution, is_live=is_live):
                continue
            outcome = self._outcome_of_resolution(
                resolution, request, _SILENT_CONNECTION
            )
            if outcome is not None:
                return outcome
        final, error = _reply_outcome(call, request)
        return final or await self._poll_guard(target, request, attempt, error)

    async def _poll_guard(
        self, target: Target, request: Request, attempt: str, error: str
    ) -> AttemptOutcome:
        while True:
            resolution = await self.resolve(target, attempt)
            outcome = self._outcome_of_resolution(resolution, request, error)
            if outcome is not None:
                return outcome
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _outcome_of_resolution(
        self, resolution: Resolution, request: Request, error: str
    ) -> AttemptOutcome | None:
        match resolution:
            case AttemptDone(body):
                return Succeeded(body)
            case AttemptNeverRun():
                return ProvenNotRun('never')
            case AttemptRunning() if self._clock.now() < request.deadline:
                return None
            case _:
                return OutcomeUnknown(resolution, error)


class _CheckSchedule:
    """Schedules the checks of an attempt that takes long."""

    def __init__(self) -> None:
        self._interval_s = _FIRST_CHECK_INTERVAL_S
        self._failed_check_count = 0

    async def is_done(self, call: asyncio.Task[HandoverReply]) -> bool:
        """Wait one interval for the call and return whether it is done."""
        await asyncio.wait((call,), timeout=self._interval_s)
        self._interval_s = min(
            self._interval_s * _CHECK_INTERVAL_GROWTH, _MAX_CHECK_INTERVAL_S
        )
        return call.done()

    def should_check_again(
        self, resolution: Resolution, *, is_live: bool
    ) -> bool:
        """Return whether to check again before the attempt is given up.

        A guard does not remember finished idempotent attempts, so a single
        failed check may mean that the answer is on its way.
        """
        if resolution not in _FAILED_CHECKS:
            self._failed_check_count = 0
            return False
        self._failed_check_count += 1
        self._interval_s = _FIRST_CHECK_INTERVAL_S
        return is_live and self._failed_check_count < _MAX_FAILED_CHECKS


def _reply_outcome(
    call: asyncio.Task[HandoverReply], request: Request
) -> tuple[AttemptOutcome | None, str]:
    """Return the outcome and the error.

    The outcome is ``None`` if the guard must be asked for it.
    """
    try:
        reply = call.result()
    except NotSentError as error:
        return ProvenNotRun('guard_unreachable'), str(error)
    except LinkError as error:
        if request.is_idempotent:
            return OutcomeUnknown(GuardNotReachable(), str(error)), str(error)
        return None, str(error)
    match reply:
        case GuardRefusal(reason):
            return ProvenNotRun(reason), ''
        case GuardOutcomeUnknown(reason):
            return OutcomeUnknown(AttemptNotRemembered(reason), reason), ''
        case bytes():
            return Succeeded(reply), ''
