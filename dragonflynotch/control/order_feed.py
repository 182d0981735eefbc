"""Orders that concern one guard, followed in the tables that hold them."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.order_replica import OrderReplica
from dragonflynotch.control.rows import RowChange, RowStore, orders_table
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.records import Order, decode_row

__all__ = ('OrderFeed',)

# Longest wait in one call of the change feed; bounds how long a feed that
# delivers nothing stays unnoticed.
_FEED_TIMEOUT = timedelta(milliseconds=1000)


class OrderFeed:
    """Orders of the minions that a guard has to do with.

    The orders are spread over tables by minion, so that the calls of a guard
    grow with the changes for its minion and a few others, and not with those
    for all minions.

    Parameters
    ----------
    store : RowStore
        Store with the orders.
    clock : SteadyClock
        Measures the age of the replica.
    on_order : callable
        Receives the minion, the task and the order, which is ``None`` if it
        was removed, after each change.
    on_changes : callable
        Called once after the changes of one response.
    """

    def __init__(
        self,
        store: RowStore,
        clock: SteadyClock,
        on_order: Callable[[str, str, Order | None], None],
        on_changes: Callable[[], None],
    ) -> None:
        """Create the feed; ``run`` starts it."""
        self._store = store
        self._clock = clock
        self._on_order = on_order
        self._on_changes = on_changes
        self._replica = OrderReplica()
        self._watches: dict[str, TableWatch] = {}
        self._added: asyncio.Queue[TableWatch] = asyncio.Queue()

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                watch = await self._added.get()
                group.create_task(watch.run())

    def follow(self, minion_id: str) -> None:
        """Follow the orders of a minion from now on.

        Tables of earlier minions are still followed; there are few tables.
        """
        table = orders_table(minion_id)
        if table.name in self._watches:
            return
        watch = TableWatch(
            self._store, table, self._apply, self._clock, _FEED_TIMEOUT
        )
        self._watches[table.name] = watch
        self._added.put_nowait(watch)

    def is_loaded(self, minion_id: str) -> bool:
        """Return whether the orders of a minion have been read."""
        watch = self._watches.get(orders_table(minion_id).name)
        return watch is not None and watch.is_loaded

    def age_ms(self, minion_id: str) -> int:
        """Return an upper bound on the age of the orders of a minion.

        In milliseconds; that of this process's clock if none were read.
        """
        watch = self._watches.get(orders_table(minion_id).name)
        return self._clock.now_ms() if watch is None else watch.age_ms

    def orders_of(self, minion_id: str) -> Mapping[str, Order]:
        """Return the orders of a minion, by task."""
        return self._replica.orders_of(minion_id)

    def find(self, minion_id: str, task: str) -> Order | None:
        """Return the order of a minion for a task, or ``None``."""
        return self._replica.orders_of(minion_id).get(task)

    def may_have_orders(self, minion_id: str) -> bool:
        """Return whether a minion has orders or they have not been read."""
        return not self.is_loaded(minion_id) or self._replica.has_orders(
            minion_id
        )

    def _apply(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            order = _decode_order(change)
            minion_id, _, task = change.key.partition('/')
            self._replica.update(minion_id, task, order)
            self._on_order(minion_id, task, order)
        self._on_changes()


def _decode_order(change: RowChange) -> Order | None:
    """Return the order, or ``None`` if it was deleted or is unreadable."""
    if change.content is None:
        return None
    order = decode_row(change.content, Order)
    if isinstance(order, Unreadable):
        unreadable_entries.record('order_unreadable', order, key=change.key)
        return None
    return order
