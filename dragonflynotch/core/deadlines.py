"""Keys of the deadlines of a partition."""

from dataclasses import dataclass
from enum import Enum

__all__ = ('Deadline', 'DeadlineKind')


class DeadlineKind(Enum):
    """What a deadline is for."""

    prepare = 'prepare'
    confirm = 'confirm'
    stop = 'stop'
    checkpoint = 'checkpoint'
    lease = 'lease'
    takeover = 'takeover'
    cooldown = 'cooldown'
    reservation = 'reservation'
    readmission = 'readmission'
    guarantees = 'guarantees'
    retry = 'retry'


@dataclass(frozen=True, slots=True)
class Deadline:
    """Key of a deadline.

    Parameters
    ----------
    kind : DeadlineKind
        What the deadline is for.
    subject : str
        Job or worker, or ``''`` for the partition.
    """

    kind: DeadlineKind
    subject: str = ''
