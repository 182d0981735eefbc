"""Writes the report of a guard and keeps its authority over leases."""

import asyncio
from collections.abc import Callable

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.rows import (
    REPORTS,
    Conflict,
    RowName,
    RowStore,
    RowWrite,
    shard_of,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report, decode_row, encode_row

__all__ = ('ReportWriter',)

# Keeps the report fresh enough to show a guard that has died.
_REFRESH_MS = 1500
# A few writes may be lost before the authority ends.
_WRITES_PER_AUTHORITY = 6
_MS_PER_S = 1000
# Ends of one moment go into one write.
_BATCH_S = 0.01
_RETRY_S = 0.2


class ReportWriter:
    """Keeps the row of one guard.

    Each guard process takes a fencing token one above the last in its row, so
    that delayed calls of an earlier process do nothing.

    Parameters
    ----------
    node : str
        Key of the row.
    authority_ms : int
        How long a written report allows the extension of leases.
    describe : callable
        Returns the report for a lease end in store time, or ``None`` while
        there is nothing to report.
    on_previous : callable
        Receives the report of an earlier process, once.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        authority_ms: int,
        describe: Callable[[int], Report | None],
        on_previous: Callable[[Report], None],
    ) -> None:
        """Create the writer; ``run`` starts it."""
        self._name = RowName(REPORTS.name, shard_of(node), node)
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._authority_ms = authority_ms
        self._describe = describe
        self._on_previous = on_previous
        self._refresh_s = (
            min(_REFRESH_MS, authority_ms // _WRITES_PER_AUTHORITY) / _MS_PER_S
        )
        self._token = 0
        self._version: int | None = None
        self._authority_store_ms = 0
        self._requested = asyncio.Event()
        self._last_error = ''

    @property
    def token(self) -> int:
        """Fencing token of this process; 0 before the row was read."""
        return self._token

    def authority_local_ms(self) -> int:
        """Return the local time at which the authority ends."""
        left_ms = self._authority_store_ms - self._store_clock.latest_ms()
        return self._clock.now_ms() + left_ms

    def request(self) -> None:
        """Ask for a write now."""
        self._requested.set()

    async def run(self) -> None:
        """Write when asked and at least once in the refresh period."""
        while True:
            try:
                await self._write()
            except (PlatformUnavailableError, UncertainWriteError) as error:
                self._note_error(str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            self._note_error('')
            try:
                async with asyncio.timeout(self._refresh_s):
                    await self._requested.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_BATCH_S)

    async def _write(self) -> None:
        if self._version is None:
            await self._read()
        self._requested.clear()
        end_ms = self._store_clock.earliest_ms() + self._authority_ms
        report = self._describe(end_ms)
        if report is None:
            return
        expected = self._version or 0
        # After an uncertain answer the version is unknown; the row is read
        # again before the next write.
        self._version = None
        outcome = await self._store.commit(
            [RowWrite(self._name, encode_row(report))],
            [(self._name, expected)],
        )
        if isinstance(outcome, Conflict):
            decision_log.record('report_conflict', version=expected)
            return
        self._version = outcome.version
        self._authority_store_ms = end_ms

    async def _read(self) -> None:
        row = await self._store.read_row(self._name)
        if row is None:
            self._version = 0
            self._token = self._token or 1
            return
        report = decode_row(row.content, Report)
        self._version = row.version
        if not self._token:
            self._token = 1 if report is None else report.token + 1
            if report is not None:
                self._on_previous(report)

    def _note_error(self, reason: str) -> None:
        if bool(reason) != bool(self._last_error):
            decision_log.record(
                'report_written' if not reason else 'report_not_written',
                reason=reason or self._last_error,
            )
        self._last_error = reason
