"""Client of the operator interface of an entry."""

from abc import ABC, abstractmethod
from typing import Any
from urllib.parse import quote

import msgspec

from dragonflynotch.client.outcomes import Failure, UnknownOutcome
from dragonflynotch.client.transport import (
    Call,
    HttpTransport,
    Reply,
    decode_reply,
)
from dragonflynotch.client.views import (
    EntryStatus,
    GuardDraining,
    RecordView,
    RecordWritten,
    Snapshot,
)

__all__ = ('HttpOperatorClient', 'OperatorClient')


class OperatorClient(ABC):
    """Operations of an entry for operators."""

    @abstractmethod
    async def list_records(self) -> Snapshot | Failure:
        """Return all records with their revisions."""

    @abstractmethod
    async def get_record(self, kind: str, name: str) -> RecordView | Failure:
        """Return one record with its revision."""

    @abstractmethod
    async def put_record(
        self, kind: str, name: str, document: bytes, revision: int
    ) -> RecordWritten | Failure:
        """Write a record if its revision matches; 0 creates the record."""

    @abstractmethod
    async def delete_record(
        self, kind: str, name: str, revision: int
    ) -> RecordWritten | Failure:
        """Delete a record if its revision matches."""

    @abstractmethod
    async def drain(self, guard: str) -> GuardDraining | Failure:
        """Tell a guard to finish its work and exit."""

    @abstractmethod
    async def status(self) -> EntryStatus | Failure:
        """Return the status of the entry and its partition."""

    @abstractmethod
    async def metrics(self) -> str | Failure:
        """Return the metrics in the Prometheus text format."""


class HttpOperatorClient(OperatorClient):
    """Operator interface reached over HTTP."""

    def __init__(self, transport: HttpTransport) -> None:
        """Create a client of the operator port behind ``transport``."""
        self._transport = transport

    async def list_records(self) -> Snapshot | Failure:
        """Return all records with their revisions."""
        call = _read_call('list records', '/v1/records')
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        return decode_reply(reply, Snapshot, call)

    async def get_record(self, kind: str, name: str) -> RecordView | Failure:
        """Return one record with its revision."""
        call = _read_call('read record', _record_path(kind, name))
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        document = decode_reply(reply, dict[str, Any], call)
        if isinstance(document, UnknownOutcome):
            return document
        revision = reply.headers.get('etag', '').strip('"')
        return RecordView(int(revision) if revision.isdigit() else 0, document)

    async def put_record(
        self, kind: str, name: str, document: bytes, revision: int
    ) -> RecordWritten | Failure:
        """Write a record if its revision matches; 0 creates the record."""
        return await self._write(
            'write record', 'PUT', _record_path(kind, name), revision, document
        )

    async def delete_record(
        self, kind: str, name: str, revision: int
    ) -> RecordWritten | Failure:
        """Delete a record if its revision matches."""
        return await self._write(
            'delete record', 'DELETE', _record_path(kind, name), revision
        )

    async def drain(self, guard: str) -> GuardDraining | Failure:
        """Tell a guard to finish its work and exit."""
        path = f'/v1/guards/{quote(guard, safe="")}/drain'
        call = Call('drain guard', 'POST', path, is_idempotent=True)
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        return decode_reply(reply, GuardDraining, call)

    async def status(self) -> EntryStatus | Failure:
        """Return the status of the entry and its partition."""
        call = _read_call('read status', '/v1/status')
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        status = decode_reply(reply, EntryStatus, call)
        if isinstance(status, UnknownOutcome):
            return status
        content = msgspec.json.decode(reply.body)
        return msgspec.structs.replace(status, content=content)

    async def metrics(self) -> str | Failure:
        """Return the metrics in the Prometheus text format."""
        reply = await self._transport.send(
            _read_call('read metrics', '/metrics')
        )
        if not isinstance(reply, Reply):
            return reply
        return reply.body.decode()

    async def _write(
        self,
        step: str,
        method: str,
        path: str,
        revision: int,
        document: bytes = b'',
    ) -> RecordWritten | Failure:
        # Repeating a write that took effect fails with a conflict, because
        # the write has changed the revision. So a write is not repeated, and
        # a lost answer leaves its outcome unknown.
        call = Call(
            step,
            method,
            path,
            is_idempotent=False,
            body=document,
            headers={'If-Match': f'"{revision}"'},
        )
        reply = await self._transport.send(call)
        if not isinstance(reply, Reply):
            return reply
        return decode_reply(reply, RecordWritten, call)


def _read_call(step: str, path: str) -> Call:
    return Call(step, 'GET', path, is_idempotent=True)


def _record_path(kind: str, name: str) -> str:
    return f'/v1/records/{quote(kind, safe="")}/{quote(name, safe="")}'
