"""Takeovers between the transactions of one write, over random loads."""

import copy

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, JobState
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings
from tests.workflows.running_site import ROUND_MS, RunningSite
from tests.workflows.site import DEPLOYMENT

MAX_RUN_MS = 4000
# Rounds in which jobs are cancelled and the lease is lost.
ROUNDS = 16
# From a cancellation until its runs are ordered to stop, over takeovers.
MAX_STOP_MS = 1500
# From the last takeover until all jobs have ended.
SETTLING_MS = 60_000
STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 4),
    millicores=st.just(1000),
    memory_mb=st.just(1000),
    accelerators=st.integers(1, 4),
    estimated_ms=st.integers(500, MAX_RUN_MS),
    is_gang=st.booleans(),
)
JOBS = st.lists(
    st.tuples(
        st.lists(STEPS, min_size=1, max_size=2),
        # Whether first runs fail.
        st.booleans(),
        # Round in which the job is cancelled, and how many rows are written
        # before the lease is lost in this round.
        st.none() | st.tuples(st.integers(1, ROUNDS), st.integers(0, 6)),
    ),
    min_size=1,
    max_size=6,
)
# Rounds after which the lease is lost, and how many rows were written.
TAKEOVERS = st.lists(
    st.tuples(st.integers(1, ROUNDS), st.integers(0, 6)), min_size=1, max_size=5
)


class TakeoverSite(RunningSite):
    """A site whose scheduler is replaced after only a part of a write."""

    def __init__(self, takeovers):
        self.takeovers = dict(takeovers)
        self.jobs = {}
        self.failing = set()
        # Store time of the cancellation by job.
        self.cancelled = {}
        self.late_stops = []
        # Tasks that had orders on two minions.
        self.overlaps = []
        self.round = 0
        super().__init__(reports_percent=True)

    def submit(self, job_id, queue='normal', *steps, **fields):
        self.jobs[job_id] = (queue, steps)
        super().submit(job_id, queue, *steps, **fields)

    def cancel(self, job_id):
        self.cancelled[job_id] = self.now_ms
        self.scheduler.cancel(job_id)

    def decide(self, advance_ms=0, wall_ms=0):
        self.round += 1
        stored = copy.deepcopy((self.orders, self.progress))
        decisions = super().decide(advance_ms, wall_ms)
        kept = self.takeovers.pop(self.round, None)
        if kept is not None:
            self._replace_scheduler(stored, decisions, kept)
        return decisions

    def _replace_scheduler(self, stored, decisions, kept):
        """Keep the first rows of a write, and load them in a new scheduler."""
        self.orders, self.progress = stored
        rows = [
            *((self.progress, *row) for row in decisions.progress.items()),
            *((self.orders, *row) for row in decisions.orders.items()),
        ]
        for table, key, row in rows[:kept]:
            if row is None:
                table.pop(key, None)
            else:
                table[key] = copy.deepcopy(row)
        self._forget_unwritten_orders()
        self.scheduler = Scheduler(SchedulerSettings())
        self.scheduler.apply_deployment(DEPLOYMENT)
        for job_id, (queue, steps) in self.jobs.items():
            super().submit(job_id, queue, *steps)
        for job_id in self.cancelled:
            self.scheduler.cancel(job_id)
        for job_id, row in self.progress.items():
            self.scheduler.restore_progress(job_id, copy.deepcopy(row))
        for (minion, task), order in self.orders.items():
            self.scheduler.restore_order(minion, task, copy.deepcopy(order))
        self.report_all()
        self.scheduler.remove_unknown_orders()

    def _forget_unwritten_orders(self):
        orders = {
            (task, order.run): order for (_, task), order in self.orders.items()
        }
        self._started = {
            run: at_ms for run, at_ms in self._started.items() if run in orders
        }
        self._stopped_ms = {
            run: at_ms
            for run, at_ms in self._stopped_ms.items()
            if run in orders and orders[run].is_stopped
        }

    def check_runs(self):
        tasks = [task for _, task in self.orders]
        self.overlaps.extend(task for task in tasks if tasks.count(task) > 1)
        self.late_stops.extend(
            task
            for (_, task), order in self.orders.items()
            if not order.is_stopped
            and self.now_ms - self.cancelled.get(task[0], self.now_ms)
            > MAX_STOP_MS
        )

    def _end_kind(self, task, run):
        kind = super()._end_kind(task, run)
        if kind is EndKind.done and run == 1 and task[0] in self.failing:
            return EndKind.failed
        return kind


@settings(
    deadline=None, derandomize=True, phases=[Phase.generate], max_examples=100
)
@given(JOBS, TAKEOVERS)
def test_no_job_is_lost_by_takeovers_amid_writes(jobs, takeovers):
    """A job stayed without a run, or failed, after a write was cut short."""
    cuts = [cancellation for _, _, cancellation in jobs if cancellation]
    site = TakeoverSite(takeovers + cuts)
    cancellations = {}
    for job_id, (steps, fails_first, cancellation) in zip(
        'abcdef', jobs, strict=False
    ):
        if cancellation is not None:
            cancellations.setdefault(cancellation[0], []).append(job_id)
        if fails_first:
            site.failing.add(job_id)
        if len(steps) > 1:
            steps[1] = msgspec.structs.replace(steps[1], after=(0,))
        site.submit(job_id, 'normal', *steps)

    def on_round():
        site.check_runs()
        for job_id in cancellations.get(site.round + 1, ()):
            site.cancel(job_id)

    site.advance(ROUNDS * ROUND_MS + SETTLING_MS, on_round)
    assert not site.overlaps
    assert not site.late_stops
    assert not site.orders
    assert len(site.progress) == len(jobs)
    for job_id, row in site.progress.items():
        expected = {JobState.completed}
        if job_id in site.cancelled:
            expected.add(JobState.cancelled)
        assert row.state in expected
