"""Decisions that run a non-idempotent request at most once.

The ledger holds a row for each idempotency key of a workspace. Before an entry
hands an attempt over to a guard, it claims the attempt in the row. A repeated
call with the same key finds the claim and first asks that guard what became of
the attempt.

The functions decide from a ledger row and from the reply of the guard; the
caller reads and writes.
"""

import hashlib
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum

__all__ = (
    'LEDGER_PREFIX',
    'LEDGER_ROW_LIFETIME',
    'NEVER_RUN_REPLY_VALIDITY',
    'AskGuard',
    'AttemptDone',
    'AttemptNeverRun',
    'AttemptNotRemembered',
    'AttemptRunning',
    'ClaimAttempt',
    'GuardNotReachable',
    'IncarnationEnded',
    'KeepClaim',
    'LedgerRow',
    'LedgerState',
    'MarkUnknown',
    'RefuseKeyReuse',
    'ReplayResult',
    'ReportUnknown',
    'Resolution',
    'ResolutionDecision',
    'RowDecision',
    'StoredResult',
    'UseAnswer',
    'attempt_id',
    'claimed_row',
    'decide_on_resolution',
    'decide_on_row',
    'ledger_key',
)

# A guard remembers attempts for 15 min; after that, its reply that an attempt
# never ran may only mean that it no longer remembers it. 3 min are left for
# differences between the clocks of entries.
NEVER_RUN_REPLY_VALIDITY = timedelta(minutes=12)
LEDGER_ROW_LIFETIME = timedelta(hours=24)
LEDGER_PREFIX = 'ledger/'


class LedgerState(Enum):
    """State of a ledger row.

    A claimed attempt may have run or not; ``done`` and ``unknown`` are final.
    """

    claimed = 'claimed'
    done = 'done'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResult:
    """Where the answer of a finished request is kept.

    Parameters
    ----------
    digest : str
        Content digest of the answer.
    minion : str
        Minion that answered.
    body : bytes or None
        The answer, if it is kept in the ledger row.
    object_key : str
        Key of the answer in the object store, if it is kept there, or ``''``.
    """

    digest: str
    minion: str
    body: bytes | None = None
    object_key: str = ''


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """Record of the last attempt under one (workspace, idempotency key).

    Parameters
    ----------
    request_digest : str
        Content digest of the request body.
    attempt : int
        Number of the attempt, from 1.
    guard_id : str
        The only guard that the attempt may be handed over to.
    incarnation : int
        The only incarnation of that guard that may receive it.
    state : LedgerState
        State of the attempt.
    claimed_at : datetime
        When the attempt was claimed.
    result : StoredResult or None
        The answer, if the state is ``done``.
    """

    request_digest: str
    attempt: int
    guard_id: str
    incarnation: int
    state: LedgerState
    claimed_at: datetime
    result: StoredResult | None = None

    def as_done(self, result: StoredResult) -> 'LedgerRow':
        """Return the row in state ``done``."""
        return replace(self, state=LedgerState.done, result=result)

    def as_unknown(self) -> 'LedgerRow':
        """Return the row in state ``unknown``."""
        return replace(self, state=LedgerState.unknown)


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of a ledger row."""
    return f'{LEDGER_PREFIX}{workspace}/{idempotency_key}'


def attempt_id(key: str, row: LedgerRow) -> str:
    """Return the id by which a guard knows the attempt of a row.

    The id depends on the claim time. If a key is used again after its row was
    deleted, the new attempt therefore never has the id of an old one.
    """
    claimed_at = row.claimed_at.isoformat()
    name = f'{key}\n{row.attempt}\n{row.guard_id}\n{claimed_at}'
    return hashlib.sha256(name.encode()).hexdigest()[:40]


@dataclass(frozen=True, slots=True)
class ClaimAttempt:
    """Claim the attempt with this number for a newly chosen guard."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Return the stored answer, because the request has already run."""

    result: StoredResult


@dataclass(frozen=True, slots=True)
class RefuseKeyReuse:
    """Refuse the call, because its key was used with another body."""


@dataclass(frozen=True, slots=True)
class ReportUnknown:
    """Report ``unknown``, because the row records that state."""


@dataclass(frozen=True, slots=True)
class AskGuard:
    """Ask the guard of the claimed attempt for its outcome."""


RowDecision = (
    ClaimAttempt | ReplayResult | RefuseKeyReuse | ReportUnknown | AskGuard
)


def decide_on_row(row: LedgerRow | None, request_digest: str) -> RowDecision:
    """Return what to do with a request after its ledger row was read.

    Parameters
    ----------
    row : LedgerRow or None
        The row, or ``None`` if it does not exist.
    request_digest : str
        Content digest of the request body of this call.
    """
    if row is None:
        return ClaimAttempt(1)
    if row.request_digest != request_digest:
        return RefuseKeyReuse()
    if row.state is LedgerState.done and row.result is not None:
        return ReplayResult(row.result)
    if row.state is LedgerState.unknown:
        return ReportUnknown()
    return AskGuard()


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """The attempt has run; ``body`` is its answer."""

    body: bytes
    minion: str = ''


@dataclass(frozen=True, slots=True)
class AttemptRunning:
    """The attempt is still running."""


@dataclass(frozen=True, slots=True)
class AttemptNeverRun:
    """The attempt has not run, and the guard will refuse it from now on."""


@dataclass(frozen=True, slots=True)
class AttemptNotRemembered:
    """The guard does not know, for example because it evicted the record."""

    reason: str = 'guard_unknown'


@dataclass(frozen=True, slots=True)
class IncarnationEnded:
    """The incarnation that received the attempt is proven to have ended."""


@dataclass(frozen=True, slots=True)
class GuardNotReachable:
    """The guard did not reply in time, or its address is not known."""


Resolution = (
    AttemptDone
    | AttemptRunning
    | AttemptNeverRun
    | AttemptNotRemembered
    | IncarnationEnded
    | GuardNotReachable
)


@dataclass(frozen=True, slots=True)
class UseAnswer:
    """Record the answer in the ledger and return it."""

    body: bytes
    minion: str


@dataclass(frozen=True, slots=True)
class KeepClaim:
    """Report ``unknown`` but keep the claim; a later call asks again."""

    reason: str


@dataclass(frozen=True, slots=True)
class MarkUnknown:
    """Record ``unknown`` in the ledger and report it."""

    reason: str


ResolutionDecision = UseAnswer | ClaimAttempt | KeepClaim | MarkUnknown


def decide_on_resolution(
    row: LedgerRow, resolution: Resolution, now: datetime
) -> ResolutionDecision:
    """Return what to do after the guard was asked about a claimed attempt.

    Parameters
    ----------
    row : LedgerRow
        The row in state ``claimed``.
    resolution : Resolution
        Reply of the guard, or why there is none.
    now : datetime
        Current time.
    """
    match resolution:
        case AttemptDone(body, minion):
            return UseAnswer(body, minion)
        case AttemptNeverRun():
            if now - row.claimed_at > NEVER_RUN_REPLY_VALIDITY:
                return MarkUnknown('guard_memory_expired')
            return ClaimAttempt(row.attempt + 1)
        case AttemptRunning():
            return KeepClaim('still_running')
        case GuardNotReachable():
            return KeepClaim('guard_silent')
        case IncarnationEnded():
            return MarkUnknown('guard_gone')
        case AttemptNotRemembered(reason):
            return MarkUnknown(reason)


def claimed_row(
    request_digest: str,
    attempt: int,
    guard: tuple[str, int],
    now: datetime,
) -> LedgerRow:
    """Return the row that claims an attempt.

    Parameters
    ----------
    request_digest : str
        Content digest of the request body.
    attempt : int
        Number of the attempt.
    guard : tuple of (str, int)
        Id and incarnation of the chosen guard.
    now : datetime
        Current time.
    """
    return LedgerRow(
        request_digest, attempt, *guard, LedgerState.claimed, claimed_at=now
    )
