"""A small deployment: the project's programs beside stand-ins of the rest.

The programs are started with the commands of the deploy file, on loopback
addresses and the real clock.
"""

import asyncio
import json
import os
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom

from dragonflynotch.testing.loopback_proxy import LoopbackProxy
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.site_caller import Answer
from dragonflynotch.testing.site_process import SiteProcess
from dragonflynotch.workflows.jobs import StepSpec
from review.stand_ins.caller import ReviewCaller
from review.stand_ins.minion import CAPACITY, ReviewMinion
from review.stand_ins.silent_proxy import SilentProxy
from review.stand_ins.store import ROW_BYTES, LimitedSite

SERVICE = 'booking-core'
URGENT = SiteQueue('urgent', priority=0, max_attempts=2)
BATCH = SiteQueue('batch', priority=2, max_attempts=2)
# Bounds of further/dhns-booking.toml, as the settings file gives them.
BOUNDS = {
    'bounds.seed_lag_s': '3',
    'bounds.reuse_after_s': '2',
    'bounds.contact_ms': '3000',
    'bounds.ack_timeout_ms': '4000',
    'bounds.catch_up_s': '4',
    'bounds.drain_ms': '2000',
    'bounds.grace_s': '6',
    'bounds.config_apply_ms': '2000',
    'bounds.recovery_s': '12',
    'bounds.hold_max_ms': '6000',
    'bounds.stop_ms': '900',
    'bounds.gang_timeout_ms': '3000',
    'bounds.cancel_ms': '3000',
    'bounds.visible_ms': '3000',
    'bounds.early_ms': '250',
    'bounds.finish_s': '14',
    'bounds.status_s': '120',
    'bounds.far_x': '3',
    'bounds.lease_ms': '3000',
    'platform.form': 'table',
    'platform.writes_per_s': '800',
    'platform.reads_per_s': '2000',
    'platform.row_bytes': str(ROW_BYTES),
}
# Exit status of a case that breaks its rule; ``run.sh`` turns it into 1.
BROKEN = 10
FINISH_S = 14.0
# How long a job has nothing running, in the rule LOST.
IDLE_S = 3.0
_HOST = '127.0.0.1'
_ADVANCE_S = 0.01
_SAMPLE_S = 0.1
_FINAL = frozenset(('completed', 'failed', 'cancelled'))


class TaskLog(RunLog):
    """Starts and ends of all runs, with their times.

    Parameters
    ----------
    note : callable
        Receives a line for the record.
    """

    def __init__(self, note: Callable[[str], None]) -> None:
        """Create an empty log."""
        super().__init__()
        self.times: dict[tuple[str, int, str], float] = {}
        self._note = note

    def record_start(self, task: str, run: int, minion_id: str) -> None:
        """Record the start of a run."""
        super().record_start(task, run, minion_id)
        self.times[(task, run, minion_id)] = time.monotonic()
        self._note(f'ran      start of {task} run {run} on {minion_id}')

    def record_end(
        self, task: str, run: int, minion_id: str, kind: str
    ) -> None:
        """Record the end of a run."""
        super().record_end(task, run, minion_id, kind)
        self._note(f'ran      {kind} of {task} run {run} on {minion_id}')

    def is_running(self, job_id: str) -> bool:
        """Return whether any minion runs a subtask of a job."""
        return any(
            minions and task.startswith(job_id + '.')
            for task, minions in self.active_minions.items()
        )

    def running_count(self) -> int:
        """Return how many runs there are on all minions."""
        return sum(len(minions) for minions in self.active_minions.values())


class Deployment:
    """Fronts, sides and minions over one store.

    Parameters
    ----------
    folder : Path
        Folder of the case, for ``record.txt``.
    sides : int
        Machines with a minion.
    duration_ms : callable
        Returns the running time of a task.
    """

    def __init__(
        self,
        folder: Path,
        sides: int,
        duration_ms: Callable[[str], int],
    ) -> None:
        """Create the deployment; ``start`` starts it."""
        self._record = (folder / 'record.txt').open('w')
        self._started_s = time.monotonic()
        self.runs = TaskLog(self.note)
        self.site = LimitedSite(_free_address(), self.runs)
        self.fronts: list[SiteProcess] = []
        self.sides: list[SiteProcess] = []
        self.minions: list[ReviewMinion] = []
        self.front_addresses: list[tuple[str, int]] = []
        self.callers: list[ReviewCaller] = []
        self._side_count = sides
        self._duration_ms = duration_ms
        # Addresses of the guards, and the proxies in front of the minions: a
        # crash closes the port and the connections of a minion at once.
        self._guards: list[tuple[str, int]] = []
        self._links: list[LoopbackProxy] = []
        # Proxies between each program and the store.
        self.store_links: list[SilentProxy] = []
        self._lives: list[int] = []
        self._work = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._work.name)
        self._advancing: asyncio.Task[None] | None = None
        self._next = 0
        # Last answered state of each job; the record has the changes.
        self._states: dict[str, str] = {}

    def note(self, line: str) -> None:
        """Write a line to the record, with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self._record.write(f'{elapsed_s:8.3f} {line}\n')
        self._record.flush()

    async def start(self) -> None:
        """Start everything and wait until the fronts accept jobs."""
        await self.site.start()
        await self.site.put_config(1, SERVICE, [URGENT, BATCH])
        self._advancing = asyncio.create_task(self._advance())
        for number in range(3):
            address = _free_address()
            self.front_addresses.append(address)
            self.callers.append(ReviewCaller(address))
            self.fronts.append(
                await self._start_program(
                    f'front-{number}',
                    {
                        'class': 'front',
                        'listen.front': _text(address),
                        'listen.ready': _text(_free_address()),
                    },
                )
            )
        for number in range(self._side_count):
            guard = _free_address()
            link = LoopbackProxy(_free_address(), _free_address())
            self._guards.append(guard)
            self._links.append(link)
            self._lives.append(0)
            self.sides.append(
                await self._start_program(
                    f'side-{number}',
                    {
                        'class': 'side',
                        'listen.control': _text(guard),
                        'app': _text(link.address),
                        'service': SERVICE,
                    },
                )
            )
        await asyncio.sleep(2)
        for number in range(self._side_count):
            self.minions.append(await self.start_minion(number))
        await asyncio.sleep(4)

    async def start_minion(
        self, number: int, minion_id: str = ''
    ) -> ReviewMinion:
        """Start a life of a minion, by default with an id of its own."""
        link = self._links[number]
        self._lives[number] += 1
        minion = ReviewMinion(
            self.site,
            minion_id or f'i-{number}-{self._lives[number]}',
            SERVICE,
            link.target,
            self._guards[number],
            self._duration_ms,
            announced_address=link.address,
        )
        await link.start()
        await minion.start()
        return minion

    async def restart_minion(
        self, number: int, down_s: float, *, keeps_id: bool
    ) -> None:
        """Crash a minion and start it again at its address."""
        old = self.minions[number]
        self.note(f'trouble  {old.model.minion_id} crashes')
        await self._links[number].stop()
        await old.stop()
        await asyncio.sleep(down_s)
        self.minions[number] = await self.start_minion(
            number, old.model.minion_id if keeps_id else ''
        )
        self.note(f'trouble  {self.minions[number].model.minion_id} starts')

    def minion_of(self, task: str) -> int | None:
        """Return the number of the minion that runs a task."""
        running = self.runs.active_minions.get(task, set())
        for number, minion in enumerate(self.minions):
            if minion.model.minion_id in running:
                return number
        return None

    # ---- callers ---------------------------------------------------------

    async def submit(
        self, queue: SiteQueue, spec: str, steps: list[StepSpec], what: str
    ) -> str:
        """Hand in a job and return its identifier once it is accepted.

        Raises
        ------
        CaseFailedError
            If it was not accepted.
        """
        return await self.hand_in(
            queue,
            lambda caller, job_id: caller.submit(
                queue.name, job_id, spec, steps
            ),
            what,
        )

    async def hand_in(
        self,
        queue: SiteQueue,
        submit: Callable[[ReviewCaller, str], Awaitable[Answer]],
        what: str,
    ) -> str:
        """Hand in a job under a new identifier, which is returned."""
        job_id = f'{SystemRandom().getrandbits(64):016x}'
        answer = await self.call(lambda caller: submit(caller, job_id))
        self.note(
            f'sent     POST /{queue.name}/{job_id} ({what}): {answer.status}'
        )
        if not answer.is_accepted:
            raise CaseFailedError(f'{what} was not accepted: {answer}')
        return job_id

    async def state(self, queue: SiteQueue, job_id: str) -> str:
        """Return the state of a job, or the status if it has none."""
        answer = await self.call(
            lambda caller: caller.state(queue.name, job_id)
        )
        state = answer.state or f'status {answer.status}'
        if self._states.get(job_id) != state:
            self._states[job_id] = state
            self.note(f'answered GET /{queue.name}/{job_id}: {state}')
        return state

    async def call(
        self, call: Callable[[ReviewCaller], Awaitable[Answer]]
    ) -> Answer:
        """Call the fronts in turn, again after no answer, 502 and 504."""
        answer = Answer(0)
        for _ in range(5):
            self._next += 1
            answer = await call(self.callers[self._next % len(self.callers)])
            if answer.status not in {0, 502, 503, 504}:
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def wait_until_final(
        self, queue: SiteQueue, job_id: str, limit_s: float, what: str
    ) -> str:
        """Ask for a job until it has ended or the time is over."""
        end_s = time.monotonic() + limit_s
        state = ''
        while state not in _FINAL and time.monotonic() < end_s:
            await asyncio.sleep(0.25)
            state = await self.state(queue, job_id)
        self.note(f'answered GET /{queue.name}/{job_id} ({what}): {state}')
        return state

    async def lies_idle(
        self, queue: SiteQueue, job_id: str, millicores: int, what: str
    ) -> bool:
        """Return whether a job is lost by the rule LOST.

        For ``IDLE_S`` it has nothing running and has not ended, there is room
        for its subtask twice over, and under half of the capacity is in use.
        Comes ``FINISH_S`` after the end of the traffic.
        """
        total = CAPACITY['cpu'] * len(self.minions)
        end_s = time.monotonic() + IDLE_S
        while time.monotonic() < end_s:
            in_use = self.runs.running_count() * millicores
            if (
                self.runs.is_running(job_id)
                or in_use * 2 >= total
                or total - in_use < 2 * millicores
                or await self.state(queue, job_id) in _FINAL
            ):
                self.note(f'check    {what} is not idle')
                return False
            await asyncio.sleep(_SAMPLE_S)
        state = await self.state(queue, job_id)
        self.note(
            f'check    {what}: {state}, nothing ran for {IDLE_S} s, '
            f'{in_use} of {total} millicores in use'
        )
        return True

    # ---- end -------------------------------------------------------------

    async def stop(self) -> None:
        """End all processes that were started, and note what they logged."""
        for process in (*self.fronts, *self.sides):
            await process.kill()
        for minion, link in zip(self.minions, self._links, strict=False):
            await link.stop()
            await minion.stop()
        for caller in self.callers:
            caller.close()
        if self._advancing is not None:
            self._advancing.cancel()
        for link in self.store_links:
            await link.stop()
        await self.site.stop()
        for line in self.site.refused[:3]:
            self.note(f'store    refused: {line}')
        self.note(f'store    refused calls: {len(self.site.refused)}')
        self._note_logs()
        self._work.cleanup()

    def _note_logs(self) -> None:
        for process in self.fronts:
            lines = process.log.read_text(errors='replace').splitlines()
            for event in ('scheduling_failed', 'lease_claimed', 'job_ended'):
                found = [line for line in lines if f'"{event}"' in line]
                self.note(f'log      {process.name}: {event} {len(found)}')
                for line in found[:1]:
                    self.note(f'log      {_last_line(line)}')

    async def _start_program(
        self, name: str, fields: dict[str, str]
    ) -> SiteProcess:
        port = _free_address()[1]
        link = SilentProxy(_free_address(), self.site.address)
        await link.start()
        self.store_links.append(link)
        settings = self.site.write_settings(
            self.folder / f'{name}.conf',
            name,
            {
                **BOUNDS,
                **fields,
                'port_range': f'{port},{port}',
                'platform.address': _text(link.address),
            },
        )
        process = SiteProcess(name, settings, self.folder / f'{name}.log')
        await process.start()
        return process

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(_ADVANCE_S)
            for minion in self.minions:
                minion.model.advance()


class CaseFailedError(Exception):
    """The case could not run, so it shows nothing."""


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    deployment: Deployment,
    case: Callable[[Deployment], Awaitable[bool]],
    limit_s: float = 105,
) -> int:
    """Run a case and return its exit status.

    0 if the rule held, ``BROKEN`` if it was broken, 2 if the case couldn't
    run. An error that isn't expected ends the interpreter with 1.
    """
    return asyncio.run(_run_case(deployment, case, limit_s))


async def _run_case(
    deployment: Deployment,
    case: Callable[[Deployment], Awaitable[bool]],
    limit_s: float,
) -> int:
    status = 2
    # A script that is ended early still ends what it started.
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
    deployment.note(f'trouble  {has_trouble()}')
    try:
        async with asyncio.timeout(limit_s):
            await deployment.start()
            status = BROKEN if await case(deployment) else 0
    except (CaseFailedError, TimeoutError, OSError) as error:
        deployment.note(f'failed   {error!r}')
    finally:
        await deployment.stop()
        deployment.note(f'exit     {status}')
    return status


def _last_line(line: str) -> str:
    """Return a log line, or the end of the error in it, without paths."""
    error = json.loads(line).get('error')
    return line if error is None else error.strip().splitlines()[-1]


def _free_address() -> tuple[str, int]:
    return _HOST, free_ports(1)[0]


def _text(address: tuple[str, int]) -> str:
    return '{}:{}'.format(*address)
