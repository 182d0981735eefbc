"""Stored records of crashed minions and of the runs that were on them."""

from collections.abc import Iterable
from enum import StrEnum

import msgspec
from msgspec.structs import replace

from dragonflynotch.records.bounds import Count, IncarnationId, TimeMs

__all__ = (
    'CrashEvidence',
    'MinionCrash',
    'RunAtCrash',
    'TaskCrash',
    'confirm_crashes',
)


class CrashEvidence(StrEnum):
    """How clearly a crash shows that a task caused it."""

    # No run had just started, so any of them may have caused it, or none.
    late = 'late'
    # Runs of other jobs had just started as well.
    weak = 'weak'
    # Only runs of the job of this task had just started.
    strong = 'strong'


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
    run: Count
    age_ms: TimeMs


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
    is_certain : bool
        ``False`` while the minion has only closed its connections and may
        respond again.
    """

    minion_id: IncarnationId
    at_ms: TimeMs
    runs: list[RunAtCrash]
    is_certain: bool = True


class TaskCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash that a task may have caused.

    Parameters
    ----------
    node : str
        Node of the guard of the minion.
    minion_id : str
        Identifier of the incarnation.
    run : int
        Number of the run.
    at_ms : int
        Store time of the crash.
    evidence : CrashEvidence
        How clearly it shows that this task was the cause.
    """

    node: str
    minion_id: IncarnationId
    run: Count
    at_ms: TimeMs
    evidence: CrashEvidence


def confirm_crashes(
    crashes: Iterable[MinionCrash], minion_id: str
) -> list[MinionCrash]:
    """Return crashes with that of an incarnation as certain, if it is there."""
    return [
        replace(crash, is_certain=True)
        if crash.minion_id == minion_id
        else crash
        for crash in crashes
    ]
