"""Command output: results on stdout, errors as one line on stderr."""

import sys
from collections.abc import Sequence
from typing import Literal

import msgspec

from dragonflynotch.cli.exit_codes import ExitCode, exit_code_of
from dragonflynotch.client.outcomes import Conflict, Failure
from dragonflynotch.core.errors import DragonflynotchError, InvalidInputError

__all__ = (
    'OutputFormat',
    'format_duration',
    'format_table',
    'print_result',
    'report_error',
    'report_failure',
)

OutputFormat = Literal['text', 'json']

_INPUT_CHECK_STEP = 'check input'
_MINUTE_S = 60
_HOUR_S = 3600


def print_result(output: OutputFormat, content: object, text: str) -> None:
    """Print a result as JSON or as text.

    Parameters
    ----------
    output : str
        ``'text'`` or ``'json'``.
    content : object
        Result for JSON output; any value that msgspec can encode.
    text : str
        Result for text output; if empty, nothing is printed.
    """
    if output == 'json':
        encoded = msgspec.json.encode(content)
        print(msgspec.json.format(encoded, indent=2).decode())
    elif text:
        print(text)


def report_failure(failure: Failure) -> ExitCode:
    """Print a failed call on stderr and return its exit code."""
    parts = [str(failure)]
    if isinstance(failure, Conflict) and failure.current_revision is not None:
        parts.append(f'current revision {failure.current_revision}')
    if failure.retry_after is not None:
        delay = format_duration(failure.retry_after.total_seconds())
        parts.append(f'retry after {delay}')
    if failure.key:
        parts.append(f'repeat with --key {failure.key}')
    _print_error('; '.join(parts))
    return exit_code_of(failure)


def report_error(error: DragonflynotchError) -> ExitCode:
    """Print an error on stderr and return its exit code.

    Invalid input has its own exit code. Any other error means that the
    command was not carried out, and is reported as refused.
    """
    step_suffix = '' if error.step else f' (step {_INPUT_CHECK_STEP!r})'
    _print_error(f'{error}{step_suffix}')
    is_invalid = isinstance(error, InvalidInputError)
    return ExitCode.invalid if is_invalid else ExitCode.refused


def format_duration(seconds: float) -> str:
    """Return a human-readable duration.

    Examples
    --------
    >>> format_duration(0.25), format_duration(90), format_duration(7260)
    ('0.2 s', '1 min 30 s', '2 h 1 min')
    """
    if seconds < _MINUTE_S:
        return f'{seconds:.1f} s'
    total_s = int(seconds)
    if total_s < _HOUR_S:
        return f'{total_s // _MINUTE_S} min {total_s % _MINUTE_S} s'
    return f'{total_s // _HOUR_S} h {total_s % _HOUR_S // _MINUTE_S} min'


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a text table with left-aligned columns, two spaces apart.

    Examples
    --------
    >>> print(format_table(('a', 'b'), (('long', '1'),)))
    a     b
    long  1
    """
    lines = (header, *rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _print_error(message: str) -> None:
    print(f'dragonflynotch: {message}', file=sys.stderr)
