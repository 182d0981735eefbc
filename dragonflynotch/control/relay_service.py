"""Serves the calls of guards that the store turns away."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.relay_peer import EndsHeldError, PeerStore
from dragonflynotch.control.rows import (
    ORDER_TABLES,
    REPORTS,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
    read_pages,
    shard_of,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.core.limits import TokenBucket
from dragonflynotch.core.untrusted import Unreadable, shorten
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report, decode_row

__all__ = ('RelayLimits', 'RelayService')

_PEER = 'relay'
_EPOCH = datetime.fromtimestamp(0, UTC)
_ORDER_TABLE_NAMES = frozenset(table.name for table in ORDER_TABLES)


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """Limits on the calls that one process relays.

    Parameters
    ----------
    calls_per_s : float
        Sustained rate of the calls to the store.
    burst : int
        Calls that may exceed the rate at once.
    max_in_flight : int
        Calls that may wait for the store at the same time.
    max_report_bytes : int
        Largest report; that of a row of the store.
    max_wait : timedelta
        Longest wait of a feed for its first change.
    """

    calls_per_s: float = 200
    burst: int = 100
    max_in_flight: int = 128
    max_report_bytes: int = 65_536
    max_wait: timedelta = timedelta(seconds=2)


class RelayService(PeerStore):
    """The part of the store that guards may use through this process.

    Guards may read orders, and read and conditionally replace reports. Nothing
    is kept here: a call is answered with the answer of the store.

    Parameters
    ----------
    store : RowStore
        Store as reached by this process.
    is_reachable : callable
        Returns whether the store responds to this process.
    clock : SteadyClock
        Measures the rate of the calls.
    receive_report : callable
        Takes the ends of a report and returns whether this process schedules.
    limits : RelayLimits, optional
        Limits on the calls.
    """

    def __init__(
        self,
        store: RowStore,
        is_reachable: Callable[[], bool],
        clock: SteadyClock,
        receive_report: Callable[[Report], bool],
        limits: RelayLimits | None = None,
    ) -> None:
        """Create the service without calls in flight."""
        self._store = store
        self._is_reachable = is_reachable
        self._clock = clock
        self._receive_report = receive_report
        self._limits = limits or RelayLimits()
        self._bucket = TokenBucket(
            self._limits.calls_per_s, self._limits.burst, self._now()
        )
        self._in_flight = 0
        self._served = 0
        self._refused = 0

    @property
    def served(self) -> int:
        """Calls that the store has answered."""
        return self._served

    @property
    def refused(self) -> int:
        """Calls that were refused without a call to the store."""
        return self._refused

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        return await read_pages(self, table, part, first, last)

    async def read_page(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Page:
        """Return the first rows of a range of orders, or a report."""
        is_report = table == REPORTS.name and last == f'{first}\0'
        if not (is_report or table in _ORDER_TABLE_NAMES):
            raise self._invalid('read', table, 'one report, or orders')
        async with self._admission('read'):
            return await self._store.read_page(table, part, first, last)

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Replace one report if it has its expected version."""
        self._check_report(writes, conditions)
        async with self._admission('commit'):
            return await self._store.commit(writes, conditions)

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return changes of orders; wait up to ``wait`` for the first."""
        if table not in _ORDER_TABLE_NAMES:
            raise self._invalid('feed', table, 'a table of orders')
        async with self._admission('feed'):
            return await self._store.changes(
                table, after, min(wait, self._limits.max_wait)
            )

    async def deliver_report(self, content: bytes) -> None:
        """Pass the ends in a report to the scheduler of this process."""
        report = self._decode_report(content)
        if self._bucket.take(self._now()):
            self._record_refusal('deliver', 'rate_exceeded')
            raise PlatformUnavailableError(
                'rate_exceeded', step='deliver', peer=_PEER
            )
        if not self._receive_report(report):
            raise PlatformUnavailableError(
                'not_scheduling', step='deliver', peer=_PEER
            )
        if not self._is_reachable():
            raise EndsHeldError('store_unreachable', step='deliver', peer=_PEER)
        self._served += 1

    def _check_report(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> None:
        names = [write.name for write in writes]
        if len(names) != 1 or [name for name, _ in conditions] != names:
            raise self._invalid('commit', len(names), 'one conditional write')
        write = writes[0]
        name = write.name
        if name != RowName(REPORTS.name, shard_of(name.key), name.key):
            raise self._invalid('commit', name, 'the row of a report')
        self._decode_report(write.content)

    def _decode_report(self, content: bytes | None) -> Report:
        if content is None or len(content) > self._limits.max_report_bytes:
            size = None if content is None else len(content)
            raise self._invalid('report', size, 'a report of limited size')
        report = decode_row(content, Report)
        if isinstance(report, Unreadable):
            raise self._invalid('report', report.reason, 'a report')
        return report

    @asynccontextmanager
    async def _admission(self, step: str) -> AsyncIterator[None]:
        reason = self._refusal_reason()
        if reason:
            self._record_refusal(step, reason)
            raise PlatformUnavailableError(reason, step=step, peer=_PEER)
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
        self._served += 1

    def _refusal_reason(self) -> str:
        if not self._is_reachable():
            return 'store_unreachable'
        if self._in_flight >= self._limits.max_in_flight:
            return 'too_many_in_flight'
        if self._bucket.take(self._now()):
            return 'rate_exceeded'
        return ''

    def _invalid(
        self, step: str, given: object, expected: str
    ) -> InvalidInputError:
        self._record_refusal(step, f'expected {expected}')
        return InvalidInputError(step, given, expected)

    def _record_refusal(self, step: str, reason: str) -> None:
        self._refused += 1
        decision_log.record(
            'relay_refused',
            step=step,
            reason=shorten(reason),
            in_flight=self._in_flight,
        )

    def _now(self) -> datetime:
        return _EPOCH + timedelta(milliseconds=self._clock.now_ms())
