"""Signs that a worker might not start a run that is ordered there now."""

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum

from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.start_failures import StartFailures

__all__ = ('StartRisk', 'find_start_risks')

# Guards write a report every 1.5 s; the rest allows for a slow store.
_RECENT_REPORT_MS = 2_500
# A report lists a run up to a poll of the minion and a report interval after
# its start.
_CONFIRMATION_MS = 1_000


class StartRisk(StrEnum):
    """Sign that a worker might not start a run."""

    # A recent order was rejected for a fault of the worker.
    failed_start = 'failed_start'
    # The guard has neither confirmed nor rejected an order in time.
    overdue_order = 'overdue_order'
    # The guard may be cut off or lost.
    old_report = 'old_report'


def find_start_risks(
    workers: Iterable[Worker],
    orders: OrderRegistry,
    failures: StartFailures,
    now_ms: int,
) -> dict[str, tuple[StartRisk, ...]]:
    """Return these signs by minion, without minions that show none."""
    risks: dict[str, tuple[StartRisk, ...]] = defaultdict(tuple)
    for minion_id in failures.recent(now_ms):
        risks[minion_id] += (StartRisk.failed_start,)
    for minion_id in orders.overdue_minions(now_ms - _CONFIRMATION_MS):
        risks[minion_id] += (StartRisk.overdue_order,)
    for worker in workers:
        if now_ms - worker.reported_ms >= _RECENT_REPORT_MS:
            risks[worker.minion_id] += (StartRisk.old_report,)
    return dict(risks)
