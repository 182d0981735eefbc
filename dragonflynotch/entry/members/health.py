"""Readiness of an entry, as the load balancer sees it."""

from collections.abc import Callable

__all__ = ('Health',)


class Health:
    """Tells whether the entry takes new requests."""

    def __init__(
        self,
        is_configured: Callable[[], bool],
        knows_members: Callable[[], bool],
    ) -> None:
        """Report ready once both conditions hold."""
        self._is_configured = is_configured
        self._knows_members = knows_members
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
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
        return '' if self._knows_members() else 'members not heard yet'

    def stop(self) -> None:
        """Report not ready from now on."""
        self._is_stopping = True
