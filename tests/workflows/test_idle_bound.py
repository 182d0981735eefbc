"""Bounds on idle room and on the wait of gangs, over random loads."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.running_site import (
    MAX_IDLE_MS,
    ROUND_MS,
    STOP_MS,
    RunningSite,
)

DURATION_MS = 30_000
MAX_RUN_MS = 16_000
# From the order to stop runs until the gang for which they stop is ordered.
MAX_RECLAIM_MS = 4 * STOP_MS

# Shrinking a failure takes minutes.
BOUNDED = settings(deadline=None, derandomize=True, phases=[Phase.generate])

small_steps = st.builds(
    StepSpec,
    count=st.integers(1, 8),
    millicores=st.sampled_from([1000, 2800, 20_000]),
    memory_mb=st.just(7392),
    accelerators=st.integers(1, 4),
    estimated_ms=st.integers(1000, MAX_RUN_MS),
    is_gang=st.booleans(),
    has_checkpoints=st.booleans(),
)


def arrivals(step, *, queues, most):
    """Time, queue, step and run time of jobs."""
    return st.lists(
        st.tuples(
            st.integers(0, 12).map(lambda seconds: seconds * 1000),
            st.sampled_from(queues),
            step,
            st.integers(500, MAX_RUN_MS),
        ),
        min_size=1,
        max_size=most,
    )


small_arrivals = arrivals(small_steps, queues=['normal', 'batch'], most=6)
small_batch_arrivals = arrivals(small_steps, queues=['batch'], most=8)
# By whether the progress of runs is reported.
sites = st.builds(
    RunningSite,
    racks=st.integers(3, 6).map(lambda workers: ('r1',) * workers),
    reports_percent=st.booleans(),
)


class IdleTimes:
    """Measures how long jobs have nothing running beside idle room."""

    def __init__(self, site):
        self._site = site
        self._steps = {}
        self._idle_ms = {}
        self.longest_ms = 0

    def add(self, job_id, step):
        self._steps[job_id] = step

    def measure(self):
        is_idle = self._site.share_in_use() < 0.5
        for job_id, step in self._steps.items():
            waits = not self._site.has_runs(job_id) and not self._is_done(
                job_id
            )
            if waits and is_idle and self._fits_twice(step):
                self._idle_ms[job_id] = self._idle_ms.get(job_id, 0) + ROUND_MS
            else:
                self._idle_ms[job_id] = 0
            self.longest_ms = max(self.longest_ms, self._idle_ms[job_id])

    def _is_done(self, job_id):
        row = self._site.progress.get(job_id)
        return row is not None and row.state.is_final

    def _fits_twice(self, step):
        wanted = 2 * step.count if step.is_gang else 2
        return (
            sum(
                free.fit_count(step.needs)
                for free in self._site.free_by_minion().values()
            )
            >= wanted
        )


@settings(BOUNDED, max_examples=60)
@given(
    sites,
    small_arrivals,
    # Workers that the wide gang leaves free, and its estimate.
    st.tuples(st.integers(0, 1), st.integers(1000, MAX_RUN_MS)),
    st.integers(1000, 2 * MAX_RUN_MS),
)
def test_no_job_waits_beside_idle_room(site, jobs, wide, late_ms):
    """A job had nothing running while most of the room was free."""
    site.submit(
        'late', 'normal', StepSpec(1, 8000, 8000, 8, 4000), run_ms=late_ms
    )
    site.decide()
    width = len(site.incarnations) - wide[0]
    site.submit(
        'wide', 'normal', StepSpec(width, 8000, 8000, 8, wide[1], is_gang=True)
    )
    idle_times = IdleTimes(site)
    waiting = sorted(enumerate(jobs), key=lambda entry: entry[1][0])
    start_ms = site.now_ms

    def submit_due():
        idle_times.measure()
        while waiting and site.now_ms - start_ms >= waiting[0][1][0]:
            number, (_, queue, step, run_ms) = waiting.pop(0)
            site.submit(f'j{number}', queue, step, run_ms=run_ms)
            idle_times.add(f'j{number}', step)

    site.advance(DURATION_MS, submit_due)
    assert idle_times.longest_ms <= MAX_IDLE_MS


@settings(BOUNDED, max_examples=40)
@given(sites, small_batch_arrivals, st.integers(1, 48))
def test_no_gang_starves_beside_less_urgent_work(site, jobs, width):
    """A gang that fits into the empty workers must start in bounded time.

    Once the runs from before it have ended, only backfilled runs can be in its
    way, and those stop.
    """
    gang = StepSpec(
        min(width, 8 * len(site.incarnations)),
        1000,
        1000,
        1,
        2000,
        is_gang=True,
    )
    start_ms = site.now_ms
    waiting = sorted(enumerate(jobs), key=lambda entry: entry[1][0])

    def submit_due():
        while waiting and site.now_ms - start_ms >= waiting[0][1][0]:
            number, (_, _, step, _) = waiting.pop(0)
            # With a true estimate: shorter runs may use the gang's room.
            site.submit(f'j{number}', 'batch', step)

    site.advance(5000, submit_due)
    gang_ms = site.now_ms
    site.submit('gang', 'normal', gang)
    site.advance(MAX_RUN_MS + MAX_RECLAIM_MS + ROUND_MS, submit_due)
    [first, *_] = site.starts.get('gang.0.0.0', [None])
    assert first is not None
    assert first - gang_ms <= MAX_RUN_MS + MAX_RECLAIM_MS
