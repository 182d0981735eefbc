"""A guard that cannot receive orders must not renew its task lease."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkTimeoutError
from dragonflynotch.entry.members.guard_channel import GuardChannel
from dragonflynotch.links.order_link import OrderLink
from dragonflynotch.links.orders import OrderReply, StartOrder

LIMIT = timedelta(seconds=5)


class StubOrderLink(OrderLink):
    def __init__(self, reply):
        self.reply = reply
        self.batches = []

    async def send(self, address, batch):
        self.batches.append(batch)
        if self.reply is None:
            raise LinkTimeoutError('silent')
        return self.reply

    async def report(self, address):
        raise LinkTimeoutError('silent')


@pytest.mark.parametrize(
    ('reply', 'is_failing'),
    [(None, True), (OrderReply(3, 'no_lease'), False)],
)
async def test_lost_orders_are_told_apart_from_refused_ones(reply, is_failing):
    """Guards against renewing the task lease of a guard that gets no orders.

    Stop orders would be lost, and the tasks would go on. A guard that answers
    with a refusal does receive orders.
    """
    clock = ManualClock()
    link = StubOrderLink(reply)
    channel = GuardChannel(
        'worker-1', ('127.0.0.1', 1), 'entry-1', 3, link, lambda _: None, clock
    )
    channel.start()
    channel.note_announcement(('127.0.0.1', 1), 7, 1)
    channel.enqueue(StartOrder('job', 1))
    async with asyncio.timeout(2):
        while not link.batches:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0)
    assert link.batches[0].incarnation == 7
    assert not channel.is_failing(LIMIT, clock.now())
    later = clock.now() + LIMIT + timedelta(seconds=1)
    assert channel.is_failing(LIMIT, later) is is_failing
    channel.close()
