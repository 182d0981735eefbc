"""Evacuations that the operator writes to the row store, and their status."""

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.evacuation_status import (
    EvacuationStatus,
    read_evacuations,
)
from dragonflynotch.control.rows import Table
from dragonflynotch.platform.row_store import HttpRowStore
from dragonflynotch.platform.settings import PlatformSettings

__all__ = ('OPERATOR_TABLE', 'decode_evacuation', 'evacuations_text')

# Table in which the operator writes; its rows have no part.
OPERATOR_TABLE = Table('op', ('',))
_KEY_PREFIX = 'evacuate/'


def decode_evacuation(key: str) -> str | None:
    """Return the data centre of an evacuation.

    The name is in the key and may be empty in a malformed row. The content
    has no meaning, so an evacuation is in force whatever it contains.

    Returns
    -------
    str or None
        ``None`` if the row is not about an evacuation.
    """
    if not key.startswith(_KEY_PREFIX):
        return None
    return key.removeprefix(_KEY_PREFIX)


async def evacuations_text(settings: PlatformSettings) -> str:
    """Return a line for each evacuation in force, with what is left there.

    Raises
    ------
    PlatformUnavailableError
        If the store does not respond.
    """
    store = HttpRowStore(settings.store_address, BootClock())
    evacuations = await read_evacuations(
        store, OPERATOR_TABLE, decode_evacuation
    )
    lines = [_status_line(evacuation) for evacuation in evacuations]
    return '\n'.join(lines) or 'no evacuation'


def _status_line(status: EvacuationStatus) -> str:
    line = (
        f'{status.data_centre}: {status.workers} workers, '
        f'{status.runs} runs left'
    )
    unknown_runs = status.runs_of_unknown_data_centre
    if unknown_runs:
        line += f', {unknown_runs} runs in an unknown data centre'
    return line
