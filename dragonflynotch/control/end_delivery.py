"""Delivers ends that a guard cannot write to the process that schedules."""

import asyncio
from collections.abc import Awaitable, Callable

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report, encode_row

__all__ = ('EndDelivery',)

# The process that accepted the ends may be lost before it has stored them.
_REPEAT_INTERVAL_MS = 1000
# Silent peers must not hold up the delivery of further ends for long.
_DELIVERY_TIMEOUT_S = 3


class EndDelivery:
    """Delivers each end at once, and repeats it at an interval.

    The writer of the report does not wait for a delivery, which may have to
    try several peers. At most one is in flight.

    Parameters
    ----------
    deliver : callable
        Delivers an encoded report and returns whether it was accepted.
    clock : SteadyClock
        Measures the time since the last accepted report.
    """

    def __init__(
        self, deliver: Callable[[bytes], Awaitable[bool]], clock: SteadyClock
    ) -> None:
        """Start without a delivered end."""
        self._deliver = deliver
        self._clock = clock
        self._accepted: frozenset[tuple[str, str, int]] = frozenset()
        self._accepted_ms = clock.now_ms()
        self._delivery: asyncio.Task[None] | None = None

    def start(self, report: Report) -> None:
        """Deliver the ends in a report, unless a delivery is in flight."""
        if self._delivery is None or self._delivery.done():
            self._delivery = asyncio.create_task(self._deliver_in_time(report))

    def cancel(self) -> None:
        """Cancel the delivery in flight, if there is one."""
        if self._delivery is not None:
            self._delivery.cancel()

    async def deliver(self, report: Report) -> None:
        """Deliver the ends in a report, unless they have just been accepted."""
        ends = _ends_in(report)
        age_ms = self._clock.now_ms() - self._accepted_ms
        if ends <= self._accepted and age_ms < _REPEAT_INTERVAL_MS:
            return
        if ends and await self._deliver(encode_row(report)):
            self._accepted = ends
            self._accepted_ms = self._clock.now_ms()

    async def _deliver_in_time(self, report: Report) -> None:
        try:
            async with asyncio.timeout(_DELIVERY_TIMEOUT_S):
                await self.deliver(report)
        except TimeoutError:
            decision_log.record('delivery_timed_out', token=report.token)


def _ends_in(report: Report) -> frozenset[tuple[str, str, int]]:
    current = {(report.minion_id, end.task, end.run) for end in report.ended}
    earlier = {
        (earlier.minion_id, earlier.end.task, earlier.end.run)
        for earlier in report.earlier_ends
    }
    return frozenset(current | earlier)
