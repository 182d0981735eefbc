"""Whether the replicas of a leader are recent enough to decide from."""

from dragonflynotch.control.watch import TableWatch
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.evacuation import EvacuationRequests

__all__ = ('ReplicaFreshness', 'are_operator_rows_recent')

# Nothing is started from older replicas, which could lack a cancellation.
_MAX_REPLICA_AGE_MS = 1800
# The age limit rises by this many times the duration of the last write.
_AGE_LIMIT_WRITE_FACTOR = 3


class ReplicaFreshness:
    """Judges the replicas of the submissions and the reports."""

    def __init__(self, submissions: TableWatch, reports: TableWatch) -> None:
        """Start with replicas that count as fresh."""
        self._submissions = submissions
        self._reports = reports
        self._were_fresh = True

    def check(self, write_ms: int, epoch: int) -> bool:
        """Return whether decisions may be made, and log a change of that.

        Parameters
        ----------
        write_ms : int
            How long the last write took. A slow store answers feed calls late,
            which makes replicas seem older.
        epoch : int
            Epoch of the lease, for the log.
        """
        limit_ms = _MAX_REPLICA_AGE_MS + min(
            _AGE_LIMIT_WRITE_FACTOR * write_ms, _MAX_REPLICA_AGE_MS
        )
        submissions_age_ms = self._submissions.age_ms
        reports_age_ms = self._reports.age_ms
        are_fresh = max(submissions_age_ms, reports_age_ms) < limit_ms
        if are_fresh != self._were_fresh:
            self._were_fresh = are_fresh
            decision_log.record(
                'decisions_resumed' if are_fresh else 'decisions_paused',
                epoch=epoch,
                submissions_age_ms=submissions_age_ms,
                reports_age_ms=reports_age_ms,
                limit_ms=limit_ms,
            )
        return are_fresh


def are_operator_rows_recent(
    evacuations: EvacuationRequests | None, now_ms: int, bound_ms: int | None
) -> bool:
    """Return whether the operator's rows are younger than the bound.

    Without the margins of ``Evacuation``, so that the lease is handed over only
    once no run can start any more.

    Parameters
    ----------
    evacuations : EvacuationRequests or None
        Requests with their time; ``None`` before the rows have been read.
    now_ms : int
        Current store time.
    bound_ms : int or None
        How long runs may still start after a request; ``None`` for no limit.
    """
    if evacuations is None:
        return False
    return bound_ms is None or now_ms - evacuations.current_at_ms < bound_ms
