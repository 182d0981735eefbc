"""Drives a partition with simulated guards that carry out its orders."""

from dataclasses import dataclass, field
from datetime import timedelta

from dragonflynotch.core.actions import (
    AnswerSubmission,
    CheckpointMember,
    MemberOrder,
    PrepareMember,
    StartMember,
    StopMember,
    WriteJob,
)
from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.events import (
    CheckpointTaken,
    JobSubmitted,
    MemberFinished,
    MemberPrepared,
    MemberReport,
    MemberStarted,
    MemberState,
    MemberStopped,
    OwnershipGained,
    TimerFired,
    WorkerJoined,
    WorkerReported,
)
from dragonflynotch.core.jobs import Job, JobSpec
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker

SECOND = timedelta(seconds=1)


def make_worker(number, rack=0, accelerators=8):
    return Worker(f'w{number}', f'r{rack}', rack, accelerators, 128, 512 * 1024)


def make_job(name, accelerators=8, proximity=Proximity.rack, **changes):
    submitted_at = changes.pop('submitted_at', ManualClock().now())
    fields = {'workspace': 'resort', 'kind': 'audit', **changes}
    spec = JobSpec(shape=Shape(accelerators, proximity), **fields)
    return Job(name, spec, submitted_at)


@dataclass
class SimulatedGuards:
    """Simulated guards, with their members by (job, attempt, worker)."""

    members: dict = field(default_factory=dict)
    silent: set = field(default_factory=set)
    checkpoint_counts: dict = field(default_factory=dict)

    def carry_out(self, order):
        key = (order.job_id, order.attempt, order.worker_id)
        if order.worker_id in self.silent:
            return []
        match order:
            case PrepareMember():
                self.members[key] = (MemberState.prepared, order.member)
                return [MemberPrepared(*key)]
            case StartMember():
                self.members[key] = (
                    MemberState.running,
                    self.members[key][1],
                )
                return [MemberStarted(*key)]
            case CheckpointMember():
                return [self.checkpoint(key)]
            case StopMember():
                events = []
                is_running = self.members.get(key, (None,))[0]
                if order.checkpoint_limit and is_running:
                    events.append(self.checkpoint(key))
                self.members.pop(key, None)
                return [*events, MemberStopped(*key)]
        return []

    def checkpoint(self, key):
        count = self.checkpoint_counts.get(key, 0) + 1
        self.checkpoint_counts[key] = count
        return CheckpointTaken(
            *key, f'{key[0]}/{key[1]}/{count}', timedelta(minutes=count)
        )


class Driver:
    """A partition with its clock and its simulated guards.

    If ``is_manual`` is set, orders are kept in ``outbox`` and not carried out.
    """

    def __init__(self, workers=(), fence=1, jobs=(), policy=None, **options):
        self.clock = ManualClock()
        self.partition = Partition('dc-1', policy, **options)
        self.guards = SimulatedGuards()
        self.actions = []
        self.records = {}
        self.answers = {}
        self.is_manual = False
        self.outbox = []
        for worker in workers:
            self.send(WorkerJoined(worker))
        if fence:
            self.send(OwnershipGained(fence, tuple(jobs)))

    def send(self, *events):
        """Handle events and the answers of the guards; return all actions."""
        queue = list(events)
        all_actions = []
        while queue:
            actions = self.partition.handle(queue.pop(0), self.clock.now())
            all_actions.extend(actions)
            for action in actions:
                queue.extend(self._carry_out(action))
        self.actions.extend(all_actions)
        return all_actions

    def submit(self, *args, **changes):
        job = make_job(*args, submitted_at=self.clock.now(), **changes)
        self.send(JobSubmitted(job))
        return job.job_id

    def state(self, job_id):
        return self.records[job_id].state.value

    def finish(self, job_id):
        job = self.records[job_id]
        for member in job.members:
            key = (job_id, job.attempt, member.worker_id)
            self.guards.members.pop(key, None)
            self.send(MemberFinished(*key))

    def advance(self, duration):
        """Advance the clock and fire each deadline at its time."""
        end = self.clock.now() + duration
        while True:
            deadline = self.partition.next_deadline
            if deadline is None or deadline > end:
                break
            self.clock.advance(max(deadline - self.clock.now(), timedelta()))
            self.send(TimerFired())
        self.clock.advance(end - self.clock.now())

    def report(self, worker_id, fence=None):
        fence = self.partition.fence if fence is None else fence
        members = tuple(
            MemberReport(job_id, attempt, state, member.accelerators)
            for (job_id, attempt, holder), (
                state,
                member,
            ) in self.guards.members.items()
            if holder == worker_id
        )
        return self.send(WorkerReported(worker_id, members, fence))

    def _carry_out(self, action):
        match action:
            case WriteJob(job=job):
                self.records[job.job_id] = job
            case AnswerSubmission():
                self.answers[action.job_id] = action.verdict
            case MemberOrder() if self.is_manual:
                self.outbox.append(action)
            case MemberOrder():
                return self.guards.carry_out(action)
        return []
