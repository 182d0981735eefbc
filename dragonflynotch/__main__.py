"""Entry point of the command line interface."""

import sys
from collections.abc import Sequence

import cappa
from rich.console import Console

from dragonflynotch.cli.commands import Dragonflynotch
from dragonflynotch.cli.console import report_error
from dragonflynotch.core.errors import DragonflynotchError

__all__ = ('main', 'run')

# Rich wraps at this width; a wide one keeps each error on one line of the log.
_ERROR_WIDTH_COLUMNS = 10_000


def run(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str or None
        Arguments without the program name, or ``None`` to read ``sys.argv``.
    """
    output = cappa.Output(
        error_console=Console(
            file=sys.stderr, width=_ERROR_WIDTH_COLUMNS, no_color=True
        ),
        error_format='dragonflynotch: {message}',
    )
    argv = None if arguments is None else list(arguments)
    try:
        code = cappa.invoke(Dragonflynotch, argv=argv, output=output)
    except DragonflynotchError as error:
        return int(report_error(error))
    return int(code or 0)


def main() -> None:
    """Run the command of ``sys.argv`` and exit with its code."""
    sys.exit(run())


if __name__ == '__main__':
    main()
