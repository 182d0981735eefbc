"""Stored records of crashed minions and of the runs that were on them."""

import msgspec

__all__ = ('MinionCrash', 'RunAtCrash')


class RunAtCrash(msgspec.Struct, array_like=True, frozen=True):
    """A run that was, or may have been, on a minion when it crashed.

    Parameters
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    age_ms : int
        Time from the first call to start the run to the crash.
    """

    task: str
    run: int
    age_ms: int


class MinionCrash(msgspec.Struct, array_like=True, frozen=True):
    """An incarnation of a minion that ended without an announcement.

    Parameters
    ----------
    minion_id : str
        Identifier of the incarnation.
    at_ms : int
        Store time at which the minion stopped responding.
    runs : list of RunAtCrash
        Runs that were, or may have been, on it.
    """

    minion_id: str
    at_ms: int
    runs: list[RunAtCrash]
