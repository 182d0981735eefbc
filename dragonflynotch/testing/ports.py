"""Loopback ports for deployments and tests that run beside each other."""

import fcntl
import socket
import tempfile
from collections import deque
from pathlib import Path
from random import SystemRandom
from typing import IO

__all__ = ('free_ports',)

_HOST = '127.0.0.1'
# Below the range from which the operating system takes the ports of outgoing
# connections; one of those could use a port before its server is started.
_PORTS = range(20_000, 32_000)
_BLOCK = 500


class _PortBlock:
    """Ports that belong to this process while it lives.

    A port that was free a moment ago may be chosen by another process too,
    so processes take whole blocks, each under the lock of a file.
    """

    def __init__(self) -> None:
        self._lock: IO[bytes] | None = None
        self._ports: deque[int] = deque()

    def take(self) -> int:
        """Return the port that was given out the longest time ago.

        A port is free until its server starts, so it must not be given out
        twice in a row.
        """
        if not self._ports:
            claimed = self._claim()
            self._ports.extend(SystemRandom().sample(claimed, len(claimed)))
        self._ports.rotate(-1)
        return self._ports[-1]

    def _claim(self) -> range:
        """Return a block; all ports if every block is taken."""
        folder = Path(tempfile.gettempdir()) / 'dragonflynotch-ports'
        folder.mkdir(exist_ok=True)
        firsts = list(_PORTS[::_BLOCK])
        SystemRandom().shuffle(firsts)
        for first in firsts:
            lock = (folder / f'{first}.lock').open('ab')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            return range(first, first + _BLOCK)
        return _PORTS


_block = _PortBlock()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that were free a moment ago.

    Other processes that use this function do not choose them, and this one
    does not return them again before it has gone through its block.
    """
    found: list[int] = []
    for _ in _PORTS:
        if len(found) == count:
            break
        port = _block.take()
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
