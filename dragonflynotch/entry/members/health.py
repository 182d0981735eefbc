"""Readiness of an entry for the load balancer."""

from collections.abc import Callable

__all__ = ('Health',)


class Health:
    """Determines whether the entry accepts new requests."""

    def __init__(
        self,
        is_configured: Callable[[], bool],
        has_discovered_guards: Callable[[], bool],
    ) -> None:
        """Report ready while both conditions hold."""
        self._is_configured = is_configured
        self._has_discovered_guards = has_discovered_guards
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new requests."""
        return not self.reason

    @property
    def is_stopping(self) -> bool:
        """Whether callers should move to another entry."""
        return self._is_stopping

    @property
    def reason(self) -> str:
        """Why the entry is not ready, or ``''``."""
        if self._is_stopping:
            return 'stopping'
        if not self._is_configured():
            return 'no current configuration'
        return '' if self._has_discovered_guards() else 'members not heard yet'

    def stop(self) -> None:
        """Report not ready from now on."""
        self._is_stopping = True
