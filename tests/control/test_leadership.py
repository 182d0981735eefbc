"""Tests of the scheduling lease."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.leadership import (
    LEASE_NAME,
    Leadership,
    LeaseLostError,
)
from dragonflynotch.control.rows import (
    ABSENT,
    RowWrite,
    order_row,
)
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.testing.row_store import StoreFault
from dragonflynotch.workflows.records import encode_row
from dragonflynotch.workflows.waiting_counts import WaitingCounts

ORDER = order_row('m', 't')
TAKEOVER_MS = 2200


@pytest.fixture
def first(store, clock):
    return Leadership('a', store, clock)


@pytest.fixture
def second(store, clock):
    return Leadership('b', store, clock)


async def test_second_candidate_waits_for_the_holder(first, second, clock):
    """Two schedulers at the same time would order a task twice."""
    assert await first.try_claim()
    assert not await second.try_claim()
    clock.advance(TAKEOVER_MS - 1)
    await first.commit([], [])
    assert not await second.try_claim()
    clock.advance(TAKEOVER_MS + 1)
    assert await second.try_claim()


async def test_replaced_holder_writes_nothing(first, second, clock, store):
    """A holder that was paused must not write orders from an old state."""
    await first.try_claim()
    await second.read_lease()
    clock.advance(TAKEOVER_MS + 1)
    assert await second.try_claim()
    with pytest.raises(LeaseLostError):
        await first.commit([RowWrite(ORDER, b'x')], [])
    assert await store.read_row(ORDER) is None
    assert not first.is_holder


async def test_released_lease_can_be_claimed_at_once(first, second):
    """A planned stop must not delay starts."""
    await first.try_claim()
    await first.release()
    assert await second.try_claim()


async def test_epoch_grows_with_each_holder(first, second):
    """The epoch is the fencing token that orders successive holders."""
    await first.try_claim()
    epoch = first.epoch
    await first.release()
    await second.try_claim()
    assert second.epoch > epoch


async def test_counts_are_unknown_until_a_holder_has_counted(
    first, second, store
):
    """Fronts answered 0 while the first holder loaded the jobs."""
    await first.try_claim()
    lease = await second.read_lease()
    assert lease.count_waiting('q') is None
    await first.commit([], [], WaitingCounts(1))
    await first.release()
    await second.try_claim()
    lease = await first.read_lease()
    assert lease.count_waiting('q') == 0


async def test_commit_with_lost_response_succeeds(first, store):
    """A repeated transaction must not be mistaken for a lost lease.

    The first attempt takes effect but its response is lost, so the next
    attempt finds a changed lease row.
    """
    await first.try_claim()
    store.fault = StoreFault.lose_answers
    write = asyncio.create_task(first.commit([RowWrite(ORDER, b'x')], []))
    await asyncio.sleep(0.02)
    store.fault = StoreFault.none
    assert await write
    assert first.is_holder
    assert (await store.read_row(ORDER)).content == b'x'
    assert await first.commit([RowWrite(ORDER, None)], [])


async def test_transaction_applied_late_has_no_effect(first, store):
    """A delayed order must not appear after the order was removed."""
    await first.try_claim()
    store.fault = StoreFault.late
    write = asyncio.create_task(first.commit([RowWrite(ORDER, b'x')], []))
    await asyncio.sleep(0.02)
    store.fault = StoreFault.none
    assert await write
    await first.commit([RowWrite(ORDER, None)], [])
    store.apply_deferred_commits()
    assert await store.read_row(ORDER) is None
    assert await first.commit([], [])


async def test_failed_condition_keeps_the_lease(first, store):
    """A change of another row must not end the lease."""
    await first.try_claim()
    assert not await first.commit([RowWrite(ORDER, b'x')], [(ORDER, 99)])
    assert first.is_holder
    assert await first.commit([RowWrite(ORDER, b'x')], [(ORDER, ABSENT)])


async def test_restarted_holder_claims_the_lease_at_once(first, store, clock):
    """The restart of the holder's process must not delay starts."""
    await first.try_claim()
    assert await Leadership('a', store, clock).try_claim()
    with pytest.raises(LeaseLostError):
        await first.commit([], [])


async def test_node_that_handed_over_leaves_the_lease_to_others(first, second):
    """A holder that is too slow must not win the next election.

    It would begin its load again, and no order would be issued.
    """
    await first.try_claim()
    await first.hand_over()
    assert not await first.try_claim()
    assert await second.try_claim()
    assert second.handovers == 1


async def test_node_that_handed_over_claims_an_unclaimed_lease(
    first, second, clock
):
    """Without other candidates the gap stays within the takeover timeout."""
    await first.try_claim()
    await first.hand_over()
    clock.advance(TAKEOVER_MS - 1)
    assert not await first.try_claim()
    clock.advance(1)
    assert await first.try_claim()


async def test_node_that_handed_over_replaces_a_silent_holder(
    first, second, clock
):
    """The abstention must not delay the takeover from a lost holder."""
    await first.try_claim()
    await first.hand_over()
    await second.try_claim()
    await first.read_lease()
    clock.advance(TAKEOVER_MS)
    assert await first.try_claim()


async def test_abstention_ends(first, second, clock):
    """A node that was slow once must not lose its place for good."""
    await first.try_claim()
    await first.hand_over()
    clock.advance(5000)
    await second.try_claim()
    clock.advance(1000)
    await second.release()
    assert await first.try_claim()


async def test_settled_holder_discards_earlier_handovers(first, second):
    """Old hand-overs must not extend the limits of later holders."""
    await first.try_claim()
    await first.hand_over()
    await second.try_claim()
    second.settle()
    await second.commit([], [])
    assert (await first.read_lease()).handovers == 0


async def test_lease_is_not_claimed_twice_after_a_failed_release(
    first, second, clock, store
):
    """A hand-over that the store did not carry out must not end in two holders.

    The row still names the node, which must neither take it for its own
    nor for a free lease.
    """
    await first.try_claim()
    store.fault = StoreFault.down
    await first.hand_over()
    store.fault = StoreFault.none
    assert not await first.try_claim()
    await second.read_lease()
    clock.advance(TAKEOVER_MS)
    assert await second.try_claim()
    assert not await first.try_claim()


async def test_capable_candidate_wins_against_a_weak_one(store, clock, first):
    """A weak candidate must not win because it reads the row first.

    A front with a slow link won the election and could not schedule.
    """
    weak = Leadership('w', store, clock, timedelta(milliseconds=50))
    claim = asyncio.create_task(weak.try_claim())
    await asyncio.sleep(0.01)
    assert await first.try_claim()
    assert not await claim
    assert first.is_holder
    assert not weak.is_holder


async def test_weak_candidate_claims_without_others(store, clock, first):
    """A deployment with weak candidates only must still have a leader."""
    await first.try_claim()
    weak = Leadership('w', store, clock, timedelta(milliseconds=50))
    assert not await weak.try_claim()
    clock.advance(TAKEOVER_MS)
    assert await weak.try_claim()


async def test_weak_candidate_does_not_replace_a_holder_that_returns(
    store, clock, first
):
    """A holder that renews its lease during the delay must stay the holder."""
    await first.try_claim()
    weak = Leadership('w', store, clock, timedelta(milliseconds=50))
    await weak.read_lease()
    clock.advance(TAKEOVER_MS)
    claim = asyncio.create_task(weak.try_claim())
    await asyncio.sleep(0.01)
    await first.commit([], [])
    assert not await claim
    assert first.is_holder


async def fail_commit(writes, conditions):
    """Take the place of a call with a response that cannot be decoded."""
    raise InvalidInputError('$.version', None, 'a number')


async def test_failed_release_raises_no_error(first, store, monkeypatch):
    """An unreadable response to the release ended the front's candidacy."""
    await first.try_claim()
    monkeypatch.setattr(store, 'commit', fail_commit)
    await first.release()
    assert not first.is_holder


async def test_node_abstains_after_a_failed_hand_over(
    first, store, monkeypatch
):
    """A holder that is too slow must not claim its lease again at once."""
    await first.try_claim()
    with monkeypatch.context() as context:
        context.setattr(store, 'commit', fail_commit)
        await first.hand_over()
    assert not first.is_holder
    assert not await first.try_claim()


async def test_failed_release_changes_no_known_row(first, store):
    """A candidate must decide by the row in the store.

    After a failed release the node saw a free lease of the next epoch, which
    the store did not have.
    """
    await first.try_claim()
    held = (await store.read_row(LEASE_NAME)).content
    store.fault = StoreFault.down
    await first.hand_over()
    store.fault = StoreFault.none
    assert encode_row(await first.read_lease()) == held


async def test_hand_over_waits_for_a_whole_call(first, second, store):
    """The next holder must know of the hand-over, or its limits do not grow.

    The release was given up before its first call ended.
    """
    await first.try_claim()
    commit = store.commit

    async def commit_slowly(writes, conditions):
        await asyncio.sleep(1.2)
        return await commit(writes, conditions)

    store.commit = commit_slowly
    await first.hand_over()
    store.commit = commit
    assert await second.try_claim()
    assert second.handovers == 1


async def test_failed_claim_makes_no_holder(first, store, monkeypatch):
    """A node must not take itself for the holder before the store agrees."""
    with monkeypatch.context() as context:
        context.setattr(store, 'commit', fail_commit)
        with pytest.raises(InvalidInputError):
            await first.try_claim()
    assert not first.is_holder
    assert not (await first.read_lease()).holder
    assert await first.try_claim()
