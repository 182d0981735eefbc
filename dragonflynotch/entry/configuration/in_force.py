"""The configuration in force in this entry, and changes by operators."""

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
    HeadMoved,
    RecordMoved,
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
    'RecordUnknown',
    'WriteVerdict',
)

_WRITE_TRIES = 8
_RETRY_AFTER = timedelta(seconds=5)

_log = part_logger('entry.configuration')


@dataclass(frozen=True, slots=True)
class RecordAccepted:
    """The change is committed."""

    revision: int
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordConflict:
    """The record has another revision than the operator has seen."""

    current_revision: int


@dataclass(frozen=True, slots=True)
class RecordRefused:
    """The change was not written."""

    reason: str
    detail: str
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The change may have been committed; read the record to find out."""

    detail: str
    retry_after: timedelta


WriteVerdict = RecordAccepted | RecordConflict | RecordRefused | RecordUnknown


class GuaranteeAdmission(ABC):
    """Decides whether all guarantees can be placed at the same time."""

    @abstractmethod
    def refusal(self, guarantees: Mapping[str, tuple[Guarantee, ...]]) -> str:
        """Return why the guarantees by data centre do not fit, or ``''``."""


class ConfigurationService:
    """Owns the configuration log of an entry.

    Parameters
    ----------
    store : ConfigurationStore
        The rows in the table service.
    admission : GuaranteeAdmission
        Decides about guarantees of workspace records.
    readable_versions : callable
        Returns the record versions that each running member reads.
    publish : callable
        Delivers a committed change to the other entries.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        admission: GuaranteeAdmission,
        readable_versions: Callable[[], Mapping[str, tuple[int, ...]]],
        publish: Callable[[Changes], None],
    ) -> None:
        """Start at revision 0, not ready."""
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
        """The changes and records held by this entry."""
        return self._log

    @property
    def is_ready(self) -> bool:
        """Whether a current configuration was obtained since the start."""
        return self._is_confirmed

    @property
    def known_revision(self) -> int:
        """Highest revision that any process has named."""
        return max(self._known_revision, self._log.revision)

    def view(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self._view

    def notice_revision(self, revision: int) -> bool:
        """Note a revision that another process named.

        Returns
        -------
        bool
            Whether this entry lacks it.
        """
        self._known_revision = max(self._known_revision, revision)
        return revision > self._log.revision

    def confirm_copy(self) -> bool:
        """Become ready if the copy held is the newest that is known.

        Called in a table outage, after announcements of all guards had time
        to arrive.
        """
        is_newest = self._log.revision >= self.known_revision
        if is_newest and self._log.revision > 0:
            self._is_confirmed = True
        return self._is_confirmed

    def apply(self, update: Changes | Snapshot) -> bool:
        """Apply an update of another process, if it is newer."""
        is_applied = self._log.apply(update)
        if is_applied:
            self._rebuild_view()
        return is_applied

    async def refresh(self) -> None:
        """Catch up with the table service.

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
    ) -> WriteVerdict:
        """Validate and commit a record.

        Parameters
        ----------
        key : RecordKey
            Kind and name from the request path.
        text : bytes
            JSON document.
        expected_revision : int
            Revision that the operator has seen; 0 to create the record.

        Returns
        -------
        WriteVerdict
            What happened.

        Raises
        ------
        InvalidInputError
            If the document is malformed.
        """
        document = parse_document(text)
        if RecordKey(document.kind, document.name) != key:
            return RecordRefused(
                'name_mismatch',
                f'document is {document.kind}/{document.name}, '
                f'path is {key.kind}/{key.name}',
            )
        return await self._write(key, document, expected_revision)

    async def delete(
        self, key: RecordKey, expected_revision: int
    ) -> WriteVerdict:
        """Delete a record."""
        return await self._write(key, None, expected_revision)

    async def _write(
        self,
        key: RecordKey,
        document: Document | None,
        expected_revision: int,
    ) -> WriteVerdict:
        try:
            for _ in range(_WRITE_TRIES):
                await self.refresh()
                verdict = await self._try_write(
                    key, document, expected_revision
                )
                if verdict is not None:
                    return verdict
        except PlatformUnavailableError as error:
            return RecordRefused('table_unavailable', str(error), _RETRY_AFTER)
        except UncertainWriteError as error:
            return RecordUnknown(str(error), _RETRY_AFTER)
        return RecordRefused(
            'contention', 'other changes were committed first', _RETRY_AFTER
        )

    async def _try_write(
        self,
        key: RecordKey,
        document: Document | None,
        expected_revision: int,
    ) -> WriteVerdict | None:
        merged = self._with_newer_fields(key, document)
        refusal = self._refusal(key, merged)
        if refusal is not None:
            return refusal
        text = None
        if merged is not None:
            text = merged.model_dump_json().encode()
        outcome = await self._store.write(key, text, expected_revision)
        if isinstance(outcome, HeadMoved):
            return None
        if isinstance(outcome, RecordMoved):
            return RecordConflict(outcome.current_revision)
        self._take_over(outcome)
        warnings = () if merged is None else record_warnings(merged)
        return RecordAccepted(outcome.revision, warnings)

    def _take_over(self, change: Change) -> None:
        changes = Changes(change.revision - 1, (change,))
        self.apply(changes)
        self._publish(changes)
        _log.info(
            'committed revision {} of {}/{}',
            change.revision,
            change.key.kind,
            change.key.name,
        )

    def _with_newer_fields(
        self, key: RecordKey, document: Document | None
    ) -> Document | None:
        stored = self._log.snapshot.records.get(key)
        if document is None or stored is None:
            return document
        return merge_newer_fields(document, parse_document(stored.document))

    def _refusal(
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
        wanted = guarantees_by_data_centre(workspaces)
        extended = _extended_data_centres(before, after)
        misfit = self._admission.refusal(
            {name: wanted[name] for name in extended}
        )
        if not misfit:
            return None
        return RecordRefused('guarantee_does_not_fit', misfit)

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
    """Return all guarantees, grouped by data centre, workspaces in order."""
    grouped: dict[str, tuple[Guarantee, ...]] = {}
    for name in sorted(workspaces):
        for data_centre, guarantees in workspaces[name].guarantees.items():
            grouped[data_centre] = (
                *grouped.get(data_centre, ()),
                *guarantees,
            )
    return grouped


def _extended_data_centres(
    before: WorkspaceSpec, after: WorkspaceSpec
) -> tuple[str, ...]:
    """Return the data centres where a workspace asks for more than before.

    Other changes stay possible while lost hardware makes some guarantee
    impossible to honour.
    """
    return tuple(
        name
        for name, guarantees in after.guarantees.items()
        if Counter(guarantees) - Counter(before.guarantees.get(name, ()))
    )
