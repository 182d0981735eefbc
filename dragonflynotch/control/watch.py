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
from dragonflynotch.control.table_reader import TableReader
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log

__all__ = ('TableWatch',)

_RETRY_DELAY = timedelta(milliseconds=200)


class TableWatch:
    """Passes on each change of a table, starting with all of its rows.

    Parameters
    ----------
    store : RowStore
        Source of the rows.
    table : Table
        Table to follow.
    on_changes : callable
        Receives the changed rows. If the store no longer has some changes, the
        table is read again: the callable receives the rows that differ and a
        deletion for each row that no longer exists.
    clock : SteadyClock
        Measures the age of the replica.
    feed_timeout : timedelta
        Longest wait in one call of the change feed. It bounds how long a feed
        that delivers nothing stays unnoticed.
    """

    def __init__(
        self,
        store: RowStore,
        table: Table,
        on_changes: Callable[[tuple[RowChange, ...]], None],
        clock: SteadyClock,
        feed_timeout: timedelta,
    ) -> None:
        """Create the watch; ``run`` starts it."""
        self._store = store
        self._table = table
        self._on_changes = on_changes
        self._clock = clock
        self._feed_timeout = feed_timeout
        self._row_versions: dict[str, int] = {}
        self._version: int | None = None
        self._current_at_ms: int | None = None
        self._confirmed_at_ms: int | None = None
        # Reading that has not been completed.
        self._reader: TableReader | None = None
        self._is_reachable = True

    @property
    def is_loaded(self) -> bool:
        """Whether all rows have been read at least once."""
        return self._version is not None

    @property
    def age_ms(self) -> int:
        """Upper bound on the age of the replica, in milliseconds."""
        if self._current_at_ms is None:
            return self._clock.now_ms()
        return self._clock.now_ms() - self._current_at_ms

    @property
    def confirmed_age_ms(self) -> int | None:
        """Time since the replica was certainly current, in milliseconds.

        Unlike ``age_ms``, does not rely on the store to send changes at once,
        nor on a fast link. ``None`` until all rows have been read.
        """
        if self._confirmed_at_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_at_ms

    async def load(self) -> None:
        """Read all rows.

        After a failure the next call continues with the pages that are
        missing.

        Raises
        ------
        PlatformUnavailableError
            If the store does not respond.
        """
        reader = self._reader
        if reader is None:
            reader = TableReader(self._store, (self._table,), self._clock)
            self._reader = reader
        snapshot = await reader.read()
        self._reader = None
        rows = snapshot.rows
        version = snapshot.version
        present_keys = {row.key for row in rows}
        deleted_keys = [
            key for key in self._row_versions if key not in present_keys
        ]
        changes = [
            RowChange(row.key, row.content, row.version)
            for row in rows
            if self._row_versions.get(row.key) != row.version
        ]
        changes.extend(RowChange(key, None, version) for key in deleted_keys)
        self._version = version
        self._apply_changes(tuple(changes))
        self._current_at_ms = reader.started_ms
        self._confirmed_at_ms = reader.started_ms

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._follow_once()
            except PlatformUnavailableError as error:
                self._record_reachability(False, str(error))
                await asyncio.sleep(_RETRY_DELAY.total_seconds())
            else:
                self._record_reachability(True, '')

    async def _follow_once(self) -> None:
        if self._version is None:
            await self.load()
            return
        sent_ms = self._clock.now_ms()
        # After an outage the replica is confirmed at once: a call that waits
        # for changes would keep it outdated for that much longer.
        wait = self._feed_timeout if self._is_reachable else timedelta()
        feed_changes = await self._store.changes(
            self._table.name, self._version, wait
        )
        if isinstance(feed_changes, HistoryLost):
            decision_log.record(
                'history_lost', table=self._table.name, version=self._version
            )
            await self.load()
            return
        self._apply_feed(feed_changes, sent_ms)

    def _apply_feed(self, feed_changes: Changes, sent_ms: int) -> None:
        # Pages of an incomplete reading are older than the feed from now on.
        self._reader = None
        self._version = max(self._version or 0, feed_changes.version)
        self._apply_changes(
            tuple(
                change
                for change in feed_changes.rows
                if change.version > self._row_versions.get(change.key, 0)
            )
        )
        # A response without changes is at least as current as the request.
        # The store sends changes at once, so a response with changes counts as
        # current when it is received.
        self._current_at_ms = (
            self._clock.now_ms() if feed_changes.rows else sent_ms
        )
        self._confirmed_at_ms = sent_ms

    def _apply_changes(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.content is None:
                self._row_versions.pop(change.key, None)
            else:
                self._row_versions[change.key] = change.version
        if changes:
            self._on_changes(changes)

    def _record_reachability(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        decision_log.record(
            'store_regained' if is_reachable else 'store_lost',
            table=self._table.name,
            reason=reason,
        )
