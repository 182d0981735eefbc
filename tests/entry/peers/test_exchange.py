"""Tests of the exchange of digests between entries."""

from types import SimpleNamespace
from unittest.mock import Mock

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.entry.peers.exchange import PeerExchange


async def test_digest_from_the_own_address_is_answered():
    """A predecessor at the same address must not make the handler fail.

    Its last digest can arrive after this entry has taken over the address.
    """
    configuration = Mock()
    configuration.observe_revision.return_value = True
    configuration.log.revision = 7
    exchange = PeerExchange(
        SimpleNamespace(
            link=('127.0.0.1', 4000),
            data_centre='dc',
            entry_id='entry',
            incarnation=2,
        ),
        Mock(),
        Mock(apply=Mock(return_value=1)),
        configuration,
        Mock(),
        SystemClock(),
    )
    reply = await exchange.on_digest(
        Mock(
            link_host='127.0.0.1',
            link_port=4000,
            configuration_revision=9,
            data_centre='dc',
        )
    )
    assert reply.configuration_revision == 7
