"""HTTP interface of the guard for orders and the member report."""

import msgspec

from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.guard.tasks import TaskReconciler
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.orders import OrderBatch

__all__ = ('OrderApi',)

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_ROUTES = frozenset((('POST', '/v1/orders'), ('GET', '/v1/report')))
_batch_decoder = msgspec.json.Decoder(OrderBatch)
_JSON = {'Content-Type': 'application/json'}


class OrderApi:
    """Serves ``POST /v1/orders`` and ``GET /v1/report``."""

    def __init__(self, reconciler: TaskReconciler) -> None:
        """Serve orders and the report of ``reconciler``."""
        self._reconciler = reconciler

    def serves(self, call: HttpCall) -> bool:
        """Return whether the call is for a path of this interface."""
        return (call.method, call.path) in _ROUTES

    def answer(self, call: HttpCall) -> Reply:
        """Return the response to a call."""
        if call.method == 'GET':
            return Reply(
                _OK, msgspec.json.encode(self._reconciler.report), _JSON
            )
        batch = decode_untrusted(_batch_decoder.decode, call.body)
        if isinstance(batch, Unreadable):
            problem = msgspec.json.encode({'detail': batch.reason})
            return Reply(_BAD_REQUEST, problem, _JSON)
        reply = self._reconciler.accept(batch)
        status = _CONFLICT if reply.reason else _OK
        return Reply(status, msgspec.json.encode(reply), _JSON)
