"""The programs of the deployment as processes against the stand-in."""

import asyncio
from datetime import timedelta

import msgspec

from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.links.http11 import exchange
from dragonflynotch.testing.platform_site import PlatformSite
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.site_minion import SiteMinion
from dragonflynotch.testing.site_process import SiteProcess

SERVICE = 'planner'
KEY = ('Dragonflynotch-Credential', 'key')
HOST = ('Host', 'site.example')
CALL = timedelta(seconds=3)


def loopback():
    [port] = free_ports(1)
    return '127.0.0.1', port


class Programs:
    """Two fronts and two sides with their minions."""

    def __init__(self, folder, duration_ms=400):
        self.site = PlatformSite(loopback())
        self.fronts = {}
        self.ready = {}
        self.minions = {}
        self.logs = {}
        self._folder = folder
        self._duration_ms = duration_ms
        self._processes = {}

    async def start(self):
        await self.site.start()
        await self.site.put_configuration(1, SERVICE)
        for name in ('front-1', 'front-2'):
            self.fronts[name] = loopback()
            self.ready[name] = loopback()
            self._write(
                name,
                {
                    'listen.front': _text(self.fronts[name]),
                    'listen.ready': _text(self.ready[name]),
                },
            )
            await self.start_program(name)
        for number in (1, 2):
            await self._start_side(f'side-{number}', f'i-{number}')
        for name in self.ready:
            await self.wait_until_ready(name)

    async def stop(self):
        for name in list(self._processes):
            await self.kill(name)
        for minion in self.minions.values():
            await minion.stop()
        await self.site.stop()

    async def start_program(self, name):
        await self._processes[name].start()

    async def kill(self, name):
        await self._processes[name].kill()

    async def terminate(self, name):
        return await self._processes[name].terminate()

    async def call(self, name, method, path, body=b'', headers=(HOST, KEY)):
        """Return the status and the body of an answer."""
        reply = await exchange(
            self.fronts[name],
            method,
            path,
            headers=[pair for pair in headers if pair[0] != 'Host'],
            body=body,
            timeout=CALL,
            max_body_bytes=65_536,
            host=dict(headers).get('Host'),
        )
        return reply.status, msgspec.json.decode(reply.body or b'{}')

    async def submit(self, name, job_id, count=1):
        job = {
            'spec': 'text',
            'steps': [{'count': count, 'cpu': 1000, 'gpu': 1}],
        }
        return await self.call(
            name, 'POST', f'/queue/{job_id}', msgspec.json.encode(job)
        )

    async def wait_for_state(self, name, job_id, state, limit_s=20):
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    answer = await self.call(name, 'GET', f'/queue/{job_id}')
                except DragonflynotchError as error:
                    answer = (0, str(error))
                if answer == (200, {'state': state}):
                    return
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, name, limit_s=15):
        async with asyncio.timeout(limit_s):
            while True:
                try:
                    reply = await exchange(
                        self.ready[name],
                        'GET',
                        '/dragonflynotch/readiness',
                        timeout=CALL,
                        max_body_bytes=100,
                    )
                except DragonflynotchError:
                    reply = None
                if reply is not None and reply.status == 200:
                    return
                await asyncio.sleep(0.05)

    async def _start_side(self, name, minion_id):
        guard = loopback()
        address = loopback()
        self._write(
            name,
            {
                'listen.control': _text(guard),
                'app': _text(address),
                'service': SERVICE,
            },
        )
        await self.start_program(name)
        minion = SiteMinion(
            self.site, minion_id, SERVICE, address, guard, self._duration_ms
        )
        self.minions[minion_id] = minion
        await minion.start()

    def _write(self, name, fields):
        [port] = free_ports(1)
        settings = self.site.write_settings(
            self._folder / f'{name}.conf',
            name,
            {'port_range': f'{port},{port}', **fields},
        )
        self.logs[name] = self._folder / f'{name}.log'
        self._processes[name] = SiteProcess(name, settings, self.logs[name])


def _text(address):
    return '{}:{}'.format(*address)
