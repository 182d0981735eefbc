"""The rows of the simulated store, as their writers have committed them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import (
    EarlierEnd,
    JobState,
    Order,
    ProgressRow,
    Report,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.runs.order_registry import OrderKey
from dragonflynotch.workflows.scheduler import Decisions

__all__ = ('ReportRow', 'Store')

OrderListener = Callable[[OrderKey, Order | None], None]


@dataclass(frozen=True, slots=True)
class ReportRow:
    """The report of a guard, with the version of its row."""

    report: Report
    version: int


@dataclass(slots=True)
class Store:
    """Rows by table.

    Parameters
    ----------
    on_order : callable
        Receives each change of an order, for the guards.
    """

    on_order: OrderListener
    jobs: dict[str, JobSpec] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    reports: dict[str, ReportRow] = field(default_factory=dict)
    ended_jobs: dict[str, JobState] = field(default_factory=dict)
    # Names of the tasks whose completion is recorded.
    done_tasks: set[str] = field(default_factory=set)
    _orders: dict[OrderKey, bytes] = field(default_factory=dict)
    _progress: dict[str, bytes] = field(default_factory=dict)

    def write_report(self, node: str, report: Report) -> None:
        """Write the report of a guard."""
        row = self.reports.get(node)
        version = 1 if row is None else row.version + 1
        self.reports[node] = ReportRow(report, version)

    def void_report(self, node: str, version: int) -> bool:
        """Replace the report of a lost guard unless it has been rewritten."""
        row = self.reports[node]
        if row.version != version:
            return False
        report = row.report
        ends = [EarlierEnd(report.minion_id, end) for end in report.ended]
        empty = Report('', '', False, False, 0, report.token)
        empty.earlier_ends = [*report.earlier_ends, *ends]
        self.write_report(node, empty)
        return True

    def commit(self, decisions: Decisions) -> None:
        """Write the decisions of a round in one transaction."""
        for job_id, row in decisions.progress.items():
            self._progress[job_id] = encode_row(row)
            if row.state.is_final:
                self.ended_jobs[job_id] = row.state
            self.done_tasks.update(
                f'{job_id}.{task.name}' for task in row.tasks if task.is_done
            )
        for key, order in decisions.orders.items():
            if order is None:
                self._orders.pop(key, None)
                self.on_order(key, None)
            else:
                self._orders[key] = encode_row(order)
                self.on_order(key, _decode_order(self._orders[key]))

    def order_keys(self) -> list[OrderKey]:
        """Return the minions and tasks of all stored orders."""
        return list(self._orders)

    def find_order(self, minion_id: str, task: str) -> Order | None:
        """Return a copy of the stored order of a minion for a task."""
        row = self._orders.get((minion_id, task))
        return None if row is None else _decode_order(row)

    def orders(self) -> dict[OrderKey, Order]:
        """Return copies of the stored orders."""
        return {key: _decode_order(row) for key, row in self._orders.items()}

    def progress(self) -> dict[str, ProgressRow]:
        """Return copies of the stored progress."""
        rows = {}
        for job_id, content in self._progress.items():
            row = decode_row(content, ProgressRow)
            assert not isinstance(row, Unreadable)
            rows[job_id] = row
        return rows


def _decode_order(content: bytes) -> Order:
    order = decode_row(content, Order)
    assert not isinstance(order, Unreadable)
    return order
