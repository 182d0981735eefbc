"""Orders that stand, and what changed since the last write."""

from collections.abc import Iterator

from dragonflynotch.workflows.records import Order

__all__ = ('OrderKey', 'OrderLedger')

# Incarnation of the minion and name of the task.
OrderKey = tuple[str, str]


class OrderLedger:
    """Orders by minion and task.

    An order stands from the decision to start a run until its end, its
    rejection or the loss of its worker has been recorded.
    """

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[OrderKey, Order] = {}
        self._changes: dict[OrderKey, Order | None] = {}

    def __iter__(self) -> Iterator[tuple[OrderKey, Order]]:
        """Iterate over all orders that stand."""
        return iter(list(self._orders.items()))

    def restore(self, key: OrderKey, order: Order) -> None:
        """Add an order that is stored already."""
        self._orders[key] = order

    def find(self, key: OrderKey, run: int) -> Order | None:
        """Return the order if it stands for this run."""
        order = self._orders.get(key)
        return order if order is not None and order.run == run else None

    def put(self, key: OrderKey, order: Order) -> None:
        """Add an order."""
        self._orders[key] = order
        self._changes[key] = order

    def stop(self, key: OrderKey, run: int) -> bool:
        """Turn an order into one to stop; ``False`` if there is none."""
        order = self.find(key, run)
        if order is None or order.is_stopped:
            return False
        order.is_stopped = True
        self._changes[key] = order
        return True

    def drop(self, key: OrderKey) -> None:
        """Remove an order."""
        self._orders.pop(key, None)
        self._changes[key] = None

    def of_minion(self, minion_id: str) -> list[str]:
        """Return the tasks ordered from an incarnation."""
        return [task for minion, task in self._orders if minion == minion_id]

    def minions(self) -> set[str]:
        """Return the incarnations with orders."""
        return {minion_id for minion_id, _ in self._orders}

    def take_changes(self) -> dict[OrderKey, Order | None]:
        """Return the changes since the last call; ``None`` for a removal."""
        changes = self._changes
        self._changes = {}
        return changes
