"""Runs handed-over requests on the minion within its slots."""

import asyncio
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.guard.memory import (
    AttemptMemory,
    RememberedAnswer,
    RememberedAttempt,
    RememberedRefusal,
    RememberedUnknown,
)
from dragonflynotch.services.minion import MinionClient

__all__ = (
    'HandOver',
    'Never',
    'Ran',
    'Refused',
    'RequestRunner',
    'Running',
    'RunResolution',
    'RunUnknown',
)


@dataclass(frozen=True, slots=True)
class HandOver:
    """One attempt of a request, handed over by an entry.

    Parameters
    ----------
    request_id : str
        Id that the answer must carry.
    attempt : str
        Id of the attempt.
    incarnation : int
        Guard incarnation that the attempt is meant for.
    timeout : timedelta
        Time that is left for the answer.
    expires_at : datetime
        Deadline on the clock of the entry; a message that was held up on the
        way is refused after it, also when ``timeout`` is still positive.
    body : bytes
        Opaque body.
    is_idempotent : bool
        Idempotent attempts are not remembered.
    """

    request_id: str
    attempt: str
    incarnation: int
    timeout: timedelta
    expires_at: datetime
    body: bytes
    is_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Ran:
    """The minion ran the request and answered."""

    request_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunUnknown:
    """The minion got the request; its outcome is not known."""

    reason: str


@dataclass(frozen=True, slots=True)
class Running:
    """The attempt runs now."""


@dataclass(frozen=True, slots=True)
class Never:
    """The attempt did not run and is refused from now on."""


RunResolution = Ran | Running | Never | RunUnknown

# Clocks of entry and guard may differ by this much. The longest deadline plus
# this stays below the 15 min for which refusals are remembered.
_CLOCK_TOLERANCE = timedelta(minutes=4)


class RequestRunner:
    """Owns the slots of one minion.

    Parameters
    ----------
    minion : MinionClient
        The minion.
    slots : int
        Requests that may run at the same time.
    incarnation : int
        Incarnation of this guard.
    clock : Clock
        Clock for the memory and the deadlines.
    memory : AttemptMemory, optional
        Finished and refused attempts.
    """

    def __init__(
        self,
        minion: MinionClient,
        *,
        slots: int,
        incarnation: int,
        clock: Clock,
        memory: AttemptMemory | None = None,
    ) -> None:
        """Create a runner with all slots free."""
        self._minion = minion
        self._slots = slots
        self._incarnation = incarnation
        self._clock = clock
        self._memory = AttemptMemory() if memory is None else memory
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
        """Refuse new requests from now on."""
        self._is_draining = True

    async def run(self, hand_over: HandOver) -> Ran | Refused | RunUnknown:
        """Run an attempt, or refuse it for ever."""
        if hand_over.incarnation != self._incarnation:
            return Refused('other_incarnation')
        known = self._known(hand_over.attempt)
        if known is not None:
            return known
        refusal = self._refusal(hand_over)
        if refusal:
            return self._refuse(hand_over, refusal)
        self._running.add(hand_over.attempt)
        self._idle.clear()
        try:
            return await self._run_on_minion(hand_over)
        finally:
            self._running.discard(hand_over.attempt)
            if not self._running:
                self._idle.set()

    def resolve(
        self, attempt: str, incarnation: int, *, is_idempotent: bool
    ) -> RunResolution:
        """Say what became of an attempt, and refuse it if it did not run.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        incarnation : int
            Guard incarnation that the attempt was meant for.
        is_idempotent : bool
            Whether the attempt is not remembered; then nothing is recorded.
        """
        if attempt in self._running:
            return Running()
        if incarnation != self._incarnation:
            return RunUnknown('other_incarnation')
        if is_idempotent:
            return RunUnknown('not_remembered')
        now = self._clock.now()
        remembered = self._memory.find(attempt, now)
        if remembered is None:
            if not self._memory.is_complete(now):
                return RunUnknown('memory_evicted')
            if not self._memory.can_keep_refusals():
                return RunUnknown('memory_full')
            remembered = RememberedRefusal(
                'resolved_as_never', is_handover_pending=True
            )
            self._memory.record(attempt, remembered, now)
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

    def _known(self, attempt: str) -> Ran | Refused | RunUnknown | None:
        if attempt in self._running:
            return RunUnknown('already_running')
        match self._memory.find(attempt, self._clock.now()):
            case RememberedAnswer(request_id, body):
                return Ran(request_id, body)
            case RememberedRefusal(reason):
                return Refused(reason)
            case RememberedUnknown(reason):
                return RunUnknown(reason)
        return None

    def _refusal(self, hand_over: HandOver) -> str:
        now = self._clock.now()
        is_late = now > hand_over.expires_at + _CLOCK_TOLERANCE
        if is_late or hand_over.timeout <= timedelta():
            return 'deadline_passed'
        if self._is_draining:
            return 'draining'
        return '' if self.free_slots > 0 else 'no_free_slot'

    def _refuse(self, hand_over: HandOver, reason: str) -> Refused:
        self._remember(hand_over, RememberedRefusal(reason))
        return Refused(reason)

    def _remember(
        self, hand_over: HandOver, remembered: RememberedAttempt
    ) -> None:
        if not hand_over.is_idempotent:
            self._memory.record(
                hand_over.attempt, remembered, self._clock.now()
            )

    async def _run_on_minion(
        self, hand_over: HandOver
    ) -> Ran | Refused | RunUnknown:
        try:
            body = await self._minion.run(
                hand_over.request_id, hand_over.body, hand_over.timeout
            )
        except NotSentError:
            return self._refuse(hand_over, 'minion_unreachable')
        except LinkError as error:
            is_timeout = isinstance(error, LinkTimeoutError)
            reason = 'minion_timeout' if is_timeout else 'minion_error'
            return self._not_known(hand_over, f'{reason}: {error}')
        except BaseException:
            self._not_known(hand_over, 'guard_error')
            raise
        self._remember(hand_over, RememberedAnswer(hand_over.request_id, body))
        return Ran(hand_over.request_id, body)

    def _not_known(self, hand_over: HandOver, reason: str) -> RunUnknown:
        self._remember(hand_over, RememberedUnknown(reason))
        return RunUnknown(reason)


def _resolution(remembered: RememberedAttempt) -> RunResolution:
    match remembered:
        case RememberedAnswer(request_id, body):
            return Ran(request_id, body)
        case RememberedUnknown(reason):
            return RunUnknown(reason)
        case RememberedRefusal():
            return Never()
