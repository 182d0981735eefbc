"""A simulated site with a scheduler and a few workers, without I/O."""

from dragonflynotch.workflows.crash_records import MinionCrash, RunAtCrash
from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.records import (
    EndKind,
    Report,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings

SERVICE = 'planner'
DEPLOYMENT = Deployment(
    1,
    queues={
        'urgent': Queue(
            'urgent', 'h', '/u/', SERVICE, 0, max_attempts=2, stretch=1.5
        ),
        'normal': Queue(
            'normal', 'h', '/n/', SERVICE, 1, max_attempts=2, stretch=3
        ),
        'batch': Queue(
            'batch', 'h', '/b/', SERVICE, 2, max_attempts=2, stretch=3
        ),
    },
    workspaces={'team': Workspace('team', ('key',), 8)},
    workspace_by_key={'key': 'team'},
)


def entries(site, event):
    """Return the fields of all log entries of an event."""
    return [entry.fields for entry in site.log_entries if entry.event == event]


class Site:
    """A scheduler with workers whose time, reports and decisions tests control.

    Node ``n0`` runs incarnation ``m0``, and so on. Decisions are applied to
    ``orders`` and ``progress`` as if they had been stored.
    """

    def __init__(
        self,
        racks=('r1', 'r1', 'r2'),
        accelerators=8,
        data_centres=(),
        settings=None,
    ) -> None:
        self.scheduler = Scheduler(settings or SchedulerSettings())
        self.scheduler.apply_deployment(DEPLOYMENT)
        self.now_ms = 10_000
        self.orders = {}
        self.progress = {}
        self.log_entries = []
        self.ends = {}
        self.rejected = {}
        self.incarnations = {}
        # Capacities of nodes that differ from the usual one.
        self.capacities = {}
        self.crashes = {}
        self.data_centres = {
            f'n{number}': name for number, name in enumerate(data_centres)
        }
        for number, rack in enumerate(racks):
            node = f'n{number}'
            self.incarnations[node] = (f'm{number}', rack, accelerators)
        self.report_all()

    def report(
        self, node, *, running=(), is_ready=True, is_live=True, **fields
    ):
        minion, rack, accelerators = self.incarnations[node]
        self.scheduler.apply_report(
            node,
            Report(
                minion_id=minion,
                service=SERVICE,
                is_ready=is_ready,
                is_live=is_live,
                authority_end_ms=self.now_ms + 15_000,
                token=1,
                labels=('a', rack),
                rack=rack,
                capacity=self.capacities.get(
                    node, (64_000, 256_000, accelerators)
                ),
                running=list(running),
                ended=self.ends.get(node, []),
                rejected=self.rejected.get(node, []),
                data_centre=self.data_centres.get(node, ''),
                crashes=self.crashes.get(node, []),
                **fields,
            ),
            1,
            self.now_ms,
        )

    def report_running(self, *tasks, **fields):
        """Report that the minion of these tasks has begun their runs."""
        [minion] = {self.minion_of(task) for task in tasks}
        self.report(
            self.node_of(tasks[0]),
            running=[
                RunningTask(task, self.orders[minion, task].run, '', 1)
                for task in tasks
            ],
            **fields,
        )

    def report_all(self):
        for node in self.incarnations:
            self.report(node)

    def submit(self, job_id, queue='normal', *steps, **fields):
        self.scheduler.put_job(
            job_id,
            JobSpec(
                queue=queue,
                workspace='team',
                service=SERVICE,
                payload='text',
                steps=steps or (StepSpec(1, 1000, 1000, 1, 2000),),
                accepted_ms=self.now_ms,
                **fields,
            ),
        )

    def decide(self, advance_ms=0, wall_ms=0):
        self.now_ms += advance_ms
        if advance_ms:
            self.report_all()
        decisions = self.scheduler.decide(self.now_ms, wall_ms)
        for key, order in decisions.orders.items():
            if order is None:
                self.orders.pop(key, None)
            else:
                self.orders[key] = order
        self.progress.update(decisions.progress)
        self.log_entries.extend(decisions.log_entries)
        return decisions

    def end(self, task, kind=EndKind.done, checkpoint=''):
        """Report the end of the ordered run of a task, then decide."""
        minion, order = next(
            (minion, order)
            for (minion, name), order in self.orders.items()
            if name == task
        )
        node = next(
            node
            for node, known in self.incarnations.items()
            if known[0] == minion
        )
        ends = self.ends.setdefault(node, [])
        ends.append(RunEnd(len(ends) + 1, task, order.run, kind, checkpoint))
        self.report(node)
        return self.decide()

    def crash(self, node, *, ages=(), default_age_ms=10, restart_ms=3_000):
        """Crash the minion of a node, report its next one, then decide.

        Parameters
        ----------
        ages : mapping, optional
            How long runs had been there, by task, in milliseconds; ``None``
            for those that had not started.
        """
        minion, rack, accelerators = self.incarnations[node]
        ages = dict(ages)
        runs = [
            RunAtCrash(task, order.run, ages.get(task, default_age_ms))
            for (ordered_from, task), order in self.orders.items()
            if ordered_from == minion
            and ages.get(task, default_age_ms) is not None
        ]
        crash = MinionCrash(minion, self.now_ms, runs)
        self.crashes.setdefault(node, []).append(crash)
        self.incarnations[node] = (f'{minion}+', rack, accelerators)
        return self.decide(restart_ms)

    def node_of(self, task):
        minion = self.minion_of(task)
        return next(
            node
            for node, known in self.incarnations.items()
            if known[0] == minion
        )

    def ordered_tasks(self):
        """Identifiers of the tasks that are ordered to run, without stops."""
        return sorted(
            name
            for (_, name), order in self.orders.items()
            if not order.is_stopped
        )

    def minion_of(self, task):
        return next(minion for minion, name in self.orders if name == task)
