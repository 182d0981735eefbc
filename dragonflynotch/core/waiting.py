"""Explanations of why jobs wait."""

from dataclasses import dataclass
from datetime import datetime, timedelta

__all__ = ('WaitingJob',)


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Why a job waits and for what.

    Parameters
    ----------
    job_id : str
        The waiting job.
    workspace : str
        Its workspace.
    waited : timedelta
        Time since its submission.
    reason : str
        Why it waits, in one sentence.
    guarantee : str
        Guarantee whose capacity it waits for, or ``''``.
    start_by : datetime or None
        Upper bound of the start that a reservation or reclaim states.
    """

    job_id: str
    workspace: str
    waited: timedelta
    reason: str
    guarantee: str = ''
    start_by: datetime | None = None
