"""Orders of one minion and the state of their runs; makes no calls."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from dragonflynotch.control.minions import MinionState
from dragonflynotch.workflows.records import (
    Order,
    Rejection,
    RunEnd,
    StartedRun,
)
from dragonflynotch.workflows.resources import Resources

__all__ = ('OrderBook', 'OrderEntry', 'Phase')


class Phase(StrEnum):
    """State of an order at its guard."""

    new = 'new'
    started = 'started'
    ended = 'ended'
    # The run was not started and cannot be started any more.
    rejected = 'rejected'


@dataclass(slots=True)
class OrderEntry:
    """Order to run one task, with the state of its run.

    Parameters
    ----------
    task : str
        Name of the task.
    order : Order
        Last version of the order.
    phase : Phase
        State of the order.
    reason : str
        Why the order was rejected.
    is_start_uncertain : bool
        Whether a start call without a response may still be carried out.
    is_busy : bool
        Whether a call for this order is in progress.
    is_stop_confirmed : bool
        Whether the minion has confirmed the stop of the run.
    first_sent_ms : int or None
        Local time of the first start call that may have been carried out.
    sent_lease_end_ms : int
        Latest lease end in a start call, on the minion's clock. The minion
        refuses a start that arrives after the lease end in it.
    started_ms : int or None
        Local time at which the run was first known to have started.
    is_missing : bool
        Whether the minion has neither the run, which was there, nor its end.
    """

    task: str
    order: Order
    phase: Phase = Phase.new
    reason: str = ''
    is_start_uncertain: bool = False
    is_busy: bool = False
    is_stop_confirmed: bool = False
    first_sent_ms: int | None = None
    sent_lease_end_ms: int = 0
    started_ms: int | None = None
    is_missing: bool = False

    @property
    def holds_resources(self) -> bool:
        """Whether the run is, or may be, at the minion."""
        if self.phase is Phase.started:
            return True
        return self.phase is Phase.new and self.first_sent_ms is not None

    @property
    def needs_stop(self) -> bool:
        """Whether a stop call has to be made."""
        return (
            self.order.is_stopped
            and not self.is_stop_confirmed
            and not self.is_busy
        )

    @property
    def needs_start(self) -> bool:
        """Whether a start call has to be made."""
        return (
            self.phase is Phase.new
            and not self.order.is_stopped
            and not self.is_busy
        )

    @property
    def needs_removal(self) -> bool:
        """Whether the run is gone and has to be kept from starting again."""
        return (
            self.phase is Phase.started and self.is_missing and not self.is_busy
        )

    def mark_started(self, now_ms: int) -> None:
        """Record that the run is at the minion.

        Parameters
        ----------
        now_ms : int
            Local time.
        """
        self.phase = Phase.started
        self.is_missing = False
        if self.started_ms is None:
            self.started_ms = now_ms

    def mark_idle(self) -> None:
        """Record that no call is in progress."""
        self.is_busy = False


@dataclass(slots=True)
class OrderBook:
    """All orders of the current incarnation of a minion.

    Parameters
    ----------
    entries : dict of str to OrderEntry
        Orders by task.
    state : MinionState, optional
        Last known state of the minion.
    """

    entries: dict[str, OrderEntry] = field(default_factory=dict)
    state: MinionState | None = None
    # Local time of the last known state.
    _state_ms: int = 0
    # What runs hold whose orders are gone, by task and run.
    _unordered_needs: dict[tuple[str, int], Resources] = field(
        default_factory=dict
    )
    # Reasons of rejections that an earlier book has reported, by task and run.
    _earlier_rejections: dict[tuple[str, int], str] = field(
        default_factory=dict
    )

    def put(self, task: str, order: Order) -> OrderEntry:
        """Add an order, or update it if its run is known."""
        entry = self.entries.get(task)
        if entry is None or entry.order.run != order.run:
            self._keep_needs(entry)
            entry = OrderEntry(task, order)
            self.entries[task] = entry
            self._apply_earlier_rejection(entry)
            if self.state is not None:
                self._update_phase(entry, self.state)
        else:
            entry.order = order
        return entry

    def remove(self, task: str) -> None:
        """Remove an order; the end of its run, if any, has been recorded."""
        self._keep_needs(self.entries.pop(task, None))

    def is_current(self, entry: OrderEntry) -> bool:
        """Return whether the order is neither removed nor replaced."""
        return self.entries.get(entry.task) is entry

    def held_resources(self) -> Resources:
        """Return what the runs at the minion hold, stopping ones included.

        Runs without an order are stopped soon; what they hold is known if
        their order was there before.
        """
        held = [
            entry.order.resources
            for entry in self.entries.values()
            if entry.holds_resources
        ]
        held.extend(
            self._unordered_needs.get(run, Resources())
            for run in self.unordered_runs()
        )
        return sum(held, Resources())

    def open_entries(self) -> list[OrderEntry]:
        """Return the orders that may need a start or stop call."""
        return [
            entry
            for entry in self.entries.values()
            if entry.phase in {Phase.new, Phase.started}
        ]

    def update_state(
        self, state: MinionState, asked_ms: int, now_ms: int
    ) -> None:
        """Update all orders from the runs and ends at the minion.

        Parameters
        ----------
        asked_ms, now_ms : int
            Local times of the call and of its response.
        """
        self.state = state
        self._state_ms = now_ms
        present = {(running.task, running.run) for running in state.running}
        self._unordered_needs = {
            run: needs
            for run, needs in self._unordered_needs.items()
            if run in present
        }
        for entry in self.entries.values():
            self._update_phase(entry, state)
            entry.is_missing = self._is_missing(entry, state, asked_ms)

    def find_unknown_runs(self, state: MinionState) -> list[tuple[str, int]]:
        """Return task and run number of the runs that are new in a state.

        No start call for them was answered with success, and the last state
        did not list them: a late call, or one of an earlier guard process,
        started them.
        """
        known = {
            (entry.task, entry.order.run)
            for entry in self.entries.values()
            if entry.phase is Phase.started
        }
        if self.state is not None:
            known.update(
                (running.task, running.run) for running in self.state.running
            )
        return [
            (running.task, running.run)
            for running in state.running
            if (running.task, running.run) not in known
        ]

    def unlisted_starts(self) -> list[StartedRun]:
        """Return the runs that have started and that no state has listed.

        A minion may tell its runs a second after a start, or end before.
        """
        listed = (
            set()
            if self.state is None
            else {(running.task, running.run) for running in self.state.running}
        )
        return [
            StartedRun(entry.task, entry.order.run)
            for entry in self.entries.values()
            if entry.phase is Phase.started
            and (entry.task, entry.order.run) not in listed
        ]

    def unordered_runs(self) -> list[tuple[str, int]]:
        """Return task and run number of each run without an order.

        These runs must be stopped.
        """
        if self.state is None:
            return []
        return [
            (running.task, running.run)
            for running in self.state.running
            if not self._is_ordered(running.task, running.run)
        ]

    def last_recorded_end(self) -> int:
        """Return the number of the last end before the first unrecorded one.

        The scheduler removes an order in the transaction that records the end
        of its run, so the minion may delete ends whose orders are gone.
        """
        last = 0
        for end in self._ends_by_number():
            if self._is_ordered(end.task, end.run):
                break
            last = end.number
        return last

    def unrecorded_ends(self) -> list[RunEnd]:
        """Return the ends whose orders still exist, in order."""
        return [
            end
            for end in self._ends_by_number()
            if self._is_ordered(end.task, end.run)
        ]

    def rejections(self) -> list[Rejection]:
        """Return the orders whose runs will never start."""
        return [
            Rejection(entry.task, entry.order.run, entry.reason)
            for entry in self.entries.values()
            if entry.phase is Phase.rejected
        ]

    def unmatched_rejections(self) -> list[Rejection]:
        """Return the earlier rejections whose orders are not known."""
        return [
            Rejection(task, run, reason)
            for (task, run), reason in self._earlier_rejections.items()
            if not self._is_ordered(task, run)
        ]

    def restore_rejections(self, rejections: Iterable[Rejection]) -> None:
        """Never start the runs of these orders.

        Their rejections have been reported, so the scheduler may have ordered
        the tasks elsewhere.
        """
        for rejection in rejections:
            run = (rejection.task, rejection.run)
            self._earlier_rejections[run] = rejection.reason
        for entry in self.entries.values():
            self._apply_earlier_rejection(entry)

    def reject(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order whose run can certainly not start any more."""
        if entry.phase is Phase.new:
            entry.phase = Phase.rejected
            entry.reason = reason

    def reject_missing(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order whose run is gone and can not start any more."""
        if entry.phase is Phase.started and entry.is_missing:
            entry.phase = Phase.rejected
            entry.reason = reason

    def _apply_earlier_rejection(self, entry: OrderEntry) -> None:
        reason = self._earlier_rejections.get((entry.task, entry.order.run))
        if reason is not None:
            self.reject(entry, reason)

    def _keep_needs(self, entry: OrderEntry | None) -> None:
        if entry is not None and entry.holds_resources:
            run = (entry.task, entry.order.run)
            self._unordered_needs[run] = entry.order.resources

    def _ends_by_number(self) -> list[RunEnd]:
        if self.state is None:
            return []
        return sorted(self.state.ended, key=lambda end: end.number)

    def _is_ordered(self, task: str, run: int) -> bool:
        entry = self.entries.get(task)
        return entry is not None and entry.order.run == run

    def _update_phase(self, entry: OrderEntry, state: MinionState) -> None:
        run = (entry.task, entry.order.run)
        if run in {(end.task, end.run) for end in state.ended}:
            entry.phase = Phase.ended
        elif run in {(running.task, running.run) for running in state.running}:
            entry.mark_started(self._state_ms)

    def _is_missing(
        self, entry: OrderEntry, state: MinionState, asked_ms: int
    ) -> bool:
        """Return whether a run is gone that was there before the call."""
        if entry.phase is not Phase.started or entry.started_ms is None:
            return False
        run = (entry.task, entry.order.run)
        return (
            state.has_all_ends
            and entry.started_ms < asked_ms
            and run
            not in {(running.task, running.run) for running in state.running}
        )
