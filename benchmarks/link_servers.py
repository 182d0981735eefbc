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

__all__ = ('HOST', 'METHOD', 'TRANSPORTS', 'main', 'sample_announcement')

HOST: Final = '127.0.0.1'
METHOD: Final = '/benchmarks.Link/Exchange'
TRANSPORTS: Final = ('datagram', 'http', 'grpc')


def sample_announcement(
    guard: int, sequence: int, http_port: int = 8080
) -> bytes:
    """Return an announcement of typical size."""
    guard_id = f'lautoka-guard-{guard}'
    return encode_message(
        Announcement(
            guard_id,
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


def _acknowledge(payload: bytes) -> bytes:
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
        self._transport.sendto(_acknowledge(data), addr)


async def _serve_datagrams(port: int) -> None:
    await asyncio.get_running_loop().create_datagram_endpoint(
        _DatagramServer, local_addr=(HOST, port)
    )
    await asyncio.Event().wait()


async def _http_application(
    scope: dict[str, Any],
    receive: Callable[[], Awaitable[dict[str, Any]]],
    send: Callable[[dict[str, Any]], Awaitable[None]],
) -> None:
    event = await receive()
    body = _acknowledge(event['body'])
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
    uvicorn = import_module('uvicorn')  # imported only here

    config = uvicorn.Config(
        _http_application,
        host=HOST,
        port=port,
        http='h11',
        loop='asyncio',
        lifespan='off',
        log_level='error',
        access_log=False,
    )
    await uvicorn.Server(config).serve()


async def _acknowledge_stream(
    requests: AsyncIterator[bytes], context: object
) -> AsyncIterator[bytes]:
    async for request in requests:
        yield _acknowledge(request)


async def _serve_grpc(port: int) -> None:
    grpc = import_module('grpc')  # imported only here
    grpc_aio = import_module('grpc.aio')

    service, _, method = METHOD[1:].partition('/')
    handlers = {
        method: grpc.stream_stream_rpc_method_handler(_acknowledge_stream)
    }
    server = grpc_aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, handlers),),
    )
    server.add_insecure_port(f'{HOST}:{port}')
    await server.start()
    await server.wait_for_termination()


def main(transport: str, port: int) -> None:
    """Serve one transport until the process is stopped."""
    servers = {
        'datagram': _serve_datagrams,
        'http': _serve_http,
        'grpc': _serve_grpc,
    }
    asyncio.run(servers[transport](port))


if __name__ == '__main__':
    main(sys.argv[1], int(sys.argv[2]))
