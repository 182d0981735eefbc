"""Assembles the components that schedule jobs in an entry."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    DragonflynotchError,
    PlatformUnavailableError,
)
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.ownership import OwnershipPolicy
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.jobs.job_cleanup import delete_ended_jobs
from dragonflynotch.entry.jobs.job_overview import JobOverview, describe_jobs
from dragonflynotch.entry.jobs.job_recorder import JobRecorder
from dragonflynotch.entry.jobs.local_jobs import LocalJobService
from dragonflynotch.entry.members.guard_roster import GuardRoster
from dragonflynotch.entry.partition.lease_row import LeaseRowStore
from dragonflynotch.entry.partition.owner_inputs import (
    GuardAnnounced,
    LeaseLost,
    OwnerInput,
    RecordsLoaded,
)
from dragonflynotch.entry.partition.ownership import (
    OwnershipListener,
    OwnershipManager,
)
from dragonflynotch.entry.partition.partition_owner import PartitionOwner
from dragonflynotch.links.order_link import HttpOrderLink
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.job_rows import (
    decode_job_row,
    job_rows_prefix,
)
from dragonflynotch.records.settings import (
    EntrySettings,
    OwnershipSettings,
    SchedulingSettings,
)
from dragonflynotch.services.table import TableService

__all__ = ('Scheduling',)

_LOAD_RETRY_S = 0.2
_CLEANUP_INTERVAL_S = 3600

_log = part_logger('entry.scheduling')


class Scheduling(OwnershipListener):
    """Runs the ownership, partition and job service of one entry.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the entry.
    incarnation : int
        Random number drawn at the start of the entry.
    table : TableService
        Holds the lease row and the job records.
    clock : Clock
        Clock of the entry.
    get_configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: int,
        table: TableService,
        clock: Clock,
        get_configuration: Callable[[], ConfigurationView],
    ) -> None:
        """Create all components; ``start`` runs them."""
        ownership = settings.ownership
        self._data_centre = settings.data_centre
        self._table = table
        self._clock = clock
        self._order_link = HttpOrderLink(_ms(ownership.order_timeout_ms))
        store = LeaseRowStore(
            table, settings.data_centre, f'{settings.entry_id}.{incarnation}'
        )
        self.ownership = OwnershipManager(
            settings.entry_id, store, clock, _ownership_policy(ownership), self
        )
        inbox: asyncio.Queue[OwnerInput] = asyncio.Queue()
        self._stop_bound = _ms(settings.scheduling.stop_bound_ms)
        self._roster = GuardRoster(
            settings.entry_id,
            self._order_link,
            inbox.put_nowait,
            _ms(ownership.worker_ttl_ms),
            2 * _ms(ownership.task_lease_ms),
            clock,
        )
        self._owner = PartitionOwner(
            Partition(
                settings.data_centre, _policy_settings(settings.scheduling)
            ),
            self._roster,
            JobRecorder(
                settings.data_centre, self.ownership.commit, store.is_own_token
            ),
            clock,
            get_configuration,
            inbox,
        )
        self.jobs = LocalJobService(
            settings.data_centre, self._owner, table, clock, get_configuration
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._load_task: asyncio.Task[None] | None = None

    @property
    def is_deciding(self) -> bool:
        """Whether this entry owns the partition and has loaded its records."""
        return self._owner.is_owner

    def acknowledged_fence(self, guard_id: str) -> int:
        """Return the fence for an acknowledgement to a guard.

        It is 0, which renews no task lease, if orders to the guard have failed
        for longer than the stop bound, although its announcements arrive. If
        they renewed its lease, a stop order to it might never take effect.
        """
        if self._roster.is_unreachable(guard_id, self._stop_bound):
            return 0
        return self.ownership.acknowledged_fence()

    def describe(self) -> JobOverview:
        """Return the running and waiting jobs; none if not the owner."""
        if not self.is_deciding:
            return JobOverview()
        return describe_jobs(self._owner.jobs(), self._owner.waiting())

    def start(self) -> None:
        """Start to compete for ownership and to process inputs."""
        self._tasks = [
            asyncio.create_task(self.ownership.run()),
            asyncio.create_task(self._owner.run()),
            asyncio.create_task(self._delete_ended_jobs()),
        ]

    async def stop(self) -> None:
        """Give up ownership and stop all tasks."""
        await self.ownership.step_down()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task

    def handle_announcement(self, guard: GuardInfo, task_digest: int) -> None:
        """Process an announcement of a guard of the own data centre."""
        self._owner.post(GuardAnnounced(guard, task_digest))

    def ownership_gained(self, fence: int) -> None:
        """Read the job records; then the partition starts to decide."""
        self._load_task = asyncio.create_task(self._load(fence))

    def ownership_lost(self) -> None:
        """Stop the decisions of the partition."""
        if self._load_task is not None:
            self._load_task.cancel()
        self._owner.post(LeaseLost())

    async def _delete_ended_jobs(self) -> None:
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            if not self.is_deciding:
                continue
            try:
                await delete_ended_jobs(
                    self._table, self._data_centre, self._clock.now()
                )
            except DragonflynotchError as error:
                _log.info(
                    'records of ended jobs were not all deleted: {}',
                    error,
                )

    async def _load(self, fence: int) -> None:
        while True:
            try:
                rows = await self._table.scan(
                    job_rows_prefix(self._data_centre)
                )
            except PlatformUnavailableError as error:
                _log.warning('job records were not read; will retry: {}', error)
                await asyncio.sleep(_LOAD_RETRY_S)
            else:
                break
        jobs = []
        versions = {}
        for row in rows:
            job = decode_job_row(row.content)
            if isinstance(job, Unreadable):
                _log.error(
                    'row {} is not a valid job record; ignoring it: {}',
                    row.key,
                    job.reason,
                )
                continue
            if not job.state.is_final:
                jobs.append(job)
                versions[job.job_id] = row.version
        self._owner.post(RecordsLoaded(fence, tuple(jobs), versions))


def _ms(milliseconds: int) -> timedelta:
    return timedelta(milliseconds=milliseconds)


def _ownership_policy(settings: OwnershipSettings) -> OwnershipPolicy:
    return OwnershipPolicy(
        lease=_ms(settings.lease_ms),
        renewal=_ms(settings.renewal_ms),
        confirmation_validity=_ms(settings.confirmation_ms),
        grant=_ms(settings.grant_ms),
        received_grant=_ms(settings.received_grant_ms),
        task_lease=_ms(settings.task_lease_ms),
    )


def _policy_settings(settings: SchedulingSettings) -> PolicySettings:
    return PolicySettings(
        prepare_timeout=_ms(settings.prepare_timeout_ms),
        start_confirmation=_ms(settings.start_confirmation_ms),
        checkpoint_bound=_ms(settings.checkpoint_bound_ms),
        stop_bound=_ms(settings.stop_bound_ms),
        task_lease=_ms(settings.task_lease_ms),
        checkpoint_interval=_ms(settings.checkpoint_interval_ms),
    )
