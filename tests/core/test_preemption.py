"""Less important gangs give way if they can be checkpointed."""

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
def test_important_job_takes_the_place_of_a_less_important_one(
    victim, checkpointable, state
):
    """Guards against audits that wait for batches, and against thrashing."""
    driver = Driver(RACK)
    driver.submit(
        'victim', 24, priority=victim, is_checkpointable=checkpointable
    )
    driver.advance(timedelta(minutes=5))
    driver.submit('job', 8, Proximity.worker)
    assert driver.state('job') == state
    if state == 'running':
        assert driver.records['victim'].checkpoint


def test_smallest_sufficient_gang_gives_way():
    """Guards against a large gang that is stopped for a small job."""
    driver = Driver(RACK)
    for name, size in (('small', 8), ('large', 16)):
        driver.submit(name, size, priority=PriorityClass.batch)
    driver.submit('job', 4, Proximity.worker)
    assert driver.state('large') == 'running'
    assert driver.state('job') == 'running'


def test_job_returns_to_its_guarantee_when_that_becomes_idle():
    """Guards against an owner that waits for a stop beside its guarantee."""
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
