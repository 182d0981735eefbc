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
    """Holds the newest configuration that an entry delivered.

    Parameters
    ----------
    incarnation : int
        Random number drawn at the start of the guard.
    """

    def __init__(self, incarnation: int) -> None:
        """Start without a copy."""
        self._incarnation = incarnation
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

    def observe_revision(self, revision: int) -> None:
        """Note the revision in an acknowledgement."""
        self._seen_revision = max(self._seen_revision, revision)

    def put(self, text: bytes, incarnation: str) -> bool:
        """Apply an update and return whether it was accepted.

        An update that is older than the copy changes nothing. One that was
        sent to a former process of this guard is refused: this process does
        not know how new the former copy was.
        """
        if incarnation != str(self._incarnation):
            return False
        try:
            update = decode_copy(text)
        except msgspec.DecodeError:
            return False
        self._log.apply(update)
        return True

    def get(self) -> bytes:
        """Return the whole copy."""
        return encode_copy(self._log.snapshot)
