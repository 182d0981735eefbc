"""Takeover of a partition, grants and the right to renew task leases."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.core.ownership import (
    Candidate,
    Grant,
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
    takeover_row,
)

T0 = datetime(2026, 1, 1, tzinfo=UTC)
POLICY = OwnershipPolicy()
ROW = LeaseRow('entry-1', 4, T0, ('entry-2',))
CANDIDATE = Candidate('entry-2', T0 - timedelta(hours=1))


def at(seconds: float) -> datetime:
    return T0 + timedelta(seconds=seconds)


@pytest.mark.parametrize(('seconds', 'expected'), [(5.9, False), (6, True)])
def test_takeover_waits_until_the_row_is_unchanged_for_a_lease(
    seconds, expected
):
    """Guards against a takeover while the owner still renews task leases."""
    observation = observe_lease(
        observe_lease(None, ROW, 7, T0), ROW, 7, at(seconds)
    )
    assert (
        may_take_over(observation, CANDIDATE, at(seconds), POLICY) is expected
    )
    assert takeover_row(observation, 'entry-2', (), T0, POLICY).fence == 5


def test_renewed_row_restarts_the_wait_for_a_takeover():
    """Guards against counting the wait from the first observation."""
    observation = observe_lease(observe_lease(None, ROW, 7, T0), ROW, 8, at(5))
    assert not may_take_over(observation, CANDIDATE, at(7), POLICY)


def test_own_grant_delays_the_takeover():
    """Guards against a takeover before the end of a grant to the owner."""
    observation = observe_lease(observe_lease(None, ROW, 6, T0), ROW, 7, T0)
    grant = decide_grant(
        observation, 'entry-1', 4, at(5), POLICY, is_competing=False
    )
    assert grant == Grant(4, at(15))
    granting = replace(CANDIDATE, grant=grant)
    assert not may_take_over(observation, granting, at(14.9), POLICY)
    assert may_take_over(observation, granting, at(15), POLICY)


def test_cleared_row_is_taken_at_once():
    """Guards against a partition without an owner after a planned stop."""
    observation = observe_lease(None, cleared_row(ROW, T0), 8, T0)
    granting = Candidate('entry-3', T0, Grant(4, at(10)))
    assert may_take_over(observation, granting, T0, POLICY)


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
    """Guards against a grant to a wrong owner or during a possible takeover."""
    observation = replace(
        observe_lease(None, ROW, 7, T0), has_changed=has_changed
    )
    granted = decide_grant(
        observation, owner, fence, T0, POLICY, is_competing=is_competing
    )
    assert granted is None
    assert not decide_grant(None, owner, fence, T0, POLICY, is_competing=False)


@pytest.mark.parametrize(
    ('candidate', 'expected'),
    [
        (CANDIDATE, True),
        # An earlier process of this entry may have given a grant.
        (Candidate('entry-2', T0), False),
        (Candidate('entry-1', T0 - timedelta(hours=1)), True),
        # The owner does not know this entry and never asks it for a grant.
        (Candidate('entry-3', T0 - timedelta(hours=1)), False),
    ],
)
def test_only_candidates_that_remember_their_grants_take_over(
    candidate, expected
):
    """Guards against a takeover while a grant is or could be in force."""
    observation = observe_lease(None, ROW, 7, T0)
    assert may_take_over(observation, candidate, at(9), POLICY) is expected


def test_right_ends_with_the_confirmation():
    """Guards against renewing task leases without renewing the row."""
    state = RenewalState(4, T0, T0)
    assert may_renew_task_leases(state, at(4.9), POLICY)
    assert not may_renew_task_leases(state, at(5), POLICY)


def state_during_outage() -> RenewalState:
    state = record_table_outage(
        RenewalState(4, T0, T0, other_candidates=frozenset(('entry-2',)))
    )
    return record_activity(record_activity(state, at(4), POLICY), at(8), POLICY)


def test_table_outage_requires_grants_of_all_entries():
    """Guards against a right that outlives or ignores the grants."""
    state = state_during_outage()
    assert not may_renew_task_leases(state, at(8), POLICY)
    granted = receive_grant(state, 'entry-2', at(7.5), POLICY)
    assert may_renew_task_leases(granted, at(8), POLICY)
    assert may_renew_task_leases(
        replace(state, other_candidates=frozenset()), at(8), POLICY
    )
    late = record_activity(granted, at(12.9), POLICY)
    assert not may_renew_task_leases(late, at(16.5), POLICY)


def test_pause_ends_the_right_until_the_next_confirmation():
    """Guards against renewing by grants alone after a pause of the process."""
    granted = receive_grant(state_during_outage(), 'entry-2', at(8), POLICY)
    assert not may_renew_task_leases(granted, at(13.1), POLICY)
    paused = record_activity(granted, at(13.1), POLICY)
    asked = receive_grant(paused, 'entry-2', at(13.1), POLICY)
    assert not may_renew_task_leases(asked, at(13.2), POLICY)
    assert may_renew_task_leases(
        record_row_renewal(asked, at(14), at(14)), at(15), POLICY
    )


def test_durations_that_allow_two_owners_are_refused():
    """Guards against a confirmation that outlives the lease."""
    with pytest.raises(ValueError, match='confirmation_validity'):
        OwnershipPolicy(confirmation_validity=timedelta(seconds=7))
