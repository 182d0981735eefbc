"""Ownership of a partition: lease row, grants, right to renew task leases.

Pure functions and values; the time is passed in as ``now`` and is always that
of the process that decides.
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
    'RenewalRight',
    'cleared_row',
    'confirm_by_table',
    'is_granted',
    'may_renew_tasks',
    'may_take_over',
    'note_running',
    'note_table_outage',
    'observe_lease',
    'receive_grant',
    'restart_wait',
    'takeover_row',
)


@dataclass(frozen=True, slots=True)
class OwnershipPolicy:
    """Durations of the ownership protocol.

    Parameters
    ----------
    lease : timedelta
        How long a row must be unchanged before a takeover.
    renewal : timedelta
        Time between renewals of the row.
    confirmation : timedelta
        Age up to which a renewal gives the right to renew task leases, and
        longest pause that an owner may make during a table outage.
    grant : timedelta
        How long a grantor does not take over.
    received_grant : timedelta
        How long the receiver counts on a grant.
    task_lease : timedelta
        Task lease at the guards.
    """

    lease: timedelta = timedelta(seconds=6)
    renewal: timedelta = timedelta(seconds=2)
    confirmation: timedelta = timedelta(seconds=5)
    grant: timedelta = timedelta(seconds=10)
    received_grant: timedelta = timedelta(seconds=9)
    task_lease: timedelta = timedelta(seconds=20)

    def __post_init__(self) -> None:
        """Reject durations under which two owners could renew leases."""
        if not self.renewal < self.confirmation < self.lease:
            raise ValueError(
                'expected renewal < confirmation < lease, got '
                f'{self.renewal}, {self.confirmation}, {self.lease}'
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
        Fencing number of the last ownership.
    expires_at : datetime
        Shown to operators only; no decision uses it.
    candidates : tuple of str
        Entries that may take the row over once it has expired. An entry that
        the owner does not know could take over without its grant.
    """

    owner: str
    fence: int
    expires_at: datetime
    candidates: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """What an entry has seen of the lease row.

    Parameters
    ----------
    row : LeaseRow or None
        Content; ``None`` if the row does not exist.
    version : int
        Version of the row; 0 if it does not exist.
    unchanged_since : datetime
        Since when the version has been the same, on the own clock.
    has_changed : bool
        Whether the version changed since the start of this process and since
        its own last takeover write. Before that such a write, also one of the
        former process of this entry, may still take effect.
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
        Fence of the owner that holds the grant.
    until : datetime
        End on the clock of the grantor.
    """

    fence: int
    until: datetime


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that may want to take over.

    Parameters
    ----------
    entry_id : str
        Unique name.
    started_at : datetime
        Start of its process.
    grant : Grant or None
        Its last grant.
    """

    entry_id: str
    started_at: datetime
    grant: Grant | None = None


@dataclass(frozen=True, slots=True)
class RenewalRight:
    """What gives an owner the right to renew task leases.

    Parameters
    ----------
    fence : int
        Fence of the ownership.
    confirmed_at : datetime
        When the last successful renewal of the row was *sent*.
    running_at : datetime
        When the process last showed that it runs.
    is_table_down : bool
        Whether the table has been unavailable since ``confirmed_at``.
    was_paused : bool
        Whether the process paused too long since ``confirmed_at``.
    registered : frozenset of str
        The other candidates, also those of a renewal in transit.
    grants : mapping of str to datetime
        End of the received grants by entry.
    """

    fence: int
    confirmed_at: datetime
    running_at: datetime
    is_table_down: bool = False
    was_paused: bool = False
    registered: frozenset[str] = frozenset()
    grants: Mapping[str, datetime] = field(
        default_factory=lambda: MappingProxyType({})
    )


def observe_lease(
    previous: LeaseObservation | None,
    row: LeaseRow | None,
    version: int,
    now: datetime,
) -> LeaseObservation:
    """Return the observation after a read of the row.

    Parameters
    ----------
    previous : LeaseObservation or None
        The last observation; ``None`` at the start.
    row, version
        What was read.
    now : datetime
        When the answer arrived.
    """
    if previous is None:
        return LeaseObservation(row, version, now)
    if previous.version == version:
        return previous
    return LeaseObservation(row, version, now, has_changed=True)


def restart_wait(
    observation: LeaseObservation, now: datetime
) -> LeaseObservation:
    """Return the observation with a new wait, after an outage.

    The owner then has a whole lease duration to renew first.
    """
    return replace(observation, unchanged_since=now)


def may_take_over(
    observation: LeaseObservation,
    candidate: Candidate,
    now: datetime,
    policy: OwnershipPolicy,
) -> bool:
    """Whether an entry may write the row with the next fence.

    A missing or cleared row may be taken at once: its owner stopped renewing
    task leases before it cleared the row. An expired row may be taken by its
    candidates only, and not in the first ``policy.grant`` of a process, which
    does not remember the grants of its former process.
    """
    row = observation.row
    grant = candidate.grant
    is_open = row is None or not row.owner
    if row is not None and is_open and grant and grant.fence <= row.fence:
        return True
    if grant is not None and now < grant.until:
        return False
    if row is None or is_open:
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
    """Return the row that a takeover writes on condition of the version."""
    fence = 0 if observation.row is None else observation.row.fence
    return LeaseRow(
        entry_id, fence + 1, now + policy.lease, tuple(sorted(candidates))
    )


def cleared_row(row: LeaseRow, now: datetime) -> LeaseRow:
    """Return the row that a planned stop writes; the fence stays."""
    return replace(row, owner='', expires_at=now)


def is_granted(
    observation: LeaseObservation | None,
    owner: str,
    fence: int,
    now: datetime,
    policy: OwnershipPolicy,
    *,
    is_competing: bool,
) -> Grant | None:
    """Return a grant to an owner, or ``None`` to refuse.

    Parameters
    ----------
    observation : LeaseObservation or None
        What the grantor read of the row last.
    owner, fence : str, int
        The asking owner; only the one named by the row gets a grant.
    now : datetime
        Time of the grantor.
    policy : OwnershipPolicy
        Durations.
    is_competing : bool
        Whether the grantor owns the partition or has a takeover write whose
        outcome it does not know.
    """
    if observation is None or observation.row is None or is_competing:
        return None
    row = observation.row
    if not observation.has_changed or (row.owner, row.fence) != (owner, fence):
        return None
    return Grant(fence, now + policy.grant)


def receive_grant(
    right: RenewalRight,
    entry_id: str,
    asked_at: datetime,
    policy: OwnershipPolicy,
) -> RenewalRight:
    """Record a grant of another entry.

    The grant counts from the time at which the receiver asked for it, so a
    delayed answer cannot outlast the grantor's promise.
    """
    until = asked_at + policy.received_grant
    grants = {**right.grants, entry_id: until}
    return replace(right, grants=MappingProxyType(grants))


def note_running(
    right: RenewalRight, now: datetime, policy: OwnershipPolicy
) -> RenewalRight:
    """Record that the process runs; a long gap counts as a pause."""
    is_pause = now - right.running_at > policy.confirmation
    return replace(
        right, running_at=now, was_paused=right.was_paused or is_pause
    )


def note_table_outage(right: RenewalRight) -> RenewalRight:
    """Record that a renewal failed because the table is unavailable."""
    return replace(right, is_table_down=True)


def confirm_by_table(
    right: RenewalRight, sent_at: datetime, now: datetime
) -> RenewalRight:
    """Record a successful renewal of the row that was sent at ``sent_at``."""
    return replace(
        right,
        confirmed_at=max(right.confirmed_at, sent_at),
        running_at=now,
        is_table_down=False,
        was_paused=False,
    )


def may_renew_tasks(
    right: RenewalRight, now: datetime, policy: OwnershipPolicy
) -> bool:
    """Whether an acknowledgement sent now may carry the owned fence.

    Either the row was renewed recently, or the table is unavailable, the
    process ran without a long pause since, and every other registered entry
    has granted not to take over yet.
    """
    if now - right.confirmed_at < policy.confirmation:
        return True
    if not right.is_table_down or right.was_paused:
        return False
    if now - right.running_at > policy.confirmation:
        return False
    return all(
        entry_id in right.grants and now < right.grants[entry_id]
        for entry_id in right.registered
    )
