"""Odd answers of minions and of the row store."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.minions import Heartbeat, NoAnswer
from dragonflynotch.control.rows import REPORTS, RowName
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.platform.minion import HttpMinionClient
from dragonflynotch.platform.row_store import HttpRowStore
from tests.odd_entries import NESTED, ODD_BODIES, ODD_NUMBERS

ODD_STATES = [
    *ODD_BODIES,
    b'{"running_count":[%s]}' % NESTED,
    *(
        b'{"running_count":[["j.0.0.0",%s,"",1]]}' % number
        for number in ODD_NUMBERS
    ),
    *(
        b'{"ended":[[%s,"j.0.0.0",1,"done",""]]}' % number
        for number in ODD_NUMBERS
    ),
    *(b'{"clock_ms":%s}' % n for n in ODD_NUMBERS if n != b'-1'),
]
ODD_PAGES = [
    *ODD_BODIES,
    b'{"rows":[{"table":"t","key":"k","unknown":%s}]}' % NESTED,
    *(b'{"ver":%s}' % number for number in ODD_NUMBERS),
    *(b'{"now_ms":%s}' % n for n in ODD_NUMBERS if n != b'-1'),
]


class OddServer:
    """Answers each request with the same body."""

    def __init__(self):
        self.body = b''
        self.calls = 0
        self.address = ('', 0)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length:')[2]
                await reader.readexactly(int(length.split()[0]))
                self.calls += 1
                writer.write(
                    b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n'
                    % len(self.body)
                    + self.body
                )
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@pytest.fixture
async def server():
    odd = OddServer()
    listening = await asyncio.start_server(odd.serve, '127.0.0.1', 0)
    odd.address = listening.sockets[0].getsockname()
    yield odd
    listening.close()


@pytest.mark.parametrize('body', ODD_STATES)
async def test_odd_state_of_a_minion_is_no_answer(server, body):
    """Odd entry ends the guard that polls its minion."""
    server.body = body
    client = HttpMinionClient(Heartbeat('m1', 's', server.address, 1, False))
    assert isinstance(await client.poll(1, 0, 0, 0), NoAnswer)
    client.close()


@pytest.mark.parametrize('body', ODD_PAGES)
async def test_odd_answer_of_the_store_is_an_outage(server, body):
    """Odd entry ends the loop that reads the list."""
    server.body = body
    store = HttpRowStore(server.address, BootClock())
    with pytest.raises(PlatformUnavailableError):
        await store.read('t', '')
    with pytest.raises(PlatformUnavailableError):
        await store.changes('t', 1, timedelta())
    with pytest.raises(UncertainWriteError):
        await store.commit([], [(RowName('t', '', 'k'), 1)])


async def test_odd_answers_of_the_store_do_not_end_a_watch(server):
    """Odd entry ends the loop that follows the list; the good ones hold."""
    clock = BootClock()
    received = []
    watch = TableWatch(
        HttpRowStore(server.address, clock),
        REPORTS,
        received.extend,
        clock,
        timedelta(milliseconds=20),
    )
    running = asyncio.create_task(watch.run())
    for body in (b'{"ver":1}', *ODD_PAGES[8:18]):
        server.body = body
        calls = server.calls
        async with asyncio.timeout(5):
            while server.calls == calls:
                await asyncio.sleep(0.005)
    server.body = b'{"ver":2,"rows":[{"table":"t","key":"k","ver":2}]}'
    async with asyncio.timeout(5):
        while not received:
            await asyncio.sleep(0.005)
    assert not running.done()
    running.cancel()
