"""Non-idempotent requests while the table service has faults."""

import pytest

from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.testing.table import TableFault
from tests.processes import wait_until


def test_write_with_lost_answer_is_read_back(cluster):
    """Detects a second run after the answer to a claim write was lost."""
    cluster.table.fault = TableFault.lose_answers
    replies = [cluster.send(b'lost', key='lost') for _ in range(3)]
    assert [reply.status for reply in replies] == [200] * 3
    assert cluster.runs['lost'] == 1


@pytest.mark.parametrize(
    ('first', 'status', 'outcome'),
    [(False, 504, 'unknown'), (True, 503, 'not_run')],
)
def test_outage_is_answered_at_once(cluster, first, status, outcome):
    """Detects a handover without a claim, and a wait for the outage's end."""
    cluster.table.fault = TableFault.down
    body = f'outage-{first}'
    reply = cluster.send(body.encode(), first=first)
    assert (reply.status, reply.outcome) == (status, outcome)
    assert reply.reason == 'ledger_unavailable'
    assert int(reply.headers['Retry-After']) >= 1
    assert reply.elapsed_s < 1
    assert cluster.runs[body] == 0


def test_slow_table_is_answered_within_its_bound(cluster):
    """Detects answers that are delayed by a slow table."""
    cluster.table.delay_s = 5
    reply = cluster.send(b'slow table')
    assert reply.outcome == 'unknown'
    assert reply.elapsed_s < 2
    assert cluster.runs['slow table'] == 0


def test_known_claim_is_reported_in_an_outage(cluster):
    """Detects a "not run" answer for a key that this entry handed over."""
    assert cluster.send(b'known', key='known').status == 200
    cluster.table.fault = TableFault.down
    reply = cluster.send(b'known', key='known', first=True)
    assert reply.outcome == 'unknown'
    assert reply.problem['handed_to'].startswith('lautoka-guard')
    assert reply.problem['handed_at']


def test_idempotent_requests_need_no_table(cluster):
    """Detects a table outage that stops idempotent requests."""
    cluster.table.fault = TableFault.down
    assert cluster.send(idempotent=True).status == 200


@pytest.mark.parametrize(
    ('first', 'expected'),
    [
        (True, ('not_run', 'claim_not_written')),
        # Another entry may have claimed the row after it was read.
        (False, ('unknown', 'ledger_unavailable')),
    ],
)
def test_unreadable_claim_is_never_handed_over(
    cluster, monkeypatch, first, expected
):
    """Detects a run under a claim that may belong to another entry.

    Also detects a "not run" answer for a key that another call may have
    claimed.
    """
    key = f'unread-{first}'
    body = key.encode()
    commit = cluster.table.commit

    async def commit_then_fail(writes, token):
        await commit(writes, token)
        cluster.table.fault = TableFault.down
        raise UncertainWriteError('answer lost', step='commit', peer='table')

    monkeypatch.setattr(cluster.table, 'commit', commit_then_fail)
    reply = cluster.send(body, key=key, first=first)
    assert (reply.outcome, reply.reason) == expected
    monkeypatch.undo()
    cluster.table.fault = TableFault.none
    assert cluster.runs[key] == 0
    assert cluster.send(body, key=key, entry=1).status == 200
    assert cluster.runs[key] == 1


def test_outage_after_the_run_does_not_delay_the_answer(cluster):
    """Detects an answer that waits for the ledger write."""
    for minion in cluster.minions:
        minion.delay_s = 0.3
    future = cluster.submit(b'late-outage', key='late-outage')
    wait_until(lambda: cluster.runs['late-outage'] == 1)
    cluster.table.fault = TableFault.down
    reply = future.result(10)
    assert reply.status == 200
    assert reply.elapsed_s < 1.5
    cluster.table.fault = TableFault.none
    wait_until(lambda: b'"done"' in read_ledger_row(cluster, 'late-outage'))
    assert cluster.send(b'late-outage', key='late-outage').status == 200
    assert cluster.runs['late-outage'] == 1


def test_large_answer_is_replayed_from_the_object_store(cluster):
    """Detects a ledger row that exceeds the row size of the table."""
    body = b'b' * 40_000
    first = cluster.send(body, key='large')
    again = cluster.send(body, key='large', entry=1)
    assert first.body[-40_000:] == again.body[-40_000:] == body.upper()
    assert cluster.runs[body.decode()] == 1
    assert len(read_ledger_row(cluster, 'large')) < 1000


def test_request_on_a_restarted_guard_is_unknown_at_once(cluster):
    """Detects a second run after a restart erased the guard's memory."""
    for minion in cluster.minions:
        minion.delay_s = 0.3
    future = cluster.submit(b'forgotten', key='forgotten')
    wait_until(lambda: cluster.runs['forgotten'] == 1)
    cluster.table.fault = TableFault.down
    assert future.result(10).status == 200
    cluster.entries[0].kill()
    for guard in cluster.guards:
        guard.kill()
    cluster.restore()
    reply = cluster.send(b'forgotten', key='forgotten', entry=1)
    assert (reply.outcome, reply.reason) == ('unknown', 'guard_gone')
    assert reply.elapsed_s < 2
    assert b'"unknown"' in read_ledger_row(cluster, 'forgotten')
    assert cluster.runs['forgotten'] == 1


def test_request_on_a_late_minion_is_unknown_and_not_repeated(cluster):
    """Detects a second run while a late minion still runs the first."""
    for minion in cluster.minions:
        minion.delay_s = 1.5
    reply = cluster.send(b'late', key='late', deadline_ms=500)
    assert reply.outcome == 'unknown'
    assert reply.elapsed_s < 1.2
    for entry in (0, 1):
        again = cluster.send(b'late', key='late', entry=entry)
        assert again.outcome == 'unknown'
    assert cluster.runs['late'] == 1


def read_ledger_row(cluster, key):
    found = cluster.loop.call(cluster.table.read(f'ledger/resort/{key}'))
    return b'' if found is None else found.content
