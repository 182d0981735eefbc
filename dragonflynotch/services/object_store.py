"""Interface of the platform's object store."""

from abc import ABC, abstractmethod

__all__ = ('ObjectStore',)


class ObjectStore(ABC):
    """Store of objects that never change once written.

    All methods raise ``PlatformUnavailableError`` if the service fails or does
    not respond.
    """

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    @abstractmethod
    async def put(self, key: str, content: bytes) -> None:
        """Store an object; a repeated call has no further effect."""
