"""The two programs of the platform deployment."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.leader import Leader
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.rows import Table
from dragonflynotch.control.submissions import SubmissionService
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http_server import HttpServer
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.platform.configuration import decode_deployment
from dragonflynotch.platform.front import FrontApi
from dragonflynotch.platform.minion import HttpMinionClient
from dragonflynotch.platform.row_store import HttpRowStore
from dragonflynotch.platform.settings import PlatformSettings
from dragonflynotch.platform.side import SideApi
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.scheduler import SchedulerSettings

__all__ = ('FrontProgram', 'SideProgram')

# Written by the operator, without a part.
_OPERATOR_TABLE = Table('op', ('',))
_CONFIGURATION_KEY = 'config'
_LONGEST_LEASE_MS = 6000
_LEASE_SHARE = 0.95
# Covers outages of the store of up to 12 s with the refresh of the report.
_AUTHORITY_MS = 15_000
# An entry that has not heard from the store for this long is not ready.
_STORE_SILENCE_MS = 2500
_READY_CHECKS_S = 2.5
_METRICS_PATH = '/metrics'
_METRICS_TYPE = {'Content-Type': 'text/plain; version=0.0.4'}
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503

Handler = Callable[[HttpCall], Awaitable[Reply]]


class FrontProgram:
    """Serves callers and campaigns for the scheduling lease."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the program from checked settings."""
        clock = BootClock()
        self._settings = settings
        self._store = HttpRowStore(settings.store, clock)
        self._configuration = ConfigurationWatch(
            self._store,
            _OPERATOR_TABLE,
            _CONFIGURATION_KEY,
            decode_deployment,
            clock,
        )
        self._leadership = Leadership(settings.node, self._store, clock)
        self._leader = Leader(
            self._store,
            self._store.time,
            clock,
            self._leadership,
            self._deployment,
            SchedulerSettings(
                stop_ms=settings.bounds.stop_ms,
                far_factor=settings.bounds.far_factor,
                keep_ended_ms=settings.bounds.keep_state_ms * 2,
            ),
        )
        self._metrics = JobMetrics(settings.node, self._gauges)
        submissions = SubmissionService(self._store, self._store.time, clock)
        api = FrontApi(submissions, self._deployment, self._metrics)
        self._is_stopping = False
        self._servers = [
            HttpServer(address, handler)
            for address, handler in (
                (settings.front, api),
                (settings.ready, self._ready),
                (settings.metrics, _metrics_handler(self._metrics)),
            )
            if address is not None
        ]

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain and return."""
        decision_log.record('started', program='front')
        servers = [
            asyncio.create_task(server.run()) for server in self._servers
        ]
        watch = asyncio.create_task(self._configuration.run())
        leader = asyncio.create_task(self._leader.run())
        await stop.wait()
        decision_log.record('stopping', program='front')
        self._is_stopping = True
        for server in self._servers:
            server.drain()
        leader.cancel()
        await asyncio.gather(leader, return_exceptions=True)
        await self._leadership.release()
        # The balancer needs two checks to stop sending new connections.
        await asyncio.sleep(_READY_CHECKS_S)
        for server in self._servers:
            server.stop()
        await asyncio.gather(*servers, return_exceptions=True)
        watch.cancel()
        decision_log.record('stopped', program='front')

    def _deployment(self) -> Deployment | None:
        return self._configuration.deployment

    async def _ready(self, _: HttpCall) -> Reply:
        is_ready = (
            not self._is_stopping
            and self._configuration.deployment is not None
            and self._configuration.age_ms < _STORE_SILENCE_MS
        )
        return Reply(_OK if is_ready else _UNAVAILABLE)

    def _gauges(self) -> dict[str, float]:
        deployment = self._configuration.deployment
        return {
            'configuration_version': deployment.version if deployment else 0,
            'configuration_age_ms': self._configuration.age_ms,
            'is_scheduler': self._leadership.is_holder,
            'lease_epoch': self._leadership.epoch,
            'store_calls': self._store.calls,
        }


class SideProgram:
    """Serves the minion on its machine."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the program from checked settings."""
        clock = BootClock()
        self._store = HttpRowStore(settings.store, clock)
        longest_ms = min(_LONGEST_LEASE_MS, settings.bounds.minion_lease_ms)
        self._guard = Guard(
            settings.node,
            self._store,
            self._store.time,
            clock,
            HttpMinionClient,
            GuardLimits(int(longest_ms * _LEASE_SHARE), _AUTHORITY_MS),
        )
        metrics = JobMetrics(settings.node, self._gauges)
        self._servers = [
            HttpServer(address, handler)
            for address, handler in (
                (settings.control, SideApi(self._guard)),
                (settings.metrics, _metrics_handler(metrics)),
            )
            if address is not None
        ]

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set; the minion runs on without it."""
        decision_log.record('started', program='side')
        servers = [
            asyncio.create_task(server.run()) for server in self._servers
        ]
        guard = asyncio.create_task(self._guard.run())
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {guard, stopped}, return_when=asyncio.FIRST_COMPLETED
        )
        if guard.done():
            decision_log.record('guard_failed', error=repr(guard.exception()))
        guard.cancel()
        for server in self._servers:
            server.stop()
        await asyncio.gather(*servers, return_exceptions=True)
        decision_log.record('stopped', program='side')

    def _gauges(self) -> dict[str, float]:
        return {'store_calls': self._store.calls}


def _metrics_handler(metrics: JobMetrics) -> Handler:
    async def serve(call: HttpCall) -> Reply:
        if call.path != _METRICS_PATH:
            return Reply(_NOT_FOUND)
        return Reply(_OK, metrics.render(), _METRICS_TYPE)

    return serve
