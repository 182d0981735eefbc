"""Tests of the client of the list of machines."""

import asyncio

import pytest

from dragonflynotch.control.machines import MachineList, NoMachineDirectory
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.platform.machines import (
    HttpMachineDirectory,
    machine_directory,
)
from dragonflynotch.platform.settings import load_settings
from dragonflynotch.testing.platform_site import PlatformSite
from tests.odd_entries import NESTED, ODD_BODIES, ODD_NUMBERS
from tests.platform.programs import free_address
from tests.platform.test_odd_answers import OddServer

ENTRY = b'{"machine":"a","pool":"p","state":"up","id":"m"}'
ODD_PAGES = [
    *ODD_BODIES,
    b'{}',
    b'{"machines":[%s]}' % ENTRY,
    b'{"next_token":null}',
    b'{"machines":[%s,5],"next_token":null}' % ENTRY,
    b'{"machines":[%s],"next_token":5}' % ENTRY,
    b'{"machines":[%s,{"machine":"b"}],"next_token":null}' % ENTRY,
    b'{"machines":[%s],"next_token":null}' % ENTRY.replace(b'"up"', b'"odd"'),
    b'{"machines":[%s],"next_token":null}' % ENTRY.replace(b'"m"', b'"m/x"'),
    b'{"machines":[{"unknown":%s}],"next_token":null}' % NESTED,
    *(
        b'{"machines":[%s],"next_token":null}' % ENTRY.replace(b'"m"', number)
        for number in ODD_NUMBERS
        if number != b'"1"'
    ),
]


@pytest.fixture
async def site():
    site = PlatformSite(free_address())
    await site.start()
    yield site
    await site.stop()


@pytest.fixture
async def odd_server():
    odd = OddServer()
    listening = await asyncio.start_server(odd.serve, '127.0.0.1', 0)
    odd.address = listening.sockets[0].getsockname()
    yield odd
    listening.close()


async def test_minions_are_listed_by_service(site):
    """A machine without a minion must keep its service in the list."""
    site.machines.start('a', 'planner', 'm1')
    site.machines.start('b', 'planner', 'm2')
    site.machines.start('c', 'other', 'm3')
    site.machines.power_off('b')
    site.machines.power_off('c')
    listed = await HttpMachineDirectory(site.address).list_minions()
    assert listed == MachineList(
        {'planner': frozenset({'m1'}), 'other': frozenset()}
    )


async def test_all_pages_are_read(site):
    """Minions on later pages must not seem to have ended."""
    site.max_page_machines = 2
    for number in range(5):
        site.machines.start(f'n{number}', 'planner', f'm{number}')
    directory = HttpMachineDirectory(site.address, reads_per_s=1000)
    listed = await directory.list_minions()
    assert listed.minions_of('planner') == {f'm{n}' for n in range(5)}


async def test_machine_that_moves_to_a_page_that_was_read_is_listed(site):
    """The removal of a machine must not hide another one."""
    site.max_page_machines = 2
    for number in range(5):
        site.machines.start(f'n{number}', 'planner', f'm{number}')
    directory = HttpMachineDirectory(site.address, reads_per_s=20)
    lookup = asyncio.create_task(directory.list_minions())
    while site.machines.call_count < 1:
        await asyncio.sleep(0.005)
    site.machines.remove('n0')
    listed = await lookup
    assert {'m1', 'm2', 'm3', 'm4'} <= listed.minions_of('planner')


async def test_list_whose_later_page_fails_is_unavailable(site):
    """Part of a list must not be taken for all of it."""
    site.max_page_machines = 2
    for number in range(5):
        site.machines.start(f'n{number}', 'planner', f'm{number}')
    directory = HttpMachineDirectory(site.address, reads_per_s=20)
    lookup = asyncio.create_task(directory.list_minions())
    while site.machines.call_count < 1:
        await asyncio.sleep(0.005)
    site.machines.is_available = False
    with pytest.raises(PlatformUnavailableError):
        await lookup


@pytest.mark.parametrize('body', ODD_PAGES, ids=range(len(ODD_PAGES)))
async def test_unreadable_list_is_unavailable(odd_server, body):
    """An entry that cannot be read must not make its minion seem absent."""
    odd_server.body = body
    with pytest.raises(PlatformUnavailableError):
        await HttpMachineDirectory(odd_server.address).list_minions()


async def test_list_without_an_end_is_unavailable(odd_server):
    """Pages that follow each other for ever must not keep the lookup going."""
    odd_server.body = b'{"machines":[%s],"next_token":"1"}' % ENTRY
    with pytest.raises(PlatformUnavailableError):
        await HttpMachineDirectory(odd_server.address).list_minions()


async def test_list_that_cannot_be_reached_is_unavailable():
    """A list that nobody serves must not end the search."""
    with pytest.raises(PlatformUnavailableError):
        await HttpMachineDirectory(free_address()).list_minions()


async def test_settings_without_an_address_name_no_list(site, tmp_path):
    """A deployment without a list must start as before."""
    fields = {'port_range': '7000,7000'}
    path = site.write_settings(tmp_path / 'front.conf', 'front', fields)
    settings = load_settings(path)
    assert settings.machines_address == site.address
    assert isinstance(machine_directory(settings), HttpMachineDirectory)
    fields['cloud.address'] = ''
    settings = load_settings(site.write_settings(path, 'front', fields))
    assert isinstance(machine_directory(settings), NoMachineDirectory)


async def test_malformed_address_of_the_list_is_refused(site, tmp_path):
    """A mistyped address must be found at the start."""
    fields = {'port_range': '7000,7000', 'cloud.address': 'host:x'}
    path = site.write_settings(tmp_path / 'front.conf', 'front', fields)
    with pytest.raises(InvalidInputError):
        load_settings(path)
