"""Messages with which guards have their store calls relayed by a peer."""

from typing import Annotated

import msgspec

from dragonflynotch.control.rows import Changes, Page, Row
from dragonflynotch.records.bounds import Count, TimeMs

__all__ = (
    'RELAY_PATH',
    'AcceptedReply',
    'ChangesReply',
    'CommitCall',
    'CommittedReply',
    'ConflictReply',
    'DeliverCall',
    'FeedCall',
    'HeldReply',
    'HistoryLostReply',
    'InvalidReply',
    'PageReply',
    'RelayCall',
    'RelayReply',
    'RelayResponse',
    'RelayedCall',
    'ReadCall',
    'UnavailableReply',
    'UncertainReply',
)

RELAY_PATH = '/relay'
_NAME_BYTES = 200
_Name = Annotated[str, msgspec.Meta(max_length=_NAME_BYTES)]
# The last key of a range is one character longer than a name.
_Bound = Annotated[str, msgspec.Meta(max_length=_NAME_BYTES + 1)]


class ReadCall(msgspec.Struct, tag='read'):
    """Read the first rows with ``first <= key < last``."""

    table: _Name
    part: _Name
    first: _Bound
    last: _Bound


class CommitCall(msgspec.Struct, tag='commit'):
    """Write a row if it has the expected version."""

    table: _Name
    part: _Name
    key: _Name
    content: bytes
    expected_version: Count


class FeedCall(msgspec.Struct, tag='feed'):
    """Wait up to ``wait_ms`` for changes after a version."""

    table: _Name
    after: Count
    wait_ms: Count


class DeliverCall(msgspec.Struct, tag='deliver'):
    """Take the ends in an encoded report that could not be written."""

    content: bytes


RelayedCall = ReadCall | CommitCall | FeedCall | DeliverCall


class RelayCall(msgspec.Struct):
    """A call and the time that its caller waits for the response."""

    call: RelayedCall
    timeout_ms: Count


class AcceptedReply(msgspec.Struct, tag='accepted'):
    """The ends were passed to the scheduler."""


class PageReply(msgspec.Struct, tag='page'):
    """Rows that were read."""

    page: Page


class HeldReply(msgspec.Struct, tag='held'):
    """The ends were taken, but the store does not respond to the peer."""


class CommittedReply(msgspec.Struct, tag='committed'):
    """The write took effect."""

    version: int


class ConflictReply(msgspec.Struct, tag='conflict'):
    """The row has another version; ``None`` if it does not exist."""

    current_row: Row | None


class ChangesReply(msgspec.Struct, tag='changes'):
    """Changes after the requested version."""

    changes: Changes


class HistoryLostReply(msgspec.Struct, tag='history_lost'):
    """The store no longer has the requested changes."""


class UnavailableReply(msgspec.Struct, tag='unavailable'):
    """Nothing was done."""

    reason: str


class UncertainReply(msgspec.Struct, tag='uncertain'):
    """The write may or may not have taken effect."""

    reason: str


class InvalidReply(msgspec.Struct, tag='invalid'):
    """The call would be refused again if it were repeated."""

    reason: str


RelayReply = (
    AcceptedReply
    | HeldReply
    | PageReply
    | CommittedReply
    | ConflictReply
    | ChangesReply
    | HistoryLostReply
    | UnavailableReply
    | UncertainReply
    | InvalidReply
)


class RelayResponse(msgspec.Struct):
    """A reply with bounds on the time of the store after the call.

    The bounds are 0 if the store has not responded to the peer recently.
    """

    reply: RelayReply
    earliest_ms: TimeMs = 0
    latest_ms: TimeMs = 0
