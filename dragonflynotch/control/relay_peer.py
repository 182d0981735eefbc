"""Interface of a peer that serves the store to guards."""

from abc import abstractmethod

from dragonflynotch.control.rows import RowStore
from dragonflynotch.core.errors import PlatformUnavailableError

__all__ = ('EndsHeldError', 'PeerStore', 'SilentPeerError')


class SilentPeerError(PlatformUnavailableError):
    """A peer did not answer, so other peers should be tried before it."""


class EndsHeldError(PlatformUnavailableError):
    """A peer schedules and has the ends, but the store does not respond to it.

    It records them if it still schedules when the store responds again.
    """


class PeerStore(RowStore):
    """Row store as reached through another process."""

    @abstractmethod
    async def deliver_report(self, content: bytes) -> None:
        """Deliver the ends in an encoded report that could not be written.

        The guard keeps the ends until their orders are gone, so the call may be
        repeated.

        Raises
        ------
        SilentPeerError
            If the process did not answer.
        EndsHeldError
            If another process may already schedule instead of this one.
        PlatformUnavailableError
            If the process does not schedule.
        InvalidInputError
            If the report is malformed.
        """
