"""Which jobs a caller may read and cancel."""

from dataclasses import dataclass

__all__ = ('JobAccess',)


@dataclass(frozen=True, slots=True)
class JobAccess:
    """Rights of the caller of a call.

    Parameters
    ----------
    workspace : str or None
        Workspace of the caller; ``None`` without a key.
    public_queue : str
        Queue of the call if that is public, else ``''``. Its jobs and those
        without a workspace are open to all callers.
    """

    workspace: str | None = None
    public_queue: str = ''

    def covers(self, workspace: str, queue: str) -> bool:
        """Return whether a job of a workspace and a queue may be used."""
        if self.public_queue:
            is_open = queue == self.public_queue or not workspace
            return is_open or workspace == self.workspace
        return self.workspace in {None, workspace}
