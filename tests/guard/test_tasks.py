"""Members under orders, fences and leases in a guard."""

import asyncio
import subprocess
import sys
import time
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.core.errors import LinkTimeoutError
from dragonflynotch.guard.tasks import TaskKeeper, TaskPolicy
from dragonflynotch.links.orders import (
    ConfirmOrder,
    MemberPhase,
    OrderBatch,
    PrepareOrder,
    ReleaseOrder,
    StartOrder,
    StopOrder,
)
from dragonflynotch.services.worker import WorkerCall, WorkerRuntime
from dragonflynotch.testing.object_store import MemoryObjectStore
from dragonflynotch.testing.worker import WorkerApp

POLICY = TaskPolicy(
    task_lease=timedelta(seconds=0.8),
    start_confirmation=timedelta(seconds=0.4),
    worker_poll=timedelta(seconds=0.02),
    worker_idle_poll=timedelta(seconds=0.02),
)
CLOCK = SystemClock()


class AppRuntime(WorkerRuntime):
    """Calls the stand-in without a socket."""

    def __init__(self, app):
        self.app = app

    async def apply(self, *, fence=0, lease_end_ms=0, commands=()):
        call = WorkerCall(fence, lease_end_ms, tuple(commands))
        try:
            return await asyncio.wait_for(self.app.apply(call), 0.1)
        except TimeoutError as error:
            raise LinkTimeoutError('silent') from error


def prepare(attempt=1, seconds=60, accelerators=(0, 1)):
    program = f'{{"seconds": {seconds}}}'
    return PrepareOrder('job', attempt, accelerators, 1, 1, program, '', True)


class Bench:
    """A keeper with its worker, renewed on demand."""

    def __init__(self):
        self.app = WorkerApp(MemoryObjectStore())
        self.keepers = []
        self.restart()

    def restart(self):
        for task in self.keepers:
            task.cancel()
        self.keeper = TaskKeeper(
            'guard-1', 1, AppRuntime(self.app), 8, CLOCK, POLICY, lambda: None
        )
        self.keepers = [asyncio.create_task(self.keeper.run())]

    def renew(self, fence=3):
        self.keeper.acknowledge(CLOCK.now(), fence)

    def order(self, *orders, fence=3):
        return self.keeper.accept(
            OrderBatch('entry-1', fence, orders, incarnation=1)
        )

    def member(self):
        members = self.keeper.report.members
        return members[0] if members else None

    async def until(self, phase, renewals=True):
        async with asyncio.timeout(3):
            while not self.member() or self.member().phase is not phase:
                if renewals:
                    self.renew()
                await asyncio.sleep(0.02)
        return self.member()

    async def run_member(self):
        await asyncio.sleep(0.05)
        self.renew()
        assert not self.order(prepare()).reason
        await self.until(MemberPhase.prepared)
        self.order(StartOrder('job', 1))
        await self.until(MemberPhase.running)


@pytest.fixture
async def bench():
    bench = Bench()
    await asyncio.sleep(0.05)
    bench.renew()
    yield bench
    for task in bench.keepers:
        task.cancel()


async def test_task_computes_only_after_start(bench):
    """Guards against a member that computes before its gang is complete."""
    bench.order(prepare(seconds=0.1))
    await bench.until(MemberPhase.prepared)
    await asyncio.sleep(0.2)
    assert bench.member().phase is MemberPhase.prepared
    assert not bench.app.computed
    bench.order(StartOrder('job', 1), ConfirmOrder('job', 1))
    await bench.until(MemberPhase.finished)
    assert bench.app.computed == {'job/1': 1}


async def test_lower_fence_is_refused(bench):
    """Guards against an order of an owner that was replaced."""
    bench.renew(fence=4)
    reply = bench.order(prepare(), fence=3)
    assert (reply.reason, reply.highest_fence) == ('fence_too_low', 4)
    assert bench.keeper.free_accelerators == 8


async def test_order_for_a_former_process_is_refused(bench):
    """Guards against a late order that reaches a restarted guard."""
    batch = OrderBatch('entry-1', 3, (prepare(),), incarnation=2)
    assert bench.keeper.accept(batch).reason == 'other_incarnation'
    assert bench.keeper.free_accelerators == 8


async def test_orders_without_a_lease_are_refused(bench):
    """Guards against a restarted guard that trusts an old owner."""
    bench.restart()
    await asyncio.sleep(0.05)
    assert bench.order(prepare()).reason == 'no_lease'


async def test_orders_are_idempotent(bench):
    """Guards against a repeated order that runs a member twice."""
    for _ in range(3):
        assert not bench.order(prepare()).refusals
    assert bench.keeper.free_accelerators == 6
    await bench.until(MemberPhase.prepared)
    for _ in range(3):
        bench.order(StartOrder('job', 1))
    await bench.until(MemberPhase.running)
    assert bench.app.computed == {'job/1': 1}


async def test_accelerators_hold_one_member(bench):
    """Guards against two members on one accelerator."""
    bench.order(prepare())
    reply = bench.order(PrepareOrder('other', 1, (1, 2), 1, 1, '', '', True))
    assert [each.reason for each in reply.refusals] == ['accelerators_taken']


@pytest.mark.parametrize('order', [StopOrder, ReleaseOrder])
async def test_late_prepare_is_refused(bench, order):
    """Guards against a prepare order that arrives after its abort."""
    bench.order(order('job', 1))
    reply = bench.order(prepare())
    members = [each.phase for each in bench.keeper.report.members]
    assert members in ([], [MemberPhase.stopped])
    assert reply.refusals or members
    assert bench.keeper.free_accelerators == 8


async def test_member_without_confirmation_stops(bench):
    """Guards against a partial gang after a crash of the owner."""
    await bench.run_member()
    stopped = await bench.until(MemberPhase.stopped)
    assert stopped.reason == 'start_not_confirmed'


async def test_member_stops_with_a_checkpoint_at_the_end_of_the_lease(bench):
    """Guards against a member that outlives its owner."""
    await bench.run_member()
    bench.renew()
    started = time.monotonic()
    bench.order(ConfirmOrder('job', 1))
    stopped = await bench.until(MemberPhase.stopped, renewals=False)
    assert time.monotonic() - started < 0.9
    assert stopped.reason == 'lease_lapsed'
    assert stopped.checkpoint
    assert stopped.work_done_ms > 0


async def test_restarted_guard_reports_the_tasks_of_its_worker(bench):
    """Guards against a second run beside a task that was forgotten."""
    await bench.run_member()
    bench.restart()
    await bench.until(MemberPhase.running)
    assert bench.member().accelerators == (0, 1)
    assert bench.keeper.highest_fence == 3
    assert bench.order(prepare(), fence=2).reason == 'fence_too_low'


async def test_silent_worker_frees_its_accelerators_after_the_lease(bench):
    """Guards against reuse of accelerators before the worker's lease ends."""
    await bench.run_member()
    bench.order(ConfirmOrder('job', 1))
    bench.app.faults.is_silent = True
    started = time.monotonic()
    await bench.until(MemberPhase.failed)
    assert 0.3 < time.monotonic() - started < 1.5
    assert bench.app.view.tasks[0].phase.value == 'stopped'


async def test_failing_worker_reports_the_failure(bench):
    """Guards against a failure that the owner never sees."""
    bench.app.faults.fails_everything = True
    bench.order(prepare())
    await bench.until(MemberPhase.prepared)
    bench.order(StartOrder('job', 1))
    assert (await bench.until(MemberPhase.failed)).reason


def test_guard_imports_no_heavy_library():
    """Guards against a guard above the memory limit of a target."""
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
