"""Runs the scheduler while this node holds the scheduling lease."""

import asyncio
import traceback

from dragonflynotch.control.leader_pace import CannotKeepUpError
from dragonflynotch.control.leader_term import LeaderContext, LeaderTerm
from dragonflynotch.control.leadership import LeaseLostError
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.scheduler import SchedulerSettings
from dragonflynotch.workflows.scheduler_status import SchedulerStatus

__all__ = ('Leader',)

_CAMPAIGN_INTERVAL_S = 0.4
# After an unexpected error, lets other candidates claim the lease first.
_FAILURE_BACKOFF_S = 2


class Leader:
    """Competes for the lease and schedules jobs while it holds it.

    Parameters
    ----------
    context : LeaderContext
        What the node schedules with.
    settings : SchedulerSettings
        Limits of the scheduler.
    """

    def __init__(
        self, context: LeaderContext, settings: SchedulerSettings
    ) -> None:
        """Create a candidate; ``run`` starts it."""
        self._context = context
        self._settings = settings
        self._term: LeaderTerm | None = None

    @property
    def is_scheduling(self) -> bool:
        """Whether this node schedules."""
        return self._term is not None

    @property
    def status(self) -> SchedulerStatus:
        """Figures for metrics; empty unless this node schedules."""
        return SchedulerStatus() if self._term is None else self._term.status

    def apply_settings(self, settings: SchedulerSettings) -> None:
        """Use these settings from the next round of decisions on."""
        self._settings = settings
        if self._term is not None:
            self._term.apply_settings(settings)

    def receive_ends(self, report: Report) -> bool:
        """Apply the ends in a report; return whether this node schedules."""
        return self._term is not None and self._term.receive_ends(report)

    async def run(self) -> None:
        """Compete for the lease and schedule until cancelled."""
        leadership = self._context.leadership
        while True:
            try:
                if self._context.deployment() and await leadership.try_claim():
                    await self._run_term()
            except (PlatformUnavailableError, UncertainWriteError) as error:
                decision_log.record('campaign_failed', reason=str(error))
            except LeaseLostError as error:
                decision_log.record('scheduling_ended', holder=str(error))
            except Exception:
                # Another node may succeed; this one competes again later.
                decision_log.record(
                    'scheduling_failed', error=traceback.format_exc()
                )
                await leadership.release()
                await asyncio.sleep(_FAILURE_BACKOFF_S)
            await asyncio.sleep(_CAMPAIGN_INTERVAL_S)

    async def _run_term(self) -> None:
        self._term = LeaderTerm(self._context, self._settings)
        try:
            await self._term.run()
        except CannotKeepUpError as error:
            await self._hand_over(str(error))
        finally:
            self._term = None

    async def _hand_over(self, task: str) -> None:
        leadership = self._context.leadership
        decision_log.record(
            'lease_handed_over',
            epoch=leadership.epoch,
            too_slow_for=task,
            handovers=leadership.handovers + 1,
        )
        await leadership.hand_over()
