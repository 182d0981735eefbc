"""Rules of ownership: takeover, grants, right to renew task leases."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.core.ownership import (
    Candidate,
    Grant,
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
    takeover_row,
)

T0 = datetime(2026, 1, 1, tzinfo=UTC)
POLICY = OwnershipPolicy()
ROW = LeaseRow('entry-1', 4, T0, ('entry-2',))
OLD = Candidate('entry-2', T0 - timedelta(hours=1))


def at(seconds: float) -> datetime:
    return T0 + timedelta(seconds=seconds)


@pytest.mark.parametrize(('seconds', 'expected'), [(5.9, False), (6, True)])
def test_takeover_needs_a_whole_unchanged_duration(seconds, expected):
    """Guards against a takeover while the owner still renews tasks."""
    seen = observe_lease(observe_lease(None, ROW, 7, T0), ROW, 7, at(seconds))
    assert may_take_over(seen, OLD, at(seconds), POLICY) is expected
    assert takeover_row(seen, 'entry-2', (), T0, POLICY).fence == 5


def test_renewed_row_restarts_the_wait():
    """Guards against judging the lease by the first observation."""
    seen = observe_lease(observe_lease(None, ROW, 7, T0), ROW, 8, at(5))
    assert not may_take_over(seen, OLD, at(7), POLICY)


def test_own_grant_delays_the_takeover():
    """Guards against breaking a promise to the owner."""
    seen = observe_lease(observe_lease(None, ROW, 6, T0), ROW, 7, T0)
    grant = is_granted(seen, 'entry-1', 4, at(5), POLICY, is_competing=False)
    assert grant == Grant(4, at(15))
    bound = replace(OLD, grant=grant)
    assert not may_take_over(seen, bound, at(14.9), POLICY)
    assert may_take_over(seen, bound, at(15), POLICY)


def test_cleared_row_is_taken_at_once():
    """Guards against a gap in ownership after a planned stop."""
    seen = observe_lease(None, cleared_row(ROW, T0), 8, T0)
    bound = Candidate('entry-3', T0, Grant(4, at(10)))
    assert may_take_over(seen, bound, T0, POLICY)


@pytest.mark.parametrize(
    ('owner', 'fence', 'is_competing', 'has_changed'),
    [
        ('entry-1', 3, False, True),
        ('entry-1', 5, False, True),
        ('entry-3', 4, False, True),
        ('entry-1', 4, True, True),
        ('entry-1', 4, False, False),
    ],
)
def test_grant_is_refused(owner, fence, is_competing, has_changed):
    """Guards against a grant to another owner, or beside a late takeover."""
    seen = replace(observe_lease(None, ROW, 7, T0), has_changed=has_changed)
    granted = is_granted(
        seen, owner, fence, T0, POLICY, is_competing=is_competing
    )
    assert granted is None
    assert not is_granted(None, owner, fence, T0, POLICY, is_competing=False)


@pytest.mark.parametrize(
    ('candidate', 'expected'),
    [
        (OLD, True),
        # The former process may have given a grant.
        (Candidate('entry-2', T0), False),
        (Candidate('entry-1', T0 - timedelta(hours=1)), True),
        # The owner does not know this entry, so it asks it for no grant.
        (Candidate('entry-3', T0 - timedelta(hours=1)), False),
    ],
)
def test_only_candidates_without_a_forgotten_grant_take_over(
    candidate, expected
):
    """Guards against a takeover that no grant could have prevented."""
    seen = observe_lease(None, ROW, 7, T0)
    assert may_take_over(seen, candidate, at(9), POLICY) is expected


def test_right_ends_with_the_confirmation():
    """Guards against renewals by an owner that lost sight of the row."""
    right = RenewalRight(4, T0, T0)
    assert may_renew_tasks(right, at(4.9), POLICY)
    assert not may_renew_tasks(right, at(5), POLICY)


def outage_right() -> RenewalRight:
    right = note_table_outage(
        RenewalRight(4, T0, T0, registered=frozenset(('entry-2',)))
    )
    return note_running(note_running(right, at(4), POLICY), at(8), POLICY)


def test_outage_needs_every_grant():
    """Guards against a right that outlives or ignores the grants."""
    right = outage_right()
    assert not may_renew_tasks(right, at(8), POLICY)
    granted = receive_grant(right, 'entry-2', at(7.5), POLICY)
    assert may_renew_tasks(granted, at(8), POLICY)
    assert may_renew_tasks(
        replace(right, registered=frozenset()), at(8), POLICY
    )
    late = note_running(granted, at(12.9), POLICY)
    assert not may_renew_tasks(late, at(16.5), POLICY)


def test_pause_ends_the_right_until_the_next_confirmation():
    """Guards against a resumed owner that renews by grants."""
    granted = receive_grant(outage_right(), 'entry-2', at(8), POLICY)
    assert not may_renew_tasks(granted, at(13.1), POLICY)
    paused = note_running(granted, at(13.1), POLICY)
    asked = receive_grant(paused, 'entry-2', at(13.1), POLICY)
    assert not may_renew_tasks(asked, at(13.2), POLICY)
    assert may_renew_tasks(
        confirm_by_table(asked, at(14), at(14)), at(15), POLICY
    )


def test_durations_that_allow_two_owners_are_refused():
    """Guards against a confirmation that outlives the lease."""
    with pytest.raises(ValueError, match='confirmation'):
        OwnershipPolicy(confirmation=timedelta(seconds=7))
