"""Rows of the table service that must be readable."""

from collections.abc import Callable
from typing import TypeVar

from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.services.table import Row

__all__ = ('require_readable',)

_ContentT = TypeVar('_ContentT')


def require_readable(
    row: Row, decode: Callable[[bytes], _ContentT | Unreadable]
) -> _ContentT:
    """Return the content of a row without which the caller cannot continue.

    Raises
    ------
    PlatformUnavailableError
        If the row is unreadable.
    """
    content = decode(row.content)
    if isinstance(content, Unreadable):
        raise PlatformUnavailableError(
            f'row {row.key!r} cannot be decoded: {content.reason}',
            step='decode row',
            peer='table service',
        )
    return content
