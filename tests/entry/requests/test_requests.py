"""Queue, retries, request headers and authentication of callers."""

import asyncio
import hashlib
from datetime import timedelta
from random import Random

import pytest

from dragonflynotch.core.clock import ManualClock, SystemClock
from dragonflynotch.core.errors import InvalidInputError, LinkError
from dragonflynotch.core.limits import RetryBudget
from dragonflynotch.core.requests import Answer, Request
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec
from dragonflynotch.entry.requests.attempts import AttemptRunner
from dragonflynotch.entry.requests.headers import read_headers
from dragonflynotch.entry.requests.idempotent import IdempotentRunner
from dragonflynotch.entry.requests.identity import NotIdentified, identify
from dragonflynotch.entry.requests.target_queue import TargetQueue
from dragonflynotch.links.guard_link import GuardLink

RESORT_PRIORITY, PHOTO_PRIORITY = 1, 900
TOKEN = 'secret'
SPEC = WorkspaceSpec(
    'resort', token_digests=(hashlib.sha256(TOKEN.encode()).hexdigest(),)
)


def target(number, clock, slots):
    return Target(
        guard_id=f'guard-{number}',
        incarnation=1,
        sequence=1,
        data_centre='lautoka',
        address=('127.0.0.1', 1),
        minion_id=f'minion-{number}',
        slots=slots,
        free_slots=slots,
        is_ready=True,
        heard_at=clock.now(),
    )


class QueueHarness:
    def __init__(self, *, clock=None, guards=1, slots=1, limit=2):
        self.clock = clock or ManualClock()
        self.routing = RoutingTable('lautoka', Random(7))
        for number in range(guards):
            self.routing.observe(target(number, self.clock, slots))
        self.queue = TargetQueue(self.routing, self.clock, limit)

    def ticket(self, priority=RESORT_PRIORITY):
        deadline = self.clock.now() + timedelta(seconds=2)
        request = Request('r', 'resort', 'default', '', True, deadline, b'')
        return self.queue.create_ticket(request, priority)

    def acquire(self, priority):
        return asyncio.create_task(
            self.queue.acquire(self.ticket(priority), frozenset())
        )


async def test_urgent_request_displaces_the_newest_less_urgent_one():
    """Guards against refusing an urgent request while less urgent ones wait."""
    harness = QueueHarness()
    held = await harness.acquire(RESORT_PRIORITY)
    photos = [harness.acquire(PHOTO_PRIORITY) for _ in range(2)]
    await asyncio.sleep(0)
    resort = harness.acquire(RESORT_PRIORITY)
    refused = await photos[1]
    assert refused.reason == 'queue_full'
    assert refused.retry_after >= timedelta(milliseconds=500)
    harness.queue.release(held)
    assert isinstance(await resort, Target)
    assert not photos[0].done()
    photos[0].cancel()


async def test_waiting_requests_are_refused_once_no_minion_is_left():
    """Guards against waiting for members that are silent."""
    harness = QueueHarness()
    await harness.acquire(RESORT_PRIORITY)
    waiting = harness.acquire(RESORT_PRIORITY)
    await asyncio.sleep(0)
    harness.clock.advance(timedelta(seconds=2.3))
    harness.queue.serve_waiting()
    assert (await waiting).reason == 'no_minion'


async def test_waiting_ends_at_half_of_the_deadline():
    """Guards against a refusal so late that no time is left elsewhere."""
    harness = QueueHarness(clock=SystemClock())
    await harness.acquire(RESORT_PRIORITY)
    ticker = asyncio.create_task(harness.queue.run())
    started = harness.clock.now()
    refused = await harness.acquire(RESORT_PRIORITY)
    ticker.cancel()
    assert refused.reason == 'queue_timeout'
    waited = harness.clock.now() - started
    assert timedelta(seconds=1) <= waited < timedelta(seconds=1.5)


class FailingLink(GuardLink):
    def __init__(self, healthy=''):
        self.calls = []
        self._healthy = healthy

    async def run(self, target, request, attempt, now, *, is_retry):
        self.calls.append(target.guard_id)
        if target.guard_id == self._healthy:
            return b'ok'
        raise LinkError('cut')

    async def resolve(self, target, attempt, *, is_idempotent, timeout):
        raise LinkError('cut')


async def run_idempotent(harness, link, count=1):
    runner = IdempotentRunner(
        harness.queue,
        AttemptRunner(harness.routing, link, harness.clock),
        RetryBudget(),
        harness.clock,
    )
    outcomes = []
    for _ in range(count):
        ticket = harness.ticket()
        outcomes.append(await runner.run(ticket.request, ticket))
    return outcomes


async def test_failed_request_is_retried_at_another_minion():
    """Guards against an idempotent request that fails with its first minion."""
    harness = QueueHarness(guards=3, slots=8)
    link = FailingLink(healthy='guard-1')
    outcomes = await run_idempotent(harness, link, count=4)
    assert all(isinstance(outcome, Answer) for outcome in outcomes)
    assert len(link.calls) > len(outcomes)


class EjectingLink(FailingLink):
    """Lets a target be ejected while an attempt runs there, then fails it."""

    def __init__(self, harness, healthy):
        super().__init__(healthy)
        self._harness = harness
        self.ejected_at = None

    async def run(self, target, *args, **options):
        if target.guard_id != self._healthy:
            clock = self._harness.clock
            clock.advance(timedelta(milliseconds=1))
            self.ejected_at = clock.now()
            for _ in range(5):
                self._harness.routing.record_failure(
                    target, self.ejected_at, self.ejected_at
                )
            clock.advance(timedelta(milliseconds=1))
        return await super().run(target, *args, **options)


async def test_attempt_from_before_an_ejection_does_not_prolong_it():
    """Guards against outcomes that carry the time of their end."""
    harness = QueueHarness(guards=2, slots=8)
    link = EjectingLink(harness, healthy='guard-1')
    while 'guard-0' not in link.calls:
        await run_idempotent(harness, link)
    due = link.ejected_at + timedelta(seconds=2)
    probe = harness.routing.choose(due, is_idempotent=True)
    assert probe.guard_id == 'guard-0'


async def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load during an outage."""
    harness = QueueHarness(guards=10, slots=200)
    link = FailingLink()
    await run_idempotent(harness, link, count=100)
    assert len(link.calls) - 100 == 30


@pytest.mark.parametrize(
    ('name', 'text', 'message'),
    [
        ('request-class', 'party', "Request-Class: got 'party', expected one"),
        ('request-idempotent', 'yes', "Request-Idempotent: got 'yes'"),
        ('idempotency-key', 'a b', "Idempotency-Key: got 'a b'"),
        ('idempotency-key', '', 'Idempotency-Key'),
        ('request-deadline-ms', '600001', "Request-Deadline-Ms: got '600001'"),
        ('request-deadline-ms', '0', 'Request-Deadline-Ms'),
        ('request-deadline-ms', '٣', 'Request-Deadline-Ms'),
    ],
)
def test_bad_header_is_named_with_its_value(name, text, message):
    """Guards against refusals that do not say which header is wrong."""
    with pytest.raises(InvalidInputError, match=message):
        read_headers({'idempotency-key': 'k', name: text}, SPEC)


@pytest.mark.parametrize(
    ('workspace', 'authorization', 'reason'),
    [
        ('resort', '', 'token_missing'),
        ('resort', 'Basic secret', 'token_missing'),
        ('resort', 'Bearer other', 'token_refused'),
        ('other', f'Bearer {TOKEN}', 'token_refused'),
        ('resort', 'Bearer ', 'token_refused'),
    ],
)
def test_caller_without_a_valid_token_is_refused(
    workspace, authorization, reason
):
    """Guards against access to a workspace without its token."""
    view = ConfigurationView(1, {'resort': SPEC})
    refused = identify(view, workspace, authorization)
    assert isinstance(refused, NotIdentified)
    assert refused.reason == reason


def test_caller_with_a_valid_token_is_accepted():
    """Guards against refusing a workspace's own token."""
    view = ConfigurationView(1, {'resort': SPEC})
    assert identify(view, 'resort', f'bearer {TOKEN}') is SPEC
