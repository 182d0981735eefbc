"""Tests of the delivery of ends that cannot be written."""

import asyncio

from dragonflynotch.control.end_delivery import EndDelivery
from dragonflynotch.control.guard import Guard
from dragonflynotch.testing.minion_model import ModelMinionClient
from dragonflynotch.testing.row_store import StoreFault
from dragonflynotch.workflows.records import EndKind, Report, RunEnd
from tests.control.test_guard import TASK, GuardHarness, is_task_running


async def test_accepted_ends_are_not_delivered_at_each_retry(clock):
    """Guards called the leader five times a second while the store was down.

    A new end must be delivered at once, and one that was not accepted again.
    """
    delivered = []
    is_accepted = True

    async def deliver(content):
        delivered.append(content)
        return is_accepted

    report = Report('m', 'planner', True, True, 0, 1)
    delivery = EndDelivery(deliver, clock)
    await delivery.deliver(report)
    assert not delivered
    report.ended = [RunEnd(1, 'j.0.0.0', 1, EndKind.done, '')]
    for _ in range(10):
        await delivery.deliver(report)
        clock.advance(200)
    assert len(delivered) == 2
    is_accepted = False
    report.ended = [*report.ended, RunEnd(2, 'j.0.0.1', 1, EndKind.done, '')]
    await delivery.deliver(report)
    await delivery.deliver(report)
    assert len(delivered) == 4


class BlockedDeliveryHarness(GuardHarness):
    """Guard whose deliveries of ends take as long as that of silent peers."""

    async def _deliver(self, _):
        await asyncio.sleep(2.4)

    def start_guard(self):
        self.guard = Guard(
            'node',
            self.store,
            self.store.store_clock,
            self.clock,
            lambda heartbeat: ModelMinionClient(
                self.models[heartbeat.minion_id]
            ),
            self.limits,
            self._deliver,
        )
        self._task = asyncio.create_task(self.guard.run())


async def test_delivery_to_silent_peers_does_not_delay_the_report():
    """A report after the outage waited for all peers, and authority ended."""
    harness = BlockedDeliveryHarness()
    harness.start_guard()
    minion = harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.wait_for(lambda report: report.minion_id == 'm1')
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.store.fault = StoreFault.down
    minion.finish(TASK, EndKind.done)
    await asyncio.sleep(0.4)
    harness.store.fault = StoreFault.none
    await harness.wait_for(lambda report: report.ended, limit_s=1)
    await harness.stop_guard()
    # The delivery in flight ends with the guard.
    await asyncio.sleep(0)
    assert asyncio.all_tasks() == {asyncio.current_task()}
