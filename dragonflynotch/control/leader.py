"""Runs the scheduler while this node holds the scheduling lease."""

import asyncio
import time
import traceback
from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.leadership import Leadership, LeaseLostError
from dragonflynotch.control.rows import (
    ORDERS,
    PROGRESS,
    REPORTS,
    SCHEDULER_PART,
    SUBMISSIONS,
    Committed,
    RowChange,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
    Table,
    shard_of,
)
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import (
    Order,
    ProgressRow,
    Report,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.scheduler import (
    Decisions,
    Scheduler,
    SchedulerSettings,
)

__all__ = ('Leader',)

_FEED_WAIT = timedelta(milliseconds=1000)
# Changes that arrive together are decided on together.
_BATCH_S = 0.008
# A round runs at least this often: deadlines pass without an event.
_ROUND = timedelta(milliseconds=250)
# The lease row is rewritten at least this often.
_RENEWAL_MS = 600
_CANDIDATE_PAUSE_S = 0.4
# Leaves the lease to other candidates after an unexpected error.
_FAILURE_PAUSE_S = 2
# Replicas older than this could miss a cancellation; nothing is started.
_FRESH_MS = 1800
_SLOW_WRITES = 3
# Rows in a transaction, leaving room for conditions and the lease itself.
_MAX_WRITES = 90
# Clocks and the delay of answers are covered by this much.
_AUTHORITY_MARGIN_MS = 500


class Leader:
    """Candidate for the lease and, while it holds it, the scheduler.

    Parameters
    ----------
    store : RowStore
        Store with jobs, reports and orders.
    store_clock : StoreClock
        Bounds on the time of the store.
    leadership : Leadership
        The lease.
    deployment : callable
        Returns the configuration in force, or ``None`` before the first.
    settings : SchedulerSettings
        Bounds of the scheduler.
    """

    def __init__(
        self,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        leadership: Leadership,
        deployment: Callable[[], Deployment | None],
        settings: SchedulerSettings,
    ) -> None:
        """Create a candidate; ``run`` starts it."""
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._leadership = leadership
        self._deployment = deployment
        self._settings = settings

    async def run(self) -> None:
        """Campaign and schedule until cancelled."""
        while True:
            try:
                if self._deployment() and await self._leadership.try_claim():
                    await self._hold()
            except (PlatformUnavailableError, UncertainWriteError) as error:
                decision_log.record('campaign_failed', reason=str(error))
            except LeaseLostError as error:
                decision_log.record('scheduling_ended', holder=str(error))
            except Exception:
                # Another node may do better; this one campaigns again.
                decision_log.record(
                    'scheduling_failed', error=traceback.format_exc()
                )
                await self._leadership.release()
                await asyncio.sleep(_FAILURE_PAUSE_S)
            await asyncio.sleep(_CANDIDATE_PAUSE_S)

    async def _hold(self) -> None:
        term = _Term(
            self._store,
            self._store_clock,
            self._clock,
            self._leadership,
            self._deployment,
            self._settings,
        )
        await term.run()


class _Term:
    """One period of holding the lease."""

    def __init__(
        self,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        leadership: Leadership,
        deployment: Callable[[], Deployment | None],
        settings: SchedulerSettings,
    ) -> None:
        self._store_clock = store_clock
        self._clock = clock
        self._leadership = leadership
        self._deployment = deployment
        self._store = store
        self._scheduler = Scheduler(settings)
        self._submissions = TableWatch(
            store, SUBMISSIONS, self._on_submissions, clock, _FEED_WAIT
        )
        self._reports = TableWatch(
            store, REPORTS, self._on_reports, clock, _FEED_WAIT
        )
        self._changed = asyncio.Event()
        self._renewed_ms = clock.now_ms()
        self._write_ms = 0
        self._is_loading = True
        self._loaded_reports: dict[str, tuple[Report, int]] = {}

    async def run(self) -> None:
        """Load all rows and schedule until the lease is lost."""
        await self._load()
        watches = [
            asyncio.create_task(self._submissions.run()),
            asyncio.create_task(self._reports.run()),
        ]
        try:
            while True:
                await self._round()
                await self._wait()
        finally:
            for watch in watches:
                watch.cancel()

    async def _load(self) -> None:
        while True:
            try:
                progress, orders, *_ = await asyncio.gather(
                    self._read(PROGRESS),
                    self._read(ORDERS),
                    self._submissions.load(),
                    self._reports.load(),
                )
            except PlatformUnavailableError as error:
                decision_log.record('takeover_read_failed', reason=str(error))
                # Proves that the lease is still held.
                await self._leadership.commit([], [])
                continue
            break
        for row in progress.rows:
            stored = decode_row(row.content, ProgressRow)
            if stored is None:
                decision_log.record('progress_unreadable', job=row.key)
            else:
                self._scheduler.restore_progress(row.key, stored)
        for row in orders.rows:
            order = decode_row(row.content, Order)
            minion_id, _, task = row.key.partition('/')
            if order is None:
                decision_log.record('order_unreadable', key=row.key)
                continue
            self._scheduler.restore_order(minion_id, task, order)
        self._is_loading = False
        for node, (report, version) in self._loaded_reports.items():
            self._scheduler.report(node, report, version, self._now_ms())
        self._scheduler.void_unknown_orders()
        decision_log.record(
            'scheduling_started',
            epoch=self._leadership.epoch,
            orders=len(orders.rows),
            reports=len(self._loaded_reports),
        )

    async def _read(self, table: Table) -> Snapshot:
        return await self._store.read(table.name, SCHEDULER_PART)

    def _now_ms(self) -> int:
        return self._store_clock.earliest_ms()

    # ---- changes ---------------------------------------------------------

    def _on_submissions(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            job_id, _, kind = change.key.partition('/')
            if change.content is None:
                continue
            if kind == 'cancel':
                self._scheduler.cancel(job_id)
            elif kind == 'spec':
                self._put_job(job_id, change.content)
        self._changed.set()

    def _put_job(self, job_id: str, content: bytes) -> None:
        spec = decode_row(content, JobSpec)
        if spec is None or not spec.is_sound:
            decision_log.record('job_unreadable', job=job_id)
        else:
            self._scheduler.put_job(job_id, spec)

    def _on_reports(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.content is None:
                continue
            report = decode_row(change.content, Report)
            if report is None:
                decision_log.record('report_unreadable', node=change.key)
            elif self._is_loading:
                self._loaded_reports[change.key] = (report, change.version)
            else:
                self._scheduler.report(
                    change.key, report, change.version, self._now_ms()
                )
        self._changed.set()

    # ---- rounds ----------------------------------------------------------

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(_ROUND.total_seconds()):
                await self._changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_BATCH_S)
        self._changed.clear()

    async def _round(self) -> None:
        await self._void_lost_guards()
        deployment = self._deployment()
        if deployment is not None:
            self._scheduler.apply_deployment(deployment)
        decisions = Decisions()
        if self._is_fresh():
            decisions = self._scheduler.decide(
                self._now_ms(), int(time.time() * 1000), self._write_ms
            )
        is_due = self._clock.now_ms() - self._renewed_ms > _RENEWAL_MS
        if decisions.is_empty and not is_due:
            return
        await self._write(decisions)
        for line in decisions.lines:
            decision_log.record(
                line.event, epoch=self._leadership.epoch, **line.fields
            )

    def _is_fresh(self) -> bool:
        # Feeds of a slow store answer later, and are no staler for it.
        limit_ms = _FRESH_MS + min(_SLOW_WRITES * self._write_ms, _FRESH_MS)
        return max(self._submissions.age_ms, self._reports.age_ms) < limit_ms

    async def _write(self, decisions: Decisions) -> None:
        """Write progress before the orders that follow from it."""
        writes = [
            RowWrite(_own_row(PROGRESS, job_id), encode_row(row))
            for job_id, row in decisions.progress.items()
        ]
        writes.extend(
            RowWrite(
                _own_row(ORDERS, f'{minion_id}/{task}'),
                None if order is None else encode_row(order),
            )
            for (minion_id, task), order in decisions.orders.items()
        )
        for job_id in decisions.forgotten_jobs:
            # Progress goes last: a submission without it would run again.
            if await self._forget_submission(job_id):
                writes.append(RowWrite(_own_row(PROGRESS, job_id), None))
        waiting = self._scheduler.waiting_by_queue()
        began_ms = self._clock.now_ms()
        for first in range(0, max(1, len(writes)), _MAX_WRITES):
            await self._leadership.commit(
                writes[first : first + _MAX_WRITES], [], waiting
            )
        self._renewed_ms = self._clock.now_ms()
        self._write_ms = self._renewed_ms - began_ms

    async def _forget_submission(self, job_id: str) -> bool:
        part = shard_of(job_id)
        names = [
            RowName(SUBMISSIONS.name, part, f'{job_id}/{kind}')
            for kind in ('spec', 'cancel')
        ]
        try:
            await self._store.commit(
                [RowWrite(name, None) for name in names], []
            )
        except (PlatformUnavailableError, UncertainWriteError) as error:
            decision_log.record(
                'submission_kept', job=job_id, reason=str(error)
            )
            return False
        return True

    async def _void_lost_guards(self) -> None:
        """Give up the runs of guards whose authority has ended.

        The report is overwritten under its version first, so a guard that
        extends its authority at the same moment wins or loses as a whole.
        """
        now_ms = self._now_ms()
        for node, worker in list(self._scheduler.workers.items()):
            end_ms = worker.report.authority_end_ms + _AUTHORITY_MARGIN_MS
            if now_ms < end_ms or not worker.minion_id:
                continue
            name = RowName(REPORTS.name, shard_of(node), node)
            empty = Report('', '', False, False, 0, worker.report.token)
            # Needs no lease: whoever writes it, the authority has ended.
            try:
                outcome = await self._store.commit(
                    [RowWrite(name, encode_row(empty))],
                    [(name, worker.version)],
                )
            except (PlatformUnavailableError, UncertainWriteError) as error:
                decision_log.record(
                    'guard_not_voided', guard=node, reason=str(error)
                )
                continue
            if isinstance(outcome, Committed):
                decision_log.record(
                    'guard_lost', guard=node, minion=worker.minion_id
                )
                self._scheduler.void_node(node)


def _own_row(table: Table, key: str) -> RowName:
    return RowName(table.name, SCHEDULER_PART, key)
