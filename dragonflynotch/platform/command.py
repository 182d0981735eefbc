"""Command line of the platform programs."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.evacuations import evacuations_text
from dragonflynotch.platform.programs import FrontProgram, SideProgram
from dragonflynotch.platform.settings import SETTINGS_VARIABLE, load_settings
from dragonflynotch.platform.settings_watch import SettingsWatch

__all__ = ('main',)

_PROGRAM_NAMES = ('front', 'side')
_EVACUATIONS_COMMAND = 'evacuations'
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
    watch = SettingsWatch(settings_path, settings, program.apply_bounds)
    loop.add_signal_handler(signal.SIGHUP, watch.request_reload)
    watching = asyncio.create_task(watch.run())
    await program.run(stop)
    watching.cancel()


async def _print_evacuations(settings_path: Path) -> None:
    text = await evacuations_text(load_settings(settings_path))
    sys.stdout.write(f'{text}\n')


def main() -> None:
    """Run the program or command named by the first argument."""
    program_name = sys.argv[1] if len(sys.argv) > 1 else ''
    settings_path = os.environ.get(SETTINGS_VARIABLE, '')
    names = (*_PROGRAM_NAMES, _EVACUATIONS_COMMAND)
    if program_name not in names or not settings_path:
        sys.stderr.write(
            f'usage: {SETTINGS_VARIABLE}=FILE '
            'python -m dragonflynotch.platform front|side|evacuations\n'
        )
        sys.exit(_EXIT_INVALID_INPUT)
    try:
        asyncio.run(
            _print_evacuations(Path(settings_path))
            if program_name == _EVACUATIONS_COMMAND
            else _run(program_name, Path(settings_path))
        )
    except PlatformUnavailableError as error:
        sys.stderr.write(f'dragonflynotch: {error}\n')
        sys.exit(_EXIT_UNREACHABLE)
    except InvalidInputError as error:
        sys.stderr.write(f'dragonflynotch: {error}\n')
        sys.exit(_EXIT_INVALID_INPUT)
