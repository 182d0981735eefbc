"""HTTP client of the table service."""

import base64
from collections.abc import Sequence
from datetime import timedelta

import httpx
import msgspec

from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.services.table import (
    ConditionalWrite,
    Row,
    TableService,
    WriteConflict,
    Written,
)

__all__ = ('HttpTableService', 'RowBody', 'TransactionBody', 'WriteBody')

_PEER = 'table service'


class RowBody(msgspec.Struct):
    """JSON form of a row; ``content`` is base64."""

    key: str
    content: str
    version: int
    writer_token: str


class WriteBody(msgspec.Struct):
    """JSON form of a conditional write.

    ``content`` is base64, or null to delete the row.
    """

    key: str
    content: str | None
    expected_version: int


class TransactionBody(msgspec.Struct):
    """JSON form of a transaction, a list of conditional writes."""

    writes: list[WriteBody]
    writer_token: str


class HttpTableService(TableService):
    """Table service reached over HTTP.

    Parameters
    ----------
    base_url : str
        URL of the service, for example ``'http://127.0.0.1:7000'``.
    timeout : timedelta
        Time limit for each network operation of a call, as in ``httpx``.
    """

    def __init__(self, base_url: str, timeout: timedelta) -> None:
        """Create the client; no connection is opened yet."""
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout.total_seconds(),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        reply = await self._get('/v1/row', {'key': key})
        try:
            body = msgspec.json.decode(reply, type=RowBody | None)
            return None if body is None else _decode_row(body)
        except (ValueError, RecursionError) as error:
            raise _unavailable_error('read', error) from error

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with ``prefix``, in order of key."""
        reply = await self._get('/v1/rows', {'prefix': prefix})
        try:
            bodies = msgspec.json.decode(reply, type=list[RowBody])
            return tuple(_decode_row(body) for body in bodies)
        except (ValueError, RecursionError) as error:
            raise _unavailable_error('read', error) from error

    async def commit(
        self, writes: Sequence[ConditionalWrite], writer_token: str
    ) -> Written | WriteConflict:
        """Apply all writes, or none if a row has another version."""
        body = TransactionBody(
            [_encode_write(write) for write in writes], writer_token
        )
        try:
            reply = await self._client.post(
                '/v1/commit', content=msgspec.json.encode(body)
            )
        except httpx.ConnectError as error:
            raise _unavailable_error('commit', error) from error
        except httpx.HTTPError as error:
            raise _uncertain_error(error) from error
        if reply.status_code == httpx.codes.OK:
            return _decode_written(reply.content)
        if reply.status_code == httpx.codes.CONFLICT:
            return _decode_conflict(reply.content)
        if reply.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            raise _unavailable_error('commit', reply.status_code)
        raise _uncertain_error(reply.status_code)

    async def _get(self, path: str, query: dict[str, str]) -> bytes:
        try:
            reply = await self._client.get(path, params=query)
        except httpx.HTTPError as error:
            raise _unavailable_error('read', error) from error
        if reply.status_code != httpx.codes.OK:
            raise _unavailable_error('read', reply.status_code)
        return reply.content


def _decode_written(content: bytes) -> Written:
    try:
        return Written(msgspec.json.decode(content, type=dict[str, int]))
    except (ValueError, RecursionError) as error:
        raise _uncertain_error(error) from error


def _decode_conflict(content: bytes) -> WriteConflict:
    try:
        rows = msgspec.json.decode(content, type=dict[str, RowBody | None])
        return WriteConflict(
            {
                key: None if row is None else _decode_row(row)
                for key, row in rows.items()
            }
        )
    except (ValueError, RecursionError) as error:
        # A conflict means that nothing was written, readable or not.
        raise _unavailable_error('commit', error) from error


def _decode_row(body: RowBody) -> Row:
    return Row(
        body.key,
        base64.b64decode(body.content, validate=True),
        body.version,
        body.writer_token,
    )


def _encode_write(write: ConditionalWrite) -> WriteBody:
    content = write.content
    encoded = None if content is None else base64.b64encode(content).decode()
    return WriteBody(write.key, encoded, write.expected_version)


def _unavailable_error(step: str, cause: object) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'table service is unavailable: {cause!r}', step=step, peer=_PEER
    )


def _uncertain_error(cause: object) -> UncertainWriteError:
    return UncertainWriteError(
        'the commit may or may not have taken effect; '
        f'error or HTTP status: {cause!r}',
        step='commit',
        peer=_PEER,
    )
