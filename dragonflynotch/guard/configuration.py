"""The guard's copy of the configuration.

Copies at guards let the configuration survive the end of every entry while the
table service is down.
"""

import msgspec

from dragonflynotch.core.configuration import ConfigurationLog
from dragonflynotch.links.configuration_messages import (
    decode_copy,
    encode_copy,
)

__all__ = ('ConfigurationCopy',)


class ConfigurationCopy:
    """Holds the newest configuration that an entry delivered."""

    def __init__(self) -> None:
        """Start without a copy."""
        self._log = ConfigurationLog()
        self._seen_revision = 0

    @property
    def revision(self) -> int:
        """Revision of the copy; 0 without one."""
        return self._log.revision

    @property
    def seen_revision(self) -> int:
        """Highest revision that an entry has named."""
        return max(self._seen_revision, self.revision)

    def notice_revision(self, revision: int) -> None:
        """Note the revision in an acknowledgement."""
        self._seen_revision = max(self._seen_revision, revision)

    def put(self, text: bytes) -> bool:
        """Apply an update and return whether the text was well formed.

        An update that is older than the copy changes nothing.
        """
        try:
            update = decode_copy(text)
        except msgspec.DecodeError:
            return False
        self._log.apply(update)
        return True

    def get(self) -> bytes:
        """Return the whole copy."""
        return encode_copy(self._log.snapshot)
