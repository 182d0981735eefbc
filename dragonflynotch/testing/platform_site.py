"""Stand-in for the row store and machine list of the users' platform.

Implements the platform's HTTP interface, so that the programs of a deployment
can run against it as separate processes.
"""

import asyncio
import base64
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.rows import (
    Committed,
    HistoryLost,
    RowName,
    RowWrite,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http_server import HttpServer
from dragonflynotch.testing.machines import (
    MemoryMachineDirectory,
    SiteMachine,
)
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.row_store import MemoryRowStore

__all__ = ('PlatformSite', 'SiteQueue')

_JSON = {'Content-Type': 'application/json'}
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
# Leaves open whether the call was carried out.
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_MAX_PAGE_ROWS = 500
_MAX_PAGE_MACHINES = 100
_PATH_PREFIX = '/dragonflynotch/'


@dataclass(frozen=True, slots=True)
class SiteQueue:
    """A queue in the configuration."""

    name: str
    priority: int = 1
    max_attempts: int = 2


class PlatformSite:
    """Row store and list of machines, with the operator's configuration.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which the store listens.
    runs : RunLog, optional
        Records the starts and ends of runs on all minions.

    Attributes
    ----------
    machines : MemoryMachineDirectory
        Machines in the list.
    max_page_machines : int
        Machines on a page of the list.
    """

    def __init__(
        self, address: tuple[str, int], runs: RunLog | None = None
    ) -> None:
        """Create the store; ``start`` begins to serve requests."""
        self.address = address
        self.clock = BootClock()
        self.store = MemoryRowStore(self.clock)
        self.runs = RunLog() if runs is None else runs
        self.machines = MemoryMachineDirectory()
        self.max_page_machines = _MAX_PAGE_MACHINES
        self._server = HttpServer(address, self._answer)
        self._server_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving requests."""
        self._server_task = asyncio.create_task(self._server.run())
        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop serving requests."""
        self._server.stop()
        if self._server_task is not None:
            await asyncio.gather(self._server_task, return_exceptions=True)

    async def put_configuration(self, version: int, service: str) -> None:
        """Write a configuration with one queue and one workspace."""
        await self.put_queues(
            version, service, [SiteQueue('queue')], guaranteed=0
        )

    async def put_queues(
        self,
        version: int,
        service: str,
        queues: Sequence[SiteQueue],
        guaranteed: int,
    ) -> None:
        """Write a configuration with these queues and one workspace.

        Parameters
        ----------
        guaranteed : int
            Accelerators guaranteed to the workspace's urgent jobs.
        """
        routes: list[dict[str, object]] = [
            {
                'name': queue.name,
                'host': 'site.example',
                'prefix': f'/{queue.name}/',
                'service': service,
                'priority': queue.priority,
                'max_attempts': queue.max_attempts,
                'stretch': 3,
                'target_latency_ms': 1000,
            }
            for queue in queues
        ]
        routes.append({'name': 'unreadable', 'host': 5})
        tenant = {
            'name': 'team',
            'api_keys': ['key'],
            'guaranteed': {'gpu': guaranteed},
        }
        content = msgspec.json.encode(
            {
                'version': version,
                'routes': routes,
                'services': [{'name': service}],
                'tenants': [tenant],
                'unknown': True,
            }
        )
        await self.store.commit(
            [RowWrite(RowName('op', '', 'config'), content)], []
        )

    def write_settings(
        self, path: Path, node: str, listen: dict[str, str]
    ) -> Path:
        """Write the settings file of a process and return its path.

        Parameters
        ----------
        listen : dict of str to str
            Additional fields, for example ``listen.front``.
        """
        fields = {
            'node': node,
            'ip': '127.0.0.1',
            'zone': 'hall-a',
            'platform.address': '{}:{}'.format(*self.address),
            'cloud.address': '{}:{}'.format(*self.address),
            'cloud.rate_per_s': '60',
            'bounds.hold_max_ms': '6000',
            'bounds.stop_ms': '200',
            **listen,
        }
        path.write_text(
            ''.join(f'{name}={text}\n' for name, text in fields.items())
        )
        return path

    async def _answer(self, call: HttpCall) -> Reply:
        try:
            match call.path.removeprefix(_PATH_PREFIX):
                case 'rows-tx':
                    return await self._commit(call)
                case 'rows-get':
                    return await self._read(call)
                case 'rows-feed':
                    return await self._feed(call)
                case 'machines':
                    return self._list_machines(call)
        except PlatformUnavailableError:
            return Reply(_UNAVAILABLE)
        except UncertainWriteError:
            return Reply(_BAD_GATEWAY)
        return Reply(_NOT_FOUND)

    async def _commit(self, call: HttpCall) -> Reply:
        body = msgspec.json.decode(call.body)
        writes = [
            RowWrite(_row_name(row), base64.b64decode(row['value']))
            for row in body['puts']
        ]
        writes.extend(RowWrite(_row_name(row), None) for row in body['remove'])
        conditions = [
            (_row_name(row), row.get('ver', 0)) for row in body['expected_rev']
        ]
        outcome = await self.store.commit(writes, conditions)
        if isinstance(outcome, Committed):
            return self._reply(_OK, outcome.version, [])
        found = [
            _wire_row(name.key, row.content, row.version, name)
            for name, row in outcome.current_rows.items()
        ]
        return self._reply(_CONDITION_FAILED, 0, found)

    async def _read(self, call: HttpCall) -> Reply:
        query = call.query
        snapshot = await self.store.read(
            query['table'],
            query.get('part', ''),
            query.get('from', ''),
            query.get('target', ''),
        )
        limit = min(int(query.get('limit', _MAX_PAGE_ROWS)), _MAX_PAGE_ROWS)
        name = RowName(query['table'], query.get('part', ''), '')
        rows = [
            _wire_row(row.key, row.content, row.version, name)
            for row in snapshot.rows[:limit]
        ]
        return self._reply(
            _OK,
            snapshot.version,
            rows,
            is_truncated=len(snapshot.rows) > limit,
        )

    async def _feed(self, call: HttpCall) -> Reply:
        query = call.query
        answer = await self.store.changes(
            query['table'],
            int(query['after']),
            timedelta(milliseconds=int(query['wait_ms'])),
        )
        if isinstance(answer, HistoryLost):
            return Reply(_GONE)
        name = RowName(query['table'], '', '')
        rows = [
            _wire_row(row.key, row.content, row.version, name)
            for row in answer.rows
        ]
        return self._reply(_OK, answer.version, rows)

    def _list_machines(self, call: HttpCall) -> Reply:
        """Return a page; its token is the number of its first entry."""
        self.machines.call_count += 1
        if not self.machines.is_available:
            return Reply(_UNAVAILABLE)
        machines = self.machines.machines
        first = int(call.query.get('page_token', '0'))
        end = first + self.max_page_machines
        body = {
            'machines': [
                _wire_machine(machine) for machine in machines[first:end]
            ],
            'next_token': str(end) if end < len(machines) else None,
        }
        return Reply(_OK, msgspec.json.encode(body), _JSON)

    def _reply(
        self,
        status: int,
        version: int,
        rows: Iterable[dict[str, object]],
        *,
        is_truncated: bool = False,
    ) -> Reply:
        body = {
            'ver': version,
            'now_ms': self.clock.now_ms(),
            'rows': list(rows),
            'truncated': is_truncated,
        }
        return Reply(status, msgspec.json.encode(body), _JSON)


def _row_name(row: dict[str, str]) -> RowName:
    return RowName(row['table'], row.get('part', ''), row['key'])


def _wire_machine(machine: SiteMachine) -> dict[str, object]:
    row: dict[str, object] = {
        'machine': machine.name,
        'pool': machine.service,
        'state': 'up' if machine.is_up else 'down',
        'zone': 'hall-a',
    }
    if machine.is_up:
        row['id'] = machine.minion_id
    return row


def _wire_row(
    key: str, content: bytes | None, version: int, name: RowName
) -> dict[str, object]:
    row: dict[str, object] = {
        'table': name.table,
        'part': name.part,
        'key': key,
        'ver': version,
    }
    if content is None:
        row['deleted'] = True
    else:
        row['value'] = base64.b64encode(content).decode()
    return row
