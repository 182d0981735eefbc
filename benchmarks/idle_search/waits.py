"""Stretches of time in which a job waits beside idle room."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ('Wait', 'WaitClass')


class WaitClass(StrEnum):
    """What a job waits for at a moment."""

    # Nothing but a decision of the leader, or an order that is on its way.
    placement = 'placement'
    # All that the job could run is ordered on guards that are not heard.
    unheard_guard = 'unheard_guard'
    # All that the job could run is ordered on minions that crashed less than
    # their lease ago and have not been replaced.
    crashed_minion = 'crashed_minion'
    # There is room for it twice only where no start would be answered.
    no_start = 'no_start'
    # A step before was done, and nothing that is left tells of it.
    lost_end = 'lost_end'
    # All that the job could run is ordered on machines that were lost less
    # than the authority of their guards ago.
    lost_machine = 'lost_machine'


@dataclass(slots=True)
class Wait:
    """A stretch of time in which the rule holds nothing of a job at work.

    Parameters
    ----------
    times_ms : Counter
        Duration by class, without the time in which no leader is there.
    share_in_use : float
        Largest share of a resource in use, at any of its moments.
    fit_count : int
        How many tasks fit at each of its moments, of ``wanted``.
    idle_cause : str
        Last cause that the leader has logged for the job.
    """

    job_id: str
    step: int
    since_ms: int
    end_ms: int = 0
    times_ms: Counter[WaitClass] = field(default_factory=Counter)
    share_in_use: float = 0
    fit_count: int = 0
    wanted: int = 0
    idle_cause: str = ''

    @property
    def counted_ms(self) -> int:
        """Duration without the stated hold of runs on lost machines."""
        held_ms = self.times_ms[WaitClass.lost_machine]
        return self.times_ms.total() - held_ms

    @property
    def main_class(self) -> WaitClass:
        """Class of most of the time."""
        return self.times_ms.most_common(1)[0][0]

    def describe(self) -> str:
        """Return the wait in one line."""
        times = ' '.join(
            f'{name.value}={duration_ms}'
            for name, duration_ms in self.times_ms.most_common()
        )
        return (
            f'job={self.job_id}.{self.step} from={self.since_ms} '
            f'to={self.end_ms} {times} share={self.share_in_use:.2f} '
            f'fit={self.fit_count}/{self.wanted} cause={self.idle_cause}'
        )
