"""Cost of the real guard and entry: ``python -m benchmarks.daemons``.

The daemons run as processes on loopback; the simulated services of the platform
and the simulated peers run in this process. The output shows memory and CPU
time of the daemon, and the bytes of its announcements and acknowledgements.
"""

import asyncio
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from benchmarks.heartbeats import SimulatedGuards, SimulatedOwner, Traffic
from benchmarks.processes import (
    Memory,
    fit_line,
    read_cpu_s,
    read_memory,
)
from dragonflynotch.entry.server import HttpServer
from dragonflynotch.records.settings import Address
from dragonflynotch.testing.deployment import (
    DeploymentPlan,
    SitePlan,
    plan_deployment,
)
from dragonflynotch.testing.minion import MinionApp
from dragonflynotch.testing.object_store import (
    MemoryObjectStore,
    ObjectStoreApp,
)
from dragonflynotch.testing.table import MemoryTable, TableApp
from dragonflynotch.testing.worker import WorkerApp

__all__ = ('main',)

_WARM_UP_S: Final = 4
# The owner requests the report of each guard that joins; the sample starts
# after that.
_WARM_UP_PER_PEER_S: Final = 0.05
_SAMPLE_DURATION_S: Final = 10
_STOP_TIMEOUT_S: Final = 5
_KB_PER_MB: Final = 1024
_GUARD_COUNTS: Final = (0, 10, 100, 500)
_ENTRY_COUNTS: Final = (1, 3)


@dataclass(frozen=True)
class _Sample:
    peers: int
    memory: Memory
    core_share: float
    bytes_per_s: float
    messages_per_s: float
    joining_cpu_s: float


@contextmanager
def _run_daemon(role: str, settings: msgspec.Struct) -> Iterator[int]:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'settings.json'
        path.write_bytes(msgspec.json.encode(settings))
        process = subprocess.Popen(
            (sys.executable, '-m', f'dragonflynotch.{role}', str(path)),
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process.pid
        finally:
            process.terminate()
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _create_servers(plan: DeploymentPlan) -> list[HttpServer]:
    store = MemoryObjectStore()
    servers = [
        HttpServer(TableApp(MemoryTable()), *plan.table.host_and_port),
        HttpServer(ObjectStoreApp(store), *plan.object_store.host_and_port),
    ]
    for guard in plan.guards:
        if guard.minion and guard.worker:
            minion = MinionApp(guard.minion.minion_id)
            worker = WorkerApp(store)
            servers.append(
                HttpServer(minion, *guard.minion.address.host_and_port)
            )
            servers.append(
                HttpServer(worker, *guard.worker.address.host_and_port)
            )
    return servers


async def _take_sample(
    process_id: int, traffic: Traffic, peers: int
) -> _Sample:
    initial_cpu_s = read_cpu_s(process_id)
    await asyncio.sleep(_WARM_UP_S + _WARM_UP_PER_PEER_S * peers)
    start_s, start_cpu_s = time.monotonic(), read_cpu_s(process_id)
    start_payload_bytes, start_messages = (
        traffic.payload_bytes,
        traffic.messages,
    )
    await asyncio.sleep(_SAMPLE_DURATION_S)
    elapsed_s = time.monotonic() - start_s
    return _Sample(
        peers=peers,
        memory=read_memory(process_id),
        core_share=(read_cpu_s(process_id) - start_cpu_s) / elapsed_s,
        bytes_per_s=(traffic.payload_bytes - start_payload_bytes) / elapsed_s,
        messages_per_s=(traffic.messages - start_messages) / elapsed_s,
        joining_cpu_s=start_cpu_s - initial_cpu_s,
    )


async def _measure_guard(plan: DeploymentPlan, entries: int) -> _Sample:
    traffic = Traffic()
    owners = [SimulatedOwner(traffic) for _ in range(entries)]
    addresses = [await owner.open() for owner in owners]
    settings = msgspec.structs.replace(
        plan.guards[0],
        entries=tuple(Address(*address) for address in addresses),
    )
    with _run_daemon('guard', settings) as process_id:
        sample = await _take_sample(process_id, traffic, entries)
    for owner in owners:
        owner.close()
    return sample


async def _measure_entry(plan: DeploymentPlan) -> list[_Sample]:
    samples = []
    entry = plan.entries[0]
    with _run_daemon('entry', entry) as process_id:
        for count in _GUARD_COUNTS:
            traffic = Traffic()
            guards = SimulatedGuards(traffic, entry.announcements.host_and_port)
            await guards.open(count)
            samples.append(await _take_sample(process_id, traffic, count))
            guards.close()
    return samples


def _print_samples(role: str, peer_role: str, samples: list[_Sample]) -> None:
    print(
        f'{role:6} {peer_role:>8} {"msg/s":>8} {"bytes/s":>9} {"core":>8} '
        f'{"resident MB":>12} {"private MB":>11} {"joining s":>10}',
    )
    for sample in samples:
        print(
            f'{role:6} {sample.peers:8} {sample.messages_per_s:8.1f} '
            f'{sample.bytes_per_s:9.0f} {sample.core_share:8.2%} '
            f'{sample.memory.resident_kb / _KB_PER_MB:12.1f} '
            f'{sample.memory.private_kb / _KB_PER_MB:11.1f} '
            f'{sample.joining_cpu_s:10.2f}',
        )


def _print_fit(role: str, peer_role: str, samples: list[_Sample]) -> None:
    counts = [sample.peers for sample in samples]
    series = {
        'share of a core': [sample.core_share for sample in samples],
        'private MB': [
            sample.memory.private_kb / _KB_PER_MB for sample in samples
        ],
        'bytes/s': [sample.bytes_per_s for sample in samples],
    }
    for name, values in series.items():
        line = fit_line(counts, values)
        print(
            f'{role} {name}: {line.intercept:.5g} + {line.slope:.5g} * '
            f'{peer_role}, largest residual {line.worst_residual:.3g}',
        )


async def _measure() -> None:
    plan = plan_deployment((SitePlan('lautoka'),))
    servers = _create_servers(plan)
    for server in servers:
        server.start()
    guard_samples = [
        await _measure_guard(plan, count) for count in _ENTRY_COUNTS
    ]
    _print_samples('guard', 'entries', guard_samples)
    _print_fit('guard', 'entries', guard_samples)
    entry_samples = await _measure_entry(plan)
    _print_samples('entry', 'guards', entry_samples)
    _print_fit('entry', 'guards', entry_samples)
    for server in servers:
        await server.stop()


def main() -> None:
    """Print the samples of both daemons and the lines fitted to them."""
    asyncio.run(_measure())


if __name__ == '__main__':
    main()
