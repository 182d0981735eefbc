"""Interface of the platform's transactional table service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = (
    'ABSENT_VERSION',
    'ConditionalWrite',
    'Row',
    'TableService',
    'WriteConflict',
    'Written',
)

ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row.

    Parameters
    ----------
    key : str
        Key of the row.
    content : bytes
        Content of the row.
    version : int
        At least 1. Increases with each write of the row, and does not start
        again after a deletion.
    writer_token : str
        Token of the transaction that wrote the row.
    """

    key: str
    content: bytes
    version: int
    writer_token: str


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A write that applies only if the row has the expected version.

    Parameters
    ----------
    key : str
        Key of the row.
    content : bytes or None
        New content; ``None`` deletes the row.
    expected_version : int
        Version the row must have; ``ABSENT_VERSION`` if it must not exist.
    """

    key: str
    content: bytes | None
    expected_version: int


@dataclass(frozen=True, slots=True)
class Written:
    """All writes of a transaction took effect.

    ``versions`` holds the new version of each row, by key.
    """

    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """No write took effect, because rows had other versions than expected.

    ``current_rows`` holds these rows as they are, by key; ``None`` for no row.
    """

    current_rows: dict[str, Row | None]


class TableService(ABC):
    """Transactional table with conditional writes.

    All methods raise ``PlatformUnavailableError`` if the service failed and
    certainly wrote nothing. ``commit`` raises ``UncertainWriteError`` if its
    response was lost and the writes may have taken effect; the caller then
    reads a row back and compares ``writer_token`` with its own.
    """

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with ``prefix``, in order of key."""

    @abstractmethod
    async def commit(
        self, writes: Sequence[ConditionalWrite], writer_token: str
    ) -> Written | WriteConflict:
        """Apply all writes, or none if a row has another version."""
