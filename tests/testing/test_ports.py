"""Ports of concurrent processes."""

import subprocess
import sys

from dragonflynotch.testing.ports import free_ports

PROGRAM = (
    'from dragonflynotch.testing.ports import free_ports\n'
    'print(*free_ports(400), flush=True)\n'
    'input()\n'
)


def test_port_is_not_returned_again_before_its_server_starts():
    """Two servers of one deployment must not get the same port."""
    ports = [port for _ in range(100) for port in free_ports(2)]
    assert len(set(ports)) == len(ports)


def test_concurrent_processes_get_different_ports():
    """Concurrent test runs must not start servers on the same port."""
    own = set(free_ports(400))
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    chosen = [
        {int(port) for port in process.stdout.readline().split()}
        for process in processes
    ]
    for process in processes:
        process.communicate('\n')
    sets = [own, *chosen]
    assert all(sets)
    assert len(set.union(*sets)) == sum(len(ports) for ports in sets)
