"""The task that feeds inputs to the partition and carries out its actions."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from datetime import datetime, timedelta

from dragonflynotch.core.actions import (
    Accepted,
    Action,
    AnswerSubmission,
    NeverRunnable,
    QuarantineWorker,
    ReadmitWorker,
    ReportGuarantee,
    WriteJob,
)
from dragonflynotch.core.clock import Clock
from dragonflynotch.core.events import (
    Event,
    Guarantee,
    GuaranteesChanged,
    JobCancelled,
    JobSubmitted,
    MemberFailed,
    MemberRefused,
    OwnershipGained,
    OwnershipLost,
    QuotasChanged,
    TimerFired,
)
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.waiting import WaitingJob
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.jobs.job_recorder import FlushResult, JobRecorder
from dragonflynotch.entry.jobs.job_state_cache import JobStateCache
from dragonflynotch.entry.members.drains import DrainCoordinator
from dragonflynotch.entry.members.guard_channel import (
    OrderRefused,
    OwnerSuperseded,
    ReportFetched,
)
from dragonflynotch.entry.members.guard_roster import GuardRoster
from dragonflynotch.entry.partition.outbox import Outbox, OutboxListener
from dragonflynotch.entry.partition.owner_inputs import (
    Cancellation,
    GuardAnnounced,
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    LeaseLost,
    OwnerInput,
    RecordsFlushed,
    RecordsLoaded,
    Submission,
)
from dragonflynotch.entry.partition.report_reader import ReportReader
from dragonflynotch.entry.requests.pending_calls import PendingCalls
from dragonflynotch.links.orders import PrepareOrder
from dragonflynotch.observability.logs import part_logger

__all__ = ('PartitionOwner',)

_TICK_INTERVAL = timedelta(seconds=0.2)
# After a longer gap between two ticks, this process itself was paused, so the
# missing announcements do not mean that the guards were silent.
_MAX_TICK_GAP = timedelta(seconds=1)
# Two announcement intervals of the guards; every live guard announces itself
# within this time.
_ANNOUNCEMENT_WAIT = timedelta(seconds=1.5)
_RETRY_AFTER = timedelta(seconds=5)

_log = part_logger('entry.partition_owner')


class PartitionOwner(OutboxListener):
    """Holds the ``Partition`` of an entry and processes its inputs in order.

    It runs in every entry; only the owner's partition makes decisions.

    Parameters
    ----------
    partition : Partition
        Makes the scheduling decisions.
    roster : GuardRoster
        Guards and the channels to them.
    recorder : JobRecorder
        Writes job records.
    clock : Clock
        Clock of the entry.
    get_configuration : callable
        Returns the configuration in force.
    inbox : asyncio.Queue
        Inputs, including those from the guard channels of the roster.
    """

    def __init__(
        self,
        partition: Partition,
        roster: GuardRoster,
        recorder: JobRecorder,
        clock: Clock,
        get_configuration: Callable[[], ConfigurationView],
        inbox: 'asyncio.Queue[OwnerInput]',
    ) -> None:
        """Create the owner; ``run`` processes its inputs."""
        self._partition = partition
        self._roster = roster
        self._recorder = recorder
        self._clock = clock
        self._get_configuration = get_configuration
        self._inbox = inbox
        self._job_states = JobStateCache()
        self._drains = DrainCoordinator(roster, self._job_states)
        self._report_reader = ReportReader(self._job_states.find)
        self._outbox = Outbox(recorder, roster.dispatch, self)
        self._pending_calls = PendingCalls()
        self._applied_revision = -1
        self._started_at = clock.now()
        self._last_tick_at = clock.now()

    @property
    def is_owner(self) -> bool:
        """Whether this entry owns the partition and makes its decisions."""
        return self._partition.is_owner

    @property
    def is_worker_discovery_over(self) -> bool:
        """Whether every live guard has had time to announce itself."""
        return self._clock.now() - self._started_at > _ANNOUNCEMENT_WAIT

    def find(self, job_id: str) -> Job | None:
        """Return the state of a job that is not final, or ``None``."""
        return self._job_states.find(job_id)

    def jobs(self) -> tuple[Job, ...]:
        """Return all jobs that are not final."""
        return self._job_states.jobs

    def count_waiting(self, workspace: str) -> int:
        """Return the number of waiting jobs of a workspace."""
        return self._job_states.count_waiting(workspace)

    def waiting(self) -> dict[str, WaitingJob]:
        """Return the waiting jobs by id, with the reason why each waits."""
        waiting = self._partition.waiting(self._clock.now())
        return {job.job_id: job for job in waiting}

    def post(self, item: OwnerInput) -> None:
        """Queue an input; inputs are processed in the order of arrival."""
        self._inbox.put_nowait(item)

    def records_flushed(self, result: FlushResult) -> None:
        """Queue the result of a commit of job records."""
        self.post(RecordsFlushed(result))

    async def run(self) -> None:
        """Process inputs until cancelled."""
        outbox = asyncio.create_task(self._outbox.run())
        try:
            while True:
                item = await self._next_input()
                self._tick(self._clock.now())
                if item is not None:
                    self._process(item)
        finally:
            outbox.cancel()
            self._roster.close_channels()

    async def _next_input(self) -> OwnerInput | None:
        timeout = _TICK_INTERVAL
        deadline = self._partition.next_deadline
        if deadline is not None:
            timeout = min(
                timeout, max(deadline - self._clock.now(), timedelta())
            )
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._inbox.get()
        return None

    def _tick(self, now: datetime) -> None:
        if now - self._last_tick_at > _MAX_TICK_GAP:
            self._roster.mark_all_heard(now)
        self._last_tick_at = now
        for event in self._roster.expire(now):
            self._handle(event)
        view = self._get_configuration()
        if view.revision != self._applied_revision:
            self._applied_revision = view.revision
            self._handle(GuaranteesChanged(self._guarantees(view)))
            self._handle(QuotasChanged(_quotas(view)))
        deadline = self._partition.next_deadline
        if deadline is not None and deadline <= now:
            self._handle(TimerFired())

    def _guarantees(self, view: ConfigurationView) -> tuple[Guarantee, ...]:
        data_centre = self._partition.data_centre
        return tuple(
            guarantee
            for _, workspace in sorted(view.workspaces.items())
            for guarantee in workspace.guarantees.get(data_centre, ())
        )

    def _process(self, item: OwnerInput) -> None:
        match item:
            case GuardAnnounced():
                for event in self._drains.handle_announcement(
                    item, self._clock.now()
                ):
                    self._handle(event)
            case ReportFetched():
                self._process_report(item)
            case OrderRefused():
                self._process_refusal(item)
            case OwnerSuperseded():
                _log.warning(
                    'a guard refused this owner: it has seen fence {}',
                    item.highest_fence,
                )
            case RecordsFlushed():
                self._process_flush(item.result)
            case Submission():
                self._process_submission(item)
            case Cancellation():
                self._pending_calls.add(item)
                self._handle(JobCancelled(item.job_id))
                self._pending_calls.answer_cancellations(
                    self._recorder.is_recorded
                )
            case RecordsLoaded():
                self._begin_ownership(item)
            case LeaseLost():
                self._end_ownership()

    def _handle(self, event: Event) -> None:
        actions = self._partition.handle(event, self._clock.now())
        for action in actions:
            self._apply_action(action)
        self._outbox.put(actions)

    def _apply_action(self, action: Action) -> None:
        match action:
            case WriteJob(job=job):
                self._job_states.put(job)
            case AnswerSubmission():
                self._answer_submission(action)
            case ReportGuarantee():
                _log.warning('state of a guarantee changed: {}', action)
            case QuarantineWorker() | ReadmitWorker():
                _log.warning('worker was quarantined or readmitted: {}', action)

    def _process_report(self, item: ReportFetched) -> None:
        if item.report.highest_fence != self._partition.fence:
            return
        events = self._report_reader.read(item.worker_id, item.report)
        for event in (*self._drains.check_drained(item), *events):
            self._handle(event)
        missing_confirmations = self._job_states.record_report(
            item.worker_id, item.report
        )
        for outgoing in missing_confirmations:
            self._roster.dispatch(outgoing)
        self._dispatch_releases()

    def _process_refusal(self, item: OrderRefused) -> None:
        key = (item.order.job_id, item.order.attempt, item.worker_id)
        reason = item.refusal.reason
        if isinstance(item.order, PrepareOrder):
            self._handle(MemberRefused(*key, reason))
        else:
            self._handle(MemberFailed(*key, reason))

    def _process_flush(self, result: FlushResult) -> None:
        for job_id in result.accepted:
            self._pending_calls.answer(job_id, JobAccepted(job_id))
        for job_id in result.refused:
            self._drop_submission(
                job_id,
                JobRefused(
                    'table_unavailable',
                    'the job record could not be written to the table',
                    _RETRY_AFTER,
                ),
            )
        self._job_states.remove_recorded(self._recorder.is_recorded)
        self._pending_calls.answer_cancellations(self._recorder.is_recorded)
        self._dispatch_releases()

    def _process_submission(self, item: Submission) -> None:
        job_id = item.job.job_id
        self._pending_calls.add(item)
        self._recorder.add_submitted(job_id, item.key_write)
        self._handle(JobSubmitted(item.job))

    def _answer_submission(self, action: AnswerSubmission) -> None:
        match action.verdict:
            case Accepted():
                # The caller gets its answer once the job record is committed.
                return
            case NeverRunnable(reason=reason):
                result = JobRefused('never_runnable', reason)
            case _:
                result = JobRefused(
                    'not_owner', 'this entry is not the owner', _RETRY_AFTER
                )
        self._recorder.discard(action.job_id)
        self._pending_calls.answer(action.job_id, result)

    def _drop_submission(self, job_id: str, result: JobRefused) -> None:
        self._pending_calls.answer(job_id, result)
        self._handle(JobCancelled(job_id))
        self._outbox.dispatch_held(job_id, is_accepted=False)
        self._job_states.remove(job_id)

    def _dispatch_releases(self) -> None:
        is_recorded = self._recorder.is_recorded
        for outgoing in self._job_states.take_releases(is_recorded):
            self._roster.dispatch(outgoing)

    def _begin_ownership(self, item: RecordsLoaded) -> None:
        self._job_states.load(item.jobs)
        self._recorder.load(item.versions)
        self._report_reader.clear()
        self._handle(OwnershipGained(item.fence, item.jobs))
        self._roster.open_channels(item.fence)

    def _end_ownership(self) -> None:
        self._roster.close_channels()
        self._outbox.clear()
        self._handle(OwnershipLost())
        self._recorder.load({})
        self._job_states.load(())
        result = JobOutcomeUnknown(
            'owner_changed',
            'the owner changed before the job was recorded',
            _RETRY_AFTER,
        )
        self._pending_calls.answer_all(result)


def _quotas(view: ConfigurationView) -> Mapping[str, int]:
    return {
        name: workspace.max_accelerators
        for name, workspace in view.workspaces.items()
    }
