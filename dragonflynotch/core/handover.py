"""At-most-once decisions for non-idempotent requests.

The functions decide from a ledger row and from what the guard says; reading
and writing is up to the caller.
"""

import hashlib
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum

__all__ = (
    'LEDGER_PREFIX',
    'NEVER_TRUSTED_FOR',
    'ROW_LIFETIME',
    'AskGuard',
    'Claim',
    'GuardDone',
    'GuardGone',
    'GuardNever',
    'GuardRunning',
    'GuardSilent',
    'GuardUnknown',
    'KeepClaim',
    'LedgerRow',
    'LedgerState',
    'MarkUnknown',
    'RefuseKeyReuse',
    'ReplayResult',
    'ReportUnknown',
    'Resolution',
    'RowDecision',
    'ResolutionDecision',
    'StoredResult',
    'UseAnswer',
    'attempt_id',
    'decide_on_resolution',
    'decide_on_row',
    'ledger_key',
    'next_claim',
)

# A guard remembers attempts for 15 min. A later "never" may only mean that it
# forgot; 3 min are left for clocks of entries that differ.
NEVER_TRUSTED_FOR = timedelta(minutes=12)
ROW_LIFETIME = timedelta(hours=24)
LEDGER_PREFIX = 'ledger/'


class LedgerState(Enum):
    """State of a ledger row."""

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
        The answer, if it is kept in the row.
    object_key : str
        Key in the object store, if it is kept there.
    """

    digest: str
    minion: str
    body: bytes | None = None
    object_key: str = ''


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """What is recorded of one (workspace, key).

    Parameters
    ----------
    request_digest : str
        Content digest of the request body.
    attempt : int
        Number of the attempt, from 1.
    guard_id : str
        Only guard that the attempt may be handed to.
    incarnation : int
        Only incarnation of that guard.
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

    def finished(self, result: StoredResult) -> 'LedgerRow':
        """Return the row in state ``done``."""
        return replace(self, state=LedgerState.done, result=result)

    def as_unknown(self) -> 'LedgerRow':
        """Return the row in state ``unknown``."""
        return replace(self, state=LedgerState.unknown)


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of a ledger row."""
    return f'{LEDGER_PREFIX}{workspace}/{idempotency_key}'


def attempt_id(key: str, row: LedgerRow) -> str:
    """Return the id under which a guard knows the attempt of a row.

    The claim time is part of it, so a key that is used again after its row
    was deleted never meets an old attempt.
    """
    claimed_at = row.claimed_at.isoformat()
    name = f'{key}\n{row.attempt}\n{row.guard_id}\n{claimed_at}'
    return hashlib.sha256(name.encode()).hexdigest()[:40]


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim this attempt number for a newly chosen guard."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """The request ran before; return the stored answer."""

    result: StoredResult


@dataclass(frozen=True, slots=True)
class RefuseKeyReuse:
    """The key belongs to another body."""


@dataclass(frozen=True, slots=True)
class ReportUnknown:
    """The outcome can never be known."""


@dataclass(frozen=True, slots=True)
class AskGuard:
    """Another attempt is claimed; ask its guard."""


RowDecision = Claim | ReplayResult | RefuseKeyReuse | ReportUnknown | AskGuard


def decide_on_row(row: LedgerRow | None, request_digest: str) -> RowDecision:
    """Return what to do with a request whose row was read.

    Parameters
    ----------
    row : LedgerRow or None
        The row, or ``None`` if it is absent.
    request_digest : str
        Content digest of the body that the caller sent now.
    """
    if row is None:
        return Claim(1)
    if row.request_digest != request_digest:
        return RefuseKeyReuse()
    if row.state is LedgerState.done and row.result is not None:
        return ReplayResult(row.result)
    if row.state is LedgerState.unknown:
        return ReportUnknown()
    return AskGuard()


@dataclass(frozen=True, slots=True)
class GuardDone:
    """The attempt ran; this is its answer."""

    body: bytes
    minion: str = ''


@dataclass(frozen=True, slots=True)
class GuardRunning:
    """The attempt runs now."""


@dataclass(frozen=True, slots=True)
class GuardNever:
    """The attempt did not run and is refused from now on."""


@dataclass(frozen=True, slots=True)
class GuardUnknown:
    """The guard cannot say, for example after it evicted its memory."""

    reason: str = 'guard_unknown'


@dataclass(frozen=True, slots=True)
class GuardGone:
    """The incarnation that held the attempt is proven gone."""


@dataclass(frozen=True, slots=True)
class GuardSilent:
    """The guard did not reply within its bound."""


Resolution = (
    GuardDone
    | GuardRunning
    | GuardNever
    | GuardUnknown
    | GuardGone
    | GuardSilent
)


@dataclass(frozen=True, slots=True)
class UseAnswer:
    """Record and return the answer."""

    body: bytes
    minion: str


@dataclass(frozen=True, slots=True)
class KeepClaim:
    """Report ``unknown`` now; a later call may still obtain the answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class MarkUnknown:
    """Record and report ``unknown``."""

    reason: str


ResolutionDecision = UseAnswer | Claim | KeepClaim | MarkUnknown


def decide_on_resolution(
    row: LedgerRow, resolution: Resolution, now: datetime
) -> ResolutionDecision:
    """Return what follows from the guard's word on a claimed attempt.

    Parameters
    ----------
    row : LedgerRow
        The row in state ``claimed``.
    resolution : Resolution
        What the guard said, or that it said nothing.
    now : datetime
        Current time.
    """
    match resolution:
        case GuardDone(body, minion):
            return UseAnswer(body, minion)
        case GuardNever():
            if now - row.claimed_at > NEVER_TRUSTED_FOR:
                return MarkUnknown('guard_memory_expired')
            return Claim(row.attempt + 1)
        case GuardRunning():
            return KeepClaim('still_running')
        case GuardSilent():
            return KeepClaim('guard_silent')
        case GuardGone():
            return MarkUnknown('guard_gone')
        case GuardUnknown(reason):
            return MarkUnknown(reason)


def next_claim(
    request_digest: str,
    attempt: int,
    guard: tuple[str, int],
    now: datetime,
) -> LedgerRow:
    """Return the row of a new claim.

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
