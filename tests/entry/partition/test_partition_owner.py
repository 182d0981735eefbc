"""The task that owns the partition, on a manual clock."""

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
from dragonflynotch.entry.partition.owner_inputs import GuardHeard
from dragonflynotch.entry.partition.partition_owner import PartitionOwner
from dragonflynotch.links.order_link import OrderLink
from dragonflynotch.links.orders import CheckpointOrder
from dragonflynotch.testing.table import MemoryTable

TTL = timedelta(seconds=2.2)


class DeadLink(OrderLink):
    async def send(self, address, batch):
        raise LinkTimeoutError('dead')

    async def report(self, address):
        raise LinkTimeoutError('dead')


class Bench:
    def __init__(self):
        self.clock = ManualClock()
        table = MemoryTable()
        inbox = asyncio.Queue()
        self.roster = GuardRoster(
            'entry-1',
            DeadLink(),
            inbox.put_nowait,
            TTL,
            10 * TTL,
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

    def hear(self, is_ready=True):
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
        self.owner._process(GuardHeard(info, 0))

    def pass_time(self, seconds, step=0.2):
        for _ in range(round(seconds / step)):
            self.clock.advance(timedelta(seconds=step))
            self.owner._tick(self.clock.now())

    @property
    def kinds(self):
        return [type(event).__name__ for event in self.events]


@pytest.fixture
def bench():
    bench = Bench()
    bench.owner._tick(bench.clock.now())
    bench.hear()
    assert bench.kinds == [
        'GuaranteesChanged',
        'QuotasChanged',
        'WorkerJoined',
    ]
    bench.events.clear()
    return bench


def test_silent_guard_is_lost_after_its_time_to_live(bench):
    """Guards against gangs that wait for a dead guard."""
    bench.pass_time(2)
    assert not bench.events
    bench.pass_time(0.4)
    assert bench.kinds == ['WorkerLost']
    bench.hear()
    assert bench.kinds == ['WorkerLost', 'WorkerJoined']


def test_pause_of_the_owner_is_not_silence_of_guards(bench):
    """Guards against an owner that stops all gangs after its own pause."""
    bench.pass_time(30, step=30)
    assert not bench.events
    bench.pass_time(2.4)
    assert bench.kinds == ['WorkerLost']


def test_drain_starts_with_a_checkpoint_of_the_whole_gang(bench):
    """Guards against work that a planned stop of a guard throws away."""
    members = tuple(Member(f'worker-{each}', (0,)) for each in (1, 2))
    spec = JobSpec('resort', 'recut', Shape(2))
    job = Job('job', spec, bench.clock.now(), JobState.running, 1, members)
    bench.owner._mirror.put(job)
    sent = []
    bench.roster.dispatch = sent.append
    bench.hear(is_ready=False)
    bench.hear(is_ready=False)
    assert [each.worker_id for each in sent] == ['worker-1', 'worker-2']
    assert len({each.order for each in sent}) == 1
    assert isinstance(sent[0].order, CheckpointOrder)
    assert not bench.events
    bench.owner._mirror.drop('job')
    bench.hear(is_ready=False)
    assert bench.kinds == ['WorkerLost']


def test_quotas_of_the_configuration_reach_the_partition(bench):
    """Guards against a quota on accelerators without any effect."""
    spec = WorkspaceSpec('resort', max_accelerators=4)
    bench.owner._view = lambda: ConfigurationView(7, {'resort': spec})
    bench.owner._tick(bench.clock.now())
    assert bench.events[-1] == QuotasChanged({'resort': 4})
