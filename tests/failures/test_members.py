"""Guards and entries that stop, hang, fail or receive malformed input."""

import socket
import time
from concurrent.futures import wait
from functools import partial

import httpx
import pytest

from dragonflynotch.core.requests import content_digest
from dragonflynotch.testing.table import TableFault
from tests.processes import wait_until


@pytest.mark.parametrize('fault', [TableFault.none, TableFault.down])
def test_silent_guard_gets_no_new_work_after_3_s(cluster, fault):
    """Detects requests that are sent to a guard that no longer responds."""
    cluster.table.fault = fault
    cluster.guards[0].suspend()
    time.sleep(3)
    request_bytes_before = cluster.guard_relays[0].request_bytes
    replies = [cluster.send(idempotent=True) for _ in range(20)]
    assert {reply.status for reply in replies} == {200}
    assert cluster.guard_relays[0].request_bytes == request_bytes_before


@pytest.mark.parametrize('method', ['terminate', 'drain'])
def test_planned_stop_of_a_guard_aborts_no_request(cluster, method):
    """Detects requests in flight that are aborted by a planned stop."""
    for minion in cluster.minions:
        minion.delay_s = 0.7
    futures = [cluster.submit(entry=number % 2) for number in range(10)]
    wait_until(lambda: all(minion.runs for minion in cluster.minions))
    if method == 'terminate':
        cluster.guards[0].terminate()
    else:
        address = cluster.plan.guards[0].listen
        assert httpx.post(f'{address.url}/v1/drain').status_code == 202
    later = [cluster.submit(entry=number % 2) for number in range(4)]
    done, _ = wait([*futures, *later], 15)
    assert {future.result().status for future in done} == {200}
    assert cluster.guards[0].wait() == 0


def test_planned_stop_of_an_entry_aborts_no_request(cluster):
    """Detects requests that are lost when an entry is terminated."""
    for minion in cluster.minions:
        minion.delay_s = 0.6
    url = cluster.plan.entries[1].callers.url
    futures = [cluster.submit(entry=1) for _ in range(6)]
    wait_until(lambda: sum(len(minion.runs) for minion in cluster.minions) >= 6)
    cluster.entries[1].terminate()
    wait_until(lambda: httpx.get(f'{url}/ready').status_code == 503)
    during_notice = cluster.send(entry=1)
    assert during_notice.status == 200
    assert during_notice.headers['Connection'] == 'close'
    assert {future.result(10).status for future in futures} == {200}
    assert cluster.entries[1].wait() == 0


def test_failing_minion_is_ejected_and_readmitted(cluster):
    """Detects a minion that gets more requests because it fails quickly."""
    cluster.minions[0].fault = 'failing'
    replies = [cluster.send(idempotent=True) for _ in range(60)]
    assert {reply.status for reply in replies} == {200}
    failed = sum(cluster.minions[0].runs.values())
    more = [cluster.send(entry=0) for _ in range(20)]
    assert {reply.status for reply in more} == {200}
    assert sum(cluster.minions[0].runs.values()) <= failed + 1
    cluster.minions[0].fault = ''
    cluster.minions[0].runs.clear()

    def is_readmitted():
        cluster.send(idempotent=True)
        return sum(cluster.minions[0].runs.values()) > 5

    wait_until(is_readmitted, limit_s=8)


BAD_REQUESTS = {
    'garbage': b'\x00\xff\x01' * 1000,
    'endless header': b'GET / HTTP/1.1\r\nX: ' + b'x' * 300_000,
    'negative length': (
        b'POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n'
    ),
    'declared too long': (
        b'POST /v1/requests HTTP/1.1\r\nHost: x\r\n'
        b'Content-Length: 99999999999\r\n\r\n'
    ),
    'bad chunk': (
        b'POST /v1/requests HTTP/1.1\r\nHost: x\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nZZZ\r\n'
    ),
    'huge number': (
        b'POST /v1/requests HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\n'
        b'Attempt: a\r\nGuard-Incarnation: 1\r\nContent-Length: 0\r\n'
        b'Request-Deadline-Ms: 99999999999999999999\r\n'
        b'Request-Expires-At-Ms: 99999999999999999999\r\n\r\n'
    ),
    'bad resolve': (
        b'POST /v1/requests/%ff%00/resolve HTTP/1.1\r\nHost: x\r\n\r\n'
    ),
}


@pytest.mark.parametrize('name', BAD_REQUESTS)
def test_malformed_input_stops_no_daemon(cluster, name):
    """Detects a daemon that exits on malformed input of one client."""
    addresses = [
        cluster.plan.entries[0].callers.host_and_port,
        cluster.plan.entries[0].operators.host_and_port,
        cluster.plan.guards[0].listen.host_and_port,
    ]
    for address in addresses:
        with socket.create_connection(address, 2) as connection:
            connection.settimeout(0.3)
            try:
                connection.sendall(BAD_REQUESTS[name])
                connection.recv(4096)
            except OSError:
                continue
    announcements = cluster.plan.entries[0].announcements.host_and_port
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.sendto(BAD_REQUESTS[name][:60_000], announcements)
    assert cluster.send().status == 200
    assert cluster.entries[0].is_running
    assert cluster.guards[0].is_running


@pytest.mark.parametrize('is_declared', [True, False])
def test_oversized_body_is_refused_before_it_is_read(cluster, is_declared):
    """Detects an entry that buffers a body of unlimited size."""
    head = [
        'POST /v1/workspaces/resort/requests HTTP/1.1',
        'Host: x',
        'Authorization: Bearer resort-token',
        'Idempotency-Key: large',
        'Content-Length: 500000000'
        if is_declared
        else 'Transfer-Encoding: chunked',
    ]
    address = cluster.plan.entries[0].callers.host_and_port
    with socket.create_connection(address, 2) as connection:
        connection.sendall('\r\n'.join([*head, '', '']).encode())
        chunk = b'x' * 65_536
        for _ in range(0 if is_declared else 17):
            connection.sendall(b'10000\r\n' + chunk + b'\r\n')
        answer = connection.recv(4096)
    assert answer.startswith(b'HTTP/1.1 413')
    assert b'application/problem+json' in answer


def test_drain_is_announced_and_enforced_at_once(cluster):
    """Detects a drain that takes effect only at the next announcement."""
    for minion in cluster.minions:
        minion.delay_s = 1.0
    for number in range(2):
        guard = cluster.plan.guards[number]
        incarnation = next(
            member['incarnation']
            for member in cluster.members()
            if member['guard'] == guard.guard_id
        )
        in_flight = [cluster.submit() for _ in range(6)]
        wait_until(lambda: all(minion.runs for minion in cluster.minions))
        httpx.post(f'{guard.listen.url}/v1/drain')
        wait_until(partial(is_draining, cluster, guard), limit_s=0.2)
        refused = httpx.post(
            f'{guard.listen.url}/v1/requests',
            headers={
                'Request-Id': 'r',
                'Attempt': 'a',
                'Guard-Incarnation': str(incarnation),
                'Request-Deadline-Ms': '1000',
                'Request-Expires-At-Ms': str(int(time.time() * 1000)),
                'Content-Digest': content_digest(b''),
            },
        )
        assert refused.json() == {'outcome': 'refused', 'reason': 'draining'}
        assert {future.result(10).status for future in in_flight} == {200}
        assert cluster.guards[number].wait() == 0
        cluster.restore()
        for minion in cluster.minions:
            minion.delay_s = 1.0
            minion.runs.clear()


def is_draining(cluster, guard):
    return any(
        member['guard'] == guard.guard_id and not member['is_ready']
        for member in cluster.members()
    )
