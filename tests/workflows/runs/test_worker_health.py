"""Exclusion of workers on which runs fail."""

import pytest

from dragonflynotch.workflows.runs.worker_health import WorkerHealth

MINIONS = ['bad', 'm1', 'm2']
FIRST_EXCLUSION_MS = 6_000


@pytest.fixture
def health():
    return WorkerHealth()


def fail(health, at_ms, *, started_ms, jobs):
    for number in range(jobs):
        health.record_failure('bad', f'{at_ms}-{number}', started_ms, at_ms)


def test_runs_that_fail_together_exclude_a_worker_once(health):
    """Guards against idle workers: each run of a burst doubled the time."""
    fail(health, 1000, started_ms=500, jobs=8)
    end_ms = 1000 + FIRST_EXCLUSION_MS
    assert health.excluded(MINIONS, end_ms - 1) == {'bad'}
    assert health.excluded(MINIONS, end_ms) == set()


def test_failure_from_before_a_takeover_counts_towards_an_exclusion(health):
    """Each takeover gave a faulty worker another run of every job."""
    health.restore_failure('bad', 'earlier', 1000)
    assert health.excluded(MINIONS, 1500) == set()
    fail(health, 2000, started_ms=1500, jobs=1)
    assert health.excluded(MINIONS, 2500) == {'bad'}


def test_late_failures_of_earlier_runs_do_not_prolong_an_exclusion(health):
    """Runs from before the exclusion say nothing about the worker now."""
    fail(health, 1000, started_ms=500, jobs=2)
    fail(health, 6000, started_ms=900, jobs=3)
    assert health.excluded(MINIONS, 1000 + FIRST_EXCLUSION_MS) == set()


def test_exclusion_doubles_when_new_runs_fail_as_well(health):
    """A worker that stays faulty must use up fewer and fewer attempts."""
    fail(health, 1000, started_ms=500, jobs=8)
    fail(health, 8000, started_ms=7500, jobs=8)
    end_ms = 8000 + 2 * FIRST_EXCLUSION_MS
    assert health.excluded(MINIONS, end_ms - 1) == {'bad'}
    assert health.excluded(MINIONS, end_ms) == set()
