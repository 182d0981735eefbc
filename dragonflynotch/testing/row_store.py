"""In-memory stand-in for the platform's row store."""

import asyncio
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.rows import (
    ABSENT,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Row,
    RowChange,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
    StoreLimits,
)
from dragonflynotch.control.store_health import StoreHealth
from dragonflynotch.control.transactions import check_rows, encoded_bytes
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)

__all__ = ('MemoryRowStore', 'StoreFault')

_PEER = 'row store'


class StoreFault(Enum):
    """Faults that the stand-in injects."""

    none = 'none'
    # Every call fails without effect.
    down = 'down'
    # Writes are applied but not answered.
    lose_answers = 'lose_answers'
    # Writes are not answered; ``apply_deferred_commits`` applies them.
    late = 'late'
    # No call is answered; ``apply_deferred_commits`` applies the writes.
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class _LoggedChange:
    name: RowName
    content: bytes | None
    version: int


class MemoryRowStore(RowStore):
    """Row store in memory.

    ``fault`` selects the injected fault, ``apply_deferred_commits`` applies the
    deferred writes, and ``truncate_history`` makes feeds lose their position.
    If ``enforced_limits`` is set, transactions beyond them are refused.

    Parameters
    ----------
    clock : SteadyClock
        Clock of the store; its time is reported with each answer.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create an empty store."""
        self.fault = StoreFault.none
        self.enforced_limits: StoreLimits | None = None
        self.store_clock = StoreClock(clock)
        self.health = StoreHealth(clock)
        self.call_count = 0
        self._clock = clock
        self._rows: dict[RowName, Row] = {}
        self._version = 0
        self._change_log: list[_LoggedChange] = []
        self._history_start = 0
        # Set at each change and then replaced by a new event.
        self._changed = asyncio.Event()
        self._deferred_commits: list[
            tuple[tuple[RowWrite, ...], tuple[tuple[RowName, int], ...]]
        ] = []

    @property
    def limits(self) -> StoreLimits:
        """What the store accepts in one transaction."""
        return self.enforced_limits or super().limits

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        self._begin_call('read')
        names = sorted(
            (
                name
                for name in self._rows
                if (name.table, name.part) == (table, part)
                and name.key >= first
                and (not last or name.key < last)
            ),
            key=lambda name: name.key,
        )
        return Snapshot(
            tuple(self._rows[name] for name in names), self._version
        )

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each condition matches the version of its row."""
        self._begin_call('commit')
        parts = {write.name.part for write in writes}
        parts.update(name.part for name, _ in conditions)
        if len(parts) > 1:
            raise InvalidInputError('commit', parts, 'rows of one part')
        self._check_limits(writes, conditions)
        if self.fault in {StoreFault.late, StoreFault.silent}:
            self._deferred_commits.append((tuple(writes), tuple(conditions)))
            self.health.record_failure()
            raise _uncertain_write_error()
        outcome = self._apply(writes, conditions)
        if self.fault is StoreFault.lose_answers:
            self.health.record_failure()
            raise _uncertain_write_error()
        return outcome

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return changes of a table after a version; wait for the first one."""
        self._begin_call('feed')
        try:
            async with asyncio.timeout(wait.total_seconds()):
                while not self._changes_after(table, after):
                    await self._changed.wait()
        except TimeoutError:
            # Without changes, the answer still carries the current version.
            pass
        self._begin_call('feed')
        if after < self._history_start:
            return HistoryLost()
        return Changes(self._changes_after(table, after), self._version)

    def apply_deferred_commits(self) -> list[Committed | Conflict]:
        """Apply the deferred writes in order."""
        deferred = self._deferred_commits
        self._deferred_commits = []
        return [self._apply(*transaction) for transaction in deferred]

    def truncate_history(self) -> None:
        """Drop the change history; older positions become ``HistoryLost``."""
        self._change_log.clear()
        self._history_start = self._version
        self._notify_feeds()

    def _check_limits(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> None:
        limits = self.enforced_limits
        if limits is None:
            return
        check_rows(writes, limits)
        rows = len(writes) + len(conditions)
        size = sum(encoded_bytes(write) for write in writes)
        if rows > limits.call_rows or size > limits.call_bytes:
            raise InvalidInputError(
                'commit', f'{rows} rows, {size} bytes', f'{limits}'
            )

    def _apply(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        if any(
            self._version_of(name) != version for name, version in conditions
        ):
            return Conflict(
                {
                    name: self._rows[name]
                    for name, _ in conditions
                    if name in self._rows
                }
            )
        self._version += 1
        for write in writes:
            self._write(write)
        self._notify_feeds()
        return Committed(self._version)

    def _changes_after(self, table: str, after: int) -> tuple[RowChange, ...]:
        first = bisect_right(
            self._change_log, after, key=lambda change: change.version
        )
        return tuple(
            RowChange(change.name.key, change.content, change.version)
            for change in self._change_log[first:]
            if change.name.table == table
        )

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, write: RowWrite) -> None:
        self._change_log.append(
            _LoggedChange(write.name, write.content, self._version)
        )
        if write.content is None:
            self._rows.pop(write.name, None)
        else:
            self._rows[write.name] = Row(
                write.name.key, write.content, self._version
            )

    def _version_of(self, name: RowName) -> int:
        row = self._rows.get(name)
        return ABSENT if row is None else row.version

    def _begin_call(self, step: str) -> None:
        self.call_count += 1
        is_silent = self.fault is StoreFault.silent and step != 'commit'
        if self.fault is StoreFault.down or is_silent:
            self.health.record_failure()
            raise PlatformUnavailableError(
                'unavailable (injected fault)', step=step, peer=_PEER
            )
        self.health.record_response()
        self.store_clock.observe(self._clock.now_ms(), self._clock.now_ms())


def _uncertain_write_error() -> UncertainWriteError:
    return UncertainWriteError(
        'answer lost (injected fault)', step='commit', peer=_PEER
    )
