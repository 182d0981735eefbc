"""Whether an entry takes new callers."""

from enum import Enum

__all__ = ('Lifecycle', 'LifecycleState')


class LifecycleState(Enum):
    """Phase of an entry process."""

    starting = 'starting'
    ready = 'ready'
    stopping = 'stopping'


class Lifecycle:
    """State shared by the servers of an entry; it never goes back."""

    def __init__(self) -> None:
        """Start as not ready."""
        self._state = LifecycleState.starting

    @property
    def state(self) -> LifecycleState:
        """Current phase."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers."""
        return self._state is LifecycleState.ready

    @property
    def is_stopping(self) -> bool:
        """Whether callers should move to another entry."""
        return self._state is LifecycleState.stopping

    def become_ready(self) -> None:
        """Take callers, unless the entry stops already."""
        if self._state is LifecycleState.starting:
            self._state = LifecycleState.ready

    def begin_stop(self) -> None:
        """Ask callers to move to another entry."""
        self._state = LifecycleState.stopping
