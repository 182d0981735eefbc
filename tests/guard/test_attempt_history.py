"""Evicting recorded attempts never lets a request run twice."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.guard.attempt_history import AttemptHistory, HistoryLimits
from dragonflynotch.guard.requests import (
    Handover,
    Refused,
    RequestRunner,
    RunUnknown,
    WillNotRun,
)
from dragonflynotch.services.minion import MinionClient

LIMITS = HistoryLimits(max_entries=4)
DEADLINE = timedelta(seconds=60)


class CountingMinion(MinionClient):
    """Answers immediately and counts the runs."""

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, request_id, body, timeout):
        self.runs += 1
        return body


@pytest.fixture
def minion():
    return CountingMinion()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def runner(minion, clock):
    history = AttemptHistory(LIMITS)
    return RequestRunner(
        minion, slots=8, incarnation=1, clock=clock, history=history
    )


def create_handover(attempt: str, clock: ManualClock) -> Handover:
    return Handover(
        'request', attempt, 1, DEADLINE, clock.now() + DEADLINE, b'body'
    )


def resolve(runner: RequestRunner, attempt: str):
    return runner.resolve(attempt, 1, is_idempotent=False)


async def test_refusal_of_a_pending_handover_is_not_evicted(
    runner, minion, clock
):
    """Guards against a run by a handover that arrives after its refusal.

    The refusal of an attempt that was resolved before its handover arrived must
    outlast other attempts that fill the history.
    """
    late = create_handover('late', clock)
    assert resolve(runner, 'late') == WillNotRun()
    for number in range(LIMITS.max_entries + 1):
        await runner.run(create_handover(f'other-{number}', clock))
    before = minion.runs
    assert isinstance(await runner.run(late), Refused)
    assert minion.runs == before


async def test_evicted_answer_is_not_reported_as_never(runner, clock):
    """Guards against a second run after the first record was evicted."""
    for number in range(LIMITS.max_entries + 1):
        await runner.run(create_handover(f'other-{number}', clock))
    assert isinstance(resolve(runner, 'other-0'), RunUnknown)


def test_refusals_beyond_the_limit_are_not_issued(runner):
    """Guards against unbounded memory, and against refusals that get lost.

    Refusals of pending handovers are not evicted, so the guard must stop
    issuing them when they fill half of the history.
    """
    answers = [
        resolve(runner, f'attempt-{number}')
        for number in range(LIMITS.max_entries)
    ]
    assert answers[:2] == [WillNotRun(), WillNotRun()]
    assert all(isinstance(each, RunUnknown) for each in answers[2:])


def test_refusal_is_dropped_after_its_time(runner, clock):
    """Guards against refusals that stay in the history after they expire."""
    for number in range(LIMITS.max_entries):
        resolve(runner, f'attempt-{number}')
    clock.advance(LIMITS.max_age + timedelta(seconds=1))
    assert resolve(runner, 'next') == WillNotRun()
