"""A small deployment of the real programs on loopback, for one case.

The platform is the project's own stand-in; the minions are those of
``parts_2.minion``. Each program is started with the command of the deploy file.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from dragonflynotch.testing.loopback_proxy import LoopbackProxy
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.site_caller import Answer, SiteCaller
from dragonflynotch.testing.site_process import SiteProcess
from review.parts_2.minion import Minion
from review.parts_2.platform import Platform

__all__ = (
    'BROKEN',
    'HELD',
    'NOT_RUN',
    'SERVICE',
    'Caller',
    'CaseError',
    'Host',
    'Site',
    'run_case',
)

HELD = 0
BROKEN = 1
NOT_RUN = 2
SERVICE = 'planner'
_HOST = '127.0.0.1'
_ADVANCE_S = 0.01
_LIMIT_S = 95
# Bounds of the site tks-suva.
_BOUNDS = {
    'heartbeat_ms': '1500',
    'bounds.contact_ms': '3000',
    'bounds.ack_timeout_ms': '4000',
    'bounds.drain_ms': '2000',
    'bounds.grace_s': '6',
    'bounds.hold_max_ms': '10000',
    'bounds.stop_ms': '400',
    'bounds.gang_timeout_ms': '3000',
    'bounds.cancel_ms': '3000',
    'bounds.visible_ms': '3000',
    'bounds.status_s': '120',
    'bounds.far_x': '3',
    'bounds.finish_s': '14',
    'platform.row_bytes': '65536',
    'platform.history_s': '20',
}


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Caller(SiteCaller):
    """Caller that submits steps as they stand on the platform's pages."""

    async def post(
        self, queue: str, job_id: str, steps: list[dict[str, object]]
    ) -> Answer:
        """Submit a job."""
        body = {'spec': 'text', 'steps': steps}
        return await self._call('POST', f'/{queue}/{job_id}', body)


class Host:
    """A side machine: its guard process and the minion on it."""

    def __init__(self, number: int, guard: SiteProcess, site: 'Site') -> None:
        """Create the machine; ``boot`` starts its first minion."""
        self.number = number
        self.guard = guard
        self.guard_address = (_HOST, free_ports(1)[0])
        self.link = LoopbackProxy(
            (_HOST, free_ports(1)[0]), (_HOST, free_ports(1)[0])
        )
        self.boots = 0
        self.minion: Minion | None = None
        self._site = site

    async def boot(self) -> Minion:
        """Start a minion with a new identifier."""
        self.boots += 1
        self.minion = Minion(
            self._site.platform,
            f'i-{self.number}-{self.boots}',
            SERVICE,
            self.link.target,
            self.guard_address,
            self._site.duration_ms,
            self.link.address,
            self._site.lasts,
        )
        await self.link.start()
        await self.minion.start()
        return self.minion

    async def crash(self) -> None:
        """Crash the minion: its port closes and its runs are gone."""
        if self.minion is None:
            return
        self.minion.model.crash()
        # A connection may have closed by itself.
        with suppress(OSError):
            await self.link.stop()
        await self.minion.stop()
        self.minion = None


class Site:
    """Fronts, side machines and the platform of one case."""

    def __init__(
        self, folder: Path, record: Callable[[str], None], sides: int
    ) -> None:
        """Create the site; ``start`` starts it."""
        self._folder = folder
        self.record = record
        self.platform = Platform((_HOST, free_ports(1)[0]), RunLog())
        self.durations: dict[str, int] = {}
        # Jobs whose subtasks last.
        self.lasting: set[str] = set()
        self._processes: list[SiteProcess] = []
        self.fronts: list[SiteProcess] = []
        self.front_addresses: list[tuple[str, int]] = []
        self.hosts: list[Host] = []
        self._sides = sides
        self._tasks: list[asyncio.Task[None]] = []
        self._known_starts = 0
        self._known_ends = 0

    @property
    def runs(self) -> RunLog:
        """Starts and ends on all minions."""
        return self.platform.runs

    def duration_ms(self, task: str) -> int:
        """Return the work of a subtask of a job."""
        return self.durations[task.partition('.')[0]]

    def lasts(self, task: str) -> bool:
        """Return whether a subtask lasts."""
        return task.partition('.')[0] in self.lasting

    def callers(self) -> list[Caller]:
        """Return a caller for each front."""
        return [Caller(address) for address in self.front_addresses]

    async def configure(self, version: int, queues: list[SiteQueue]) -> None:
        """Write a configuration as the operator does."""
        await self.platform.put_queues(version, SERVICE, queues, 0)
        names = [queue.name for queue in queues]
        self.record(f'operator: config version {version}, routes {names}')

    async def start(self, queues: list[SiteQueue]) -> None:
        """Start all processes and wait until they serve."""
        await self.platform.start()
        await self.configure(1, queues)
        for number in range(3):
            address = (_HOST, free_ports(1)[0])
            self.front_addresses.append(address)
            self.fronts.append(
                await self._start_program(
                    f'front-{number}',
                    {
                        'listen.front': _text(address),
                        'listen.ready': _text((_HOST, free_ports(1)[0])),
                    },
                )
            )
        for _ in range(self._sides):
            await self.add_host()
        self._tasks.append(asyncio.create_task(self._advance()))
        for host in self.hosts:
            await host.boot()
        # The programs import their packages and read the store first.
        await asyncio.sleep(6)

    async def add_host(self) -> Host:
        """Start the guard of another side machine, without a minion."""
        number = len(self.hosts)
        host = Host(number, SiteProcess('', Path(), Path()), self)
        host.guard = await self._start_program(
            f'side-{number}',
            {
                'listen.control': _text(host.guard_address),
                'app': _text(host.link.address),
                'service': SERVICE,
            },
        )
        self.hosts.append(host)
        return host

    async def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(
            *(process.kill() for process in self._processes),
            return_exceptions=True,
        )
        await asyncio.gather(
            *(host.crash() for host in self.hosts), return_exceptions=True
        )
        await self.platform.stop()

    async def until(
        self, condition: Callable[[], bool], limit_s: float, what: str
    ) -> None:
        """Wait for a condition, without which the case cannot run."""
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                raise CaseError(f'no {what} within {limit_s} s')
            await asyncio.sleep(_ADVANCE_S)

    def host_of(self, task: str) -> Host | None:
        """Return the machine on which a subtask runs."""
        active = self.runs.active_minions.get(task, set())
        for host in self.hosts:
            if host.minion and host.minion.model.minion_id in active:
                return host
        return None

    async def _advance(self) -> None:
        while True:
            for host in self.hosts:
                if host.minion is not None:
                    host.minion.model.advance()
            self._record_runs()
            await asyncio.sleep(_ADVANCE_S)

    def _record_runs(self) -> None:
        for task, run, minion in self.runs.starts[self._known_starts :]:
            self.record(f'{minion}: start of {task} run {run}')
        for task, run, how in self.runs.ends[self._known_ends :]:
            self.record(f'end of {task} run {run}: {how}')
        self._known_starts = len(self.runs.starts)
        self._known_ends = len(self.runs.ends)

    async def _start_program(
        self, name: str, fields: dict[str, str]
    ) -> SiteProcess:
        port = free_ports(1)[0]
        settings = self.platform.write_settings(
            self._folder / f'{name}.conf',
            name,
            {**_BOUNDS, 'port_range': f'{port},{port}', **fields},
        )
        process = SiteProcess(name, settings, self._folder / f'{name}.log')
        self._processes.append(process)
        await process.start()
        return process


def _text(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'


def run_case(
    folder: Path,
    case: Callable[[Site, bool], Awaitable[bool]],
    queues: list[SiteQueue],
    sides: int,
    record_name: str = 'record.txt',
) -> None:
    """Run a case, write its record and exit with its result.

    Parameters
    ----------
    case : callable
        Gets the site and whether there is trouble, and returns whether the rule
        was broken.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    lines: list[str] = []
    started_s = time.monotonic()

    def record(text: str) -> None:
        lines.append(f'{time.monotonic() - started_s:8.3f} {text}')

    async def play(directory: Path) -> bool:
        task = asyncio.current_task()
        if task is not None:
            # The programs are ended also if the script is told to end.
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(
                    number, task.cancel
                )
        site = Site(directory, record, sides)
        try:
            async with asyncio.timeout(_LIMIT_S):
                await site.start(queues)
                return await case(site, has_trouble)
        finally:
            await site.stop()

    with tempfile.TemporaryDirectory() as directory:
        try:
            is_broken = asyncio.run(play(Path(directory)))
            status = BROKEN if is_broken else HELD
        except (Exception, asyncio.CancelledError) as error:
            # An error of the script says nothing about the rule.
            record(f'the case could not run: {error!r}')
            if not isinstance(error, CaseError):
                traceback.print_exc()
            status = NOT_RUN
        logs = os.environ.get('LOGS')
        if logs:
            for log in Path(directory).glob('*.log'):
                (Path(logs) / log.name).write_bytes(log.read_bytes())
    record(f'trouble: {has_trouble}; exit status {status}')
    (folder / record_name).write_text('\n'.join(lines) + '\n')
    sys.exit(status)
