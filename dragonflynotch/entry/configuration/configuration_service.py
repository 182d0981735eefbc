"""The current configuration of an entry, and writes by operators."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType

from dragonflynotch.core.configuration import (
    Change,
    Changes,
    ConfigurationLog,
    RecordKey,
    Snapshot,
    members_unable_to_read,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec
from dragonflynotch.entry.configuration.configuration_store import (
    ConfigurationStore,
    HeadChanged,
    RevisionMismatch,
)
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.documents import (
    Document,
    merge_newer_fields,
    parse_document,
    record_warnings,
    workspace_spec,
)

__all__ = (
    'ConfigurationService',
    'GuaranteeAdmission',
    'RecordAccepted',
    'RecordConflict',
    'RecordRefused',
    'RecordOutcomeUnknown',
    'WriteResult',
)

_MAX_WRITE_ATTEMPTS = 8
_RETRY_AFTER = timedelta(seconds=5)

_log = part_logger('entry.configuration')


@dataclass(frozen=True, slots=True)
class RecordAccepted:
    """The change is committed."""

    revision: int
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordConflict:
    """The record is not at the revision that the operator expected."""

    current_revision: int


@dataclass(frozen=True, slots=True)
class RecordRefused:
    """The change was rejected; nothing was written."""

    reason: str
    detail: str
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RecordOutcomeUnknown:
    """It is not known whether the change was committed.

    Reading the record shows the outcome.
    """

    detail: str
    retry_after: timedelta


WriteResult = (
    RecordAccepted | RecordConflict | RecordRefused | RecordOutcomeUnknown
)


class GuaranteeAdmission(ABC):
    """Checks whether all guarantees can be honoured at the same time."""

    @abstractmethod
    def refusal_reason(
        self, guarantees: Mapping[str, tuple[Guarantee, ...]]
    ) -> str:
        """Return why the guarantees do not fit, or ``''`` if they do.

        Parameters
        ----------
        guarantees : mapping of str to tuple of Guarantee
            Guarantees to check, by data centre.
        """


class ConfigurationService:
    """Keeps the configuration of an entry and commits changes to it.

    Parameters
    ----------
    store : ConfigurationStore
        Reads and writes the configuration in the table service.
    admission : GuaranteeAdmission
        Checks the guarantees of workspace records.
    readable_versions : callable
        Returns the schema versions that each running entry and guard reads.
    publish : callable
        Sends a committed change to the other entries.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        admission: GuaranteeAdmission,
        readable_versions: Callable[[], Mapping[str, tuple[int, ...]]],
        publish: Callable[[Changes], None],
    ) -> None:
        """Start at revision 0 and not ready."""
        self._store = store
        self._admission = admission
        self._readable_versions = readable_versions
        self._publish = publish
        self._log = ConfigurationLog()
        self._view = ConfigurationView()
        self._specs: dict[RecordKey, tuple[int, WorkspaceSpec]] = {}
        self._known_revision = 0
        self._is_confirmed = False

    @property
    def log(self) -> ConfigurationLog:
        """The records at the current revision, and recent changes."""
        return self._log

    @property
    def is_ready(self) -> bool:
        """Whether an up-to-date configuration was read since the start."""
        return self._is_confirmed

    @property
    def known_revision(self) -> int:
        """Highest revision that this or any other process has reported."""
        return max(self._known_revision, self._log.revision)

    def view(self) -> ConfigurationView:
        """Return the current configuration."""
        return self._view

    def observe_revision(self, revision: int) -> bool:
        """Record a revision that another process reported.

        Returns
        -------
        bool
            Whether it is newer than the configuration of this entry.
        """
        self._known_revision = max(self._known_revision, revision)
        return revision > self._log.revision

    def confirm_copy(self) -> bool:
        """Become ready if this entry has the highest known revision.

        Called during an outage of the table service, once the announcements
        of all guards have had time to arrive.

        Returns
        -------
        bool
            Whether the entry is ready.
        """
        has_newest = self._log.revision >= self.known_revision
        if has_newest and self._log.revision > 0:
            self._is_confirmed = True
        return self._is_confirmed

    def apply(self, update: Changes | Snapshot) -> bool:
        """Apply an update if it is newer.

        Returns
        -------
        bool
            Whether the update was applied.
        """
        is_applied = self._log.apply(update)
        if is_applied:
            self._rebuild_view()
        return is_applied

    async def refresh(self) -> None:
        """Read the latest configuration from the table service.

        Raises
        ------
        PlatformUnavailableError
            If the table service is down.
        """
        if await self._store.revision() > self._log.revision:
            self.apply(await self._store.snapshot())
        self._is_confirmed = True

    async def write(
        self, key: RecordKey, text: bytes, expected_revision: int
    ) -> WriteResult:
        """Validate and commit a record.

        Parameters
        ----------
        key : RecordKey
            Kind and name from the request path.
        text : bytes
            JSON document.
        expected_revision : int
            Revision that the operator has read; 0 to create the record.

        Returns
        -------
        WriteResult
            Whether the change was committed, and if not, why.

        Raises
        ------
        InvalidInputError
            If the document is malformed.
        """
        document = parse_document(text)
        if RecordKey(document.kind, document.name) != key:
            return RecordRefused(
                'name_mismatch',
                f'the document is for {document.kind}/{document.name}, '
                f'the request path for {key.kind}/{key.name}',
            )
        return await self._write(key, document, expected_revision)

    async def delete(
        self, key: RecordKey, expected_revision: int
    ) -> WriteResult:
        """Delete a record."""
        return await self._write(key, None, expected_revision)

    async def _write(
        self,
        key: RecordKey,
        document: Document | None,
        expected_revision: int,
    ) -> WriteResult:
        try:
            for _ in range(_MAX_WRITE_ATTEMPTS):
                await self.refresh()
                result = await self._try_write(key, document, expected_revision)
                if result is not None:
                    return result
        except PlatformUnavailableError as error:
            return RecordRefused('table_unavailable', str(error), _RETRY_AFTER)
        except UncertainWriteError as error:
            return RecordOutcomeUnknown(str(error), _RETRY_AFTER)
        return RecordRefused(
            'contention',
            'other changes were committed first in every attempt',
            _RETRY_AFTER,
        )

    async def _try_write(
        self,
        key: RecordKey,
        document: Document | None,
        expected_revision: int,
    ) -> WriteResult | None:
        merged = self._merge_stored_fields(key, document)
        refusal = self._check_record(key, merged)
        if refusal is not None:
            return refusal
        text = None
        if merged is not None:
            text = merged.model_dump_json().encode()
        outcome = await self._store.write(key, text, expected_revision)
        if isinstance(outcome, HeadChanged):
            return None
        if isinstance(outcome, RevisionMismatch):
            return RecordConflict(outcome.current_revision)
        self._apply_committed(outcome)
        warnings = () if merged is None else record_warnings(merged)
        return RecordAccepted(outcome.revision, warnings)

    def _apply_committed(self, change: Change) -> None:
        changes = Changes(change.revision - 1, (change,))
        self.apply(changes)
        self._publish(changes)
        _log.info(
            'committed configuration revision {}: {}/{}',
            change.revision,
            change.key.kind,
            change.key.name,
        )

    def _merge_stored_fields(
        self, key: RecordKey, document: Document | None
    ) -> Document | None:
        stored = self._log.snapshot.records.get(key)
        if document is None or stored is None:
            return document
        return merge_newer_fields(document, parse_document(stored.document))

    def _check_record(
        self, key: RecordKey, document: Document | None
    ) -> RecordRefused | None:
        if document is None:
            return None
        incompatible = members_unable_to_read(
            document.schema_version, self._readable_versions()
        )
        if incompatible is not None:
            return RecordRefused(
                'unreadable_version',
                f'schema version {incompatible.schema_version} cannot be read '
                f'by {", ".join(incompatible.members)}',
            )
        if document.kind != 'workspace':
            return None
        workspaces = dict(self._view.workspaces)
        before = workspaces.get(key.name, WorkspaceSpec(key.name))
        after = workspace_spec(document)
        workspaces[key.name] = after
        requested = guarantees_by_data_centre(workspaces)
        increased = _data_centres_with_increase(before, after)
        reason = self._admission.refusal_reason(
            {name: requested[name] for name in increased}
        )
        if not reason:
            return None
        return RecordRefused('guarantee_does_not_fit', reason)

    def _rebuild_view(self) -> None:
        workspaces = {}
        for key, record in self._log.snapshot.records.items():
            if key.kind != 'workspace':
                continue
            revision, spec = self._specs.get(key, (0, None))
            if spec is None or revision != record.revision:
                spec = workspace_spec(parse_document(record.document))
                self._specs[key] = (record.revision, spec)
            workspaces[key.name] = spec
        self._view = ConfigurationView(
            self._log.revision, MappingProxyType(workspaces)
        )


def guarantees_by_data_centre(
    workspaces: Mapping[str, WorkspaceSpec],
) -> Mapping[str, tuple[Guarantee, ...]]:
    """Return all guarantees by data centre, ordered by workspace name."""
    grouped: dict[str, tuple[Guarantee, ...]] = {}
    for name in sorted(workspaces):
        for data_centre, guarantees in workspaces[name].guarantees.items():
            grouped[data_centre] = (
                *grouped.get(data_centre, ()),
                *guarantees,
            )
    return grouped


def _data_centres_with_increase(
    before: WorkspaceSpec, after: WorkspaceSpec
) -> tuple[str, ...]:
    """Return the data centres in which a workspace asks for new guarantees.

    Only these are checked, so that other changes stay possible while lost
    hardware makes an existing guarantee impossible to honour.
    """
    return tuple(
        name
        for name, guarantees in after.guarantees.items()
        if Counter(guarantees) - Counter(before.guarantees.get(name, ()))
    )
