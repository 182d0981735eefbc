"""Runs requests at most once, with a ledger row for each idempotency key."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.handover import (
    ClaimAttempt,
    GuardNotReachable,
    IncarnationEnded,
    LedgerRow,
    MarkUnknown,
    RefuseKeyReuse,
    ReplayResult,
    ReportUnknown,
    Resolution,
    StoredResult,
    UseAnswer,
    attempt_id,
    claimed_row,
    decide_on_resolution,
    decide_on_row,
    ledger_key,
)
from dragonflynotch.core.requests import (
    Answer,
    NotRun,
    Outcome,
    Request,
    Unknown,
    content_digest,
)
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.entry.requests.attempts import (
    AttemptOutcome,
    AttemptRunner,
    ProvenNotRun,
    Succeeded,
)
from dragonflynotch.entry.requests.ledger import (
    Ledger,
    RowChanged,
    VersionedRow,
)
from dragonflynotch.entry.requests.target_queue import QueueTicket, TargetQueue

__all__ = ('AtMostOnceRunner',)

_RETRY_AFTER = timedelta(seconds=1)
_MAX_ROW_READS = 6
_MAX_RECENT_CLAIMS = 4096
_STEP_LEDGER = 'ledger'
_STEP_RESOLVE = 'resolve'
# Refusal of an attempt that the guard voided when another entry asked about
# it. That entry may hand over the next attempt, so this one must not.
_RESOLVED_AS_NEVER = 'resolved_as_never'
# The guard had not received the attempt when it was asked; it refuses it from
# now on.
_NOT_RECEIVED = 'never'
# After these refusals, the routing table itself avoids the guard until its
# next announcement.
_NON_EXCLUDING_REASONS = frozenset(
    ('no_free_slot', 'draining', 'other_incarnation')
)


@dataclass(slots=True)
class _Call:
    """State of one call while its attempts run."""

    request: Request
    ticket: QueueTicket
    key: str
    digest: str
    excluded_guards: set[str] = field(default_factory=set)
    lost_message_guards: set[str] = field(default_factory=set)

    def note_refusal(self, guard_id: str, reason: str) -> None:
        """Exclude a guard from the next attempts, if the reason requires it.

        A guard that did not receive one message is not excluded yet, because
        a new connection to it may work.
        """
        if reason == _NOT_RECEIVED and guard_id not in self.lost_message_guards:
            self.lost_message_guards.add(guard_id)
        elif reason not in _NON_EXCLUDING_REASONS:
            self.excluded_guards.add(guard_id)


class AtMostOnceRunner:
    """Runs non-idempotent requests, each attempt claimed in the ledger.

    Parameters
    ----------
    queue : TargetQueue
        Assigns slots.
    attempts : AttemptRunner
        Hands attempts over to guards and asks for their outcome.
    ledger : Ledger
        Stores claims and answers.
    routing : RoutingTable
        Known guards.
    clock : Clock
        Clock for claims and deadlines.
    """

    def __init__(
        self,
        queue: TargetQueue,
        attempts: AttemptRunner,
        ledger: Ledger,
        routing: RoutingTable,
        clock: Clock,
    ) -> None:
        """Create a runner without known claims."""
        self._queue = queue
        self._attempts = attempts
        self._ledger = ledger
        self._routing = routing
        self._clock = clock
        self._recent_claims: OrderedDict[str, LedgerRow] = OrderedDict()

    async def run(self, request: Request, ticket: QueueTicket) -> Outcome:
        """Return the outcome of the request."""
        call = _Call(
            request,
            ticket,
            ledger_key(request.workspace, request.idempotency_key),
            content_digest(request.body),
        )
        for _ in range(_MAX_ROW_READS):
            try:
                current = await self._ledger.read(call.key)
            except PlatformUnavailableError as error:
                return self._ledger_unavailable(call, error)
            outcome = await self._act_on_row(call, current)
            if outcome is not None:
                return outcome
        return Unknown(
            'contended',
            'other calls with the same key kept changing the ledger row',
            _RETRY_AFTER,
            step=_STEP_LEDGER,
        )

    async def _act_on_row(
        self, call: _Call, current: VersionedRow
    ) -> Outcome | None:
        """Return the outcome, or ``None`` if the row must be read again."""
        row = current.row
        decision = decide_on_row(row, call.digest)
        match decision:
            case ClaimAttempt(attempt):
                return await self._claim_until_not_refused(
                    call, current, attempt
                )
            case ReplayResult(result):
                return await self._replay(call, result)
            case RefuseKeyReuse():
                return _key_reused()
        if row is None:
            return None
        if isinstance(decision, ReportUnknown):
            return _unknown(row, 'outcome_unknown', _STEP_LEDGER)
        resolution = await self._resolve(call, row)
        return await self._act_on_resolution(call, current, row, resolution)

    async def _act_on_resolution(
        self,
        call: _Call,
        current: VersionedRow,
        row: LedgerRow,
        resolution: Resolution,
    ) -> Outcome | None:
        decision = decide_on_resolution(row, resolution, self._clock.now())
        match decision:
            case UseAnswer(body, minion):
                return await self._answer(call, current, body, minion)
            case ClaimAttempt(attempt):
                return await self._claim_until_not_refused(
                    call, current, attempt
                )
            case MarkUnknown(reason):
                await self._ledger.mark_unknown(current)
                return _unknown(row, reason, _STEP_RESOLVE)
        return _unknown(row, decision.reason, _STEP_RESOLVE)

    async def _claim_until_not_refused(
        self, call: _Call, current: VersionedRow, attempt: int
    ) -> Outcome | None:
        """Claim and run attempts until one is not proven to be refused.

        Any earlier attempt in row ``current`` is proven not to run.
        """
        while True:
            result = await self._claim_and_run(call, current, attempt)
            if not isinstance(result, VersionedRow):
                return result
            current = result
            attempt += 1

    async def _claim_and_run(
        self, call: _Call, current: VersionedRow, attempt: int
    ) -> Outcome | VersionedRow | None:
        """Run one attempt under a new claim.

        Returns
        -------
        Outcome, VersionedRow or None
            The outcome; or the claimed row, if the attempt is proven not to
            run; or ``None``, if the row must be read again.
        """
        target = await self._queue.acquire(call.ticket, call.excluded_guards)
        if isinstance(target, NotRun):
            if current.row is not None:
                await self._ledger.delete(current)
            return target
        # The write of the claim takes time in which the target may be ejected.
        assigned_at = self._clock.now()
        try:
            claimed = await self._write_claim(call, current, attempt, target)
            if not isinstance(claimed, VersionedRow):
                return claimed
            outcome = await self._attempts.run(
                target,
                call.request,
                _attempt_id(claimed),
                is_retry=attempt > 1,
            )
        finally:
            self._queue.release(target)
        self._attempts.record(target, outcome, assigned_at)
        return await self._act_on_attempt(call, claimed, target, outcome)

    async def _write_claim(
        self,
        call: _Call,
        current: VersionedRow,
        attempt: int,
        target: Target,
    ) -> VersionedRow | NotRun | Unknown | None:
        row = claimed_row(
            call.digest,
            attempt,
            (target.guard_id, target.incarnation),
            self._clock.now(),
        )
        try:
            claimed = await self._ledger.write(current, row)
        except (PlatformUnavailableError, UncertainWriteError) as error:
            return _claim_not_written(call, error)
        if isinstance(claimed, RowChanged):
            return None
        self._recent_claims[call.key] = row
        if len(self._recent_claims) > _MAX_RECENT_CLAIMS:
            self._recent_claims.popitem(last=False)
        return claimed

    async def _act_on_attempt(
        self,
        call: _Call,
        claimed: VersionedRow,
        target: Target,
        outcome: AttemptOutcome,
    ) -> Outcome | VersionedRow | None:
        row = claimed.row
        if row is None:
            return None
        match outcome:
            case Succeeded(body):
                return await self._answer(call, claimed, body, target.minion_id)
            case ProvenNotRun(reason):
                return await self._next_attempt(call, claimed, row, reason)
        return await self._act_on_resolution(
            call, claimed, row, outcome.resolution
        )

    async def _next_attempt(
        self, call: _Call, claimed: VersionedRow, row: LedgerRow, reason: str
    ) -> Outcome | VersionedRow:
        if reason == _RESOLVED_AS_NEVER:
            return _unknown(row, 'superseded', _STEP_RESOLVE)
        call.note_refusal(row.guard_id, reason)
        if self._clock.now() < call.request.deadline:
            return claimed
        await self._ledger.delete(claimed)
        return NotRun(
            'deadline_passed',
            f'the last attempt did not run: {reason}',
            _RETRY_AFTER,
            step='hand over',
            peer=row.guard_id,
        )

    async def _answer(
        self, call: _Call, current: VersionedRow, body: bytes, minion: str
    ) -> Answer:
        await self._ledger.record_answer(current, body, minion)
        return Answer(call.request.request_id, body, minion)

    async def _replay(self, call: _Call, stored: StoredResult) -> Outcome:
        try:
            body = await self._ledger.load_result(stored)
        except PlatformUnavailableError as error:
            return Unknown(
                'result_unavailable',
                f'the request ran, but its answer cannot be loaded: {error}',
                _RETRY_AFTER,
                step='load result',
                peer=error.peer,
            )
        return Answer(call.request.request_id, body, stored.minion)

    async def _resolve(self, call: _Call, row: LedgerRow) -> Resolution:
        if self._routing.is_replaced(row.guard_id, row.incarnation):
            return IncarnationEnded()
        known = self._routing.known_target(row.guard_id)
        if known is None:
            return GuardNotReachable()
        return await self._attempts.resolve(
            replace(known, incarnation=row.incarnation),
            attempt_id(call.key, row),
        )

    def _ledger_unavailable(
        self, call: _Call, error: PlatformUnavailableError
    ) -> Outcome:
        known = self._recent_claims.get(call.key)
        if known is not None:
            return _unknown(known, 'ledger_unavailable', _STEP_LEDGER)
        # Without the ledger, only a caller's first attempt is known not to have
        # been claimed by an earlier call.
        outcome = NotRun if call.request.is_first_attempt else Unknown
        return outcome(
            'ledger_unavailable',
            str(error),
            _RETRY_AFTER,
            step=_STEP_LEDGER,
            peer=error.peer,
        )


def _claim_not_written(
    call: _Call, error: PlatformUnavailableError | UncertainWriteError
) -> NotRun | Unknown:
    """Return the outcome of a call whose claim was not written.

    The call hands nothing over. An earlier call with the same key may have
    claimed the row after it was read, so only a caller's first attempt is
    known not to run.
    """
    if call.request.is_first_attempt:
        return NotRun(
            'claim_not_written',
            str(error),
            _RETRY_AFTER,
            step=_STEP_LEDGER,
            peer=error.peer,
        )
    return Unknown(
        'ledger_unavailable',
        f'an earlier call with the same key may run: {error}',
        _RETRY_AFTER,
        step=_STEP_LEDGER,
        peer=error.peer,
    )


def _attempt_id(claimed: VersionedRow) -> str:
    if claimed.row is None:
        raise ValueError(f'ledger row {claimed.key!r} holds no claim')
    return attempt_id(claimed.key, claimed.row)


def _key_reused() -> NotRun:
    return NotRun(
        'key_reused',
        'the idempotency key was already used with another body',
        timedelta(),
        step=_STEP_LEDGER,
    )


def _unknown(row: LedgerRow, reason: str, step: str) -> Unknown:
    handed_at: datetime = row.claimed_at
    return Unknown(
        reason,
        f'attempt {row.attempt} was claimed for guard {row.guard_id}',
        _RETRY_AFTER,
        step=step,
        peer=row.guard_id,
        handed_to=row.guard_id,
        handed_at=handed_at,
    )
