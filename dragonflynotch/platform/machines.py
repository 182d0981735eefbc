"""HTTP client of the platform's list of machines."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta
from typing import Literal
from urllib.parse import urlencode

import msgspec

from dragonflynotch.control.machines import (
    MachineDirectory,
    MachineList,
    NoMachineDirectory,
)
from dragonflynotch.core.errors import LinkError, PlatformUnavailableError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.platform.settings import PlatformSettings
from dragonflynotch.records.bounds import Label, MinionId

__all__ = ('HttpMachineDirectory', 'machine_directory')

_PEER = 'list of machines'
_PATH = '/dragonflynotch/machines'
_OK = 200
_CALL_TIMEOUT = timedelta(seconds=2)
# A list with more pages is taken for one that never ends.
_MAX_PAGES = 1000
# The rest is left to other readers of the platform's lists.
_USED_SHARE_OF_RATE = 0.5


class _WireMachine(msgspec.Struct):
    """Machine of the service ``pool``; ``id`` is that of its minion, if any."""

    machine: Label
    pool: Label
    state: Literal['up', 'moving', 'upkeep', 'down']
    id: MinionId | None = None


class _WirePage(msgspec.Struct):
    """Page; ``next_token`` requests the next one and is null on the last."""

    machines: list[_WireMachine]
    next_token: str | None


_page_decoder = msgspec.json.Decoder(_WirePage)


class HttpMachineDirectory(MachineDirectory):
    """List of machines reached over HTTP.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    reads_per_s : float, optional
        Pages that the platform returns per second to all nodes together.
    """

    def __init__(
        self, address: tuple[str, int], reads_per_s: float | None = None
    ) -> None:
        """Create the client; no connection is opened yet."""
        self._pool = HttpPool(address, max_idle=1)
        self._page_interval_s = (
            0
            if reads_per_s is None
            else 1 / (reads_per_s * _USED_SHARE_OF_RATE)
        )

    async def list_minions(self) -> MachineList:
        """Return the minions on all pages."""
        pages = await self._read_pages()
        if len(pages) > 1:
            # If a machine is removed meanwhile, another one may move to a page
            # that has been read.
            await asyncio.sleep(self._page_interval_s)
            pages += await self._read_pages()
        return _list_minions(
            machine for page in pages for machine in page.machines
        )

    async def _read_pages(self) -> list[_WirePage]:
        pages = [await self._read_page('')]
        while pages[-1].next_token:
            if len(pages) == _MAX_PAGES:
                raise _unavailable(f'more than {_MAX_PAGES} pages')
            await asyncio.sleep(self._page_interval_s)
            pages.append(await self._read_page(pages[-1].next_token))
        return pages

    async def _read_page(self, token: str) -> _WirePage:
        query = urlencode({'page_token': token}) if token else ''
        try:
            reply = await self._pool.exchange(
                'GET',
                f'{_PATH}?{query}' if query else _PATH,
                timeout=_CALL_TIMEOUT,
            )
        except LinkError as error:
            raise _unavailable(error) from error
        if reply.status != _OK:
            raise _unavailable(reply.status)
        page = decode_untrusted(_page_decoder.decode, reply.body)
        if isinstance(page, Unreadable):
            unreadable_entries.record('machines_unreadable', page, peer=_PEER)
            raise _unavailable('malformed response')
        return page


def machine_directory(settings: PlatformSettings) -> MachineDirectory:
    """Return the list of machines that the settings name."""
    if settings.machines_address is None:
        return NoMachineDirectory()
    return HttpMachineDirectory(
        settings.machines_address, settings.machine_reads_per_s
    )


def _list_minions(machines: Iterable[_WireMachine]) -> MachineList:
    minions: dict[str, set[str]] = {}
    for machine in machines:
        listed = minions.setdefault(machine.pool, set())
        if machine.id:
            listed.add(machine.id)
    return MachineList(
        {service: frozenset(listed) for service, listed in minions.items()}
    )


def _unavailable(cause: object) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'list of machines is unavailable: {cause}', step='read', peer=_PEER
    )
