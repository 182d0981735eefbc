"""Checkpointable gangs of lower priority are preempted."""

from datetime import timedelta

import pytest

from dragonflynotch.core.events import Guarantee, GuaranteesChanged
from dragonflynotch.core.jobs import PriorityClass
from dragonflynotch.core.shapes import Proximity, Shape
from tests.core.driver import Driver, make_worker

RACK = [make_worker(number) for number in range(3)]


@pytest.mark.parametrize(
    ('victim', 'checkpointable', 'state'),
    [
        (PriorityClass.batch, True, 'running'),
        (PriorityClass.batch, False, 'waiting'),
        (PriorityClass.normal, True, 'waiting'),
    ],
)
def test_job_preempts_checkpointable_gang_of_lower_priority(
    victim, checkpointable, state
):
    """Guards against jobs that wait for gangs of lower priority.

    Gangs of equal priority must not preempt each other in turn.
    """
    driver = Driver(RACK)
    driver.submit(
        'victim', 24, priority=victim, is_checkpointable=checkpointable
    )
    driver.advance(timedelta(minutes=5))
    driver.submit('job', 8, Proximity.worker)
    assert driver.state('job') == state
    if state == 'running':
        assert driver.records['victim'].checkpoint


def test_smallest_sufficient_gang_is_preempted():
    """Guards against preemption of a large gang for a small job."""
    driver = Driver(RACK)
    for name, size in (('small', 8), ('large', 16)):
        driver.submit(name, size, priority=PriorityClass.batch)
    driver.submit('job', 4, Proximity.worker)
    assert driver.state('large') == 'running'
    assert driver.state('job') == 'running'


def test_claim_moves_to_the_guarantee_when_it_becomes_idle():
    """Guards against an owner that waits for a victim to stop.

    Its guarantee became idle after it had claimed accelerators elsewhere.
    """
    driver = Driver(RACK[:2])
    shape = Shape(8, Proximity.worker)
    driver.send(GuaranteesChanged((Guarantee('owner', shape, True),)))
    urgent = {'workspace': 'owner', 'priority': PriorityClass.urgent}
    driver.submit('first', 8, **urgent)
    driver.submit('batch', 8, priority=PriorityClass.batch)
    driver.is_manual = True
    driver.submit('second', 8, **urgent)
    driver.is_manual = False
    driver.finish('first')
    assert driver.state('second') == 'running'
    assert driver.records['second'].members == driver.records['first'].members
