"""Assembles the components that serve requests in an entry."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from random import Random

from litestar import Litestar, Router

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.core.limits import RetryBudget
from dragonflynotch.core.routing import RoutingTable
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.members.health import Health
from dragonflynotch.entry.requests.at_most_once import AtMostOnceRunner
from dragonflynotch.entry.requests.attempts import AttemptRunner
from dragonflynotch.entry.requests.callers import (
    CallerContext,
    create_caller_app,
)
from dragonflynotch.entry.requests.dispatcher import Dispatcher
from dragonflynotch.entry.requests.idempotent import IdempotentRunner
from dragonflynotch.entry.requests.ledger import Ledger
from dragonflynotch.entry.requests.target_queue import TargetQueue
from dragonflynotch.links.guard_link import HttpGuardLink
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.observability.metrics import EntryMetrics
from dragonflynotch.records.settings import EntrySettings
from dragonflynotch.services.http_object_store import HttpObjectStore
from dragonflynotch.services.http_table import HttpTableService

__all__ = ('RequestService',)

_TABLE_TIMEOUT = timedelta(milliseconds=500)
_OBJECT_TIMEOUT = timedelta(seconds=2)
_CLEANUP_INTERVAL_S = 3600
_LEDGER_CLOSE_TIMEOUT = timedelta(seconds=2)

_log = part_logger('entry.requests')


class RequestService:
    """Serves requests between the caller port and the guards.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    configuration : callable
        Returns the configuration in force.
    health : Health
        Readiness of the entry.
    clock : Clock
        Clock of the process.
    metrics : EntryMetrics
        Counts requests.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configuration: Callable[[], ConfigurationView],
        health: Health,
        clock: Clock,
        metrics: EntryMetrics,
    ) -> None:
        """Create all components; ``open`` starts them."""
        self._routing = RoutingTable(settings.data_centre, Random())
        self._queue = TargetQueue(self._routing, clock, settings.queue_limit)
        self._link = HttpGuardLink()
        self._table = HttpTableService(settings.table.url, _TABLE_TIMEOUT)
        self._objects: HttpObjectStore | None = None
        if settings.object_store is not None:
            self._objects = HttpObjectStore(
                settings.object_store.url, _OBJECT_TIMEOUT
            )
        self._ledger = Ledger(self._table, self._objects)
        attempts = AttemptRunner(self._routing, self._link, clock)
        dispatcher = Dispatcher(
            self._queue,
            IdempotentRunner(self._queue, attempts, RetryBudget(), clock),
            AtMostOnceRunner(
                self._queue, attempts, self._ledger, self._routing, clock
            ),
            clock,
        )
        self._context = CallerContext(
            dispatcher, configuration, health, clock, metrics
        )
        self._clock = clock
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    @property
    def routing(self) -> RoutingTable:
        """Routing table of the known minions."""
        return self._routing

    def create_app(self, *routers: Router) -> Litestar:
        """Return the ASGI application for callers, with further ``routers``."""
        return create_caller_app(self._context, *routers)

    def open(self) -> None:
        """Start the background tasks."""
        self._tasks = (
            asyncio.create_task(self._queue.run()),
            asyncio.create_task(self._delete_expired_rows()),
        )

    def serve_waiting(self) -> None:
        """Serve waiting requests after a change of the known minions."""
        self._queue.serve_waiting()

    async def close(self) -> None:
        """Wait for unfinished ledger writes and close all connections."""
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        await self._ledger.close(_LEDGER_CLOSE_TIMEOUT)
        await self._link.close()
        await self._table.close()
        if self._objects is not None:
            await self._objects.close()

    async def _delete_expired_rows(self) -> None:
        random = Random()
        while True:
            # A random interval keeps entries that were started together from
            # scanning the table at the same time.
            await asyncio.sleep(_CLEANUP_INTERVAL_S * (random.random() + 0.5))
            try:
                await self._ledger.delete_expired(self._clock.now())
            except DragonflynotchError as error:
                _log.info('expired ledger rows were not all deleted: {}', error)
