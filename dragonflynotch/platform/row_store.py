"""Client of the platform's metadata store."""

import base64
from collections.abc import Sequence
from datetime import timedelta
from urllib.parse import urlencode

import msgspec

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Row,
    RowChange,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    LinkError,
    NotSentError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.links.http11 import HttpReply
from dragonflynotch.links.http_pool import HttpPool

__all__ = ('HttpRowStore',)

_PEER = 'row store'
_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
# Statuses with which the store says that it did nothing.
_REFUSALS = frozenset((429, 503, 507))
# Statuses with which it says that the call can never succeed.
_WRONG_CALLS = frozenset((400, 403, 404, 413))
# A healthy call takes 10 ms and a slow store 0.5 to 1 s.
_CALL_TIMEOUT = timedelta(milliseconds=1300)


class _WireRow(msgspec.Struct, omit_defaults=True):
    """A row; ``value`` is base64, ``ver`` the store-wide version."""

    table: str
    key: str
    part: str = ''
    value: str | None = None
    ver: int | None = None
    deleted: bool = False


class _WireTransaction(msgspec.Struct):
    """``expected_rev`` holds the conditions, with ``ver`` 0 for no row."""

    expected_rev: list[_WireRow]
    puts: list[_WireRow]
    remove: list[_WireRow]


class _WireAnswer(msgspec.Struct):
    """``ver`` is the newest version of the store, ``now_ms`` its clock."""

    ver: int = 0
    now_ms: int = 0
    rows: list[_WireRow] = []
    truncated: bool = False


class HttpRowStore(RowStore):
    """Row store reached over HTTP.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the store.
    clock : SteadyClock
        Measures the calls.
    """

    def __init__(self, address: tuple[str, int], clock: SteadyClock) -> None:
        """Create the client; no connection is opened yet."""
        self._pool = HttpPool(address, max_idle=6)
        self._clock = clock
        self.time = StoreClock(clock)
        self.calls = 0

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order.

        Pages after the first may be newer; their rows carry their versions,
        and the version returned is that of the first page, so that a feed
        continued from it misses nothing.
        """
        rows: list[Row] = []
        version: int | None = None
        start = first
        while True:
            query = {'table': table, 'part': part}
            if start:
                query['from'] = start
            if last:
                query['target'] = last
            answer = await self._get('/dragonflynotch/rows-get', query)
            rows.extend(
                Row(row.key, _decoded(row.value), row.ver or 0)
                for row in answer.rows
            )
            version = answer.ver if version is None else version
            if not (answer.truncated and answer.rows):
                return Snapshot(tuple(rows), version)
            # The smallest key above the last one returned.
            start = answer.rows[-1].key + '\0'

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each row has its expected version."""
        body = _WireTransaction(
            expected_rev=[
                _wire_row(name, ver=version) for name, version in conditions
            ],
            puts=[
                _wire_row(
                    write.name, value=base64.b64encode(write.content).decode()
                )
                for write in writes
                if write.content is not None
            ],
            remove=[
                _wire_row(write.name)
                for write in writes
                if write.content is None
            ],
        )
        sent_ms = self._clock.now_ms()
        self.calls += 1
        try:
            reply = await self._pool.exchange(
                'POST',
                '/dragonflynotch/rows-tx',
                body=msgspec.json.encode(body),
                timeout=_CALL_TIMEOUT,
            )
        except NotSentError as error:
            raise _unavailable('commit', error) from error
        except LinkError as error:
            raise _uncertain(error) from error
        if reply.status in _REFUSALS:
            raise _unavailable('commit', reply.status)
        if reply.status in _WRONG_CALLS:
            raise InvalidInputError(
                'rows-tx', reply.body.decode(errors='replace'), 'a valid call'
            )
        if reply.status not in {_OK, _CONDITION_FAILED}:
            raise _uncertain(reply.status)
        answer = self._decode(reply, sent_ms)
        if answer is None:
            raise _uncertain('unreadable answer')
        if reply.status == _OK:
            return Committed(answer.ver)
        return Conflict(
            {
                RowName(row.table, row.part, row.key): Row(
                    row.key, _decoded(row.value), row.ver or 0
                )
                for row in answer.rows
                if row.ver
            }
        )

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version."""
        wait_ms = int(wait.total_seconds() * 1000)
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        target = f'/dragonflynotch/rows-feed?{urlencode(query)}'
        reply, sent_ms = await self._fetch(target, wait + _CALL_TIMEOUT)
        if reply.status == _GONE:
            return HistoryLost()
        answer = self._read(reply, sent_ms)
        return Changes(
            tuple(
                RowChange(
                    row.key,
                    None if row.deleted else _decoded(row.value),
                    row.ver or 0,
                )
                for row in answer.rows
            ),
            answer.ver,
        )

    async def _get(self, path: str, query: dict[str, str]) -> _WireAnswer:
        reply, sent_ms = await self._fetch(
            f'{path}?{urlencode(query)}', _CALL_TIMEOUT
        )
        return self._read(reply, sent_ms)

    async def _fetch(
        self, target: str, timeout: timedelta
    ) -> tuple[HttpReply, int]:
        sent_ms = self._clock.now_ms()
        self.calls += 1
        try:
            reply = await self._pool.exchange('GET', target, timeout=timeout)
        except LinkError as error:
            raise _unavailable('read', error) from error
        return reply, sent_ms

    def _read(self, reply: HttpReply, sent_ms: int) -> _WireAnswer:
        if reply.status != _OK:
            raise _unavailable('read', reply.status)
        answer = self._decode(reply, sent_ms)
        if answer is None:
            raise _unavailable('read', 'unreadable answer')
        return answer

    def _decode(self, reply: HttpReply, sent_ms: int) -> _WireAnswer | None:
        try:
            answer = msgspec.json.decode(reply.body, type=_WireAnswer)
        except msgspec.DecodeError:
            return None
        if answer.now_ms:
            self.time.observe(answer.now_ms, sent_ms)
        return answer


def _wire_row(
    name: RowName, value: str | None = None, ver: int | None = None
) -> _WireRow:
    return _WireRow(name.table, name.key, name.part, value, ver)


def _decoded(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or '', validate=True)
    except ValueError:
        return b''


def _unavailable(step: str, cause: object) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'row store is unavailable: {cause}', step=step, peer=_PEER
    )


def _uncertain(cause: object) -> UncertainWriteError:
    return UncertainWriteError(
        f'answer to the commit was lost: {cause}', step='commit', peer=_PEER
    )
