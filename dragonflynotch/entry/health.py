"""Readiness of an entry, as the load balancer sees it."""

from collections.abc import Callable

__all__ = ('Health',)


class Health:
    """Tells whether the entry takes new requests."""

    def __init__(self, is_configured: Callable[[], bool]) -> None:
        """Report ready once ``is_configured`` returns true."""
        self._is_configured = is_configured
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self._is_configured() and not self._is_stopping

    @property
    def reason(self) -> str:
        """Why the entry is not ready, or ``''``."""
        if self._is_stopping:
            return 'stopping'
        return '' if self._is_configured() else 'no current configuration'

    def stop(self) -> None:
        """Report not ready from now on."""
        self._is_stopping = True
