"""Servers that answer announcements over one of three transports."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from importlib import import_module
from typing import Any, Final

from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    GuardState,
    MinionState,
    WorkerState,
    decode_announcement,
    encode_message,
)

__all__ = ('METHOD', 'TRANSPORTS', 'main', 'sample_announcement')

HOST: Final = '127.0.0.1'
METHOD: Final = '/benchmarks.Link/Exchange'
TRANSPORTS: Final = ('datagram', 'http', 'grpc')


def sample_announcement(
    guard: int, sequence: int, http_port: int = 8080
) -> bytes:
    """Return an announcement of the usual size."""
    name = f'lautoka-guard-{guard}'
    return encode_message(
        Announcement(
            name,
            guard,
            sequence,
            'lautoka',
            HOST,
            http_port,
            GuardState.ready,
            MinionState(f'lautoka-minion-{guard}', 8, 5, 3),
            WorkerState(
                f'lautoka-worker-{guard}', 'rack-1', 1, 8, 2, 64, 262_144
            ),
            0,
            (1, 2),
            3,
            guard,
        ),
    )


def _answer(payload: bytes) -> bytes:
    announcement = decode_announcement(payload)
    return encode_message(
        Acknowledgement(
            'lautoka-entry-1',
            announcement.guard_id,
            announcement.sequence,
            announcement.configuration_revision,
            announcement.highest_fence,
            ((HOST, 7000), (HOST, 7001)),
        ),
    )


class _DatagramServer(asyncio.DatagramProtocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.sendto(_answer(data), addr)


async def _serve_datagrams(port: int) -> None:
    await asyncio.get_running_loop().create_datagram_endpoint(
        _DatagramServer, local_addr=(HOST, port)
    )
    await asyncio.Event().wait()


async def _application(
    scope: dict[str, Any],
    receive: Callable[[], Awaitable[dict[str, Any]]],
    send: Callable[[dict[str, Any]], Awaitable[None]],
) -> None:
    event = await receive()
    body = _answer(event['body'])
    length = str(len(body)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', length)],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def _serve_http(port: int) -> None:
    uvicorn = import_module('uvicorn')  # loaded only in this server

    config = uvicorn.Config(
        _application,
        host=HOST,
        port=port,
        http='h11',
        loop='asyncio',
        lifespan='off',
        log_level='error',
        access_log=False,
    )
    await uvicorn.Server(config).serve()


async def _exchange(
    requests: AsyncIterator[bytes], context: object
) -> AsyncIterator[bytes]:
    async for request in requests:
        yield _answer(request)


async def _serve_grpc(port: int) -> None:
    rpc = import_module('grpc')  # loaded only in this server
    grpc = import_module('grpc.aio')

    service, _, name = METHOD[1:].partition('/')
    handlers = {name: rpc.stream_stream_rpc_method_handler(_exchange)}
    server = grpc.server()
    server.add_generic_rpc_handlers(
        (rpc.method_handlers_generic_handler(service, handlers),),
    )
    server.add_insecure_port(f'{HOST}:{port}')
    await server.start()
    await server.wait_for_termination()


def main(transport: str, port: int) -> None:
    """Serve one transport until the process is ended."""
    servers = {
        'datagram': _serve_datagrams,
        'http': _serve_http,
        'grpc': _serve_grpc,
    }
    asyncio.run(servers[transport](port))


if __name__ == '__main__':
    main(sys.argv[1], int(sys.argv[2]))
