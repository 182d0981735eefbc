"""Cost of large memberships in an entry: ``python -m benchmarks.members``.

Measures the choice of a minion, and a digest of another entry in which all
members or none have changed, in processor time of this process.
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
from dragonflynotch.links.digest_codec import encode_member
from dragonflynotch.links.entry_link_pb2 import Digest

__all__ = ('main',)

_SEED: Final = 1
_COUNTS: Final = (170, 1700, 17_000)
_SECONDS_PER_POINT: Final = 1
_MICROSECONDS: Final = 1e6


def _guard(number: int, clock: ManualClock) -> GuardInfo:
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


def _target(guard: GuardInfo) -> Target:
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


def _digest(number: int, guards: list[GuardInfo], clock: ManualClock) -> Digest:
    return Digest(
        entry_id='nadi-entry-1',
        incarnation=1,
        data_centre='nadi',
        number=number,
        base=number - 1,
        changed=[encode_member(guard, clock.now()) for guard in guards],
    )


def _cost_s(action: Callable[[], object]) -> float:
    rounds = 0
    start_s = time.process_time()
    while time.process_time() - start_s < _SECONDS_PER_POINT:
        action()
        rounds += 1
    return (time.process_time() - start_s) / rounds


def _measure(count: int) -> tuple[float, float, float, int]:
    clock = ManualClock()
    table = RoutingTable('lautoka', Random(_SEED))
    remote = RemoteEntries(TargetFeed('lautoka', table, lambda: None))
    guards = [_guard(number, clock) for number in range(count)]
    full = _digest(1, guards, clock)
    remote.apply(full, clock.now())

    def choose() -> None:
        target = table.choose(clock.now())
        if isinstance(target, Target):
            table.release(target)

    def renew() -> None:
        clock.advance(timedelta(milliseconds=1))
        empty = Digest(
            entry_id='nadi-entry-1',
            incarnation=1,
            data_centre='nadi',
            number=1,
            base=1,
        )
        remote.apply(empty, clock.now())

    def replace_all() -> None:
        remote.apply(full, clock.now())

    return (
        _cost_s(choose),
        _cost_s(renew),
        _cost_s(replace_all),
        full.ByteSize(),
    )


def main() -> None:
    """Print the cost for each size and the fitted lines."""
    print(
        f'{"members":>8} {"choose us":>10} {"renew us":>10} '
        f'{"full us":>10} {"full bytes":>11}',
    )
    points = [_measure(count) for count in _COUNTS]
    for count, (choose_s, renew_s, full_s, size) in zip(
        _COUNTS, points, strict=True
    ):
        print(
            f'{count:8} {choose_s * _MICROSECONDS:10.1f} '
            f'{renew_s * _MICROSECONDS:10.1f} '
            f'{full_s * _MICROSECONDS:10.1f} {size:11}',
        )
    for position, name in enumerate(('choose us', 'renew us', 'full us')):
        line = fit_line(
            _COUNTS, [point[position] * _MICROSECONDS for point in points]
        )
        print(
            f'{name}: {line.intercept:.4g} + {line.slope:.4g} * members, '
            f'largest residual {line.worst_residual:.3g}',
        )


if __name__ == '__main__':
    main()
