"""Loopback ports for deployments and tests that run concurrently."""

import fcntl
import socket
import tempfile
from collections import deque
from pathlib import Path
from random import SystemRandom
from typing import IO

__all__ = ('free_ports',)

_HOST = '127.0.0.1'
# Below the ephemeral range of the operating system: an outgoing connection
# could otherwise occupy a port before its server starts.
_PORT_RANGE = range(20_000, 32_000)
_BLOCK_SIZE = 500


class _PortBlock:
    """Ports that are reserved for this process until it exits.

    Another process could choose the same free port before its server starts.
    Each process therefore reserves a whole block of ports with a file lock.
    """

    def __init__(self) -> None:
        self._lock: IO[bytes] | None = None
        self._ports: deque[int] = deque()

    def take(self) -> int:
        """Return the least recently used port of the block.

        A port still tests as free until its server starts, so reusing ports
        early could assign one port to two servers.
        """
        if not self._ports:
            block = self._lock_block()
            self._ports.extend(SystemRandom().sample(block, len(block)))
        self._ports.rotate(-1)
        return self._ports[-1]

    def _lock_block(self) -> range:
        """Lock a free block and return its ports; all ports if none is free."""
        folder = Path(tempfile.gettempdir()) / 'dragonflynotch-ports'
        folder.mkdir(exist_ok=True)
        first_ports = list(_PORT_RANGE[::_BLOCK_SIZE])
        SystemRandom().shuffle(first_ports)
        for first in first_ports:
            lock = (folder / f'{first}.lock').open('ab')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            return range(first, first + _BLOCK_SIZE)
        return _PORT_RANGE


_process_ports = _PortBlock()


def free_ports(count: int) -> list[int]:
    """Return ``count`` free loopback ports.

    Other processes that use this function get other ports, and this process
    gets a port again only after all others of its block.
    """
    found: list[int] = []
    for _ in _PORT_RANGE:
        if len(found) == count:
            break
        port = _process_ports.take()
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
