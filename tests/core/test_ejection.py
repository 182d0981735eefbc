"""Members that keep failing are ejected, probed and readmitted."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.ejection import EjectionPolicy, OutlierEjector

NOW = ManualClock().now()
MEMBERS = frozenset(f'guard-{number}' for number in range(10))
SENT_EARLIER = NOW - timedelta(seconds=1)
BASE_DURATION = EjectionPolicy().base_duration


def eject(ejector, guard_id, now=NOW, members=MEMBERS):
    return [
        ejector.record_failure(guard_id, now, now, members) for _ in range(5)
    ].pop()


def test_member_is_ejected_after_failures_in_a_row():
    """Guards against sending requests to a minion that fails all of them."""
    assert eject(OutlierEjector(), 'guard-1')


def test_success_resets_the_failure_count():
    """Guards against ejecting a minion for the bad requests of one caller."""
    ejector = OutlierEjector()
    for _ in range(20):
        ejector.record_failure('guard-1', NOW, NOW, MEMBERS)
        ejector.record_success('guard-1', NOW)
    assert not ejector.is_ejected('guard-1')


@pytest.mark.parametrize(
    ('count', 'ejected'), [(1, 0), (2, 1), (3, 1), (10, 3)]
)
def test_at_most_a_share_of_the_members_is_ejected(count, ejected):
    """Guards against ejecting every minion when all requests are bad."""
    ejector = OutlierEjector()
    members = {f'guard-{number}' for number in range(count)}
    for member in sorted(members):
        eject(ejector, member, members=members)
    assert sum(map(ejector.is_ejected, members)) == ejected


def test_ejection_duration_doubles_with_each_failed_probe():
    """Guards against probing a broken minion at a constant rate."""
    ejector = OutlierEjector()
    now = NOW
    eject(ejector, 'guard-1')
    for factor in (1, 2, 4):
        due = now + BASE_DURATION * factor
        just_before = due - timedelta(milliseconds=1)
        assert not ejector.may_probe('guard-1', just_before)
        assert ejector.may_probe('guard-1', due)
        ejector.start_probe('guard-1', due)
        assert not ejector.may_probe('guard-1', due)
        ejector.record_failure('guard-1', due, due, MEMBERS)
        now = due


def test_successful_probe_readmits():
    """Guards against leaving a recovered minion ejected."""
    ejector = OutlierEjector()
    eject(ejector, 'guard-1')
    due = NOW + BASE_DURATION
    ejector.start_probe('guard-1', due)
    ejector.record_success('guard-1', due)
    assert not ejector.is_ejected('guard-1')


def test_late_success_of_an_old_request_does_not_readmit():
    """Guards against readmission by a request sent before the ejection."""
    ejector = OutlierEjector()
    eject(ejector, 'guard-1')
    ejector.record_success('guard-1', SENT_EARLIER)
    ejector.start_probe('guard-1', NOW + BASE_DURATION)
    ejector.record_success('guard-1', SENT_EARLIER)
    assert ejector.is_ejected('guard-1')


def test_late_failure_of_an_old_request_does_not_fail_the_probe():
    """Guards against a longer ejection for requests from before it."""
    ejector = OutlierEjector()
    eject(ejector, 'guard-1')
    due = NOW + BASE_DURATION
    ejector.start_probe('guard-1', due)
    late = due + timedelta(milliseconds=1)
    assert not ejector.record_failure('guard-1', SENT_EARLIER, late, MEMBERS)
    ejector.record_success('guard-1', due)
    assert not ejector.is_ejected('guard-1')


def test_late_failures_of_old_requests_do_not_eject_again():
    """Guards against a second ejection for requests from before the first."""
    ejector = OutlierEjector()
    eject(ejector, 'guard-1')
    due = NOW + BASE_DURATION
    ejector.start_probe('guard-1', due)
    ejector.record_success('guard-1', due)
    for _ in range(5):
        ejector.record_failure('guard-1', SENT_EARLIER, due, MEMBERS)
    assert not ejector.is_ejected('guard-1')
