"""One deployment for each module; every test leaves it healed."""

import pytest

from tests.cluster import Cluster


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    cluster = Cluster(tmp_path_factory.mktemp('cluster'), entries=2, guards=2)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def cluster(running):
    yield running
    running.heal()
