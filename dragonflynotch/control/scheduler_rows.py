"""Passes the rows of the store on to the scheduler.

A row that cannot be read is logged and left out, so that one row of another
writer does not stop the decisions about all others.
"""

from collections.abc import Callable, Iterable

from dragonflynotch.control.rows import (
    EARLY_CANCELLATION_PREFIX,
    Row,
    RowChange,
)
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.early_cancellations import EarlyCancellation
from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import decode_job_spec
from dragonflynotch.workflows.records import (
    CancellationRow,
    Order,
    ProgressRow,
    Report,
    decode_row,
)
from dragonflynotch.workflows.scheduler import Scheduler

__all__ = ('SchedulerRows',)


class SchedulerRows:
    """Decodes rows for a scheduler; reports wait until all rows are loaded.

    Parameters
    ----------
    scheduler : Scheduler
        Gets the content of the rows.
    store_now_ms : callable
        Returns the current store time.
    """

    def __init__(
        self, scheduler: Scheduler, store_now_ms: Callable[[], int]
    ) -> None:
        """Create a decoder that has loaded nothing."""
        self._scheduler = scheduler
        self._store_now_ms = store_now_ms
        self._is_loading = True
        # Reports and the versions of their rows, by node, while loading.
        self._loaded_reports: dict[str, tuple[Report, int]] = {}

    @property
    def is_loading(self) -> bool:
        """Whether ``finish_loading`` has not been called."""
        return self._is_loading

    def apply_submissions(self, changes: Iterable[RowChange]) -> None:
        """Add jobs and cancellations."""
        for change in changes:
            job_id, _, kind = change.key.partition('/')
            if change.content is None:
                continue
            if kind == 'cancel':
                self._scheduler.cancel(job_id)
            elif kind.startswith(EARLY_CANCELLATION_PREFIX):
                self._cancel_early(change.key, change.content)
            elif kind == 'spec':
                self._put_job(job_id, change.content)

    def apply_report(self, change: RowChange) -> None:
        """Apply the report of a guard, or keep it while rows are loaded."""
        if change.content is None:
            return
        report = decode_row(change.content, Report)
        if isinstance(report, Unreadable):
            unreadable_entries.record(
                'report_unreadable', report, node=change.key
            )
        elif self._is_loading:
            self._loaded_reports[change.key] = (report, change.version)
        else:
            self._scheduler.apply_report(
                change.key, report, change.version, self._store_now_ms()
            )

    def finish_loading(
        self, progress: Iterable[Row], orders: Iterable[Row]
    ) -> int:
        """Restore all rows after a takeover; the jobs must have been added.

        Returns
        -------
        int
            Number of reports.
        """
        for row in progress:
            self._restore_progress(row)
        for row in orders:
            self._restore_order(row)
        self._is_loading = False
        reports = self._loaded_reports
        self._loaded_reports = {}
        for node, (report, version) in reports.items():
            self._scheduler.restore_report(
                node, report, version, self._store_now_ms()
            )
        self._scheduler.remove_unknown_orders()
        return len(reports)

    def _cancel_early(self, key: str, content: bytes) -> None:
        row = decode_row(content, CancellationRow)
        if isinstance(row, Unreadable):
            unreadable_entries.record('cancellation_unreadable', row, row=key)
            return
        self._scheduler.cancel_early(
            EarlyCancellation(
                key.partition('/')[0],
                key,
                JobAccess(row.workspace, row.public_queue),
                row.cancelled_ms,
            )
        )

    def _put_job(self, job_id: str, content: bytes) -> None:
        spec = decode_job_spec(job_id, content)
        if isinstance(spec, Unreadable):
            unreadable_entries.record('job_unreadable', spec, job=job_id)
        else:
            self._scheduler.put_job(job_id, spec)

    def _restore_progress(self, row: Row) -> None:
        progress = decode_row(row.content, ProgressRow)
        if isinstance(progress, Unreadable):
            unreadable_entries.record(
                'progress_unreadable', progress, job=row.key
            )
        else:
            self._scheduler.restore_progress(row.key, progress)

    def _restore_order(self, row: Row) -> None:
        order = decode_row(row.content, Order)
        minion_id, _, task = row.key.partition('/')
        if isinstance(order, Unreadable):
            unreadable_entries.record('order_unreadable', order, key=row.key)
        else:
            self._scheduler.restore_order(minion_id, task, order)
