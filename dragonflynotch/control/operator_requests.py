"""Requests of the operator other than the configuration."""

from collections.abc import Callable

from dragonflynotch.control.clocks import StoreClock
from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.rows import RowChange
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.evacuation import EvacuationRequests

__all__ = ('EvacuationWatch',)


class EvacuationWatch:
    """Evacuations that the operator requests.

    Parameters
    ----------
    operator_rows : ConfigurationWatch
        Watch of the operator's table; must not have been started yet.
    store_clock : StoreClock
        Bounds on the time of the store.
    decode : callable
        Returns the data centre of a key, which is ``''`` in a malformed key, or
        ``None`` for keys of other rows.
    """

    def __init__(
        self,
        operator_rows: ConfigurationWatch,
        store_clock: StoreClock,
        decode: Callable[[str], str | None],
    ) -> None:
        """Follow the rows of ``operator_rows``."""
        self._operator_rows = operator_rows
        self._store_clock = store_clock
        self._decode = decode
        self._data_centres: frozenset[str] = frozenset()
        operator_rows.add_listener(self._on_changes)

    def requests(self) -> EvacuationRequests | None:
        """Return the evacuations, or ``None`` until the rows have been read."""
        age_ms = self._operator_rows.confirmed_age_ms
        if age_ms is None or not self._store_clock.is_known:
            return None
        return EvacuationRequests(
            self._data_centres, self._store_clock.earliest_ms() - age_ms
        )

    def _on_changes(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            data_centre = self._decode(change.key)
            if data_centre is None:
                continue
            if not data_centre:
                decision_log.record('evacuation_unreadable', key=change.key)
                continue
            is_requested = change.content is not None
            if is_requested == (data_centre in self._data_centres):
                continue
            # Each front logs this; the scheduler logs what follows from it.
            decision_log.record(
                'evacuation_requested'
                if is_requested
                else 'evacuation_withdrawn',
                data_centre=data_centre,
            )
            self._data_centres ^= {data_centre}
