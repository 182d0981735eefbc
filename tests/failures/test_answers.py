"""Wrong answers of minions and broken connections never reach a caller."""

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
    RelayMode.halve_answers,
    RelayMode.garble_answers,
    RelayMode.lose_answers,
]


def send_all(cluster, prefix, idempotent):
    futures = {
        f'{prefix}-{number}': cluster.begin(
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


# The tests below use up the retry budget of the entries, this one needs it.
@pytest.mark.parametrize('idempotent', [True, False])
def test_silent_connection_is_replaced(cluster, idempotent):
    """Guards against waiting for the deadline on a connection gone silent."""
    for minion in cluster.minions:
        minion.delay_s = 0.1
    for future in [cluster.begin(idempotent=True) for _ in range(16)]:
        assert future.result(10).status == 200
    before = sum(relay.connections for relay in cluster.guard_relays)
    silence_all(cluster)
    body = f'silent-{idempotent}'
    reply = cluster.send(body.encode(), idempotent=idempotent)
    assert reply.status == 200
    assert reply.elapsed_s < 3
    assert cluster.runs[body] == 1
    after = sum(relay.connections for relay in cluster.guard_relays)
    assert after > before


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('fault', MINION_FAULTS)
def test_wrong_answer_of_a_minion_is_discarded(cluster, fault, idempotent):
    """Guards against an answer that belongs to another caller or is cut."""
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
    """Guards against a second run after an answer was lost on the way."""
    for relay in cluster.guard_relays:
        relay.mode = mode
    # Open connections keep the mode that they started with.
    silence_all(cluster)
    body = f'link-{mode.value}'.encode()
    reply = cluster.send(body, key=body.decode())
    assert reply.status != 200 or reply.body.endswith(body.upper())
    for relay in cluster.guard_relays:
        relay.mode = RelayMode.forward
    silence_all(cluster)
    wait_until(
        lambda: cluster.send(body, key=body.decode(), entry=1).status == 200
    )
    assert cluster.runs[body.decode()] == 1


def silence_all(cluster):
    for relay in cluster.guard_relays:
        relay.silence()
