"""Which ordered runs are at work, as far as the reports of guards tell."""

from collections import defaultdict
from collections.abc import Iterable

from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.reported_runs import ReportedRuns

__all__ = ('RunActivity',)


class RunActivity:
    """Tells runs that are at work from orders without a run.

    An order holds resources from the decision until its end is recorded. Until
    then its run may not have started yet, or may have been lost with its
    machine.

    Parameters
    ----------
    workers : iterable of Worker
        All workers with their last reports.
    orders : OrderRegistry
        Active orders.
    now_ms : int
        Store time.
    max_report_age_ms : int
        Runs of reports that are this old or older do not count as at work.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        orders: OrderRegistry,
        now_ms: int,
        max_report_age_ms: int,
    ) -> None:
        """Compare the orders with the reports."""
        self._workers = {worker.minion_id: worker for worker in workers}
        self._reported = ReportedRuns(
            self._workers.values(), now_ms, max_report_age_ms
        )
        self._now_ms = now_ms
        self._active_job_ids: set[str] = set()
        self._starting_job_ids: set[str] = set()
        self._held: dict[str, Resources] = defaultdict(Resources)
        for (minion_id, task), order in orders:
            self._add(minion_id, task, order)

    @property
    def workers(self) -> list[Worker]:
        """All workers with their last reports."""
        return list(self._workers.values())

    def has_run_of(self, job_id: str) -> bool:
        """Return whether any run of a job is at work."""
        return job_id in self._active_job_ids

    def is_starting(self, job_id: str) -> bool:
        """Return whether an ordered run of a job may still start."""
        return job_id in self._starting_job_ids

    def held_resources(self, minion_id: str) -> Resources:
        """Return what the runs that may be at a minion take up."""
        return self._held[minion_id]

    def _add(self, minion_id: str, task: str, order: Order) -> None:
        job_id = task.partition('.')[0]
        if self._is_at_work(minion_id, task, order):
            self._active_job_ids.add(job_id)
        elif not order.is_stopped and self._now_ms < order.start_by_ms:
            self._starting_job_ids.add(job_id)
        if self._may_be_present(minion_id, task, order):
            self._held[minion_id] += order.resources

    def _is_at_work(self, minion_id: str, task: str, order: Order) -> bool:
        if self._reported.lists_any_run:
            return self._reported.is_running(minion_id, task, order.run)
        # Reports that list no run at all do not tell whether it has started.
        return (
            self._reported.is_recent(minion_id)
            and not order.is_stopped
            and self._now_ms < order.start_by_ms
        )

    def _may_be_present(self, minion_id: str, task: str, order: Order) -> bool:
        """Return whether the run of an order may be at its minion.

        It is not if the minion told its runs after the latest start of this
        one, and it was not among them. Reports that list no run at all tell
        nothing.
        """
        worker = self._workers.get(minion_id)
        if worker is None or not self._reported.lists_any_run:
            return True
        if self._reported.is_listed(minion_id, task, order.run):
            return True
        told_ms = worker.reported_ms - worker.report.runs_age_ms
        return told_ms < order.start_by_ms
