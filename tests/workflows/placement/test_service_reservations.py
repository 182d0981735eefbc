"""Reservations and backfill of services that share a scheduler."""

import dataclasses

from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows import site as driver
from tests.workflows.running_site import STOP_MS, RunningSite

WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}
OTHER_SERVICE = 'solver'
TWO_SERVICES = dataclasses.replace(
    driver.DEPLOYMENT,
    queues={
        **driver.DEPLOYMENT.queues,
        'other': Queue(
            'other', 'h', '/o/', OTHER_SERVICE, 1, max_attempts=2, stretch=3
        ),
        'other-batch': Queue(
            'other-batch',
            'h',
            '/ob/',
            OTHER_SERVICE,
            2,
            max_attempts=2,
            stretch=3,
        ),
    },
)


class TwoServiceSite(RunningSite):
    """A site whose workers on rack r2 belong to another service."""

    def __init__(self, monkeypatch):
        self._monkeypatch = monkeypatch
        super().__init__(racks=('r1',) * 4 + ('r2',) * 4)
        self.scheduler.apply_deployment(TWO_SERVICES)

    def report(self, node, **fields):
        is_other = self.incarnations[node][1] == 'r2'
        with self._monkeypatch.context() as patch:
            if is_other:
                patch.setattr(driver, 'SERVICE', OTHER_SERVICE)
            super().report(node, **fields)


def gang(width, estimated_ms, **fields):
    return StepSpec(
        width, **WHOLE, estimated_ms=estimated_ms, is_gang=True, **fields
    )


def test_mark_is_kept_while_other_services_wait(monkeypatch):
    """A gang waited for the end of a backfilled run, 30 s after its turn.

    Three steps of another service used up the reservations, so the gang was
    not looked at, and the run lost its mark.
    """
    site = TwoServiceSite(monkeypatch)
    filling = StepSpec(4, **WHOLE, estimated_ms=60_000, max_per_worker=1)
    site.submit('filling', 'normal', filling)
    late = StepSpec(1, **WHOLE, estimated_ms=4000)
    site.submit('late', 'other', late, run_ms=8000)
    site.decide()
    site.submit('gang', 'other', gang(4, 2000))
    site.submit('job', 'other-batch', StepSpec(8, 1000, 1000, 1, 40_000))
    site.advance(4000)
    assert site.has_runs('job')
    for number in range(3):
        site.submit(f'a{number}', 'normal', gang(2, 3500))
    site.advance(4000 + 4 * STOP_MS)
    assert 'gang.0.0.0' in site.starts


def test_steps_of_one_service_reserve_beside_those_of_another(monkeypatch):
    """A gang starved since steps of another service held all reservations."""
    site = TwoServiceSite(monkeypatch)
    filling = StepSpec(4, **WHOLE, estimated_ms=60_000, max_per_worker=1)
    site.submit('filling', 'normal', filling)
    late = StepSpec(1, **WHOLE, estimated_ms=4000)
    site.submit('late', 'other', late, run_ms=8000)
    site.decide()
    site.submit('gang', 'other', gang(4, 2000))
    for number in range(3):
        site.submit(f'a{number}', 'normal', gang(2, 3500))
    site.submit('job', 'other-batch', StepSpec(8, 1000, 1000, 1, 40_000))
    site.advance(8000 + 4 * STOP_MS)
    assert 'gang.0.0.0' in site.starts
