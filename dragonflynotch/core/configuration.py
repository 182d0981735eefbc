"""Order of configuration changes: revisions only grow."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

__all__ = (
    'Change',
    'Changes',
    'ConfigurationLog',
    'Incompatible',
    'RecordKey',
    'Snapshot',
    'StoredRecord',
    'members_unable_to_read',
)

# A peer that missed more changes than this receives a snapshot instead.
HISTORY_LIMIT = 512


@dataclass(frozen=True, slots=True, order=True)
class RecordKey:
    """Kind and name of a record."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record's JSON document and the revision that wrote it."""

    document: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change.

    Parameters
    ----------
    revision : int
        Global revision that the change created.
    key : RecordKey
        Record that it wrote.
    document : bytes or None
        New JSON document; ``None`` for a deletion.
    """

    revision: int
    key: RecordKey
    document: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All records at a revision."""

    revision: int
    records: Mapping[RecordKey, StoredRecord] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes that follow a revision."""

    after_revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Incompatible:
    """Members that cannot read a schema version."""

    schema_version: int
    members: tuple[str, ...]


class ConfigurationLog:
    """The configuration held by one process.

    A change or snapshot is applied only if it moves the revision forward, so
    an older copy can never replace a newer one.

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
        """Revision in force."""
        return self._snapshot.revision

    @property
    def snapshot(self) -> Snapshot:
        """All records at the revision in force."""
        return self._snapshot

    def apply(self, update: Changes | Snapshot) -> bool:
        """Apply what is newer than the revision in force.

        Parameters
        ----------
        update : Changes or Snapshot
            Update from the table service or another process.

        Returns
        -------
        bool
            Whether the revision moved forward. ``False`` also if changes are
            missing before the first one of the update.
        """
        if isinstance(update, Snapshot):
            return self._apply_snapshot(update)
        newer = [
            change
            for change in update.changes
            if change.revision > self.revision
        ]
        expected = range(self.revision + 1, self.revision + 1 + len(newer))
        if not newer or [change.revision for change in newer] != list(expected):
            return False
        self._apply_changes(newer)
        return True

    def since(self, revision: int) -> Changes | Snapshot:
        """Return what a process at ``revision`` lacks.

        Parameters
        ----------
        revision : int
            Revision that the other process holds.

        Returns
        -------
        Changes or Snapshot
            The missing changes, or all records if the history is too short.
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
) -> Incompatible | None:
    """Return the members that cannot read a schema version.

    Parameters
    ----------
    schema_version : int
        Version of the record to accept.
    readable_versions : mapping of str to iterable of int
        Versions that each running member can read.

    Returns
    -------
    Incompatible or None
        The members by name, or ``None`` if all can read it.
    """
    unable = sorted(
        member
        for member, versions in readable_versions.items()
        if schema_version not in set(versions)
    )
    return Incompatible(schema_version, tuple(unable)) if unable else None
