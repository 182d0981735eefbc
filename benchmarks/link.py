"""Cost of each message on the link: ``python -m benchmarks.link``.

The server runs in a process of its own, the peers in this one. The output
shows CPU time and memory of the server only.
"""

import asyncio
import random
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Final

from benchmarks.link_peers import Peer, connect_peer
from benchmarks.link_servers import TRANSPORTS, sample_announcement
from benchmarks.processes import Memory, read_cpu_s, read_memory
from dragonflynotch.testing.ports import free_ports

__all__ = ('main',)

_SEED: Final = 1
_DURATION_S: Final = 8
_WARM_UP_S: Final = 2
_START_TIMEOUT_S: Final = 10
_STOP_TIMEOUT_S: Final = 5
_KB_PER_MB: Final = 1024


@dataclass(frozen=True)
class _Load:
    # An interval of 0 means that a peer sends as soon as it has an answer.
    peers: int
    interval_s: float

    @property
    def label(self) -> str:
        if self.interval_s:
            return f'{self.peers} peers at {1 / self.interval_s:.0f} Hz'
        return f'{self.peers} busy peers'


_LOADS: Final = (_Load(50, 0), _Load(500, 1))


async def _send_announcements(
    peer: Peer, number: int, load: _Load, message_counts: list[int]
) -> None:
    if load.interval_s:
        await asyncio.sleep(random.uniform(0, load.interval_s))
    end_s = time.monotonic() + _WARM_UP_S + _DURATION_S + 1
    while time.monotonic() < end_s:
        start_s = time.monotonic()
        await peer.exchange(sample_announcement(number, message_counts[number]))
        message_counts[number] += 1
        if load.interval_s:
            spent_s = time.monotonic() - start_s
            await asyncio.sleep(max(0, load.interval_s - spent_s))


async def _wait_until_ready(transport: str, port: int) -> None:
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            peer = await connect_peer(transport, port)
            await asyncio.wait_for(peer.exchange(sample_announcement(0, 0)), 1)
        except Exception:
            if time.monotonic() > deadline_s:
                raise
            await asyncio.sleep(0.1)
        else:
            await peer.close()
            return


async def _run_load(
    transport: str, port: int, load: _Load, process_id: int
) -> str:
    await _wait_until_ready(transport, port)
    idle = read_memory(process_id)
    peers = [await connect_peer(transport, port) for _ in range(load.peers)]
    message_counts = [0 for _ in peers]
    senders = [
        asyncio.create_task(
            _send_announcements(peer, number, load, message_counts)
        )
        for number, peer in enumerate(peers)
    ]
    await asyncio.sleep(_WARM_UP_S)
    start_s, start_cpu_s = time.monotonic(), read_cpu_s(process_id)
    start_count = sum(message_counts)
    await asyncio.sleep(_DURATION_S)
    messages = sum(message_counts) - start_count
    cpu_s = read_cpu_s(process_id) - start_cpu_s
    elapsed_s = time.monotonic() - start_s
    loaded = read_memory(process_id)
    results = await asyncio.gather(*senders, return_exceptions=True)
    failed_peers = sum(isinstance(result, Exception) for result in results)
    await asyncio.gather(*(peer.close() for peer in peers))
    return _format_result(
        messages, cpu_s, elapsed_s, (idle, loaded), failed_peers
    )


def _format_result(
    messages: int,
    cpu_s: float,
    elapsed_s: float,
    memory: tuple[Memory, Memory],
    failed_peers: int,
) -> str:
    idle, loaded = memory
    return (
        f'{messages / elapsed_s:9.0f} {cpu_s / messages * 1e6:10.0f} '
        f'{cpu_s / elapsed_s:7.1%} {idle.resident_kb / _KB_PER_MB:10.1f} '
        f'{loaded.resident_kb / _KB_PER_MB:10.1f} '
        f'{loaded.private_kb / _KB_PER_MB:10.1f} {failed_peers:7}'
    )


def _measure_server(transport: str, load: _Load) -> str:
    port = free_ports(1)[0]
    command = (sys.executable, '-m', 'benchmarks.link_servers')
    server = subprocess.Popen((*command, transport, str(port)))
    try:
        return asyncio.run(_run_load(transport, port, load, server.pid))
    finally:
        server.terminate()
        try:
            server.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            server.kill()
            server.wait()


def main() -> None:
    """Print one line for each load and transport."""
    random.seed(_SEED)
    print(
        f'{"load":20} {"transport":9} {"msg/s":>9} {"us/msg":>10} '
        f'{"core":>7} {"idle MB":>10} {"loaded MB":>10} {"private":>10} '
        f'{"failed":>7}',
    )
    for load in _LOADS:
        for transport in TRANSPORTS:
            result = _measure_server(transport, load)
            print(f'{load.label:20} {transport:9} {result}', flush=True)


if __name__ == '__main__':
    main()
