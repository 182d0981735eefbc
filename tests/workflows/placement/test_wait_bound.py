"""Bound on the wait of jobs beside free room, whatever keeps them waiting."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import RunningTask
from dragonflynotch.workflows.runs.run_activity import RunActivity
from tests.workflows.running_site import MAX_IDLE_MS, ROUND_MS, RunningSite
from tests.workflows.site import Site, entries

WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}
WHOLE_STEP = StepSpec(1, **WHOLE, estimated_ms=60_000)
SMALL_STEP = StepSpec(1, 1000, 1000, 1, 60_000)


class ListingSite(Site):
    """A site whose guards list the runs that have started.

    Tests put the identifiers of tasks that never start in ``unstarted``.
    """

    def __init__(self, *args, **fields):
        self.unstarted = set()
        super().__init__(*args, **fields)

    def report(self, node, **fields):
        minion = self.incarnations[node][0]
        running = [
            RunningTask(name, order.run, '', 10)
            for (ordered_from, name), order in self.orders.items()
            if ordered_from == minion and name not in self.unstarted
        ]
        super().report(node, running=running, **fields)

    def wait(self, duration_ms):
        for _ in range(duration_ms // 250):
            self.decide(advance_ms=250)


def site_with_reserved_room(site):
    """A gang of all workers waits for one run of half of them."""
    site.submit('long', 'normal', StepSpec(1, **WHOLE, estimated_ms=60_000))
    site.decide()
    site.submit(
        'gang',
        'normal',
        StepSpec(4, **WHOLE, estimated_ms=9000, is_gang=True),
    )
    return site


def test_orders_without_a_run_do_not_keep_a_job_waiting():
    """Half of the room was ordered, and less than half of it in use."""
    site = site_with_reserved_room(ListingSite(racks=('r1',) * 4))
    site.submit('stuck', 'urgent', WHOLE_STEP)
    site.unstarted.add('stuck.0.0.0')
    site.wait(500)
    site.submit('job', 'batch', StepSpec(1, 1000, 1000, 1, 120_000))
    site.wait(5000)
    assert 'job.0.0.0' in site.ordered_tasks()


def test_new_leader_does_not_add_to_the_wait_of_a_job():
    """Each takeover began the wait of a job anew."""
    site = site_with_reserved_room(RunningSite(racks=('r1',) * 4))
    site.decide()
    successor = RunningSite(racks=('r1',) * 4)
    successor.submit('long', 'normal', WHOLE_STEP)
    successor.submit(
        'gang',
        'normal',
        StepSpec(4, **WHOLE, estimated_ms=9000, is_gang=True),
    )
    successor.submit('job', 'batch', SMALL_STEP)
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
        successor.orders[minion, task] = order
    successor.now_ms += 2000
    successor.report_all()
    successor.decide()
    assert successor.has_runs('job')


def test_job_waits_where_it_fits_only_once():
    """Room for a single start is left to the step that reserved it."""
    site = RunningSite(racks=('r1', 'r1', 'r1'))
    site.submit('long', 'normal', WHOLE_STEP)
    site.submit(
        'half', 'normal', StepSpec(1, 1000, 1000, 4, 60_000), run_ms=60_000
    )
    site.decide()
    site.submit(
        'gang', 'normal', StepSpec(3, **WHOLE, estimated_ms=9000, is_gang=True)
    )
    site.submit('job', 'batch', WHOLE_STEP)
    site.advance(2 * MAX_IDLE_MS)
    assert not site.has_runs('job')


def test_log_tells_which_preference_kept_a_job_waiting():
    """Operators must see why a job was placed against a preference."""
    site = RunningSite(racks=('r1', 'r1', 'r1', 'r2'))
    site.submit(
        'x',
        'normal',
        StepSpec(1, **WHOLE, estimated_ms=60_000, constraint='r2'),
    )
    site.decide()
    site.submit(
        'job', 'batch', StepSpec(1, 2800, 7392, 1, 15_200, data_rack='r2')
    )
    site.advance(MAX_IDLE_MS)
    [fields] = entries(site, 'wait_ended_by_bound')
    assert (fields['job'], fields['without']) == ('job', 'racks')


def test_room_is_measured_once_for_all_waiting_jobs(monkeypatch):
    """Each job that waited measured all workers, in rounds of many seconds."""
    site = site_with_reserved_room(RunningSite(racks=('r1',) * 4))
    for number in range(30):
        site.submit(f'job{number}', 'batch', SMALL_STEP)
    measured = []
    held_resources = RunActivity.held_resources

    def count(activity, minion_id):
        measured.append(minion_id)
        return held_resources(activity, minion_id)

    site.decide(advance_ms=ROUND_MS)
    monkeypatch.setattr(RunActivity, 'held_resources', count)
    site.decide(advance_ms=ROUND_MS)
    assert 0 < len(measured) <= 3 * len(site.incarnations)
