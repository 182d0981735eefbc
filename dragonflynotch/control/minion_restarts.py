"""Replaces an incarnation by the next one that has the same identifier."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from dragonflynotch.control.incarnations import is_restart, is_same_life
from dragonflynotch.control.minion_identity import Identified
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.minions import MinionState
from dragonflynotch.control.order_runner import describe_outcome
from dragonflynotch.control.report_builder import ReportBuilder
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.observability.decisions import decision_log

__all__ = ('MinionRestarts',)

_CLEARING_DELAY_S = 0.1
# A stop takes less than this many delays.
_MAX_CLEARING_CALLS = 10


class MinionRestarts:
    """Prepares incarnations that have responded for their first orders.

    Calls to an earlier life of a minion that were delayed may reach the next
    one, which has the same identifier. Its runs have to end before the earlier
    life is reported as ended, after which their tasks may start elsewhere.

    Parameters
    ----------
    reports : ReportBuilder
        Tells the last reported incarnation.
    writer : ReportWriter
        Provides the fencing token.
    """

    def __init__(self, reports: ReportBuilder, writer: ReportWriter) -> None:
        """Create a handler without state of its own."""
        self._reports = reports
        self._writer = writer

    async def prepare(
        self,
        found: Identified,
        session: MinionSession | None,
        suspend_calls: Callable[[], None],
    ) -> Identified | None:
        """Return an incarnation that can take the place of the last one.

        ``None`` if it is that of the session already, or if it still has runs
        of orders to the life before. Its next heartbeat leads to another try.

        Parameters
        ----------
        session : MinionSession or None
            Current session.
        suspend_calls : callable
            Ends all calls that carry out orders.
        """
        reported_id = self._reports.last_incarnation_id
        known_id = '' if session is None else session.known_id
        last_life = known_id or reported_id
        if is_same_life(last_life, found.heartbeat.minion_id):
            found = _rename(found, reported_id)
        incarnation_id = found.heartbeat.minion_id
        is_current = session is not None and session.is_about(incarnation_id)
        if is_current or not is_restart(last_life, incarnation_id):
            return None if is_current else found
        suspend_calls()
        self._writer.raise_token()
        state = await self._clear_runs(found)
        decision_log.record(
            'minion_restarted',
            minion=incarnation_id,
            previous=reported_id,
            is_cleared=state is not None,
        )
        if state is None:
            return None
        self._reports.add_ends(reported_id, state.ended)
        return found

    async def _clear_runs(self, found: Identified) -> MinionState | None:
        """End all runs; return the state without them, or ``None``."""
        for _ in range(_MAX_CLEARING_CALLS):
            # Calls that were sent before the token was raised are refused from
            # the response on.
            state = await found.minion.poll(self._writer.token, 0, 0, 0)
            if not isinstance(state, MinionState):
                return None
            if not state.running:
                return state
            for running in state.running:
                await self._stop(found, running.task, running.run)
            await asyncio.sleep(_CLEARING_DELAY_S)
        return None

    async def _stop(self, found: Identified, task: str, run: int) -> None:
        outcome = await found.minion.stop(task, run, self._writer.token)
        decision_log.record(
            'stop_run_of_earlier_life',
            task=task,
            run=run,
            outcome=describe_outcome(outcome),
        )


def _rename(found: Identified, reported_id: str) -> Identified:
    """Return an incarnation under the identifier of the last report.

    Reports of earlier releases do not tell when the minion started.
    """
    heartbeat = replace(found.heartbeat, minion_id=reported_id)
    return replace(found, heartbeat=heartbeat)
