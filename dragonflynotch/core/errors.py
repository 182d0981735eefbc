"""Exceptions; each can name the failed step and the peer involved."""

__all__ = (
    'ConflictError',
    'DragonflynotchError',
    'EntryNotConnectedError',
    'InvalidInputError',
    'LinkError',
    'LinkTimeoutError',
    'NotSentError',
    'PlatformUnavailableError',
    'UncertainWriteError',
)


class DragonflynotchError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    message : str
        Description of the error in one sentence.
    step : str
        Operation that failed, for example ``'hand over'``, or ``''``.
    peer : str
        Process or service that the operation addressed, or ``''`` if the error
        arose in this process.
    """

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        """Store the message with its step and peer."""
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, followed by the step and the peer if known."""
        context = ' '.join(
            part
            for part in (
                self.step and f'step {self.step!r}',
                self.peer and f'peer {self.peer!r}',
            )
            if part
        )
        message = super().__str__()
        return f'{message} ({context})' if context else message


class InvalidInputError(DragonflynotchError):
    """An input from outside the process does not have the expected form.

    Parameters
    ----------
    path : str
        Path of the field, for example ``'$.spec.quota'``.
    value : object
        Value that was received.
    expected : str
        Description of the values that are allowed.
    """

    def __init__(self, path: str, value: object, expected: str) -> None:
        """Build the message from the path, the value and what was expected."""
        shown = repr(value)[:200]
        super().__init__(f'{path}: got {shown}, expected {expected}')
        self.path = path
        self.value = value
        self.expected = expected


class PlatformUnavailableError(DragonflynotchError):
    """A platform service refused a call or did not answer.

    Nothing was written.
    """


class UncertainWriteError(DragonflynotchError):
    """A write to a platform service may or may not have taken effect."""


class LinkError(DragonflynotchError):
    """A call to another process of the system failed."""


class LinkTimeoutError(LinkError):
    """Another process did not answer in time."""


class NotSentError(LinkError):
    """No HTTP connection could be made, so nothing was sent."""


class EntryNotConnectedError(LinkError):
    """No connection to another entry could be made, so nothing was sent."""


class ConflictError(DragonflynotchError):
    """A conditional write was rejected because the revision differs.

    Parameters
    ----------
    current_revision : int
        Revision that is stored.
    """

    def __init__(
        self,
        message: str,
        *,
        current_revision: int,
        step: str = '',
        peer: str = '',
    ) -> None:
        """Store the message and the current revision."""
        super().__init__(message, step=step, peer=peer)
        self.current_revision = current_revision
