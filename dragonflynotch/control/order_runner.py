"""Carries out orders at a minion."""

import asyncio
from collections.abc import Callable

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.minions import (
    NoAnswer,
    NotListening,
    OtherIncarnation,
    RefusalReason,
    Started,
    StartRefused,
    StartRequest,
    Stopped,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderEntry, Phase
from dragonflynotch.control.repeated_start import (
    StartOutcome,
    start_repeatedly,
)
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import MISSING, STOPPED

__all__ = ('OrderRunner',)

_RETRY_DELAY_S = 0.1


class OrderRunner:
    """Starts and stops runs on one incarnation of a minion.

    Parameters
    ----------
    session : MinionSession
        Session of the incarnation.
    writer : ReportWriter
        Provides the fencing token and writes rejections.
    store_clock : StoreClock
        Bounds on the time of the store.
    clock : SteadyClock
        Clock of this process.
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
        """Create a runner for the orders of ``session``."""
        self._session = session
        self._writer = writer
        self._store_clock = store_clock
        self._clock = clock
        self._orders_age_ms = orders_age_ms

    async def start(self, entry: OrderEntry) -> None:
        """Start a run, or reject its order once it cannot start any more."""
        while self._may_start(entry):
            outcome = await self._try_start(entry)
            decision_log.record(
                'start_order',
                task=entry.task,
                run=entry.order.run,
                outcome=describe_outcome(outcome),
                orders_age_ms=self._orders_age_ms(),
            )
            if await self._apply_outcome(entry, outcome):
                return
            await asyncio.sleep(_RETRY_DELAY_S)
        reason = STOPPED if entry.order.is_stopped else 'expired'
        await self._reject_when_safe(entry, reason)

    async def stop(self, entry: OrderEntry) -> None:
        """Stop a run, or reject its order if it was never started."""
        outcome = await self.send_stop(entry.task, entry.order.run)
        decision_log.record(
            'stop_order',
            task=entry.task,
            run=entry.order.run,
            outcome=describe_outcome(outcome),
        )
        if isinstance(outcome, Stopped):
            entry.is_stop_confirmed = True
            entry.is_start_uncertain = False
        elif not await self._have_starts_expired(entry):
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        await self._reject_unless_running(entry, STOPPED)

    async def remove_missing(self, entry: OrderEntry) -> None:
        """Reject the order of a run that the minion no longer has.

        An earlier start call may still be carried out, so the run is stopped
        first.
        """
        outcome = await self.send_stop(entry.task, entry.order.run)
        is_gone = (
            isinstance(outcome, Stopped)
            and await self._session.poll()
            and entry.is_missing
        )
        decision_log.record(
            'run_missing',
            task=entry.task,
            run=entry.order.run,
            outcome=describe_outcome(outcome),
            is_gone=is_gone,
        )
        if is_gone:
            self._session.orders.reject_missing(entry, MISSING)
            self._writer.request_write()
            return
        await asyncio.sleep(_RETRY_DELAY_S)

    async def send_stop(
        self, task: str, run: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Call the minion to stop a run."""
        return await self._session.minion.stop(task, run, self._writer.token)

    def _may_start(self, entry: OrderEntry) -> bool:
        return (
            entry.phase is Phase.new
            and self._session.orders.is_current(entry)
            and not entry.order.is_stopped
            and self._session.may_start
            and self._store_clock.latest_ms() < entry.order.start_by_ms
        )

    async def _try_start(self, entry: OrderEntry) -> StartOutcome:
        # The lease sent with the start may be short. Unless the minion already
        # has a longer one, the run would end if this process failed.
        if not self._session.has_lease:
            await self._session.poll()
        # The lease sent with the start ends with the start window, so the
        # minion refuses a late call even if this process is paused meanwhile.
        remaining_ms = entry.order.start_by_ms - self._store_clock.latest_ms()
        end_ms = self._session.grant(self._clock.now_ms() + remaining_ms)
        if not end_ms or not self._session.has_lease:
            return Unhealthy()
        if not self._session.has_room_for(entry):
            return StartRefused(RefusalReason.room)
        if entry.first_sent_ms is None:
            entry.first_sent_ms = self._clock.now_ms()
        entry.sent_lease_end_ms = max(entry.sent_lease_end_ms, end_ms)
        request = StartRequest(
            entry.task,
            entry.order.run,
            entry.order.payload,
            entry.order.checkpoint,
            end_ms,
        )
        repeated = await start_repeatedly(
            lambda: self._session.minion.start(request, self._writer.token)
        )
        outcome = repeated.first
        entry.is_start_uncertain |= repeated.has_open_calls
        if _had_no_effect(outcome) and not entry.is_start_uncertain:
            entry.first_sent_ms = None
        return outcome

    async def _apply_outcome(
        self, entry: OrderEntry, outcome: StartOutcome
    ) -> bool:
        """Apply an outcome; return whether no further start call is needed."""
        match outcome:
            case Started():
                entry.mark_started(self._clock.now_ms())
                entry.is_start_uncertain = False
            case OtherIncarnation():
                return True
            case StartRefused(reason=RefusalReason.old):
                # An earlier call may have started the run, and the run may
                # have ended since.
                entry.is_start_uncertain = False
                await self._reject_unless_running(
                    entry, RefusalReason.old.value
                )
            case StartRefused(reason=RefusalReason.late):
                await self._session.poll()
                return False
            case StartRefused(reason=reason):
                await self._reject_when_safe(entry, reason.value)
            case NoAnswer():
                entry.is_start_uncertain = True
                return False
            case Unhealthy():
                return False
        return True

    async def _reject_when_safe(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order once no earlier start call can take effect."""
        while self._must_prevent_start(entry):
            # Either response is enough, and a minion may answer few calls.
            stop = asyncio.create_task(
                self.send_stop(entry.task, entry.order.run)
            )
            try:
                if await self._have_starts_expired(entry):
                    self._reject(entry, reason)
                    return
                outcome = await stop
            finally:
                stop.cancel()
            if isinstance(outcome, OtherIncarnation):
                return
            if isinstance(outcome, Stopped):
                entry.is_start_uncertain = False
                break
            await asyncio.sleep(_RETRY_DELAY_S)
        if not entry.is_start_uncertain:
            await self._reject_unless_running(entry, reason)

    async def _reject_unless_running(
        self, entry: OrderEntry, reason: str
    ) -> None:
        """Reject an order whose run the minion can no longer start.

        An earlier call, possibly of an earlier guard process, may have started
        the run, so the minion is polled first.
        """
        while self._session.is_live and entry.phase is Phase.new:
            if await self._session.poll():
                self._reject(entry, reason)
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _have_starts_expired(self, entry: OrderEntry) -> bool:
        """Return whether the run was not started and cannot start any more.

        A minion that refuses stops for long could otherwise hold the order for
        as long. An earlier process of the guard may have sent starts until the
        start window of the order ended, so that has to be over as well.
        """
        is_window_over = (
            self._store_clock.earliest_ms() > entry.order.start_by_ms
        )
        if not is_window_over or not await self._session.poll():
            return False
        state = self._session.orders.state
        if (
            entry.phase is not Phase.new
            or state is None
            or state.clock_ms <= entry.sent_lease_end_ms
        ):
            return False
        entry.is_start_uncertain = False
        return True

    def _must_prevent_start(self, entry: OrderEntry) -> bool:
        return (
            entry.is_start_uncertain
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
        self._session.orders.reject(entry, reason)
        self._writer.request_write()


def _had_no_effect(outcome: StartOutcome) -> bool:
    return isinstance(outcome, StartRefused | Unhealthy | NotListening)


def describe_outcome(outcome: object) -> str:
    """Return the text of a call outcome for the decision log."""
    if isinstance(outcome, StartRefused):
        return f'refused: {outcome.reason.value}'
    if isinstance(outcome, NoAnswer):
        return f'no answer: {outcome.reason}'
    return type(outcome).__name__
