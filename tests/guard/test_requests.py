"""A guard runs an attempt at most once and reports its true outcome."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.guard.attempt_history import (
    AttemptHistory,
    HistoryLimits,
    RecordedAnswer,
)
from dragonflynotch.guard.requests import (
    Answered,
    Handover,
    Refused,
    RequestRunner,
    Running,
    RunUnknown,
    WillNotRun,
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


class RunnerSetup:
    def __init__(self, limits=None):
        self.clock = ManualClock()
        self.minion = FakeMinion()
        self.runner = RequestRunner(
            self.minion,
            slots=2,
            incarnation=1,
            clock=self.clock,
            history=AttemptHistory(limits),
        )

    def create_handover(self, attempt='a1', **changes):
        message = Handover(
            request_id='r1',
            attempt=attempt,
            incarnation=1,
            timeout=MINUTE,
            expires_at=self.clock.now() + MINUTE,
            body=b'body',
        )
        return replace(message, **changes)

    async def run(self, attempt='a1', **changes):
        return await self.runner.run(self.create_handover(attempt, **changes))

    def resolve(self, attempt='a1', incarnation=1, is_idempotent=False):
        return self.runner.resolve(
            attempt, incarnation, is_idempotent=is_idempotent
        )


@pytest.fixture
async def setup():
    return RunnerSetup()


async def test_repeated_attempt_gets_the_remembered_answer(setup):
    """Guards against a second run of a duplicated handover."""
    assert await setup.run() == await setup.run() == Answered('r1', b'BODY')
    assert setup.resolve() == Answered('r1', b'BODY')
    assert setup.minion.runs == 1


async def test_attempt_resolved_as_never_is_refused_later(setup):
    """Guards against running a handover that arrives after its resolution."""
    assert setup.resolve() == WillNotRun()
    assert isinstance(await setup.run(), Refused)
    assert setup.minion.runs == 0


async def test_running_attempt_is_neither_run_again_nor_refused(setup):
    """Guards against resolving a running attempt as never run."""
    setup.minion.is_open.clear()
    task = asyncio.create_task(setup.run())
    await asyncio.sleep(0)
    assert setup.resolve() == Running()
    assert await setup.run() == RunUnknown('already_running')
    setup.minion.is_open.set()
    assert await task == Answered('r1', b'BODY')


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'incarnation': 2}, 'other_incarnation'),
        ({'timeout': timedelta()}, 'deadline_passed'),
        ({'expires_at': ManualClock().now() - 5 * MINUTE}, 'deadline_passed'),
    ],
)
async def test_outdated_attempt_is_refused(setup, changes, reason):
    """Guards against running outdated attempts.

    They are meant for another process of the guard, or their deadline has
    passed.
    """
    assert await setup.run(**changes) == Refused(reason)
    assert setup.minion.runs == 0


async def test_refusal_of_full_or_draining_guard_is_final(setup):
    """Guards against running an attempt after it was refused."""
    setup.minion.is_open.clear()
    tasks = [asyncio.create_task(setup.run(f'b{n}')) for n in range(2)]
    await asyncio.sleep(0)
    assert await setup.run() == Refused('no_free_slot')
    setup.minion.is_open.set()
    await asyncio.gather(*tasks)
    assert await setup.run() == Refused('no_free_slot')
    setup.runner.start_drain()
    assert await setup.run('c1') == Refused('draining')


@pytest.mark.parametrize(
    ('error', 'kind', 'resolution'),
    [
        (LinkError('cut'), RunUnknown, RunUnknown),
        (NotSentError('refused'), Refused, WillNotRun),
    ],
)
async def test_failure_of_the_minion_is_remembered(
    setup, error, kind, resolution
):
    """Guards against resolving an attempt as never run after it was sent."""
    setup.minion.error = error
    assert isinstance(await setup.run(), kind)
    assert isinstance(setup.resolve(), resolution)


async def test_attempt_of_other_incarnation_is_unknown(setup):
    """Guards against resolving an attempt of a previous guard process.

    The restarted guard does not know whether that attempt ran.
    """
    assert setup.resolve(incarnation=7) == RunUnknown('other_incarnation')


async def test_idempotent_attempts_are_not_recorded(setup):
    """Guards against idempotent attempts that evict other answers."""
    await setup.run(is_idempotent=True)
    resolved = setup.resolve(is_idempotent=True)
    assert resolved == RunUnknown('not_remembered')


async def test_evicted_attempt_resolves_as_unknown():
    """Guards against resolving an evicted attempt as never run."""
    setup = RunnerSetup(HistoryLimits(max_entries=2))
    for number in range(3):
        await setup.run(f'e{number}')
    assert setup.resolve('e0') == RunUnknown('memory_evicted')
    assert setup.resolve('e2') == Answered('r1', b'BODY')
    setup.clock.advance(16 * MINUTE)
    assert setup.resolve('later') == WillNotRun()


def test_history_is_limited_in_bytes_and_age():
    """Guards against stored answers that exceed the guard's memory limit."""
    history = AttemptHistory()
    now = ManualClock().now()
    for number in range(30):
        answer = RecordedAnswer('r', bytes(1024 * 1024))
        history.record(f'a{number}', answer, now)
    assert len(history) == 7
    assert history.find('a29', now + 14 * MINUTE) is not None
    assert history.find('a29', now + 16 * MINUTE) is None
