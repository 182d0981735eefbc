"""Stand-in of the platform's object store."""

from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.platform.object_store import ObjectStore

__all__ = ('MemoryObjectStore',)


class MemoryObjectStore(ObjectStore):
    """Object store in memory; set ``is_down`` to make it fail."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.is_down = False
        self._objects: dict[str, bytes] = {}

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        self._check('get')
        return self._objects.get(key)

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; storing the same key again is idempotent."""
        self._check('put')
        # Objects are immutable, so the first content stays.
        self._objects.setdefault(key, content)

    def _check(self, step: str) -> None:
        if self.is_down:
            raise PlatformUnavailableError(
                'down on demand', step=step, peer='object store'
            )
