"""Jobs whose queue a version of the configuration lacks or changes.

Guards against the failure of review/7: a version without the queue of a job
ended it for good after one failed run of four.
"""

import dataclasses

import pytest

from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    decode_row,
    encode_row,
)
from tests.workflows.site import DEPLOYMENT, SERVICE, Site, entries

TASK = 'a.0.0.0'
# As large as a worker.
WHOLE = StepSpec(1, 64_000, 1000, 8, 20_000)
POLICY = DEPLOYMENT.queues['normal'].policy(1)


def change_queue(version, **fields):
    """Return a version in which queue ``normal`` has other values."""
    queue = dataclasses.replace(DEPLOYMENT.queues['normal'], **fields)
    queues = {**DEPLOYMENT.queues, 'normal': queue}
    return dataclasses.replace(DEPLOYMENT, version=version, queues=queues)


def without_queue(version, name='normal'):
    queues = {
        queue: known
        for queue, known in DEPLOYMENT.queues.items()
        if queue != name
    }
    return dataclasses.replace(DEPLOYMENT, version=version, queues=queues)


def submit_and_fail(site, failures=1, **fields):
    site.submit('a', **fields)
    site.decide()
    for _ in range(failures):
        site.end(TASK, EndKind.failed)


def takeover(site, deployment, *, policy=POLICY, drops_policy=False):
    """Return the site of the next holder, which finds a configuration.

    Parameters
    ----------
    drops_policy : bool
        Whether the rows of progress are those of an earlier release.
    """
    successor = Site()
    successor.now_ms = site.now_ms
    successor.scheduler.apply_deployment(Deployment(0))
    successor.submit('a', policy=policy)
    for key, row in site.progress.items():
        stored = decode_row(encode_row(row), ProgressRow)
        if drops_policy:
            stored.policy = None
        successor.scheduler.restore_progress(key, stored)
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
        successor.orders[minion, task] = order
    successor.scheduler.apply_deployment(deployment)
    successor.report_all()
    successor.decide()
    return successor


@pytest.fixture
def site():
    return Site()


def test_version_without_the_queue_ends_no_job(site):
    """A job was failed after the first of several attempts."""
    submit_and_fail(site)
    site.scheduler.apply_deployment(without_queue(2))
    decisions = site.decide(500)
    assert 'a' not in decisions.progress
    assert site.ordered_tasks() == [TASK]
    site.scheduler.apply_deployment(dataclasses.replace(DEPLOYMENT, version=3))
    site.end(TASK)
    assert site.progress['a'].state is JobState.completed


def test_missing_queues_are_logged(site):
    """The log must tell which jobs go on by a configuration before."""
    site.submit('a')
    site.scheduler.apply_deployment(without_queue(2))
    site.decide()
    [entry] = entries(site, 'queues_applied')[-1:]
    assert (entry['version'], entry['missing_queues']) == (2, ['normal'])


def test_attempts_are_limited_while_the_queue_is_missing(site):
    """A job without a limit would start for ever."""
    submit_and_fail(site, policy=POLICY)
    site.scheduler.apply_deployment(without_queue(2))
    site.end(TASK, EndKind.failed)
    assert site.progress['a'].state is JobState.failed
    assert not site.ordered_tasks()


def test_next_holder_knows_the_attempts_without_the_queue(site):
    """The holder that remembered the queue may be gone."""
    submit_and_fail(site, policy=POLICY)
    successor = takeover(site, without_queue(2))
    assert successor.ordered_tasks() == [TASK]
    successor.end(TASK, EndKind.failed)
    assert successor.progress['a'].state is JobState.failed


@pytest.mark.parametrize(
    ('max_attempts', 'failures', 'state'),
    [(4, 3, JobState.running), (1, 1, JobState.failed)],
)
def test_newest_version_with_the_queue_decides(
    site, max_attempts, failures, state
):
    """What the queue set at the acceptance may have been changed since."""
    site.scheduler.apply_deployment(change_queue(2, max_attempts=max_attempts))
    submit_and_fail(site, failures, policy=POLICY)
    site.scheduler.apply_deployment(without_queue(3))
    site.decide(500)
    assert site.progress['a'].state is state
    assert takeover(site, without_queue(3)).scheduler.waiting_by_queue() == {}
    successor = takeover(site, without_queue(3))
    row = successor.progress.get('a', site.progress['a'])
    assert row.state is state


def test_older_version_does_not_decide(site):
    """The holder may read a version later than the front that accepts."""
    newer = change_queue(5, max_attempts=4).queues['normal'].policy(5)
    submit_and_fail(site, 3, policy=newer)
    assert site.progress['a'].state is JobState.running


def test_job_of_an_earlier_release_gets_the_values_of_its_queue(site):
    """Its rows have none, and the queue may be removed later."""
    submit_and_fail(site)
    assert site.progress['a'].policy == POLICY
    successor = takeover(site, without_queue(2), policy=None)
    assert successor.ordered_tasks() == [TASK]
    successor.end(TASK, EndKind.failed)
    assert successor.progress['a'].state is JobState.failed


def test_job_with_unknown_attempts_neither_ends_nor_starts(site):
    """Both can be wrong: an end is final, and a start may be one too many."""
    submit_and_fail(site)
    site.end(TASK, EndKind.stopped)
    site.orders.clear()
    missing = without_queue(2)
    successor = takeover(site, missing, policy=None, drops_policy=True)
    successor.decide(2_000)
    assert not successor.ordered_tasks()
    assert successor.scheduler.waiting_by_queue() == {}
    successor.scheduler.apply_deployment(
        dataclasses.replace(DEPLOYMENT, version=3)
    )
    successor.decide(500)
    assert successor.ordered_tasks() == [TASK]


def test_task_without_failures_starts_with_unknown_attempts(site):
    """A first run is allowed by any limit."""
    site.scheduler.apply_deployment(without_queue(2))
    site.submit('a')
    site.decide()
    assert site.ordered_tasks() == [TASK]


def test_urgent_job_stays_urgent_without_its_queue():
    """Its run must not be stopped for a job that is less urgent."""
    site = Site(racks=('r1',))
    urgent = DEPLOYMENT.queues['urgent'].policy(1)
    site.submit('a', 'urgent', WHOLE, policy=urgent)
    site.decide()
    site.scheduler.apply_deployment(without_queue(2, 'urgent'))
    site.submit('b', 'normal', WHOLE, policy=POLICY)
    site.submit('c', 'batch', WHOLE)
    for _ in range(20):
        site.decide(500)
    assert not entries(site, 'room_taken')
    assert site.ordered_tasks() == [TASK]


def test_waiting_urgent_job_takes_room_without_its_queue():
    """A job of priority 0 must not wait behind others meanwhile."""
    site = Site(racks=('r1',))
    site.submit('b', 'batch', WHOLE)
    site.decide()
    site.scheduler.apply_deployment(without_queue(2, 'urgent'))
    urgent = DEPLOYMENT.queues['urgent'].policy(1)
    site.submit('a', 'urgent', WHOLE, policy=urgent)
    site.decide(500)
    assert [entry['job'] for entry in entries(site, 'room_taken')] == ['a']


def test_last_known_service_runs_the_job(site):
    """The queue may have moved to another service since the acceptance."""
    site.submit('a', policy=make_policy(service='gone'))
    site.decide()
    assert site.minion_of(TASK)
    assert site.progress['a'].policy.service == SERVICE


def make_policy(**fields):
    return QueuePolicy(**{'service': SERVICE, 'max_attempts': 2, **fields})


def test_version_that_changes_nothing_writes_nothing(site):
    """A change of the configuration must not rewrite the rows of all jobs."""
    submit_and_fail(site, policy=POLICY)
    for version in range(2, 5):
        site.scheduler.apply_deployment(
            dataclasses.replace(DEPLOYMENT, version=version)
        )
        assert not site.decide().progress
        site.scheduler.apply_deployment(without_queue(version))
        assert not site.decide().progress
