"""Progress of evacuations, read from the rows of the store."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from dragonflynotch.control.rows import (
    ORDER_TABLES,
    REPORTS,
    RowStore,
    Table,
)
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.workflows.records import Report, decode_row

__all__ = ('EvacuationStatus', 'read_evacuations')


@dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """Progress of one evacuation.

    Parameters
    ----------
    data_centre : str
        Data centre that is evacuated.
    workers : int
        Workers there that have a minion.
    runs : int
        Runs ordered there that have not ended.
    runs_of_unknown_data_centre : int
        Such runs that may be there: no report tells their data centre.
    """

    data_centre: str
    workers: int
    runs: int
    runs_of_unknown_data_centre: int


async def read_evacuations(
    store: RowStore,
    operator_table: Table,
    decode: Callable[[str], str | None],
) -> list[EvacuationStatus]:
    """Return the evacuations in force, by name.

    Parameters
    ----------
    decode : callable
        Returns the data centre of a key of the operator's table, if any.

    Raises
    ------
    PlatformUnavailableError
        If the store does not respond.
    """
    rows = await store.read_table(operator_table)
    requested = {name for row in rows if (name := decode(row.key))}
    if not requested:
        return []
    # Orders are read before reports, so that no run is missed whose worker
    # appears meanwhile.
    orders = [
        row for table in ORDER_TABLES for row in await store.read_table(table)
    ]
    reports = [
        decode_row(row.content, Report)
        for row in await store.read_table(REPORTS)
    ]
    data_centres = {
        report.minion_id: report.data_centre
        for report in reports
        if not isinstance(report, Unreadable) and report.minion_id
    }
    workers = Counter(data_centres.values())
    runs = Counter(
        data_centres.get(row.key.partition('/')[0], '') for row in orders
    )
    return [
        EvacuationStatus(name, workers[name], runs[name], runs[''])
        for name in sorted(requested)
    ]
