"""Exit codes of the commands."""

from enum import IntEnum

from dragonflynotch.client.outcomes import (
    Conflict,
    Failure,
    Invalid,
    UnknownOutcome,
    Unreachable,
)

__all__ = ('ExitCode', 'exit_code_of')


class ExitCode(IntEnum):
    """Exit code of a command."""

    done = 0
    invalid = 2
    refused = 3
    conflict = 4
    unknown = 5
    unreachable = 6


def exit_code_of(failure: Failure) -> ExitCode:
    """Return the exit code for a failed call.

    Examples
    --------
    >>> exit_code_of(
    ...     Invalid(reason='no_record', detail='', step='read', peer='entry')
    ... )
    <ExitCode.invalid: 2>
    """
    match failure:
        case Invalid():
            return ExitCode.invalid
        case Conflict():
            return ExitCode.conflict
        case UnknownOutcome():
            return ExitCode.unknown
        case Unreachable():
            return ExitCode.unreachable
    return ExitCode.refused
