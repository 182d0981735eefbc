"""Command-line start of the entry process."""

import asyncio
import signal
import sys

from dragonflynotch.entry.daemon import Entry
from dragonflynotch.observability.logs import configure_logs
from dragonflynotch.observability.start import read_start_options
from dragonflynotch.records.settings import EntrySettings


async def _run(settings: EntrySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await Entry(settings).run(stop)


def main() -> None:
    """Run an entry as the command-line arguments say."""
    options = read_start_options(sys.argv[1:], 'entry')
    configure_logs(is_json=options.is_json_log)
    asyncio.run(_run(options.load(EntrySettings)))


if __name__ == '__main__':
    main()
