"""Job submissions and cancellations that have not been answered yet."""

import asyncio
from collections.abc import Callable

from dragonflynotch.entry.partition.owner_inputs import (
    Cancellation,
    JobAccepted,
    Submission,
    SubmissionVerdict,
)

__all__ = ('PendingCalls',)


class PendingCalls:
    """Gives each waiting caller one verdict."""

    def __init__(self) -> None:
        """Create a collection without waiting callers."""
        self._submissions: dict[str, Submission] = {}
        self._cancellations: list[Cancellation] = []

    def add(self, call: Submission | Cancellation) -> None:
        """Add a call whose caller waits for the verdict."""
        if isinstance(call, Submission):
            self._submissions[call.job.job_id] = call
        else:
            self._cancellations.append(call)

    def answer(self, job_id: str, verdict: SubmissionVerdict) -> None:
        """Answer the submission of a job, if it is pending."""
        submission = self._submissions.pop(job_id, None)
        if submission is not None:
            _set_verdict(submission.verdict, verdict)

    def answer_cancellations(self, is_recorded: Callable[[str], bool]) -> None:
        """Accept the cancellations whose job record is written."""
        for cancellation in tuple(self._cancellations):
            if is_recorded(cancellation.job_id):
                self._cancellations.remove(cancellation)
                _set_verdict(
                    cancellation.verdict, JobAccepted(cancellation.job_id)
                )

    def answer_all(self, verdict: SubmissionVerdict) -> None:
        """Answer all pending calls with the same verdict."""
        for job_id in tuple(self._submissions):
            self.answer(job_id, verdict)
        for cancellation in self._cancellations:
            _set_verdict(cancellation.verdict, verdict)
        self._cancellations.clear()


def _set_verdict(
    future: 'asyncio.Future[SubmissionVerdict]', verdict: SubmissionVerdict
) -> None:
    # The future is cancelled if the caller no longer waits.
    if not future.done():
        future.set_result(verdict)
