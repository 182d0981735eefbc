"""Cost of many members in an entry: ``python -m benchmarks.members``.

Measures the CPU time of choosing a minion, and of applying a digest of another
entry in which all members or none have changed.
"""

import time
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Final

from benchmarks.processes import fit_line
from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.membership import GuardInfo, MinionInfo
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.core.topology import Worker
from dragonflynotch.entry.members.target_feed import TargetFeed
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.links.digest_codec import encode_guard
from dragonflynotch.links.entry_link_pb2 import Digest

__all__ = ('main',)

_SEED: Final = 1
_MEMBER_COUNTS: Final = (170, 1700, 17_000)
_MEASUREMENT_S: Final = 1
_US_PER_S: Final = 1e6


def _create_guard(number: int, clock: ManualClock) -> GuardInfo:
    return GuardInfo(
        guard_id=f'nadi-guard-{number}',
        incarnation=number,
        sequence=1,
        data_centre='nadi',
        address=('127.0.0.1', 8080),
        is_ready=True,
        minion=MinionInfo(f'nadi-minion-{number}', 8, 5),
        worker=Worker(f'nadi-worker-{number}', 'rack-1', 1, 8, 64, 262_144),
        free_accelerators=2,
        schema_versions=(1, 2),
        heard_at=clock.now(),
    )


def _create_target(guard: GuardInfo) -> Target:
    return Target(
        guard_id=guard.guard_id,
        incarnation=guard.incarnation,
        sequence=guard.sequence,
        data_centre=guard.data_centre,
        address=guard.address,
        minion_id=guard.guard_id,
        slots=8,
        free_slots=5,
        is_ready=True,
        heard_at=guard.heard_at,
    )


def _create_digest(
    number: int, guards: list[GuardInfo], clock: ManualClock
) -> Digest:
    return Digest(
        entry_id='nadi-entry-1',
        incarnation=1,
        data_centre='nadi',
        number=number,
        base=number - 1,
        changed=[encode_guard(guard, clock.now()) for guard in guards],
    )


def _measure_cpu_s(action: Callable[[], object]) -> float:
    rounds = 0
    start_s = time.process_time()
    while time.process_time() - start_s < _MEASUREMENT_S:
        action()
        rounds += 1
    return (time.process_time() - start_s) / rounds


def _measure(count: int) -> tuple[float, float, float, int]:
    clock = ManualClock()
    table = RoutingTable('lautoka', Random(_SEED))
    remote_entries = RemoteEntries(TargetFeed('lautoka', table, lambda: None))
    guards = [_create_guard(number, clock) for number in range(count)]
    full_digest = _create_digest(1, guards, clock)
    remote_entries.apply(full_digest, clock.now())

    def choose() -> None:
        target = table.choose(clock.now())
        if isinstance(target, Target):
            table.release(target)

    def renew() -> None:
        clock.advance(timedelta(milliseconds=1))
        empty_digest = Digest(
            entry_id='nadi-entry-1',
            incarnation=1,
            data_centre='nadi',
            number=1,
            base=1,
        )
        remote_entries.apply(empty_digest, clock.now())

    def replace_all() -> None:
        remote_entries.apply(full_digest, clock.now())

    return (
        _measure_cpu_s(choose),
        _measure_cpu_s(renew),
        _measure_cpu_s(replace_all),
        full_digest.ByteSize(),
    )


def main() -> None:
    """Print the cost for each number of members and the fitted lines."""
    print(
        f'{"members":>8} {"choose us":>10} {"renew us":>10} '
        f'{"full us":>10} {"full bytes":>11}',
    )
    results = [_measure(count) for count in _MEMBER_COUNTS]
    for count, (choose_s, renew_s, full_s, size) in zip(
        _MEMBER_COUNTS, results, strict=True
    ):
        print(
            f'{count:8} {choose_s * _US_PER_S:10.1f} '
            f'{renew_s * _US_PER_S:10.1f} '
            f'{full_s * _US_PER_S:10.1f} {size:11}',
        )
    for column, name in enumerate(('choose us', 'renew us', 'full us')):
        line = fit_line(
            _MEMBER_COUNTS, [result[column] * _US_PER_S for result in results]
        )
        print(
            f'{name}: {line.intercept:.4g} + {line.slope:.4g} * members, '
            f'largest residual {line.worst_residual:.3g}',
        )


if __name__ == '__main__':
    main()
