"""An accepted change reaches every data centre and is never undone."""

import asyncio
import json
from contextlib import asynccontextmanager

import httpx
import pytest

from dragonflynotch.entry.daemon import Entry
from dragonflynotch.entry.server import HttpServer
from dragonflynotch.guard.daemon import Guard
from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.table import MemoryTable, TableApp, TableFault

SITES = (SitePlan('lautoka'), SitePlan('nadi'))
PROPAGATION_LIMIT_S = 5


class DaemonTask:
    """A daemon that runs as a task of the test."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.stop = asyncio.Event()
        self.task = asyncio.create_task(daemon.run(self.stop))

    async def finish(self):
        self.stop.set()
        await self.task


class Cluster:
    def __init__(self):
        self.plan = plan_deployment(SITES, stop_notice_ms=0)
        self.table = MemoryTable()
        self.server = HttpServer(
            TableApp(self.table), self.plan.table.host, self.plan.table.port
        )
        self.client = httpx.AsyncClient(trust_env=False, timeout=10)
        self.entries = []
        self.guards = []

    def start_entries(self):
        self.entries = [DaemonTask(Entry(entry)) for entry in self.plan.entries]

    async def stop_entries(self):
        await asyncio.gather(*(entry.finish() for entry in self.entries))
        self.entries = []

    async def put(self, number, name, expected, **spec):
        document = {
            'schema_version': spec.pop('version', 2),
            'kind': 'workspace',
            'name': name,
            'spec': spec,
        }
        url = self.plan.entries[number].operators.url
        return await self.client.put(
            f'{url}/v1/records/workspace/{name}',
            content=json.dumps(document),
            headers={'If-Match': f'"{expected}"'},
        )

    async def get(self, number, path):
        url = self.plan.entries[number].operators.url
        return await self.client.get(url + path)

    async def wait_for(self, condition, limit_s=PROPAGATION_LIMIT_S):
        async with asyncio.timeout(limit_s):
            while not await self._is_met(condition):
                await asyncio.sleep(0.05)

    async def is_ready(self):
        replies = [
            await self.get(number, '/ready')
            for number in range(len(self.plan.entries))
        ]
        return all(reply.status_code == 200 for reply in replies)

    async def burst_of(self, number):
        reply = await self.get(number, '/v1/records/workspace/resort')
        return reply.json()['spec']['burst']

    async def _is_met(self, condition):
        try:
            return await condition()
        except (httpx.HTTPError, KeyError):
            return False


@asynccontextmanager
async def running_cluster():
    cluster = Cluster()
    cluster.server.start()
    cluster.start_entries()
    cluster.guards = [DaemonTask(Guard(guard)) for guard in cluster.plan.guards]
    try:
        await cluster.wait_for(cluster.is_ready, limit_s=10)
        yield cluster
    finally:
        daemons = [*cluster.entries, *cluster.guards]
        await asyncio.gather(*(daemon.finish() for daemon in daemons))
        await cluster.server.stop()
        await cluster.client.aclose()


async def test_change_is_in_force_in_every_data_centre():
    """Guards against a change that reaches only the entry that accepted it."""
    async with running_cluster() as cluster:
        assert (await cluster.put(0, 'resort', 0, burst=7)).status_code == 200

        async def is_in_force():
            return await cluster.burst_of(1) == 7

        await cluster.wait_for(is_in_force)


async def test_racing_operators_get_one_success_and_one_conflict():
    """Guards against a lost update.

    Two operators change the same revision of a record through two entries.
    """
    async with running_cluster() as cluster:
        await cluster.put(0, 'resort', 0, burst=1)
        replies = await asyncio.gather(
            cluster.put(0, 'resort', 1, burst=2),
            cluster.put(1, 'resort', 1, burst=3),
        )
        codes = sorted(reply.status_code for reply in replies)
        assert codes == [200, 409]
        conflict = max(replies, key=lambda reply: reply.status_code)
        assert conflict.json()['current_revision'] == 2


async def test_configuration_survives_all_entries_in_a_table_outage():
    """Guards against entries that restart with an outdated configuration.

    All entries restart while the table service is down, so they have to read
    the copies at the guards.
    """
    async with running_cluster() as cluster:
        for burst in range(1, 6):
            reply = await cluster.put(0, 'resort', burst - 1, burst=burst)
            assert reply.status_code == 200
        await asyncio.sleep(1.5)
        cluster.table.fault = TableFault.down
        await cluster.stop_entries()
        cluster.start_entries()
        await cluster.wait_for(cluster.is_ready, limit_s=10)
        assert await cluster.burst_of(0) == 5
        assert await cluster.burst_of(1) == 5
        refused = await cluster.put(0, 'resort', 5, burst=9)
        assert refused.status_code == 503
        assert refused.json()['outcome'] == 'not_run'


async def test_entry_without_a_current_copy_stays_not_ready():
    """Guards against serving with an outdated configuration.

    The entries restart while the table service is down, and the guards with
    the copies are gone.
    """
    async with running_cluster() as cluster:
        await cluster.put(0, 'resort', 0, burst=1)
        cluster.table.fault = TableFault.down
        await cluster.stop_entries()
        guards, cluster.guards = cluster.guards, []
        await asyncio.gather(*(guard.finish() for guard in guards))
        cluster.start_entries()
        await asyncio.sleep(2)
        assert not await cluster.is_ready()
        cluster.table.fault = TableFault.none
        await cluster.wait_for(cluster.is_ready)
        assert await cluster.burst_of(0) == 1


async def test_lost_write_answer_is_accepted_once():
    """Guards against a committed change that is reported as failed.

    The table service commits the change but its answer is lost.
    """
    async with running_cluster() as cluster:
        cluster.table.fault = TableFault.lose_answers
        reply = await cluster.put(0, 'resort', 0, burst=4)
        assert reply.status_code == 200
        assert reply.json()['revision'] == 1


@pytest.mark.parametrize(
    ('spec', 'reason'),
    [
        (
            {'guarantees': {'lautoka': [{'accelerators': 16}]}},
            'guarantee_does_not_fit',
        ),
        ({'burst': 0}, 'invalid'),
    ],
)
async def test_record_that_cannot_hold_is_refused(spec, reason):
    """Guards against accepting a guarantee that the hardware cannot honour.

    Values outside the valid range are refused, too.
    """
    async with running_cluster() as cluster:
        await asyncio.sleep(1)
        reply = await cluster.put(0, 'resort', 0, **spec)
        assert reply.status_code in {400, 422}
        assert reply.json()['reason'] == reason
