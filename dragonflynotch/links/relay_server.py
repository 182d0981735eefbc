"""HTTP interface through which guards have their store calls relayed."""

import asyncio
from datetime import timedelta

import msgspec

from dragonflynotch.control.clocks import StoreClock
from dragonflynotch.control.relay_peer import EndsHeldError, PeerStore
from dragonflynotch.control.rows import (
    Changes,
    Committed,
    RowName,
    RowWrite,
)
from dragonflynotch.core.errors import (
    DragonflynotchError,
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.relay_messages import (
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
    UncertainReply,
)
from dragonflynotch.observability.unreadable import unreadable_entries

__all__ = ('RelayApi',)

_OK = 200
_BAD_REQUEST = 400
_MS_PER_S = 1000
_MAX_TIMEOUT_MS = 5000
_HEADERS = {'Content-Type': 'application/msgpack'}
_decoder = msgspec.msgpack.Decoder(RelayCall)


class RelayApi:
    """Serves relayed calls.

    Parameters
    ----------
    service : PeerStore
        Carries out the calls that it permits.
    store_clock : StoreClock
        Bounds on the time of the store.
    """

    def __init__(self, service: PeerStore, store_clock: StoreClock) -> None:
        """Create the handler, which passes calls to ``service``."""
        self._service = service
        self._store_clock = store_clock

    async def __call__(self, call: HttpCall) -> Reply:
        """Return the response to a request."""
        relayed = decode_untrusted(_decoder.decode, call.body)
        if isinstance(relayed, Unreadable):
            unreadable_entries.record('relay_call_unreadable', relayed)
            return Reply(_BAD_REQUEST)
        response = RelayResponse(await self._reply(relayed))
        # The receiver cannot tell how old the bounds are.
        if self._store_clock.is_fresh:
            response.earliest_ms = self._store_clock.earliest_ms()
            response.latest_ms = self._store_clock.latest_ms()
        return Reply(_OK, msgspec.msgpack.encode(response), _HEADERS)

    async def _reply(self, relayed: RelayCall) -> RelayReply:
        timeout_ms = min(relayed.timeout_ms, _MAX_TIMEOUT_MS)
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await self._carry_out(relayed.call)
        except DragonflynotchError as error:
            return _failure_reply(error)
        except TimeoutError:
            # The store may have received the call already.
            return UncertainReply(
                f'no response of the store in {timeout_ms} ms'
            )

    async def _carry_out(self, call: RelayedCall) -> RelayReply:
        match call:
            case ReadCall():
                page = await self._service.read_page(
                    call.table, call.part, call.first, call.last
                )
                return PageReply(page)
            case CommitCall():
                return await self._commit(call)
            case DeliverCall():
                await self._service.deliver_report(call.content)
                return AcceptedReply()
            case FeedCall():
                changes = await self._service.changes(
                    call.table, call.after, timedelta(milliseconds=call.wait_ms)
                )
                if isinstance(changes, Changes):
                    return ChangesReply(changes)
                return HistoryLostReply()

    async def _commit(self, call: CommitCall) -> RelayReply:
        name = RowName(call.table, call.part, call.key)
        outcome = await self._service.commit(
            [RowWrite(name, call.content)], [(name, call.expected_version)]
        )
        if isinstance(outcome, Committed):
            return CommittedReply(outcome.version)
        return ConflictReply(outcome.current_rows.get(name))


def _failure_reply(error: DragonflynotchError) -> RelayReply:
    match error:
        case EndsHeldError():
            return HeldReply()
        case PlatformUnavailableError():
            return UnavailableReply(str(error))
        case InvalidInputError():
            return InvalidReply(str(error))
    return UncertainReply(str(error))
