"""Ports of processes that run beside each other."""

import subprocess
import sys

from dragonflynotch.testing.ports import free_ports

PROGRAM = (
    'from dragonflynotch.testing.ports import free_ports\n'
    'print(*free_ports(500), flush=True)\n'
    'input()\n'
)


def test_processes_beside_each_other_choose_other_ports():
    """Two test runs at once must not start servers on one port."""
    own = set(free_ports(500))
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
