"""Explanations of why jobs wait, as shown to users."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.claims import Claim
from dragonflynotch.core.guarantee_registry import GuaranteeRegistry
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.reservations import Reservation

__all__ = ('WaitingJob', 'explain_claim', 'explain_reservation')


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Why a job waits and what it waits for.

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
        Upper bound of the start, stated by a reservation or a claim.
    """

    job_id: str
    workspace: str
    waited: timedelta
    reason: str
    guarantee: str = ''
    start_by: datetime | None = None


def explain_claim(
    job: Job, claim: Claim, guarantees: GuaranteeRegistry, now: datetime
) -> WaitingJob:
    """Explain the wait of a job with a claim on held accelerators."""
    placed = guarantees.find(claim.guarantee_id)
    guarantee = '' if placed is None else placed.description
    return WaitingJob(
        job.job_id,
        job.spec.workspace,
        now - job.submitted_at,
        'waits until other jobs have released its accelerators',
        guarantee,
        claim.start_by,
    )


def explain_reservation(
    job: Job, reservation: Reservation, now: datetime
) -> WaitingJob:
    """Explain the wait of a job for which accelerators are reserved."""
    return WaitingJob(
        job.job_id,
        job.spec.workspace,
        now - job.submitted_at,
        f'waits for its reservation on {len(reservation.shares)} workers',
        start_by=reservation.start_by,
    )
