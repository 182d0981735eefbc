"""Competes for the lease row of the partition and renews it."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import replace
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    DragonflynotchError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.ownership import (
    Candidate,
    Grant,
    LeaseObservation,
    LeaseRow,
    OwnershipPolicy,
    RenewalRight,
    cleared_row,
    confirm_by_table,
    is_granted,
    may_renew_tasks,
    may_take_over,
    note_running,
    note_table_outage,
    observe_lease,
    receive_grant,
    restart_wait,
    takeover_row,
)
from dragonflynotch.entry.partition.lease_row import (
    LeaseRowStore,
    NotOwnerError,
    StoredLease,
)
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.services.table import (
    ConditionalWrite,
    WriteConflict,
    Written,
)

__all__ = ('OwnershipKeeper', 'OwnershipListener')

_POLL = timedelta(seconds=0.2)

_log = part_logger('entry.ownership')


class OwnershipListener(ABC):
    """Learns of the gain and the loss of ownership."""

    @abstractmethod
    def ownership_gained(self, fence: int) -> None:
        """Note that this entry owns the partition under ``fence``."""

    @abstractmethod
    def ownership_lost(self) -> None:
        """Note that this entry does not own the partition any more."""


class OwnershipKeeper:
    """Owns what this entry knows of the ownership of its partition.

    Each write of the owner goes through ``commit``, which renews the lease row
    in the same transaction; a replaced owner can therefore write nothing.

    Parameters
    ----------
    entry_id : str
        This entry.
    store : LeaseRowStore
        The lease row.
    clock : Clock
        Clock of the entry.
    policy : OwnershipPolicy
        Durations.
    listener : OwnershipListener
        Told of changes.
    """

    def __init__(
        self,
        entry_id: str,
        store: LeaseRowStore,
        clock: Clock,
        policy: OwnershipPolicy,
        listener: OwnershipListener,
    ) -> None:
        """Start as a competitor that has not read the row."""
        self._entry_id = entry_id
        self._store = store
        self._clock = clock
        self._policy = policy
        self._listener = listener
        self._seen: LeaseObservation | None = None
        self._right: RenewalRight | None = None
        self._grant: Grant | None = None
        self._row: LeaseRow | None = None
        self._others: frozenset[str] = frozenset()
        self._is_uncertain = False
        self._is_stopping = False
        self._was_unreachable = False
        self._started_at = clock.now()
        self._lock = asyncio.Lock()

    @property
    def fence(self) -> int:
        """Fence of the own ownership; 0 if this entry is not the owner."""
        return 0 if self._right is None else self._right.fence

    @property
    def known_owner(self) -> str:
        """Owner in the row as read last; empty if unknown or none."""
        if self._row is not None:
            return self._row.owner
        row = None if self._seen is None else self._seen.row
        return '' if row is None else row.owner

    @property
    def is_table_down(self) -> bool:
        """Whether the last write of the owner failed."""
        return self._right is not None and self._right.is_table_down

    def acknowledged_fence(self) -> int:
        """Return the fence that an acknowledgement sent now may carry.

        It renews the task leases of the receiver, so it is 0 without the
        right to renew at this moment.
        """
        if self._right is None:
            return 0
        now = self._clock.now()
        self._right = note_running(self._right, now, self._policy)
        if may_renew_tasks(self._right, now, self._policy):
            return self._right.fence
        return 0

    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over for a time.

        Returns
        -------
        timedelta or None
            Duration for the receiver; ``None`` refuses.
        """
        granted = is_granted(
            self._seen,
            owner,
            fence,
            self._clock.now(),
            self._policy,
            is_competing=self._right is not None or self._is_uncertain,
        )
        if granted is None:
            return None
        self._grant = granted
        return self._policy.received_grant

    def receive_grant(self, entry_id: str, asked_at: datetime) -> None:
        """Record that an entry granted a request sent at ``asked_at``."""
        if self._right is not None:
            self._right = receive_grant(
                self._right, entry_id, asked_at, self._policy
            )

    async def run(self) -> None:
        """Compete for the row and renew it until cancelled."""
        renewed_at = self._clock.now()
        while True:
            now = self._clock.now()
            if self._right is None:
                renewed_at = now
                await self._compete()
            elif self._is_renewal_due(renewed_at, now):
                renewed_at = now
                await self._renew()
            await asyncio.sleep(_POLL.total_seconds())

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> Written | WriteConflict:
        """Write rows as the owner and renew the lease row with them.

        See ``LeaseRowStore.write`` for the results and errors.
        """
        async with self._lock:
            if self._row is None:
                raise NotOwnerError('not the owner', step='commit')
            row = replace(
                self._row,
                expires_at=self._clock.now() + self._policy.lease,
                candidates=tuple(sorted(self._others)),
            )
            return await self._write(row, writes)

    async def step_down(self) -> None:
        """Clear the row so that another entry takes over at once.

        The entry sends no order and no owned fence from the call on.
        """
        self._is_stopping = True
        async with self._lock:
            row = self._row
            if row is None:
                return
            self._lose()
            try:
                await self._store.write(cleared_row(row, self._clock.now()))
            except DragonflynotchError as error:
                _log.warning('lease row was not cleared: {}', error)

    def _is_renewal_due(self, renewed_at: datetime, now: datetime) -> bool:
        if self._right is None:
            return False
        self._right = note_running(self._right, now, self._policy)
        is_due = now - renewed_at >= self._policy.renewal
        return is_due or self._right.is_table_down

    async def _renew(self) -> None:
        try:
            await self._read_registrations()
            await self.commit(())
        except NotOwnerError as error:
            _log.warning('ownership is lost: {}', error)
        except DragonflynotchError as error:
            self._note_outage()
            _log.warning('lease row was not renewed: {}', error)

    async def _write(
        self, row: LeaseRow, writes: Sequence[ConditionalWrite]
    ) -> Written | WriteConflict:
        sent_at = self._clock.now()
        if self._right is not None:
            # The write may take effect even if its answer is lost.
            registered = self._right.registered | frozenset(row.candidates)
            self._right = replace(self._right, registered=registered)
        try:
            outcome = await self._store.write(row, writes)
        except NotOwnerError:
            self._lose()
            raise
        except (PlatformUnavailableError, UncertainWriteError):
            self._note_outage()
            raise
        if isinstance(outcome, Written):
            self._confirm(row, sent_at)
        return outcome

    async def _compete(self) -> None:
        try:
            self._observe(await self._store.read())
            seen = self._seen
            if seen is not None and self._may_compete(seen):
                await self._take_over(seen)
        except UncertainWriteError as error:
            _log.warning('takeover is uncertain: {}', error)
        except DragonflynotchError:
            self._was_unreachable = True

    def _observe(self, stored: StoredLease) -> None:
        now = self._clock.now()
        self._seen = observe_lease(self._seen, stored.row, stored.version, now)
        if self._was_unreachable:
            self._seen = restart_wait(self._seen, now)
            self._was_unreachable = False
        if stored.version != self._store.version:
            # A conditional takeover write can't take effect any more.
            self._is_uncertain = False
        row = stored.row
        if row is None or self._is_stopping:
            return
        if row.owner and stored.is_own:
            # The answer to an own takeover was lost.
            self._store.version = stored.version
            self._confirm(row, row.expires_at - self._policy.lease)

    def _may_compete(self, seen: LeaseObservation) -> bool:
        if self._right is not None or self._is_stopping:
            return False
        now = self._clock.now()
        candidate = Candidate(self._entry_id, self._started_at, self._grant)
        return may_take_over(seen, candidate, now, self._policy)

    async def _take_over(self, seen: LeaseObservation) -> None:
        # An owner asks every registered entry for its grant, so an entry that
        # is not registered must not take over.
        if not await self._read_registrations():
            return
        async with self._lock:
            self._store.version = seen.version
            self._is_uncertain = True
            self._seen = replace(seen, has_changed=False)
            await self._write(
                takeover_row(
                    seen,
                    self._entry_id,
                    self._others,
                    self._clock.now(),
                    self._policy,
                ),
                (),
            )

    async def _read_registrations(self) -> bool:
        """Read who is registered and return whether this entry is."""
        registered = await self._store.registered()
        self._others = registered - {self._entry_id}
        return self._entry_id in registered

    def _confirm(self, row: LeaseRow, sent_at: datetime) -> None:
        now = self._clock.now()
        is_gain = self._right is None
        right = self._right or RenewalRight(row.fence, sent_at, now)
        self._right = replace(
            confirm_by_table(right, sent_at, now),
            registered=frozenset(row.candidates) - {self._entry_id},
        )
        self._row = row
        self._is_uncertain = False
        if is_gain:
            _log.info('gained ownership with fence {}', row.fence)
            self._listener.ownership_gained(row.fence)

    def _lose(self) -> None:
        self._seen = None
        self._row = None
        self._is_uncertain = False
        if self._right is not None:
            _log.warning('lost ownership with fence {}', self._right.fence)
            self._right = None
            self._listener.ownership_lost()

    def _note_outage(self) -> None:
        if self._right is not None:
            self._right = note_table_outage(self._right)
