"""Explanations of why jobs wait."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.claims import Claim
from dragonflynotch.core.guarantee_book import GuaranteeBook
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.reservations import Reservation

__all__ = ('WaitingJob', 'explain_claim', 'explain_reservation')


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


def explain_claim(
    job: Job, claim: Claim, book: GuaranteeBook, now: datetime
) -> WaitingJob:
    """Return the explanation of a job whose accelerators are being freed."""
    placed = book.find(claim.guarantee)
    guarantee = '' if placed is None else placed.description
    return WaitingJob(
        job.job_id,
        job.spec.workspace,
        now - job.submitted_at,
        'waits until other jobs have given its accelerators back',
        guarantee,
        claim.start_by,
    )


def explain_reservation(
    job: Job, reservation: Reservation, now: datetime
) -> WaitingJob:
    """Return the explanation of a job for which accelerators are kept."""
    return WaitingJob(
        job.job_id,
        job.spec.workspace,
        now - job.submitted_at,
        f'waits for its reservation on {len(reservation.shares)} workers',
        start_by=reservation.start_by,
    )
