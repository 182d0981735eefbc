"""Submissions and cancellations whose callers wait for a verdict."""

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
    """Answers each waiting caller once."""

    def __init__(self) -> None:
        """Start without callers."""
        self._submissions: dict[str, Submission] = {}
        self._cancellations: list[Cancellation] = []

    def add(self, call: Submission | Cancellation) -> None:
        """Note a caller that waits."""
        if isinstance(call, Submission):
            self._submissions[call.job.job_id] = call
        else:
            self._cancellations.append(call)

    def answer(self, job_id: str, verdict: SubmissionVerdict) -> None:
        """Answer the submission of a job, if its caller waits."""
        submission = self._submissions.pop(job_id, None)
        if submission is not None:
            _resolve(submission.verdict, verdict)

    def answer_cancellations(self, is_recorded: Callable[[str], bool]) -> None:
        """Answer the cancellations whose record is written."""
        for item in tuple(self._cancellations):
            if is_recorded(item.job_id):
                self._cancellations.remove(item)
                _resolve(item.verdict, JobAccepted(item.job_id))

    def answer_all(self, verdict: SubmissionVerdict) -> None:
        """Answer every caller."""
        for job_id in tuple(self._submissions):
            self.answer(job_id, verdict)
        for item in self._cancellations:
            _resolve(item.verdict, verdict)
        self._cancellations.clear()


def _resolve(
    future: 'asyncio.Future[SubmissionVerdict]', verdict: SubmissionVerdict
) -> None:
    # A caller that gave up has cancelled the future.
    if not future.done():
        future.set_result(verdict)
