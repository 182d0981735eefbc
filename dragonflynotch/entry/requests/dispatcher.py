"""Applies quotas and passes requests to the runner for their kind."""

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.limits import WorkspaceQuota
from dragonflynotch.core.requests import NotRun, Outcome, Request
from dragonflynotch.core.workspaces import WorkspaceSpec
from dragonflynotch.entry.requests.at_most_once import AtMostOnceRunner
from dragonflynotch.entry.requests.idempotent import IdempotentRunner
from dragonflynotch.entry.requests.target_queue import TargetQueue

__all__ = ('Dispatcher',)


class Dispatcher:
    """Runs requests of callers within the quotas of their workspaces.

    Parameters
    ----------
    queue : TargetQueue
        Assigns slots by priority.
    idempotent : IdempotentRunner
        Runs requests that may run more than once.
    at_most_once : AtMostOnceRunner
        Runs all other requests.
    clock : Clock
        Clock for the quotas.
    """

    def __init__(
        self,
        queue: TargetQueue,
        idempotent: IdempotentRunner,
        at_most_once: AtMostOnceRunner,
        clock: Clock,
    ) -> None:
        """Create a dispatcher; quotas are created when first used."""
        self._queue = queue
        self._idempotent = idempotent
        self._at_most_once = at_most_once
        self._clock = clock
        self._quotas: dict[str, WorkspaceQuota] = {}

    async def dispatch(
        self, request: Request, workspace: WorkspaceSpec
    ) -> Outcome:
        """Return the one outcome of the request as soon as it is known.

        Parameters
        ----------
        request : Request
            The request; its class exists in the workspace.
        workspace : WorkspaceSpec
            The caller's workspace as configured now.
        """
        now = self._clock.now()
        quota = self._quotas.get(workspace.name)
        if quota is None:
            quota = WorkspaceQuota(workspace, now)
            self._quotas[workspace.name] = quota
        refusal = quota.admit(workspace, now)
        if refusal is not None:
            return NotRun(
                refusal.reason,
                f'workspace {workspace.name!r} exceeded its request quota',
                refusal.retry_after,
                step='quota',
            )
        try:
            return await self._run(request, workspace)
        finally:
            quota.release()

    async def _run(self, request: Request, workspace: WorkspaceSpec) -> Outcome:
        request_class = workspace.classes[request.request_class]
        ticket = self._queue.create_ticket(request, request_class.priority)
        if request.is_idempotent:
            return await self._idempotent.run(request, ticket)
        return await self._at_most_once.run(request, ticket)
