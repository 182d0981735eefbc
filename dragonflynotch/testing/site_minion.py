"""Stand-in for a minion of the users' platform over HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.minions import (
    MinionState,
    StartRefused,
    StartRequest,
)
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http11 import exchange
from dragonflynotch.links.http_server import HttpServer
from dragonflynotch.testing.minion_model import MinionFault, MinionModel
from dragonflynotch.testing.platform_site import PlatformSite

__all__ = ('SiteMinion',)

_JSON = {'Content-Type': 'application/json'}
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_OTHER_INCARNATION = 421
# Leaves open whether the call was carried out.
_BAD_GATEWAY = 502
_HEARTBEAT_INTERVAL_S = 0.3
_CALL_TIMEOUT = timedelta(seconds=1)
_POLL_S = 0.005
_MAX_ANSWER_BYTES = 65_536
_PATH_PREFIX = '/dragonflynotch/'


class SiteMinion:
    """Minion that takes calls of its guard and sends it heartbeats.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which the minion listens.
    guard : tuple of (str, int)
        Address to which heartbeats are sent.
    duration_ms : int or callable
        Running time of each task, or a function of the task.
    clock : SteadyClock, optional
        Clock of the minion; the clock of the store by default.
    answer_delay_s : callable, optional
        Returns the delay of the next answer.
    announced_address : tuple of (str, int), optional
        Address in the heartbeats; ``address`` by default.
    """

    def __init__(
        self,
        site: PlatformSite,
        minion_id: str,
        service: str,
        address: tuple[str, int],
        guard: tuple[str, int],
        duration_ms: int | Callable[[str], int],
        clock: SteadyClock | None = None,
        answer_delay_s: Callable[[], float] | None = None,
        *,
        announced_address: tuple[str, int] | None = None,
    ) -> None:
        """Create the minion; ``start`` begins to serve calls."""
        self.model = MinionModel(
            minion_id,
            clock or site.clock,
            site.runs,
            duration_ms if callable(duration_ms) else lambda _: duration_ms,
        )
        # Unix time of its start, told in heartbeats and lists of runs if set.
        self.start_ms: int | None = None
        self._answer_delay_s = answer_delay_s
        self._service = service
        self._machines = site.machines
        self._machine_name = 'm-{}-{}'.format(*guard)
        self._announced_address = announced_address or address
        # Called when a task crashes the minion.
        self.on_crash: Callable[[], None] = _ignore_crash
        self._guard = guard
        self._heartbeat_number = 0
        self._server = HttpServer(address, self._answer)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start serving calls and sending heartbeats."""
        self._machines.start(
            self._machine_name, self._service, self.model.minion_id
        )
        self._tasks = [
            asyncio.create_task(self._server.run()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Crash the minion; it does not deregister from its guard."""
        self.model.crash()
        self._machines.power_off(self._machine_name)
        self._server.stop()
        self._tasks[1].cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def _start_fields(self) -> dict[str, int]:
        return {} if self.start_ms is None else {'born': self.start_ms}

    async def _send_heartbeats(self) -> None:
        while not self.model.is_crashed:
            self._heartbeat_number += 1
            body = {
                'service': self._service,
                'address': '{}:{}'.format(*self._announced_address),
                'zone': 'hall-a',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 8},
                'labels': ['a', 'r1'],
                'seq': self._heartbeat_number,
                **self._start_fields,
            }
            try:
                await exchange(
                    self._guard,
                    'POST',
                    f'{_PATH_PREFIX}Instances.Heartbeat/{self.model.minion_id}',
                    body=msgspec.json.encode(body),
                    timeout=_CALL_TIMEOUT,
                    max_body_bytes=_MAX_ANSWER_BYTES,
                )
            except DragonflynotchError:
                # The guard may not have started yet; retry with the next one.
                await asyncio.sleep(_POLL_S)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _answer(self, call: HttpCall) -> Reply:
        expected = call.headers.get('dragonflynotch-expected-instance')
        if expected not in {None, self.model.minion_id}:
            return Reply(_OTHER_INCARNATION)
        if self._answer_delay_s is not None:
            await asyncio.sleep(self._answer_delay_s())
        if self.model.is_crashed:
            return Reply(_BAD_GATEWAY)
        body = msgspec.json.decode(call.body)
        match call.path.removeprefix(_PATH_PREFIX):
            case 'hold':
                return await self._report_state(body)
            case 'run-start':
                return self._start(body)
            case 'run-stop':
                outcome = self.model.stop(
                    body['task'], body['run'], body['fencing_token']
                )
                return self._reply(outcome, {})
        return Reply(_NOT_FOUND)

    async def _report_state(self, body: dict[str, int]) -> Reply:
        deadline_ms = self.model.clock_ms + body.get('wait_ms', 0)
        while True:
            outcome = self.model.poll(
                body['fencing_token'],
                body['seen_upto'],
                body.get('until_ms', 0),
            )
            if not isinstance(outcome, MinionState):
                return self._reply(outcome, {})
            if outcome.ended or outcome.clock_ms >= deadline_ms:
                fields = {
                    'running_count': outcome.running,
                    'ended': outcome.ended,
                    **self._start_fields,
                }
                return self._reply(outcome, fields)
            await asyncio.sleep(_POLL_S)

    def _start(self, body: dict[str, object]) -> Reply:
        request = StartRequest(
            str(body['task']),
            int(str(body['run'])),
            str(body['spec']),
            str(body.get('checkpoint', '')),
            int(str(body['until_ms'])),
        )
        token = int(str(body['fencing_token']))
        if self.model.fault is MinionFault.late_starts:
            self.model.defer_start(request, token)
            return Reply(_BAD_GATEWAY)
        outcome = self.model.start(request, token)
        if self.model.is_crashed:
            self.on_crash()
            return Reply(_BAD_GATEWAY)
        if self.model.fault is MinionFault.lose_answers:
            return Reply(_BAD_GATEWAY)
        return self._reply(outcome, {})

    def _reply(self, outcome: object, fields: Mapping[str, object]) -> Reply:
        body: dict[str, object] = {
            'clock_ms': self.model.clock_ms,
            **fields,
        }
        if isinstance(outcome, StartRefused):
            body['reason'] = outcome.reason.value
            return Reply(_CONFLICT, msgspec.json.encode(body), _JSON)
        return Reply(_OK, msgspec.json.encode(body), _JSON)


def _ignore_crash() -> None:
    """Let a crashed minion answer on until it is stopped."""
