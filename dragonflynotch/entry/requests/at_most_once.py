"""Requests that run at most once, by a ledger row for each key."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.handover import (
    Claim,
    GuardGone,
    GuardSilent,
    LedgerRow,
    MarkUnknown,
    RefuseKeyReuse,
    ReplayResult,
    ReportUnknown,
    Resolution,
    StoredResult,
    UseAnswer,
    attempt_id,
    decide_on_resolution,
    decide_on_row,
    ledger_key,
    next_claim,
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
    Proven,
    Succeeded,
)
from dragonflynotch.entry.requests.ledger import Ledger, LostRace, VersionedRow
from dragonflynotch.entry.requests.target_queue import QueueTicket, TargetQueue

__all__ = ('AtMostOnceRunner',)

_RETRY_AFTER = timedelta(seconds=1)
_MAX_ROUNDS = 6
_MAX_KNOWN_CLAIMS = 4096
_STEP_LEDGER = 'ledger'
_STEP_RESOLVE = 'resolve'
# The guard's reason for an attempt that another entry resolved as "never".
# That entry may hand over the next attempt, so this one must not.
_SUPERSEDED = 'resolved_as_never'
_LOST = 'never'
_LEAVING = frozenset(('no_free_slot', 'draining', 'other_incarnation'))


@dataclass(slots=True)
class _Call:
    """Progress of one call of a caller."""

    request: Request
    ticket: QueueTicket
    key: str
    digest: str
    failed_at: set[str] = field(default_factory=set)
    lost_at: set[str] = field(default_factory=set)

    def avoid(self, guard_id: str, reason: str) -> None:
        """Leave a guard out of the next attempts, depending on the reason.

        A message that was lost once is no reason, because a new connection
        to the same guard may work.
        """
        if reason == _LOST and guard_id not in self.lost_at:
            self.lost_at.add(guard_id)
        elif reason not in _LEAVING:
            self.failed_at.add(guard_id)


class AtMostOnceRunner:
    """Runs non-idempotent requests under the rules of the ledger.

    Parameters
    ----------
    queue : TargetQueue
        Gives out slots.
    attempts : AttemptRunner
        Hands attempts over and asks guards.
    ledger : Ledger
        Rows and recorded answers.
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
        """Combine the parts."""
        self._queue = queue
        self._attempts = attempts
        self._ledger = ledger
        self._routing = routing
        self._clock = clock
        self._known_claims: OrderedDict[str, LedgerRow] = OrderedDict()

    async def run(self, request: Request, ticket: QueueTicket) -> Outcome:
        """Return the outcome of the request."""
        call = _Call(
            request,
            ticket,
            ledger_key(request.workspace, request.idempotency_key),
            content_digest(request.body),
        )
        for _ in range(_MAX_ROUNDS):
            try:
                current = await self._ledger.read(call.key)
            except PlatformUnavailableError as error:
                return self._ledger_unavailable(call, error)
            outcome = await self._act_on_row(call, current)
            if outcome is not None:
                return outcome
        return Unknown(
            'contended',
            'other calls with the same key changed the ledger row each time',
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
            case Claim(attempt):
                return await self._claim_until_settled(call, current, attempt)
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
            case Claim(attempt):
                return await self._claim_until_settled(call, current, attempt)
            case MarkUnknown(reason):
                await self._ledger.mark_unknown(current)
                return _unknown(row, reason, _STEP_RESOLVE)
        return _unknown(row, decision.reason, _STEP_RESOLVE)

    async def _claim_until_settled(
        self, call: _Call, current: VersionedRow, attempt: int
    ) -> Outcome | None:
        """Claim and hand over attempts until one is not proven refused.

        Any earlier attempt of ``current`` is proven not to run.
        """
        while True:
            step = await self._claim(call, current, attempt)
            if not isinstance(step, VersionedRow):
                return step
            current = step
            attempt += 1

    async def _claim(
        self, call: _Call, current: VersionedRow, attempt: int
    ) -> Outcome | VersionedRow | None:
        """Return the outcome, or the row of an attempt proven not to run."""
        target = await self._queue.acquire(call.ticket, call.failed_at)
        if isinstance(target, NotRun):
            if current.row is not None:
                await self._ledger.drop(current)
            return target
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
        self._attempts.record(target, outcome)
        return await self._act_on_attempt(call, claimed, target, outcome)

    async def _write_claim(
        self,
        call: _Call,
        current: VersionedRow,
        attempt: int,
        target: Target,
    ) -> VersionedRow | NotRun | Unknown | None:
        row = next_claim(
            call.digest,
            attempt,
            (target.guard_id, target.incarnation),
            self._clock.now(),
        )
        try:
            claimed = await self._ledger.write(current, row)
        except (PlatformUnavailableError, UncertainWriteError) as error:
            return _claim_not_written(call, error)
        if isinstance(claimed, LostRace):
            return None
        self._known_claims[call.key] = row
        if len(self._known_claims) > _MAX_KNOWN_CLAIMS:
            self._known_claims.popitem(last=False)
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
            case Proven(reason):
                return await self._next_attempt(call, claimed, row, reason)
        return await self._act_on_resolution(
            call, claimed, row, outcome.resolution
        )

    async def _next_attempt(
        self, call: _Call, claimed: VersionedRow, row: LedgerRow, reason: str
    ) -> Outcome | VersionedRow:
        if reason == _SUPERSEDED:
            return _unknown(row, 'superseded', _STEP_RESOLVE)
        call.avoid(row.guard_id, reason)
        if self._clock.now() < call.request.deadline:
            return claimed
        await self._ledger.drop(claimed)
        return NotRun(
            'deadline_passed',
            f'the guard refused the attempt: {reason}',
            _RETRY_AFTER,
            step='hand over',
            peer=row.guard_id,
        )

    async def _answer(
        self, call: _Call, current: VersionedRow, body: bytes, minion: str
    ) -> Answer:
        await self._ledger.record_done(current, body, minion)
        return Answer(call.request.request_id, body, minion)

    async def _replay(self, call: _Call, stored: StoredResult) -> Outcome:
        try:
            body = await self._ledger.load_result(stored)
        except PlatformUnavailableError as error:
            return Unknown(
                'result_unavailable',
                f'the request ran; its answer cannot be loaded: {error}',
                _RETRY_AFTER,
                step='load result',
                peer=error.peer,
            )
        return Answer(call.request.request_id, body, stored.minion)

    async def _resolve(self, call: _Call, row: LedgerRow) -> Resolution:
        if self._routing.is_replaced(row.guard_id, row.incarnation):
            return GuardGone()
        known = self._routing.known_target(row.guard_id)
        if known is None:
            return GuardSilent()
        return await self._attempts.resolve(
            replace(known, incarnation=row.incarnation),
            attempt_id(call.key, row),
        )

    def _ledger_unavailable(
        self, call: _Call, error: PlatformUnavailableError
    ) -> Outcome:
        known = self._known_claims.get(call.key)
        if known is not None:
            return _unknown(known, 'ledger_unavailable', _STEP_LEDGER)
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
    """Return the outcome of a call that never hands over under its claim.

    Another call with the key may have claimed the row after it was read, so
    only a first attempt is known not to run.
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
        f'an earlier call with the key may run: {error}',
        _RETRY_AFTER,
        step=_STEP_LEDGER,
        peer=error.peer,
    )


def _attempt_id(claimed: VersionedRow) -> str:
    if claimed.row is None:
        raise ValueError(f'row {claimed.key!r} holds no claim')
    return attempt_id(claimed.key, claimed.row)


def _key_reused() -> NotRun:
    return NotRun(
        'key_reused',
        'the idempotency key was used with another body',
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
