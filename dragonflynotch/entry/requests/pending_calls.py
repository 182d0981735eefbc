"""Job submissions and cancellations that have not been answered yet."""

import asyncio
from collections.abc import Callable

from dragonflynotch.entry.partition.owner_inputs import (
    Cancellation,
    JobAccepted,
    Submission,
    SubmissionResult,
)

__all__ = ('PendingCalls',)


class PendingCalls:
    """Gives each waiting caller one result."""

    def __init__(self) -> None:
        """Create a collection without waiting callers."""
        self._submissions: dict[str, Submission] = {}
        self._cancellations: list[Cancellation] = []

    def add(self, call: Submission | Cancellation) -> None:
        """Add a call whose caller waits for the result."""
        if isinstance(call, Submission):
            self._submissions[call.job.job_id] = call
        else:
            self._cancellations.append(call)

    def answer(self, job_id: str, result: SubmissionResult) -> None:
        """Answer the submission of a job, if it is pending."""
        submission = self._submissions.pop(job_id, None)
        if submission is not None:
            _set_result(submission.result, result)

    def answer_cancellations(self, is_recorded: Callable[[str], bool]) -> None:
        """Accept the cancellations whose job record is written."""
        for cancellation in tuple(self._cancellations):
            if is_recorded(cancellation.job_id):
                self._cancellations.remove(cancellation)
                _set_result(
                    cancellation.result, JobAccepted(cancellation.job_id)
                )

    def answer_all(self, result: SubmissionResult) -> None:
        """Answer all pending calls with the same result."""
        for job_id in tuple(self._submissions):
            self.answer(job_id, result)
        for cancellation in self._cancellations:
            _set_result(cancellation.result, result)
        self._cancellations.clear()


def _set_result(
    future: 'asyncio.Future[SubmissionResult]', result: SubmissionResult
) -> None:
    # The future is cancelled if the caller no longer waits.
    if not future.done():
        future.set_result(result)
