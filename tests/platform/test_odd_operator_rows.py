"""Odd content in the rows of the operator and in settings files."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings

from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.operator_requests import EvacuationWatch
from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.platform.configuration import decode_deployment
from dragonflynotch.platform.evacuations import (
    OPERATOR_TABLE,
    decode_evacuation,
)
from dragonflynotch.platform.settings import load_settings
from dragonflynotch.records.settings import GuardSettings
from dragonflynotch.records.settings_files import parse_settings
from dragonflynotch.records.settings_watch import SettingsWatch
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.deployment import Deployment
from tests.control.cluster import LoopClock
from tests.odd_entries import (
    NESTED,
    ODD_BODIES,
    ODD_NUMBERS,
    odd_versions,
    with_field,
)

ROUTE = {'name': 'r', 'host': 'h', 'prefix': '/p/', 'service': 's'}
CONFIG = {
    'version': 1,
    'routes': [ROUTE],
    'services': [{'name': 's'}],
    'tenants': [{'name': 't', 'api_keys': ['k'], 'guaranteed': {'gpu': 8}}],
}
ODD_CONFIGS = [
    *ODD_BODIES,
    *(with_field(CONFIG, 'version', text) for text in ODD_NUMBERS),
    *(with_field(CONFIG, name, NESTED) for name in ('unknown', 'routes')),
]
SETTINGS = 'node=n\nip=127.0.0.1\nport_range=7000,7015\nplatform.address=h:1\n'
ODD_SETTINGS = [
    *(
        f'platform.address=127.0.0.1:{port}'
        for port in ('0', '-1', '70000', '9' * 5000, '', 'x', '1e3')
    ),
    *(f'port_range={port},1' for port in ('0', '70000', '9' * 5000)),
    *(
        f'{name}={text}'
        for name in ('bounds.stop_ms', 'bounds.status_s', 'bounds.far_x')
        for text in ('1e999', 'nan', '-1', 'inf', '9' * 5000, 'often')
    ),
]


async def put(store, key, content):
    name = RowName(OPERATOR_TABLE.name, '', key)
    await store.commit([RowWrite(name, content)], [])


async def test_odd_rows_do_not_end_the_watch_of_the_operator():
    """Odd entry ends the loop that follows the list; the good ones hold."""
    clock = LoopClock()
    store = MemoryRowStore(clock)
    watch = ConfigurationWatch(
        store, OPERATOR_TABLE, 'config', decode_deployment, clock
    )
    evacuations = EvacuationWatch(watch, store.store_clock, decode_evacuation)
    running = asyncio.create_task(watch.run())
    for content in ODD_CONFIGS:
        await put(store, 'config', content)
        await put(store, 'wave/1', content)
        await put(store, 'evacuate/', content)
        await asyncio.sleep(0.002)
    await put(store, 'evacuate/hall-a', NESTED)
    await put(store, 'config', msgspec.json.encode({**CONFIG, 'version': 5}))
    async with asyncio.timeout(3):
        while watch.deployment is None or watch.deployment.version != 5:
            await asyncio.sleep(0.01)
    assert list(watch.deployment.queues) == ['r']
    assert evacuations.requests().data_centres == {'hall-a'}
    assert not running.done()
    running.cancel()


@pytest.mark.parametrize('content', ODD_CONFIGS)
def test_odd_configuration_is_unreadable(content):
    """Odd entry ends the process that reads it."""
    assert isinstance(decode_deployment(content), Unreadable)


@pytest.mark.parametrize('name', ['priority', 'max_attempts', 'stretch'])
@pytest.mark.parametrize(
    'text', [b'9' * 400, b'1e300', b'-1', b'[' * 100 + b']' * 100]
)
def test_odd_route_is_left_out(name, text):
    """Odd entry ends the process that reads it; the good ones hold."""
    odd = with_field({**ROUTE, 'name': 'odd'}, name, text)
    content = with_field(
        CONFIG, 'routes', b'[%s,%s]' % (odd, msgspec.json.encode(ROUTE))
    )
    assert list(decode_deployment(content).queues) == ['r']


@settings(max_examples=200, deadline=None)
@given(odd_versions(CONFIG))
def test_any_bytes_are_a_configuration_or_unreadable(content):
    """Odd entry ends the process that reads it."""
    assert isinstance(decode_deployment(content), Deployment | Unreadable)


@pytest.mark.parametrize('line', ODD_SETTINGS)
def test_odd_settings_are_refused(tmp_path, line):
    """Odd entry ends the process that reads it; here, a settings file."""
    path = tmp_path / 'settings'
    path.write_text(f'{SETTINGS}{line}\n')
    with pytest.raises(InvalidInputError):
        load_settings(path)


@pytest.mark.parametrize('content', ODD_BODIES)
def test_odd_settings_of_a_daemon_are_refused(content):
    """Odd entry ends the process that reads it; here, a settings file."""
    with pytest.raises(InvalidInputError):
        parse_settings(content, GuardSettings, 'guard.json')


async def test_odd_settings_do_not_end_their_watch(tmp_path):
    """Odd entry ends the loop that follows the file; the good ones hold."""
    path = tmp_path / 'settings'
    path.write_text(SETTINGS)
    applied = []
    watch = SettingsWatch(
        path, load_settings(path), load_settings, applied.append
    )
    running = asyncio.create_task(watch.run())
    for line in (*ODD_SETTINGS, '\udcff'):
        path.write_bytes(f'{SETTINGS}{line}\n'.encode(errors='surrogateescape'))
        watch.request_reload()
        await asyncio.sleep(0.002)
    path.write_text(f'{SETTINGS}bounds.stop_ms=777\n')
    watch.request_reload()
    async with asyncio.timeout(3):
        while not applied:
            await asyncio.sleep(0.01)
    assert [each.bounds.max_stop_ms for each in applied] == [777]
    assert not running.done()
    running.cancel()
