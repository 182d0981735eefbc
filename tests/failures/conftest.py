"""Cluster shared by the tests of a module, restored after each test."""

import pytest

from tests.cluster import Cluster


@pytest.fixture(scope='module')
def running_cluster(tmp_path_factory):
    cluster = Cluster(tmp_path_factory.mktemp('cluster'), entries=2, guards=2)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def cluster(running_cluster):
    yield running_cluster
    running_cluster.restore()
