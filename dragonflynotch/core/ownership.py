"""Ownership of a partition by one entry, and its right to renew task leases.

The owner holds a lease: a row in the table service that it renews at a fixed
interval. The other entries read the row and take over when it has not changed
for the duration of the lease. While the table service is unavailable, the owner
relies on grants instead: promises of the other entries not to take over yet.

All functions are pure. ``now`` is the time of the process that decides; clocks
of different processes are never compared.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from types import MappingProxyType

__all__ = (
    'Candidate',
    'Grant',
    'LeaseObservation',
    'LeaseRow',
    'OwnershipPolicy',
    'RenewalState',
    'cleared_row',
    'decide_grant',
    'may_renew_task_leases',
    'may_take_over',
    'observe_lease',
    'receive_grant',
    'record_activity',
    'record_row_renewal',
    'record_table_outage',
    'restart_takeover_wait',
    'takeover_row',
)


@dataclass(frozen=True, slots=True)
class OwnershipPolicy:
    """Durations of the ownership protocol.

    Parameters
    ----------
    lease : timedelta
        How long the lease row must be unchanged before a takeover.
    renewal : timedelta
        Interval between renewals of the lease row.
    confirmation_validity : timedelta
        How long a renewal of the lease row gives the right to renew task
        leases, and the longest pause of the owner's process that is tolerated
        during a table outage.
    grant : timedelta
        How long an entry that gave a grant does not take over.
    received_grant : timedelta
        How long the owner relies on a grant. Shorter than ``grant``, so that
        the owner stops first.
    task_lease : timedelta
        Duration of the lease that a guard holds for a task.
    """

    lease: timedelta = timedelta(seconds=6)
    renewal: timedelta = timedelta(seconds=2)
    confirmation_validity: timedelta = timedelta(seconds=5)
    grant: timedelta = timedelta(seconds=10)
    received_grant: timedelta = timedelta(seconds=9)
    task_lease: timedelta = timedelta(seconds=20)

    def __post_init__(self) -> None:
        """Reject durations that would let two owners renew task leases."""
        if not self.renewal < self.confirmation_validity < self.lease:
            raise ValueError(
                'expected renewal < confirmation_validity < lease, got '
                f'{self.renewal}, {self.confirmation_validity}, {self.lease}'
            )
        if not self.received_grant < self.grant:
            raise ValueError(
                'expected received_grant < grant, got '
                f'{self.received_grant}, {self.grant}'
            )


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the row ``partition/{data_centre}``.

    Parameters
    ----------
    owner : str
        Entry that owns the partition; empty after a planned stop.
    fence : int
        Fencing token of the last owner; each takeover increases it by one.
    expires_at : datetime
        Shown to operators only; no decision uses it.
    candidates : tuple of str
        Entries that may take over once the lease has expired. Others may not,
        because the owner does not know them and asks them for no grant.
    """

    owner: str
    fence: int
    expires_at: datetime
    candidates: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """State of the lease row as last read by an entry.

    Parameters
    ----------
    row : LeaseRow or None
        Content of the row; ``None`` if it does not exist.
    version : int
        Version of the row; 0 if it does not exist.
    unchanged_since : datetime
        When this version was first read, on the clock of this process.
    has_changed : bool
        Whether the version has changed since this process started and since
        it last tried to take over. Until then, a takeover write of this
        process, or of an earlier process of the same entry, may still take
        effect.
    """

    row: LeaseRow | None
    version: int
    unchanged_since: datetime
    has_changed: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """A promise of this entry not to take over from an owner.

    Parameters
    ----------
    fence : int
        Fencing token of the owner that received the grant.
    until : datetime
        End of the grant, on the clock of the entry that gave it.
    """

    fence: int
    until: datetime


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that considers a takeover.

    Parameters
    ----------
    entry_id : str
        Unique name of the entry.
    started_at : datetime
        When its process started.
    grant : Grant or None
        The last grant that it gave.
    """

    entry_id: str
    started_at: datetime
    grant: Grant | None = None


@dataclass(frozen=True, slots=True)
class RenewalState:
    """State that decides whether an owner may renew task leases.

    Parameters
    ----------
    fence : int
        Fencing token of the owner.
    confirmed_at : datetime
        When the last successful renewal of the lease row was *sent*.
    last_active_at : datetime
        When the process was last known to be running.
    is_table_down : bool
        Whether a renewal since ``confirmed_at`` failed because the table
        service was unavailable.
    was_paused : bool
        Whether the process was paused for too long since ``confirmed_at``.
    other_candidates : frozenset of str
        The other entries that may take over, including candidates in a row
        whose write has not been answered.
    grants : mapping of str to datetime
        End of the received grants by entry.
    """

    fence: int
    confirmed_at: datetime
    last_active_at: datetime
    is_table_down: bool = False
    was_paused: bool = False
    other_candidates: frozenset[str] = frozenset()
    grants: Mapping[str, datetime] = field(
        default_factory=lambda: MappingProxyType({})
    )


def observe_lease(
    previous: LeaseObservation | None,
    row: LeaseRow | None,
    version: int,
    now: datetime,
) -> LeaseObservation:
    """Return the observation after a read of the lease row.

    Parameters
    ----------
    previous : LeaseObservation or None
        Observation after the previous read; ``None`` for the first read.
    row, version
        Content and version that were read.
    now : datetime
        When the answer arrived.
    """
    if previous is None:
        return LeaseObservation(row, version, now)
    if previous.version == version:
        return previous
    return LeaseObservation(row, version, now, has_changed=True)


def restart_takeover_wait(
    observation: LeaseObservation, now: datetime
) -> LeaseObservation:
    """Return the observation with the wait for a takeover started anew.

    Used after an outage of the table service, so that the owner has a whole
    lease duration in which to renew the row first.
    """
    return replace(observation, unchanged_since=now)


def may_take_over(
    observation: LeaseObservation,
    candidate: Candidate,
    now: datetime,
    policy: OwnershipPolicy,
) -> bool:
    """Return whether an entry may take over the partition.

    A missing or cleared row may be taken over at once, because an owner stops
    renewing task leases before it clears the row. An expired row may be taken
    over only by its owner and its candidates. They wait for ``policy.grant``
    after the start of their process, because it does not know the grants that
    an earlier process of the same entry gave.
    """
    row = observation.row
    grant = candidate.grant
    is_unowned = row is None or not row.owner
    if row is not None and is_unowned and grant and grant.fence <= row.fence:
        return True
    if grant is not None and now < grant.until:
        return False
    if row is None or is_unowned:
        return True
    return (
        candidate.entry_id in (row.owner, *row.candidates)
        and now - candidate.started_at >= policy.grant
        and now - observation.unchanged_since >= policy.lease
    )


def takeover_row(
    observation: LeaseObservation,
    entry_id: str,
    candidates: Iterable[str],
    now: datetime,
    policy: OwnershipPolicy,
) -> LeaseRow:
    """Return the row that a takeover writes if the version is unchanged."""
    fence = 0 if observation.row is None else observation.row.fence
    return LeaseRow(
        entry_id, fence + 1, now + policy.lease, tuple(sorted(candidates))
    )


def cleared_row(row: LeaseRow, now: datetime) -> LeaseRow:
    """Return the row that a planned stop writes; it keeps the fence."""
    return replace(row, owner='', expires_at=now)


def decide_grant(
    observation: LeaseObservation | None,
    owner: str,
    fence: int,
    now: datetime,
    policy: OwnershipPolicy,
    *,
    is_competing: bool,
) -> Grant | None:
    """Return a grant for an owner that asks for one, or ``None`` to refuse.

    Parameters
    ----------
    observation : LeaseObservation or None
        Last observation of the entry that is asked.
    owner, fence : str, int
        The owner that asks. The grant is refused unless the lease row has the
        same owner and fence.
    now : datetime
        Time of the entry that is asked.
    policy : OwnershipPolicy
        Durations of the ownership protocol.
    is_competing : bool
        Whether the entry that is asked owns the partition itself, or does not
        know the outcome of its last takeover write.
    """
    if observation is None or observation.row is None or is_competing:
        return None
    row = observation.row
    if not observation.has_changed or (row.owner, row.fence) != (owner, fence):
        return None
    return Grant(fence, now + policy.grant)


def receive_grant(
    state: RenewalState,
    entry_id: str,
    sent_at: datetime,
    policy: OwnershipPolicy,
) -> RenewalState:
    """Record a grant of another entry.

    Its duration counts from the time at which the owner asked for it, so that
    after a delayed answer the owner does not rely on the grant after its end.
    """
    until = sent_at + policy.received_grant
    grants = {**state.grants, entry_id: until}
    return replace(state, grants=MappingProxyType(grants))


def record_activity(
    state: RenewalState, now: datetime, policy: OwnershipPolicy
) -> RenewalState:
    """Record that the process is running; a long gap counts as a pause."""
    is_long_pause = now - state.last_active_at > policy.confirmation_validity
    return replace(
        state, last_active_at=now, was_paused=state.was_paused or is_long_pause
    )


def record_table_outage(state: RenewalState) -> RenewalState:
    """Record that a renewal failed because the table was unavailable."""
    return replace(state, is_table_down=True)


def record_row_renewal(
    state: RenewalState, sent_at: datetime, now: datetime
) -> RenewalState:
    """Record that the renewal sent at ``sent_at`` was written."""
    return replace(
        state,
        confirmed_at=max(state.confirmed_at, sent_at),
        last_active_at=now,
        is_table_down=False,
        was_paused=False,
    )


def may_renew_task_leases(
    state: RenewalState, now: datetime, policy: OwnershipPolicy
) -> bool:
    """Return whether the owner may renew task leases now.

    It renews them by sending its fence in the replies to the guards. This is
    allowed if the lease row was renewed recently. It is also allowed if the
    table service is unavailable, the process has not paused for too long since
    the last renewal of the row, and the grants of all other candidates
    are still valid.
    """
    if now - state.confirmed_at < policy.confirmation_validity:
        return True
    if not state.is_table_down or state.was_paused:
        return False
    if now - state.last_active_at > policy.confirmation_validity:
        return False
    return all(
        entry_id in state.grants and now < state.grants[entry_id]
        for entry_id in state.other_candidates
    )
