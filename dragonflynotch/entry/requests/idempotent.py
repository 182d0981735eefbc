"""Requests that may run more than once: retried at another minion."""

from dataclasses import replace
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.limits import RetryBudget
from dragonflynotch.core.requests import (
    Answer,
    NotRun,
    Outcome,
    Request,
    Unknown,
)
from dragonflynotch.core.routing import Target
from dragonflynotch.entry.requests.attempts import (
    AttemptOutcome,
    AttemptRunner,
    Failed,
    Proven,
    Succeeded,
)
from dragonflynotch.entry.requests.target_queue import QueueTicket, TargetQueue

__all__ = ('IdempotentRunner',)

_RETRY_AFTER = timedelta(seconds=1)
# An attempt gets half of the time that is left, so that one silent minion
# leaves time for another one.
_ATTEMPT_SHARE = 0.5
# A request that breaks each minion must not visit them all.
_MAX_FAILURES = 3
_SHORTEST_ATTEMPT = timedelta(milliseconds=500)
_RETRIABLE_WITHOUT_BUDGET = frozenset(
    ('no_free_slot', 'draining', 'other_incarnation', 'guard_unreachable')
)


class IdempotentRunner:
    """Runs idempotent requests without the ledger.

    Parameters
    ----------
    queue : TargetQueue
        Gives out slots.
    attempts : AttemptRunner
        Hands attempts over.
    budget : RetryBudget
        Limits the retries after failures. Refusals by guards put no load on a
        minion and do not count.
    clock : Clock
        Clock for the deadlines.
    """

    def __init__(
        self,
        queue: TargetQueue,
        attempts: AttemptRunner,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Combine the parts."""
        self._queue = queue
        self._attempts = attempts
        self._budget = budget
        self._clock = clock

    async def run(self, request: Request, ticket: QueueTicket) -> Outcome:
        """Return the outcome of the request."""
        self._budget.record_request(self._clock.now())
        failed_at: set[str] = set()
        last: Unknown | None = None
        number = 0
        while True:
            target = await self._acquire(ticket, failed_at, number)
            if isinstance(target, NotRun):
                return last or target
            number += 1
            handed_at = self._clock.now()
            outcome = await self._attempt(target, request, number)
            if isinstance(outcome, Succeeded):
                return Answer(
                    request.request_id, outcome.body, target.minion_id
                )
            if isinstance(outcome, Failed):
                last = _unknown(target, outcome, handed_at)
            if _counts_as_failure(outcome):
                failed_at.add(target.guard_id)
            refusal = self._retry_refusal(
                request, outcome, target, len(failed_at)
            )
            if refusal is not None:
                return last or refusal

    async def _acquire(
        self, ticket: QueueTicket, failed_at: set[str], number: int
    ) -> Target | NotRun:
        target = await self._queue.acquire(ticket, failed_at)
        if isinstance(target, NotRun) and failed_at and number == 1:
            # No other member is in use, so the first one gets a second try
            # over a new connection.
            failed_at.clear()
            target = await self._queue.acquire(ticket, failed_at)
        return target

    async def _attempt(
        self, target: Target, request: Request, number: int
    ) -> AttemptOutcome:
        now = self._clock.now()
        share = max(
            (request.deadline - now) * _ATTEMPT_SHARE, _SHORTEST_ATTEMPT
        )
        deadline = min(request.deadline, now + share)
        try:
            outcome = await self._attempts.run(
                target,
                replace(request, deadline=deadline),
                f'{request.request_id}-{number}',
                is_retry=number > 1,
            )
        finally:
            self._queue.release(target)
        self._attempts.record(target, outcome)
        return outcome

    def _retry_refusal(
        self,
        request: Request,
        outcome: AttemptOutcome,
        target: Target,
        failures: int,
    ) -> NotRun | None:
        now = self._clock.now()
        reason = ''
        if now >= request.deadline:
            reason = 'deadline_passed'
        elif failures >= _MAX_FAILURES:
            reason = 'failed_repeatedly'
        elif _counts_as_failure(outcome) and not self._budget.take(now):
            reason = 'retry_budget_exhausted'
        if not reason:
            return None
        return NotRun(
            reason,
            'the request was refused and is not tried again',
            _RETRY_AFTER,
            step='retry',
            peer=target.guard_id,
        )


def _counts_as_failure(outcome: AttemptOutcome) -> bool:
    if isinstance(outcome, Proven):
        return outcome.reason not in _RETRIABLE_WITHOUT_BUDGET
    return isinstance(outcome, Failed)


def _unknown(target: Target, outcome: Failed, handed_at: datetime) -> Unknown:
    return Unknown(
        'no_answer',
        outcome.error,
        _RETRY_AFTER,
        step='hand over',
        peer=target.guard_id,
        handed_to=target.guard_id,
        handed_at=handed_at,
    )
