"""In-memory stand-in for the platform's table service."""

import asyncio
import base64
from collections.abc import Sequence
from enum import Enum

import msgspec
from sortedcontainers import SortedDict

from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.links.asgi import (
    HttpCall,
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)
from dragonflynotch.services.http_table import RowBody, TransactionBody
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableService,
    WriteConflict,
    Written,
)

__all__ = ('MemoryTable', 'TableApp', 'TableFault')

_PEER = 'table service'
_MAX_BODY_BYTES = 16 * 1024 * 1024


class TableFault(Enum):
    """Faults that the stand-in injects.

    ``lose_answers`` applies writes and then reports an uncertain outcome.
    """

    none = 'none'
    down = 'down'
    lose_answers = 'lose_answers'


class MemoryTable(TableService):
    """Table service in memory.

    ``fault`` selects the injected fault; ``delay_s`` delays every answer.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.fault = TableFault.none
        self.delay_s: float = 0
        self.commits = 0
        self._rows: SortedDict[str, Row] = SortedDict()
        self._last_versions: dict[str, int] = {}

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        await self._apply_faults('read')
        row: Row | None = self._rows.get(key)
        return row

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose key starts with ``prefix``, by key."""
        await self._apply_faults('scan')
        last = f'{prefix}\U0010ffff'
        return tuple(self._rows[key] for key in self._rows.irange(prefix, last))

    async def commit(
        self, writes: Sequence[ConditionalWrite], writer_token: str
    ) -> Written | WriteConflict:
        """Apply all writes, or none if a row has another version."""
        await self._apply_faults('commit')
        conflicts = {
            write.key: self._rows.get(write.key)
            for write in writes
            if self._version(write.key) != write.expected_version
        }
        if conflicts:
            return WriteConflict(conflicts)
        versions = {
            write.key: self._apply(write, writer_token) for write in writes
        }
        self.commits += 1
        if self.fault is TableFault.lose_answers:
            raise UncertainWriteError(
                'answer lost (injected fault)', step='commit', peer=_PEER
            )
        return Written(versions)

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return ABSENT_VERSION if row is None else row.version

    def _apply(self, write: ConditionalWrite, writer_token: str) -> int:
        version = self._last_versions.get(write.key, ABSENT_VERSION) + 1
        self._last_versions[write.key] = version
        if write.content is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(
                write.key, write.content, version, writer_token
            )
        return version

    async def _apply_faults(self, step: str) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault is TableFault.down:
            raise PlatformUnavailableError(
                'unavailable (injected fault)', step=step, peer=_PEER
            )


class TableApp:
    """ASGI application that serves a ``MemoryTable``.

    ``POST /fault`` sets the faults, for example
    ``{"fault": "down", "delay_s": 0.5}``.
    """

    def __init__(self, table: MemoryTable) -> None:
        """Serve ``table``."""
        self._table = table

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        call = await read_call(scope, receive, _MAX_BODY_BYTES)
        try:
            reply = await self._answer(call)
        except PlatformUnavailableError:
            reply = Reply(503)
        except UncertainWriteError:
            reply = Reply(500)
        await send_reply(send, reply)

    async def _answer(self, call: HttpCall) -> Reply:
        match call.path:
            case '/v1/row':
                row = await self._table.read(call.query['key'])
                found = None if row is None else _row_body(row)
                return Reply(200, msgspec.json.encode(found))
            case '/v1/rows':
                rows = await self._table.scan(call.query['prefix'])
                return Reply(
                    200, msgspec.json.encode([_row_body(row) for row in rows])
                )
            case '/v1/commit':
                return await self._commit(call.body)
            case '/fault':
                fault = msgspec.json.decode(call.body)
                self._table.fault = TableFault(fault.get('fault', 'none'))
                self._table.delay_s = float(fault.get('delay_s', 0))
                return Reply(200, b'{}')
            case _:
                return Reply(404)

    async def _commit(self, body: bytes) -> Reply:
        decoded = msgspec.json.decode(body, type=TransactionBody)
        writes = [
            ConditionalWrite(
                write.key,
                None
                if write.content is None
                else base64.b64decode(write.content),
                write.expected_version,
            )
            for write in decoded.writes
        ]
        outcome = await self._table.commit(writes, decoded.writer_token)
        if isinstance(outcome, Written):
            return Reply(200, msgspec.json.encode(outcome.versions))
        found = {
            key: None if row is None else _row_body(row)
            for key, row in outcome.current_rows.items()
        }
        return Reply(409, msgspec.json.encode(found))


def _row_body(row: Row) -> RowBody:
    content = base64.b64encode(row.content).decode()
    return RowBody(row.key, content, row.version, row.writer_token)
