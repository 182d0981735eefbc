"""Start of a program: ``python -m dragonflynotch.platform front|side``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.programs import FrontProgram, SideProgram
from dragonflynotch.platform.settings import SETTINGS_VARIABLE, load_settings

__all__ = ('main',)

_PROGRAMS = ('front', 'side')
_INVALID = 2


async def _run(name: str, path: Path) -> None:
    settings = load_settings(path)
    decision_log.start(settings.node)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The settings in use do not change while a process runs.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: decision_log.record('reload_requested')
    )
    program = (
        FrontProgram(settings) if name == 'front' else SideProgram(settings)
    )
    await program.run(stop)


def main() -> None:
    """Run the program named by the first argument."""
    name = sys.argv[1] if len(sys.argv) > 1 else ''
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if name not in _PROGRAMS or not path:
        sys.stderr.write(
            f'usage: {SETTINGS_VARIABLE}=FILE '
            'python -m dragonflynotch.platform front|side\n'
        )
        sys.exit(_INVALID)
    try:
        asyncio.run(_run(name, Path(path)))
    except InvalidInputError as error:
        sys.stderr.write(f'dragonflynotch: {error}\n')
        sys.exit(_INVALID)


if __name__ == '__main__':
    main()
