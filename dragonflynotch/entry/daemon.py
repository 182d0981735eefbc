"""The entry process: its start, its servers and its graceful stop."""

import asyncio
import secrets
from collections.abc import Mapping
from contextlib import suppress
from datetime import timedelta
from typing import Any

import msgspec

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.core.membership import GuardInfo, Membership
from dragonflynotch.entry.configuration.configuration_copies import (
    ConfigurationCopies,
)
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
)
from dragonflynotch.entry.configuration.configuration_store import (
    ConfigurationStore,
)
from dragonflynotch.entry.configuration.operators import (
    OperatorServices,
    create_operator_app,
)
from dragonflynotch.entry.jobs.forwarded_jobs import (
    ForwardingJobService,
    LocalSchedulingHandler,
)
from dragonflynotch.entry.jobs.job_api import create_job_router
from dragonflynotch.entry.members.discovery import GuardDiscovery
from dragonflynotch.entry.members.health import Health
from dragonflynotch.entry.members.membership import MembershipListener
from dragonflynotch.entry.members.registry import EntryRegistry
from dragonflynotch.entry.members.target_feed import TargetFeed
from dragonflynotch.entry.partition.scheduling import Scheduling
from dragonflynotch.entry.peers.exchange import EntryIdentity, PeerExchange
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.entry.peers.sync import EntrySync, readable_versions
from dragonflynotch.entry.requests.admission import TopologyAdmission
from dragonflynotch.entry.requests.request_path import RequestService
from dragonflynotch.entry.server import HttpServer
from dragonflynotch.links.entry_link import EntryLinkServer, GrpcEntryLink
from dragonflynotch.links.messages import Acknowledgement, Announcement
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.observability.metrics import EntryMetrics
from dragonflynotch.records.documents import READABLE_SCHEMA_VERSIONS
from dragonflynotch.records.settings import EntrySettings
from dragonflynotch.services.http_table import HttpTableService

__all__ = ('Entry',)

_INCARNATION_BITS = 53
_TABLE_TIMEOUT = timedelta(seconds=1)
_LINK_STOP_TIMEOUT = timedelta(seconds=1)

_log = part_logger('entry')


class Entry:
    """An entry with its servers and background tasks."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the entry from validated settings."""
        self._settings = settings
        self._clock = SystemClock()
        self._identity = _identity(settings)
        self._metrics = EntryMetrics(settings.entry_id, settings.data_centre)
        self._table = HttpTableService(settings.table.url, _TABLE_TIMEOUT)
        self._membership = Membership()
        self._discovery = GuardDiscovery(self._clock)
        self._health = Health(
            lambda: self._configuration.is_ready,
            lambda: self._discovery.is_complete,
        )
        self._requests = RequestService(
            settings,
            lambda: self._configuration.view(),
            self._health,
            self._clock,
            self._metrics,
        )
        self._target_feed = TargetFeed(
            settings.data_centre,
            self._requests.routing,
            self._requests.serve_waiting,
        )
        self._remote = RemoteEntries(self._target_feed)
        self._registry = EntryRegistry(self._identity, self._table, self._clock)
        self._configuration = ConfigurationService(
            ConfigurationStore(self._table),
            TopologyAdmission(self._guards_by_data_centre),
            self._readable_versions,
            lambda changes: self._exchange.publish(changes),
        )
        self._exchange = PeerExchange(
            self._identity,
            self._membership,
            self._remote,
            self._configuration,
            GrpcEntryLink,
            self._clock,
        )
        self._copies = ConfigurationCopies(
            self._membership, self._configuration
        )
        self._listener = MembershipListener(
            self._membership,
            self._handle_announcement,
            self._acknowledge,
            self._clock,
        )
        self._sync = EntrySync(
            self._configuration,
            self._copies,
            self._registry,
            self._exchange,
            self._own_versions,
            self._clock,
        )
        self._scheduling = Scheduling(
            settings,
            self._identity.incarnation,
            self._table,
            self._clock,
            self._configuration.view,
        )
        self._exchange.attach(
            LocalSchedulingHandler(
                self._scheduling.ownership, self._scheduling.jobs
            )
        )
        jobs = ForwardingJobService(
            settings.data_centre,
            self._scheduling.jobs,
            self._remote,
            self._exchange.link_to,
            self._clock,
        )
        self._callers = HttpServer(
            self._requests.create_app(
                create_job_router(jobs, self._configuration.view),
            ),
            *settings.callers.host_and_port,
            drain_limit_s=settings.drain_limit_ms // 1000,
        )
        self._operators = HttpServer(
            create_operator_app(
                OperatorServices(
                    configuration=self._configuration,
                    membership=self._membership,
                    health=self._health,
                    describe=self._describe,
                    render_metrics=self._render_metrics,
                )
            ),
            *settings.operators.host_and_port,
        )
        self._link_server = EntryLinkServer(self._exchange)
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then finish requests and return."""
        await self._start()
        _log.info('started entry {}', self._settings.entry_id)
        await stop.wait()
        await self._stop()
        _log.info('stopped entry {}', self._settings.entry_id)

    async def _start(self) -> None:
        settings = self._settings
        await self._listener.open(*settings.announcements.host_and_port)
        await self._link_server.start(*settings.link.host_and_port)
        self._tasks = [
            asyncio.create_task(self._listener.run()),
            asyncio.create_task(self._sync.run()),
            asyncio.create_task(self._copies.run()),
        ]
        self._discovery.begin()
        for peer in settings.peers:
            self._exchange.add_peer(f'{peer.host}:{peer.port}')
        self._scheduling.start()
        self._requests.open()
        self._operators.start()
        self._callers.start()

    async def _stop(self) -> None:
        # The load balancer takes up to the notice time to see that the entry
        # is not ready. Requests that arrive in this time are still served.
        self._health.stop()
        self._exchange.is_stopping = True
        await asyncio.sleep(self._settings.stop_notice_ms / 1000)
        await self._scheduling.stop()
        await self._callers.stop()
        await self._registry.remove()
        await self._operators.stop()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task
        await self._exchange.close()
        await self._link_server.stop(_LINK_STOP_TIMEOUT)
        await self._copies.close()
        await self._requests.close()
        await self._table.close()

    def _handle_announcement(
        self, guard: GuardInfo, announcement: Announcement
    ) -> None:
        self._configuration.observe_revision(
            announcement.configuration_revision
        )
        self._target_feed.observe(guard)
        self._scheduling.handle_announcement(guard, announcement.task_digest)

    def _acknowledge(self, announcement: Announcement) -> Acknowledgement:
        return Acknowledgement(
            entry_id=self._settings.entry_id,
            guard_id=announcement.guard_id,
            sequence=announcement.sequence,
            configuration_revision=self._configuration.log.revision,
            owned_fence=self._scheduling.acknowledged_fence(
                announcement.guard_id
            ),
            entries=tuple(
                peer.announcements
                for peer in self._remote.live(self._clock.now())
                if peer.data_centre == self._settings.data_centre
                and not peer.is_stopping
            ),
        )

    def _guards_by_data_centre(self) -> Mapping[str, tuple[GuardInfo, ...]]:
        remote_guards = {
            peer.data_centre: tuple(peer.guards.values())
            for peer in self._remote.live(self._clock.now())
        }
        own_guards = self._membership.guards()
        return {**remote_guards, self._settings.data_centre: own_guards}

    def _own_versions(self) -> tuple[int, ...]:
        versions = set(READABLE_SCHEMA_VERSIONS)
        for guard in self._membership.guards():
            versions &= set(guard.schema_versions)
        return tuple(sorted(versions))

    def _readable_versions(self) -> Mapping[str, tuple[int, ...]]:
        return readable_versions(
            self._settings.entry_id,
            self._membership,
            self._remote,
            self._registry,
            self._clock,
        )

    async def _describe(self) -> Mapping[str, Any]:
        guards = self._membership.guards()
        return {
            'entry': self._settings.entry_id,
            'data_centre': self._settings.data_centre,
            'configuration_revision': self._configuration.log.revision,
            'is_table_reachable': self._exchange.is_table_reachable,
            'owned_fence': self._scheduling.ownership.fence,
            'is_deciding': self._scheduling.is_deciding,
            **msgspec.structs.asdict(self._scheduling.describe()),
            'guards': [
                {
                    'guard': guard.guard_id,
                    'incarnation': guard.incarnation,
                    'is_ready': guard.is_ready,
                    'minion': guard.minion and guard.minion.minion_id,
                    'free_slots': guard.minion and guard.minion.free_slots,
                    'worker': guard.worker and guard.worker.worker_id,
                    'free_accelerators': guard.free_accelerators,
                }
                for guard in guards
            ],
            'entries': [
                {
                    'entry': peer.entry_id,
                    'data_centre': peer.data_centre,
                    'guards': len(peer.guards),
                }
                for peer in self._remote.live(self._clock.now())
            ],
        }

    def _render_metrics(self) -> bytes:
        metrics = self._metrics
        live_entries = self._remote.live(self._clock.now())
        metrics.set_gauge('live_guards', len(self._membership.guards()))
        metrics.set_gauge('live_entries', len(live_entries))
        metrics.set_gauge(
            'configuration_revision', self._configuration.log.revision
        )
        metrics.set_gauge(
            'table_reachable', int(self._exchange.is_table_reachable)
        )
        jobs = self._scheduling.describe()
        metrics.set_gauge('owned_fence', self._scheduling.ownership.fence)
        metrics.set_gauge('waiting_jobs', len(jobs.waiting))
        metrics.set_gauge('running_jobs', jobs.running_jobs)
        return metrics.render()


def _identity(settings: EntrySettings) -> EntryIdentity:
    return EntryIdentity(
        entry_id=settings.entry_id,
        incarnation=secrets.randbits(_INCARNATION_BITS),
        data_centre=settings.data_centre,
        link=settings.link.host_and_port,
        announcements=settings.announcements.host_and_port,
        schema_versions=READABLE_SCHEMA_VERSIONS,
    )
