"""HTTP client of the platform's metadata store."""

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
    Page,
    Row,
    RowChange,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
    StoreLimits,
    read_pages,
)
from dragonflynotch.control.store_health import StoreHealth
from dragonflynotch.control.transactions import check_rows
from dragonflynotch.core.errors import (
    InvalidInputError,
    LinkError,
    LinkTimeoutError,
    NotSentError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.http11 import HttpReply
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.links.page_size import PageSize
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.records.bounds import Count, TimeMs

__all__ = ('HttpRowStore',)

_PEER = 'row store'
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
# Statuses after which no write has taken effect; the call may be repeated.
_UNAVAILABLE_STATUSES = frozenset((429, 503, 507))
# Statuses for calls that would fail again if repeated.
_INVALID_CALL_STATUSES = frozenset((400, 403, 404, 413))
# Limit of a write, and of the time without a byte in a read. A call normally
# takes 10 ms, on a slow store 0.5 to 1 s.
_CALL_TIMEOUT = timedelta(milliseconds=1300)
# Added to the idle limit of a read. A page of 1 MB takes 1.6 s over a free link
# of 5 Mbit/s, and several reads share the link.
_MAX_TRANSFER = timedelta(seconds=8)
_DEFAULT_LIMITS = StoreLimits()


class _WireRow(msgspec.Struct, omit_defaults=True):
    """Row; ``value`` is base64, ``ver`` a version of the whole store."""

    table: str
    key: str
    part: str = ''
    value: str | None = None
    ver: Count | None = None
    deleted: bool = False


class _WireTransaction(msgspec.Struct):
    """Transaction; ``expected_rev`` lists the expected version of each row.

    A ``ver`` of 0 in it expects that the row does not exist.
    """

    expected_rev: list[_WireRow]
    puts: list[_WireRow]
    remove: list[_WireRow]


class _WireAnswer(msgspec.Struct):
    """Response; ``ver`` is the version of the store, ``now_ms`` its time."""

    ver: Count = 0
    now_ms: TimeMs = 0
    rows: list[_WireRow] = []
    truncated: bool = False


_answer_decoder = msgspec.json.Decoder(_WireAnswer)


class HttpRowStore(RowStore):
    """Row store reached over HTTP.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the store.
    clock : SteadyClock
        Takes the time at which a request is sent.
    limits : StoreLimits, optional
        What the store accepts in one transaction.

    Attributes
    ----------
    store_clock : StoreClock
        Bounds on the time of the store, from its responses.
    health : StoreHealth
        Whether the store can be reached, from the outcome of the requests.
    call_count : int
        Requests sent so far.
    """

    def __init__(
        self,
        address: tuple[str, int],
        clock: SteadyClock,
        limits: StoreLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Create the client; no connection is opened yet."""
        self._limits = limits
        self._pool = HttpPool(address, max_idle=6)
        self._page_size = PageSize()
        self._clock = clock
        self.store_clock = StoreClock(clock)
        self.health = StoreHealth(clock)
        self.call_count = 0

    @property
    def limits(self) -> StoreLimits:
        """What the store accepts in one transaction."""
        return self._limits

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        return await read_pages(self, table, part, first, last)

    async def read_page(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Page:
        """Return one page; over a slow link it has fewer rows."""
        query = {'table': table, 'part': part}
        if first:
            query['from'] = first
        if last:
            query['target'] = last
        limit = self._page_size.limit
        if limit is not None:
            query['limit'] = str(limit)
        try:
            answer, transfer_s = await self._get(
                '/dragonflynotch/rows-get', query
            )
        except PlatformUnavailableError as error:
            if isinstance(error.__cause__, LinkTimeoutError):
                self._page_size.record_timeout()
            raise
        self._page_size.record_page(len(answer.rows), transfer_s)
        rows = tuple(
            Row(row.key, _decode_value(row.value), row.ver or 0)
            for row in answer.rows
        )
        # A page as long as requested may have been cut by our limit.
        is_cut = answer.truncated or len(rows) == limit
        if not (is_cut and rows):
            return Page(rows, answer.ver)
        # The smallest key after the last one of this page.
        return Page(rows, answer.ver, rows[-1].key + '\0')

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each row has its expected version, else none.

        A transaction beyond the limits of the store is not sent.
        """
        check_rows(writes, self._limits)
        body = _encode_transaction(writes, conditions)
        self._check_call(body)
        sent_ms = self._clock.now_ms()
        self.call_count += 1
        try:
            reply = await self._pool.exchange(
                'POST',
                '/dragonflynotch/rows-tx',
                body=body,
                timeout=_CALL_TIMEOUT,
            )
        except NotSentError as error:
            raise self._unavailable('commit', error) from error
        except LinkError as error:
            raise self._uncertain(error) from error
        if reply.status in _UNAVAILABLE_STATUSES:
            raise self._unavailable('commit', reply.status)
        if reply.status in _INVALID_CALL_STATUSES:
            raise InvalidInputError(
                'rows-tx',
                reply.body.decode(errors='replace'),
                'a valid transaction',
            )
        if reply.status not in {_OK, _PRECONDITION_FAILED}:
            raise self._uncertain(reply.status)
        answer = self._decode(reply, sent_ms)
        if answer is None:
            raise self._uncertain('malformed response')
        if reply.status == _OK:
            return Committed(answer.ver)
        return Conflict(
            {
                RowName(row.table, row.part, row.key): Row(
                    row.key, _decode_value(row.value), row.ver or 0
                )
                for row in answer.rows
                if row.ver
            }
        )

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return the changes of a table after a version, once there are any."""
        wait_ms = int(wait.total_seconds() * 1000)
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        target = f'/dragonflynotch/rows-feed?{urlencode(query)}'
        reply, sent_ms = await self._fetch(target, wait + _CALL_TIMEOUT)
        if reply.status == _GONE:
            self.health.record_response()
            return HistoryLost()
        answer = self._decode_read(reply, sent_ms)
        return Changes(
            tuple(
                RowChange(
                    row.key,
                    None if row.deleted else _decode_value(row.value),
                    row.ver or 0,
                )
                for row in answer.rows
            ),
            answer.ver,
        )

    def _check_call(self, body: bytes) -> None:
        if len(body) > self._limits.call_bytes:
            raise InvalidInputError(
                'rows-tx',
                f'{len(body)} bytes',
                f'at most {self._limits.call_bytes} bytes',
            )

    async def _get(
        self, path: str, query: dict[str, str]
    ) -> tuple[_WireAnswer, float]:
        reply, sent_ms = await self._fetch(
            f'{path}?{urlencode(query)}', _CALL_TIMEOUT
        )
        return self._decode_read(reply, sent_ms), reply.transfer_s

    async def _fetch(
        self, target: str, idle_timeout: timedelta
    ) -> tuple[HttpReply, int]:
        sent_ms = self._clock.now_ms()
        self.call_count += 1
        try:
            reply = await self._pool.exchange(
                'GET',
                target,
                timeout=_MAX_TRANSFER + idle_timeout,
                idle_timeout=idle_timeout,
            )
        except LinkError as error:
            raise self._unavailable('read', error) from error
        return reply, sent_ms

    def _decode_read(self, reply: HttpReply, sent_ms: int) -> _WireAnswer:
        if reply.status != _OK:
            raise self._unavailable('read', reply.status)
        answer = self._decode(reply, sent_ms)
        if answer is None:
            raise self._unavailable('read', 'malformed response')
        return answer

    def _decode(self, reply: HttpReply, sent_ms: int) -> _WireAnswer | None:
        answer = decode_untrusted(_answer_decoder.decode, reply.body)
        if isinstance(answer, Unreadable):
            unreadable_entries.record('response_unreadable', answer, peer=_PEER)
            return None
        self.health.record_response()
        if answer.now_ms:
            self.store_clock.observe(answer.now_ms, sent_ms)
        return answer

    def _unavailable(
        self, step: str, cause: object
    ) -> PlatformUnavailableError:
        """Record a call that had no effect, and return the error for it."""
        self.health.record_failure()
        return PlatformUnavailableError(
            f'row store is unavailable: {cause}', step=step, peer=_PEER
        )

    def _uncertain(self, cause: object) -> UncertainWriteError:
        """Record a call without a response, and return the error for it."""
        self.health.record_failure()
        return UncertainWriteError(
            'the commit may or may not have taken effect; '
            f'error or HTTP status: {cause}',
            step='commit',
            peer=_PEER,
        )


def _encode_transaction(
    writes: Sequence[RowWrite], conditions: Sequence[tuple[RowName, int]]
) -> bytes:
    transaction = _WireTransaction(
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
            _wire_row(write.name) for write in writes if write.content is None
        ],
    )
    return msgspec.json.encode(transaction)


def _wire_row(
    name: RowName, value: str | None = None, ver: int | None = None
) -> _WireRow:
    return _WireRow(name.table, name.key, name.part, value, ver)


def _decode_value(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or '', validate=True)
    except ValueError:
        return b''
