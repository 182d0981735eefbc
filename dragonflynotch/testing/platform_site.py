"""Stand-in of the users' platform over HTTP: store, minions and settings.

It speaks the wire of the platform, so that the programs of the deployment run
against it as separate processes, without the users' bench.
"""

import asyncio
import base64
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from dragonflynotch.control.clocks import BootClock, SteadyClock
from dragonflynotch.control.minions import (
    MinionState,
    StartRefused,
    StartRequest,
)
from dragonflynotch.control.rows import (
    Committed,
    HistoryLost,
    RowName,
    RowWrite,
)
from dragonflynotch.core.errors import (
    DragonflynotchError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http11 import exchange
from dragonflynotch.links.http_server import HttpServer
from dragonflynotch.testing.minion_model import (
    MinionFault,
    MinionModel,
    RunLog,
)
from dragonflynotch.testing.row_store import MemoryRowStore

__all__ = ('PlatformSite', 'SiteMinion', 'SiteQueue')

_JSON = {'Content-Type': 'application/json'}
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_CONDITION_FAILED = 412
_OTHER_INCARNATION = 421
# Says nothing about whether the call was carried out.
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_HEARTBEAT_S = 0.3
_CALL = timedelta(seconds=1)
_POLL_S = 0.005
_MAX_ANSWER_BYTES = 65_536
_PREFIX = '/dragonflynotch/'


@dataclass(frozen=True, slots=True)
class SiteQueue:
    """A queue of the configuration."""

    name: str
    priority: int = 1
    max_attempts: int = 2


class PlatformSite:
    """The store of the platform with the configuration of the operator.

    Parameters
    ----------
    address : tuple of (str, int)
        Where the store listens.
    runs : RunLog, optional
        Takes the starts and ends of all minions.
    """

    def __init__(
        self, address: tuple[str, int], runs: RunLog | None = None
    ) -> None:
        """Create the store; ``start`` begins to serve."""
        self.address = address
        self.clock = BootClock()
        self.store = MemoryRowStore(self.clock)
        self.runs = RunLog() if runs is None else runs
        self._server = HttpServer(address, self._answer)
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to serve."""
        self._serving = asyncio.create_task(self._server.run())
        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        if self._serving is not None:
            await asyncio.gather(self._serving, return_exceptions=True)

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
        """Write a configuration with one workspace.

        Parameters
        ----------
        guaranteed : int
            Accelerators that belong to the workspace's urgent jobs.
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
        """Write the settings file of a process.

        Parameters
        ----------
        listen : dict of str to str
            Further fields, for example ``listen.front``.
        """
        fields = {
            'node': node,
            'ip': '127.0.0.1',
            'zone': 'hall-a',
            'platform.address': '{}:{}'.format(*self.address),
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
            match call.path.removeprefix(_PREFIX):
                case 'rows-tx':
                    return await self._commit(call)
                case 'rows-get':
                    return await self._read(call)
                case 'rows-feed':
                    return await self._feed(call)
        except PlatformUnavailableError:
            return Reply(_UNAVAILABLE)
        except UncertainWriteError:
            return Reply(_BAD_GATEWAY)
        return Reply(_NOT_FOUND)

    async def _commit(self, call: HttpCall) -> Reply:
        body = msgspec.json.decode(call.body)
        writes = [
            RowWrite(_name(row), base64.b64decode(row['value']))
            for row in body['puts']
        ]
        writes.extend(RowWrite(_name(row), None) for row in body['remove'])
        conditions = [
            (_name(row), row.get('ver', 0)) for row in body['expected_rev']
        ]
        outcome = await self.store.commit(writes, conditions)
        if isinstance(outcome, Committed):
            return self._reply(_OK, outcome.version, [])
        found = [
            _wire_row(name.key, row.content, row.version, name)
            for name, row in outcome.found.items()
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
        name = RowName(query['table'], query.get('part', ''), '')
        rows = [
            _wire_row(row.key, row.content, row.version, name)
            for row in snapshot.rows
        ]
        return self._reply(_OK, snapshot.version, rows)

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

    def _reply(
        self, status: int, version: int, rows: Iterable[dict[str, object]]
    ) -> Reply:
        body = {
            'ver': version,
            'now_ms': self.clock.now_ms(),
            'rows': list(rows),
            'truncated': False,
        }
        return Reply(status, msgspec.json.encode(body), _JSON)


class SiteMinion:
    """A minion that serves its guard and sends heartbeats.

    Parameters
    ----------
    address : tuple of (str, int)
        Where it accepts calls.
    guard : tuple of (str, int)
        Where its guard takes heartbeats.
    duration_ms : int or callable
        How long each task runs, or a function of the task.
    clock : SteadyClock, optional
        Clock of the minion, if it differs from that of the store.
    """

    def __init__(
        self,
        site: PlatformSite,
        minion_id: str,
        service: str,
        address: tuple[str, int],
        guard: tuple[str, int],
        duration_ms: int | Callable[[str], int],
        clock: SteadyClock | None = None,
    ) -> None:
        """Create the minion; ``start`` begins to serve."""
        self.model = MinionModel(
            minion_id,
            clock or site.clock,
            site.runs,
            duration_ms if callable(duration_ms) else lambda _: duration_ms,
        )
        self._service = service
        self._address = address
        self._guard = guard
        self._sequence = 0
        self._server = HttpServer(address, self._answer)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to serve and to send heartbeats."""
        self._tasks = [
            asyncio.create_task(self._server.run()),
            asyncio.create_task(self._beat_forever()),
        ]
        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End without a farewell."""
        self.model.crash()
        self._server.stop()
        self._tasks[1].cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _beat_forever(self) -> None:
        while True:
            self._sequence += 1
            body = {
                'service': self._service,
                'address': '{}:{}'.format(*self._address),
                'zone': 'hall-a',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 8},
                'labels': ['a', 'r1'],
                'seq': self._sequence,
            }
            try:
                await exchange(
                    self._guard,
                    'POST',
                    f'{_PREFIX}Instances.Heartbeat/{self.model.minion_id}',
                    body=msgspec.json.encode(body),
                    timeout=_CALL,
                    max_body_bytes=_MAX_ANSWER_BYTES,
                )
            except DragonflynotchError:
                # The guard may not have started yet; the next one may arrive.
                await asyncio.sleep(_POLL_S)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _answer(self, call: HttpCall) -> Reply:
        expected = call.headers.get('dragonflynotch-expected-instance')
        if expected not in {None, self.model.minion_id}:
            return Reply(_OTHER_INCARNATION)
        body = msgspec.json.decode(call.body)
        match call.path.removeprefix(_PREFIX):
            case 'hold':
                return await self._look(body)
            case 'run-start':
                return self._start(body)
            case 'run-stop':
                outcome = self.model.stop(
                    body['task'], body['run'], body['fencing_token']
                )
                return self._reply(outcome, {})
        return Reply(_NOT_FOUND)

    async def _look(self, body: dict[str, int]) -> Reply:
        limit_ms = self.model.clock_ms + body.get('wait_ms', 0)
        while True:
            outcome = self.model.look(
                body['fencing_token'],
                body['seen_upto'],
                body.get('until_ms', 0),
            )
            if not isinstance(outcome, MinionState):
                return self._reply(outcome, {})
            if outcome.ended or outcome.clock_ms >= limit_ms:
                lists = {
                    'running_count': outcome.running,
                    'ended': outcome.ended,
                }
                return self._reply(outcome, lists)
            await asyncio.sleep(_POLL_S)

    def _start(self, body: dict[str, object]) -> Reply:
        request = StartRequest(
            str(body['task']),
            int(str(body['run'])),
            str(body['spec']),
            str(body.get('checkpoint', '')),
            int(str(body['until_ms'])),
        )
        token = int(str(body['fencing_token']))
        if self.model.fault is MinionFault.late_starts:
            self.model.hold_back(request, token)
            return Reply(_BAD_GATEWAY)
        outcome = self.model.start(request, token)
        if self.model.fault is MinionFault.lose_answers:
            return Reply(_BAD_GATEWAY)
        return self._reply(outcome, {})

    def _reply(self, outcome: object, lists: Mapping[str, object]) -> Reply:
        body: dict[str, object] = {
            'clock_ms': self.model.clock_ms,
            **lists,
        }
        if isinstance(outcome, StartRefused):
            body['reason'] = outcome.reason.value
            return Reply(_CONFLICT, msgspec.json.encode(body), _JSON)
        return Reply(_OK, msgspec.json.encode(body), _JSON)


def _name(row: dict[str, str]) -> RowName:
    return RowName(row['table'], row.get('part', ''), row['key'])


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
