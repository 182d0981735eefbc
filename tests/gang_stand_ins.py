"""Program that serves the table and the workers of a test."""

import asyncio
import sys
from pathlib import Path

import msgspec

from dragonflynotch.entry.server import HttpServer
from dragonflynotch.testing.object_store import MemoryObjectStore
from dragonflynotch.testing.table import MemoryTable, TableApp
from dragonflynotch.testing.worker import WorkerApp


async def serve(ports: dict[str, int]) -> None:
    store = MemoryObjectStore()
    servers = [HttpServer(TableApp(MemoryTable()), '127.0.0.1', ports['table'])]
    servers.extend(
        HttpServer(WorkerApp(store), '127.0.0.1', port)
        for name, port in ports.items()
        if name != 'table'
    )
    for server in servers:
        server.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes())))
