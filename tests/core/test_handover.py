"""Decisions that run a non-idempotent request at most once."""

from dataclasses import replace
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.handover import (
    AskGuard,
    AttemptDone,
    AttemptNeverRun,
    AttemptNotRemembered,
    AttemptRunning,
    ClaimAttempt,
    GuardNotReachable,
    IncarnationEnded,
    KeepClaim,
    MarkUnknown,
    RefuseKeyReuse,
    ReplayResult,
    ReportUnknown,
    StoredResult,
    UseAnswer,
    attempt_id,
    claimed_row,
    decide_on_resolution,
    decide_on_row,
)

NOW = ManualClock().now()
ROW = claimed_row('digest', 1, ('guard-1', 5), NOW)
RESULT = StoredResult('answer digest', 'minion-1', b'ok')


@pytest.mark.parametrize(
    ('row', 'digest', 'decision'),
    [
        (None, 'digest', ClaimAttempt(1)),
        (ROW, 'digest', AskGuard()),
        (ROW, 'other', RefuseKeyReuse()),
        (ROW.as_done(RESULT), 'digest', ReplayResult(RESULT)),
        (ROW.as_done(RESULT), 'other', RefuseKeyReuse()),
        (ROW.as_unknown(), 'digest', ReportUnknown()),
    ],
)
def test_decision_on_a_row(row, digest, decision):
    """Guards against running a claimed or finished request again."""
    assert decide_on_row(row, digest) == decision


@pytest.mark.parametrize(
    ('resolution', 'decision'),
    [
        (AttemptDone(b'ok', 'minion-1'), UseAnswer(b'ok', 'minion-1')),
        (AttemptNeverRun(), ClaimAttempt(2)),
        (AttemptRunning(), KeepClaim('still_running')),
        (GuardNotReachable(), KeepClaim('guard_silent')),
        (IncarnationEnded(), MarkUnknown('guard_gone')),
        (AttemptNotRemembered('evicted'), MarkUnknown('evicted')),
    ],
)
def test_decision_on_the_reply_of_the_guard(resolution, decision):
    """Guards against another attempt while the last one may still run."""
    assert decide_on_resolution(ROW, resolution, NOW) == decision


def test_never_run_reply_is_not_trusted_after_guard_memory_expired():
    """Guards against a second run after the guard forgot the first one."""
    later = NOW + timedelta(minutes=12, seconds=1)
    decision = decide_on_resolution(ROW, AttemptNeverRun(), later)
    assert decision == MarkUnknown('guard_memory_expired')


@pytest.mark.parametrize(
    'changes',
    [{'attempt': 2}, {'guard_id': 'guard-2'}, {'claimed_at': NOW.max}],
)
def test_attempt_id_differs_for_each_claim(changes):
    """Guards against reporting the outcome of one attempt for another."""
    other = replace(ROW, **changes)
    assert attempt_id('key', other) != attempt_id('key', ROW)
