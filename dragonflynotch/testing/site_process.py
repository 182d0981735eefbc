"""Programs of a platform deployment as separate processes."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from dragonflynotch.platform.settings import SETTINGS_VARIABLE

__all__ = ('SiteProcess',)

# Upper bound of the time from the start of the interpreter until the program
# has installed its signal handlers.
_SIGNAL_HANDLING_DELAY_S = 1.5


class SiteProcess:
    """Process of one program, which can be signalled and restarted.

    Parameters
    ----------
    name : str
        Name and number of the program, for example ``'front-1'``.
    settings : Path
        Settings file of the platform.
    log : Path
        File for the output; each start appends to it.
    """

    def __init__(self, name: str, settings: Path, log: Path) -> None:
        """Create the process; ``start`` runs it."""
        self.name = name
        self.start_count = 0
        self.log = log
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        # Serialises start, kill and terminate, so that a start waits until the
        # previous process has exited.
        self._lifecycle_lock = asyncio.Lock()
        self._started_s: float = 0

    @property
    def is_starting(self) -> bool:
        """Whether the program may not handle signals yet."""
        return time.monotonic() - self._started_s < _SIGNAL_HANDLING_DELAY_S

    async def start(self) -> None:
        """Start the program unless it is running."""
        async with self._lifecycle_lock:
            if self._process is None:
                self._process = await self._spawn()
                self._started_s = time.monotonic()
                self.start_count += 1

    async def kill(self) -> None:
        """Kill the program if it is running."""
        if self._process is not None:
            self.send(signal.SIGKILL)
        async with self._lifecycle_lock:
            if self._process is not None:
                self.send(signal.SIGKILL)
                await self._process.wait()
                self._process = None

    async def terminate(self) -> int | None:
        """Send SIGTERM and return the exit status; ``None`` if not running."""
        async with self._lifecycle_lock:
            if self._process is None:
                return None
            self.send(signal.SIGTERM)
            status = await self._process.wait()
            self._process = None
            return status

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the program is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def _spawn(self) -> asyncio.subprocess.Process:
        with self.log.open('ab') as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dragonflynotch.platform',
                self.name.partition('-')[0],
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
