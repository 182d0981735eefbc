"""Command line of the platform programs."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.crashes import crashes_text
from dragonflynotch.platform.evacuations import evacuations_text
from dragonflynotch.platform.programs import FrontProgram, SideProgram
from dragonflynotch.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_settings,
)
from dragonflynotch.records.settings_watch import SettingsWatch

__all__ = ('main',)

_PROGRAM_NAMES = ('front', 'side')
_Text = Callable[[PlatformSettings], Awaitable[str]]
# Commands that print a text about the rows in the store.
_TEXT_COMMANDS: Mapping[str, _Text] = {
    'evacuations': evacuations_text,
    'crashes': crashes_text,
}
_EXIT_INVALID_INPUT = 2
_EXIT_UNREACHABLE = 6


async def _run(program_name: str, settings_path: Path) -> None:
    settings = load_settings(settings_path)
    decision_log.start(settings.node)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    program = (
        FrontProgram(settings)
        if program_name == 'front'
        else SideProgram(settings)
    )
    watch = SettingsWatch(
        settings_path, settings, load_settings, program.apply_bounds
    )
    loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
    watching = asyncio.create_task(watch.run())
    await program.run(stop)
    watching.cancel()


async def _print(text: _Text, settings_path: Path) -> None:
    sys.stdout.write(f'{await text(load_settings(settings_path))}\n')


def main() -> None:
    """Run the program or command named by the first argument."""
    name = sys.argv[1] if len(sys.argv) > 1 else ''
    settings_path = os.environ.get(SETTINGS_VARIABLE, '')
    names = (*_PROGRAM_NAMES, *_TEXT_COMMANDS)
    if name not in names or not settings_path:
        sys.stderr.write(
            f'usage: {SETTINGS_VARIABLE}=FILE '
            f'python -m dragonflynotch.platform {"|".join(names)}\n'
        )
        sys.exit(_EXIT_INVALID_INPUT)
    try:
        asyncio.run(
            _print(_TEXT_COMMANDS[name], Path(settings_path))
            if name in _TEXT_COMMANDS
            else _run(name, Path(settings_path))
        )
    except PlatformUnavailableError as error:
        sys.stderr.write(f'dragonflynotch: {error}\n')
        sys.exit(_EXIT_UNREACHABLE)
    except InvalidInputError as error:
        sys.stderr.write(f'dragonflynotch: {error}\n')
        sys.exit(_EXIT_INVALID_INPUT)
