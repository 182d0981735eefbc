"""What the guard may forget without running a request twice."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.guard.memory import AttemptMemory, MemoryLimits
from dragonflynotch.guard.requests import (
    HandOver,
    Never,
    Refused,
    RequestRunner,
    RunUnknown,
)
from dragonflynotch.services.minion import MinionClient

LIMITS = MemoryLimits(max_entries=4)
DEADLINE = timedelta(seconds=60)


class CountingMinion(MinionClient):
    """Answers at once and counts."""

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
    memory = AttemptMemory(LIMITS)
    return RequestRunner(
        minion, slots=8, incarnation=1, clock=clock, memory=memory
    )


def hand_over(attempt: str, clock: ManualClock) -> HandOver:
    return HandOver(
        'request', attempt, 1, DEADLINE, clock.now() + DEADLINE, b'body'
    )


def resolve(runner: RequestRunner, attempt: str):
    return runner.resolve(attempt, 1, is_idempotent=False)


async def test_refusal_of_a_pending_handover_is_not_evicted(
    runner, minion, clock
):
    """Guards against a second run by a handover that arrives late."""
    late = hand_over('late', clock)
    assert resolve(runner, 'late') == Never()
    for number in range(LIMITS.max_entries + 1):
        await runner.run(hand_over(f'other-{number}', clock))
    before = minion.runs
    assert isinstance(await runner.run(late), Refused)
    assert minion.runs == before


async def test_evicted_answer_is_not_reported_as_never(runner, clock):
    """Guards against a second run after the memory lost the first one."""
    for number in range(LIMITS.max_entries + 1):
        await runner.run(hand_over(f'other-{number}', clock))
    assert isinstance(resolve(runner, 'other-0'), RunUnknown)


def test_refusals_that_cannot_be_kept_are_not_promised(runner):
    """Guards against a memory without bound, and against a broken promise."""
    answers = [
        resolve(runner, f'attempt-{number}')
        for number in range(LIMITS.max_entries)
    ]
    assert answers[:2] == [Never(), Never()]
    assert all(isinstance(each, RunUnknown) for each in answers[2:])


def test_refusal_is_dropped_after_its_time(runner, clock):
    """Guards against refusals that fill the memory for good."""
    for number in range(LIMITS.max_entries):
        resolve(runner, f'attempt-{number}')
    clock.advance(LIMITS.max_age + timedelta(seconds=1))
    assert resolve(runner, 'next') == Never()
