"""Acquires and renews the lease of a partition."""

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
    RenewalState,
    cleared_row,
    decide_grant,
    may_renew_task_leases,
    may_take_over,
    observe_lease,
    receive_grant,
    record_activity,
    record_row_renewal,
    record_table_outage,
    restart_takeover_wait,
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

__all__ = ('OwnershipListener', 'OwnershipManager')

_POLL_INTERVAL = timedelta(seconds=0.2)

_log = part_logger('entry.ownership')


class OwnershipListener(ABC):
    """Notified when ownership is gained or lost."""

    @abstractmethod
    def ownership_gained(self, fence: int) -> None:
        """Called when this entry has become the owner under ``fence``."""

    @abstractmethod
    def ownership_lost(self) -> None:
        """Called when this entry no longer owns the partition."""


class OwnershipManager:
    """Tracks who owns the partition and competes for its ownership.

    Every write of the owner goes through ``commit``, which renews the lease
    row in the same transaction. A replaced owner can therefore write nothing.

    Parameters
    ----------
    entry_id : str
        Id of this entry.
    store : LeaseRowStore
        Reads and writes the lease row.
    clock : Clock
        Clock of the entry.
    policy : OwnershipPolicy
        Durations of the ownership protocol.
    listener : OwnershipListener
        Notified of gain and loss.
    """

    def __init__(
        self,
        entry_id: str,
        store: LeaseRowStore,
        clock: Clock,
        policy: OwnershipPolicy,
        listener: OwnershipListener,
    ) -> None:
        """Start as a non-owner that has not read the lease row."""
        self._entry_id = entry_id
        self._store = store
        self._clock = clock
        self._policy = policy
        self._listener = listener
        self._observation: LeaseObservation | None = None
        self._renewal_state: RenewalState | None = None
        self._last_grant: Grant | None = None
        self._owned_row: LeaseRow | None = None
        self._other_entries: frozenset[str] = frozenset()
        self._is_takeover_uncertain = False
        self._is_stopping = False
        self._was_table_unreachable = False
        self._started_at = clock.now()
        self._write_lock = asyncio.Lock()

    @property
    def fence(self) -> int:
        """Fence under which this entry is the owner; 0 if it is not."""
        return 0 if self._renewal_state is None else self._renewal_state.fence

    @property
    def known_owner(self) -> str:
        """Owner in the row last read; empty if none or unknown."""
        if self._owned_row is not None:
            return self._owned_row.owner
        row = None if self._observation is None else self._observation.row
        return '' if row is None else row.owner

    @property
    def is_table_down(self) -> bool:
        """Whether this entry is the owner and its last write failed."""
        return (
            self._renewal_state is not None
            and self._renewal_state.is_table_down
        )

    def acknowledged_fence(self) -> int:
        """Return the fence that an acknowledgement sent now may carry.

        A fence in an acknowledgement renews the task leases of the receiver,
        so it is 0 while this entry may not renew them.
        """
        if self._renewal_state is None:
            return 0
        now = self._clock.now()
        self._renewal_state = record_activity(
            self._renewal_state, now, self._policy
        )
        if may_renew_task_leases(self._renewal_state, now, self._policy):
            return self._renewal_state.fence
        return 0

    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over for a limited time.

        Returns
        -------
        timedelta or None
            How long the owner may count on it; ``None`` if it is refused.
        """
        granted = decide_grant(
            self._observation,
            owner,
            fence,
            self._clock.now(),
            self._policy,
            is_competing=self._renewal_state is not None
            or self._is_takeover_uncertain,
        )
        if granted is None:
            return None
        self._last_grant = granted
        return self._policy.received_grant

    def receive_grant(self, entry_id: str, sent_at: datetime) -> None:
        """Record the grant of an entry that was asked at ``sent_at``."""
        if self._renewal_state is not None:
            self._renewal_state = receive_grant(
                self._renewal_state, entry_id, sent_at, self._policy
            )

    async def run(self) -> None:
        """Try to gain ownership, then renew it, until cancelled."""
        renewed_at = self._clock.now()
        while True:
            now = self._clock.now()
            if self._renewal_state is None:
                renewed_at = now
                await self._compete()
            elif self._is_renewal_due(renewed_at, now):
                renewed_at = now
                await self._renew()
            await asyncio.sleep(_POLL_INTERVAL.total_seconds())

    async def commit(
        self, writes: Sequence[ConditionalWrite]
    ) -> Written | WriteConflict:
        """Write rows as the owner and renew the lease row with them.

        See ``LeaseRowStore.write`` for the results and errors.
        """
        async with self._write_lock:
            if self._owned_row is None:
                raise NotOwnerError(
                    'this entry is not the owner', step='commit'
                )
            row = replace(
                self._owned_row,
                expires_at=self._clock.now() + self._policy.lease,
                candidates=tuple(sorted(self._other_entries)),
            )
            return await self._write(row, writes)

    async def step_down(self) -> None:
        """Clear the row so that another entry can take over at once.

        From this call on, the entry sends no order and no owned fence.
        """
        self._is_stopping = True
        async with self._write_lock:
            row = self._owned_row
            if row is None:
                return
            self._note_loss()
            try:
                await self._store.write(cleared_row(row, self._clock.now()))
            except DragonflynotchError as error:
                _log.warning(
                    'clearing the lease row failed; it will expire instead: {}',
                    error,
                )

    def _is_renewal_due(self, renewed_at: datetime, now: datetime) -> bool:
        if self._renewal_state is None:
            return False
        self._renewal_state = record_activity(
            self._renewal_state, now, self._policy
        )
        is_due = now - renewed_at >= self._policy.renewal
        return is_due or self._renewal_state.is_table_down

    async def _renew(self) -> None:
        try:
            await self._read_registrations()
            await self.commit(())
        except NotOwnerError as error:
            _log.warning(
                'lease row was not renewed; ownership is lost: {}', error
            )
        except DragonflynotchError as error:
            self._note_outage()
            _log.warning('lease row was not renewed; will retry: {}', error)

    async def _write(
        self, row: LeaseRow, writes: Sequence[ConditionalWrite]
    ) -> Written | WriteConflict:
        sent_at = self._clock.now()
        if self._renewal_state is not None:
            # Even if the answer is lost, the write may take effect and make
            # these entries candidates, so their grants are needed from now on.
            other_candidates = self._renewal_state.other_candidates | frozenset(
                row.candidates
            )
            self._renewal_state = replace(
                self._renewal_state, other_candidates=other_candidates
            )
        try:
            outcome = await self._store.write(row, writes)
        except NotOwnerError:
            self._note_loss()
            raise
        except (PlatformUnavailableError, UncertainWriteError):
            self._note_outage()
            raise
        if isinstance(outcome, Written):
            self._note_confirmation(row, sent_at)
        return outcome

    async def _compete(self) -> None:
        try:
            self._observe_row(await self._store.read())
            observation = self._observation
            if observation is not None and self._may_compete(observation):
                await self._take_over(observation)
        except UncertainWriteError as error:
            _log.warning('takeover may take effect later: {}', error)
        except DragonflynotchError:
            self._was_table_unreachable = True

    def _observe_row(self, stored: StoredLease) -> None:
        now = self._clock.now()
        self._observation = observe_lease(
            self._observation, stored.row, stored.version, now
        )
        if self._was_table_unreachable:
            self._observation = restart_takeover_wait(self._observation, now)
            self._was_table_unreachable = False
        if stored.version != self._store.version:
            # The row has a new version, so an earlier takeover write that
            # expects the old one cannot take effect any more.
            self._is_takeover_uncertain = False
        row = stored.row
        if row is None or self._is_stopping:
            return
        if row.owner and stored.is_own:
            # A takeover by this process took effect but its answer was lost.
            self._store.version = stored.version
            self._note_confirmation(row, row.expires_at - self._policy.lease)

    def _may_compete(self, observation: LeaseObservation) -> bool:
        if self._renewal_state is not None or self._is_stopping:
            return False
        now = self._clock.now()
        candidate = Candidate(
            self._entry_id, self._started_at, self._last_grant
        )
        return may_take_over(observation, candidate, now, self._policy)

    async def _take_over(self, observation: LeaseObservation) -> None:
        # An owner asks every registered entry for its grant. An entry that is
        # not registered is not asked, so it must not take over.
        if not await self._read_registrations():
            return
        async with self._write_lock:
            self._store.version = observation.version
            self._is_takeover_uncertain = True
            self._observation = replace(observation, has_changed=False)
            await self._write(
                takeover_row(
                    observation,
                    self._entry_id,
                    self._other_entries,
                    self._clock.now(),
                    self._policy,
                ),
                (),
            )

    async def _read_registrations(self) -> bool:
        """Read the registered entries; return whether this one is included."""
        registered = await self._store.read_registered_entries()
        self._other_entries = registered - {self._entry_id}
        return self._entry_id in registered

    def _note_confirmation(self, row: LeaseRow, sent_at: datetime) -> None:
        now = self._clock.now()
        is_gain = self._renewal_state is None
        state = self._renewal_state or RenewalState(row.fence, sent_at, now)
        self._renewal_state = replace(
            record_row_renewal(state, sent_at, now),
            other_candidates=frozenset(row.candidates) - {self._entry_id},
        )
        self._owned_row = row
        self._is_takeover_uncertain = False
        if is_gain:
            _log.info('gained ownership with fence {}', row.fence)
            self._listener.ownership_gained(row.fence)

    def _note_loss(self) -> None:
        self._observation = None
        self._owned_row = None
        self._is_takeover_uncertain = False
        if self._renewal_state is not None:
            _log.warning(
                'lost ownership with fence {}', self._renewal_state.fence
            )
            self._renewal_state = None
            self._listener.ownership_lost()

    def _note_outage(self) -> None:
        if self._renewal_state is not None:
            self._renewal_state = record_table_outage(self._renewal_state)
