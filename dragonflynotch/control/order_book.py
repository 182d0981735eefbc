"""Orders of one minion and what became of them; decisions only."""

from dataclasses import dataclass, field
from enum import StrEnum

from dragonflynotch.control.minions import MinionState
from dragonflynotch.workflows.records import Order, Rejection, RunEnd

__all__ = ('OrderBook', 'OrderEntry', 'Phase')


class Phase(StrEnum):
    """Progress of an order at this guard."""

    new = 'new'
    started = 'started'
    ended = 'ended'
    # The run was not started and never will be.
    rejected = 'rejected'


@dataclass(slots=True)
class OrderEntry:
    """One order.

    Parameters
    ----------
    may_arrive : bool
        Whether a start without an answer may still be carried out.
    is_busy : bool
        Whether a call for this order is under way.
    """

    task: str
    order: Order
    phase: Phase = Phase.new
    reason: str = ''
    may_arrive: bool = False
    is_busy: bool = False
    is_stop_sent: bool = False

    @property
    def needs_stop(self) -> bool:
        """Whether the run has to be stopped and is not yet."""
        return (
            self.order.is_stopped and not self.is_stop_sent and not self.is_busy
        )

    @property
    def needs_start(self) -> bool:
        """Whether the run has to be started."""
        return (
            self.phase is Phase.new
            and not self.order.is_stopped
            and not self.is_busy
        )

    def set_idle(self) -> None:
        """Take note that no call is under way."""
        self.is_busy = False


@dataclass(slots=True)
class OrderBook:
    """All orders of the present incarnation of a minion."""

    entries: dict[str, OrderEntry] = field(default_factory=dict)
    state: MinionState | None = None

    def put(self, task: str, order: Order) -> OrderEntry:
        """Add or update an order."""
        entry = self.entries.get(task)
        if entry is None or entry.order.run != order.run:
            entry = OrderEntry(task, order)
            self.entries[task] = entry
            if self.state is not None:
                self._match(entry, self.state)
        else:
            entry.order = order
        return entry

    def remove(self, task: str) -> None:
        """Drop an order; its end, if any, has been recorded."""
        self.entries.pop(task, None)

    def is_current(self, entry: OrderEntry) -> bool:
        """Return whether the order still stands."""
        return self.entries.get(entry.task) is entry

    def open_entries(self) -> list[OrderEntry]:
        """Return the orders that may need a call."""
        return [
            entry
            for entry in self.entries.values()
            if entry.phase in {Phase.new, Phase.started}
        ]

    def observe(self, state: MinionState) -> None:
        """Take what the minion runs and what has ended there."""
        self.state = state
        for entry in self.entries.values():
            self._match(entry, state)

    def strays(self) -> list[tuple[str, int]]:
        """Return the runs without an order, which must be stopped."""
        if self.state is None:
            return []
        return [
            (running.task, running.run)
            for running in self.state.running
            if not self._is_ordered(running.task, running.run)
        ]

    def seen_up_to(self) -> int:
        """Return the last end before the first that is not recorded yet.

        The scheduler removes an order in the transaction that records its
        end, so an end without an order needs no further keeping.
        """
        seen = 0
        for end in self._ended():
            if self._is_ordered(end.task, end.run):
                break
            seen = end.number
        return seen

    def unrecorded_ends(self) -> list[RunEnd]:
        """Return the ends whose orders still stand."""
        return [
            end for end in self._ended() if self._is_ordered(end.task, end.run)
        ]

    def rejections(self) -> list[Rejection]:
        """Return the orders that were not carried out and never will be."""
        return [
            Rejection(entry.task, entry.order.run, entry.reason)
            for entry in self.entries.values()
            if entry.phase is Phase.rejected
        ]

    def reject(self, entry: OrderEntry, reason: str) -> None:
        """Close an order whose run certainly never starts."""
        if entry.phase is Phase.new:
            entry.phase = Phase.rejected
            entry.reason = reason

    def _ended(self) -> list[RunEnd]:
        if self.state is None:
            return []
        return sorted(self.state.ended, key=lambda end: end.number)

    def _is_ordered(self, task: str, run: int) -> bool:
        entry = self.entries.get(task)
        return entry is not None and entry.order.run == run

    def _match(self, entry: OrderEntry, state: MinionState) -> None:
        run = (entry.task, entry.order.run)
        if run in {(end.task, end.run) for end in state.ended}:
            entry.phase = Phase.ended
        elif run in {(one.task, one.run) for one in state.running}:
            entry.phase = Phase.started
