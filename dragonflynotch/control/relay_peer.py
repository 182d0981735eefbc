"""Interface of a peer that serves the store to guards."""

from abc import abstractmethod

from dragonflynotch.control.rows import RowStore

__all__ = ('PeerStore',)


class PeerStore(RowStore):
    """Row store as reached through another process."""

    @abstractmethod
    async def deliver_report(self, content: bytes) -> None:
        """Deliver the ends in an encoded report that could not be written.

        The guard keeps the ends until their orders are gone, so the call may be
        repeated.

        Raises
        ------
        PlatformUnavailableError
            If the process does not schedule or did not answer.
        InvalidInputError
            If the report is malformed.
        """
