"""Tests of the admission, lending, reclaim and placement of guarantees."""

from datetime import timedelta

import pytest

from dragonflynotch.core.actions import (
    NeverRunnable,
    PrepareMember,
    ReportGuarantee,
    StopMember,
)
from dragonflynotch.core.events import (
    Guarantee,
    GuaranteesChanged,
    MemberStopped,
    QuotasChanged,
    WorkerJoined,
    WorkerLost,
)
from dragonflynotch.core.guarantees import (
    Admitted,
    NotAdmitted,
    admit_guarantees,
)
from dragonflynotch.core.jobs import PriorityClass
from dragonflynotch.core.placement import FragmentationAwarePlacer
from dragonflynotch.core.shapes import Proximity, Shape
from tests.core.driver import SECOND, Driver, make_worker

RACK = [make_worker(number) for number in range(3)]
WHOLE = Shape(8, Proximity.worker)


def guarantee(workspace, accelerators, proximity=Proximity.rack, **options):
    return Guarantee(workspace, Shape(accelerators, proximity), **options)


def with_guarantees(*guarantees, workers=RACK):
    driver = Driver(workers)
    driver.send(GuaranteesChanged(guarantees))
    return driver


def of_type(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]


@pytest.mark.parametrize(
    ('wanted', 'refused'),
    [
        ([(8, 'worker')] * 3, None),
        ([(8, 'worker')] * 4, 3),
        ([(6, 'worker')] * 4, 3),
        ([(24, 'rack'), (1, 'worker')], 1),
        ([(5, 'worker'), (5, 'worker'), (5, 'worker'), (9, 'rack')], None),
        ([(5, 'worker'), (5, 'worker'), (5, 'worker'), (10, 'rack')], 3),
        ([(2, 'worker'), (24, 'adjacent_racks')], 1),
    ],
)
def test_guarantees_are_admitted_as_shapes_not_as_sums(wanted, refused):
    """Guards against admitting guarantees that fit only by their sum."""
    guarantees = [
        guarantee('a', count, Proximity[name]) for count, name in wanted
    ]
    verdict = admit_guarantees(guarantees, RACK, FragmentationAwarePlacer())
    if refused is None:
        assert isinstance(verdict, Admitted)
    else:
        assert verdict == NotAdmitted(guarantees[refused])


@pytest.mark.parametrize(
    ('minutes', 'is_urgent', 'state'),
    [(30, False, 'running'), (31, False, 'waiting'), (30, True, 'waiting')],
)
def test_short_jobs_without_checkpoints_borrow_until_they_are_stopped(
    minutes, is_urgent, state
):
    """Guards against borrowers that lose much work or delay urgent jobs."""
    driver = with_guarantees(guarantee('owner', 16, is_urgent=is_urgent))
    # Holds the accelerators outside of the guarantee.
    driver.submit('other', 8, is_checkpointable=False)
    driver.submit(
        'short',
        8,
        is_checkpointable=False,
        declared_run_time=timedelta(minutes=minutes),
    )
    assert driver.state('short') == state
    driver.submit('own', 16, workspace='owner')
    assert driver.state('own') == 'running'
    assert driver.state('short') == 'waiting'


def test_guaranteed_capacity_is_lent_only_to_checkpointable_jobs():
    """Guards against lending to a long job that cannot be checkpointed."""
    driver = with_guarantees(guarantee('owner', 16))
    driver.submit('other', 8, is_checkpointable=False)
    driver.submit('firm', 8, is_checkpointable=False)
    driver.submit('lent', 8)
    assert driver.state('other') == 'running'
    assert driver.state('firm') == 'waiting'
    assert driver.state('lent') == 'running'


@pytest.mark.parametrize(
    ('changes', 'is_refused'),
    [
        ({}, True),
        ({'is_checkpointable': True}, False),
        ({'declared_run_time': timedelta(minutes=30)}, False),
        ({'workspace': 'owner'}, False),
        ({'accelerators': 4}, False),
    ],
)
def test_job_that_could_run_only_on_guarantees_of_others(changes, is_refused):
    """Guards against accepting a job that can never run."""
    driver = with_guarantees(guarantee('owner', 20))
    options = {'accelerators': 8, 'is_checkpointable': False, **changes}
    driver.submit('firm', **options)
    assert isinstance(driver.answers['firm'], NeverRunnable) is is_refused


def test_owner_reclaims_with_a_checkpoint():
    """Guards against a reclaim that loses work or keeps the owner waiting."""
    driver = with_guarantees(guarantee('owner', 8, Proximity.worker))
    for name in 'abc':
        driver.submit(name, 8, Proximity.worker)
    actions = driver.send()
    driver.submit('mine', 8, Proximity.worker, workspace='owner')
    actions = of_type(driver.actions, StopMember)
    assert len(actions) == 1
    assert actions[0].checkpoint_limit == timedelta(seconds=30)
    assert driver.state('mine') == 'running'


def test_victim_is_the_borrower_that_loses_the_least_work():
    """Guards against stopping a long run in place of a short one."""
    driver = with_guarantees(guarantee('owner', 16, Proximity.rack))
    driver.submit('other', 8, Proximity.worker, is_checkpointable=False)
    driver.submit('long', 8, Proximity.worker)
    driver.advance(timedelta(minutes=4))
    driver.submit('short', 8, Proximity.worker)
    driver.submit('mine', 8, Proximity.worker, workspace='owner')
    stopped = {order.job_id for order in of_type(driver.actions, StopMember)}
    assert stopped <= {'short', 'long'}
    assert len(stopped) == 1


@pytest.mark.parametrize(
    ('is_urgent', 'priority'),
    [(True, PriorityClass.normal), (False, PriorityClass.urgent)],
)
def test_urgent_reclaim_stops_without_a_new_checkpoint(is_urgent, priority):
    """Guards against urgent jobs that wait for a checkpoint."""
    driver = with_guarantees(guarantee('owner', 24, is_urgent=is_urgent))
    driver.submit('lent', 24)
    driver.submit('mine', 24, workspace='owner', priority=priority)
    (first, *_) = of_type(driver.actions, StopMember)
    assert first.checkpoint_limit == timedelta()
    assert driver.state('mine') == 'running'


def test_owner_starts_within_the_bound_when_a_borrower_is_silent():
    """Guards against a reclaim that waits forever for a silent worker."""
    driver = with_guarantees(guarantee('owner', 8, Proximity.worker))
    driver.submit('lent', 24)
    lent = driver.records['lent'].members
    driver.guards.silent.update(member.worker_id for member in lent)
    driver.submit('mine', 8, Proximity.worker, workspace='owner')
    driver.guards.silent.clear()
    explained = driver.partition.waiting(driver.clock.now())
    mine = next(entry for entry in explained if entry.job_id == 'mine')
    assert mine.start_by == driver.clock.now() + timedelta(seconds=55)
    silent = driver.partition.job('lent').members[0].worker_id
    driver.guards.silent.add(silent)
    driver.send(WorkerLost(silent, 'silent'))
    driver.advance(timedelta(seconds=55))
    assert driver.state('mine') == 'running'


def test_claimed_accelerators_go_to_no_other_job():
    """Guards against a third job on accelerators freed for the owner."""
    driver = with_guarantees(guarantee('owner', 24))
    driver.submit('lent', 24)
    driver.is_manual = True
    driver.submit('mine', 24, workspace='owner')
    driver.submit('third', 8)
    for member in driver.records['lent'].members:
        driver.send(MemberStopped('lent', 1, member.worker_id))
    prepared = {order.job_id for order in of_type(driver.outbox, PrepareMember)}
    assert prepared == {'mine'}


def test_loss_and_recovery_of_a_guarantee_are_reported():
    """Guards against a guarantee that is lost without a report."""
    wanted = guarantee('owner', 24)
    driver = with_guarantees(wanted)
    driver.send(WorkerLost('w1', 'silent'))
    driver.send(WorkerJoined(make_worker(7)))
    reports = [
        report.is_honoured
        for report in of_type(driver.actions, ReportGuarantee)
    ]
    assert reports == [True, False, True]


def test_guarantee_moves_to_other_workers_when_its_worker_is_lost():
    """Guards against reporting a loss while other workers are free."""
    driver = with_guarantees(guarantee('owner', 8, Proximity.worker))
    actions = driver.send(WorkerLost('w0', 'silent'))
    actions += driver.send(WorkerLost('w1', 'silent'))
    assert not of_type(actions, ReportGuarantee)
    driver.submit('lent', 8)
    driver.submit('mine', 8, workspace='owner')
    assert driver.state('mine') == 'running'


def test_guarantee_is_placed_beside_firm_jobs():
    """Guards against placing a guarantee on accelerators of firm jobs."""
    driver = Driver(RACK)
    driver.submit('firm', 8, Proximity.worker, is_checkpointable=False)
    driver.send(GuaranteesChanged((guarantee('owner', 16),)))
    driver.submit('mine', 16, workspace='owner')
    assert driver.state('mine') == 'running'
    assert driver.state('firm') == 'running'


def test_quota_limits_running_jobs_of_a_workspace():
    """Guards against a workspace that holds more than its quota."""
    driver = Driver(RACK)
    driver.send(QuotasChanged({'resort': 8}))
    driver.submit('a', 8)
    driver.submit('b', 8)
    driver.submit('c', 8, workspace='desk')
    assert [driver.state(name) for name in 'abc'] == [
        'running',
        'waiting',
        'running',
    ]
    driver.finish('a')
    assert driver.state('b') == 'running'
    driver.advance(SECOND)


def test_guarantees_of_a_large_site_are_placed_once_workers_have_joined():
    """Guards against a placement search at each of thousands of joins."""
    driver = with_guarantees(guarantee('owner', 24), workers=())
    for number in range(600):
        driver.send(WorkerJoined(make_worker(number, number, 4)))
    driver.send(WorkerJoined(make_worker(600, 600, 24)))
    driver.advance(SECOND)
    reports = of_type(driver.actions, ReportGuarantee)
    assert [report.is_honoured for report in reports] == [False, True]


def test_first_stopped_member_does_not_cut_off_the_checkpoints_of_others():
    """Guards against a checkpoint without the parts of some members."""
    driver = with_guarantees(guarantee('owner', 24))
    driver.submit('borrower', 24)
    driver.is_manual = True
    driver.submit('own', 24, workspace='owner')
    assert len(of_type(driver.outbox, StopMember)) == 3
    driver.outbox.clear()
    driver.send(MemberStopped('borrower', 1, 'w0'))
    assert not of_type(driver.outbox, StopMember)
