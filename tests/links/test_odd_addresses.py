"""Addresses of other processes that cannot be used."""

from datetime import timedelta

import pytest

from dragonflynotch.control.minions import Heartbeat, NoAnswer
from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.core.routing import Target
from dragonflynotch.links import http11
from dragonflynotch.links.guard_link import HttpGuardLink
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.platform.minion import HttpMinionClient

TIMEOUT = timedelta(seconds=2)
ODD_ADDRESSES = [
    ('127.0.0.1', 70_000),
    ('127.0.0.1', -1),
    ('127.0.0.1', 10**30),
    ('a..b', 80),
    ('x' * 300, 80),
    ('\ud800', 80),
    ('a\0b', 80),
    ('a\r\nb: c', 80),
]


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_odd_address_is_a_failed_connection(address):
    """Odd entry ends the process that connects to its address."""
    with pytest.raises(NotSentError):
        await HttpPool(address).exchange('GET', '/', timeout=TIMEOUT)
    with pytest.raises(NotSentError):
        await http11.exchange(
            address, 'GET', '/', timeout=TIMEOUT, max_body_bytes=10
        )


@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_odd_minion_does_not_respond(address):
    """Odd entry ends the process that connects to its address."""
    client = HttpMinionClient(Heartbeat('m1', 's', address, 1, False))
    assert isinstance(await client.poll(1, 0, 0, 0), NoAnswer)


@pytest.mark.parametrize('minion_id', ['a\nb', '\ud800', 'a\0'])
async def test_odd_identifier_does_not_respond(minion_id):
    """Odd entry ends the process that sends its identifier in a header."""
    client = HttpMinionClient(
        Heartbeat(minion_id, 's', ('127.0.0.1', 1), 1, False)
    )
    assert isinstance(await client.poll(1, 0, 0, 0), NoAnswer)


@pytest.mark.parametrize('address', ODD_ADDRESSES[:-2])
async def test_odd_guard_is_a_failed_connection(address):
    """Odd entry ends the process that connects to its address."""
    target = Target(
        'g1', 1, 1, 'nadi', address, 'm1', 1, 1, True, ManualClock().now()
    )
    link = HttpGuardLink()
    with pytest.raises(LinkError):
        await link.resolve(target, 'a1', is_idempotent=True, timeout=TIMEOUT)
    await link.close()
