"""Orders, fences and leases of gang members in a guard."""

import asyncio
import subprocess
import sys
import time
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.core.errors import LinkError, LinkTimeoutError
from dragonflynotch.core.events import WORKER_RESTARTED
from dragonflynotch.guard.tasks import TaskReconciler, TaskTimings
from dragonflynotch.links.orders import (
    ConfirmOrder,
    MemberPhase,
    OrderBatch,
    PrepareOrder,
    ReleaseOrder,
    StartOrder,
    StopOrder,
)
from dragonflynotch.services.worker import LaunchTask, WorkerCall, WorkerRuntime
from dragonflynotch.testing.object_store import MemoryObjectStore
from dragonflynotch.testing.worker import WorkerApp

TIMINGS = TaskTimings(
    task_lease=timedelta(seconds=0.8),
    start_confirmation=timedelta(seconds=0.4),
    worker_poll=timedelta(seconds=0.02),
    worker_idle_poll=timedelta(seconds=0.02),
)
CLOCK = SystemClock()


class InProcessWorker(WorkerRuntime):
    """Calls the stand-in worker directly, without a socket."""

    def __init__(self, app):
        self.app = app

    async def apply(self, *, fence=0, lease_end_ms=0, commands=()):
        call = WorkerCall(fence, lease_end_ms, tuple(commands))
        try:
            return await asyncio.wait_for(self.app.apply(call), 0.1)
        except TimeoutError as error:
            raise LinkTimeoutError('worker timed out') from error


def prepare(attempt=1, seconds=60, accelerators=(0, 1)):
    program = f'{{"seconds": {seconds}}}'
    return PrepareOrder('job', attempt, accelerators, 1, 1, program, '', True)


class GuardWithWorker:
    """A task reconciler with a stand-in worker and manual lease renewal."""

    def __init__(self):
        self.app = WorkerApp(MemoryObjectStore())
        self.run_tasks = []
        self.restart()

    def restart(self):
        for task in self.run_tasks:
            task.cancel()
        self.reconciler = TaskReconciler(
            'guard-1',
            1,
            InProcessWorker(self.app),
            8,
            CLOCK,
            TIMINGS,
            lambda: None,
        )
        self.run_tasks = [asyncio.create_task(self.reconciler.run())]

    def renew(self, fence=3):
        self.reconciler.acknowledge(CLOCK.now(), fence)

    def order(self, *orders, fence=3):
        return self.reconciler.accept(
            OrderBatch('entry-1', fence, orders, incarnation=1)
        )

    def member(self):
        members = self.reconciler.report.members
        return members[0] if members else None

    async def wait_for_phase(self, phase, renews_lease=True):
        async with asyncio.timeout(3):
            while not self.member() or self.member().phase is not phase:
                if renews_lease:
                    self.renew()
                await asyncio.sleep(0.02)
        return self.member()

    async def run_member(self):
        await asyncio.sleep(0.05)
        self.renew()
        assert not self.order(prepare()).reason
        await self.wait_for_phase(MemberPhase.prepared)
        self.order(StartOrder('job', 1))
        await self.wait_for_phase(MemberPhase.running)


@pytest.fixture
async def guard():
    guard = GuardWithWorker()
    await asyncio.sleep(0.05)
    guard.renew()
    yield guard
    for task in guard.run_tasks:
        task.cancel()


async def test_task_computes_only_after_start(guard):
    """Guards against a task that runs before its gang is complete."""
    guard.order(prepare(seconds=0.1))
    await guard.wait_for_phase(MemberPhase.prepared)
    await asyncio.sleep(0.2)
    assert guard.member().phase is MemberPhase.prepared
    assert not guard.app.computed
    guard.order(StartOrder('job', 1), ConfirmOrder('job', 1))
    await guard.wait_for_phase(MemberPhase.finished)
    assert guard.app.computed == {'job/1': 1}


async def test_lower_fence_is_refused(guard):
    """Guards against applying orders of an owner that was replaced."""
    guard.renew(fence=4)
    reply = guard.order(prepare(), fence=3)
    assert (reply.reason, reply.highest_fence) == ('fence_too_low', 4)
    assert guard.reconciler.free_accelerators == 8


async def test_order_for_a_former_process_is_refused(guard):
    """Guards against applying an order sent before a guard restart."""
    batch = OrderBatch('entry-1', 3, (prepare(),), incarnation=2)
    assert guard.reconciler.accept(batch).reason == 'other_incarnation'
    assert guard.reconciler.free_accelerators == 8


async def test_orders_without_a_lease_are_refused(guard):
    """Guards against a restarted guard that obeys a former owner."""
    guard.restart()
    await asyncio.sleep(0.05)
    assert guard.order(prepare()).reason == 'no_lease'


async def test_orders_are_idempotent(guard):
    """Guards against running a member twice after a repeated order."""
    for _ in range(3):
        assert not guard.order(prepare()).refusals
    assert guard.reconciler.free_accelerators == 6
    await guard.wait_for_phase(MemberPhase.prepared)
    for _ in range(3):
        guard.order(StartOrder('job', 1))
    await guard.wait_for_phase(MemberPhase.running)
    assert guard.app.computed == {'job/1': 1}


async def test_accelerators_hold_one_member(guard):
    """Guards against two members on one accelerator."""
    guard.order(prepare())
    reply = guard.order(PrepareOrder('other', 1, (1, 2), 1, 1, '', '', True))
    assert [each.reason for each in reply.refusals] == ['accelerators_taken']


@pytest.mark.parametrize('order', [StopOrder, ReleaseOrder])
async def test_late_prepare_is_refused(guard, order):
    """Guards against a prepare order that arrives after its cancellation."""
    guard.order(order('job', 1))
    reply = guard.order(prepare())
    members = [each.phase for each in guard.reconciler.report.members]
    assert members in ([], [MemberPhase.stopped])
    assert reply.refusals or members
    assert guard.reconciler.free_accelerators == 8


async def test_member_without_confirmation_stops(guard):
    """Guards against a partial gang that keeps running.

    An owner that crashes between start orders never confirms the gang.
    """
    await guard.run_member()
    stopped = await guard.wait_for_phase(MemberPhase.stopped)
    assert stopped.reason == 'start_not_confirmed'


async def test_member_stops_with_a_checkpoint_at_the_end_of_the_lease(guard):
    """Guards against a member that runs on after the lease expired."""
    await guard.run_member()
    guard.renew()
    started = time.monotonic()
    guard.order(ConfirmOrder('job', 1))
    stopped = await guard.wait_for_phase(
        MemberPhase.stopped, renews_lease=False
    )
    assert time.monotonic() - started < 0.9
    assert stopped.reason == 'lease_lapsed'
    assert stopped.checkpoint
    assert stopped.work_done_ms > 0


async def test_restarted_guard_reports_the_tasks_of_its_worker(guard):
    """Guards against starting a task twice after a guard restart."""
    await guard.run_member()
    guard.restart()
    await guard.wait_for_phase(MemberPhase.running)
    assert guard.member().accelerators == (0, 1)
    assert guard.reconciler.highest_fence == 3
    assert guard.order(prepare(), fence=2).reason == 'fence_too_low'


async def test_silent_worker_frees_its_accelerators_after_the_lease(guard):
    """Guards against reusing accelerators before the worker's lease ends."""
    await guard.run_member()
    guard.order(ConfirmOrder('job', 1))
    guard.app.faults.is_silent = True
    started = time.monotonic()
    await guard.wait_for_phase(MemberPhase.failed)
    assert 0.3 < time.monotonic() - started < 1.5
    assert guard.app.view.tasks[0].phase.value == 'stopped'


class CrashingWorker(InProcessWorker):
    """Worker that crashes when it launches a task."""

    launches = 0

    async def apply(self, *, fence=0, lease_end_ms=0, commands=()):
        if any(isinstance(command, LaunchTask) for command in commands):
            self.launches += 1
            self.app.restart()
            raise LinkError('connection closed')
        return await super().apply(
            fence=fence, lease_end_ms=lease_end_ms, commands=commands
        )


async def test_launch_that_crashes_the_worker_is_not_repeated(guard):
    """Guards against a task that crashes its worker again and again."""
    worker = CrashingWorker(guard.app)
    guard.reconciler._worker = worker
    guard.order(prepare())
    member = await guard.wait_for_phase(MemberPhase.failed)
    assert member.reason == WORKER_RESTARTED
    assert worker.launches == 1


async def test_launch_is_repeated_if_the_worker_did_not_restart(guard):
    """Guards against a failed call that ends a healthy member."""
    guard.app.faults.is_silent = True
    guard.order(prepare())
    await asyncio.sleep(0.2)
    guard.app.faults.is_silent = False
    await guard.wait_for_phase(MemberPhase.prepared)


async def test_members_of_a_restarted_worker_are_reported_with_the_cause(guard):
    """Guards against taking the end of a worker for a failure of its tasks."""
    await guard.run_member()
    guard.app.restart()
    member = await guard.wait_for_phase(MemberPhase.failed)
    assert member.reason == WORKER_RESTARTED


async def test_failing_worker_reports_the_failure(guard):
    """Guards against task failures that are not reported to the owner."""
    guard.app.faults.fails_everything = True
    guard.order(prepare())
    await guard.wait_for_phase(MemberPhase.prepared)
    guard.order(StartOrder('job', 1))
    assert (await guard.wait_for_phase(MemberPhase.failed)).reason


def test_guard_imports_no_heavy_library():
    """Guards against imports that exceed the memory limit of the guard."""
    script = (
        'import sys, dragonflynotch.guard.__main__\n'
        'heavy = {"httpx", "pydantic", "litestar", "grpc", "cappa"}\n'
        'print(sorted(heavy & set(sys.modules)))'
    )
    shown = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    assert shown.stdout.strip() == '[]'
