"""The progress of large jobs in several rows."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflynotch.workflows.crash_records import CrashEvidence, TaskCrash
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.progress_segments import (
    progress_key,
    split_progress_key,
)
from dragonflynotch.workflows.records import (
    JobState,
    ProgressRow,
    decode_row,
    encode_row,
)

MAX_ROW_BYTES = 65_536


def create_job(count):
    steps = (StepSpec(count),)
    return Job('job', JobSpec('q', 'team', 'planner', 'text', steps))


def start_tasks(job, start, end, run=1, checkpoint=''):
    for task in list(job.tasks())[start:end]:
        task.run = run
        task.checkpoint = checkpoint
    job.record_start()


def restore(count, rows):
    """Return a job that is restored from stored rows, as another front does."""
    job = create_job(count)
    for key, row in sorted(rows.items()):
        _, start = split_progress_key(key)
        job.restore(decode_row(encode_row(row), ProgressRow), start)
    return job


def state_of(job):
    return [
        (task.run, task.failures, task.is_done, task.checkpoint)
        for task in job.tasks()
    ]


@pytest.mark.parametrize('checkpoint', ['', 'c' * 16, '\x1f' * 600])
def test_rows_of_a_large_job_fit(checkpoint):
    """One row of progress that was too long stopped all scheduling."""
    job = create_job(20_000)
    start_tasks(job, 0, 20_000, checkpoint=checkpoint)
    rows = job.take_progress(MAX_ROW_BYTES)
    assert len(rows) > 1
    assert all(len(encode_row(row)) <= MAX_ROW_BYTES for row in rows.values())
    restored = restore(20_000, rows)
    assert state_of(restored) == state_of(job)
    assert restored.state is JobState.running


def test_row_of_a_task_with_a_long_history_fits():
    """Failures and crashes of a task that lasts add up without an end."""
    job = create_job(1)
    start_tasks(job, 0, 1, checkpoint='\x1f' * 600)
    [task] = job.tasks()
    for number in range(2000):
        minion_id = f'{"m" * 95}{number}@18c2f3a4b5c'
        task.record_failure(minion_id, 1000 + number)
        job.record_crash(
            task,
            TaskCrash('n' * 50, minion_id, 1, number, CrashEvidence.late),
        )
    [row] = job.take_progress(MAX_ROW_BYTES).values()
    assert len(encode_row(row)) <= MAX_ROW_BYTES
    # The latest count.
    assert max(row.tasks[0].failed_on.values()) == 2999
    assert row.tasks[0].crashes[-1].at_ms == 1999


def test_small_job_has_one_row():
    """Other releases read that row."""
    job = create_job(50)
    start_tasks(job, 0, 50)
    assert list(job.take_progress(MAX_ROW_BYTES)) == ['job']


def test_row_of_an_earlier_release_is_read_and_divided():
    """An update must not forget the progress of a job."""
    job = create_job(1900)
    start_tasks(job, 0, 1900)
    stored = {'job': job.progress_row()}
    restored = restore(1900, stored)
    assert state_of(restored) == state_of(job)
    start_tasks(restored, 0, 1, run=2)
    stored.update(restored.take_progress(MAX_ROW_BYTES))
    assert len(stored) > 1
    assert state_of(restore(1900, stored)) == state_of(restored)


def test_change_of_a_task_rewrites_few_rows():
    """Each change of a large job would rewrite all that is known of it."""
    job = create_job(5000)
    start_tasks(job, 0, 5000)
    assert len(job.take_progress(MAX_ROW_BYTES)) > 5
    start_tasks(job, 4000, 4001, run=2)
    assert len(job.take_progress(MAX_ROW_BYTES)) == 1
    assert not job.take_progress(MAX_ROW_BYTES)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 299),
            st.integers(1, 120),
            st.integers(1, 9),
            st.integers(0, 40),
        ),
        min_size=1,
        max_size=12,
    ),
    st.integers(0, 30),
)
def test_progress_is_restored_after_any_change(changes, lost_writes):
    """A front that ends between the writes of a division must lose nothing.

    The rows are written in their order, and the last ones may be missing.
    """
    job = create_job(300)
    stored = {}
    for first, width, run, length in changes:
        start_tasks(job, first, first + width, run, 'c' * length)
        rows = list(job.take_progress(8_000).items())
        assert all(len(encode_row(row)) <= 8_000 for _, row in rows)
        previous = restore(300, stored)
        partial = {**stored, **dict(rows[: max(0, len(rows) - lost_writes)])}
        before, now = state_of(previous), state_of(job)
        for position, entry in enumerate(state_of(restore(300, partial))):
            assert entry in {before[position], now[position]}
        stored.update(rows)
        assert state_of(restore(300, stored)) == now


@pytest.mark.parametrize('key', ['a/', 'a/x', 'a/1/2', 'a/\u0663', 'a/-1'])
def test_malformed_key_is_no_row(key):
    """An odd row must not end the holder of the lease."""
    assert split_progress_key(key) is None


def test_keys_are_read_as_written():
    """A row that is not found again would be lost."""
    for start in (0, 1, 9999):
        assert split_progress_key(progress_key('a', start)) == ('a', start)
