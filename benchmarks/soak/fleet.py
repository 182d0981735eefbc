"""Processes of the soak test with their links and minions."""

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
_ENTRY_COUNT = 3
_GUARD_COUNT = 4
_HOST = '127.0.0.1'
# Lowest rate of a minion clock, relative to real time.
_MIN_CLOCK_RATE = 0.98
# Answers are delayed, so that orders also change between two answers of a
# minion.
_MAX_ANSWER_DELAY_S = 0.06


class _SlowClock(SteadyClock):
    """Clock of a minion that runs slower than real time."""

    def __init__(self, rate: float) -> None:
        self._clock = BootClock()
        self._origin_ms = self._clock.now_ms()
        self._rate = rate

    def now_ms(self) -> int:
        """Return the slow time in milliseconds."""
        elapsed_ms = self._clock.now_ms() - self._origin_ms
        return self._origin_ms + int(elapsed_ms * self._rate)


class LinkedProcess(SiteProcess):
    """A program that reaches the store through a proxy of its own."""

    def __init__(
        self, name: str, settings: Path, log: Path, link: LoopbackProxy
    ) -> None:
        """Create the process; ``start`` runs it."""
        super().__init__(name, settings, log)
        self.link = link


@dataclass(slots=True)
class _MinionEndpoint:
    """Where a guard and its minion listen, and how often the minion started."""

    guard_address: tuple[str, int]
    # Relays the calls of the guard; a crash closes it with its connections.
    link: LoopbackProxy
    start_count: int = 0


class Fleet:
    """Entries, guards, minions and the store of one run.

    Parameters
    ----------
    directory : Path
        Where settings and logs are written.
    runs : RunLog
        Log of the starts and ends of all runs on the minions.
    duration_ms : callable
        Returns the duration of a task.
    """

    def __init__(
        self,
        directory: Path,
        random: Random,
        runs: RunLog,
        duration_ms: Callable[[str], int],
    ) -> None:
        """Create the fleet; ``start`` starts it."""
        self.site = PlatformSite(_free_address(), runs)
        self.entries: list[LinkedProcess] = []
        self.guards: list[LinkedProcess] = []
        # Proxies that callers connect to, one for each entry.
        self.caller_links: list[LoopbackProxy] = []
        self.minions: list[SiteMinion] = []
        self.next_version = 1
        self._directory = directory
        self._random = random
        self._duration_ms = duration_ms
        self._endpoints: list[_MinionEndpoint] = []
        # Receives the number of a minion that a task has crashed.
        self.on_crash: Callable[[int], None] = _ignore_crash

    @property
    def processes(self) -> list[LinkedProcess]:
        """Processes of all entries and guards."""
        return [*self.entries, *self.guards]

    def advance(self) -> None:
        """End the runs on all minions that are due to end."""
        for minion in self.minions:
            minion.model.advance()

    async def start(self, queues: list[SiteQueue], guaranteed: int) -> None:
        """Start the store, the entries, the guards and their minions."""
        await self.site.start()
        await self.configure(queues, guaranteed)
        for number in range(_ENTRY_COUNT):
            link = LoopbackProxy(_free_address(), _free_address())
            await link.start()
            self.caller_links.append(link)
            listen = {
                'listen.front': _format_address(link.target),
                'listen.ready': _format_address(_free_address()),
            }
            self.entries.append(
                await self._start_process(f'front-{number}', listen)
            )
        for number in range(_GUARD_COUNT):
            endpoint = _MinionEndpoint(
                _free_address(),
                LoopbackProxy(_free_address(), _free_address()),
            )
            listen = {
                'listen.control': _format_address(endpoint.guard_address),
                'app': _format_address(endpoint.link.address),
                'service': SERVICE,
            }
            self.guards.append(
                await self._start_process(f'side-{number}', listen)
            )
            self._endpoints.append(endpoint)
            self.minions.append(await self._start_minion(number))

    async def configure(self, queues: list[SiteQueue], guaranteed: int) -> None:
        """Write the next version of the configuration."""
        await self.site.put_queues(
            self.next_version, SERVICE, queues, guaranteed
        )
        self.next_version += 1

    async def replace_minion(self, number: int, downtime_s: float) -> None:
        """Crash a minion and start another at its address after a downtime."""
        await self._endpoints[number].link.stop()
        await self.minions[number].stop()
        await asyncio.sleep(downtime_s)
        self.minions[number] = await self._start_minion(number)

    async def stop(self) -> None:
        """Stop all that was started; raise the first failure afterwards."""
        processes = self.processes
        links = (
            *self.caller_links,
            *(process.link for process in processes),
            *(endpoint.link for endpoint in self._endpoints),
        )
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

    async def _start_process(
        self, name: str, listen: dict[str, str]
    ) -> LinkedProcess:
        link = LoopbackProxy(_free_address(), self.site.address)
        await link.start()
        port = _free_address()[1]
        settings = self.site.write_settings(
            self._directory / f'{name}.conf',
            name,
            {
                'port_range': f'{port},{port}',
                **listen,
                'platform.address': _format_address(link.address),
            },
        )
        log = self._directory / f'{name}.log'
        process = LinkedProcess(name, settings, log, link)
        await process.start()
        return process

    async def _start_minion(self, number: int) -> SiteMinion:
        endpoint = self._endpoints[number]
        endpoint.start_count += 1
        minion = SiteMinion(
            self.site,
            f'i-{endpoint.link.address[1]}-{endpoint.start_count}',
            SERVICE,
            endpoint.link.target,
            endpoint.guard_address,
            self._duration_ms,
            _SlowClock(self._random.uniform(_MIN_CLOCK_RATE, 1)),
            lambda: self._random.uniform(0, _MAX_ANSWER_DELAY_S),
            announced_address=endpoint.link.address,
        )
        minion.on_crash = lambda: self._close_crashed(number)
        await endpoint.link.start()
        await minion.start()
        return minion

    def _close_crashed(self, number: int) -> None:
        self._endpoints[number].link.reset()
        self.on_crash(number)


def _ignore_crash(_: int) -> None:
    """Leave the minion crashed; used until a fault injector is there."""


def _free_address() -> tuple[str, int]:
    return _HOST, free_ports(1)[0]


def _format_address(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
