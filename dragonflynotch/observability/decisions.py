"""Structured log of decisions: JSON lines on standard output.

Lines are dropped and counted when the reader of the output is slow or when an
event repeats more often than its limit, so that logging never blocks.
"""

import os
import sys
import time
from datetime import UTC, datetime
from typing import Any

import msgspec

__all__ = ('DecisionLog', 'decision_log')

# Enough for every decision of an ordinary second; above it only counts help.
_MAX_LINES_PER_EVENT_AND_S = 200
_MAX_BUFFERED_BYTES = 262_144


class DecisionLog:
    """Writes one JSON line for each decision.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``."""
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._buffer = bytearray()
        self._node = ''
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped = 0

    def start(self, node: str, descriptor: int | None = None) -> None:
        """Set the node name of all lines and make the output non-blocking.

        Parameters
        ----------
        descriptor : int, optional
            Output from now on.
        """
        self._node = node
        if descriptor is not None:
            self._descriptor = descriptor
        os.set_blocking(self._descriptor, False)

    def record(self, event: str, **fields: Any) -> None:
        """Write a line.

        Parameters
        ----------
        event : str
            Name of the decision, for example ``'job_accepted'``.
        **fields
            Identifiers, inputs with their age or version, and the outcome.
        """
        if not self._is_within_limit(event):
            self._dropped += 1
            return
        line = {
            'time': datetime.now(UTC).isoformat(timespec='milliseconds'),
            'node': self._node,
            'event': event,
            **fields,
        }
        if self._dropped:
            line['dropped_lines'] = self._dropped
            self._dropped = 0
        self._write(self._encoder.encode(line) + b'\n')

    def _is_within_limit(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= _MAX_LINES_PER_EVENT_AND_S

    def _write(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._buffer += line
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the output any more; the lines have no use.
            written = len(self._buffer)
        del self._buffer[:written]


decision_log = DecisionLog(sys.__stdout__.fileno() if sys.__stdout__ else 1)
