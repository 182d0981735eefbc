"""Takes changes of the settings file while the process runs."""

import asyncio
from collections.abc import Callable
from dataclasses import Field, fields
from pathlib import Path
from typing import Any, ClassVar, Generic, Protocol, TypeVar

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.observability.decisions import decision_log

__all__ = ('SettingsWatch',)

# The file may change without a signal, so its attributes are read this often.
_CHECK_INTERVAL_S = 1
_NOT_CHECKED = (0, 0, 0)


class _Settings(Protocol):
    """Data class with settings of a process."""

    __dataclass_fields__: ClassVar[dict[str, Field[Any]]]

    @property
    def bounds(self) -> object:
        """Settings that can change in place."""


_SettingsT = TypeVar('_SettingsT', bound=_Settings)


class SettingsWatch(Generic[_SettingsT]):
    """Reloads the settings when their file changes or on request.

    A file that cannot be read or is invalid leaves the settings in force. A
    reload closes no connection and interrupts no call: what cannot change in
    place, such as an address to listen on, is logged and takes effect at the
    next start.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : data class
        Settings in force.
    load : callable
        Reads and checks the settings file.
    apply_bounds : callable
        Applies settings whose bounds have changed.
    """

    def __init__(
        self,
        path: Path,
        settings: _SettingsT,
        load: Callable[[Path], _SettingsT],
        apply_bounds: Callable[[_SettingsT], None],
    ) -> None:
        """Create the watch; ``run`` starts it."""
        self._path = path
        self._settings = settings
        self._load = load
        self._apply_bounds = apply_bounds
        self._requested = asyncio.Event()
        # Unknown at first, so that the first check finds a change between the
        # reading of ``settings`` and the start of the watch.
        self._version: tuple[int, int, int] | None = _NOT_CHECKED

    def request_reload(self) -> None:
        """Reload the file at once, whether it has changed or not."""
        self._requested.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._requested.wait()
            except TimeoutError:
                pass
            is_requested = self._requested.is_set()
            self._requested.clear()
            version = self._file_version()
            if is_requested or version != self._version:
                self._version = version
                self._reload(is_requested=is_requested)

    def _file_version(self) -> tuple[int, int, int] | None:
        """Return what changes with the file, or ``None`` if there is none."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _reload(self, *, is_requested: bool) -> None:
        try:
            settings = self._load(self._path)
        except (InvalidInputError, OSError, UnicodeDecodeError) as error:
            decision_log.record('settings_rejected', reason=str(error))
            return
        changed = _changed_fields(self._settings, settings)
        if not changed and not is_requested:
            return
        is_bounds_change = 'bounds' in changed
        if is_bounds_change:
            self._apply_bounds(settings)
        self._settings = settings
        decision_log.record(
            'settings_reloaded',
            applied=['bounds'] if is_bounds_change else [],
            needs_restart=[name for name in changed if name != 'bounds'],
        )


def _changed_fields(old: _SettingsT, new: _SettingsT) -> list[str]:
    names = [field.name for field in fields(old)]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
