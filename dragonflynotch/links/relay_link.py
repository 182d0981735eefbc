"""The row store as reached through a peer, over HTTP."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.relay_peer import (
    EndsHeldError,
    PeerStore,
    SilentPeerError,
)
from dragonflynotch.control.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    RowName,
    RowWrite,
    Snapshot,
    read_pages,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    LinkError,
    NotSentError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.links.relay_messages import (
    RELAY_PATH,
    AcceptedReply,
    ChangesReply,
    CommitCall,
    CommittedReply,
    ConflictReply,
    DeliverCall,
    FeedCall,
    HeldReply,
    HistoryLostReply,
    InvalidReply,
    PageReply,
    ReadCall,
    RelayCall,
    RelayedCall,
    RelayReply,
    RelayResponse,
    UnavailableReply,
)
from dragonflynotch.observability.unreadable import unreadable_entries

__all__ = ('HttpRelayedStore',)

_OK = 200
_MS_PER_S = 1000
# A peer that is suspended or cut off delays a call by this. The store normally
# answers within 10 ms.
_CALL_TIMEOUT = timedelta(milliseconds=600)
# Left for the response of a peer whose own call to the store timed out.
_REPLY_MARGIN = timedelta(milliseconds=100)
_MAX_IDLE_CONNECTIONS = 2
_decoder = msgspec.msgpack.Decoder(RelayResponse)


class HttpRelayedStore(PeerStore):
    """Row store reached through the process at an address.

    Parameters
    ----------
    address : tuple of (str, int)
        Address at which the process serves relayed calls.
    clock : SteadyClock
        Takes the time at which a call is sent.
    store_clock : StoreClock
        Receives bounds on the time of the store.
    """

    def __init__(
        self,
        address: tuple[str, int],
        clock: SteadyClock,
        store_clock: StoreClock,
    ) -> None:
        """Create the client; no connection is opened yet."""
        self._pool = HttpPool(address, max_idle=_MAX_IDLE_CONNECTIONS)
        self._peer = '{}:{}'.format(*address)
        self._clock = clock
        self._store_clock = store_clock

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        return await read_pages(self, table, part, first, last)

    async def read_page(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Page:
        """Return the first rows of ``read`` in one call."""
        reply = await self._read(
            ReadCall(table, part, first, last), _CALL_TIMEOUT
        )
        if isinstance(reply, PageReply):
            return reply.page
        raise self._unavailable('read', reply)

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Write one row if it has its expected version.

        Raises
        ------
        InvalidInputError
            If the call is not a write of one row on condition of its version.
        """
        call = _commit_call(writes, conditions)
        try:
            reply = await self._exchange(call, _CALL_TIMEOUT)
        except NotSentError as error:
            raise self._unavailable('commit', error) from error
        except LinkError as error:
            raise UncertainWriteError(
                f'no answer of the peer: {error}',
                step='commit',
                peer=self._peer,
            ) from error
        match reply:
            case CommittedReply():
                return Committed(reply.version)
            case ConflictReply():
                row = reply.current_row
                return Conflict({writes[0].name: row} if row else {})
            case UnavailableReply():
                raise self._unavailable('commit', reply.reason)
            case InvalidReply():
                raise InvalidInputError('relay', reply.reason, 'a report')
        raise UncertainWriteError(str(reply), step='commit', peer=self._peer)

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return changes after a version; wait up to ``wait`` for the first."""
        wait_ms = int(wait.total_seconds() * _MS_PER_S)
        reply = await self._read(
            FeedCall(table, after, wait_ms), wait + _CALL_TIMEOUT
        )
        if isinstance(reply, ChangesReply):
            return reply.changes
        if isinstance(reply, HistoryLostReply):
            return HistoryLost()
        raise self._unavailable('feed', reply)

    async def deliver_report(self, content: bytes) -> None:
        """Deliver the ends in an encoded report that could not be written."""
        try:
            reply = await self._exchange(DeliverCall(content), _CALL_TIMEOUT)
        except LinkError as error:
            raise SilentPeerError(
                f'no answer of the peer: {error}',
                step='deliver',
                peer=self._peer,
            ) from error
        if isinstance(reply, HeldReply):
            raise EndsHeldError(
                'store_unreachable', step='deliver', peer=self._peer
            )
        if not isinstance(reply, AcceptedReply):
            raise self._unavailable('deliver', reply)

    async def _read(self, call: RelayedCall, timeout: timedelta) -> RelayReply:
        try:
            return await self._exchange(call, timeout)
        except LinkError as error:
            raise self._unavailable('read', error) from error

    async def _exchange(
        self, call: RelayedCall, timeout: timedelta
    ) -> RelayReply:
        budget = timeout - _REPLY_MARGIN
        body = msgspec.msgpack.encode(
            RelayCall(call, int(budget.total_seconds() * _MS_PER_S))
        )
        sent_ms = self._clock.now_ms()
        reply = await self._pool.exchange(
            'POST', RELAY_PATH, body=body, timeout=timeout
        )
        response = decode_untrusted(_decoder.decode, reply.body)
        if reply.status != _OK or isinstance(response, Unreadable):
            unreadable_entries.record(
                'response_unreadable',
                Unreadable(f'status {reply.status}'),
                peer=self._peer,
            )
            raise LinkError(
                f'unexpected response with status {reply.status}',
                step='relay',
                peer=self._peer,
            )
        if response.earliest_ms:
            self._store_clock.observe_bounds(
                response.earliest_ms, response.latest_ms, sent_ms
            )
        return response.reply

    def _unavailable(
        self, step: str, cause: object
    ) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            f'peer cannot relay the call: {cause}', step=step, peer=self._peer
        )


def _commit_call(
    writes: Sequence[RowWrite], conditions: Sequence[tuple[RowName, int]]
) -> CommitCall:
    names = [write.name for write in writes]
    if len(names) != 1 or [name for name, _ in conditions] != names:
        raise InvalidInputError(
            'commit', names, 'one write on condition of its version'
        )
    content = writes[0].content
    if content is None:
        raise InvalidInputError('commit', names, 'a write with content')
    name, version = conditions[0]
    return CommitCall(name.table, name.part, name.key, content, version)
