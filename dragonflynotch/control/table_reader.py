"""Reads whole tables page by page and keeps the pages across failures."""

import asyncio
from collections.abc import Sequence

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.rows import Row, RowStore, Snapshot, Table

__all__ = ('TableReader',)


class TableReader:
    """One reading of all rows of one or more tables.

    After a failure ``read`` is called again and continues after the pages that
    it has. The version of the snapshot is the lowest version of a first page,
    so a change feed continued from it delivers every change that the pages
    lack, also changes made between the attempts.

    Parameters
    ----------
    store : RowStore
        Source of the rows.
    tables : sequence of Table
        Tables to read.
    clock : SteadyClock
        Takes the time of the first call.
    """

    def __init__(
        self, store: RowStore, tables: Sequence[Table], clock: SteadyClock
    ) -> None:
        """Create the reader; ``read`` sends the first call."""
        self._parts = [
            _PartReader(store, table.name, part)
            for table in tables
            for part in table.parts
        ]
        self._clock = clock
        self._started_ms: int | None = None

    @property
    def started_ms(self) -> int:
        """Local time at which the first call was sent, in milliseconds."""
        if self._started_ms is None:
            return self._clock.now_ms()
        return self._started_ms

    async def read(self) -> Snapshot:
        """Read the missing pages and return all rows.

        Raises
        ------
        PlatformUnavailableError
            If a page could not be read; all others are kept.
        """
        self._started_ms = self.started_ms
        # All parts are awaited, so that one failure discards no other page.
        outcomes = await asyncio.gather(
            *(part.read() for part in self._parts), return_exceptions=True
        )
        for outcome in outcomes:
            if isinstance(outcome, BaseException):
                raise outcome
        rows = [row for part in self._parts for row in part.rows]
        return Snapshot(tuple(rows), min(part.version for part in self._parts))


class _PartReader:
    def __init__(self, store: RowStore, table: str, part: str) -> None:
        self.rows: list[Row] = []
        self.version = 0
        self._store = store
        self._table = table
        self._part = part
        self._next_first: str | None = ''
        self._has_version = False

    async def read(self) -> None:
        while self._next_first is not None:
            page = await self._store.read_page(
                self._table, self._part, self._next_first
            )
            self.rows.extend(page.rows)
            if not self._has_version:
                self.version = page.version
                self._has_version = True
            self._next_first = page.next_first
