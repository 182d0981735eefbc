"""Configuration in force in this process."""

from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.rows import RowChange, RowStore, Table
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.deployment import Deployment

__all__ = ('ConfigurationWatch',)

# Longest wait in one call of the change feed; bounds how long a feed that
# delivers nothing stays unnoticed.
_FEED_TIMEOUT = timedelta(milliseconds=800)


class ConfigurationWatch:
    """Follows the configuration row and never returns to an older version.

    Other rows of the same table are passed on to listeners, so that one feed
    serves all of them.

    Parameters
    ----------
    store : RowStore
        Store with the row.
    table : Table
        Table of the row.
    key : str
        Key of the row.
    decode : callable
        Returns the deployment, or why the bytes are unreadable.
    clock : SteadyClock
        Measures the age of the configuration.
    """

    def __init__(
        self,
        store: RowStore,
        table: Table,
        key: str,
        decode: Callable[[bytes], Deployment | Unreadable],
        clock: SteadyClock,
    ) -> None:
        """Create the watch; ``run`` starts it."""
        self._key = key
        self._decode = decode
        self._deployment: Deployment | None = None
        self._listeners: list[Callable[[tuple[RowChange, ...]], None]] = []
        self._watch = TableWatch(
            store, table, self._on_changes, clock, _FEED_TIMEOUT
        )

    @property
    def deployment(self) -> Deployment | None:
        """Newest configuration, or ``None`` before the first."""
        return self._deployment

    @property
    def age_ms(self) -> int:
        """Upper bound on the age of the configuration, in milliseconds."""
        return self._watch.age_ms

    @property
    def confirmed_age_ms(self) -> int | None:
        """Time since all rows of the table were certainly current.

        In milliseconds; ``None`` until the table has been read.
        """
        return self._watch.confirmed_age_ms

    def add_listener(
        self, listener: Callable[[tuple[RowChange, ...]], None]
    ) -> None:
        """Pass on the changes of all rows of the table.

        Must be called before ``run``, or the first rows are missed.
        """
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the row until cancelled."""
        await self._watch.run()

    def _on_changes(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.key == self._key and change.content is not None:
                self._put_in_force(change.content)
        for listener in self._listeners:
            listener(changes)

    def _put_in_force(self, content: bytes) -> None:
        deployment = self._decode(content)
        if isinstance(deployment, Unreadable):
            unreadable_entries.record(
                'configuration_unreadable', deployment, key=self._key
            )
            return
        current = self._deployment
        if current is not None and deployment.version <= current.version:
            return
        self._deployment = deployment
        decision_log.record(
            'configuration_in_force',
            version=deployment.version,
            queues=len(deployment.queues),
            workspaces=len(deployment.workspaces),
        )
