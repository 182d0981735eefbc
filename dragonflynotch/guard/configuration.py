"""The guard's copy of the configuration.

Entries restore the configuration from these copies if all of them restart
while the table service is down.
"""

from dragonflynotch.core.configuration import ConfigurationLog
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.links.configuration_messages import (
    decode_copy,
    encode_copy,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('ConfigurationCopy',)

_log = part_logger('guard.configuration')


class ConfigurationCopy:
    """Holds the newest configuration received from an entry.

    Parameters
    ----------
    incarnation : int
        Random number that identifies this process of the guard.
    """

    def __init__(self, incarnation: int) -> None:
        """Start with an empty copy at revision 0."""
        self._incarnation = incarnation
        self._log = ConfigurationLog()
        self._seen_revision = 0

    @property
    def revision(self) -> int:
        """Revision of the copy; 0 while it is empty."""
        return self._log.revision

    @property
    def seen_revision(self) -> int:
        """Highest revision in any update or acknowledgement of an entry."""
        return max(self._seen_revision, self.revision)

    def observe_revision(self, revision: int) -> None:
        """Record the revision that an acknowledgement carries."""
        self._seen_revision = max(self._seen_revision, revision)

    def put(self, payload: bytes, incarnation: str) -> bool:
        """Apply an update and return whether it was accepted.

        An update that is older than the copy has no effect. An update for
        another incarnation is refused, because it may be based on the copy of
        the previous process of this guard, whose revision is not known here.
        """
        if incarnation != str(self._incarnation):
            return False
        update = decode_copy(payload)
        if isinstance(update, Unreadable):
            _log.warning('dropped a configuration update: {}', update.reason)
            return False
        self._log.apply(update)
        return True

    def get(self) -> bytes:
        """Return the copy as an encoded snapshot."""
        return encode_copy(self._log.snapshot)
