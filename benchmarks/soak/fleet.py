"""The processes of the soak with their links and minions."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from dragonflynotch.control.clocks import BootClock, SteadyClock
from dragonflynotch.testing.loopback_proxy import LoopbackProxy
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.platform_site import PlatformSite, SiteQueue
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.site_minion import SiteMinion
from dragonflynotch.testing.site_process import SiteProcess

__all__ = ('Fleet', 'LinkedProcess')

SERVICE = 'planner'
_ENTRIES = 3
_GUARDS = 4
_HOST = '127.0.0.1'
# Minion clocks may be this much slow.
_SLOWEST_CLOCK = 0.98
# Orders that change between two answers of a minion must do no harm.
_LONGEST_ANSWER_S = 0.06


class _SlowClock(SteadyClock):
    """A minion's clock that runs slower than the others."""

    def __init__(self, rate: float) -> None:
        self._clock = BootClock()
        self._origin_ms = self._clock.now_ms()
        self._rate = rate

    def now_ms(self) -> int:
        """Return milliseconds of the slow clock."""
        elapsed_ms = self._clock.now_ms() - self._origin_ms
        return self._origin_ms + int(elapsed_ms * self._rate)


class LinkedProcess(SiteProcess):
    """A program with its own link to the store."""

    def __init__(
        self, name: str, settings: Path, log: Path, link: LoopbackProxy
    ) -> None:
        """Create the process; ``start`` runs it."""
        super().__init__(name, settings, log)
        self.link = link


@dataclass(slots=True)
class _MinionPlace:
    """Where the minion of a guard lives."""

    guard: tuple[str, int]
    address: tuple[str, int]
    boots: int = 0


class Fleet:
    """Entries, guards, minions and the store.

    Parameters
    ----------
    folder : Path
        Takes settings and logs.
    runs : RunLog
        Takes the starts and ends.
    duration_ms : callable
        Returns how long a task runs.
    """

    def __init__(
        self,
        folder: Path,
        random: Random,
        runs: RunLog,
        duration_ms: Callable[[str], int],
    ) -> None:
        """Create the fleet; ``start`` runs it."""
        self.site = PlatformSite(_address(), runs)
        self.entries: list[LinkedProcess] = []
        self.guards: list[LinkedProcess] = []
        # What callers connect to, one for each entry.
        self.caller_links: list[LoopbackProxy] = []
        self.minions: list[SiteMinion] = []
        self.version = 1
        self._folder = folder
        self._random = random
        self._duration_ms = duration_ms
        self._places: list[_MinionPlace] = []

    @property
    def processes(self) -> list[LinkedProcess]:
        """All programs."""
        return [*self.entries, *self.guards]

    def advance(self) -> None:
        """End on all minions what is due."""
        for minion in self.minions:
            minion.model.advance()

    async def start(self, queues: list[SiteQueue], guaranteed: int) -> None:
        """Start everything."""
        await self.site.start()
        await self.configure(queues, guaranteed)
        for number in range(_ENTRIES):
            link = LoopbackProxy(_address(), _address())
            await link.start()
            self.caller_links.append(link)
            listen = {
                'listen.front': _text(link.target),
                'listen.ready': _text(_address()),
            }
            self.entries.append(await self._create(f'front-{number}', listen))
        for number in range(_GUARDS):
            place = _MinionPlace(_address(), _address())
            listen = {
                'listen.control': _text(place.guard),
                'app': _text(place.address),
                'service': SERVICE,
            }
            self.guards.append(await self._create(f'side-{number}', listen))
            self._places.append(place)
            self.minions.append(await self._boot_minion(place))

    async def configure(self, queues: list[SiteQueue], guaranteed: int) -> None:
        """Write the next version of the configuration."""
        await self.site.put_queues(self.version, SERVICE, queues, guaranteed)
        self.version += 1

    async def replace_minion(self, number: int, down_s: float) -> None:
        """Crash a minion and boot another at its address."""
        await self.minions[number].stop()
        await asyncio.sleep(down_s)
        self.minions[number] = await self._boot_minion(self._places[number])

    async def stop(self) -> None:
        """End everything that was started, whatever fails on the way."""
        processes = self.processes
        links = (*self.caller_links, *(process.link for process in processes))
        outcomes = await asyncio.gather(
            *(process.kill() for process in processes),
            *(minion.stop() for minion in self.minions),
            *(link.stop() for link in links),
            return_exceptions=True,
        )
        await self.site.stop()
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome

    async def _create(self, name: str, listen: dict[str, str]) -> LinkedProcess:
        link = LoopbackProxy(_address(), self.site.address)
        await link.start()
        port = _address()[1]
        settings = self.site.write_settings(
            self._folder / f'{name}.conf',
            name,
            {
                'port_range': f'{port},{port}',
                **listen,
                'platform.address': _text(link.address),
            },
        )
        log = self._folder / f'{name}.log'
        process = LinkedProcess(name, settings, log, link)
        await process.start()
        return process

    async def _boot_minion(self, place: _MinionPlace) -> SiteMinion:
        place.boots += 1
        minion = SiteMinion(
            self.site,
            f'i-{place.address[1]}-{place.boots}',
            SERVICE,
            place.address,
            place.guard,
            self._duration_ms,
            _SlowClock(self._random.uniform(_SLOWEST_CLOCK, 1)),
            lambda: self._random.uniform(0, _LONGEST_ANSWER_S),
        )
        await minion.start()
        return minion


def _address() -> tuple[str, int]:
    return _HOST, free_ports(1)[0]


def _text(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
