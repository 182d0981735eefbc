"""Deltas reproduce the membership; silent guards are removed from it."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.membership import (
    LOCAL_MEMBER_TTL,
    GuardInfo,
    Membership,
    MinionInfo,
)

CLOCK = ManualClock()
GUARD = GuardInfo(
    guard_id='guard-1',
    incarnation=1,
    sequence=1,
    data_centre='dc-1',
    address=('127.0.0.1', 1),
    is_ready=True,
    minion=MinionInfo('minion-1', 8, 8),
    worker=None,
    free_accelerators=0,
    schema_versions=(1, 2),
    heard_at=CLOCK.now(),
)


@seed(12)
@settings(max_examples=150, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.sampled_from('abcd'), st.integers(0, 3), st.booleans()),
        max_size=30,
    ),
    acknowledged=st.integers(0, 30),
)
def test_delta_leads_from_any_version_to_the_present(steps, acknowledged):
    """Guards against a digest that omits a changed or removed guard."""
    membership = Membership()
    copies = [{}]
    for sequence, (name, slots, is_removed) in enumerate(steps, start=2):
        if is_removed:
            membership.remove(name)
        else:
            minion = MinionInfo('m', 8, slots)
            membership.observe(
                replace(GUARD, guard_id=name, sequence=sequence, minion=minion)
            )
        copies += [
            {guard.guard_id: guard.minion for guard in membership.guards()}
        ] * (membership.version - len(copies) + 1)
    base = min(acknowledged, membership.version)
    delta = membership.delta(base, CLOCK.now())
    rebuilt = dict(copies[base])
    for guard_id in delta.left:
        rebuilt.pop(guard_id, None)
    rebuilt.update({guard.guard_id: guard.minion for guard in delta.changed})
    assert rebuilt == copies[membership.version]


def test_silent_guard_leaves_after_its_time_to_live():
    """Guards against keeping a guard that crashed."""
    membership = Membership()
    membership.observe(GUARD)
    assert not membership.expire(CLOCK.now() + LOCAL_MEMBER_TTL)
    later = CLOCK.now() + LOCAL_MEMBER_TTL + timedelta(milliseconds=1)
    assert membership.expire(later) == (GUARD,)
    assert not membership.guards()


def test_unchanged_announcement_is_not_part_of_a_delta():
    """Guards against digests whose size grows with the number of guards."""
    membership = Membership()
    membership.observe(GUARD)
    version = membership.version
    membership.observe(replace(GUARD, sequence=2))
    assert not membership.delta(version, CLOCK.now()).changed
