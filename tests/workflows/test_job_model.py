"""Jobs against a plain model, over random orders of events.

Configurations with and without the queue, takeovers, runs that start, fail, end
or never start, and workers that are replaced. Guards against the failures of
review/7 and review/10: a job that ended below its number of attempts, a start
above it, and a wrong count of the jobs that have not begun.
"""

import copy
import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    Rejection,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings
from tests.workflows.site import DEPLOYMENT, Site

QUEUE = 'normal'
STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 3),
    millicores=st.just(1000),
    memory_mb=st.just(1000),
    accelerators=st.just(1),
    estimated_ms=st.just(5_000),
    is_gang=st.booleans(),
)


class ModelSite(Site):
    """A site whose scheduler can be replaced by one with the stored rows."""

    def __init__(self):
        self.specs = {}
        self.deployment = DEPLOYMENT
        super().__init__()

    def submit(self, job_id, queue=QUEUE, *steps, **fields):
        self.specs[job_id] = (steps, {'accepted_ms': self.now_ms, **fields})
        self._put(job_id)

    def _put(self, job_id):
        steps, fields = self.specs[job_id]
        now_ms, self.now_ms = self.now_ms, fields['accepted_ms']
        rest = {key: known for key, known in fields.items() if key == 'policy'}
        super().submit(job_id, QUEUE, *steps, **rest)
        self.now_ms = now_ms

    def take_over(self):
        self.scheduler = Scheduler(SchedulerSettings())
        for job_id in self.specs:
            self._put(job_id)
        for key, row in self.progress.items():
            self.scheduler.restore_progress(
                key, decode_row(encode_row(row), ProgressRow)
            )
        for (minion, task), order in self.orders.items():
            self.scheduler.restore_order(minion, task, copy.deepcopy(order))
        self.scheduler.apply_deployment(self.deployment)
        self.report_all()
        self.scheduler.remove_unknown_orders()
        self.decide()


class JobModel(RuleBasedStateMachine):
    """What is known of each job, in plain sets and counts."""

    def __init__(self):
        super().__init__()
        self.site = ModelSite()
        self.limit = DEPLOYMENT.queues[QUEUE].max_attempts
        # Policy that a front would store, which knows the newest version.
        self.policy = DEPLOYMENT.queues[QUEUE].policy(1)
        self.begun = set()
        # Runs that ended as failed, by task or by step of a gang.
        self.failed_runs = {}
        # Failures of a task that may not start again, by job.
        self.final = {}

    # ---- events ----------------------------------------------------------

    @precondition(lambda self: len(self.site.specs) < 6)
    @rule(step=STEPS, has_policy=st.booleans())
    def submit(self, step, has_policy):
        if QUEUE not in self.site.deployment.queues:
            return
        policy = self.policy if has_policy else None
        self.site.submit(
            f'job{len(self.site.specs)}', QUEUE, step, policy=policy
        )
        self.decide()

    @rule(max_attempts=st.none() | st.integers(1, 4))
    def configure(self, max_attempts):
        version = self.site.deployment.version + 1
        queues = dict(DEPLOYMENT.queues)
        if max_attempts is None:
            queues.pop(QUEUE)
        else:
            self.limit = max_attempts
            queues[QUEUE] = dataclasses.replace(
                queues[QUEUE], max_attempts=max_attempts
            )
            self.policy = queues[QUEUE].policy(version)
        self.site.deployment = dataclasses.replace(
            DEPLOYMENT, version=version, queues=queues
        )
        self.site.scheduler.apply_deployment(self.site.deployment)
        self.decide()

    @rule()
    def take_over(self):
        self.check_decisions(self.site.take_over)

    @rule()
    def take_over_without_the_queue(self):
        self.configure(None)
        self.take_over()

    @rule(ms=st.sampled_from((250, 2_000, 6_000)))
    def wait(self, ms):
        self.check_decisions(lambda: self.site.decide(ms))

    @precondition(lambda self: self.site.orders)
    @rule(choice=st.randoms(use_true_random=False))
    def start(self, choice):
        _, task = choice.choice(sorted(self.site.orders))
        self.site.report_running(task)
        self.begun.add(task.partition('.')[0])
        self.decide()

    @precondition(lambda self: self.site.orders)
    @rule(
        choice=st.randoms(use_true_random=False),
        kind=st.sampled_from((EndKind.failed, EndKind.stopped, EndKind.done)),
    )
    def end(self, choice, kind):
        _, task = choice.choice(sorted(self.site.orders))
        if kind is EndKind.failed:
            self.fail(task)
            return
        self.begun.add(task.partition('.')[0])
        self.check_decisions(lambda: self.site.end(task, kind))

    @precondition(lambda self: self.site.orders)
    @rule()
    def fail_the_task_with_most_failures(self):
        _, task = max(self.site.orders, key=lambda key: self.failures(key[1]))
        self.fail(task)

    @precondition(lambda self: self.site.orders)
    @rule(
        choice=st.randoms(use_true_random=False),
        reason=st.sampled_from(('expired', 'room', 'stopped')),
    )
    def reject(self, choice, reason):
        minion, task = choice.choice(sorted(self.site.orders))
        node = self.site.node_of(task)
        run = self.site.orders[minion, task].run
        self.site.rejected.setdefault(node, []).append(
            Rejection(task, run, reason)
        )
        self.site.report(node)
        self.decide()

    @rule(node=st.sampled_from(('n0', 'n1', 'n2')))
    def replace_minion(self, node):
        minion, rack, accelerators = self.site.incarnations[node]
        self.site.incarnations[node] = (f'{minion}+', rack, accelerators)
        self.site.ends[node] = []
        self.site.rejected[node] = []
        self.site.report(node)
        self.decide()

    # ---- checks ----------------------------------------------------------

    def decide(self):
        self.check_decisions(self.site.decide)

    def check_decisions(self, decide):
        before = {key: order.run for key, order in self.site.orders.items()}
        decide()
        for (minion, task), order in self.site.orders.items():
            if before.get((minion, task)) != order.run:
                assert self.failures(task) < self.limit, task
        for job_id, row in self.site.progress.items():
            if row.state is JobState.failed and job_id not in self.final:
                self.final[job_id] = max(
                    len(runs)
                    for group, runs in self.failed_runs.items()
                    if group.startswith(f'{job_id}.')
                )
                assert self.final[job_id] >= self.limit, job_id

    @invariant()
    def count_is_exact(self):
        ended = {
            job_id
            for job_id, row in self.site.progress.items()
            if row.state.is_final
        }
        waiting = self.site.specs.keys() - self.begun - ended
        counted = self.site.scheduler.waiting_by_queue().get(QUEUE, 0)
        assert counted == len(waiting), waiting

    @invariant()
    def state_tells_starts(self):
        for job_id, row in self.site.progress.items():
            if not row.state.is_final:
                has_begun = row.state is JobState.running
                assert has_begun == (job_id in self.begun), job_id

    def fail(self, task):
        runs = self.failed_runs.setdefault(self.group(task), set())
        runs.add(self.site.orders[self.site.minion_of(task), task].run)
        self.begun.add(task.partition('.')[0])
        self.check_decisions(lambda: self.site.end(task, EndKind.failed))

    def group(self, task):
        job_id, occurrence, step, _ = task.split('.')
        [spec] = self.site.specs[job_id][0]
        return f'{job_id}.{occurrence}.{step}' if spec.is_gang else task

    def failures(self, task):
        return len(self.failed_runs.get(self.group(task), ()))


JobModel.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
TestJobModel = JobModel.TestCase
