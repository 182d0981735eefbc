"""Error types. Each error names the step and the peer where it arose."""

__all__ = (
    'ConflictError',
    'DragonflynotchError',
    'InvalidInputError',
    'LinkError',
    'LinkRefusedError',
    'LinkTimeoutError',
    'NotSentError',
    'PlatformUnavailableError',
    'UncertainWriteError',
)


class DragonflynotchError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    message : str
        One sentence.
    step : str
        The operation that failed, for example ``'hand over'``.
    peer : str
        The process or service on the other side, or ``''`` for this process.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        """Store the message with its step and peer."""
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with the step and the peer."""
        place = ' '.join(
            part
            for part in (
                self.step and f'step {self.step!r}',
                self.peer and f'peer {self.peer!r}',
            )
            if part
        )
        message = super().__str__()
        return f'{message} ({place})' if place else message


class InvalidInputError(DragonflynotchError):
    """A value from outside does not have the expected form.

    Parameters
    ----------
    path : str
        Path of the field, for example ``'$.spec.quota'``.
    value : object
        The offending value.
    expected : str
        What was expected.
    """

    def __init__(self, path: str, value: object, expected: str) -> None:
        """Build the message from the path, the value and the expectation."""
        shown = repr(value)[:200]
        super().__init__(f'{path}: got {shown}, expected {expected}')
        self.path = path
        self.value = value
        self.expected = expected


class PlatformUnavailableError(DragonflynotchError):
    """A platform service refused or did not answer; nothing was written."""


class UncertainWriteError(DragonflynotchError):
    """A write to a platform service may or may not have taken effect."""


class LinkError(DragonflynotchError):
    """A message to another process failed."""


class LinkTimeoutError(LinkError):
    """Another process did not answer in time."""


class NotSentError(LinkError):
    """No connection was made, so nothing was sent."""


class LinkRefusedError(LinkError):
    """No connection to the other process; nothing was sent."""


class ConflictError(DragonflynotchError):
    """A conditional write found another revision than the expected one.

    Parameters
    ----------
    current_revision : int
        The revision found.
    """

    def __init__(
        self,
        message: str,
        *,
        current_revision: int,
        step: str = '',
        peer: str = '',
    ) -> None:
        """Store the revision found."""
        super().__init__(message, step=step, peer=peer)
        self.current_revision = current_revision
