"""Interface of the store that keeps all durable state."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

__all__ = (
    'ABSENT',
    'Changes',
    'Committed',
    'Conflict',
    'HistoryLost',
    'Row',
    'RowChange',
    'RowName',
    'RowStore',
    'RowWrite',
    'Snapshot',
    'Table',
)

ABSENT = 0


class Table:
    """Names of the tables."""

    # Rows ID/spec and ID/cancel by entries, ID/progress by the scheduler.
    jobs = 'jobs'
    # One row for each guard, written by it.
    reports = 'reports'
    # Rows MINION/TASK, written by the scheduler.
    orders = 'orders'
    # The scheduling lease.
    lease = 'lease'


@dataclass(frozen=True, slots=True)
class RowName:
    """Place of a row."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row; ``version`` grows with every write to the store."""

    key: str
    content: bytes
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A changed row; ``content`` is ``None`` if it was deleted."""

    key: str
    content: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """New content of a row; ``None`` deletes it."""

    name: RowName
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of one table as of one moment."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed up to ``version``, in order."""

    rows: tuple[RowChange, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The requested changes are no longer kept; read the table anew."""


@dataclass(frozen=True, slots=True)
class Committed:
    """All writes took effect at ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """No write took effect; the rows of the conditions as they are."""

    found: dict[RowName, Row]


class RowStore(ABC):
    """Transactional rows with change feeds.

    All methods raise ``PlatformUnavailableError`` if the store certainly did
    nothing. ``commit`` raises ``UncertainWriteError`` if the answer was lost:
    the writes may have taken effect, or may do so seconds later while their
    conditions hold.
    """

    @abstractmethod
    async def read(
        self, table: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""

    @abstractmethod
    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each row has its expected version."""

    @abstractmethod
    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version."""
