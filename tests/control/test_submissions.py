"""Tests of submissions: accepted once, and never run after a refusal."""

import asyncio
from datetime import timedelta

import pytest
from msgspec.structs import replace

from dragonflynotch.control.leadership import LEASE_NAME
from dragonflynotch.control.rows import (
    PROGRESS,
    SCHEDULER_PART,
    SUBMISSIONS,
    RowName,
    RowWrite,
)
from dragonflynotch.control.submissions import (
    Accepted,
    NotAccepted,
    NotFound,
    SubmissionService,
    Unavailable,
    Unknown,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.testing.row_store import StoreFault
from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import (
    JobState,
    LeaseRow,
    ProgressRow,
    encode_row,
)

# As JSON, a control character takes six bytes.
LONG_TEXT = '\x1c' * 4000
SPEC = JobSpec('queue', 'team', 'planner', 'text', (StepSpec(1),))
LIMIT = timedelta(milliseconds=250)


class LoopClock:
    """Clock of the event loop."""

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)


@pytest.fixture
def submissions(store):
    return SubmissionService(
        store, store.store_clock, store.health, LoopClock()
    )


async def test_repeated_submission_creates_one_job(submissions, store):
    """A repeated call must not create a second job."""
    assert await submissions.submit('a', SPEC, LIMIT) == Accepted()
    call_count = store.call_count
    assert await submissions.submit('a', SPEC, LIMIT) == Accepted()
    assert store.call_count == call_count + 1
    assert await submissions.state('a', LIMIT) is JobState.queued


async def test_refusal_means_that_nothing_was_written(submissions, store):
    """A refused job must not appear later."""
    store.fault = StoreFault.down
    outcome = await submissions.submit('a', SPEC, timedelta(seconds=1))
    assert isinstance(outcome, NotAccepted)
    store.fault = StoreFault.none
    assert await submissions.state('a', LIMIT) == NotFound()


@pytest.mark.parametrize('fault', [StoreFault.late, StoreFault.lose_answers])
async def test_lost_response_is_not_reported_as_refusal(
    submissions, store, fault
):
    """A write without a response may still be carried out."""
    store.fault = fault
    submission = asyncio.create_task(submissions.submit('a', SPEC, LIMIT))
    await asyncio.sleep(0.05)
    store.fault = StoreFault.down
    assert isinstance(await submission, Unknown)


async def test_nothing_is_written_to_a_silent_store(submissions, store, clock):
    """During an outage callers get a definite refusal.

    A write to a silent store would leave the outcome unknown.
    """
    await submissions.state('a', LIMIT)
    clock.advance(5000)
    store.fault = StoreFault.silent
    outcome = await submissions.submit('a', SPEC, timedelta(seconds=1))
    assert isinstance(outcome, NotAccepted)
    store.fault = StoreFault.none
    assert not store.apply_deferred_commits()


async def test_uncertain_call_is_returned_while_the_store_is_unreachable(
    submissions, store, clock
):
    """An entry without the store must not use up the caller's time.

    Another entry may reach the store, and settles the outcome by the same
    identifier.
    """
    store.fault = StoreFault.late
    submission = asyncio.create_task(
        submissions.submit('a', SPEC, timedelta(seconds=3))
    )
    await asyncio.sleep(0.05)
    store.fault = StoreFault.down
    await asyncio.sleep(0.2)
    clock.advance(600)
    async with asyncio.timeout(1):
        assert isinstance(await submission, Unknown)


async def test_repeated_call_is_not_refused_while_its_write_is_unsettled(
    submissions, store, clock
):
    """A job whose first write is carried out late must not be refused."""
    store.fault = StoreFault.late
    assert isinstance(await submissions.submit('a', SPEC, LIMIT), Unknown)
    store.fault = StoreFault.down
    clock.advance(5000)
    limit = timedelta(seconds=2)
    assert isinstance(await submissions.submit('a', SPEC, limit), Unknown)
    assert isinstance(await submissions.submit('b', SPEC, limit), NotAccepted)
    store.fault = StoreFault.none
    assert await submissions.submit('a', SPEC, limit) == Accepted()


async def test_entry_reads_an_unreachable_store_before_it_writes(
    submissions, store, clock
):
    """A write that fails would leave the outcome unknown for nothing."""
    await submissions.state('a', LIMIT)
    store.fault = StoreFault.down
    for _ in range(2):
        assert isinstance(await submissions.state('a', LIMIT), Unavailable)
    clock.advance(600)
    store.fault = StoreFault.silent
    outcome = await submissions.submit('a', SPEC, timedelta(seconds=1))
    assert isinstance(outcome, NotAccepted)


async def test_silent_store_does_not_hold_a_caller_past_its_deadline(
    submissions, store, clock, monkeypatch
):
    """A caller must get its refusal while it still waits for it."""

    async def time_out(*_args):
        await asyncio.sleep(1.3)
        raise PlatformUnavailableError('no response', step='read', peer='')

    await submissions.state('a', LIMIT)
    clock.advance(5000)
    monkeypatch.setattr(store, 'read', time_out)
    async with asyncio.timeout(0.6):
        outcome = await submissions.submit('a', SPEC, LIMIT)
    assert isinstance(outcome, NotAccepted)


async def test_unreachable_store_that_is_silent_does_not_hold_a_caller(
    submissions, store, clock, monkeypatch
):
    """Each attempt of a caller waited for the time limit of a call, 1.3 s.

    trouble-3 of dhns-booking-grown: the store is silent for 4.2 s. Callers had
    two attempts in their 3 s, and the second was still waiting for a response
    to a call from before the store returned.
    """
    await submissions.state('a', LIMIT)
    store.fault = StoreFault.down
    for _ in range(2):
        assert isinstance(await submissions.state('a', LIMIT), Unavailable)
    clock.advance(600)
    store.fault = StoreFault.none

    async def hang(name):
        await asyncio.sleep(10)

    with monkeypatch.context() as patch:
        patch.setattr(store, 'read_row', hang)
        started_ms = LoopClock().now_ms()
        outcome = await submissions.submit('a', SPEC, timedelta(seconds=3))
    assert isinstance(outcome, NotAccepted)
    assert LoopClock().now_ms() - started_ms < 600
    # The next attempt meets a store that responds again.
    outcome = await submissions.submit('a', SPEC, timedelta(seconds=3))
    assert outcome == Accepted()


async def test_slow_read_does_not_hold_a_caller_past_its_deadline(
    submissions, store, monkeypatch
):
    """A caller that asks for a state must get a response while it waits."""

    async def never_respond(*_args):
        await asyncio.Event().wait()

    await submissions.submit('a', SPEC, LIMIT)
    monkeypatch.setattr(store, 'read', never_respond)
    async with asyncio.timeout(0.6):
        assert isinstance(await submissions.state('a', LIMIT), Unavailable)
    async with asyncio.timeout(0.6):
        waiting = await submissions.waiting_jobs('queue', LIMIT)
    assert isinstance(waiting, Unavailable)
    async with asyncio.timeout(0.6):
        assert isinstance(await submissions.cancel('a', LIMIT), NotAccepted)


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (None, None),
        (b'odd', None),
        (encode_row(LeaseRow('a', 1, waiting={'queue': 3})), 3),
        (encode_row(LeaseRow('a', 1, waiting={'other': 3})), 0),
        (encode_row(LeaseRow('a', 1, omits_counts=True)), None),
    ],
    ids=['absent', 'unreadable', 'known', 'no-jobs', 'left-out'],
)
async def test_count_that_is_not_known_is_not_zero(
    submissions, store, content, expected
):
    """Callers were told that no job waits although nobody knew."""
    if content is not None:
        await store.commit([RowWrite(LEASE_NAME, content)], [])
    count = await submissions.waiting_jobs('queue', LIMIT)
    if expected is None:
        assert isinstance(count, Unavailable)
    else:
        assert count == expected


@pytest.mark.parametrize(('age_ms', 'is_told'), [(1900, True), (2100, False)])
async def test_old_count_is_not_told(submissions, store, age_ms, is_told):
    """Callers got counts of a holder that was gone, however old."""
    await store.read_row(LEASE_NAME)
    counted_ms = store.store_clock.earliest_ms() - age_ms
    row = LeaseRow('a', 1, waiting={'queue': 3}, counted_ms=counted_ms)
    await store.commit([RowWrite(LEASE_NAME, encode_row(row))], [])
    count = await submissions.waiting_jobs('queue', LIMIT)
    assert isinstance(count, int) == is_told


async def test_write_without_response_is_unknown_at_the_deadline(
    submissions, store, monkeypatch
):
    """A write cut off at the deadline must not be reported as refused."""

    async def never_respond(*_args):
        await asyncio.Event().wait()

    monkeypatch.setattr(store, 'commit', never_respond)
    async with asyncio.timeout(0.6):
        outcome = await submissions.submit('a', SPEC, LIMIT)
    assert isinstance(outcome, Unknown)


async def test_next_attempt_resolves_a_lost_response(submissions, store):
    """The caller learns within its deadline that the job is stored."""
    store.fault = StoreFault.lose_answers
    submission = asyncio.create_task(
        submissions.submit('a', SPEC, timedelta(seconds=2))
    )
    await asyncio.sleep(0.05)
    store.fault = StoreFault.none
    assert await submission == Accepted()


async def test_state_follows_the_progress(submissions, store):
    """Callers see the state that the scheduler has recorded."""
    await submissions.submit('a', SPEC, LIMIT)
    name = RowName(PROGRESS.name, SCHEDULER_PART, 'a')
    row = ProgressRow(JobState.completed)
    await store.commit([RowWrite(name, encode_row(row))], [])
    assert await submissions.state('a', LIMIT) is JobState.completed


@pytest.mark.parametrize('has_started', [False, True])
async def test_job_of_another_workspace_cannot_be_read_or_cancelled(
    submissions, store, has_started
):
    """A valid key of one workspace must give no access to the jobs of others.

    Such a job looks like one that does not exist.
    """
    await submissions.submit('a', SPEC, LIMIT)
    if has_started:
        name = RowName(PROGRESS.name, SCHEDULER_PART, 'a')
        row = Job('a', SPEC).progress_row()
        await store.commit([RowWrite(name, encode_row(row))], [])
    other = {'access': JobAccess('other')}
    assert await submissions.state('a', LIMIT, **other) == NotFound()
    assert await submissions.cancel('a', LIMIT, **other) == NotFound()
    own = {'access': JobAccess(SPEC.workspace)}
    assert await submissions.state('a', LIMIT, **own) is JobState.queued
    assert await submissions.cancel('a', LIMIT, **own) == Accepted()


async def test_workspace_is_checked_for_progress_of_an_older_release(
    submissions, store
):
    """During a rolling restart, progress rows lack the workspace."""
    await submissions.submit('a', SPEC, LIMIT)
    name = RowName(PROGRESS.name, SCHEDULER_PART, 'a')
    row = ProgressRow(JobState.running)
    await store.commit([RowWrite(name, encode_row(row))], [])
    outcome = await submissions.state('a', LIMIT, access=JobAccess('other'))
    assert outcome == NotFound()
    outcome = await submissions.state(
        'a', LIMIT, access=JobAccess(SPEC.workspace)
    )
    assert outcome is JobState.running


async def test_outage_is_not_reported_as_unknown_job(submissions, store):
    """A job must not count as missing because the store cannot be read."""
    await submissions.submit('a', SPEC, LIMIT)
    store.fault = StoreFault.down
    assert isinstance(await submissions.state('a', LIMIT), Unavailable)
    assert isinstance(await submissions.cancel('a', LIMIT), NotAccepted)


async def test_unknown_job_cannot_be_cancelled(submissions):
    """The cancellation of a missing job gives ``NotFound``."""
    assert await submissions.cancel('a', LIMIT) == NotFound()


async def test_cancellation_leaves_an_ended_job_unchanged(submissions, store):
    """An ended job keeps its state."""
    await submissions.submit('a', SPEC, LIMIT)
    name = RowName(PROGRESS.name, SCHEDULER_PART, 'a')
    row = ProgressRow(JobState.completed)
    await store.commit([RowWrite(name, encode_row(row))], [])
    assert await submissions.cancel('a', LIMIT) == Accepted()
    assert await submissions.state('a', LIMIT) is JobState.completed


@pytest.mark.parametrize(
    'spec',
    [
        replace(SPEC, payload='\x1c' * 10_000),
        # The description fits, and an order with a checkpoint does not.
        replace(SPEC, payload='x' * 60_000),
        replace(SPEC, steps=(StepSpec(1, constraint='x' * 100),) * 600),
    ],
)
async def test_job_that_cannot_be_stored_is_refused(submissions, store, spec):
    """A job that was accepted and can never run would wait for ever."""
    with pytest.raises(InvalidInputError, match='at most'):
        await submissions.submit('a', spec, LIMIT)
    assert await submissions.state('a', LIMIT) == NotFound()


async def test_longest_text_of_the_pages_is_accepted(submissions):
    """Control characters must not make a text too long."""
    spec = replace(SPEC, payload=LONG_TEXT)
    assert await submissions.submit('a', spec, LIMIT) == Accepted()


@pytest.mark.parametrize('workspace', [None, 'team'])
async def test_cancellation_is_stored_before_its_job(
    submissions, store, workspace
):
    """A DELETE was answered with 410, and the job then ran to its end."""
    scope = {'access': JobAccess(workspace)}
    assert await submissions.cancel('a', LIMIT, **scope) == NotFound()
    rows = await store.read_table(SUBMISSIONS)
    assert [row.key.partition('-')[0] for row in rows] == ['a/cancel']
    # A repeated call, for example after a lost answer, adds nothing.
    assert await submissions.cancel('a', LIMIT, **scope) == NotFound()
    assert len(await store.read_table(SUBMISSIONS)) == 1


async def test_job_that_arrives_during_its_cancellation_is_cancelled(
    submissions, store
):
    """410 says that there is no such job, so it must not be there."""

    async def submit_first(writes, conditions):
        monkeypatched.undo()
        await submissions.submit('a', SPEC, LIMIT)
        return await store.commit(writes, conditions)

    monkeypatched = pytest.MonkeyPatch()
    monkeypatched.setattr(store, 'commit', submit_first)
    assert await submissions.cancel('a', LIMIT) == Accepted()


@pytest.mark.parametrize('fault', [StoreFault.late, StoreFault.lose_answers])
async def test_cancellation_without_an_answer_is_not_acknowledged(
    submissions, store, fault
):
    """Nothing may be said about a cancellation that is under way."""
    store.fault = fault
    cancelling = asyncio.create_task(submissions.cancel('a', LIMIT))
    await asyncio.sleep(0.05)
    store.fault = StoreFault.down
    assert isinstance(await cancelling, Unknown | NotAccepted)
