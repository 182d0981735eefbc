"""Decoding of what another process has written, which may be malformed.

One unreadable entry must neither end a process nor the loop that reads it, so
decoders return a sentinel in place of the entry.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

__all__ = (
    'Unreadable',
    'decode_untrusted',
    'is_usable_address',
    'parse_address',
    'shorten',
)

_ValueT = TypeVar('_ValueT')
_ContentT = TypeVar('_ContentT')

# Longest text of an entry that is copied into a log line.
_MAX_LOGGED_CHARACTERS = 200
_MAX_PORT = 65_535
# The digits are limited because ``int`` refuses long numbers.
_ADDRESS = re.compile(r'([0-9A-Za-z._:%\[\]-]{1,253}):([0-9]{1,5})')


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Sentinel for an entry that cannot be used.

    Parameters
    ----------
    reason : str
        What is wrong with it, for the log.
    """

    reason: str


def shorten(text: str) -> str:
    """Return the beginning of a text, short enough for a log line."""
    if len(text) <= _MAX_LOGGED_CHARACTERS:
        return text
    return f'{text[:_MAX_LOGGED_CHARACTERS]}...'


def decode_untrusted(
    decode: Callable[[_ContentT], _ValueT], content: _ContentT
) -> _ValueT | Unreadable:
    """Return the decoded content, or why it cannot be decoded.

    Parameters
    ----------
    decode : callable
        Decoder, which may raise ``ValueError`` (``msgspec.DecodeError`` and
        ``UnicodeDecodeError`` are such errors), ``OverflowError`` for numbers
        out of range, and ``RecursionError`` for deeply nested content.
    content : object
        What to decode.
    """
    try:
        return decode(content)
    except (ValueError, OverflowError, RecursionError) as error:
        return Unreadable(shorten(f'{type(error).__name__}: {error}'))


def parse_address(text: str) -> tuple[str, int] | None:
    """Return host and port of ``host:port``, or ``None`` if it is malformed.

    The port is from 1 to 65,535.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 1 <= int(match[2]) <= _MAX_PORT:
        return None
    return match[1], int(match[2])


def is_usable_address(address: tuple[str, int]) -> bool:
    """Return whether an address is one that ``parse_address`` returns."""
    host, port = address
    return 1 <= port <= _MAX_PORT and parse_address(f'{host}:{port}') == address
