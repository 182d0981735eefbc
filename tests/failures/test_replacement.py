"""Replacement of every guard and entry, one by one, under load."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.cluster import Cluster


class Load:
    """Callers behind a load balancer that follows /ready."""

    def __init__(self, cluster):
        self.replies = {}
        self._cluster = cluster
        self._ready = [0, 1]
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(13)
        self._pool.submit(self._balance)
        for number in range(12):
            self._pool.submit(self._call, number)

    def finish(self):
        self._stop.set()
        self._pool.shutdown()

    def _balance(self):
        while not self._stop.wait(0.03):
            self._ready = [
                number for number in (0, 1) if self._cluster.is_ready(number)
            ]

    def _call(self, caller):
        choices = random.Random(caller)
        count = 0
        while not self._stop.is_set():
            body = f'caller {caller} request {count}'
            entry = choices.choice(self._ready)
            idempotent = choices.random() < 0.3
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


def test_replacing_every_process_loses_no_request(cluster):
    """Guards against a planned replacement that callers notice."""
    for minion in cluster.minions:
        minion.delay_s = 0.05
    load = Load(cluster)
    for daemon in (*cluster.guards, *cluster.entries):
        daemon.terminate()
        assert daemon.wait() == 0
        cluster.heal()
        for minion in cluster.minions:
            minion.delay_s = 0.05
    load.finish()
    lost = {
        body: reply
        for body, reply in load.replies.items()
        if not reply.body.endswith(f': {body.upper()}'.encode())
    }
    assert not lost
    assert len(load.replies) > 200
    assert set(cluster.runs.values()) == {1}
