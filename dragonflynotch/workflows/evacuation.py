"""Evacuation of data centres: no run starts there, and gangs move as a whole.

Load: the operator needs a data centre without runs within a bound. Runs that
have started continue to their end, so that no work is lost.
"""

import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.runs.order_registry import OrderKey, OrderRegistry
from dragonflynotch.workflows.runs.run_tracker import RunTracker
from dragonflynotch.workflows.tasks import Task

__all__ = ('UNLIMITED_MS', 'Evacuation', 'EvacuationRequests')

# Latest start of a run if there is no bound.
UNLIMITED_MS = sys.maxsize
# Covers differences between clocks.
_BOUND_MARGIN_MS = 500
# With less time than this left, some members of a gang would start and others
# would not, which breaks the gang.
_MIN_START_WINDOW_MS = 500


@dataclass(frozen=True, slots=True)
class EvacuationRequests:
    """Requests of the operator to evacuate data centres.

    Parameters
    ----------
    data_centres : frozenset of str
        Data centres to evacuate.
    current_at_ms : int
        Store time, in milliseconds, at which these were certainly all requests.
    """

    data_centres: frozenset[str]
    current_at_ms: int


@dataclass(slots=True)
class _EvacuationState:
    # Whether any worker of the data centre has been seen since the beginning.
    is_known: bool = False
    is_empty: bool = False


class Evacuation:
    """Decides which workers get no new runs, and until when runs may start.

    A request may have been acknowledged without being known here yet: the
    feed lags, or this is a new leader. The bound holds nevertheless, since no
    order allows a start later than the last time at which the requests were
    known, plus the bound.

    Parameters
    ----------
    bound_ms : int or None
        How long after the acknowledgement of a request runs may still start
        in the data centre. ``None`` does not limit the orders.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
        bound_ms: int | None,
    ) -> None:
        """Create an instance without requests."""
        self.bound_ms = bound_ms
        self._jobs = jobs
        self._orders = orders
        self._tracker = tracker
        self._decision_log = decision_log
        self._requests: EvacuationRequests | None = None
        # Evacuations that have begun, by data centre.
        self._progress: dict[str, _EvacuationState] = {}
        self._run_counts: dict[str, int] = {}
        self._is_paused = False

    @property
    def run_counts(self) -> dict[str, int]:
        """Runs still ordered in each data centre that is evacuated."""
        return self._run_counts

    def apply(self, requests: EvacuationRequests) -> None:
        """Use these requests from now on."""
        self._requests = requests

    def is_cordoned(self, worker: Worker) -> bool:
        """Return whether a worker gets no new runs.

        A worker whose data centre is unknown may be in any of them, so it gets
        none while there is any evacuation.
        """
        requested = self._requested
        if not requested:
            return False
        return not worker.data_centre or worker.data_centre in requested

    def latest_start_ms(self, now_ms: int, write_ms: int) -> int | None:
        """Return the store time after which no ordered run may start.

        Returns ``None`` while starts are paused, since too little time is left
        to order any run.

        Parameters
        ----------
        write_ms : int
            How long the last write to the store took.
        """
        if self.bound_ms is None:
            return UNLIMITED_MS
        # Without requests nothing is known of the evacuations in force.
        latest_ms = 0
        if self._requests is not None:
            latest_ms = (
                self._requests.current_at_ms + self.bound_ms - _BOUND_MARGIN_MS
            )
        is_paused = latest_ms < now_ms + _MIN_START_WINDOW_MS + write_ms
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._decision_log.record(
                'starts_paused' if is_paused else 'starts_resumed',
                remaining_ms=latest_ms - now_ms,
                bound_ms=self.bound_ms,
            )
        return None if is_paused else latest_ms

    def review(self, workers: Iterable[Worker], now_ms: int) -> None:
        """Stop the orders that have not started, and record the progress."""
        if not self._requested and not self._progress:
            return
        known_workers = [worker for worker in workers if worker.minion_id]
        self._record_changes(known_workers)
        cordoned = {
            worker.minion_id: worker.data_centre
            for worker in known_workers
            if self.is_cordoned(worker)
        }
        for key, order in self._orders:
            if key[0] in cordoned and self._may_still_start(order, now_ms):
                self._stop_unless_started(key, order, now_ms)
        self._count_runs(cordoned)

    @property
    def _requested(self) -> frozenset[str]:
        if self._requests is None:
            return frozenset()
        return self._requests.data_centres

    def _record_changes(self, workers: list[Worker]) -> None:
        """Record which evacuations begin and which end."""
        for ended in self._progress.keys() - self._requested:
            self._progress.pop(ended)
            self._decision_log.record('evacuation_ended', data_centre=ended)
        present = Counter(worker.data_centre for worker in workers)
        for name in sorted(self._requested - self._progress.keys()):
            self._progress[name] = _EvacuationState()
            self._decision_log.record(
                'evacuation_began',
                data_centre=name,
                workers=present[name],
                workers_of_unknown_data_centre=present[''],
            )
            if not present[name]:
                self._decision_log.record(
                    'evacuation_data_centre_unknown',
                    data_centre=name,
                    known=sorted(present.keys() - {''}),
                )

    def _may_still_start(self, order: Order, now_ms: int) -> bool:
        # Once its start window has passed, a run may have started unreported,
        # so its order is left alone.
        return not order.is_stopped and order.start_by_ms > now_ms

    def _stop_unless_started(
        self, key: OrderKey, order: Order, now_ms: int
    ) -> None:
        minion_id, name = key
        found = self._jobs.find(name)
        if found is None:
            return
        _, step, task = found
        if task.active is None or not task.active.matches(minion_id, order.run):
            return
        members = step.tasks if step.spec.is_gang else [task]
        if any(_is_started(member) for member in members):
            return
        for member in members:
            self._tracker.order_stop(member, 'data_centre_evacuated', now_ms)

    def _count_runs(self, cordoned: dict[str, str]) -> None:
        counts = Counter(
            cordoned[minion_id]
            for (minion_id, _), _ in self._orders
            if minion_id in cordoned
        )
        self._run_counts = {
            name: counts[name] for name in sorted(self._requested)
        }
        for name, progress in self._progress.items():
            progress.is_known |= name in cordoned.values()
            # Workers of unknown data centre may be in this one.
            is_empty = progress.is_known and not counts[name] + counts['']
            if is_empty and not progress.is_empty:
                self._decision_log.record('evacuation_empty', data_centre=name)
            progress.is_empty = is_empty


def _is_started(task: Task) -> bool:
    return task.active is not None and task.active.is_reported
