"""Tasks under which minions crash: which are given up, and which are not."""

import pytest

from dragonflynotch.workflows.crash_records import (
    CrashEvidence,
    MinionCrash,
    RunAtCrash,
    TaskCrash,
)
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, JobState
from dragonflynotch.workflows.runs.crash_budget import (
    find_suspects,
    is_given_up,
)
from tests.workflows.site import Site

TASK = 'bad.0.0.0'
# Three crashes, and two more starts of a task under which minions crashed.
MAX_STARTS = 5
OLD_MS = 5_000
WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)


@pytest.fixture
def site():
    return Site()


def crashes_of(site, task):
    job, _, _ = task.partition('.')
    rows = site.progress[job].tasks if job in site.progress else []
    return [
        crash
        for row in rows
        if f'{job}.{row.name}' == task
        for crash in row.crashes
    ]


def take_over(site):
    """Return a site whose scheduler has loaded the rows of another one."""
    successor = Site()
    successor.incarnations = dict(site.incarnations)
    successor.crashes = site.crashes
    successor.orders = dict(site.orders)
    successor.now_ms = site.now_ms
    return successor


def restore(site, successor, *job_ids, step=None):
    for job_id in job_ids:
        successor.submit(job_id, 'normal', *([step] if step else []))
        if job_id in site.progress:
            successor.scheduler.restore_progress(job_id, site.progress[job_id])
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
    successor.progress = dict(site.progress)
    successor.report_all()
    successor.scheduler.remove_unknown_orders()
    return successor


def test_task_that_crashes_each_minion_is_given_up(site):
    """A task must not crash one minion after another without end."""
    site.submit('bad')
    site.decide()
    crashes = 0
    while site.ordered_tasks() and crashes < 2 * MAX_STARTS:
        site.crash(site.node_of(TASK))
        crashes += 1
    assert 2 <= crashes <= MAX_STARTS
    assert site.progress['bad'].state is JobState.failed
    assert site.progress['bad'].reason == (
        f'task 0 of step 0 was on {crashes} minions when they crashed'
    )


def test_only_worker_that_fits_does_not_keep_a_task_alive():
    """Crashes on one worker could be its own fault, but not without end."""
    site = Site(racks=('r1',))
    site.submit('bad', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    for _ in range(2):
        site.crash('n0')
        assert site.ordered_tasks() == [TASK]
    site.crash('n0')
    assert site.progress['bad'].state is JobState.failed


def test_neighbour_that_ran_before_is_not_suspected(site):
    """A run beside the one that crashes a minion must not be given up."""
    site.submit('good', 'normal', StepSpec(1, 1000, 1000, 1, 60_000))
    site.decide()
    node = site.node_of('good.0.0.0')
    site.submit('bad')
    site.decide()
    site.report_running('good.0.0.0')
    site.crash(node, ages={'good.0.0.0': OLD_MS})
    assert not crashes_of(site, 'good.0.0.0')
    assert site.progress['good'].state is JobState.running


def test_crash_with_runs_of_several_jobs_is_weak_evidence():
    """Which of the runs that had just started was the cause is not known."""
    crash = MinionCrash(
        'm0', 0, [RunAtCrash('a.0.0.0', 1, 10), RunAtCrash('b.0.0.0', 1, 10)]
    )
    suspects, evidence = find_suspects(crash)
    assert [run.task for run in suspects] == ['a.0.0.0', 'b.0.0.0']
    assert evidence is CrashEvidence.weak


def test_tasks_of_one_job_are_clear_evidence():
    """A job fails as a whole, so its tasks need not be told apart."""
    crash = MinionCrash(
        'm0',
        0,
        [
            RunAtCrash('a.0.0.0', 1, 10),
            RunAtCrash('a.0.0.1', 1, 10),
            RunAtCrash('b.0.0.0', 1, OLD_MS),
        ],
    )
    suspects, evidence = find_suspects(crash)
    assert [run.task for run in suspects] == ['a.0.0.0', 'a.0.0.1']
    assert evidence is CrashEvidence.strong


def test_run_that_worked_for_long_is_no_suspect():
    """A service that ran for days must not answer for the end of a minion."""
    crash = MinionCrash('m0', 0, [RunAtCrash('a.0.0.0', 1, 86_400_000)])
    assert find_suspects(crash)[0] == []


@pytest.mark.parametrize(
    ('evidence', 'nodes', 'expected'),
    [
        ('sl', 'ab', False),
        ('sll', 'abc', False),
        ('swl', 'abc', False),
        ('llll', 'abcd', False),
        ('lllll', 'abcde', True),
        ('s', 'a', False),
        ('ss', 'aa', False),
        ('ss', 'ab', True),
        ('sw', 'ab', False),
        ('sww', 'abc', True),
        ('wss', 'aaa', True),
        ('sss', 'aaa', True),
        ('ww', 'ab', False),
        ('www', 'abc', False),
        ('wwww', 'abcd', False),
        ('wwwww', 'abcde', True),
    ],
)
@pytest.mark.parametrize('is_long_running', [False, True])
def test_verdict(evidence, nodes, expected, is_long_running):
    """Weak evidence alone must not fail a job before the last crash."""
    kinds = {
        's': CrashEvidence.strong,
        'w': CrashEvidence.weak,
        'l': CrashEvidence.late,
    }
    crashes = [
        TaskCrash(node, f'm{number}', number, 0, kinds[kind])
        for number, (kind, node) in enumerate(zip(evidence, nodes, strict=True))
    ]
    if is_long_running and set(evidence) != {'s'}:
        expected = False
    assert is_given_up(crashes, is_long_running=is_long_running) is expected


@pytest.mark.parametrize('reason', ['guard_lost', 'lease', 'drain'])
def test_other_losses_of_workers_are_not_counted(site, reason):
    """A lost machine or a planned stop is not the fault of its tasks."""
    site.submit('a')
    site.decide()
    for _ in range(2 * MAX_STARTS):
        node = site.node_of('a.0.0.0')
        minion, *rest = site.incarnations[node]
        if reason == 'guard_lost':
            site.scheduler.remove_lost_node(node)
        if reason == 'lease':
            site.report(node, is_live=False)
        site.incarnations[node] = (f'{minion}+', *rest)
        site.decide(3_000)
    assert site.ordered_tasks() == ['a.0.0.0']


def crash_all(site, nodes, ages):
    """Crash several minions at the same time."""
    for node in nodes:
        minion, *rest = site.incarnations[node]
        runs = [
            RunAtCrash(task, order.run, ages.get(task, 10))
            for (ordered_from, task), order in site.orders.items()
            if ordered_from == minion
        ]
        crash = MinionCrash(minion, site.now_ms, runs, is_certain=False)
        site.crashes.setdefault(node, []).append(crash)
        site.incarnations[node] = (f'{minion}+', *rest)
    site.report_all()
    for known in site.crashes.values():
        known[:] = [
            MinionCrash(crash.minion_id, crash.at_ms, crash.runs)
            for crash in known
        ]
    site.decide(3_000)


def test_crash_of_a_rack_is_not_counted(site):
    """Workers that fail together must not use up the budget of their runs.

    One of them had no run that had just started, so none was the cause.
    """
    for number in range(3):
        site.submit(f'j{number}', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    for _ in range(2 * MAX_STARTS):
        old = next(name for _, name in site.orders)
        crash_all(site, ['n0', 'n1', 'n2'], {old: OLD_MS})
    assert len(site.ordered_tasks()) == 3
    assert not any(row.crashes for row in site.progress['j0'].tasks)


def test_crash_of_a_rack_is_not_counted_by_a_new_leader(site):
    """A new leader reads the reports of the rack one after another."""
    jobs = [f'j{number}' for number in range(3)]
    for job_id in jobs:
        site.submit(job_id, 'normal', WHOLE_WORKER_STEP)
    site.decide()
    old = next(name for _, name in site.orders)
    orders = dict(site.orders)
    crash_all(site, ['n0', 'n1', 'n2'], {old: OLD_MS})
    site.orders = orders
    successor = restore(site, take_over(site), *jobs, step=WHOLE_WORKER_STEP)
    successor.decide()
    assert len(successor.ordered_tasks()) == 3
    assert not any(crashes_of(successor, f'{job}.0.0.0') for job in jobs)


def test_tasks_that_crash_their_minions_at_the_same_time_are_counted(site):
    """Several bad tasks often start in one round, on different workers."""
    for number in range(3):
        site.submit(f'j{number}', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    crash_all(site, ['n0', 'n1', 'n2'], {})
    assert all(crashes_of(site, f'j{number}.0.0.0') for number in range(3))


def test_minion_that_may_respond_again_is_not_counted(site):
    """A closed connection alone is no crash."""
    site.submit('bad')
    site.decide()
    node = site.node_of(TASK)
    site.crashes[node] = [
        MinionCrash(
            site.minion_of(TASK),
            site.now_ms,
            [RunAtCrash(TASK, 1, 10)],
            is_certain=False,
        )
    ]
    site.decide(500)
    assert not crashes_of(site, TASK)


def test_repeated_report_of_a_crash_counts_once(site):
    """Guards repeat a crash; it must not use up the budget of a task."""
    site.submit('bad')
    site.decide()
    site.crash(site.node_of(TASK))
    for _ in range(5):
        site.decide(1_500)
    assert len(crashes_of(site, TASK)) == 1


def test_crash_counts_for_a_new_leader(site):
    """A takeover must not start the count anew."""
    site.submit('bad')
    site.decide()
    crashes = 0
    while site.ordered_tasks() and crashes < 2 * MAX_STARTS:
        site.crash(site.node_of(TASK))
        crashes += 1
        site = restore(site, take_over(site), 'bad')
    assert crashes <= 3


def test_crash_during_a_takeover_is_counted(site):
    """A crash that only a new leader sees must be counted."""
    site.submit('bad')
    site.decide()
    minion = site.minion_of(TASK)
    node = site.node_of(TASK)
    successor = take_over(site)
    successor.crashes[node] = [
        MinionCrash(minion, site.now_ms, [RunAtCrash(TASK, 1, 10)])
    ]
    successor.incarnations[node] = ('later', *site.incarnations[node][1:])
    restore(site, successor, 'bad')
    successor.decide()
    assert len(crashes_of(successor, TASK)) == 1


def test_crash_is_counted_if_its_order_was_removed_before(site):
    """A lease may expire before the crash of its minion is reported."""
    site.submit('bad')
    site.decide()
    node = site.node_of(TASK)
    minion = site.minion_of(TASK)
    site.report(node, is_live=False)
    site.decide()
    site.crashes[node] = [
        MinionCrash(minion, site.now_ms, [RunAtCrash(TASK, 1, 10)])
    ]
    site.report(node, is_live=False)
    site.decide()
    assert len(crashes_of(site, TASK)) == 1


def test_gang_members_elsewhere_are_not_suspected(site):
    """Only the members on the crashed minion may have caused the crash."""
    site.submit(
        'gang', 'normal', StepSpec(3, 8000, 8000, 8, 4000, is_gang=True)
    )
    site.decide()
    first = site.node_of('gang.0.0.0')
    site.crash(first)
    assert crashes_of(site, 'gang.0.0.0')
    assert not crashes_of(site, 'gang.0.0.1')
    assert not crashes_of(site, 'gang.0.0.2')


def test_gang_that_loses_other_members_is_not_given_up(site):
    """Crashes under different members don't show that one of them is bad."""
    step = StepSpec(3, 8000, 8000, 8, 4000, is_gang=True)
    site.submit('gang', 'normal', step)
    site.decide()
    for index in range(3):
        site.crash(site.node_of(f'gang.0.0.{index}'), default_age_ms=OLD_MS)
        for task in ('gang.0.0.0', 'gang.0.0.1', 'gang.0.0.2'):
            if task in site.ordered_tasks():
                continue
            if any(name == task for _, name in site.orders):
                site.end(task, EndKind.stopped)
        site.decide(500)
    assert site.progress['gang'].state is JobState.running
    assert len(site.ordered_tasks()) == 3


def test_long_running_task_survives_old_crashes(site):
    """A service whose minions crash now and then must be started again."""
    step = StepSpec(1, 1000, 1000, 1, 2000, is_long_running=True)
    site.submit('service', 'normal', step)
    site.decide()
    for _ in range(2 * MAX_STARTS):
        site.crash(site.node_of('service.0.0.0'), default_age_ms=OLD_MS)
    assert site.ordered_tasks() == ['service.0.0.0']


def test_other_tasks_of_a_failed_job_are_stopped(site):
    """A job that was given up must not use workers any more."""
    site.submit('bad', 'normal', StepSpec(4, 8000, 8000, 4, 60_000))
    site.decide()
    while TASK in site.ordered_tasks():
        site.crash(site.node_of(TASK))
    assert site.progress['bad'].state is JobState.failed
    assert not site.ordered_tasks()
