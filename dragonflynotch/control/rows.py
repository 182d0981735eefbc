"""Interface of the row store, which holds all durable state."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from zlib import crc32

__all__ = (
    'ABSENT',
    'EARLY_CANCELLATION_PREFIX',
    'LEASE',
    'ORDER_TABLES',
    'PROGRESS',
    'RELAYS',
    'REPORTS',
    'SCHEDULER_PART',
    'SUBMISSIONS',
    'Changes',
    'Committed',
    'Conflict',
    'HistoryLost',
    'Page',
    'Row',
    'RowChange',
    'RowName',
    'RowStore',
    'RowWrite',
    'Snapshot',
    'StoreLimits',
    'Table',
    'order_row',
    'orders_table',
    'read_pages',
    'shard_of',
)

# Version of a row that does not exist.
ABSENT = 0


# Part of all rows that the scheduler writes; a transaction is limited to one
# part.
SCHEDULER_PART = 'scheduler'
# The store applies the transactions of a part one after another, so the writes
# of entries and guards are spread over several parts. On a slow store a single
# part would serve only two writes per second.
_SHARD_COUNT = 8


def shard_of(key: str) -> str:
    """Return the part for the rows of a job or a guard."""
    return f'shard-{crc32(key.encode()) % _SHARD_COUNT}'


@dataclass(frozen=True, slots=True)
class Table:
    """Name of a table and the parts that hold its rows."""

    name: str
    parts: tuple[str, ...]


_SHARD_PARTS = tuple(f'shard-{number}' for number in range(_SHARD_COUNT))
# Rows JOB/spec and JOB/cancel, written once by entries, and a row of each
# workspace that cancels a job before it is there.
SUBMISSIONS = Table('submissions', _SHARD_PARTS)
EARLY_CANCELLATION_PREFIX = 'cancel-'
# One row for each guard, written by the guard.
REPORTS = Table('reports', _SHARD_PARTS)
# One row for each job, written by the scheduler.
PROGRESS = Table('progress', (SCHEDULER_PART,))
# Rows MINION/TASK, written by the scheduler. A change feed covers one table, so
# a guard receives only the changes of the table of its minion. A new leader
# reads all of them.
_ORDER_TABLE_COUNT = 16
ORDER_TABLES = tuple(
    Table(f'orders-{number}', (SCHEDULER_PART,))
    for number in range(_ORDER_TABLE_COUNT)
)
# One row for each process that relays the calls of guards, written by it.
RELAYS = Table('relays', ('relays',))
# One row with the scheduling lease.
LEASE = Table('lease', (SCHEDULER_PART,))


def orders_table(minion_id: str) -> Table:
    """Return the table with the orders of a minion."""
    return ORDER_TABLES[crc32(minion_id.encode()) % _ORDER_TABLE_COUNT]


@dataclass(frozen=True, slots=True)
class RowName:
    """Address of a row."""

    table: str
    part: str
    key: str


def order_row(minion_id: str, task: str) -> RowName:
    """Return the address of the order of a task on a minion."""
    table = orders_table(minion_id)
    return RowName(table.name, SCHEDULER_PART, f'{minion_id}/{task}')


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
    """Rows of one part of a table at one version."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Page:
    """First rows of a range at one version.

    ``next_first`` is the first key of the rest, ``None`` if there is no more.
    """

    rows: tuple[Row, ...]
    version: int
    next_first: str | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed up to ``version``, in order."""

    rows: tuple[RowChange, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes; read the table again."""


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store accepts in one transaction.

    Parameters
    ----------
    row_bytes : int
        Longest content of a row.
    call_bytes : int
        Longest encoded transaction.
    call_rows : int
        Most conditions and writes together.
    """

    row_bytes: int = 65_536
    call_bytes: int = 1_000_000
    call_rows: int = 100


_DEFAULT_LIMITS = StoreLimits()


@dataclass(frozen=True, slots=True)
class Committed:
    """All writes took effect at ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """No write took effect; ``current_rows`` has the current condition rows."""

    current_rows: dict[RowName, Row]


class RowStore(ABC):
    """Transactional row store with change feeds.

    All methods raise ``PlatformUnavailableError`` if the store certainly did
    nothing. ``commit`` raises ``UncertainWriteError`` if the response was lost:
    the writes may have taken effect, or may do so seconds later if their
    conditions still hold. ``InvalidInputError`` means that the call itself is
    wrong, for example that a row is too long, and had no effect.
    """

    @property
    def limits(self) -> StoreLimits:
        """What the store accepts in one transaction."""
        return _DEFAULT_LIMITS

    @abstractmethod
    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""

    async def read_table(self, table: Table) -> list[Row]:
        """Return the rows of all parts of a table, each part in order."""
        rows: list[Row] = []
        for part in table.parts:
            snapshot = await self.read(table.name, part)
            rows.extend(snapshot.rows)
        return rows

    async def read_page(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Page:
        """Return the first rows of ``read`` in one call.

        A store without pages returns all rows.
        """
        snapshot = await self.read(table, part, first, last)
        return Page(snapshot.rows, snapshot.version)

    async def read_row(self, name: RowName) -> Row | None:
        """Return one row, or ``None`` if it does not exist."""
        # The range ends before the smallest key above the requested one.
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
        """Apply all writes if each condition row has its expected version.

        All rows must be in the same part.
        """

    @abstractmethod
    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return changes after a version; wait up to ``wait`` for the first."""


async def read_pages(
    store: RowStore, table: str, part: str, first: str = '', last: str = ''
) -> Snapshot:
    """Return the rows of all pages of a range, in order.

    Pages after the first may contain newer rows. The version of the snapshot is
    that of the first page, so that a change feed continued from it misses no
    change.
    """
    rows: list[Row] = []
    version: int | None = None
    next_first: str | None = first
    while next_first is not None:
        page = await store.read_page(table, part, next_first, last)
        rows.extend(page.rows)
        version = page.version if version is None else version
        next_first = page.next_first
    return Snapshot(tuple(rows), version or 0)
