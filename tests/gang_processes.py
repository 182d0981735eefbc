"""Entries, guards and stand-ins as separate processes on loopback."""

import asyncio
import hashlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpx
import msgspec

from dragonflynotch.records.settings import (
    Address,
    OwnershipSettings,
    SchedulingSettings,
    TaskSettings,
)
from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.ports import free_ports

SITE = 'lautoka'
TOKEN = 'secret'
TASK_LEASE_S = 3.0
MAX_WAITING_JOBS = 20
OWNERSHIP = OwnershipSettings(
    lease_ms=1500,
    renewal_ms=300,
    confirmation_ms=1000,
    grant_ms=3000,
    received_grant_ms=2500,
    task_lease_ms=3000,
)
SCHEDULING = SchedulingSettings(
    prepare_timeout_ms=2500,
    start_confirmation_ms=2500,
    checkpoint_bound_ms=1000,
    stop_bound_ms=1000,
    task_lease_ms=3000,
    checkpoint_interval_ms=300,
)
TASKS = TaskSettings(
    task_lease_ms=3000,
    start_confirmation_ms=2500,
    worker_poll_ms=50,
    worker_idle_poll_ms=200,
    worker_silence_ms=800,
    worker_timeout_ms=300,
)


def job_body(seconds, accelerators=24, proximity='rack', **program):
    command = json.dumps({'seconds': seconds, **program})
    return {
        'kind': 'recut',
        'shape': {'accelerators': accelerators, 'proximity': proximity},
        'command': command,
    }


class OrderRelay:
    """TCP relay to a guard that can hold back order messages.

    ``on_order`` receives the kind of each order message and returns whether to
    forward it at once. Otherwise it is held until ``release`` is called.
    """

    def __init__(self, port, target, on_order):
        self.port = port
        self._target = target
        self._on_order = on_order
        self._released = asyncio.Event()
        self._released.set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def hold(self):
        self._released.clear()

    def release(self):
        self._released.set()

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            guard_streams = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        answers = asyncio.create_task(
            self._copy_answers(guard_streams[0], writer)
        )
        try:
            while chunk := await reader.read(65536):
                await self._hold_if_order(chunk)
                guard_streams[1].write(chunk)
        except OSError:
            pass
        finally:
            answers.cancel()
            guard_streams[1].transport.abort()
            writer.transport.abort()

    async def _hold_if_order(self, chunk):
        for kind in ('prepare', 'start', 'confirm'):
            if f'"order":"{kind}"'.encode() in chunk:
                if not self._on_order(kind):
                    self.hold()
                    await self._released.wait()
                return

    async def _copy_answers(self, reader, writer):
        while chunk := await reader.read(65536):
            writer.write(chunk)


class Deployment:
    """Deployment of one data centre, as an asynchronous context manager."""

    def __init__(self, folder: Path, entries=1, guards=3, relays=False):
        self.folder = folder
        self.plan = plan_deployment((SitePlan(SITE, entries, guards),))
        self.settings = {
            entry.entry_id: msgspec.structs.replace(
                entry,
                ownership=OWNERSHIP,
                scheduling=SCHEDULING,
                stop_notice_ms=50,
            )
            for entry in self.plan.entries
        }
        ports = free_ports(guards if relays else 0)
        self.relays = {}
        self.on_order = lambda kind: True
        for number, guard in enumerate(self.plan.guards):
            advertise = None
            if relays:
                advertise = Address('127.0.0.1', ports[number])
                self.relays[guard.guard_id] = OrderRelay(
                    ports[number],
                    guard.listen.host_and_port,
                    lambda kind: self.on_order(kind),
                )
            self.settings[guard.guard_id] = msgspec.structs.replace(
                guard,
                minion=None,
                tasks=TASKS,
                advertise=advertise,
                drain_notice_ms=500,
            )
        self.processes = {}
        self.client = httpx.AsyncClient(
            trust_env=False,
            timeout=8,
            headers={'Authorization': f'Bearer {TOKEN}'},
        )

    async def __aenter__(self):
        for relay in self.relays.values():
            await relay.start()
        self._start_stand_ins()
        await self.wait_until(self._are_stand_ins_up, 10)
        for name in self.settings:
            self.start(name)
        try:
            await self.wait_until(self._register_workspace, 15)
            await self.wait_until(self.owner, 15)
            await self.wait_until(self._run_job_on_all_workers, 10)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for relay in self.relays.values():
            relay.release()
            relay.close()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(timeout=5)
        await self.client.aclose()

    def start(self, name):
        path = self.folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(self.settings[name]))
        role = 'guard' if '-guard-' in name else 'entry'
        self._spawn(name, f'dragonflynotch.{role}', path)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait(timeout=5)

    def send_signal(self, name, signal_number):
        os.kill(self.processes[name].pid, signal_number)

    def suspend(self, name):
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.send_signal(name, signal.SIGCONT)

    @property
    def entries(self):
        return [name for name in self.settings if '-entry-' in name]

    @property
    def guards(self):
        return [name for name in self.settings if '-guard-' in name]

    async def wait_until(self, condition, limit_s=10):
        """Poll ``condition`` until it is true and return its result."""
        deadline = time.monotonic() + limit_s
        while True:
            result = await condition()
            if result:
                return result
            assert time.monotonic() < deadline, (
                f'{condition} not met in {limit_s} s'
            )
            await asyncio.sleep(0.05)

    async def call(self, entry, method, path='', **arguments):
        url = self.settings[entry].callers.url
        return await self.client.request(
            method, f'{url}/v1/workspaces/resort/jobs{path}', **arguments
        )

    async def owner(self, excluded=()):
        """Return the entry that owns the partition, or an empty string."""
        for name in self.entries:
            if name in excluded:
                continue
            url = self.settings[name].operators.url
            try:
                reply = await self.client.get(f'{url}/v1/status', timeout=0.5)
            except httpx.HTTPError:
                continue
            if reply.json()['is_deciding']:
                return name
        return ''

    async def submit(self, body, key='', entry=None):
        entry = entry or await self.owner()
        headers = {'Idempotency-Key': key} if key else {}
        return await self.call(entry, 'POST', json=body, headers=headers)

    async def job(self, job_id, entry=None):
        entry = entry or await self.owner()
        if not entry:
            return {'state': 'unknown'}
        try:
            reply = await self.call(entry, 'GET', f'/{job_id}')
        except httpx.HTTPError:
            return {'state': 'unknown'}
        return {'state': 'unknown', **reply.json()}

    async def wait_until_state(self, job_id, state, limit_s=15):
        async def has_state():
            job = await self.job(job_id)
            return job if job['state'] == state else None

        return await self.wait_until(has_state, limit_s)

    async def set_table(self, fault, delay_s=0):
        await self.client.post(
            f'{self.plan.table.url}/fault',
            json={'fault': fault, 'delay_s': delay_s},
        )

    async def set_worker(self, number, **faults):
        url = self.plan.guards[number].worker.address.url
        await self.client.post(f'{url}/fault', json=faults)

    async def start_counts(self):
        """Return the start counts of each job and attempt, for each worker."""
        counts = []
        for guard in self.plan.guards:
            reply = await self.client.get(f'{guard.worker.address.url}/counts')
            counts.append(reply.json())
        return counts

    async def tasks(self):
        """Return the tasks on all workers as (guard, (job, attempt), task)."""
        found = []
        for guard in self.plan.guards:
            reply = await self.client.post(
                f'{guard.worker.address.url}/v1/tasks', json={}
            )
            found.extend(
                (guard.guard_id, (each['job_id'], each['attempt']), each)
                for each in reply.json()['tasks']
            )
        return found

    async def _register_workspace(self):
        """Write the workspace record; return whether every entry knows it."""
        record = {
            'schema_version': 2,
            'kind': 'workspace',
            'name': 'resort',
            'spec': {
                'token_digests': [hashlib.sha256(TOKEN.encode()).hexdigest()],
                'max_waiting_jobs': MAX_WAITING_JOBS,
            },
        }
        try:
            for name in self.entries:
                url = self.settings[name].operators.url
                await self.client.put(
                    f'{url}/v1/records/workspace/resort',
                    json=record,
                    headers={'If-Match': '"0"'},
                )
            replies = [await self.call(name, 'GET') for name in self.entries]
        except httpx.HTTPError:
            return False
        return all(reply.status_code != 403 for reply in replies)

    async def _are_stand_ins_up(self):
        try:
            await self.start_counts()
        except httpx.HTTPError:
            return False
        return True

    async def _run_job_on_all_workers(self):
        body = job_body(0.01, accelerators=8 * len(self.guards))
        reply = await self.submit(body)
        if reply.status_code != 202:
            return False
        await self.wait_until_state(reply.json()['job_id'], 'finished')
        return True

    def _start_stand_ins(self):
        ports = {'table': self.plan.table.port}
        for guard in self.plan.guards:
            ports[guard.worker.worker_id] = guard.worker.address.port
        path = self.folder / 'ports.json'
        path.write_bytes(msgspec.json.encode(ports))
        self._spawn('stand-ins', 'tests.gang_stand_ins', path)

    def _spawn(self, name, module, path):
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, str(path)],
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parent.parent,
            )
