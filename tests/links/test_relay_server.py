"""Tests of the responses to relayed calls."""

import msgspec
import pytest

from dragonflynotch.control.clocks import ManualSteadyClock, StoreClock
from dragonflynotch.control.relay_service import RelayService
from dragonflynotch.links.asgi import HttpCall
from dragonflynotch.links.relay_messages import (
    DeliverCall,
    RelayCall,
    RelayResponse,
)
from dragonflynotch.links.relay_server import RelayApi
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import Report, encode_row


@pytest.mark.parametrize(('age_ms', 'is_sent'), [(9000, True), (11_000, False)])
async def test_peer_sends_no_outdated_bounds_on_the_store_time(age_ms, is_sent):
    """Bounds from long before the call counted as new at the guard."""
    clock = ManualSteadyClock(1_000_000)
    store_clock = StoreClock(clock)
    store_clock.observe(5000, clock.now_ms())
    clock.advance(age_ms)
    service = RelayService(
        MemoryRowStore(clock), lambda: True, clock, lambda _: True
    )
    report = encode_row(Report('m', 'planner', True, True, 0, 1))
    body = msgspec.msgpack.encode(RelayCall(DeliverCall(report), 500))
    reply = await RelayApi(service, store_clock)(
        HttpCall('POST', '/relay', {}, {}, body)
    )
    response = msgspec.msgpack.decode(reply.body, type=RelayResponse)
    assert bool(response.earliest_ms) is is_sent
    assert bool(response.latest_ms) is is_sent
