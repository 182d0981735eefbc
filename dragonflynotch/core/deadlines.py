"""Keys under which the deadlines of a partition are set and cancelled."""

from dataclasses import dataclass
from enum import Enum

__all__ = ('Deadline', 'DeadlineKind')


class DeadlineKind(Enum):
    """Event that happens at a deadline.

    Attributes
    ----------
    prepare
        The members of a gang have not all been prepared in time.
    confirm
        The members of a gang have not all confirmed their start in time.
    stop
        The members of a gang have not all stopped in time.
    checkpoint
        The next checkpoint of a gang is due.
    lease
        The lease of a worker expires.
    takeover
        The task leases that an earlier owner renewed have expired.
    cooldown
        A worker that failed an order may be used again.
    reservation
        A reservation is due, or the next search for one.
    readmission
        The quarantine of a worker ends.
    avoidance
        A job may be placed again on the workers on which it failed.
    guarantees
        The next search for places for guarantees is due.
    retry
        A failed job returns to the queue.
    """

    prepare = 'prepare'
    confirm = 'confirm'
    stop = 'stop'
    checkpoint = 'checkpoint'
    lease = 'lease'
    takeover = 'takeover'
    cooldown = 'cooldown'
    reservation = 'reservation'
    readmission = 'readmission'
    avoidance = 'avoidance'
    guarantees = 'guarantees'
    retry = 'retry'


@dataclass(frozen=True, slots=True)
class Deadline:
    """Key of a deadline.

    Parameters
    ----------
    kind : DeadlineKind
        Event that happens at the deadline.
    subject : str
        Id of the job or worker, or ``''`` for the whole partition.
    """

    kind: DeadlineKind
    subject: str = ''
