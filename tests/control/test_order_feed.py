"""Tests of the orders that a guard follows."""

import asyncio

import pytest

from dragonflynotch.control.order_feed import OrderFeed
from dragonflynotch.control.rows import (
    ORDER_TABLES,
    RowWrite,
    order_row,
    orders_table,
)
from dragonflynotch.workflows.records import Order, encode_row

ORDER = Order('text', 1, 0)
OTHER = next(
    name
    for name in map(str, range(100))
    if orders_table(name) != orders_table('m')
)
SAME_TABLE = next(
    name
    for name in map(str, range(100))
    if orders_table(name) == orders_table('m')
)


@pytest.fixture
async def feed(store, clock):
    changed = []
    feed = OrderFeed(
        store, clock, lambda *change: changed.append(change), lambda: None
    )
    feed.changed = changed
    running = asyncio.create_task(feed.run())
    yield feed
    running.cancel()


async def put(store, minion_id, order=ORDER):
    content = None if order is None else encode_row(order)
    await store.commit([RowWrite(order_row(minion_id, 'j.0.0.0'), content)], [])
    await asyncio.sleep(0.05)


async def test_changes_for_other_minions_cost_no_call(store, feed):
    """Each guard followed all orders: calls grew with guards times orders."""
    feed.follow('m')
    await asyncio.sleep(0.05)
    call_count = store.call_count
    for _ in range(10):
        await put(store, OTHER)
    # Each write is a call of its own.
    assert store.call_count == call_count + 10
    await put(store, 'm')
    assert store.call_count > call_count + 11
    assert feed.changed == [('m', 'j.0.0.0', ORDER)]


async def test_minions_may_share_a_table(store, feed):
    """Orders of another minion in the table must not be taken for one's own."""
    feed.follow('m')
    await put(store, SAME_TABLE)
    assert not feed.orders_of('m')
    assert list(feed.orders_of(SAME_TABLE)) == ['j.0.0.0']


async def test_orders_of_a_new_minion_are_unknown_until_read(store, feed):
    """An end must not be forgotten because its order was not read yet.

    The minion of the next incarnation may have its orders in a table that the
    guard has not followed so far.
    """
    feed.follow('m')
    await put(store, OTHER)
    assert feed.is_loaded('m')
    assert not feed.may_have_orders('m')
    assert not feed.is_loaded(OTHER)
    assert feed.may_have_orders(OTHER)
    feed.follow(OTHER)
    await asyncio.sleep(0.05)
    assert feed.is_loaded(OTHER)
    assert list(feed.orders_of(OTHER)) == ['j.0.0.0']
    await put(store, OTHER, None)
    assert not feed.may_have_orders(OTHER)


def test_orders_are_spread_over_the_tables():
    """One crowded table would bring most changes to most guards."""
    minions = [f'i-{number:010x}' for number in range(1600)]
    counts = [
        sum(orders_table(minion) == table for minion in minions)
        for table in ORDER_TABLES
    ]
    assert max(counts) < 2 * min(counts)
