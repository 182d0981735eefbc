"""Signs that a worker might not start a run that is ordered there now."""

from collections import defaultdict
from enum import StrEnum

from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.start_failures import StartFailures

__all__ = ('StartRisk', 'find_start_risks')

# A report lists a run up to a poll of the minion and a report interval after
# its start.
_CONFIRMATION_MS = 1_000


class StartRisk(StrEnum):
    """Sign that a worker might not start a run."""

    # A recent order was rejected for a fault of the worker.
    failed_start = 'failed_start'
    # The guard has neither confirmed nor rejected an order in time.
    overdue_order = 'overdue_order'


def find_start_risks(
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
    return dict(risks)
