"""Calls to a minion over HTTP."""

import asyncio

from dragonflynotch.control.minions import Heartbeat, NoAnswer, NotListening
from dragonflynotch.platform.minion import HttpMinionClient


async def poll(port):
    client = HttpMinionClient(
        Heartbeat('m1', 'planner', ('127.0.0.1', port), 1, is_draining=True)
    )
    try:
        return await client.poll(1, 0, 0, 0)
    finally:
        client.close()


async def test_refused_connection_is_told_from_a_lost_response():
    """Only a closed port shows that the minion has shut down."""
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    outcome = await poll(port)
    assert isinstance(outcome, NoAnswer)
    assert not isinstance(outcome, NotListening)
    server.close()
    await server.wait_closed()
    assert isinstance(await poll(port), NotListening)
