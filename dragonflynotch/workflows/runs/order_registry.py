"""Registry of active orders and of their changes since the last write."""

from collections.abc import Iterator

from dragonflynotch.workflows.records import Order

__all__ = ('OrderKey', 'OrderRegistry')

# Identifiers of the minion's incarnation and of the task.
OrderKey = tuple[str, str]


class OrderRegistry:
    """Orders by minion and task.

    An order is active from the decision to start a run until the end of the
    run, its rejection or the loss of its worker has been recorded.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._orders: dict[OrderKey, Order] = {}
        self._changes: dict[OrderKey, Order | None] = {}
        # Orders whose runs no report has listed yet.
        self._unconfirmed: dict[OrderKey, Order] = {}

    def __iter__(self) -> Iterator[tuple[OrderKey, Order]]:
        """Iterate over a copy of the active orders."""
        return iter(list(self._orders.items()))

    def restore(self, key: OrderKey, order: Order) -> None:
        """Add an order that is already stored."""
        self._orders[key] = order
        self._unconfirmed[key] = order

    def find(self, key: OrderKey, run: int) -> Order | None:
        """Return the active order for this run, or ``None``."""
        order = self._orders.get(key)
        return order if order is not None and order.run == run else None

    def put(self, key: OrderKey, order: Order) -> None:
        """Add an order."""
        self._orders[key] = order
        self._unconfirmed[key] = order
        self._changes[key] = order

    def confirm(self, key: OrderKey) -> None:
        """Record that a report lists the run of an order."""
        self._unconfirmed.pop(key, None)

    def overdue_minions(self, start_by_ms: int) -> set[str]:
        """Return the minions with orders that no report has confirmed.

        Parameters
        ----------
        start_by_ms : int
            Only orders count whose runs had to start before this store time.
        """
        return {
            minion_id
            for (minion_id, _), order in self._unconfirmed.items()
            if order.start_by_ms < start_by_ms
        }

    def stop(self, key: OrderKey, run: int) -> bool:
        """Change an order to run a task into one to stop it.

        Returns
        -------
        bool
            ``False`` if there is no such order or the run is stopping already.
        """
        order = self.find(key, run)
        if order is None or order.is_stopped:
            return False
        order.is_stopped = True
        self._changes[key] = order
        return True

    def remove(self, key: OrderKey) -> None:
        """Remove an order."""
        self._orders.pop(key, None)
        self._unconfirmed.pop(key, None)
        self._changes[key] = None

    def tasks_of(self, minion_id: str) -> list[str]:
        """Return the tasks that an incarnation has orders for."""
        return [task for minion, task in self._orders if minion == minion_id]

    def minion_ids(self) -> set[str]:
        """Return the incarnations that have orders."""
        return {minion_id for minion_id, _ in self._orders}

    def take_changes(self) -> dict[OrderKey, Order | None]:
        """Return the changes since the last call; ``None`` marks a removal."""
        changes = self._changes
        self._changes = {}
        return changes
