"""Scheduling lease: one holder at a time, verified by each transaction."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from operator import itemgetter

import msgspec
from msgspec.structs import replace

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
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.records import (
    LeaseRow,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.waiting_counts import WaitingCounts

__all__ = ('LEASE_NAME', 'LeaseLostError', 'Leadership')

LEASE_NAME = RowName(LEASE.name, SCHEDULER_PART, 'holder')

# A candidate takes over the lease when its row has not changed for this long.
# Running tasks do not depend on the holder: a late takeover only delays starts.
_TAKEOVER_TIMEOUT = timedelta(milliseconds=2200)
_NO_DELAY = timedelta()
# Longer than the takeover timeout plus the largest claim delay, so that every
# other candidate can claim the lease first.
_ABSTENTION = timedelta(seconds=6)
_RELEASE_TIMEOUT_S = 1
# Covers a whole call, since the next holder has to learn of the hand-over.
_HANDOVER_TIMEOUT_S = 1.5
# Names and numbers of the lease row without the waiting jobs.
_LEASE_OVERHEAD_BYTES = 200
# The waiting jobs leave room in the row and in each transaction.
_LEASE_ROWS_PER_LIMIT = 2
_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.5


class LeaseLostError(Exception):
    """Another node holds the lease; the message names it."""


class Leadership:
    """Lease as seen by one node, either its holder or a candidate.

    Each transaction of the holder is conditional on the version of the lease
    row that the holder wrote last, and rewrites that row. A transaction that
    the store applies late therefore fails its condition. If the response to a
    transaction is lost, repeating it shows whether it took effect: the row
    then already has the sequence number of that transaction.

    Parameters
    ----------
    node : str
        Name of this node.
    store : RowStore
        Store with the lease row.
    clock : SteadyClock
        Measures how long the row has not changed.
    claim_delay : timedelta
        How long this node waits before it claims a lease that it may claim.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        clock: SteadyClock,
        claim_delay: timedelta = _NO_DELAY,
    ) -> None:
        """Create a candidate."""
        self._node = node
        self._store = store
        self._clock = clock
        self._row = _unknown_lease()
        self._version = ABSENT
        self._row_changed_ms = clock.now_ms()
        self._is_holder = False
        self._claim_delay = claim_delay
        self._abstention_end_ms = clock.now_ms()
        self._own_handovers = 0

    @property
    def is_holder(self) -> bool:
        """Whether this node held the lease at its last transaction."""
        return self._is_holder

    @property
    def epoch(self) -> int:
        """Fencing token of the last known holder."""
        return self._row.epoch

    @property
    def handovers(self) -> int:
        """How many holders in a row were too slow, as last known."""
        return self._row.handovers

    @property
    def own_handovers(self) -> int:
        """How often this node released the lease because it was too slow."""
        return self._own_handovers

    @property
    def lease_write(self) -> RowWrite:
        """Write of the lease row that each transaction contains.

        The number of the transaction and of waiting jobs may differ.
        """
        return RowWrite(LEASE_NAME, bytes(self._max_lease_bytes))

    @property
    def _max_lease_bytes(self) -> int:
        return self._store.limits.row_bytes // _LEASE_ROWS_PER_LIMIT

    async def read_lease(self) -> LeaseRow:
        """Read the lease row.

        Raises
        ------
        PlatformUnavailableError
            If the store does not respond.
        """
        row = await self._store.read_row(LEASE_NAME)
        version = _version_of(row)
        if version != self._version:
            self._version = version
            self._row_changed_ms = self._clock.now_ms()
            self._row = _decode(row)
        return self._row

    async def try_claim(self) -> bool:
        """Claim the lease if it is free or its holder no longer renews it."""
        lease = await self.read_lease()
        unchanged_ms = self._clock.now_ms() - self._row_changed_ms
        is_abandoned = unchanged_ms >= _milliseconds(_TAKEOVER_TIMEOUT)
        if not is_abandoned and not self._may_claim_at_once(lease):
            return False
        if not await self._wait_for_others(lease):
            return False
        row = replace(
            lease, holder=self._node, epoch=lease.epoch + 1, sequence=1
        )
        previous = lease.holder
        try:
            self._is_holder = await self._commit_lease(row, [], [])
        except LeaseLostError:
            return False
        if not self._is_holder:
            return False
        decision_log.record(
            'lease_claimed',
            epoch=self._row.epoch,
            previous=previous,
            silent_ms=unchanged_ms,
        )
        return True

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
        counts: WaitingCounts | None = None,
    ) -> bool:
        """Write as the holder of the lease.

        Repeats the transaction until its outcome is certain.

        Parameters
        ----------
        writes : sequence of RowWrite
            Rows to write together with the lease row.
        conditions : sequence of (RowName, int)
            Rows with the versions that they must have.
        counts : WaitingCounts, optional
            Waiting jobs for the lease row, if they have been counted anew.

        Returns
        -------
        bool
            ``False`` if a condition failed and nothing was written.

        Raises
        ------
        LeaseLostError
            If another node holds the lease; nothing was written.
        """
        row = replace(self._row, sequence=self._row.sequence + 1)
        if counts is not None:
            row.waiting = self._fit(counts.by_queue)
            row.omits_counts = len(row.waiting) < len(counts.by_queue)
            row.counted_ms = counts.counted_ms
        return await self._commit_lease(row, writes, conditions)

    def _fit(self, waiting: dict[str, int]) -> dict[str, int]:
        """Return as many of the counts as fit into the row, largest first."""
        largest = sorted(waiting.items(), key=itemgetter(1), reverse=True)
        fitting: dict[str, int] = {}
        size = _LEASE_OVERHEAD_BYTES + len(msgspec.json.encode(self._node))
        for queue, count in largest:
            size += len(msgspec.json.encode({queue: count}))
            if size > self._max_lease_bytes:
                decision_log.record(
                    'waiting_counts_cut',
                    queues=len(waiting),
                    written=len(fitting),
                )
                break
            fitting[queue] = count
        return fitting

    async def release(self) -> None:
        """Release the lease so that a candidate can claim it at once."""
        await self._release(self._row.handovers, _RELEASE_TIMEOUT_S)

    async def hand_over(self) -> None:
        """Release the lease as too slow, and leave it to the others first.

        For some seconds this node claims the lease only if no other candidate
        does so within the time after which a silent holder is replaced.
        """
        self._own_handovers += 1
        self._abstention_end_ms = self._clock.now_ms() + _milliseconds(
            _ABSTENTION
        )
        await self._release(self._row.handovers + 1, _HANDOVER_TIMEOUT_S)

    def settle(self) -> None:
        """Discard earlier hand-overs, since this holder keeps up.

        Takes effect with the next transaction.
        """
        self._row.handovers = 0

    async def _release(self, handovers: int, timeout_s: float) -> None:
        if not self._is_holder:
            return
        row = replace(
            self._row,
            holder='',
            epoch=self._row.epoch + 1,
            sequence=self._row.sequence + 1,
            handovers=handovers,
        )
        try:
            async with asyncio.timeout(timeout_s):
                await self._commit_lease(row, [], [])
        except Exception as error:
            # Without a release, others take over after the takeover timeout.
            decision_log.record('lease_not_released', reason=repr(error))
        finally:
            self._is_holder = False

    async def _commit_lease(
        self,
        row: LeaseRow,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> bool:
        all_writes = [*writes, RowWrite(LEASE_NAME, encode_row(row))]
        all_conditions = [*conditions, (LEASE_NAME, self._version)]
        attempts = 0
        while True:
            try:
                outcome = await self._store.commit(all_writes, all_conditions)
            except (PlatformUnavailableError, UncertainWriteError) as error:
                attempts += 1
                if attempts == 1:
                    self._record_retry(row, error)
                await asyncio.sleep(
                    min(_RETRY_DELAY_S * attempts, _MAX_RETRY_DELAY_S)
                )
                continue
            if isinstance(outcome, Committed):
                self._set_lease(row, outcome.version)
                return True
            return self._resolve_conflict(
                row, outcome.current_rows.get(LEASE_NAME)
            )

    def _may_claim_at_once(self, lease: LeaseRow) -> bool:
        """Whether the lease has no holder that could still renew it."""
        if self._clock.now_ms() < self._abstention_end_ms:
            return False
        return not lease.holder or lease.holder == self._node

    async def _wait_for_others(self, lease: LeaseRow) -> bool:
        """Wait, and return whether no other candidate claimed the lease."""
        if not self._claim_delay or lease.holder == self._node:
            return True
        version = self._version
        await asyncio.sleep(self._claim_delay.total_seconds())
        await self.read_lease()
        return self._version == version

    def _record_retry(self, row: LeaseRow, error: Exception) -> None:
        decision_log.record(
            'transaction_repeated',
            epoch=row.epoch,
            sequence=row.sequence,
            reason=str(error),
        )

    def _resolve_conflict(self, row: LeaseRow, found: Row | None) -> bool:
        if _version_of(found) == self._version:
            # The lease is unchanged, so another condition failed.
            return False
        current = _decode(found)
        if not _is_same_transaction(current, row):
            self._step_down(current, found)
            raise LeaseLostError(current.holder)
        # An earlier attempt took effect, but its response was lost.
        self._set_lease(row, _version_of(found))
        return True

    def _set_lease(self, row: LeaseRow, version: int) -> None:
        self._row = row
        self._version = version
        self._row_changed_ms = self._clock.now_ms()

    def _step_down(self, current: LeaseRow, found: Row | None) -> None:
        self._is_holder = False
        self._row = current
        self._version = _version_of(found)
        self._row_changed_ms = self._clock.now_ms()
        decision_log.record(
            'lease_lost', holder=current.holder, epoch=current.epoch
        )


def _milliseconds(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)


def _version_of(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _unknown_lease() -> LeaseRow:
    return LeaseRow('', 0, omits_counts=True)


def _decode(row: Row | None) -> LeaseRow:
    if row is None:
        return _unknown_lease()
    lease = decode_row(row.content, LeaseRow)
    if isinstance(lease, Unreadable):
        unreadable_entries.record('lease_unreadable', lease, key=row.key)
        return _unknown_lease()
    return lease


def _is_same_transaction(first: LeaseRow, second: LeaseRow) -> bool:
    return (first.holder, first.epoch, first.sequence) == (
        second.holder,
        second.epoch,
        second.sequence,
    )
