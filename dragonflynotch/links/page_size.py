"""Number of rows that a page of the store should have on this link."""

__all__ = ('PageSize',)

# The store returns no more in one page.
_MAX_ROWS = 500
# Below this the time of a call exceeds that of the transfer.
_MIN_ROWS = 16
# A page takes about this long, so that a failed page loses little and other
# calls of this process are not delayed for longer.
_TRANSFER_S = 0.3
# The speed of the link is not known after a time-out.
_TIMEOUT_DIVISOR = 2
# A few rows may arrive at once and seem to take no time.
_GROWTH_FACTOR = 4


class PageSize:
    """Adapts the size of pages to the transfer times of previous pages.

    Only the time between the first and the last byte counts: a store that
    responds slowly to every call would be read more slowly in smaller pages.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit: int | None = None

    @property
    def limit(self) -> int | None:
        """Rows to request, or ``None`` to leave it to the store."""
        return self._limit

    def record_page(self, rows: int, transfer_s: float) -> None:
        """Adapt the limit to a page of ``rows`` rows.

        ``transfer_s`` is the time from its first to its last byte, in seconds.
        """
        if rows < min(_MIN_ROWS, self._limit or _MIN_ROWS):
            # Too small to tell the speed of the link.
            return
        max_rows = _MAX_ROWS
        if self._limit is not None:
            max_rows = self._limit * _GROWTH_FACTOR
        if rows * _TRANSFER_S < max_rows * transfer_s:
            max_rows = int(rows * _TRANSFER_S / transfer_s)
        self._limit = (
            None if max_rows >= _MAX_ROWS else max(_MIN_ROWS, max_rows)
        )

    def record_timeout(self) -> None:
        """Request smaller pages after one that did not arrive in time."""
        rows = (self._limit or _MAX_ROWS) // _TIMEOUT_DIVISOR
        self._limit = max(_MIN_ROWS, rows)
