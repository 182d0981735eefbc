"""The scheduling lease: one holder at a time, proved by every transaction."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.rows import (
    ABSENT,
    LEASE,
    SCHEDULER_PART,
    Committed,
    Row,
    RowName,
    RowStore,
    RowWrite,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import (
    LeaseRow,
    decode_row,
    encode_row,
)

__all__ = ('LEASE_NAME', 'LeaseLostError', 'Leadership')

LEASE_NAME = RowName(LEASE.name, SCHEDULER_PART, 'holder')

# A candidate takes over when the row has not changed for this long. Running
# tasks do not depend on the holder, so a late takeover only delays starts.
_TAKEOVER = timedelta(milliseconds=2200)
_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.5


class LeaseLostError(Exception):
    """Another node holds the lease."""


class Leadership:
    """The lease as seen by one node.

    Every transaction of the holder expects the version of the lease row that
    it wrote last and rewrites the row. So the transactions of a holder form a
    chain: a transaction that is carried out late finds its condition broken,
    and one whose answer was lost is settled by the next attempt.

    Parameters
    ----------
    node : str
        Name of this node.
    store : RowStore
        Store with the lease.
    clock : SteadyClock
        Measures how long the row has not changed.
    """

    def __init__(self, node: str, store: RowStore, clock: SteadyClock) -> None:
        """Create a candidate."""
        self._node = node
        self._store = store
        self._clock = clock
        self._row = LeaseRow('', 0)
        self._version = ABSENT
        self._changed_ms = clock.now_ms()
        self._is_holder = False

    @property
    def is_holder(self) -> bool:
        """Whether this node held the lease at its last transaction."""
        return self._is_holder

    @property
    def epoch(self) -> int:
        """Fencing token of the last known holder."""
        return self._row.epoch

    async def look(self) -> LeaseRow:
        """Read the lease.

        Raises
        ------
        PlatformUnavailableError
            If the store does not answer.
        """
        row = await self._store.read_row(LEASE_NAME)
        version = _version(row)
        if version != self._version:
            self._version = version
            self._changed_ms = self._clock.now_ms()
            self._row = _decode(row)
        return self._row

    async def try_claim(self) -> bool:
        """Take the lease if it is free or its holder has been silent."""
        lease = await self.look()
        silent_ms = self._clock.now_ms() - self._changed_ms
        is_free = not lease.holder or lease.holder == self._node
        if not is_free and silent_ms < _TAKEOVER.total_seconds() * 1000:
            return False
        self._row = LeaseRow(self._node, lease.epoch + 1, waiting=lease.waiting)
        self._is_holder = True
        previous = lease.holder
        try:
            await self.commit([], [])
        except LeaseLostError:
            return False
        decision_log.record(
            'lease_claimed',
            epoch=self._row.epoch,
            previous=previous,
            silent_ms=silent_ms,
        )
        return True

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
        waiting: dict[str, int] | None = None,
    ) -> bool:
        """Write as the holder; returns ``False`` if a condition failed.

        Repeats the transaction until its outcome is certain.

        Raises
        ------
        LeaseLostError
            If another node holds the lease; nothing was written.
        """
        row = LeaseRow(
            self._row.holder,
            self._row.epoch,
            self._row.sequence + 1,
            self._row.waiting if waiting is None else waiting,
        )
        all_writes = [*writes, RowWrite(LEASE_NAME, encode_row(row))]
        all_conditions = [*conditions, (LEASE_NAME, self._version)]
        attempts = 0
        while True:
            try:
                outcome = await self._store.commit(all_writes, all_conditions)
            except (PlatformUnavailableError, UncertainWriteError) as error:
                attempts += 1
                if attempts == 1:
                    self._note_repetition(row, error)
                await asyncio.sleep(min(_RETRY_S * attempts, _LONGEST_RETRY_S))
                continue
            if isinstance(outcome, Committed):
                self._accept(row, outcome.version)
                return True
            return self._settle_conflict(row, outcome.found.get(LEASE_NAME))

    async def release(self) -> None:
        """Give up the lease, so that a candidate need not wait."""
        if not self._is_holder:
            return
        self._row.holder = ''
        self._row.epoch += 1
        try:
            async with asyncio.timeout(1):
                await self.commit([], [])
        except (TimeoutError, LeaseLostError) as error:
            decision_log.record('lease_not_released', reason=repr(error))
        self._is_holder = False

    def _note_repetition(self, row: LeaseRow, error: Exception) -> None:
        decision_log.record(
            'transaction_repeated',
            epoch=row.epoch,
            sequence=row.sequence,
            reason=str(error),
        )

    def _settle_conflict(self, row: LeaseRow, found: Row | None) -> bool:
        if _version(found) == self._version:
            # Another condition failed.
            return False
        current = _decode(found)
        if not _is_same(current, row):
            self._lose(current, found)
            raise LeaseLostError(current.holder)
        # An earlier attempt whose answer was lost took effect.
        self._accept(row, _version(found))
        return True

    def _accept(self, row: LeaseRow, version: int) -> None:
        self._row = row
        self._version = version
        self._changed_ms = self._clock.now_ms()

    def _lose(self, current: LeaseRow, found: Row | None) -> None:
        self._is_holder = False
        self._row = current
        self._version = _version(found)
        self._changed_ms = self._clock.now_ms()
        decision_log.record(
            'lease_lost', holder=current.holder, epoch=current.epoch
        )


def _version(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _decode(row: Row | None) -> LeaseRow:
    found = decode_row(row.content, LeaseRow) if row else None
    return found or LeaseRow('', 0)


def _is_same(first: LeaseRow, second: LeaseRow) -> bool:
    return (first.holder, first.epoch, first.sequence) == (
        second.holder,
        second.epoch,
        second.sequence,
    )
