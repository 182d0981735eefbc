"""Non-idempotent requests under faults of the table service."""

import pytest

from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.testing.table import TableFault
from tests.processes import wait_until


def test_lost_answers_of_the_table_are_read_back(cluster):
    """Guards against a duplicate after a claim whose answer was lost."""
    cluster.table.fault = TableFault.lose_answers
    replies = [cluster.send(b'lost', key='lost') for _ in range(3)]
    assert [reply.status for reply in replies] == [200] * 3
    assert cluster.runs['lost'] == 1


@pytest.mark.parametrize(
    ('first', 'status', 'outcome'),
    [(False, 504, 'unknown'), (True, 503, 'not_run')],
)
def test_outage_is_answered_at_once(cluster, first, status, outcome):
    """Guards against handing over without a claim, and against waiting."""
    cluster.table.fault = TableFault.down
    body = f'outage-{first}'
    reply = cluster.send(body.encode(), first=first)
    assert (reply.status, reply.outcome) == (status, outcome)
    assert reply.reason == 'ledger_unavailable'
    assert int(reply.headers['Retry-After']) >= 1
    assert reply.elapsed_s < 1
    assert cluster.runs[body] == 0


def test_slow_table_is_answered_within_its_bound(cluster):
    """Guards against answers held back by a table that hangs."""
    cluster.table.delay_s = 5
    reply = cluster.send(b'slow table')
    assert reply.outcome == 'unknown'
    assert reply.elapsed_s < 2
    assert cluster.runs['slow table'] == 0


def test_known_claim_is_named_in_an_outage(cluster):
    """Guards against "not run" for a key that this entry handed over."""
    assert cluster.send(b'known', key='known').status == 200
    cluster.table.fault = TableFault.down
    reply = cluster.send(b'known', key='known', first=True)
    assert reply.outcome == 'unknown'
    assert reply.problem['handed_to'].startswith('lautoka-guard')
    assert reply.problem['handed_at']


def test_idempotent_requests_need_no_table(cluster):
    """Guards against a table outage that stops idempotent requests."""
    cluster.table.fault = TableFault.down
    assert cluster.send(idempotent=True).status == 200


def test_unreadable_claim_is_never_handed_over(cluster, monkeypatch):
    """Guards against a run under a claim that may belong to another entry."""
    commit = cluster.table.commit

    async def commit_then_fail(writes, token):
        await commit(writes, token)
        cluster.table.fault = TableFault.down
        raise UncertainWriteError('lost', step='commit', peer='table')

    monkeypatch.setattr(cluster.table, 'commit', commit_then_fail)
    reply = cluster.send(b'unread', key='unread')
    assert (reply.outcome, reply.reason) == ('not_run', 'claim_not_written')
    monkeypatch.undo()
    cluster.table.fault = TableFault.none
    assert cluster.runs['unread'] == 0
    assert cluster.send(b'unread', key='unread', entry=1).status == 200
    assert cluster.runs['unread'] == 1


def test_outage_after_the_run_does_not_hold_the_answer_back(cluster):
    """Guards against an answer that waits for the ledger."""
    for minion in cluster.minions:
        minion.delay_s = 0.3
    future = cluster.begin(b'late-outage', key='late-outage')
    wait_until(lambda: cluster.runs['late-outage'] == 1)
    cluster.table.fault = TableFault.down
    reply = future.result(10)
    assert reply.status == 200
    assert reply.elapsed_s < 1.5
    cluster.table.fault = TableFault.none
    wait_until(lambda: b'"done"' in row(cluster, 'late-outage'))
    assert cluster.send(b'late-outage', key='late-outage').status == 200
    assert cluster.runs['late-outage'] == 1


def test_large_answer_is_replayed_from_the_object_store(cluster):
    """Guards against a ledger row that exceeds the table's row size."""
    body = b'b' * 40_000
    first = cluster.send(body, key='large')
    again = cluster.send(body, key='large', entry=1)
    assert first.body[-40_000:] == again.body[-40_000:] == body.upper()
    assert cluster.runs[body.decode()] == 1
    assert len(row(cluster, 'large')) < 1000


def test_restarted_guard_without_memory_is_unknown_at_once(cluster):
    """Guards against a second run after a guard lost its memory."""
    for minion in cluster.minions:
        minion.delay_s = 0.3
    future = cluster.begin(b'forgotten', key='forgotten')
    wait_until(lambda: cluster.runs['forgotten'] == 1)
    cluster.table.fault = TableFault.down
    assert future.result(10).status == 200
    cluster.entries[0].kill()
    for guard in cluster.guards:
        guard.kill()
    cluster.heal()
    reply = cluster.send(b'forgotten', key='forgotten', entry=1)
    assert (reply.outcome, reply.reason) == ('unknown', 'guard_gone')
    assert reply.elapsed_s < 2
    assert b'"unknown"' in row(cluster, 'forgotten')
    assert cluster.runs['forgotten'] == 1


def test_late_minion_is_unknown_and_not_run_again(cluster):
    """Guards against a second run while a late minion still works."""
    for minion in cluster.minions:
        minion.delay_s = 1.5
    reply = cluster.send(b'late', key='late', deadline_ms=500)
    assert reply.outcome == 'unknown'
    assert reply.elapsed_s < 1.2
    for entry in (0, 1):
        again = cluster.send(b'late', key='late', entry=entry)
        assert again.outcome == 'unknown'
    assert cluster.runs['late'] == 1


def row(cluster, key):
    found = cluster.loop.call(cluster.table.read(f'ledger/resort/{key}'))
    return b'' if found is None else found.content
