"""Entries and guards as processes; stand-ins run in the test process."""

import hashlib
import json
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

import httpx
import msgspec
from msgspec.structs import replace

from dragonflynotch.entry.server import HttpServer
from dragonflynotch.records.settings import Address
from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.object_store import (
    MemoryObjectStore,
    ObjectStoreApp,
)
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.table import MemoryTable, TableApp, TableFault
from tests.processes import DaemonProcess, LoopThread, wait_until
from tests.raw_minion import RawMinion
from tests.relay import Relay, RelayMode

HOST = '127.0.0.1'
TOKEN = 'resort-token'
CLASSES = {
    'default': {'priority': 100},
    'checklist': {'priority': 1},
    'photo-check': {'priority': 900},
}


@dataclass(frozen=True)
class Reply:
    """Answer that a caller received; status 0 for a lost connection."""

    status: int
    body: bytes
    headers: httpx.Headers
    elapsed_s: float

    @property
    def problem(self):
        is_problem = self.status not in {0, 200}
        return json.loads(self.body) if is_problem else {}

    @property
    def outcome(self):
        return self.problem.get('outcome', 'answer' if self.status else 'lost')

    @property
    def reason(self):
        return self.problem.get('reason', '')


class Cluster:
    """Deployment in one data centre.

    Relays forward the connections from entries to guards and from guards to
    minions.
    """

    def __init__(
        self, directory, *, entries=1, guards=2, slots=8, **guard_changes
    ):
        self.plan = plan_deployment(
            (SitePlan('lautoka', entries=entries, guards=guards),)
        )
        self.loop = LoopThread()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.minions = []
        self.guard_relays = []
        self.minion_relays = []
        self._directory = directory
        self._servers = []
        self._pool = ThreadPoolExecutor(64)
        self._client = httpx.Client(
            trust_env=False,
            timeout=30,
            limits=httpx.Limits(max_connections=None),
        )
        self.guards = [
            self._add_guard(guard, slots, guard_changes)
            for guard in self.plan.guards
        ]
        self.entries = [
            self._create_process('entry', entry.entry_id, entry)
            for entry in self.plan.entries
        ]

    @property
    def runs(self):
        return sum((minion.runs for minion in self.minions), start=Counter())

    def start(self):
        self.loop.call(self._start_stand_ins())
        for daemon in (*self.entries, *self.guards):
            daemon.start()
        self._wait_for_entries()
        self.put_workspace(0)
        self._wait_for_members()

    def close(self):
        self._pool.shutdown(cancel_futures=True)
        for daemon in (*self.entries, *self.guards):
            daemon.close()
        self.loop.call(self._stop_stand_ins())
        self.loop.close()
        self._client.close()

    def restore(self):
        """Clear all faults, restart stopped daemons and wait for all guards."""
        self.table.fault = TableFault.none
        self.table.delay_s = 0
        for daemon in (*self.guards, *self.entries):
            daemon.resume()
        has_minion_faults = any(minion.fault for minion in self.minions)
        for minion in self.minions:
            minion.fault = ''
            minion.delay_s = 0
        for relay in (*self.guard_relays, *self.minion_relays):
            relay.mode = RelayMode.forward
        for entry in self.entries:
            if not entry.is_running:
                entry.start()
        self._wait_for_entries()
        self._restart_guards(restart_all=has_minion_faults)

    def _restart_guards(self, *, restart_all):
        # A restart gives a guard a new incarnation, which ends its ejection.
        stopped = set()
        for guard, settings in zip(
            self.guards, self._guard_settings, strict=True
        ):
            if restart_all or not guard.is_running:
                stopped.add(settings.guard_id)
                guard.close()
        old_incarnations = {
            guard['incarnation']
            for guard in self.members()
            if guard['guard'] in stopped
        }
        for guard in self.guards:
            if not guard.is_running:
                guard.start()
        self._wait_for_members(old_incarnations)

    def _wait_for_entries(self):
        for number, _ in enumerate(self.entries):
            wait_until(partial(self.is_ready, number), message='ready')

    def _wait_for_members(self, old_incarnations=frozenset()):
        for number, _ in enumerate(self.entries):
            wait_until(
                partial(self._knows_all_guards, number, old_incarnations),
                message='all guards are members',
            )

    def _knows_all_guards(self, number, old_incarnations):
        ready = [
            guard
            for guard in self.members(number)
            if guard['is_ready']
            and guard['incarnation'] not in old_incarnations
        ]
        return len(ready) == len(self.guards)

    def members(self, number=0):
        url = self.plan.entries[number].operators.url
        return self._client.get(f'{url}/v1/status').json()['guards']

    def is_ready(self, number=0):
        url = self.plan.entries[number].callers.url
        try:
            return self._client.get(f'{url}/ready').status_code == 200
        except httpx.HTTPError:
            return False

    def put_workspace(self, revision, **limits):
        spec = {
            'token_digests': [hashlib.sha256(TOKEN.encode()).hexdigest()],
            'classes': CLASSES,
            'requests_per_second': 5000,
            'burst': 5000,
            **limits,
        }
        record = {
            'schema_version': 2,
            'kind': 'workspace',
            'name': 'resort',
            'spec': spec,
        }
        url = self.plan.entries[0].operators.url
        reply = self._client.put(
            f'{url}/v1/records/workspace/resort',
            content=json.dumps(record),
            headers={'If-Match': f'"{revision}"'},
        )
        assert reply.status_code == 200, reply.text

    def send(
        self,
        body=None,
        *,
        entry=0,
        key=None,
        idempotent=False,
        first=False,
        deadline_ms=8000,
        **headers,
    ):
        """Send one request as a caller and return the answer."""
        unique_id = uuid.uuid4().hex
        url = self.plan.entries[entry].callers.url
        started = time.monotonic()
        try:
            reply = self._client.post(
                f'{url}/v1/workspaces/resort/requests',
                content=unique_id.encode() if body is None else body,
                headers={
                    'Authorization': f'Bearer {TOKEN}',
                    'Idempotency-Key': key or unique_id,
                    'Request-Idempotent': str(idempotent).lower(),
                    'Request-First-Attempt': str(first).lower(),
                    'Request-Deadline-Ms': str(deadline_ms),
                    **{
                        name.replace('_', '-'): text
                        for name, text in headers.items()
                    },
                },
            )
        except httpx.HTTPError:
            elapsed_s = time.monotonic() - started
            return Reply(0, b'', httpx.Headers(), elapsed_s)
        elapsed_s = time.monotonic() - started
        return Reply(reply.status_code, reply.content, reply.headers, elapsed_s)

    def submit(self, body=None, **arguments):
        """Send a request in a thread and return its future."""
        return self._pool.submit(self.send, body, **arguments)

    async def _start_stand_ins(self):
        servers = (
            HttpServer(TableApp(self.table), HOST, self.plan.table.port),
            HttpServer(
                ObjectStoreApp(self.objects), HOST, self.plan.object_store.port
            ),
        )
        for server in servers:
            server.start()
            self._servers.append(server)
        for guard, minion, guard_relay, minion_relay in self._guard_links:
            await minion.start(HOST, minion.port)
            await guard_relay.start(HOST, guard.advertise.port)
            await minion_relay.start(HOST, guard.minion.address.port)

    async def _stop_stand_ins(self):
        for server in self._servers:
            await server.stop()
        for _, *servers in self._guard_links:
            for server in servers:
                await server.stop()

    @property
    def _guard_links(self):
        return zip(
            self._guard_settings,
            self.minions,
            self.guard_relays,
            self.minion_relays,
            strict=True,
        )

    def _add_guard(self, guard, slots, guard_changes):
        if not self.minions:
            self._guard_settings = []
        advertised_port, minion_port = free_ports(2)
        settings = replace(
            guard,
            worker=None,
            advertise=Address(HOST, advertised_port),
            minion=replace(guard.minion, slots=slots),
            **guard_changes,
        )
        minion = RawMinion(guard.minion.minion_id)
        minion.port = minion_port
        self.minions.append(minion)
        self.guard_relays.append(Relay(guard.listen.host_and_port))
        self.minion_relays.append(Relay((HOST, minion_port)))
        self._guard_settings.append(settings)
        return self._create_process('guard', guard.guard_id, settings)

    def _create_process(self, role, name, settings):
        path = self._directory / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        return DaemonProcess(
            f'dragonflynotch.{role}', path, self._directory / f'{name}.log'
        )
