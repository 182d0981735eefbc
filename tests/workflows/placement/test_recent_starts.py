"""Starts of suspected tasks are kept apart from other starts."""

import random

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, JobState
from tests.workflows.site import Site

# Three crashes, and two more starts of a task under which minions crashed.
MAX_STARTS = 5
SMALL_STEP = StepSpec(1, 1000, 1000, 1, 60_000)


@pytest.fixture
def site():
    return Site()


def suspect(site, job_id, step=SMALL_STEP):
    """Submit a job whose task was on a minion that crashed."""
    site.submit(job_id, 'normal', step)
    site.decide()
    node = site.node_of(f'{job_id}.0.0.0')
    site.crash(node)
    return node


def test_suspect_is_started_on_another_worker(site):
    """A second crash on the same worker would not show what caused it."""
    node = suspect(site, 'bad')
    assert site.node_of('bad.0.0.0') != node


def test_suspect_is_started_where_fewest_runs_would_be_lost(site):
    """A run that may crash its minion is not packed beside other runs."""
    site.submit('good', 'normal', SMALL_STEP)
    site.decide(2_000)
    neighbour = site.node_of('good.0.0.0')
    suspect(site, 'bad', StepSpec(1, 1000, 1000, 7, 60_000))
    assert site.node_of('bad.0.0.0') != neighbour


def test_other_job_does_not_start_beside_a_suspect(site):
    """A healthy task must not become a suspect by its neighbour."""
    suspect(site, 'bad')
    site.submit('good')
    site.decide()
    assert site.node_of('good.0.0.0') != site.node_of('bad.0.0.0')


def test_worker_is_used_again_soon_after_the_start_of_a_suspect():
    """Work must not wait for as long as a suspected task runs."""
    site = Site(racks=('r1',))
    suspect(site, 'bad')
    site.submit('good')
    site.decide()
    assert site.ordered_tasks() == ['bad.0.0.0']
    site.decide(2_000)
    assert site.ordered_tasks() == ['bad.0.0.0', 'good.0.0.0']


def test_guaranteed_work_does_not_wait_for_a_suspect():
    """Work within its guarantee has a bound on its start."""
    site = Site(racks=('r1',))
    suspect(site, 'bad')
    site.submit('urgent', 'urgent')
    site.decide()
    assert 'urgent.0.0.0' in site.ordered_tasks()


def test_suspect_waits_for_a_worker_without_recent_starts():
    """Two starts at a time leave open which one crashed the minion."""
    site = Site(racks=('r1',))
    site.submit('bad')
    site.submit('other')
    site.decide()
    site.crash('n0', restart_ms=100)
    assert len(site.ordered_tasks()) == 1
    site.decide(2_000)
    assert len(site.ordered_tasks()) == 2


def test_suspect_does_not_wait_without_end():
    """A worker that starts runs all the time must not starve a suspect."""
    site = Site(racks=('r1',))
    suspect(site, 'bad', StepSpec(1, 1000, 1000, 1, 60_000))
    site.end('bad.0.0.0', EndKind.stopped)
    for number in range(30):
        site.submit(f'new{number}', 'urgent', StepSpec(1, 10, 10, 0, 60_000))
        site.decide(500)
    assert 'bad.0.0.0' in site.ordered_tasks()


def test_suspected_gang_starts_on_workers_without_recent_starts(site):
    """A gang must not share the blame with runs that start beside it."""
    gang = StepSpec(2, 1000, 1000, 4, 60_000, is_gang=True)
    suspect(site, 'gang', gang)
    site.submit('other', 'urgent')
    for task in ('gang.0.0.0', 'gang.0.0.1'):
        if any(name == task for _, name in site.orders):
            site.end(task, EndKind.stopped)
    site.decide(100)
    other = site.node_of('other.0.0.0')
    assert other not in {
        site.node_of(task) for task in ('gang.0.0.0', 'gang.0.0.1')
    }


@pytest.mark.parametrize('seed', range(20))
def test_many_crashing_tasks_beside_healthy_ones(seed):
    """All crashing tasks are given up, and nothing healthy is.

    Replays a burst of jobs of which a third crash their minions, with some
    crashes that no task caused.
    """
    rng = random.Random(seed)
    site = Site(racks=('r1', 'r1', 'r2', 'r2', 'r3', 'r3'))
    bad = set()
    for number in range(24):
        job_id = f'j{number}'
        step = StepSpec(rng.choice((1, 2, 4)), 4000, 4000, 2, 4000)
        site.submit(job_id, rng.choice(('urgent', 'normal', 'batch')), step)
        if rng.random() < 0.33:
            bad.add(f'{job_id}.0.0.0')
    starts = dict.fromkeys(bad, 0)
    started_ms = {}
    for _ in range(400):
        site.decide(500)
        if _run_for_a_round(site, rng, bad, starts, started_ms):
            continue
        if not site.ordered_tasks():
            break
    assert max(starts.values(), default=0) <= MAX_STARTS
    states = {job: row.state for job, row in site.progress.items()}
    failed = {job for job, state in states.items() if state is JobState.failed}
    assert failed == {task.partition('.')[0] for task in bad}
    assert set(states.values()) <= {JobState.failed, JobState.completed}


def _run_for_a_round(site, rng, bad, starts, started_ms):
    """Crash and end runs as minions would; return whether any crashed."""
    crashing = []
    for (minion, task), order in list(site.orders.items()):
        key = (task, order.run)
        if key not in started_ms and not order.is_stopped:
            started_ms[key] = site.now_ms
            if task in bad:
                starts[task] += 1
                crashing.append(minion)
    if rng.random() < 0.03 and site.orders:
        crashing.append(rng.choice([minion for minion, _ in site.orders]))
    nodes = {known[0]: node for node, known in site.incarnations.items()}
    for minion in dict.fromkeys(crashing):
        ages = {
            task: (
                site.now_ms - started_ms[task, order.run]
                if (task, order.run) in started_ms
                else None
            )
            for (ordered_from, task), order in site.orders.items()
            if ordered_from == minion
        }
        site.crash(nodes[minion], ages=ages, restart_ms=100)
    for (_, task), order in list(site.orders.items()):
        age_ms = site.now_ms - started_ms.get((task, order.run), site.now_ms)
        if order.is_stopped:
            site.end(task, EndKind.stopped)
        elif age_ms >= 4_000 and task not in bad:
            site.end(task)
    return bool(crashing)
