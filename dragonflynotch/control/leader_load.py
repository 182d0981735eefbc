"""Loads the rows for a new holder of the lease within a time limit."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.leader_pace import CannotKeepUpError, LoadBudget
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log

__all__ = ('LeaderLoad',)

# The lease is renewed this often while the load lasts.
_RENEWAL_INTERVAL_S = 0.6
# A table is read alone for this long, then the next one side by side with it.
# This shortens the load on a store that responds slowly; on a slow link the
# table that is needed first only gets a head start.
_HEAD_START_S = 0.3
_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.5
_MS_PER_S = 1000

_ReadTable = Callable[[], Awaitable[object]]


class LeaderLoad:
    """Reads tables in sequence while it keeps the lease.

    Parameters
    ----------
    leadership : Leadership
        Scheduling lease, held by this node.
    clock : SteadyClock
        Measures the time that the load takes.
    tables : sequence of callable
        Read one table each, the one that is needed first in front. A callable
        that fails is called again and continues where it failed.
    """

    def __init__(
        self,
        leadership: Leadership,
        clock: SteadyClock,
        tables: Sequence[_ReadTable],
    ) -> None:
        """Create the load; ``run`` starts it."""
        self._leadership = leadership
        self._clock = clock
        self._tables = tables
        self._failures = 0

    async def run(self) -> float:
        """Read all tables and return the duration in seconds.

        Raises
        ------
        CannotKeepUpError
            If the load takes too long for a holder of the lease.
        LeaseLostError
            If another node holds the lease.
        """
        budget = LoadBudget(self._leadership.handovers)
        started_ms = self._clock.now_ms()
        loading = asyncio.create_task(self._read_tables())
        try:
            while not await self._wait(loading, budget):
                await self._renew(budget)
        except CannotKeepUpError:
            self._record('takeover_read_given_up', budget)
            raise
        finally:
            loading.cancel()
            await asyncio.gather(loading, return_exceptions=True)
        loading.result()
        self._record('takeover_read', budget)
        return (self._clock.now_ms() - started_ms) / _MS_PER_S

    def _record(self, event: str, budget: LoadBudget) -> None:
        decision_log.record(
            event,
            epoch=self._leadership.epoch,
            counted_ms=budget.used_ms,
            limit_ms=budget.limit_ms,
            failures=self._failures,
        )

    async def _wait(
        self, loading: asyncio.Task[None], budget: LoadBudget
    ) -> bool:
        started_ms = self._clock.now_ms()
        await asyncio.wait({loading}, timeout=_RENEWAL_INTERVAL_S)
        budget.record_load(self._clock.now_ms() - started_ms)
        return loading.done()

    async def _renew(self, budget: LoadBudget) -> None:
        started_ms = self._clock.now_ms()
        await self._leadership.commit([], [])
        budget.record_renewal(self._clock.now_ms() - started_ms)
        budget.check()

    async def _read_tables(self) -> None:
        async with asyncio.TaskGroup() as group:
            for table in self._tables:
                reading = group.create_task(self._read_table(table))
                await asyncio.wait({reading}, timeout=_HEAD_START_S)

    async def _read_table(self, table: _ReadTable) -> None:
        reason = ''
        attempts = 0
        while True:
            try:
                await table()
            except PlatformUnavailableError as error:
                self._failures += 1
                attempts += 1
                if str(error) != reason:
                    reason = str(error)
                    decision_log.record('takeover_read_failed', reason=reason)
                await asyncio.sleep(
                    min(_RETRY_DELAY_S * attempts, _MAX_RETRY_DELAY_S)
                )
            else:
                return
