"""Carries out one order at a minion."""

import asyncio
from collections.abc import Callable

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.minions import (
    NoAnswer,
    OtherIncarnation,
    RefusalReason,
    Started,
    StartRefused,
    StartRequest,
    Stopped,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderEntry, Phase
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.observability.decisions import decision_log

__all__ = ('OrderRunner',)

# Pause before a call is repeated to a minion that did not carry it out.
_RETRY_S = 0.1

StartOutcome = Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer


class OrderRunner:
    """Starts and stops runs of one session.

    Parameters
    ----------
    orders_age_ms : callable
        Returns the age of the replica of the orders, for the log.
    """

    def __init__(
        self,
        session: MinionSession,
        writer: ReportWriter,
        store_clock: StoreClock,
        clock: SteadyClock,
        orders_age_ms: Callable[[], int],
    ) -> None:
        """Carry out orders of ``session``."""
        self._session = session
        self._writer = writer
        self._store_clock = store_clock
        self._clock = clock
        self._orders_age_ms = orders_age_ms

    async def start(self, entry: OrderEntry) -> None:
        """Start a run, or make sure that it never starts."""
        while self._may_start(entry):
            outcome = await self._try_start(entry)
            decision_log.record(
                'start_order',
                task=entry.task,
                run=entry.order.run,
                outcome=describe(outcome),
                orders_age_ms=self._orders_age_ms(),
            )
            if await self._is_settled(entry, outcome):
                return
            await asyncio.sleep(_RETRY_S)
        reason = 'stopped' if entry.order.is_stopped else 'expired'
        await self._close(entry, reason)

    async def stop(self, entry: OrderEntry) -> None:
        """Stop a run, or make sure that it never starts."""
        outcome = await self.send_stop(entry.task, entry.order.run)
        decision_log.record(
            'stop_order',
            task=entry.task,
            run=entry.order.run,
            outcome=describe(outcome),
        )
        if not isinstance(outcome, Stopped):
            await asyncio.sleep(_RETRY_S)
            return
        entry.is_stop_sent = True
        entry.may_arrive = False
        await self._reject_unless_run(entry, 'stopped')

    async def send_stop(
        self, task: str, run: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Order the minion to stop a run."""
        return await self._session.minion.stop(task, run, self._writer.token)

    def _may_start(self, entry: OrderEntry) -> bool:
        return (
            entry.phase is Phase.new
            and self._session.book.is_current(entry)
            and not entry.order.is_stopped
            and self._session.may_start
            and self._store_clock.latest_ms() < entry.order.start_by_ms
        )

    async def _try_start(self, entry: OrderEntry) -> StartOutcome:
        # The lease in the call is short; without one of the minion the run
        # would not outlive this process.
        if not self._session.has_lease:
            await self._session.look()
        # The lease in the call makes the minion refuse it after the last
        # moment for the start, also if this process stands still meanwhile.
        left_ms = entry.order.start_by_ms - self._store_clock.latest_ms()
        end_ms = self._session.grant(self._clock.now_ms() + left_ms)
        if not end_ms or not self._session.has_lease:
            return Unhealthy()
        return await self._session.minion.start(
            StartRequest(
                entry.task,
                entry.order.run,
                entry.order.payload,
                entry.order.checkpoint,
                end_ms,
            ),
            self._writer.token,
        )

    async def _is_settled(
        self, entry: OrderEntry, outcome: StartOutcome
    ) -> bool:
        """Return whether the order needs no further call."""
        match outcome:
            case Started():
                entry.phase = Phase.started
                entry.may_arrive = False
            case OtherIncarnation():
                return True
            case StartRefused(reason=RefusalReason.old):
                # An earlier call may have started the run, which has ended.
                entry.may_arrive = False
                await self._reject_unless_run(entry, RefusalReason.old.value)
            case StartRefused(reason=RefusalReason.late):
                await self._session.look()
                return False
            case StartRefused(reason=reason):
                await self._close(entry, reason.value)
            case NoAnswer():
                entry.may_arrive = True
                return False
            case Unhealthy():
                return False
        return True

    async def _close(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order after any start under way has become harmless."""
        while self._may_still_arrive(entry):
            outcome = await self.send_stop(entry.task, entry.order.run)
            if isinstance(outcome, OtherIncarnation):
                return
            if isinstance(outcome, Stopped):
                entry.may_arrive = False
                break
            await asyncio.sleep(_RETRY_S)
        if not entry.may_arrive:
            await self._reject_unless_run(entry, reason)

    async def _reject_unless_run(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order that the minion refuses from now on.

        An earlier call, perhaps of an earlier process, may have started the
        run, so the minion is asked once more.
        """
        while self._session.is_live and entry.phase is Phase.new:
            if await self._session.look():
                self._reject(entry, reason)
                return
            await asyncio.sleep(_RETRY_S)

    def _may_still_arrive(self, entry: OrderEntry) -> bool:
        return (
            entry.may_arrive
            and entry.phase is Phase.new
            and self._session.is_live
        )

    def _reject(self, entry: OrderEntry, reason: str) -> None:
        if entry.phase is not Phase.new:
            return
        decision_log.record(
            'order_rejected',
            task=entry.task,
            run=entry.order.run,
            reason=reason,
        )
        self._session.book.reject(entry, reason)
        self._writer.request()


def describe(outcome: object) -> str:
    """Return an outcome for the log."""
    if isinstance(outcome, StartRefused):
        return f'refused: {outcome.reason.value}'
    if isinstance(outcome, NoAnswer):
        return f'no answer: {outcome.reason}'
    return type(outcome).__name__
