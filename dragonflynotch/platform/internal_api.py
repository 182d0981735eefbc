"""Address of a program for metrics and for the calls of other nodes."""

from random import Random

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.relay_directory import RelayDirectory
from dragonflynotch.control.relayed_store import RelayedRowStore
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.links.http_server import CallHandler
from dragonflynotch.links.relay_link import HttpRelayedStore
from dragonflynotch.links.relay_messages import RELAY_PATH
from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.platform.row_store import HttpRowStore

__all__ = ('internal_handler', 'relayed_store')

_METRICS_PATH = '/metrics'
_METRICS_HEADERS = {'Content-Type': 'text/plain; version=0.0.4'}
_OK = 200
_NOT_FOUND = 404


def internal_handler(
    metrics: JobMetrics, relay: CallHandler | None = None
) -> CallHandler:
    """Return the handler for metrics and, if given, for relayed calls."""

    async def serve(call: HttpCall) -> Reply:
        if call.path == _METRICS_PATH:
            return Reply(_OK, metrics.render(), _METRICS_HEADERS)
        if relay is not None and call.path == RELAY_PATH:
            return await relay(call)
        return Reply(_NOT_FOUND)

    return serve


def relayed_store(
    node: str, store: HttpRowStore, clock: SteadyClock
) -> RelayedRowStore:
    """Return the store that a guard reaches directly or through a front."""
    directory = RelayDirectory(
        node,
        store,
        lambda address: HttpRelayedStore(address, clock, store.store_clock),
        clock,
    )
    return RelayedRowStore(store, directory, clock, Random())
