"""Embedded mode: entry, guard and stand-ins as tasks on loopback."""

import asyncio
import hashlib
import socket
from contextlib import AsyncExitStack
from datetime import timedelta

import httpx
import uvicorn

from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec
from dragonflynotch.entry.daemon import Entry
from dragonflynotch.guard.daemon import Guard
from dragonflynotch.records.settings import (
    Address,
    EntrySettings,
    GuardSettings,
    MinionSettings,
)
from dragonflynotch.testing.minion import MinionApp

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
    callers, announcements, minion, guard = (free_port() for _ in range(4))
    stop = asyncio.Event()
    view = _example_view()
    minion_server = uvicorn.Server(
        uvicorn.Config(
            MinionApp('minion-1'),
            host=_HOST,
            port=minion,
            http='h11',
            lifespan='off',
            log_config=None,
        )
    )
    entry = Entry(
        EntrySettings(
            schema_version=1,
            entry_id='entry-1',
            data_centre='dc-1',
            callers=Address(_HOST, callers),
            operators=Address(_HOST, 0),
            announcements=Address(_HOST, announcements),
            link=Address(_HOST, 0),
            table=Address(_HOST, 0),
            stop_notice_ms=0,
        ),
        lambda: view,
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
        asyncio.create_task(minion_server._serve()),
        asyncio.create_task(entry.run(stop)),
        asyncio.create_task(target.run(stop)),
    ]
    try:
        body = await _first_answer(f'http://{_HOST}:{callers}')
        print(f'checklist answered: {body.decode()}')
    finally:
        await _stop(stop, minion_server, tasks)
    return 0


def _example_view() -> ConfigurationView:
    digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
    resort = WorkspaceSpec('resort', token_digests=(digest,))
    return ConfigurationView(1, {resort.name: resort})


async def _stop(
    stop: asyncio.Event,
    minion_server: uvicorn.Server,
    tasks: list[asyncio.Task[None]],
) -> None:
    stop.set()
    await asyncio.gather(*tasks[1:])
    minion_server.should_exit = True
    await tasks[0]


async def _first_answer(url: str) -> bytes:
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            asyncio.timeout(_START_LIMIT.total_seconds())
        )
        client = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False)
        )
        while True:
            try:
                reply = await client.post(
                    f'{url}/v1/workspaces/resort/requests',
                    content=b'fridge 4 c',
                    headers={
                        'Request-Idempotent': 'true',
                        'Authorization': f'Bearer {_TOKEN}',
                    },
                )
            except httpx.ConnectError:
                await asyncio.sleep(_POLL_S)
                continue
            if reply.status_code == httpx.codes.OK:
                return reply.content
            await asyncio.sleep(_POLL_S)
