"""A guard runs an attempt at most once and says truly what became of it."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.guard.memory import (
    AttemptMemory,
    MemoryLimits,
    RememberedAnswer,
)
from dragonflynotch.guard.requests import (
    HandOver,
    Never,
    Ran,
    Refused,
    RequestRunner,
    Running,
    RunUnknown,
)
from dragonflynotch.services.minion import MinionClient

MINUTE = timedelta(minutes=1)


class FakeMinion(MinionClient):
    def __init__(self):
        self.runs = 0
        self.error = None
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def run(self, request_id, body, timeout):
        if isinstance(self.error, NotSentError):
            raise self.error
        self.runs += 1
        await self.is_open.wait()
        if self.error is not None:
            raise self.error
        return body.upper()


class Guarded:
    def __init__(self, limits=None):
        self.clock = ManualClock()
        self.minion = FakeMinion()
        self.runner = RequestRunner(
            self.minion,
            slots=2,
            incarnation=1,
            clock=self.clock,
            memory=AttemptMemory(limits),
        )

    def hand_over(self, attempt='a1', **changes):
        message = HandOver(
            request_id='r1',
            attempt=attempt,
            incarnation=1,
            timeout=MINUTE,
            expires_at=self.clock.now() + MINUTE,
            body=b'body',
        )
        return replace(message, **changes)

    async def run(self, attempt='a1', **changes):
        return await self.runner.run(self.hand_over(attempt, **changes))

    def resolve(self, attempt='a1', incarnation=1, is_idempotent=False):
        return self.runner.resolve(
            attempt, incarnation, is_idempotent=is_idempotent
        )


@pytest.fixture
async def guarded():
    return Guarded()


async def test_repeated_attempt_gets_the_remembered_answer(guarded):
    """Guards against a second run of a handover that was duplicated."""
    assert await guarded.run() == await guarded.run() == Ran('r1', b'BODY')
    assert guarded.resolve() == Ran('r1', b'BODY')
    assert guarded.minion.runs == 1


async def test_attempt_resolved_as_never_is_refused_later(guarded):
    """Guards against a handover that arrives after its resolution."""
    assert guarded.resolve() == Never()
    assert isinstance(await guarded.run(), Refused)
    assert guarded.minion.runs == 0


async def test_running_attempt_is_neither_run_again_nor_refused(guarded):
    """Guards against "never" for an attempt that the minion works on."""
    guarded.minion.is_open.clear()
    task = asyncio.create_task(guarded.run())
    await asyncio.sleep(0)
    assert guarded.resolve() == Running()
    assert await guarded.run() == RunUnknown('already_running')
    guarded.minion.is_open.set()
    assert await task == Ran('r1', b'BODY')


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'incarnation': 2}, 'other_incarnation'),
        ({'timeout': timedelta()}, 'deadline_passed'),
        ({'expires_at': ManualClock().now() - 5 * MINUTE}, 'deadline_passed'),
    ],
)
async def test_unfit_attempt_is_refused(guarded, changes, reason):
    """Guards against running what the entry gave up long ago."""
    assert await guarded.run(**changes) == Refused(reason)
    assert guarded.minion.runs == 0


async def test_full_or_draining_guard_refuses_for_ever(guarded):
    """Guards against a refused attempt that runs after all."""
    guarded.minion.is_open.clear()
    tasks = [asyncio.create_task(guarded.run(f'b{n}')) for n in range(2)]
    await asyncio.sleep(0)
    assert await guarded.run() == Refused('no_free_slot')
    guarded.minion.is_open.set()
    await asyncio.gather(*tasks)
    assert await guarded.run() == Refused('no_free_slot')
    guarded.runner.start_drain()
    assert await guarded.run('c1') == Refused('draining')


@pytest.mark.parametrize(
    ('error', 'kind', 'resolution'),
    [
        (LinkError('cut'), RunUnknown, RunUnknown),
        (NotSentError('refused'), Refused, Never),
    ],
)
async def test_failure_of_the_minion_is_remembered(
    guarded, error, kind, resolution
):
    """Guards against "never" for an attempt that reached the minion."""
    guarded.minion.error = error
    assert isinstance(await guarded.run(), kind)
    assert isinstance(guarded.resolve(), resolution)


async def test_other_incarnation_is_told_so(guarded):
    """Guards against "never" for an attempt of the guard before a restart."""
    assert guarded.resolve(incarnation=7) == RunUnknown('other_incarnation')


async def test_idempotent_attempts_take_no_memory(guarded):
    """Guards against idempotent load that evicts answers of others."""
    await guarded.run(is_idempotent=True)
    resolved = guarded.resolve(is_idempotent=True)
    assert resolved == RunUnknown('not_remembered')


async def test_early_eviction_is_unknown_never_never():
    """Guards against "never" for an answer that was evicted early."""
    guarded = Guarded(MemoryLimits(max_entries=2))
    for number in range(3):
        await guarded.run(f'e{number}')
    assert guarded.resolve('e0') == RunUnknown('memory_evicted')
    assert guarded.resolve('e2') == Ran('r1', b'BODY')
    guarded.clock.advance(16 * MINUTE)
    assert guarded.resolve('later') == Never()


def test_memory_is_limited_in_bytes_and_age():
    """Guards against answers that take the guard over its memory limit."""
    memory = AttemptMemory()
    now = ManualClock().now()
    for number in range(30):
        answer = RememberedAnswer('r', bytes(1024 * 1024))
        memory.record(f'a{number}', answer, now)
    assert len(memory) == 7
    assert memory.find('a29', now + 14 * MINUTE) is not None
    assert memory.find('a29', now + 16 * MINUTE) is None
