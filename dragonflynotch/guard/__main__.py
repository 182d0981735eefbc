"""Entry point of the guard.

Does not import cappa, to stay within the memory limit of the guard.
"""

import asyncio
import signal
import sys

from dragonflynotch.guard.daemon import Guard
from dragonflynotch.observability.logs import configure_logs
from dragonflynotch.observability.start import read_start_options
from dragonflynotch.records.settings import GuardSettings


async def _run(settings: GuardSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await Guard(settings).run(stop)


def main() -> None:
    """Run a guard with the settings and log format from the command line."""
    options = read_start_options(sys.argv[1:], 'guard')
    configure_logs(is_json=options.is_json_log)
    asyncio.run(_run(options.load(GuardSettings)))


if __name__ == '__main__':
    main()
