"""The guard process: wiring, announcements and graceful shutdown."""

import asyncio
import secrets
from contextlib import suppress
from datetime import datetime, timedelta

import uvicorn

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.guard.announcer import Announcer
from dragonflynotch.guard.app import GuardApp
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.guard.requests import RequestRunner
from dragonflynotch.guard.task_setup import (
    create_order_api,
    create_task_reconciler,
    run_task_reconciler,
)
from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    GuardState,
    MinionState,
    WorkerState,
)
from dragonflynotch.observability.guard_metrics import GuardMetrics
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.settings import GuardSettings
from dragonflynotch.services.minion import HttpMinionClient

__all__ = ('Guard',)

_MS_PER_S = 1000
_INCARNATION_BITS = 53
# Longer than the idle time-out of entries, so that the guard does not close a
# connection that an entry is about to use.
_IDLE_CONNECTION_TIMEOUT_S = 60
_READABLE_SCHEMA_VERSIONS = (1, 2)

# After this time the guard announces its minion even if the worker has not
# answered yet.
_FIRST_WORKER_ANSWER_TIMEOUT = timedelta(seconds=1)

_log = part_logger('guard')


class Guard:
    """Runs the HTTP server, the announcer and the task reconciler."""

    def __init__(self, settings: GuardSettings) -> None:
        """Create the guard from validated settings."""
        self._settings = settings
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        minion = settings.minion
        self._clock = SystemClock()
        # Each running request occupies one connection to the minion.
        self._runner = RequestRunner(
            HttpMinionClient(
                *(minion.address.host_and_port if minion else ('', 0))
            ),
            slots=min(minion.slots, minion.connections) if minion else 0,
            incarnation=self._incarnation,
            clock=self._clock,
        )
        self._reconciler = create_task_reconciler(
            settings,
            self._incarnation,
            self._clock,
            lambda: self._announcer.announce(),
        )
        self._configuration = ConfigurationCopy(self._incarnation)
        self._announcer = Announcer(
            tuple(entry.host_and_port for entry in settings.entries),
            self._build_announcement,
            self._on_acknowledgement,
            self._clock,
        )
        self._drain_requested = asyncio.Event()
        self._state = GuardState.ready
        self._server = uvicorn.Server(
            uvicorn.Config(
                GuardApp(
                    self._runner,
                    self._configuration,
                    self._drain_requested.set,
                    create_order_api(self._reconciler),
                    GuardMetrics(
                        settings.guard_id, settings.data_centre, self._gauges
                    ),
                ),
                host=settings.listen.host,
                port=settings.listen.port,
                http='h11',
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                timeout_keep_alive=_IDLE_CONNECTION_TIMEOUT_S,
            )
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain and return."""
        server = asyncio.create_task(self._server._serve())
        reconciler = asyncio.create_task(run_task_reconciler(self._reconciler))
        announcer = asyncio.create_task(self._announce())
        _log.info('started guard {}', self._settings.guard_id)
        await _wait_for_any(stop, self._drain_requested)
        await self._drain()
        announcer.cancel()
        reconciler.cancel()
        self._server.should_exit = True
        with suppress(asyncio.CancelledError):
            await asyncio.gather(server, announcer, reconciler)
        _log.info('stopped guard {}', self._settings.guard_id)

    async def _announce(self) -> None:
        if self._reconciler is not None:
            await self._reconciler.wait_for_worker(_FIRST_WORKER_ANSWER_TIMEOUT)
        await self._announcer.run()

    async def _drain(self) -> None:
        self._state = GuardState.draining
        self._runner.start_drain()
        self._announcer.announce()
        limit = timedelta(milliseconds=self._settings.drain_limit_ms)
        await asyncio.gather(
            self._drain_requests(limit), self._drain_tasks(limit)
        )
        self._state = GuardState.leaving
        self._announcer.announce()

    async def _drain_requests(self, limit: timedelta) -> None:
        # An entry that missed the announcements of the drain sends requests
        # until its membership record of this guard expires. The server keeps
        # running for that time to refuse them instead of resetting the
        # connection.
        await asyncio.sleep(self._settings.drain_notice_ms / _MS_PER_S)
        if not await self._runner.drain(limit):
            _log.warning('requests still in flight at the drain limit')

    async def _drain_tasks(self, limit: timedelta) -> None:
        if self._reconciler is not None and not await self._reconciler.drain(
            limit
        ):
            _log.warning('tasks still running at the drain limit')

    def _build_announcement(self, sequence: int) -> Announcement:
        settings = self._settings
        address = settings.advertise or settings.listen
        return Announcement(
            guard_id=settings.guard_id,
            incarnation=self._incarnation,
            sequence=sequence,
            data_centre=settings.data_centre,
            http_host=address.host,
            http_port=address.port,
            state=self._state,
            minion=self._minion_state(),
            worker=self._worker_state(),
            configuration_revision=self._configuration.seen_revision,
            schema_versions=_READABLE_SCHEMA_VERSIONS,
            highest_fence=self._reconciler.highest_fence
            if self._reconciler
            else 0,
            task_digest=self._reconciler.task_digest if self._reconciler else 0,
        )

    def _gauges(self) -> dict[str, int]:
        reconciler = self._reconciler
        return {
            'ready': self._state is GuardState.ready,
            'free_slots': self._runner.free_slots,
            'worker_present': reconciler is not None
            and reconciler.is_worker_present,
            'free_accelerators': reconciler.free_accelerators
            if reconciler
            else 0,
            'highest_fence': reconciler.highest_fence if reconciler else 0,
            'configuration_revision': self._configuration.seen_revision,
        }

    def _on_acknowledgement(
        self, acknowledgement: Acknowledgement, sent_at: datetime
    ) -> None:
        self._configuration.observe_revision(
            acknowledgement.configuration_revision
        )
        if self._reconciler is not None:
            self._reconciler.acknowledge(sent_at, acknowledgement.owned_fence)

    def _minion_state(self) -> MinionState | None:
        minion = self._settings.minion
        if minion is None:
            return None
        return MinionState(
            minion.minion_id,
            minion.slots,
            self._runner.free_slots,
            minion.connections,
        )

    def _worker_state(self) -> WorkerState | None:
        worker = self._settings.worker
        reconciler = self._reconciler
        if (
            worker is None
            or reconciler is None
            or not reconciler.is_worker_present
        ):
            return None
        return WorkerState(
            worker.worker_id,
            worker.rack,
            worker.rack_position,
            worker.accelerators,
            reconciler.free_accelerators,
            worker.cores,
            worker.memory_mb,
        )


async def _wait_for_any(*events: asyncio.Event) -> None:
    waiters = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for waiter in waiters:
        waiter.cancel()
