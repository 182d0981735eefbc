"""The two programs of the platform deployment, ``front`` and ``side``."""

import asyncio
from collections.abc import Mapping

from dragonflynotch.control.claim_delay import claim_delay
from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.leader import Leader
from dragonflynotch.control.leader_term import LeaderContext
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.loss_detector import LossCounts
from dragonflynotch.control.operator_requests import EvacuationWatch
from dragonflynotch.control.relay_directory import RelayAnnouncement
from dragonflynotch.control.relay_service import RelayService
from dragonflynotch.control.submissions import SubmissionService
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http_server import HttpServer
from dragonflynotch.links.relay_server import RelayApi
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.job_metrics import JobMetrics, LabelledGauge
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.platform.configuration import decode_deployment
from dragonflynotch.platform.evacuations import (
    OPERATOR_TABLE,
    decode_evacuation,
)
from dragonflynotch.platform.front import JobApi
from dragonflynotch.platform.internal_api import (
    internal_handler,
    relayed_store,
)
from dragonflynotch.platform.machines import machine_directory
from dragonflynotch.platform.minion import HttpMinionClient
from dragonflynotch.platform.row_store import HttpRowStore
from dragonflynotch.platform.settings import PlatformSettings
from dragonflynotch.platform.side import HeartbeatApi
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.scheduler import SchedulerSettings

__all__ = ('AUTHORITY_MS', 'FrontProgram', 'SideProgram')

_CONFIGURATION_KEY = 'config'
_MAX_MINION_LEASE_MS = 6000
# Fraction of the longest accepted lease that the guard asks for.
_MINION_LEASE_FRACTION = 0.95
# Covers an outage of the store of up to 9 s plus the time between two reports,
# each of which renews the authority. What a guard that is cut off holds has to
# be started elsewhere within the 14 s in which jobs are expected to go on.
AUTHORITY_MS = 12_000
# The readiness check fails if the copy of the configuration is older.
_MAX_CONFIGURATION_AGE_MS = 2500
_BALANCER_DELAY_S = 2.5
_OK = 200
_UNAVAILABLE = 503


class FrontProgram:
    """Serves callers, and schedules while it holds the scheduling lease."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the program from checked settings."""
        clock = BootClock()
        self._settings = settings
        self._store = HttpRowStore(
            settings.store_address, clock, settings.store_limits
        )
        self._configuration = ConfigurationWatch(
            self._store,
            OPERATOR_TABLE,
            _CONFIGURATION_KEY,
            decode_deployment,
            clock,
        )
        evacuations = EvacuationWatch(
            self._configuration, self._store.store_clock, decode_evacuation
        )
        self._leadership = Leadership(
            settings.node,
            self._store,
            clock,
            claim_delay(settings.cores, settings.link_mbps),
        )
        self._metrics = JobMetrics(
            settings.node,
            self._gauges,
            self._evacuation_run_counts,
            self._labelled_gauges,
        )
        self._losses = LossCounts()
        self._leader = Leader(
            LeaderContext(
                self._store,
                self._store.store_clock,
                clock,
                self._leadership,
                self._deployment,
                self._metrics.record_round,
                evacuations.requests,
                self._metrics.record_load,
                machine_directory(settings),
                self._losses,
            ),
            _scheduler_settings(settings),
        )
        submissions = SubmissionService(
            self._store, self._store.store_clock, self._store.health, clock
        )
        api = JobApi(
            submissions, self._deployment, self._store.health, self._metrics
        )
        self._relay = RelayService(
            self._store,
            lambda: self._store.health.is_reachable,
            clock,
            self._leader.receive_ends,
        )
        self._announcement = RelayAnnouncement(
            settings.node, settings.metrics_address, self._store
        )
        self._is_stopping = False
        self._is_ready = False
        self._servers = [
            HttpServer(address, handler)
            for address, handler in (
                (settings.caller_address, api),
                (settings.readiness_address, self._check_readiness),
                (
                    settings.metrics_address,
                    internal_handler(
                        self._metrics,
                        RelayApi(self._relay, self._store.store_clock),
                    ),
                ),
            )
            if address is not None
        ]

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain and return."""
        decision_log.record('started', program='front')
        servers = [
            asyncio.create_task(server.run()) for server in self._servers
        ]
        configuration = asyncio.create_task(self._configuration.run())
        leader = asyncio.create_task(self._leader.run())
        announcement = asyncio.create_task(self._announcement.publish())
        await stop.wait()
        decision_log.record('stopping', program='front')
        self._is_stopping = True
        announcement.cancel()
        for server in self._servers:
            server.drain()
        leader.cancel()
        await asyncio.gather(leader, return_exceptions=True)
        await self._leadership.release()
        await self._announcement.withdraw()
        # The load balancer sends new connections until two checks have failed.
        await asyncio.sleep(_BALANCER_DELAY_S)
        for server in self._servers:
            server.stop()
        await asyncio.gather(*servers, return_exceptions=True)
        configuration.cancel()
        decision_log.record('stopped', program='front')

    def apply_bounds(self, settings: PlatformSettings) -> None:
        """Use the bounds in ``settings`` from the next decision on."""
        self._leader.apply_settings(_scheduler_settings(settings))

    def _evacuation_run_counts(self) -> Mapping[str, int]:
        return self._leader.status.evacuation_run_counts

    def _deployment(self) -> Deployment | None:
        return self._configuration.deployment

    async def _check_readiness(self, _: HttpCall) -> Reply:
        is_ready = (
            not self._is_stopping
            and self._configuration.deployment is not None
            and self._configuration.age_ms < _MAX_CONFIGURATION_AGE_MS
            and self._store.health.is_reachable
        )
        if is_ready != self._is_ready:
            self._is_ready = is_ready
            decision_log.record(
                'readiness_changed',
                is_ready=is_ready,
                is_stopping=self._is_stopping,
                configuration_age_ms=self._configuration.age_ms,
                store_age_ms=self._store.store_clock.age_ms,
                is_store_reachable=self._store.health.is_reachable,
            )
        return Reply(_OK if is_ready else _UNAVAILABLE)

    def _gauges(self) -> dict[str, float]:
        deployment = self._configuration.deployment
        scheduler = self._leader.status
        return {
            'configuration_version': deployment.version if deployment else 0,
            'configuration_age_ms': self._configuration.age_ms,
            'is_ready': self._is_ready,
            'is_store_reachable': self._store.health.is_reachable,
            'is_scheduler': self._leadership.is_holder,
            'lease_epoch': self._leadership.epoch,
            'lease_handovers': self._leadership.own_handovers,
            'leaving_workers': scheduler.leaving_workers,
            'departure_stops': scheduler.departure_stops,
            'suspected_tasks': scheduler.suspected_tasks,
            'lost_runs': scheduler.lost_runs,
            'unstorable_jobs': scheduler.unstorable_jobs,
            'jobs_set_aside': scheduler.jobs_set_aside,
            'machines_lost': self._losses.machines_lost,
            'failed_machine_lookups': self._losses.failed_lookups,
            'store_calls': self._store.call_count,
            'relay_calls_served': self._relay.served,
            'relay_calls_refused': self._relay.refused,
            'unreadable_entries': unreadable_entries.count,
        }

    def _labelled_gauges(self) -> tuple[LabelledGauge, ...]:
        scheduler = self._leader.status
        uses = scheduler.capacity_use.items()
        return (
            LabelledGauge(
                'idle_jobs',
                'Jobs of which nothing runs although it could, by cause.',
                'cause',
                scheduler.idle_jobs,
            ),
            LabelledGauge(
                'capacity_in_use',
                'Share of the capacity that orders hold.',
                'service',
                {service: use.in_use for service, use in uses},
            ),
            LabelledGauge(
                'capacity_unreported',
                'Share held by orders whose runs no recent report lists.',
                'service',
                {service: use.unreported for service, use in uses},
            ),
        )


class SideProgram:
    """Runs the guard of the minion on this machine."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the program from checked settings."""
        clock = BootClock()
        self._store = HttpRowStore(
            settings.store_address, clock, settings.store_limits
        )
        self._relayed = relayed_store(settings.node, self._store, clock)
        self._guard = Guard(
            settings.node,
            self._relayed,
            self._store.store_clock,
            clock,
            HttpMinionClient,
            _guard_limits(settings),
            self._relayed.deliver_report,
        )
        metrics = JobMetrics(settings.node, self._gauges)
        self._servers = [
            HttpServer(address, handler)
            for address, handler in (
                (settings.heartbeat_address, HeartbeatApi(self._guard)),
                (settings.metrics_address, internal_handler(metrics)),
            )
            if address is not None
        ]

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set or the guard fails.

        The minion continues its runs without this process.
        """
        decision_log.record('started', program='side')
        servers = [
            asyncio.create_task(server.run()) for server in self._servers
        ]
        guard_task = asyncio.create_task(self._guard.run())
        relayed = asyncio.create_task(self._relayed.run())
        stop_requested = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {guard_task, stop_requested}, return_when=asyncio.FIRST_COMPLETED
        )
        if guard_task.done():
            decision_log.record(
                'guard_failed', error=repr(guard_task.exception())
            )
        guard_task.cancel()
        # A later heartbeat would start a session that the last report lacks.
        for server in self._servers:
            server.stop()
        await asyncio.gather(guard_task, return_exceptions=True)
        await self._guard.relinquish_authority()
        relayed.cancel()
        await asyncio.gather(*servers, return_exceptions=True)
        decision_log.record('stopped', program='side')

    def apply_bounds(self, settings: PlatformSettings) -> None:
        """Use the bounds in ``settings`` for the minion's next incarnation."""
        self._guard.apply_limits(_guard_limits(settings))

    def _gauges(self) -> dict[str, float]:
        backlog = self._guard.end_backlog
        return {
            'store_calls': self._store.call_count,
            'relayed_store_calls': self._relayed.relayed_calls,
            'delivered_reports': self._relayed.delivered_reports,
            'failed_relays': self._relayed.failed_relays,
            'is_relaying': self._relayed.is_relaying,
            'unreadable_entries': unreadable_entries.count,
            'minion_crashes': self._guard.minion_crashes,
            'unrecorded_ends': backlog.count,
            'oldest_unrecorded_end_ms': backlog.oldest_ms,
        }


def _scheduler_settings(settings: PlatformSettings) -> SchedulerSettings:
    bounds = settings.bounds
    return SchedulerSettings(
        stop_ms=bounds.max_stop_ms,
        off_rack_slowdown=bounds.off_rack_slowdown,
        ended_job_retention_ms=bounds.ended_state_ms * 2,
        evacuation_bound_ms=bounds.evacuation_bound_ms,
        max_row_bytes=settings.store_limits.row_bytes,
    )


def _guard_limits(settings: PlatformSettings) -> GuardLimits:
    max_lease_ms = min(
        _MAX_MINION_LEASE_MS, settings.bounds.max_minion_lease_ms
    )
    return GuardLimits(int(max_lease_ms * _MINION_LEASE_FRACTION), AUTHORITY_MS)
