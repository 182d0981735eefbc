"""A simulated site whose runs take time, end and stop by themselves."""

from dragonflynotch.workflows.records import EndKind, RunEnd, RunningTask
from dragonflynotch.workflows.resources import Resources
from tests.workflows.site import Site

# Longest time for which a job may have nothing running although there is room
# for its task twice over and under half of the capacity is in use.
MAX_IDLE_MS = 3000
ROUND_MS = 250
# From the round that orders a run to stop until its end is reported.
STOP_MS = 250


class RunningSite(Site):
    """A site on which each run ends after the run time of its job.

    Parameters
    ----------
    reports_percent : bool
        Whether the runs and their progress are reported. If not, only their
        ends are, and the scheduler expects these by the estimates.
    """

    def __init__(self, *args, reports_percent=False, **fields):
        self.reports_percent = reports_percent
        # Run time of the tasks by job, if it differs from their estimate.
        self.run_ms = {}
        self.estimated_ms = {}
        # Store times of the orders of each task that was ordered to run.
        self.starts = {}
        self._started = {}
        self._stopped_ms = {}
        super().__init__(*args, **fields)

    def submit(self, job_id, queue='normal', *steps, run_ms=None, **fields):
        super().submit(job_id, queue, *steps, **fields)
        for number, step in enumerate(steps):
            self.estimated_ms[job_id, number] = step.estimated_ms
        if run_ms is not None:
            self.run_ms[job_id] = run_ms

    def advance(self, total_ms, on_round=None):
        """Decide in rounds; ``on_round`` is called before each."""
        for _ in range(total_ms // ROUND_MS):
            self.now_ms += ROUND_MS
            if on_round is not None:
                on_round()
            self._end_runs()
            self.report_all()
            self.decide()

    def decide(self, advance_ms=0, wall_ms=0):
        decisions = super().decide(advance_ms, wall_ms)
        for (_, task), order in self.orders.items():
            key = (task, order.run)
            if key not in self._started:
                self._started[key] = self.now_ms
                self.starts.setdefault(task, []).append(self.now_ms)
            if order.is_stopped:
                self._stopped_ms.setdefault(key, self.now_ms)
        return decisions

    def report(self, node, **fields):
        minion = self.incarnations[node][0]
        running = [
            RunningTask(task, order.run, '', self._percent(task, order.run))
            for (ordered_from, task), order in self.orders.items()
            if self.reports_percent and ordered_from == minion
        ]
        super().report(node, **{'running': running, **fields})

    def share_in_use(self):
        """Largest share of a resource that orders hold."""
        capacity = sum(
            (
                Resources(64_000, 256_000, accelerators)
                for _, _, accelerators in self.incarnations.values()
            ),
            Resources(),
        )
        used = sum(
            (order.resources for order in self.orders.values()), Resources()
        )
        return used.dominant_share_of(capacity)

    def free_by_minion(self):
        """Resources that no order holds, by minion."""
        free = {
            minion: Resources(64_000, 256_000, accelerators)
            for minion, _, accelerators in self.incarnations.values()
        }
        for (minion, _), order in self.orders.items():
            free[minion] -= order.resources
        return free

    def has_runs(self, job_id):
        """Whether a run of the job is ordered."""
        return any(task.partition('.')[0] == job_id for _, task in self.orders)

    def stops_for(self, reason):
        """Tasks that were ordered to stop for a reason."""
        return [
            entry.fields['task']
            for entry in self.log_entries
            if entry.event == 'stop_ordered'
            and entry.fields['reason'] == reason
        ]

    def _duration_ms(self, task):
        job, _, step, _ = task.split('.')
        return self.run_ms.get(job, self.estimated_ms[job, int(step)])

    def _percent(self, task, run):
        elapsed_ms = self.now_ms - self._started[task, run]
        return min(99, 100 * elapsed_ms // self._duration_ms(task))

    def _end_runs(self):
        nodes = {known[0]: node for node, known in self.incarnations.items()}
        for (minion, task), order in list(self.orders.items()):
            kind = self._end_kind(task, order.run)
            ends = self.ends.setdefault(nodes[minion], [])
            if kind is not None:
                ends.append(RunEnd(len(ends) + 1, task, order.run, kind, ''))

    def _end_kind(self, task, run):
        key = (task, run)
        if self.now_ms - self._started[key] >= self._duration_ms(task):
            return EndKind.done
        if self.now_ms - self._stopped_ms.get(key, self.now_ms) >= STOP_MS:
            return EndKind.stopped
        return None
