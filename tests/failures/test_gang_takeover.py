"""Takeovers of the partition while a gang is prepared and started."""

import asyncio
import time

from tests.gang_processes import TASK_LEASE_S, Deployment, job_body

PREPARES = 3
STARTS = 3
ORDER_MESSAGES = PREPARES + STARTS


class OwnerInterruption:
    """Stops the owner when its n-th order message is in transit."""

    def __init__(self, site, owner, message_number, stop_owner):
        self.kinds = []
        self.reached = asyncio.Event()
        self._site = site
        self._owner = owner
        self._message_number = message_number
        self._stop_owner = stop_owner
        site.on_order = self.on_order

    def on_order(self, kind):
        if self.reached.is_set():
            return True
        self.kinds.append(kind)
        if len(self.kinds) < self._message_number:
            return True
        self._stop_owner(self._owner)
        self.reached.set()
        return False


async def interrupt_owner(site, message_number, stop_owner):
    """Stop the owner at a message; return the old and new owner and the job."""
    old = await site.owner()
    interruption = OwnerInterruption(site, old, message_number, stop_owner)
    key = f'interrupted-{stop_owner.__name__}-{message_number}'
    body = job_body(0.4)
    first = asyncio.create_task(site.submit(body, key=key, entry=old))
    await asyncio.wait_for(interruption.reached.wait(), 5)
    expected = ['prepare'] * PREPARES + ['start'] * STARTS + ['confirm']
    assert interruption.kinds == expected[:message_number]
    new = await site.wait_until(lambda: site.owner(excluded=(old,)))
    # The message in transit is delivered after the takeover.
    for relay in site.relays.values():
        relay.release()
    again = await site.submit(body, key=key, entry=new)
    assert again.status_code == 202, again.text
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    return old, new, again.json()['job_id']


async def assert_all_members_ran(site, job_id, new):
    """Check that only the last attempt ran to its end, once on each worker."""

    async def is_finished():
        job = await site.job(job_id, new)
        return job if job['state'] == 'finished' else None

    job = await site.wait_until(is_finished, 15)
    last = f'{job_id}/{job["attempt"]}'
    for counts in await site.start_counts():
        assert counts.get(last) == 1
        assert all(
            count == 1
            for attempt, count in counts.items()
            if attempt.startswith(job_id)
        )
    for _, key, task in await site.tasks():
        if key[0] == job_id:
            assert task['phase'] in ('finished', 'stopped', 'failed')


async def assert_stale_order_is_refused(site):
    """Check that guards refuse orders with the fence of the previous owner."""
    for name in site.guards:
        url = site.settings[name].listen.url
        report = (await site.client.get(f'{url}/v1/report')).json()
        batch = {
            'owner': 'old',
            'fence': report['highest_fence'] - 1,
            'incarnation': report['incarnation'],
            'orders': [
                {'order': 'start', 'job_id': 'any', 'attempt': 1},
            ],
        }
        reply = await site.client.post(f'{url}/v1/orders', json=batch)
        assert reply.json()['reason'] == 'fence_too_low'


# Together, the next two tests interrupt the owner at each of the messages.
async def test_owner_killed_between_messages(tmp_path):
    """Detects a gang that was only partly started when its owner was killed."""
    async with Deployment(tmp_path, entries=2, relays=True) as site:
        for message_number in (2, 5):
            old, new, job_id = await interrupt_owner(
                site, message_number, site.kill
            )
            await assert_all_members_ran(site, job_id, new)
            site.start(old)
        await assert_stale_order_is_refused(site)


async def test_owner_suspended_between_messages(tmp_path):
    """Detects accepted orders of an owner that was replaced while suspended."""
    async with Deployment(tmp_path, entries=2, relays=True) as site:
        for message_number in (1, 3, 4, 6, ORDER_MESSAGES + 1):
            old, new, job_id = await interrupt_owner(
                site, message_number, site.suspend
            )
            site.resume(old)
            await assert_all_members_ran(site, job_id, new)
            assert not await site.owner(excluded=(new,))


async def test_accepted_job_survives_the_loss_of_every_entry(tmp_path):
    """Detects jobs that are kept only in the memory of entries."""
    async with Deployment(tmp_path, entries=2) as site:
        running = (await site.submit(job_body(60))).json()['job_id']
        await site.wait_until_state(running, 'running')
        waiting = (await site.submit(job_body(0.2), key='k')).json()['job_id']
        for name in site.entries:
            site.kill(name)
        stopped_by = time.monotonic() + TASK_LEASE_S + 1
        await asyncio.sleep(TASK_LEASE_S)
        while any(
            task['phase'] == 'running' for _, _, task in await site.tasks()
        ):
            assert time.monotonic() < stopped_by
            await asyncio.sleep(0.1)
        for name in site.entries:
            site.start(name)
        await site.wait_until(site.owner, 15)

        async def runs_again():
            return (await site.job(running))['attempt'] == 2

        await site.wait_until(runs_again)
        await site.wait_until_state(running, 'running')
        assert (await site.job(waiting))['state'] == 'waiting'
        owner = await site.owner()
        await site.call(owner, 'DELETE', f'/{running}')
        await site.wait_until_state(waiting, 'finished')


async def test_planned_stop_transfers_the_ownership(tmp_path):
    """Detects a slow change of owner, or a gang stopped by it."""
    async with Deployment(tmp_path, entries=2) as site:
        job_id = (await site.submit(job_body(2))).json()['job_id']
        await site.wait_until_state(job_id, 'running')
        old = await site.owner()
        site.processes[old].terminate()
        started = time.monotonic()
        new = await site.wait_until(lambda: site.owner(excluded=(old,)))
        assert time.monotonic() - started < 1
        await assert_all_members_ran(site, job_id, new)
        assert (await site.job(job_id, new))['attempt'] == 1
