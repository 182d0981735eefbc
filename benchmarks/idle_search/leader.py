"""The leader of a simulated day: a scheduler on the rows of the store."""

from benchmarks.idle_search.job_mix import DEPLOYMENT
from benchmarks.idle_search.store import Store
from dragonflynotch.workflows.decision_log_buffer import DecisionLogEntry
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings

__all__ = ('Leader',)

# As in the leader's term: covers clock differences and response delays.
_AUTHORITY_MARGIN_MS = 500
_WRITE_MS = 40


class Leader:
    """One leader, from its load of the rows until it is lost.

    Parameters
    ----------
    store : Store
        Rows to schedule on.
    now_ms : int
        Store time.
    """

    def __init__(self, store: Store, now_ms: int) -> None:
        """Load all rows in the order in which a term of the leader does."""
        self._store = store
        self._scheduler = Scheduler(SchedulerSettings())
        self._known_jobs: set[str] = set()
        self._known_cancelled: set[str] = set()
        self._versions: dict[str, int] = {}
        self._read_submissions()
        for job_id, progress in store.progress().items():
            self._scheduler.restore_progress(job_id, progress)
        for (minion_id, task), order in store.orders().items():
            self._scheduler.restore_order(minion_id, task, order)
        self._read_reports(now_ms)
        self._scheduler.remove_unknown_orders()

    def read(self, now_ms: int) -> None:
        """Read the rows that have changed."""
        self._read_submissions()
        self._read_reports(now_ms)

    def run_round(self, now_ms: int) -> list[DecisionLogEntry]:
        """Decide and commit; return the log entries of the round."""
        self._expire_lost_guards(now_ms)
        self._scheduler.apply_deployment(DEPLOYMENT)
        decisions = self._scheduler.decide(now_ms, now_ms, _WRITE_MS)
        self._store.commit(decisions)
        return decisions.log_entries

    def _read_submissions(self) -> None:
        for job_id, spec in self._store.jobs.items():
            if job_id not in self._known_jobs:
                self._known_jobs.add(job_id)
                self._scheduler.put_job(job_id, spec)
        for job_id in sorted(self._store.cancelled - self._known_cancelled):
            self._known_cancelled.add(job_id)
            self._scheduler.cancel(job_id)

    def _read_reports(self, now_ms: int) -> None:
        for node, row in self._store.reports.items():
            if self._versions.get(node) != row.version:
                self._versions[node] = row.version
                self._scheduler.apply_report(
                    node, row.report, row.version, now_ms
                )

    def _expire_lost_guards(self, now_ms: int) -> None:
        for node, worker in list(self._scheduler.workers.items()):
            end_ms = worker.report.authority_end_ms + _AUTHORITY_MARGIN_MS
            if now_ms < end_ms or not worker.minion_id:
                continue
            if self._store.void_report(node, worker.version):
                self._scheduler.remove_lost_node(node)
