"""An odd entry among the heartbeats of minions."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.minions import Heartbeat
from dragonflynotch.control.rows import REPORTS, RowName, shard_of
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.links.asgi import HttpCall
from dragonflynotch.platform.minion import HttpMinionClient, decode_heartbeat
from dragonflynotch.platform.side import HeartbeatApi
from dragonflynotch.testing.minion_model import (
    MinionModel,
    ModelMinionClient,
    RunLog,
)
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import Report, decode_row
from tests.odd_entries import (
    NESTED,
    ODD_BODIES,
    ODD_NUMBERS,
    odd_versions,
    with_field,
)

BEAT = {
    'service': 's',
    'address': '127.0.0.1:80',
    'state': 'ready',
    'seq': 1,
    'labels': ['a', 'r1'],
    'zone': 'hall-a',
    'capacity': {'cpu': 1, 'mem_mb': 2, 'gpu': 3},
}
ODD_BEATS = [
    *ODD_BODIES,
    *(with_field(BEAT, 'seq', number) for number in ODD_NUMBERS),
    *(
        with_field(BEAT, 'capacity', b'{"%s":%s}' % (name, number))
        for name in (b'cpu', b'mem_mb', b'gpu')
        for number in ODD_NUMBERS
    ),
    *(
        with_field(BEAT, 'address', b'"127.0.0.1:%s"' % port)
        for port in (
            b'0',
            b'-1',
            b'70000',
            b'9' * 5000,
            b'',
            b'8e1',
            b'8\\u0000',
        )
    ),
    *(
        with_field(BEAT, name, NESTED)
        for name in ('unknown', 'zone', 'remaining_ms', 'labels', 'service')
    ),
    with_field(BEAT, 'capacity', b'{"gpu":1000000}'),
    with_field(BEAT, 'service', b'"' + b'x' * 1_000_000 + b'"'),
    with_field(BEAT, 'labels', b'["' + b'x' * 1_000_000 + b'"]'),
    with_field(BEAT, 'labels', b'[' + b'"x",' * 10_000 + b'"x"]'),
    with_field(BEAT, 'labels', b'["\\ud800"]'),
    *(
        with_field(BEAT, 'born', born)
        for born in (b'"1"', b'1.5', b'-1', b'true', b'9007199254740994')
    ),
]


def beat_call(minion_id, body):
    path = f'/dragonflynotch/Instances.Heartbeat/{minion_id}'
    return HttpCall('POST', path, {}, {}, body)


@pytest.fixture
async def side():
    """Return a guard with one minion, its interface and its store."""
    clock = BootClock()
    store = MemoryRowStore(clock)
    model = MinionModel('m1', clock, RunLog())
    guard = Guard(
        'node',
        store,
        store.store_clock,
        clock,
        lambda heartbeat: (
            ModelMinionClient(model)
            if heartbeat.minion_id == 'm1'
            else HttpMinionClient(heartbeat)
        ),
        GuardLimits(minion_lease_ms=600, authority_ms=1500),
    )
    running = asyncio.create_task(guard.run())
    yield HeartbeatApi(guard), store, running
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def wait_for_report(store, condition):
    name = RowName(REPORTS.name, shard_of('node'), 'node')
    async with asyncio.timeout(3):
        while True:
            row = await store.read_row(name)
            if row is not None and condition(decode_row(row.content, Report)):
                return
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('body', ODD_BEATS)
def test_odd_heartbeat_names_no_minion(body):
    """Odd entry ends the process that reads the list."""
    assert isinstance(decode_heartbeat('m1', body), Unreadable)


@pytest.mark.parametrize(
    'minion_id', ['', 'a/b', 'a\nb', 'a b', '\0', '\ud800', 'x' * 101]
)
def test_odd_minion_identifier_names_no_minion(minion_id):
    """An odd identifier would make the key of an order invalid."""
    body = msgspec.json.encode(BEAT)
    assert isinstance(decode_heartbeat(minion_id, body), Unreadable)


def test_heartbeat_with_a_repeated_field_is_read():
    """JSON allows repeated names; the last one counts."""
    body = with_field(BEAT, 'seq', b'7')
    assert decode_heartbeat('m1', body).sequence == 7


async def test_odd_heartbeats_do_not_end_the_guard(side):
    """Odd entry ends the process that reads the list; the good ones hold."""
    api, store, running = side
    good = await api(beat_call('m1', msgspec.json.encode(BEAT)))
    assert good.status == 200
    await wait_for_report(store, lambda report: report.minion_id == 'm1')
    for body in ODD_BEATS:
        # A reply at once, so that the minion tries no other node.
        assert (await api(beat_call('m1', body))).status == 400
        assert (await api(beat_call('odd', body))).status == 400
    update = {**BEAT, 'seq': 2, 'capacity': {'cpu': 9, 'mem_mb': 9, 'gpu': 9}}
    assert (
        await api(beat_call('m1', msgspec.json.encode(update)))
    ).status == 200
    await wait_for_report(store, lambda report: report.capacity == (9, 9, 9))
    assert not running.done()


@settings(max_examples=200, deadline=None)
@given(odd_versions(BEAT))
def test_any_bytes_are_a_heartbeat_or_unreadable(body):
    """Odd entry ends the process that reads the list."""
    heartbeat = decode_heartbeat('m1', body)
    assert isinstance(heartbeat, Heartbeat | Unreadable)
    if isinstance(heartbeat, Heartbeat):
        assert 0 < heartbeat.address[1] < 65_536
        assert min(heartbeat.capacity) >= 0
