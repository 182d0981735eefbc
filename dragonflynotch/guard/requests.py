"""Runs handed-over requests on the minion, at most one per slot."""

import asyncio
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.guard.attempt_history import (
    AttemptHistory,
    RecordedAnswer,
    RecordedAttempt,
    RecordedRefusal,
    RecordedUnknown,
)
from dragonflynotch.services.minion import MinionClient

__all__ = (
    'Answered',
    'Handover',
    'Refused',
    'RequestRunner',
    'Running',
    'RunResolution',
    'RunUnknown',
    'WillNotRun',
)


@dataclass(frozen=True, slots=True)
class Handover:
    """One attempt of a request, handed over by an entry.

    Parameters
    ----------
    request_id : str
        Id of the request, repeated in the answer.
    attempt : str
        Id of the attempt.
    incarnation : int
        Incarnation of the guard that the attempt was sent to.
    timeout : timedelta
        Time left for the answer.
    expires_at : datetime
        Deadline on the clock of the entry. A message that was delayed in
        transit is refused after it, even if ``timeout`` is still positive.
    body : bytes
        Opaque request body.
    is_idempotent : bool
        Whether the request may run again; such attempts are not recorded.
    """

    request_id: str
    attempt: str
    incarnation: int
    timeout: timedelta
    expires_at: datetime
    body: bytes
    is_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The minion ran the request and answered."""

    request_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunUnknown:
    """The minion may have run the request; its outcome is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class Running:
    """The attempt is running."""


@dataclass(frozen=True, slots=True)
class WillNotRun:
    """The attempt did not run and is refused from now on."""


RunResolution = Answered | Running | WillNotRun | RunUnknown

# Largest clock difference between an entry and a guard. The longest deadline
# (10 min) plus this stays below the 15 min for which refusals are kept.
_MAX_CLOCK_SKEW = timedelta(minutes=4)


class RequestRunner:
    """Runs requests on one minion and records the outcome of each attempt.

    Parameters
    ----------
    minion : MinionClient
        Client of the minion.
    slots : int
        Number of requests that may run concurrently.
    incarnation : int
        Incarnation of this guard.
    clock : Clock
        Clock for deadlines and the age of records.
    history : AttemptHistory, optional
        Record of finished and refused attempts.
    """

    def __init__(
        self,
        minion: MinionClient,
        *,
        slots: int,
        incarnation: int,
        clock: Clock,
        history: AttemptHistory | None = None,
    ) -> None:
        """Create a runner with all slots free."""
        self._minion = minion
        self._slots = slots
        self._incarnation = incarnation
        self._clock = clock
        self._history = AttemptHistory() if history is None else history
        self._running: set[str] = set()
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def free_slots(self) -> int:
        """Number of requests that can start now."""
        return self._slots - len(self._running)

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._is_draining

    def start_drain(self) -> None:
        """Refuse new requests."""
        self._is_draining = True

    async def run(self, handover: Handover) -> Answered | Refused | RunUnknown:
        """Run an attempt unless it is refused or was handed over before."""
        if handover.incarnation != self._incarnation:
            return Refused('other_incarnation')
        recorded = self._recorded_outcome(handover.attempt)
        if recorded is not None:
            return recorded
        refusal_reason = self._refusal_reason(handover)
        if refusal_reason:
            return self._refuse(handover, refusal_reason)
        self._running.add(handover.attempt)
        self._idle.clear()
        try:
            return await self._run_on_minion(handover)
        finally:
            self._running.discard(handover.attempt)
            if not self._running:
                self._idle.set()

    def resolve(
        self, attempt: str, incarnation: int, *, is_idempotent: bool
    ) -> RunResolution:
        """Return the outcome of an attempt, and refuse it if it did not run.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        incarnation : int
            Incarnation of the guard that the attempt was sent to.
        is_idempotent : bool
            Whether the request may run again; such attempts are not recorded.
        """
        if attempt in self._running:
            return Running()
        if incarnation != self._incarnation:
            return RunUnknown('other_incarnation')
        if is_idempotent:
            return RunUnknown('not_remembered')
        now = self._clock.now()
        remembered = self._history.find(attempt, now)
        if remembered is None:
            if not self._history.is_complete(now):
                return RunUnknown('memory_evicted')
            if not self._history.can_keep_refusals():
                return RunUnknown('memory_full')
            remembered = RecordedRefusal(
                'resolved_as_never', is_handover_pending=True
            )
            self._history.record(attempt, remembered, now)
        return _resolution(remembered)

    async def drain(self, limit: timedelta) -> bool:
        """Refuse new requests and wait for those in flight.

        Returns
        -------
        bool
            Whether all requests finished within ``limit``.
        """
        self.start_drain()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _recorded_outcome(
        self, attempt: str
    ) -> Answered | Refused | RunUnknown | None:
        if attempt in self._running:
            return RunUnknown('already_running')
        match self._history.find(attempt, self._clock.now()):
            case RecordedAnswer(request_id, body):
                return Answered(request_id, body)
            case RecordedRefusal(reason):
                return Refused(reason)
            case RecordedUnknown(reason):
                return RunUnknown(reason)
        return None

    def _refusal_reason(self, handover: Handover) -> str:
        now = self._clock.now()
        is_expired = now > handover.expires_at + _MAX_CLOCK_SKEW
        if is_expired or handover.timeout <= timedelta():
            return 'deadline_passed'
        if self._is_draining:
            return 'draining'
        return '' if self.free_slots > 0 else 'no_free_slot'

    def _refuse(self, handover: Handover, reason: str) -> Refused:
        self._remember(handover, RecordedRefusal(reason))
        return Refused(reason)

    def _remember(
        self, handover: Handover, remembered: RecordedAttempt
    ) -> None:
        if not handover.is_idempotent:
            self._history.record(
                handover.attempt, remembered, self._clock.now()
            )

    async def _run_on_minion(
        self, handover: Handover
    ) -> Answered | Refused | RunUnknown:
        try:
            body = await self._minion.run(
                handover.request_id, handover.body, handover.timeout
            )
        except NotSentError:
            return self._refuse(handover, 'minion_unreachable')
        except LinkError as error:
            is_timeout = isinstance(error, LinkTimeoutError)
            reason = 'minion_timeout' if is_timeout else 'minion_error'
            return self._record_unknown(handover, f'{reason}: {error}')
        except BaseException:
            self._record_unknown(handover, 'guard_error')
            raise
        self._remember(handover, RecordedAnswer(handover.request_id, body))
        return Answered(handover.request_id, body)

    def _record_unknown(self, handover: Handover, reason: str) -> RunUnknown:
        self._remember(handover, RecordedUnknown(reason))
        return RunUnknown(reason)


def _resolution(remembered: RecordedAttempt) -> RunResolution:
    match remembered:
        case RecordedAnswer(request_id, body):
            return Answered(request_id, body)
        case RecordedUnknown(reason):
            return RunUnknown(reason)
        case RecordedRefusal():
            return WillNotRun()
