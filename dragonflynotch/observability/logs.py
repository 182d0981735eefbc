"""Log configuration and loggers that prefix messages with a component."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Record

__all__ = ('configure_logs', 'part_logger')

_TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}'


def configure_logs(*, is_json: bool = False, level: str = 'INFO') -> None:
    """Send the logs to standard error as text or as JSON lines."""
    logger.remove()
    logger.add(sys.stderr, format=_TEXT_FORMAT, level=level, serialize=is_json)


def part_logger(component: str) -> 'Logger':
    """Return a logger that prefixes its messages with a component name.

    Examples
    --------
    >>> log = part_logger('guard.announcer')
    """
    prefix = f'[{component}] '

    def add_prefix(record: 'Record') -> None:
        record['message'] = prefix + record['message']

    return logger.patch(add_prefix)
