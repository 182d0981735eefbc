"""The loopback proxy of the soak test."""

import asyncio

import pytest

from dragonflynotch.testing.loopback_proxy import LinkFault, LoopbackProxy
from dragonflynotch.testing.ports import free_ports


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(chunk)
        await writer.drain()
    writer.close()


@pytest.fixture
async def proxy():
    ports = free_ports(2)
    target = ('127.0.0.1', ports[0])
    server = await asyncio.start_server(_echo, *target)
    proxy = LoopbackProxy(('127.0.0.1', ports[1]), target)
    await proxy.start()
    yield proxy
    await proxy.stop()
    server.close()


async def _send_byte(proxy):
    reader, writer = await asyncio.open_connection(*proxy.address)
    writer.write(b'x')
    await writer.drain()
    return reader, writer


async def _is_answered(reader, seconds=0.2):
    try:
        async with asyncio.timeout(seconds):
            return await reader.read(1) == b'x'
    except TimeoutError:
        return False


async def test_forwards_traffic_without_a_fault(proxy):
    """Failures in the soak test must not be caused by the proxy itself."""
    reader, writer = await _send_byte(proxy)
    assert await _is_answered(reader)
    writer.close()


@pytest.mark.parametrize(
    'fault', [LinkFault.no_requests, LinkFault.no_answers, LinkFault.silent]
)
async def test_held_traffic_is_forwarded_after_the_fault(proxy, fault):
    """A blocked link must delay traffic and not drop it, as TCP does."""
    proxy.set_fault(fault)
    reader, writer = await _send_byte(proxy)
    assert not await _is_answered(reader)
    proxy.set_fault(LinkFault.none)
    assert await _is_answered(reader)
    writer.close()


async def test_reset_ends_open_connections(proxy):
    """A reset must reach clients that wait for an answer."""
    proxy.set_fault(LinkFault.silent)
    reader, writer = await _send_byte(proxy)
    await asyncio.sleep(0.05)
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        await reader.read(1)
    writer.close()
