"""Queue, retries, headers and identity of the caller interface."""

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

RESORT, PHOTO = 1, 900
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


class Parts:
    def __init__(self, *, clock=None, guards=1, slots=1, limit=2):
        self.clock = clock or ManualClock()
        self.routing = RoutingTable('lautoka', Random(7))
        for number in range(guards):
            self.routing.observe(target(number, self.clock, slots))
        self.queue = TargetQueue(self.routing, self.clock, limit)

    def ticket(self, priority=RESORT):
        deadline = self.clock.now() + timedelta(seconds=2)
        request = Request('r', 'resort', 'default', '', True, deadline, b'')
        return self.queue.ticket(request, priority)

    def acquire(self, priority):
        return asyncio.create_task(
            self.queue.acquire(self.ticket(priority), frozenset())
        )


async def test_important_request_takes_the_place_of_the_newest_other():
    """Guards against a resort refused while photo checks wait."""
    parts = Parts()
    held = await parts.acquire(RESORT)
    photos = [parts.acquire(PHOTO) for _ in range(2)]
    await asyncio.sleep(0)
    resort = parts.acquire(RESORT)
    refused = await photos[1]
    assert refused.reason == 'queue_full'
    assert refused.retry_after >= timedelta(milliseconds=500)
    parts.queue.release(held)
    assert isinstance(await resort, Target)
    assert not photos[0].done()
    photos[0].cancel()


async def test_waiting_requests_are_refused_once_no_minion_is_left():
    """Guards against waiting for members that fell silent."""
    parts = Parts()
    await parts.acquire(RESORT)
    waiting = parts.acquire(RESORT)
    await asyncio.sleep(0)
    parts.clock.advance(timedelta(seconds=2.3))
    parts.queue.pump()
    assert (await waiting).reason == 'no_minion'


async def test_waiting_ends_at_half_of_the_deadline():
    """Guards against a refusal that is held back until the deadline."""
    parts = Parts(clock=SystemClock())
    await parts.acquire(RESORT)
    ticker = asyncio.create_task(parts.queue.run())
    started = parts.clock.now()
    refused = await parts.acquire(RESORT)
    ticker.cancel()
    assert refused.reason == 'queue_timeout'
    waited = parts.clock.now() - started
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


async def run_idempotent(parts, link, count=1):
    runner = IdempotentRunner(
        parts.queue,
        AttemptRunner(parts.routing, link, parts.clock),
        RetryBudget(),
        parts.clock,
    )
    outcomes = []
    for _ in range(count):
        ticket = parts.ticket()
        outcomes.append(await runner.run(ticket.request, ticket))
    return outcomes


async def test_failed_request_is_retried_at_another_minion():
    """Guards against an idempotent request lost with one minion."""
    parts = Parts(guards=3, slots=8)
    link = FailingLink(healthy='guard-1')
    outcomes = await run_idempotent(parts, link, count=4)
    assert all(isinstance(outcome, Answer) for outcome in outcomes)
    assert len(link.calls) > len(outcomes)


async def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load of an outage."""
    parts = Parts(guards=10, slots=200)
    link = FailingLink()
    await run_idempotent(parts, link, count=100)
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
    """Guards against refusals that do not tell the caller what is wrong."""
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
    """Guards against requests in the name of another workspace."""
    view = ConfigurationView(1, {'resort': SPEC})
    refused = identify(view, workspace, authorization)
    assert isinstance(refused, NotIdentified)
    assert refused.reason == reason


def test_caller_with_a_valid_token_is_accepted():
    """Guards against refusing a workspace its own token."""
    view = ConfigurationView(1, {'resort': SPEC})
    assert identify(view, 'resort', f'bearer {TOKEN}') is SPEC
