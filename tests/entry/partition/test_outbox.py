"""Order in which job records, member orders and releases are sent."""

import asyncio
from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.core.actions import (
    PrepareMember,
    StopMember,
    WriteJob,
)
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.core.jobs import Job, JobSpec, JobState, Member
from dragonflynotch.core.shapes import Shape
from dragonflynotch.entry.jobs.job_recorder import JobRecorder
from dragonflynotch.entry.jobs.job_state_cache import JobStateCache
from dragonflynotch.entry.partition.outbox import Outbox, OutboxListener
from dragonflynotch.links.orders import (
    ConfirmOrder,
    GuardReport,
    MemberPhase,
    MemberStatus,
    PrepareOrder,
    ReleaseOrder,
    StopOrder,
)
from dragonflynotch.testing.table import MemoryTable

SPEC = JobSpec('resort', 'recut', Shape(8))
MEMBER = Member('worker-1', (0,))
PREPARE = PrepareMember('job-1', 1, 'worker-1', 1, MEMBER, SPEC, '')
STOP = StopMember('job-1', 1, 'worker-1', 1, timedelta(seconds=1))


def job(state, attempt=1):
    now = datetime(2026, 1, 1, tzinfo=UTC)
    return Job('job-1', SPEC, now, state, attempt, (MEMBER,))


class OutboxHarness(OutboxListener):
    def __init__(self):
        self.table = MemoryTable()
        self.results = []
        self.sent = []
        self.recorder = JobRecorder('dc', self.commit, bool)
        self.outbox = Outbox(
            self.recorder, lambda out: self.sent.append(out.order), self
        )

    async def commit(self, writes):
        return await self.table.commit(writes, 'own')

    def records_flushed(self, result):
        self.results.append(result)


@pytest.fixture
async def harness():
    harness = OutboxHarness()
    task = asyncio.create_task(harness.outbox.run())
    yield harness
    task.cancel()


async def test_orders_wait_for_the_first_record(harness):
    """Guards against starting a job whose submission may still be refused."""
    harness.table.delay_s = 0.5
    harness.recorder.add_submitted('job-1', None)
    harness.outbox.put((WriteJob(job(JobState.starting)), PREPARE))
    await asyncio.sleep(0.4)
    assert not harness.sent
    await asyncio.sleep(0.25)
    assert [type(order) for order in harness.sent] == [PrepareOrder]


async def test_orders_of_a_refused_job_are_dropped(harness, monkeypatch):
    """Guards against preparing members of a job refused in an outage."""

    async def fail(writes):
        await asyncio.sleep(0.35)
        raise PlatformUnavailableError('down')

    harness.recorder._commit = fail
    harness.recorder.add_submitted('job-1', None)
    harness.outbox.put((WriteJob(job(JobState.starting)), PREPARE, STOP))
    await asyncio.sleep(0.5)
    assert harness.results[0].refused == ('job-1',)
    harness.outbox.dispatch_held('job-1', is_accepted=False)
    assert [type(order) for order in harness.sent] == [StopOrder]


async def test_accepted_job_does_not_wait_for_a_slow_table(harness):
    """Guards against starts that are delayed by an outage of the table."""
    harness.table.delay_s = 5
    harness.outbox.put((WriteJob(job(JobState.starting)), PREPARE))
    await asyncio.sleep(0.45)
    assert [type(order) for order in harness.sent] == [PrepareOrder]


async def test_running_gang_is_confirmed(harness):
    """Guards against members that stop for lack of a confirmation."""
    harness.outbox.put((WriteJob(job(JobState.running)),))
    await asyncio.sleep(0.05)
    assert harness.sent == [ConfirmOrder('job-1', 1)]


def report(phase):
    status = MemberStatus('job-1', 1, phase, (0,))
    return GuardReport('guard-1', 1, 1, 1, (status,))


@pytest.mark.parametrize(
    ('state', 'attempt', 'is_recorded', 'expected'),
    [
        (JobState.running, 1, True, ()),
        (JobState.finished, 1, False, ()),
        (JobState.finished, 1, True, (ReleaseOrder('job-1', 1),)),
        (JobState.waiting, 1, True, (ReleaseOrder('job-1', 1),)),
        (JobState.running, 2, True, (ReleaseOrder('job-1', 1),)),
    ],
)
def test_outcome_is_kept_until_its_consequence_is_recorded(
    state, attempt, is_recorded, expected
):
    """Guards against the loss of an outcome with its owner.

    A guard that released it before the job record was written could not
    report it to the next owner.
    """
    job_states = JobStateCache()
    job_states.put(job(state, attempt))
    job_states.record_report('worker-1', report(MemberPhase.finished))
    releases = job_states.take_releases(lambda _: is_recorded)
    assert tuple(each.order for each in releases) == expected


def test_unconfirmed_member_of_a_running_job_is_confirmed_again():
    """Guards against a member that stops for lack of a confirmation.

    A guard that is restarted has lost the first confirmation.
    """
    job_states = JobStateCache()
    job_states.put(job(JobState.running))
    missing = job_states.record_report('worker-1', report(MemberPhase.running))
    assert [each.order for each in missing] == [ConfirmOrder('job-1', 1)]
    job_states.put(job(JobState.starting))
    assert not job_states.record_report('worker-1', report(MemberPhase.running))
