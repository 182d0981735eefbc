"""Runs requests that may run more than once; retries at other minions."""

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
    OutcomeUnknown,
    ProvenNotRun,
    Succeeded,
)
from dragonflynotch.entry.requests.target_queue import QueueTicket, TargetQueue

__all__ = ('IdempotentRunner',)

_RETRY_AFTER = timedelta(seconds=1)
# Share of the remaining time that one attempt may use, so that a silent minion
# leaves time for an attempt at another one.
_ATTEMPT_TIME_SHARE = 0.5
# Limits the damage of a request that makes every minion fail.
_MAX_FAILED_GUARDS = 3
_MIN_ATTEMPT_TIME = timedelta(milliseconds=500)
# Refusals that put no load on a minion; they are retried without the budget.
_RETRIABLE_WITHOUT_BUDGET = frozenset(
    ('no_free_slot', 'draining', 'other_incarnation', 'guard_unreachable')
)


class IdempotentRunner:
    """Runs idempotent requests without the ledger.

    Parameters
    ----------
    queue : TargetQueue
        Assigns slots.
    attempts : AttemptRunner
        Hands attempts over to guards.
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
        """Create a runner."""
        self._queue = queue
        self._attempts = attempts
        self._budget = budget
        self._clock = clock

    async def run(self, request: Request, ticket: QueueTicket) -> Outcome:
        """Return the outcome of the request."""
        self._budget.record_request(self._clock.now())
        failed_guards: set[str] = set()
        last_unknown: Unknown | None = None
        attempt_number = 0
        while True:
            target = await self._acquire(ticket, failed_guards, attempt_number)
            if isinstance(target, NotRun):
                return last_unknown or target
            attempt_number += 1
            handed_at = self._clock.now()
            outcome = await self._attempt(target, request, attempt_number)
            if isinstance(outcome, Succeeded):
                return Answer(
                    request.request_id, outcome.body, target.minion_id
                )
            if isinstance(outcome, OutcomeUnknown):
                last_unknown = _unknown(target, outcome, handed_at)
            if _counts_as_failure(outcome):
                failed_guards.add(target.guard_id)
            refusal = self._retry_refusal(
                request, outcome, target, len(failed_guards)
            )
            if refusal is not None:
                return last_unknown or refusal

    async def _acquire(
        self, ticket: QueueTicket, failed_guards: set[str], attempt_number: int
    ) -> Target | NotRun:
        target = await self._queue.acquire(ticket, failed_guards)
        if isinstance(target, NotRun) and failed_guards and attempt_number == 1:
            # No other guard is available, so the first one is tried again over
            # a new connection.
            failed_guards.clear()
            target = await self._queue.acquire(ticket, failed_guards)
        return target

    async def _attempt(
        self, target: Target, request: Request, attempt_number: int
    ) -> AttemptOutcome:
        sent_at = self._clock.now()
        attempt_time = max(
            (request.deadline - sent_at) * _ATTEMPT_TIME_SHARE,
            _MIN_ATTEMPT_TIME,
        )
        deadline = min(request.deadline, sent_at + attempt_time)
        try:
            outcome = await self._attempts.run(
                target,
                replace(request, deadline=deadline),
                f'{request.request_id}-{attempt_number}',
                is_retry=attempt_number > 1,
            )
        finally:
            self._queue.release(target)
        self._attempts.record(target, outcome, sent_at)
        return outcome

    def _retry_refusal(
        self,
        request: Request,
        outcome: AttemptOutcome,
        target: Target,
        failed_guard_count: int,
    ) -> NotRun | None:
        now = self._clock.now()
        reason = ''
        if now >= request.deadline:
            reason = 'deadline_passed'
        elif failed_guard_count >= _MAX_FAILED_GUARDS:
            reason = 'failed_repeatedly'
        elif _counts_as_failure(outcome) and not self._budget.take(now):
            reason = 'retry_budget_exhausted'
        if not reason:
            return None
        return NotRun(
            reason,
            'the last attempt did not run and the request is not retried',
            _RETRY_AFTER,
            step='retry',
            peer=target.guard_id,
        )


def _counts_as_failure(outcome: AttemptOutcome) -> bool:
    if isinstance(outcome, ProvenNotRun):
        return outcome.reason not in _RETRIABLE_WITHOUT_BUDGET
    return isinstance(outcome, OutcomeUnknown)


def _unknown(
    target: Target, outcome: OutcomeUnknown, handed_at: datetime
) -> Unknown:
    return Unknown(
        'no_answer',
        outcome.error,
        _RETRY_AFTER,
        step='hand over',
        peer=target.guard_id,
        handed_to=target.guard_id,
        handed_at=handed_at,
    )
