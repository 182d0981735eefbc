"""Replaces the reports of guards whose authority has ended."""

import asyncio
from collections.abc import Callable

from dragonflynotch.control.row_cleanup import void_report
from dragonflynotch.control.rows import RowStore
from dragonflynotch.workflows.placement.workers import Worker

__all__ = ('LostGuards',)


class LostGuards:
    """Replaces reports side by side, without holding up the leader.

    The rows are spread over parts of the store, some of which may respond
    slowly or not at all.

    Parameters
    ----------
    store : RowStore
        Store with the reports.
    on_done : callable
        Called after each attempt.
    """

    def __init__(self, store: RowStore, on_done: Callable[[], None]) -> None:
        """Create an instance without any calls in progress."""
        self._store = store
        self._on_done = on_done
        self._calls: dict[str, tuple[Worker, asyncio.Task[bool]]] = {}

    def void(
        self, node: str, worker: Worker, *, has_minion_ended: bool = False
    ) -> None:
        """Replace the report of a guard, unless this is in progress.

        Parameters
        ----------
        has_minion_ended : bool
            Whether the minion has ended for certain.
        """
        if node in self._calls:
            return
        call = asyncio.create_task(
            void_report(self._store, worker, has_minion_ended=has_minion_ended)
        )
        call.add_done_callback(lambda _: self._on_done())
        self._calls[node] = (worker, call)

    def take_voided(self) -> dict[str, Worker]:
        """Return the guards whose reports have been replaced, by node.

        Each is returned once. An attempt that failed can be repeated.
        """
        voided = {}
        for node, (worker, call) in list(self._calls.items()):
            if call.done():
                del self._calls[node]
                if call.result():
                    voided[node] = worker
        return voided

    def cancel(self) -> None:
        """Cancel all calls."""
        for _, call in self._calls.values():
            call.cancel()
