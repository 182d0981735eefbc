"""The task that owns the partition, run with a manual clock."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkTimeoutError
from dragonflynotch.core.events import QuotasChanged
from dragonflynotch.core.jobs import Job, JobSpec, JobState, Member
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.shapes import Shape
from dragonflynotch.core.topology import Worker
from dragonflynotch.core.workspaces import ConfigurationView, WorkspaceSpec
from dragonflynotch.entry.jobs.job_recorder import JobRecorder
from dragonflynotch.entry.members.guard_roster import GuardRoster
from dragonflynotch.entry.partition.owner_inputs import GuardAnnounced
from dragonflynotch.entry.partition.partition_owner import PartitionOwner
from dragonflynotch.links.order_link import OrderLink
from dragonflynotch.links.orders import CheckpointOrder
from dragonflynotch.testing.table import MemoryTable

WORKER_TTL = timedelta(seconds=2.2)


class UnreachableLink(OrderLink):
    async def send(self, address, batch):
        raise LinkTimeoutError('dead')

    async def report(self, address):
        raise LinkTimeoutError('dead')


class OwnerHarness:
    def __init__(self):
        self.clock = ManualClock()
        table = MemoryTable()
        inbox = asyncio.Queue()
        self.roster = GuardRoster(
            'entry-1',
            UnreachableLink(),
            inbox.put_nowait,
            WORKER_TTL,
            10 * WORKER_TTL,
            self.clock,
        )
        self.owner = PartitionOwner(
            Partition('dc'),
            self.roster,
            JobRecorder('dc', lambda writes: table.commit(writes, 'own'), bool),
            self.clock,
            ConfigurationView,
            inbox,
        )
        self.events = []
        self.owner._handle = self.events.append

    def announce(self, is_ready=True):
        worker = Worker('worker-1', 'rack', 0, 8, 64, 1024)
        info = GuardInfo(
            'guard-1',
            1,
            1,
            'dc',
            ('127.0.0.1', 1),
            is_ready,
            None,
            worker,
            8,
            (1,),
            self.clock.now(),
        )
        self.owner._process(GuardAnnounced(info, 0))

    def pass_time(self, seconds, step=0.2):
        for _ in range(round(seconds / step)):
            self.clock.advance(timedelta(seconds=step))
            self.owner._tick(self.clock.now())

    @property
    def kinds(self):
        return [type(event).__name__ for event in self.events]


@pytest.fixture
def harness():
    harness = OwnerHarness()
    harness.owner._tick(harness.clock.now())
    harness.announce()
    assert harness.kinds == [
        'GuaranteesChanged',
        'QuotasChanged',
        'WorkerJoined',
    ]
    harness.events.clear()
    return harness


def test_silent_guard_is_lost_after_its_time_to_live(harness):
    """Guards against gangs that wait for a guard that no longer runs."""
    harness.pass_time(2)
    assert not harness.events
    harness.pass_time(0.4)
    assert harness.kinds == ['WorkerLost']
    harness.announce()
    assert harness.kinds == ['WorkerLost', 'WorkerJoined']


def test_pause_of_the_owner_is_not_silence_of_guards(harness):
    """Guards against an owner that stops all gangs after its own pause."""
    harness.pass_time(30, step=30)
    assert not harness.events
    harness.pass_time(2.4)
    assert harness.kinds == ['WorkerLost']


def test_drain_starts_with_a_checkpoint_of_the_whole_gang(harness):
    """Guards against the loss of work at a planned stop of a guard."""
    members = tuple(Member(f'worker-{each}', (0,)) for each in (1, 2))
    spec = JobSpec('resort', 'recut', Shape(2))
    job = Job('job', spec, harness.clock.now(), JobState.running, 1, members)
    harness.owner._job_states.put(job)
    sent = []
    harness.roster.dispatch = sent.append
    harness.announce(is_ready=False)
    harness.announce(is_ready=False)
    assert [each.worker_id for each in sent] == ['worker-1', 'worker-2']
    assert len({each.order for each in sent}) == 1
    assert isinstance(sent[0].order, CheckpointOrder)
    assert not harness.events
    harness.owner._job_states.remove('job')
    harness.announce(is_ready=False)
    assert harness.kinds == ['WorkerLost']


def test_quotas_of_the_configuration_reach_the_partition(harness):
    """Guards against an accelerator quota that has no effect."""
    spec = WorkspaceSpec('resort', max_accelerators=4)
    harness.owner._get_configuration = lambda: ConfigurationView(
        7, {'resort': spec}
    )
    harness.owner._tick(harness.clock.now())
    assert harness.events[-1] == QuotasChanged({'resort': 4})
