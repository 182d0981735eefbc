"""Cancellations that are stored before their jobs."""

import pytest

from dragonflynotch.workflows import early_cancellations
from dragonflynotch.workflows.early_cancellations import (
    EarlyCancellation,
    EarlyCancellations,
)
from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

RETENTION_MS = 1000
FULL_ACCESS = JobAccess()
SPEC = JobSpec('q', 'team', 'planner', 'text', (StepSpec(1),))


def cancellation(number, cancelled_ms=0, access=FULL_ACCESS):
    return EarlyCancellation(
        f'j{number}', f'j{number}/cancel-x', access, cancelled_ms
    )


@pytest.mark.parametrize(
    ('workspace', 'queue', 'applies'),
    [
        (None, '', True),
        ('team', '', True),
        ('other', '', False),
        (None, 'q', True),
        (None, 'other', False),
        ('team', 'other', True),
    ],
)
def test_only_a_caller_who_may_cancel_the_job_decides(
    workspace, queue, applies
):
    """A caller could keep jobs of others from running by their identifiers."""
    kept = EarlyCancellations()
    kept.add(cancellation(1, 0, JobAccess(workspace, queue)))
    assert kept.apply_to('j1', SPEC) is applies
    assert not kept.apply_to('j2', SPEC)


def test_row_is_deleted_once_after_its_retention_time():
    """The rows would fill the store, or cost a write in each round."""
    kept = EarlyCancellations()
    kept.add(cancellation(1, cancelled_ms=500))
    assert not kept.take_expired(1400, RETENTION_MS, ())
    assert len(kept.take_expired(1500, RETENTION_MS, ())) == 1
    assert not kept.take_expired(1600, RETENTION_MS, ())


def test_cancellation_is_known_while_its_row_may_not_be_deleted():
    """The job may arrive while the row is being deleted."""
    kept = EarlyCancellations()
    kept.add(cancellation(1))
    kept.take_expired(1500, RETENTION_MS, ())
    assert kept.apply_to('j1', SPEC)
    kept.take_expired(2500, RETENTION_MS, ())
    assert not kept.apply_to('j1', SPEC)


def test_row_of_a_job_that_has_arrived_is_kept():
    """The next holder of the lease has to know that it is cancelled."""
    kept = EarlyCancellations()
    kept.add(cancellation(1))
    assert not kept.take_expired(5000, RETENTION_MS, {'j1'})


def test_number_of_rows_is_bounded(monkeypatch):
    """A caller who cancels any identifier must not fill the store."""
    monkeypatch.setattr(early_cancellations, '_MAX_KEPT', 5)
    kept = EarlyCancellations()
    for number in range(8):
        kept.add(cancellation(number))
    expired = kept.take_expired(1, RETENTION_MS, ())
    assert [entry.job_id for entry in expired] == ['j0', 'j1', 'j2']
    assert not kept.take_expired(1, RETENTION_MS, ())
