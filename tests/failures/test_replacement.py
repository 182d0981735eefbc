"""Rolling restart of all guards and entries under load."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.cluster import Cluster


class LoadGenerator:
    """Concurrent callers that send requests only to ready entries."""

    def __init__(self, cluster):
        self.replies = {}
        self._cluster = cluster
        self._ready_entries = [0, 1]
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(13)
        self._pool.submit(self._poll_readiness)
        for number in range(12):
            self._pool.submit(self._send_requests, number)

    def finish(self):
        self._stop.set()
        self._pool.shutdown()

    def _poll_readiness(self):
        while not self._stop.wait(0.03):
            self._ready_entries = [
                number for number in (0, 1) if self._cluster.is_ready(number)
            ]

    def _send_requests(self, caller):
        generator = random.Random(caller)
        count = 0
        while not self._stop.is_set():
            body = f'caller {caller} request {count}'
            entry = generator.choice(self._ready_entries)
            idempotent = generator.random() < 0.3
            self.replies[body] = self._cluster.send(
                body.encode(), entry=entry, idempotent=idempotent
            )
            count += 1
            time.sleep(0.01)


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path, entries=2, guards=3)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


def test_rolling_restart_loses_no_request(cluster):
    """Detects requests that are lost or run twice in a rolling restart."""
    for minion in cluster.minions:
        minion.delay_s = 0.05
    load_generator = LoadGenerator(cluster)
    for daemon in (*cluster.guards, *cluster.entries):
        daemon.terminate()
        assert daemon.wait() == 0
        cluster.restore()
        for minion in cluster.minions:
            minion.delay_s = 0.05
    load_generator.finish()
    lost = {
        body: reply
        for body, reply in load_generator.replies.items()
        if not reply.body.endswith(f': {body.upper()}'.encode())
    }
    assert not lost
    assert len(load_generator.replies) > 200
    assert set(cluster.runs.values()) == {1}
