"""Programs of the platform deployment as processes of their own."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from dragonflynotch.platform.settings import SETTINGS_VARIABLE

__all__ = ('SiteProcess',)

# An interpreter handles signals within this time after its start.
_STARTUP_S = 1.5


class SiteProcess:
    """One program of the deployment, started and stopped by signals.

    Parameters
    ----------
    name : str
        Name of the program and a number, for example ``'front-1'``.
    settings : Path
        Settings file of the platform.
    log : Path
        Takes the output; later starts append to it.
    """

    def __init__(self, name: str, settings: Path, log: Path) -> None:
        """Create the process; ``start`` runs it."""
        self.name = name
        # Grows with each start.
        self.boot = 0
        self.log = log
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        # Signals overlap: a start waits until the last process has ended.
        self._changing = asyncio.Lock()
        self._started_s: float = 0

    @property
    def is_starting(self) -> bool:
        """Whether the program may not handle signals yet."""
        return time.monotonic() - self._started_s < _STARTUP_S

    async def start(self) -> None:
        """Start the program unless it runs."""
        async with self._changing:
            if self._process is None:
                self._process = await self._spawn()
                self._started_s = time.monotonic()
                self.boot += 1

    async def kill(self) -> None:
        """Kill the program if it runs."""
        if self._process is not None:
            self.send(signal.SIGKILL)
        async with self._changing:
            if self._process is not None:
                self.send(signal.SIGKILL)
                await self._process.wait()
                self._process = None

    async def terminate(self) -> int | None:
        """Ask the program to leave; return its exit status."""
        async with self._changing:
            if self._process is None:
                return None
            self.send(signal.SIGTERM)
            status = await self._process.wait()
            self._process = None
            return status

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the program runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

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
