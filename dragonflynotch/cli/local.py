"""Embedded mode: entry, guard and stand-ins as tasks on loopback."""

import asyncio
import hashlib
import socket
from contextlib import AsyncExitStack, suppress
from datetime import timedelta
from typing import Any

import httpx
import msgspec

from dragonflynotch.entry.daemon import Entry
from dragonflynotch.entry.server import HttpServer
from dragonflynotch.guard.daemon import Guard
from dragonflynotch.records.settings import (
    Address,
    EntrySettings,
    GuardSettings,
    MinionSettings,
)
from dragonflynotch.testing.minion import MinionApp
from dragonflynotch.testing.table import MemoryTable, TableApp

__all__ = ('free_port', 'run_local')

_HOST = '127.0.0.1'
_START_LIMIT = timedelta(seconds=10)
_POLL_S = 0.1
_TOKEN = 'example-token'


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port: int = probe.getsockname()[1]
        return port


async def run_local() -> int:
    """Serve one request end to end and return the exit code."""
    callers, announcements, minion, guard, table, link, operators = (
        free_port() for _ in range(7)
    )
    stop = asyncio.Event()
    stand_ins = (
        HttpServer(MinionApp('minion-1'), _HOST, minion),
        HttpServer(TableApp(MemoryTable()), _HOST, table),
    )
    for stand_in in stand_ins:
        stand_in.start()
    entry = Entry(
        EntrySettings(
            schema_version=1,
            entry_id='entry-1',
            data_centre='dc-1',
            callers=Address(_HOST, callers),
            operators=Address(_HOST, operators),
            announcements=Address(_HOST, announcements),
            link=Address(_HOST, link),
            table=Address(_HOST, table),
            stop_notice_ms=0,
        )
    )
    target = Guard(
        GuardSettings(
            schema_version=1,
            guard_id='guard-1',
            data_centre='dc-1',
            listen=Address(_HOST, guard),
            entries=(Address(_HOST, announcements),),
            minion=MinionSettings('minion-1', Address(_HOST, minion)),
            drain_notice_ms=0,
        )
    )
    tasks = [
        asyncio.create_task(entry.run(stop)),
        asyncio.create_task(target.run(stop)),
    ]
    try:
        body = await _first_answer(
            f'http://{_HOST}:{callers}', f'http://{_HOST}:{operators}'
        )
        print(f'checklist answered: {body.decode()}')
    finally:
        await _stop(stop, stand_ins, tasks)
    return 0


async def _stop(
    stop: asyncio.Event,
    stand_ins: tuple[HttpServer, ...],
    tasks: list[asyncio.Task[None]],
) -> None:
    stop.set()
    await asyncio.gather(*tasks)
    for stand_in in stand_ins:
        await stand_in.stop()


async def _first_answer(callers_url: str, operators_url: str) -> bytes:
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            asyncio.timeout(_START_LIMIT.total_seconds())
        )
        client = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False)
        )
        await _until_ok(client, 'GET', f'{operators_url}/ready')
        await _until_ok(
            client,
            'PUT',
            f'{operators_url}/v1/records/workspace/resort',
            content=msgspec.json.encode(_example_workspace()),
            headers={'If-Match': '"0"'},
        )
        return await _until_ok(
            client,
            'POST',
            f'{callers_url}/v1/workspaces/resort/requests',
            content=b'fridge 4 c',
            headers={
                'Authorization': f'Bearer {_TOKEN}',
                'Idempotency-Key': 'first-checklist',
            },
        )


async def _until_ok(
    client: httpx.AsyncClient, method: str, url: str, **arguments: Any
) -> bytes:
    while True:
        with suppress(httpx.ConnectError):
            reply = await client.request(method, url, **arguments)
            if reply.status_code == httpx.codes.OK:
                return reply.content
        await asyncio.sleep(_POLL_S)


def _example_workspace() -> dict[str, object]:
    digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
    return {
        'schema_version': 2,
        'kind': 'workspace',
        'name': 'resort',
        'spec': {'token_digests': [digest]},
    }
