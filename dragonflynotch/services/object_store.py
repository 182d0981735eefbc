"""Interface of the platform's object store."""

from abc import ABC, abstractmethod

__all__ = ('ObjectStore',)


class ObjectStore(ABC):
    """Store of immutable objects.

    Methods raise ``PlatformUnavailableError`` while the service is down.
    """

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    @abstractmethod
    async def put(self, key: str, content: bytes) -> None:
        """Store an object; storing the same key again is idempotent."""
