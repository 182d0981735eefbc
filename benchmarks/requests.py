"""Throughput and added latency of the request path.

``python -m benchmarks.requests [--seconds S] [--json]`` starts an entry, two
guards and simulated services as processes on loopback. It sends requests
directly to a minion and through entry and guard, in turns. Only ratios within
one run are comparable.
"""

import argparse
import asyncio
import hashlib
import json
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import asdict, dataclass
from pathlib import Path

import httpx
import msgspec
from msgspec.structs import replace

from dragonflynotch.core.requests import content_digest
from dragonflynotch.entry.server import HttpServer
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

__all__ = ('main',)

_HOST = '127.0.0.1'
_TOKEN = 'benchmark-token'
_BODY = b'fridge 4 c' * 20
_START_TIMEOUT_S = 20
_ROUNDS = 3
_CONCURRENT_CALLERS = 16
_WAYS = ('direct', 'idempotent', 'non-idempotent')


@dataclass(frozen=True, slots=True)
class Measurement:
    """Result for one way of sending requests and one number of callers.

    Parameters
    ----------
    way : str
        ``'direct'`` to the minion, else the kind of request through the entry.
    callers : int
        Concurrent callers, each with one request at a time.
    requests_per_second : float
        Answered requests.
    p50_ms, p95_ms : float
        Latency.
    failures : int
        Number of requests without the expected answer.
    """

    way: str
    callers: int
    requests_per_second: float
    p50_ms: float
    p95_ms: float
    failures: int


class _RequestSender:
    """Sends one request in a given way."""

    def __init__(self, plan: DeploymentPlan, client: httpx.AsyncClient) -> None:
        minion = plan.guards[0].minion
        self._minion_url = f'{minion.address.url}/run' if minion else ''
        entry = plan.entries[0].callers.url
        self._entry_url = f'{entry}/v1/workspaces/benchmark/requests'
        self._client = client
        self._sent_count = 0

    async def send(self, way: str) -> bool:
        """Return whether the expected answer arrived."""
        self._sent_count += 1
        request_id = f'request-{self._sent_count}'
        if way == 'direct':
            headers = {
                'Request-Id': request_id,
                'Content-Digest': content_digest(_BODY),
            }
            url = self._minion_url
        else:
            headers = {
                'Authorization': f'Bearer {_TOKEN}',
                'Idempotency-Key': request_id,
                'Request-Idempotent': str(way == 'idempotent').lower(),
            }
            url = self._entry_url
        reply = await self._client.post(url, content=_BODY, headers=headers)
        return reply.content.endswith(_BODY.upper())


async def _measure(
    sender: _RequestSender, way: str, callers: int, duration_s: float
) -> Measurement:
    latencies_ms: list[float] = []
    failures = 0
    end_s = time.monotonic() + duration_s

    async def call() -> None:
        nonlocal failures
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            is_answered = await sender.send(way)
            latencies_ms.append((time.monotonic() - start_s) * 1000)
            failures += not is_answered

    await asyncio.gather(*(call() for _ in range(callers)))
    quantiles_ms = statistics.quantiles(latencies_ms, n=20)
    return Measurement(
        way,
        callers,
        round(len(latencies_ms) / duration_s, 1),
        round(statistics.median(latencies_ms), 2),
        round(quantiles_ms[18], 2),
        failures,
    )


async def _run_simulated_services(ports_json: str) -> None:
    ports = json.loads(ports_json)
    servers = [
        HttpServer(TableApp(MemoryTable()), _HOST, ports['table']),
        HttpServer(
            ObjectStoreApp(MemoryObjectStore()), _HOST, ports['objects']
        ),
        *(
            HttpServer(MinionApp(f'minion-{port}'), _HOST, port)
            for port in ports['minions']
        ),
    ]
    for server in servers:
        server.start()
    await asyncio.Event().wait()


def _start_processes(
    plan: DeploymentPlan, directory: Path
) -> list[subprocess.Popen[bytes]]:
    minions = [
        guard.minion.address.port for guard in plan.guards if guard.minion
    ]
    ports = {
        'table': plan.table.port,
        'objects': plan.object_store.port,
        'minions': minions,
    }
    commands = [
        ['benchmarks.requests', '--simulated-services', json.dumps(ports)]
    ]
    for guard in plan.guards:
        path = directory / f'{guard.guard_id}.json'
        path.write_bytes(msgspec.json.encode(replace(guard, worker=None)))
        commands.append(['dragonflynotch.guard', str(path)])
    for entry in plan.entries:
        path = directory / f'{entry.entry_id}.json'
        path.write_bytes(msgspec.json.encode(entry))
        commands.append(['dragonflynotch.entry', str(path)])
    return [
        subprocess.Popen(
            [sys.executable, '-m', *command], stderr=subprocess.DEVNULL
        )
        for command in commands
    ]


async def _configure_workspace(
    plan: DeploymentPlan, client: httpx.AsyncClient
) -> None:
    entry = plan.entries[0]
    digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
    record = {
        'schema_version': 2,
        'kind': 'workspace',
        'name': 'benchmark',
        'spec': {
            'token_digests': [digest],
            'requests_per_second': 100_000,
            'burst': 100_000,
        },
    }
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            with suppress(httpx.HTTPError):
                ready = await client.get(f'{entry.callers.url}/ready')
                if ready.status_code == httpx.codes.OK:
                    break
            await asyncio.sleep(0.1)
        reply = await client.put(
            f'{entry.operators.url}/v1/records/workspace/benchmark',
            content=json.dumps(record),
            headers={'If-Match': '"0"'},
        )
        reply.raise_for_status()


async def _run(duration_s: float) -> list[Measurement]:
    plan = plan_deployment((SitePlan('lautoka', guards=2),))
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False, timeout=30)
        )
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        processes = _start_processes(plan, Path(directory))
        for process in processes:
            stack.callback(process.wait)
            stack.callback(process.kill)
        await _configure_workspace(plan, client)
        sender = _RequestSender(plan, client)
        for way in _WAYS:
            await _measure(sender, way, 1, duration_s / 4)
        measurements = []
        for _ in range(_ROUNDS):
            for way in _WAYS:
                for callers in (1, _CONCURRENT_CALLERS):
                    measurements.append(
                        await _measure(sender, way, callers, duration_s)
                    )
        return measurements


def _print_table(measurements: list[Measurement]) -> None:
    print(f'{"way":16}{"callers":>8}{"req/s":>9}{"p50 ms":>9}{"p95 ms":>9}')
    for measurement in measurements:
        print(
            f'{measurement.way:16}{measurement.callers:8}'
            f'{measurement.requests_per_second:9.1f}{measurement.p50_ms:9.2f}'
            f'{measurement.p95_ms:9.2f}'
        )
    for callers in (1, _CONCURRENT_CALLERS):
        for way in _WAYS[1:]:
            ratio, added_ms = _compare(measurements, way, callers)
            print(
                f'{way}, {callers} callers: {ratio:.2f} of the direct '
                f'throughput, {added_ms:.2f} ms added at the median'
            )
    print(f'failures: {sum(each.failures for each in measurements)}')


def _compare(
    measurements: list[Measurement], way: str, callers: int
) -> tuple[float, float]:
    """Return throughput ratio and added latency, as medians of the rounds."""

    def select(name: str) -> list[Measurement]:
        return [
            measurement
            for measurement in measurements
            if (measurement.way, measurement.callers) == (name, callers)
        ]

    pairs = list(zip(select(way), select('direct'), strict=True))
    ratio = statistics.median(
        measured.requests_per_second / direct.requests_per_second
        for measured, direct in pairs
    )
    added_ms = statistics.median(
        measured.p50_ms - direct.p50_ms for measured, direct in pairs
    )
    return ratio, added_ms


def main() -> None:
    """Run the benchmark, or the simulated services that it starts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=2)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--simulated-services', help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.simulated_services:
        asyncio.run(_run_simulated_services(arguments.simulated_services))
        return
    measurements = asyncio.run(_run(arguments.seconds))
    if arguments.json:
        print(json.dumps([asdict(measurement) for measurement in measurements]))
    else:
        _print_table(measurements)


if __name__ == '__main__':
    main()
