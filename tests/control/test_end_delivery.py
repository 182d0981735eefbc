"""Tests of the delivery of ends that cannot be written."""

from dragonflynotch.control.end_delivery import EndDelivery
from dragonflynotch.workflows.records import EndKind, Report, RunEnd


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
