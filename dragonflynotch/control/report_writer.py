"""Writes the report of a guard and tracks its authority to extend leases."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.end_delivery import EndDelivery
from dragonflynotch.control.end_log import EndLog
from dragonflynotch.control.report_size import fit_report
from dragonflynotch.control.rows import (
    REPORTS,
    Committed,
    Conflict,
    Row,
    RowName,
    RowStore,
    RowWrite,
    shard_of,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import Unreadable, shorten
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.records import Report, decode_row, encode_row

__all__ = ('ReportWriter',)

# A report that is not rewritten shows the failure of its guard.
_MAX_WRITE_INTERVAL_MS = 1500
# Several writes within the duration of the authority, so that a few may fail.
_WRITES_PER_AUTHORITY = 6
_MS_PER_S = 1000
# A write without an answer within this time, or within a multiple of the time
# that the last one took, is sent again. Only one of them can take effect.
_MIN_ANSWER_TIMEOUT_S = 0.3
_ANSWER_TIMEOUT_FACTOR = 3
# Changes within this time are reported in one write.
_BATCH_WINDOW_S = 0.01
_RETRY_DELAY_S = 0.2
# A planned stop does not wait longer than this for the store.
_LAST_WRITE_TIMEOUT_S = 1


class _LateAnswerError(UncertainWriteError):
    """The store has not answered a write within the usual time."""


class ReportWriter:
    """Writes the report row of one guard.

    Each written report gives the guard the authority to extend leases for a
    limited time. Each guard process uses a fencing token one above that in the
    row, so that the minion refuses delayed calls of an earlier process.

    Parameters
    ----------
    node : str
        Key of the row.
    store : RowStore
        Store with the row.
    store_clock : StoreClock
        Bounds on the time of the store.
    clock : SteadyClock
        Clock of this process.
    authority_ms : int
        How long a written report allows the guard to extend leases.
    build_report : callable
        Returns the report for an end of the authority in store time, or
        ``None`` while there is nothing to report.
    deliver : callable
        Delivers the ends in an encoded report that could not be written, and
        returns whether they were accepted.
    on_previous : callable
        Receives the report of an earlier guard process, if there is one. A
        write of that process may take effect late, so that there is another.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        authority_ms: int,
        build_report: Callable[[int], Report | None],
        deliver: Callable[[bytes], Awaitable[bool]],
        on_previous: Callable[[Report], None],
    ) -> None:
        """Create the writer; ``run`` starts it."""
        self._name = RowName(REPORTS.name, shard_of(node), node)
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._authority_ms = authority_ms
        self._build_report = build_report
        self._end_delivery = EndDelivery(deliver, clock)
        self._on_previous = on_previous
        self._write_interval_s = (
            min(_MAX_WRITE_INTERVAL_MS, authority_ms // _WRITES_PER_AUTHORITY)
            / _MS_PER_S
        )
        self._end_log = EndLog(clock)
        self._token = 0
        self._version: int | None = None
        self._authority_end_ms = 0
        self._max_authority_end_ms: int | None = None
        self._answer_timeout_s: float | None = None
        self._write_requested = asyncio.Event()
        self._last_error = ''

    @property
    def token(self) -> int:
        """Fencing token of this process; 0 until the row has been read."""
        return self._token

    @property
    def end_log(self) -> EndLog:
        """Log of the ends that wait to be reported or recorded."""
        return self._end_log

    def authority_end_local_ms(self) -> int:
        """Return the local time at which the authority ends."""
        remaining_ms = self._authority_end_ms - self._store_clock.latest_ms()
        return self._clock.now_ms() + remaining_ms

    def raise_token(self) -> None:
        """Let minions refuse the calls that were sent until now.

        The next process reads the token from the report, which is written
        before any order can be carried out with it.
        """
        self._token += 1
        self.request_write()

    def request_write(self) -> None:
        """Request a write before the next periodic one."""
        self._write_requested.set()

    async def run(self) -> None:
        """Write on request and periodically until cancelled."""
        try:
            await self._write_forever()
        finally:
            self._end_delivery.cancel()

    async def relinquish_authority(self, local_end_ms: int) -> None:
        """Report that the authority ends earlier; call after ``run`` ended.

        Parameters
        ----------
        local_end_ms : int
            Local time at which all leases that were extended have expired.
        """
        remaining_ms = max(0, local_end_ms - self._clock.now_ms())
        end_ms = self._store_clock.latest_ms() + remaining_ms
        self._max_authority_end_ms = end_ms
        self._authority_end_ms = min(self._authority_end_ms, end_ms)
        try:
            async with asyncio.timeout(_LAST_WRITE_TIMEOUT_S):
                is_written = await self._write()
                if not is_written:
                    # The row was changed by a write of ``run`` that was still
                    # under way.
                    is_written = await self._write()
        except (
            PlatformUnavailableError,
            UncertainWriteError,
            TimeoutError,
        ) as error:
            decision_log.record('authority_not_given_up', reason=repr(error))
            return
        decision_log.record(
            'authority_given_up' if is_written else 'authority_not_given_up',
            left_ms=remaining_ms,
        )

    async def _write_forever(self) -> None:
        while True:
            try:
                await self._write()
            except (
                PlatformUnavailableError,
                UncertainWriteError,
                # The store refuses the row, for example for its size.
                InvalidInputError,
            ) as error:
                self._record_error(shorten(str(error)))
                if not isinstance(error, _LateAnswerError):
                    self._write_requested.clear()
                    self._deliver_ends()
                    await self._wait_for_request(_RETRY_DELAY_S)
                continue
            self._record_error('')
            await self._wait_for_request(self._write_interval_s)

    async def _wait_for_request(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._write_requested.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_BATCH_WINDOW_S)

    async def _write(self) -> bool:
        """Write the report; return whether it was written."""
        if self._version is None:
            await self._read_row()
        self._write_requested.clear()
        now_ms = self._store_clock.earliest_ms()
        end_ms = now_ms + self._authority_ms
        if self._max_authority_end_ms is not None:
            end_ms = min(end_ms, self._max_authority_end_ms)
        report = self._build_report(end_ms)
        if report is None:
            return False
        report.built_ms = now_ms
        report = fit_report(report, self._store.limits.row_bytes)
        # Without an answer, the write is repeated with the same condition. If
        # the first one has taken effect, the conflict tells the new version.
        expected = self._version or 0
        self._end_log.record_attempt(report.all_ends)
        outcome = await self._commit(
            RowWrite(self._name, encode_row(report)), expected
        )
        if isinstance(outcome, Conflict):
            decision_log.record('report_conflict', version=expected)
            self._version = None
            row = outcome.current_rows.get(self._name)
            if row is not None:
                self._apply_row(row)
            # What this report tells must not wait for the next periodic write.
            self._write_requested.set()
            return False
        self._version = outcome.version
        self._authority_end_ms = end_ms
        self._end_log.record_written(report.all_ends, outcome.version)
        return True

    def _deliver_ends(self) -> None:
        """Deliver ends that cannot be written; the authority is as before."""
        if not self._token:
            return
        report = self._build_report(self._authority_end_ms)
        if report is not None:
            self._end_delivery.start(report)

    async def _commit(
        self, write: RowWrite, expected: int
    ) -> Committed | Conflict:
        timeout_s = self._answer_timeout_s
        # The second call has the time to find another way to the store.
        self._answer_timeout_s = None
        sent_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._store.commit(
                    [write], [(self._name, expected)]
                )
        except TimeoutError as error:
            raise _LateAnswerError(
                f'no answer within {timeout_s} s', step='commit'
            ) from error
        answer_s = (self._clock.now_ms() - sent_ms) / _MS_PER_S
        self._answer_timeout_s = max(
            _MIN_ANSWER_TIMEOUT_S, answer_s * _ANSWER_TIMEOUT_FACTOR
        )
        return outcome

    async def _read_row(self) -> None:
        row = await self._store.read_row(self._name)
        if row is None:
            self._version = 0
            self._token = self._token or 1
            return
        self._apply_row(row)

    def _apply_row(self, row: Row) -> None:
        report = decode_row(row.content, Report)
        self._version = row.version
        if isinstance(report, Unreadable):
            unreadable_entries.record('report_unreadable', report, node=row.key)
            self._token = self._token or 1
            return
        is_own = bool(self._token) and report.token == self._token
        if is_own:
            return
        self._token = self._token or report.token + 1
        self._on_previous(report)

    def _record_error(self, reason: str) -> None:
        if bool(reason) != bool(self._last_error):
            decision_log.record(
                'report_written' if not reason else 'report_not_written',
                reason=reason or self._last_error,
            )
        self._last_error = reason
