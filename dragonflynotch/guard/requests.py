"""Runs handed-over requests on the minion within its slots."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.errors import LinkError, LinkTimeoutError
from dragonflynotch.platform.minion import MinionClient

__all__ = ('HandOver', 'Refused', 'RequestRunner', 'Ran', 'RunUnknown')


@dataclass(frozen=True, slots=True)
class HandOver:
    """One attempt of a request, handed over by an entry."""

    request_id: str
    attempt: str
    incarnation: int
    timeout: timedelta
    body: bytes


@dataclass(frozen=True, slots=True)
class Ran:
    """The minion ran the request and answered."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunUnknown:
    """The minion got the request; its outcome is not known."""

    reason: str


class RequestRunner:
    """Owns the slots of one minion."""

    def __init__(
        self, minion: MinionClient, *, slots: int, incarnation: int
    ) -> None:
        """Create a runner with all slots free."""
        self._minion = minion
        self._slots = slots
        self._incarnation = incarnation
        self._running = 0
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def free_slots(self) -> int:
        """Number of requests that can start now."""
        return self._slots - self._running

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._is_draining

    async def run(self, hand_over: HandOver) -> Ran | Refused | RunUnknown:
        """Run an attempt, or refuse it for ever."""
        refusal = self._refusal(hand_over)
        if refusal:
            return Refused(refusal)
        self._running += 1
        self._idle.clear()
        try:
            return await self._run_on_minion(hand_over)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def drain(self, limit: timedelta) -> bool:
        """Refuse new requests and wait for those in flight.

        Returns
        -------
        bool
            Whether all requests finished within ``limit``.
        """
        self._is_draining = True
        try:
            await asyncio.wait_for(self._idle.wait(), limit.total_seconds())
        except TimeoutError:
            return False
        return True

    def _refusal(self, hand_over: HandOver) -> str:
        if hand_over.incarnation != self._incarnation:
            return 'other_incarnation'
        if self._is_draining:
            return 'draining'
        return '' if self.free_slots > 0 else 'no_free_slot'

    async def _run_on_minion(self, hand_over: HandOver) -> Ran | RunUnknown:
        try:
            body = await self._minion.run(
                hand_over.request_id, hand_over.body, hand_over.timeout
            )
        except LinkTimeoutError:
            return RunUnknown('minion_timeout')
        except LinkError as error:
            return RunUnknown(f'minion_error: {error}')
        return Ran(body)
