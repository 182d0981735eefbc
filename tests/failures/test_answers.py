"""Invalid answers of minions and broken connections between daemons."""

import pytest

from tests.processes import wait_until
from tests.relay import RelayMode

MINION_FAULTS = [
    'crossed',
    'late_and_crossed',
    'duplicated',
    'truncated',
    'half_with_length',
    'garbage',
    'endless',
]
LINK_FAULTS = [
    RelayMode.cut_answers,
    RelayMode.truncate_answers,
    RelayMode.corrupt_answers,
    RelayMode.lose_answers,
]


def send_all(cluster, prefix, idempotent):
    futures = {
        f'{prefix}-{number}': cluster.submit(
            f'{prefix}-{number}'.encode(),
            entry=number % 2,
            idempotent=idempotent,
        )
        for number in range(8)
    }
    return {body: future.result(20) for body, future in futures.items()}


def assert_own_answer_or_none(replies):
    for body, reply in replies.items():
        if reply.status == 200:
            assert reply.body.endswith(f': {body.upper()}'.encode())
        else:
            assert reply.outcome in {'unknown', 'not_run'}


# Must remain the first test: it needs the retry budget of the entries, which
# the other tests exhaust.
@pytest.mark.parametrize('idempotent', [True, False])
def test_silent_connection_is_replaced(cluster, idempotent):
    """Detects a call that waits for its deadline on a silent connection."""
    for minion in cluster.minions:
        minion.delay_s = 0.1
    for future in [cluster.submit(idempotent=True) for _ in range(16)]:
        assert future.result(10).status == 200
    connections_before = sum(
        relay.connections for relay in cluster.guard_relays
    )
    silence_guard_relays(cluster)
    body = f'silent-{idempotent}'
    reply = cluster.send(body.encode(), idempotent=idempotent)
    assert reply.status == 200
    assert reply.elapsed_s < 3
    assert cluster.runs[body] == 1
    connections_after = sum(relay.connections for relay in cluster.guard_relays)
    assert connections_after > connections_before


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('fault', MINION_FAULTS)
def test_wrong_answer_of_a_minion_is_discarded(cluster, fault, idempotent):
    """Detects a truncated answer or one that belongs to another caller."""
    for minion in cluster.minions:
        minion.fault = fault
        minion.delay_s = 0.02
    prefix = f'{fault}-{idempotent}'
    replies = send_all(cluster, prefix, idempotent)
    assert_own_answer_or_none(replies)
    if not idempotent:
        assert all(cluster.runs[body] == 1 for body in replies)
        is_answered = fault == 'duplicated'
        assert all(
            (reply.status == 200) is is_answered for reply in replies.values()
        )


@pytest.mark.parametrize('mode', LINK_FAULTS, ids=lambda mode: mode.value)
def test_broken_link_to_the_guard_is_resolved(cluster, mode):
    """Detects a second run of a request whose answer was lost in transit."""
    for relay in cluster.guard_relays:
        relay.mode = mode
    # Open connections keep their mode; silencing them forces new ones.
    silence_guard_relays(cluster)
    body = f'link-{mode.value}'.encode()
    reply = cluster.send(body, key=body.decode())
    assert reply.status != 200 or reply.body.endswith(body.upper())
    for relay in cluster.guard_relays:
        relay.mode = RelayMode.forward
    silence_guard_relays(cluster)
    wait_until(
        lambda: cluster.send(body, key=body.decode(), entry=1).status == 200
    )
    assert cluster.runs[body.decode()] == 1


def silence_guard_relays(cluster):
    for relay in cluster.guard_relays:
        relay.silence()
