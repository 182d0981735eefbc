"""Admission of guarantees by their shapes, not by the sum of accelerators."""

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker
from dragonflynotch.entry.requests.admission import TopologyAdmission


def guard(number):
    rack = number // 3
    return GuardInfo(
        guard_id=f'guard-{number}',
        incarnation=1,
        sequence=1,
        data_centre='lautoka',
        address=('127.0.0.1', 1),
        is_ready=True,
        minion=None,
        worker=Worker(f'w{number}', f'rack-{rack}', rack, 8, 64, 1024),
        free_accelerators=8,
        schema_versions=(1, 2),
        heard_at=ManualClock().now(),
    )


def guarantee(accelerators, proximity):
    return Guarantee('resort', Shape(accelerators, proximity))


@pytest.mark.parametrize(
    ('guarantees', 'is_refused'),
    [
        ([guarantee(8, Proximity.worker)] * 4, False),
        # 24 accelerators in the first rack, 8 in the second.
        ([guarantee(16, Proximity.rack)] * 2, True),
        ([guarantee(24, Proximity.rack), guarantee(8, Proximity.rack)], False),
        ([guarantee(32, Proximity.adjacent_racks)], False),
        ([guarantee(5, Proximity.worker)] * 5, True),
    ],
)
def test_guarantees_that_fit_only_as_a_sum_are_refused(guarantees, is_refused):
    """Guards against admitting shapes that fragmentation makes impossible."""
    guards = tuple(map(guard, range(4)))
    admission = TopologyAdmission(lambda: {'lautoka': guards})
    reason = admission.refusal_reason({'lautoka': tuple(guarantees)})
    assert bool(reason) is is_refused


def test_unknown_data_centre_is_refused():
    """Guards against accepting a guarantee where no worker is known."""
    admission = TopologyAdmission(dict)
    wanted = (guarantee(1, Proximity.rack),)
    assert "'nadi'" in admission.refusal_reason({'nadi': wanted})
