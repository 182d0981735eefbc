"""Interface of the store that keeps all durable state."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from zlib import crc32

__all__ = (
    'ABSENT',
    'LEASE',
    'ORDERS',
    'PROGRESS',
    'REPORTS',
    'SCHEDULER_PART',
    'SUBMISSIONS',
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
    'shard_of',
)

ABSENT = 0


# Part of all rows that the scheduler writes; transactions are atomic in it.
SCHEDULER_PART = 'scheduler'
# A part carries its transactions one after another, so what entries and guards
# write is spread. On a slow store one part would serve two writes a second.
_SHARDS = 8


def shard_of(key: str) -> str:
    """Return the part for the rows of a job or a guard."""
    return f'shard-{crc32(key.encode()) % _SHARDS}'


@dataclass(frozen=True, slots=True)
class Table:
    """A table with the parts that its rows are spread over."""

    name: str
    parts: tuple[str, ...]


_SHARD_NAMES = tuple(f'shard-{number}' for number in range(_SHARDS))
# Rows ID/spec and ID/cancel, written once by entries.
SUBMISSIONS = Table('submissions', _SHARD_NAMES)
# One row for each guard, written by it.
REPORTS = Table('reports', _SHARD_NAMES)
# One row for each job, written by the scheduler.
PROGRESS = Table('progress', (SCHEDULER_PART,))
# Rows MINION/TASK, written by the scheduler.
ORDERS = Table('orders', (SCHEDULER_PART,))
# The scheduling lease.
LEASE = Table('lease', (SCHEDULER_PART,))


@dataclass(frozen=True, slots=True)
class RowName:
    """Place of a row."""

    table: str
    part: str
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
    conditions hold. ``InvalidInputError`` means that the call itself is wrong.
    """

    @abstractmethod
    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""

    async def read_row(self, name: RowName) -> Row | None:
        """Return one row, or ``None`` if it does not exist."""
        # The smallest key above the one asked for ends the range.
        snapshot = await self.read(
            name.table, name.part, name.key, f'{name.key}\0'
        )
        return snapshot.rows[0] if snapshot.rows else None

    @abstractmethod
    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each row has its expected version.

        All rows must be in one part.
        """

    @abstractmethod
    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version."""
