"""Choice of workers."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.placement.best_fit import choose_gang_workers
from dragonflynotch.workflows.placement.trials import Trials
from tests.workflows.placement.test_step_fit import make_demand, make_pool


def test_choice_for_a_gang_leaves_recent_starts_unchanged():
    """Other steps of the round took a worker that may be tried for a suspect's.

    The set of suspects' workers was extended in place.
    """
    pool = make_pool(2)
    pool.excluded = {'m1': pool.workers.pop('m1')}
    pool.trials = Trials(pool.excluded, {'m1': 1000})
    step = StepSpec(1, 8000, 1000, 1, 1000, is_gang=True)
    choose_gang_workers(pool, make_demand(step, uses_idle_room=True))
    assert pool.recent_starts.suspect_minions == set()
