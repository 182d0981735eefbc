"""Loopback ports for deployments and tests that run beside each other."""

import fcntl
import socket
import tempfile
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
        self._ports: range | None = None

    @property
    def ports(self) -> range:
        """Ports of the block; all ports if every block is taken."""
        if self._ports is None:
            self._ports = self._claim()
        return self._ports

    def _claim(self) -> range:
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

    Other processes that use this function do not choose them.
    """
    candidates = SystemRandom().sample(_block.ports, len(_block.ports))
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
