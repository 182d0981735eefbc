"""Replica of a table, kept up to date by its change feed."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.rows import (
    Changes,
    HistoryLost,
    RowChange,
    RowStore,
    Table,
)
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log

__all__ = ('TableWatch',)

_RETRY = timedelta(milliseconds=200)


class TableWatch:
    """Calls back for each change of a table, beginning with all rows.

    Parameters
    ----------
    store : RowStore
        Source of the rows.
    table : Table
        Table to follow.
    on_changes : callable
        Receives the changed rows. After a loss of history it receives all
        rows anew, with a deletion for each row that is gone.
    clock : SteadyClock
        Measures the age of the replica.
    wait : timedelta
        Longest wait of one call. It bounds how long a feed that silently
        delivers nothing stays unnoticed.
    """

    def __init__(
        self,
        store: RowStore,
        table: Table,
        on_changes: Callable[[tuple[RowChange, ...]], None],
        clock: SteadyClock,
        wait: timedelta,
    ) -> None:
        """Create the watch; ``run`` starts it."""
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._clock = clock
        self._wait = wait
        self._versions: dict[str, int] = {}
        self._version: int | None = None
        self._answered_ms: int | None = None
        self._is_reachable = True

    @property
    def is_loaded(self) -> bool:
        """Whether the rows have been read once."""
        return self._version is not None

    @property
    def age_ms(self) -> int:
        """Upper bound on the age of the replica, in milliseconds."""
        if self._answered_ms is None:
            return self._clock.now_ms()
        return self._clock.now_ms() - self._answered_ms

    async def load(self) -> None:
        """Read all rows.

        Raises
        ------
        PlatformUnavailableError
            If the store does not answer.
        """
        sent_ms = self._clock.now_ms()
        snapshots = await asyncio.gather(
            *(
                self._store.read(self._table.name, part)
                for part in self._table.parts
            )
        )
        rows = [row for snapshot in snapshots for row in snapshot.rows]
        version = min(snapshot.version for snapshot in snapshots)
        present = {row.key for row in rows}
        gone = [key for key in self._versions if key not in present]
        changes = [
            RowChange(row.key, row.content, row.version)
            for row in rows
            if self._versions.get(row.key) != row.version
        ]
        changes.extend(RowChange(key, None, version) for key in gone)
        self._version = version
        self._apply(tuple(changes))
        self._answered_ms = sent_ms

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._follow_once()
            except PlatformUnavailableError as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(_RETRY.total_seconds())
            else:
                self._note_reachable(True, '')

    async def _follow_once(self) -> None:
        if self._version is None:
            await self.load()
            return
        sent_ms = self._clock.now_ms()
        answer = await self._store.changes(
            self._table.name, self._version, self._wait
        )
        if isinstance(answer, HistoryLost):
            decision_log.record(
                'history_lost', table=self._table.name, version=self._version
            )
            await self.load()
            return
        self._take(answer, sent_ms)

    def _take(self, answer: Changes, sent_ms: int) -> None:
        self._version = max(self._version or 0, answer.version)
        self._apply(
            tuple(
                change
                for change in answer.rows
                if change.version > self._versions.get(change.key, 0)
            )
        )
        # The answer is at least as new as the moment at which it was sent
        # without a change; with changes it is newer.
        self._answered_ms = self._clock.now_ms() if answer.rows else sent_ms

    def _apply(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.content is None:
                self._versions.pop(change.key, None)
            else:
                self._versions[change.key] = change.version
        if changes:
            self._on_changes(changes)

    def _note_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        decision_log.record(
            'store_regained' if is_reachable else 'store_lost',
            table=self._table.name,
            reason=reason,
        )
