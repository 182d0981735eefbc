"""Structured log of decisions: JSON lines on standard output.

Logging never blocks: a line is dropped and counted if the reader of the output
is slow or if its event exceeds the rate limit.
"""

import os
import sys
import time
from datetime import UTC, datetime
from typing import Any

import msgspec

__all__ = ('DecisionLog', 'decision_log')

# Covers all decisions under normal load; in an event storm the number of
# dropped lines is enough.
_MAX_LINES_PER_EVENT_PER_S = 200
_MAX_BUFFERED_BYTES = 262_144


class DecisionLog:
    """Writes one JSON line for each decision.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a log that writes to ``descriptor``."""
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._buffer = bytearray()
        self._node = ''
        self._count_second = 0
        self._event_counts: dict[str, int] = {}
        self._dropped = 0

    def start(self, node: str, descriptor: int | None = None) -> None:
        """Set the node name of all lines and make the output non-blocking.

        Parameters
        ----------
        node : str
            Name of the process that writes the lines.
        descriptor : int, optional
            Replaces the output of the log.
        """
        self._node = node
        if descriptor is not None:
            self._descriptor = descriptor
        os.set_blocking(self._descriptor, False)

    def record(self, event: str, **fields: Any) -> None:
        """Write one decision, unless its event exceeds the rate limit.

        Parameters
        ----------
        event : str
            Name of the decision, for example ``'job_accepted'``.
        **fields
            Identifiers, inputs with their age or version, and the outcome of
            the decision.
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
        if second != self._count_second:
            self._count_second = second
            self._event_counts.clear()
        count = self._event_counts.get(event, 0) + 1
        self._event_counts[event] = count
        return count <= _MAX_LINES_PER_EVENT_PER_S

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
            # The reader has closed the output: discard the buffered lines.
            written = len(self._buffer)
        del self._buffer[:written]


decision_log = DecisionLog(sys.__stdout__.fileno() if sys.__stdout__ else 1)
