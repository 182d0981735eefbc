"""Stand-in of the platform's row store, with faults on demand."""

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
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)

__all__ = ('MemoryRowStore', 'StoreFault')

_PEER = 'row store'


class StoreFault(Enum):
    """What the stand-in does wrong."""

    none = 'none'
    # Refuses every call and does nothing.
    down = 'down'
    # Carries writes out and does not answer them.
    lose_answers = 'lose_answers'
    # Does not answer writes and carries them out when told to.
    late = 'late'
    # Answers nothing and keeps writes, to carry them out when told to.
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class _Logged:
    name: RowName
    content: bytes | None
    version: int


class MemoryRowStore(RowStore):
    """Row store in memory.

    Set ``fault`` to make it fail, call ``apply_late`` to carry out what it
    held back, and ``forget_history`` to cut the feeds.

    Parameters
    ----------
    clock : SteadyClock
        Clock of the store; answers carry its time.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create an empty store."""
        self.fault = StoreFault.none
        self.store_clock = StoreClock(clock)
        self.call_count = 0
        self._clock = clock
        self._rows: dict[RowName, Row] = {}
        self._version = 0
        self._log: list[_Logged] = []
        self._history_from = 0
        # Set, and replaced, at each change.
        self._changed = asyncio.Event()
        self._late: list[
            tuple[tuple[RowWrite, ...], tuple[tuple[RowName, int], ...]]
        ] = []

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        self._enter('read')
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
        """Apply all writes if each row has its expected version."""
        self._enter('commit')
        parts = {write.name.part for write in writes}
        parts.update(name.part for name, _ in conditions)
        if len(parts) > 1:
            raise InvalidInputError('commit', parts, 'rows of one part')
        if self.fault in {StoreFault.late, StoreFault.silent}:
            self._late.append((tuple(writes), tuple(conditions)))
            raise _uncertain()
        outcome = self._apply(writes, conditions)
        if self.fault is StoreFault.lose_answers:
            raise _uncertain()
        return outcome

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version."""
        self._enter('feed')
        try:
            async with asyncio.timeout(wait.total_seconds()):
                while not self._news(table, after):
                    await self._changed.wait()
        except TimeoutError:
            # Nothing has changed; the answer says up to which version.
            pass
        self._enter('feed')
        if after < self._history_from:
            return HistoryLost()
        return Changes(self._news(table, after), self._version)

    def apply_late(self) -> list[Committed | Conflict]:
        """Carry out the writes that were held back."""
        late = self._late
        self._late = []
        return [self._apply(*transaction) for transaction in late]

    def forget_history(self) -> None:
        """Drop the history of all feeds."""
        self._log.clear()
        self._history_from = self._version
        self._wake_feeds()

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
        self._wake_feeds()
        return Committed(self._version)

    def _news(self, table: str, after: int) -> tuple[RowChange, ...]:
        first = bisect_right(self._log, after, key=lambda one: one.version)
        return tuple(
            RowChange(one.name.key, one.content, one.version)
            for one in self._log[first:]
            if one.name.table == table
        )

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, write: RowWrite) -> None:
        self._log.append(_Logged(write.name, write.content, self._version))
        if write.content is None:
            self._rows.pop(write.name, None)
        else:
            self._rows[write.name] = Row(
                write.name.key, write.content, self._version
            )

    def _version_of(self, name: RowName) -> int:
        row = self._rows.get(name)
        return ABSENT if row is None else row.version

    def _enter(self, step: str) -> None:
        self.call_count += 1
        is_silent = self.fault is StoreFault.silent and step != 'commit'
        if self.fault is StoreFault.down or is_silent:
            raise PlatformUnavailableError(
                'down on demand', step=step, peer=_PEER
            )
        self.store_clock.observe(self._clock.now_ms(), self._clock.now_ms())


def _uncertain() -> UncertainWriteError:
    return UncertainWriteError(
        'answer lost on demand', step='commit', peer=_PEER
    )
