"""Time from the end of a run to the report that lists it, on a faulty store.

Run with ``python -m benchmarks.end_delay``. Each line is one kind of store:
the delay of its answers, the share of answers that are lost, and percentiles
of the delay of the ends in milliseconds.
"""

import asyncio
import random
from collections.abc import Sequence

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.control.rows import Committed, Conflict, RowName, RowWrite
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import EndKind, Report, RunEnd, decode_row

_AUTHORITY_MS = 12_000
# Timeout of a call to the store, as in the platform's adapter.
_CALL_TIMEOUT_S = 1.3
_GUARDS = 40
_DURATION_S = 25
_END_INTERVAL_S = 2.0
_MS_PER_S = 1000


class _FaultyStore(MemoryRowStore):
    """Store whose answers are slow, and lost after the effect or before it."""

    def __init__(
        self, clock: BootClock, delay_s: float, lost_share: float, seed: int
    ) -> None:
        super().__init__(clock)
        self.delays_ms: list[int] = []
        self.ends: dict[str, int] = {}
        self._own_clock = clock
        self._delay_s = delay_s
        self._lost_share = lost_share
        self._random = random.Random(seed)

    async def read_row(self, name: RowName):  # type: ignore[no-untyped-def]
        """Return one row, late or not at all."""
        if self._random.random() < self._lost_share:
            await asyncio.sleep(_CALL_TIMEOUT_S)
            raise PlatformUnavailableError('lost', step='read', peer='store')
        await asyncio.sleep(self._delay_s)
        return await super().read_row(name)

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply the writes; the answer is late or lost."""
        is_lost = self._random.random() < self._lost_share
        is_applied = not is_lost or self._random.choice((False, True))
        await asyncio.sleep(self._delay_s / 2)
        if is_applied:
            outcome = await super().commit(writes, conditions)
            if isinstance(outcome, Committed):
                self._record_ends(writes[0].content or b'')
        if is_lost:
            await asyncio.sleep(_CALL_TIMEOUT_S - self._delay_s / 2)
            raise UncertainWriteError('lost', step='commit', peer='store')
        await asyncio.sleep(self._delay_s / 2)
        return outcome

    def _record_ends(self, content: bytes) -> None:
        report = decode_row(content, Report)
        assert isinstance(report, Report)
        for end in report.ended:
            ended_ms = self.ends.pop(end.task, None)
            if ended_ms is not None:
                self.delays_ms.append(self._own_clock.now_ms() - ended_ms)


async def _deliver_nothing(_: bytes) -> None:
    pass


async def _run_guard(store: _FaultyStore, clock: BootClock, node: str) -> None:
    ended: list[RunEnd] = []
    writer = ReportWriter(
        node,
        store,
        store.store_clock,
        clock,
        _AUTHORITY_MS,
        lambda end_ms: Report(
            node, 's', True, True, end_ms, writer.token, ended=ended[-20:]
        ),
        _deliver_nothing,
        lambda report: None,
    )
    task = asyncio.create_task(writer.run())
    number = 0
    choice = random.Random(node)
    stop_ms = clock.now_ms() + _DURATION_S * _MS_PER_S
    while clock.now_ms() < stop_ms:
        await asyncio.sleep(choice.expovariate(1 / _END_INTERVAL_S))
        number += 1
        name = f'{node}.0.0.{number}'
        store.ends[name] = clock.now_ms()
        ended.append(RunEnd(number, name, 1, EndKind.done, ''))
        writer.request_write()
    await asyncio.sleep(4 * _CALL_TIMEOUT_S)
    task.cancel()


async def _measure(delay_s: float, lost_share: float) -> str:
    clock = BootClock()
    store = _FaultyStore(clock, delay_s, lost_share, seed=1)
    await asyncio.gather(
        *(_run_guard(store, clock, f'n{number}') for number in range(_GUARDS))
    )
    delays = sorted(store.delays_ms)
    percentiles = ' '.join(
        f'p{percent} {delays[(len(delays) - 1) * percent // 100]}'
        for percent in (50, 90, 99, 100)
    )
    return (
        f'delay {delay_s} s, lost {lost_share}: {len(delays)} ends, '
        f'{len(store.ends)} not written, {store.call_count} calls, '
        f'{percentiles}'
    )


async def _main() -> None:
    cases = ((0.01, 0), (0.5, 0), (0.01, 0.35), (0.3, 0.35))
    for line in await asyncio.gather(*(_measure(*case) for case in cases)):
        print(line)


if __name__ == '__main__':
    asyncio.run(_main())
