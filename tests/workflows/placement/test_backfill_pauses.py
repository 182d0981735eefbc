"""Time for which idle room is left to a step that takes back its room."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.running_site import MAX_IDLE_MS, RunningSite

WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}


class SlowStopSite(RunningSite):
    """A site on which the runs of a job do not end after a stop."""

    slow_job = ''

    def _end_kind(self, task, run):
        kind = super()._end_kind(task, run)
        if kind is EndKind.stopped and task.startswith(f'{self.slow_job}.'):
            return None
        return kind


def gang(width, estimated_ms, **fields):
    return StepSpec(
        width, **WHOLE, estimated_ms=estimated_ms, is_gang=True, **fields
    )


def test_job_starts_while_other_workers_are_preempted_all_the_time():
    """Guards against backfill that each stop for an urgent job postpones."""
    site = RunningSite(racks=('r1',) * 6 + ('r2',))
    late = StepSpec(1, **WHOLE, estimated_ms=4000, constraint='r1')
    site.submit('late', 'normal', late, run_ms=60_000)
    site.decide()
    site.submit('gang', 'normal', gang(6, 9000, constraint='r1'))
    small = StepSpec(1, 1000, 1000, 4, 1500, constraint='r2')
    for number in range(40):
        site.submit(f'b{number}', 'batch', small, run_ms=3000)
    site.advance(5000)
    job = StepSpec(8, 2800, 7392, 1, 15_200, constraint='r1')
    site.submit('job', 'batch', job)
    urgent = StepSpec(1, 1000, 1000, 4, 300, constraint='r2')

    def submit_urgent():
        if site.now_ms % 500 == 0:
            site.submit(f'u{site.now_ms}', 'urgent', urgent)

    site.advance(4 * MAX_IDLE_MS, submit_urgent)
    assert site.share_in_use() < 0.5
    assert site.has_runs('job')


def test_room_is_not_backfilled_again_while_a_stop_takes_long():
    """Runs were started and stopped every 2 s beside a stop without an end."""
    site = SlowStopSite(racks=('r1',) * 4)
    site.slow_job = 'v2'
    late = StepSpec(1, **WHOLE, estimated_ms=4000)
    site.submit('late', 'normal', late, run_ms=10_000)
    site.decide()
    site.submit('gang', 'normal', gang(4, 9000))
    site.advance(5000)
    for job_id in ('v1', 'v2'):
        site.submit(job_id, 'batch', StepSpec(4, 1000, 1000, 1, 40_000))
    site.advance(15_000)
    assert len(site.starts['v1.0.0.0']) <= 2


def test_job_does_not_wait_for_a_stop_that_never_ends():
    """Backfill paused for 10 s while a run did not end, and then again."""
    site = SlowStopSite(racks=('r1',) * 4)
    site.slow_job = 'stuck'
    late = StepSpec(1, **WHOLE, estimated_ms=4000)
    site.submit('late', 'normal', late, run_ms=10_000)
    site.decide()
    site.submit('gang', 'normal', gang(4, 9000))
    site.advance(5000)
    site.submit('stuck', 'batch', StepSpec(4, 1000, 1000, 1, 40_000))
    site.advance(6000)
    assert site.stops_for('backfill_reclaimed')
    site.submit('job', 'batch', StepSpec(4, 1000, 1000, 1, 40_000))
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')
