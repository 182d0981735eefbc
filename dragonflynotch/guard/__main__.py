"""Start of the guard without the command-line library."""

import asyncio
import signal
import sys
from pathlib import Path

from dragonflynotch.guard.daemon import Guard
from dragonflynotch.observability.logs import configure_logs
from dragonflynotch.records.settings import GuardSettings, load_settings


async def _run(settings: GuardSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await Guard(settings).run(stop)


def main() -> None:
    """Run a guard with the settings file named by the first argument."""
    configure_logs(is_json='--json-logs' in sys.argv)
    asyncio.run(_run(load_settings(Path(sys.argv[1]), GuardSettings)))


if __name__ == '__main__':
    main()
