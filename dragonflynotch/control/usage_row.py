"""Stored row with the recent usage of workspaces, for the next leader."""

from dragonflynotch.control.rows import (
    LEASE,
    SCHEDULER_PART,
    RowName,
    RowStore,
    RowWrite,
)
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.ordering.shares import RecentUsage
from dragonflynotch.workflows.records import UsageRow, decode_row, encode_row

__all__ = ('USAGE_NAME', 'UsageRowWriter', 'restore_usage')

USAGE_NAME = RowName(LEASE.name, SCHEDULER_PART, 'usage')

_VERSION = 1
# Usage older than this is lost with a leader; short against its half-life.
_WRITE_INTERVAL_MS = 2000
# Covers differences between the bounds on the store's time in two processes.
_MAX_AHEAD_MS = 1000


async def restore_usage(
    store: RowStore, usage: RecentUsage, now_ms: int
) -> None:
    """Continue from the usage that an earlier leader stored.

    A row that cannot be read counts for nothing, so that it never delays a
    takeover.
    """
    try:
        row = await store.read_row(USAGE_NAME)
    except PlatformUnavailableError as error:
        decision_log.record('usage_not_read', reason=str(error))
        return
    if row is None:
        return
    stored = decode_row(row.content, UsageRow)
    reason = _find_fault(stored, now_ms)
    if stored is None or reason:
        decision_log.record(
            'usage_unreadable', key=USAGE_NAME.key, reason=reason
        )
        return
    usage.restore(stored.shares, stored.stored_ms)


class UsageRowWriter:
    """Adds the row to transactions of the leader, at most one per interval."""

    def __init__(self) -> None:
        """Create a writer that has not written yet."""
        self._written_ms: int | None = None
        self._shares: dict[str, float] = {}

    def take_write(self, usage: RecentUsage, now_ms: int) -> list[RowWrite]:
        """Return the write if it is due and the usage has changed."""
        if (
            self._written_ms is not None
            and now_ms - self._written_ms < _WRITE_INTERVAL_MS
        ):
            return []
        shares = usage.largest()
        if shares == self._shares:
            return []
        self._written_ms = now_ms
        self._shares = shares
        row = UsageRow(_VERSION, now_ms, shares)
        return [RowWrite(USAGE_NAME, encode_row(row))]


def _find_fault(row: UsageRow | None, now_ms: int) -> str:
    """Return why a row is not used, or ``''``."""
    if row is None:
        return 'malformed'
    if row.version != _VERSION:
        return f'version {row.version}'
    if row.stored_ms > now_ms + _MAX_AHEAD_MS:
        return 'later than now'
    if not all(0 <= share <= 1 for share in row.shares.values()):
        return 'share out of range'
    return ''
