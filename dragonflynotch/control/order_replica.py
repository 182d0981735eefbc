"""Copy of all stored orders at a guard, by incarnation."""

from collections import defaultdict
from collections.abc import Mapping

from dragonflynotch.workflows.records import Order

__all__ = ('OrderReplica',)


class OrderReplica:
    """Orders of all incarnations, kept up to date by a watch."""

    def __init__(self) -> None:
        """Create an empty replica."""
        self._orders: dict[str, dict[str, Order]] = defaultdict(dict)

    def update(self, minion_id: str, task: str, order: Order | None) -> None:
        """Put the order of a task; ``None`` removes it."""
        if order is not None:
            self._orders[minion_id][task] = order
            return
        orders = self._orders.get(minion_id, {})
        orders.pop(task, None)
        if not orders:
            self._orders.pop(minion_id, None)

    def orders_of(self, minion_id: str) -> Mapping[str, Order]:
        """Return the orders of an incarnation, by task."""
        return self._orders.get(minion_id, {})

    def has_orders(self, minion_id: str) -> bool:
        """Return whether an incarnation has any orders."""
        return minion_id in self._orders
