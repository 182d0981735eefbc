"""Start of the entry process."""

import asyncio
import signal
import sys
from pathlib import Path

from dragonflynotch.entry.daemon import Entry
from dragonflynotch.observability.logs import configure_logs
from dragonflynotch.records.settings import EntrySettings, load_settings


async def _run(settings: EntrySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await Entry(settings).run(stop)


def main() -> None:
    """Run an entry with the settings file named by the first argument."""
    configure_logs(is_json='--json-logs' in sys.argv)
    asyncio.run(_run(load_settings(Path(sys.argv[1]), EntrySettings)))


if __name__ == '__main__':
    main()
