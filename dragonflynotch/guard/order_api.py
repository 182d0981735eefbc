"""HTTP interface of the guard for orders and reports."""

import msgspec

from dragonflynotch.guard.tasks import TaskKeeper
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.orders import OrderBatch

__all__ = ('TaskApi',)

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_ROUTES = frozenset((('POST', '/v1/orders'), ('GET', '/v1/report')))
_JSON = {'Content-Type': 'application/json'}


class TaskApi:
    """Serves ``POST /v1/orders`` and ``GET /v1/report``."""

    def __init__(self, keeper: TaskKeeper) -> None:
        """Serve the members of ``keeper``."""
        self._keeper = keeper

    def serves(self, call: HttpCall) -> bool:
        """Whether the call belongs to this interface."""
        return (call.method, call.path) in _ROUTES

    def answer(self, call: HttpCall) -> Reply:
        """Return the answer to a call."""
        if call.method == 'GET':
            return Reply(_OK, msgspec.json.encode(self._keeper.report), _JSON)
        try:
            batch = msgspec.json.decode(call.body, type=OrderBatch)
        except msgspec.DecodeError as error:
            problem = msgspec.json.encode({'detail': str(error)})
            return Reply(_BAD_REQUEST, problem, _JSON)
        reply = self._keeper.accept(batch)
        status = _CONFLICT if reply.reason else _OK
        return Reply(status, msgspec.json.encode(reply), _JSON)
