"""Log of configuration changes, ordered by revision."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

__all__ = (
    'Change',
    'Changes',
    'ConfigurationLog',
    'IncompatibleMembers',
    'RecordKey',
    'Snapshot',
    'StoredRecord',
    'members_unable_to_read',
)

# A process that lacks more changes than this receives a snapshot instead.
HISTORY_LIMIT = 512


@dataclass(frozen=True, slots=True, order=True)
class RecordKey:
    """Kind and name of a record."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """JSON document of a record and the revision that wrote it."""

    document: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change of one record.

    Parameters
    ----------
    revision : int
        Revision of the whole configuration that the change created.
    key : RecordKey
        Record that was written.
    document : bytes or None
        New JSON document; ``None`` for a deletion.
    """

    revision: int
    key: RecordKey
    document: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All records of the configuration at a revision."""

    revision: int
    records: Mapping[RecordKey, StoredRecord] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes after a revision."""

    after_revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class IncompatibleMembers:
    """Running processes that cannot read a schema version."""

    schema_version: int
    members: tuple[str, ...]


class ConfigurationLog:
    """Copy of the configuration in one process.

    An update is applied only if it increases the revision, so an older copy
    can never replace a newer one.

    Examples
    --------
    >>> log = ConfigurationLog()
    >>> log.apply(Changes(0, (Change(1, RecordKey('workspace', 'a'), b'{}'),)))
    True
    >>> log.revision
    1
    """

    def __init__(self) -> None:
        """Start with no records at revision 0."""
        self._snapshot = Snapshot(0)
        self._history: deque[Change] = deque(maxlen=HISTORY_LIMIT)

    @property
    def revision(self) -> int:
        """Revision of this copy."""
        return self._snapshot.revision

    @property
    def snapshot(self) -> Snapshot:
        """All records at the revision of this copy."""
        return self._snapshot

    def apply(self, update: Changes | Snapshot) -> bool:
        """Apply the part of an update that is newer than this copy.

        Parameters
        ----------
        update : Changes or Snapshot
            Update from the table service or another process.

        Returns
        -------
        bool
            Whether the revision increased. ``False`` if the update holds
            nothing newer, or if changes before its first new one are missing.
        """
        if isinstance(update, Snapshot):
            return self._apply_snapshot(update)
        newer = [
            change
            for change in update.changes
            if change.revision > self.revision
        ]
        consecutive = range(self.revision + 1, self.revision + 1 + len(newer))
        if not newer or [change.revision for change in newer] != list(
            consecutive
        ):
            return False
        self._apply_changes(newer)
        return True

    def update_since(self, revision: int) -> Changes | Snapshot:
        """Return the update for a process whose copy is at ``revision``.

        Parameters
        ----------
        revision : int
            Revision of the copy in the other process.

        Returns
        -------
        Changes or Snapshot
            The missing changes, or all records if the history no longer holds
            all of the missing changes.
        """
        missing = self.revision - revision
        if missing > len(self._history):
            return self._snapshot
        recent = tuple(
            change for change in self._history if change.revision > revision
        )
        return Changes(min(revision, self.revision), recent)

    def _apply_snapshot(self, snapshot: Snapshot) -> bool:
        if snapshot.revision <= self.revision:
            return False
        self._snapshot = snapshot
        self._history.clear()
        return True

    def _apply_changes(self, changes: Iterable[Change]) -> None:
        records = dict(self._snapshot.records)
        revision = self.revision
        for change in changes:
            revision = change.revision
            self._history.append(change)
            if change.document is None:
                records.pop(change.key, None)
            else:
                records[change.key] = StoredRecord(change.document, revision)
        self._snapshot = Snapshot(revision, MappingProxyType(records))


def members_unable_to_read(
    schema_version: int, readable_versions: Mapping[str, Iterable[int]]
) -> IncompatibleMembers | None:
    """Return the running entries and guards that cannot read a schema version.

    Parameters
    ----------
    schema_version : int
        Schema version of the record that is to be written.
    readable_versions : mapping of str to iterable of int
        Schema versions that each running entry or guard can read.

    Returns
    -------
    IncompatibleMembers or None
        The names of those that cannot, or ``None`` if all can.
    """
    unable = sorted(
        member
        for member, versions in readable_versions.items()
        if schema_version not in set(versions)
    )
    return (
        IncompatibleMembers(schema_version, tuple(unable)) if unable else None
    )
