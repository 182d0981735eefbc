"""Start of the command line."""

import cappa

from dragonflynotch.cli.commands import Dragonflynotch

__all__ = ('main',)


def main() -> None:
    """Run the command line."""
    cappa.invoke(Dragonflynotch)


if __name__ == '__main__':
    main()
