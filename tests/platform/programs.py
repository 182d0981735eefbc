"""Runs the platform programs as processes against a simulated platform."""

import asyncio
import os
import signal
import sys
from datetime import timedelta

import msgspec

from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.links.http11 import exchange
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.platform.settings import SETTINGS_VARIABLE
from dragonflynotch.testing.loopback_proxy import LoopbackProxy
from dragonflynotch.testing.platform_site import PlatformSite
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.site_minion import SiteMinion
from dragonflynotch.testing.site_process import SiteProcess

SERVICE = 'planner'
KEY = ('Dragonflynotch-Credential', 'key')
HOST = ('Host', 'site.example')
CALL_TIMEOUT = timedelta(seconds=3)


def free_address():
    """Return an address with a free port of the loopback interface."""
    [port] = free_ports(1)
    return '127.0.0.1', port


class PlatformPrograms:
    """Two ``front`` and two ``side`` processes, and a minion for each side."""

    def __init__(self, folder, run_duration_ms=400):
        self.site = PlatformSite(free_address())
        self.caller_addresses = {}
        self.readiness_addresses = {}
        self.minions = {}
        # Links of the side programs to the store.
        self.store_links = {}
        self.log_paths = {}
        self._folder = folder
        self._run_duration_ms = run_duration_ms
        self._processes = {}

    async def start(self):
        await self.site.start()
        await self.site.put_configuration(1, SERVICE)
        for name in ('front-1', 'front-2'):
            self.caller_addresses[name] = free_address()
            self.readiness_addresses[name] = free_address()
            self._add_process(
                name,
                {
                    'listen.front': _host_and_port(self.caller_addresses[name]),
                    'listen.ready': _host_and_port(
                        self.readiness_addresses[name]
                    ),
                },
            )
            await self.start_program(name)
        for number in (1, 2):
            await self._start_side(f'side-{number}', f'i-{number}')
        for name in self.readiness_addresses:
            await self.wait_until_ready(name)

    async def stop(self):
        for name in list(self._processes):
            await self.kill(name)
        for minion in self.minions.values():
            await minion.stop()
        for link in self.store_links.values():
            await link.stop()
        await self.site.stop()

    async def start_program(self, name):
        await self._processes[name].start()

    async def kill(self, name):
        await self._processes[name].kill()

    def change_settings(self, name, old, new):
        """Replace text in the settings file of a program and signal it."""
        path = self._folder / f'{name}.conf'
        path.write_text(path.read_text().replace(old, new))
        self._processes[name].send(signal.SIGHUP)

    async def print_evacuations(self, name):
        """Return the output of the command for evacuations."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dragonflynotch.platform',
            'evacuations',
            env={
                **os.environ,
                SETTINGS_VARIABLE: str(self._folder / f'{name}.conf'),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        async with asyncio.timeout(15):
            output, _ = await process.communicate()
        return process.returncode, output.decode()

    def clear_log(self, name):
        self.log_paths[name].write_text('')

    async def wait_for_log(self, name, text, timeout_s=5):
        async with asyncio.timeout(timeout_s):
            while text not in self.log_paths[name].read_text():
                await asyncio.sleep(0.05)

    async def terminate(self, name):
        return await self._processes[name].terminate()

    async def call(self, name, method, path, body=b'', headers=(HOST, KEY)):
        """Return the status and the decoded body of the response."""
        reply = await exchange(
            self.caller_addresses[name],
            method,
            path,
            headers=[pair for pair in headers if pair[0] != 'Host'],
            body=body,
            timeout=CALL_TIMEOUT,
            max_body_bytes=65_536,
            host=dict(headers).get('Host'),
        )
        return reply.status, msgspec.json.decode(reply.body or b'{}')

    def open_connection(self, name):
        """Return a client that keeps its connection to a front open."""
        return HttpPool(self.caller_addresses[name], host=HOST[1])

    async def submit(self, name, job_id, count=1):
        job = {
            'spec': 'text',
            'steps': [{'count': count, 'cpu': 1000, 'gpu': 1}],
        }
        return await self.call(
            name, 'POST', f'/queue/{job_id}', msgspec.json.encode(job)
        )

    async def wait_for_state(self, name, job_id, state, timeout_s=20):
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    response = await self.call(name, 'GET', f'/queue/{job_id}')
                except DragonflynotchError as error:
                    response = (0, str(error))
                if response == (200, {'state': state}):
                    return
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, name, timeout_s=15):
        await self.wait_for_readiness(name, 200, timeout_s)

    async def wait_for_readiness(self, name, status, timeout_s):
        """Wait until the readiness check answers with a status."""
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    reply = await exchange(
                        self.readiness_addresses[name],
                        'GET',
                        '/dragonflynotch/readiness',
                        timeout=CALL_TIMEOUT,
                        max_body_bytes=100,
                    )
                except DragonflynotchError:
                    reply = None
                if reply is not None and reply.status == status:
                    return
                await asyncio.sleep(0.05)

    async def _start_side(self, name, minion_id):
        heartbeat_address = free_address()
        minion_address = free_address()
        link = LoopbackProxy(free_address(), self.site.address)
        self.store_links[name] = link
        await link.start()
        self._add_process(
            name,
            {
                'listen.control': _host_and_port(heartbeat_address),
                'platform.address': _host_and_port(link.address),
                'app': _host_and_port(minion_address),
                'service': SERVICE,
            },
        )
        await self.start_program(name)
        minion = SiteMinion(
            self.site,
            minion_id,
            SERVICE,
            minion_address,
            heartbeat_address,
            self._run_duration_ms,
        )
        self.minions[minion_id] = minion
        await minion.start()

    def _add_process(self, name, fields):
        [port] = free_ports(1)
        settings = self.site.write_settings(
            self._folder / f'{name}.conf',
            name,
            {'port_range': f'{port},{port}', **fields},
        )
        self.log_paths[name] = self._folder / f'{name}.log'
        self._processes[name] = SiteProcess(
            name, settings, self.log_paths[name]
        )


def _host_and_port(address):
    return '{}:{}'.format(*address)
