"""Takes a request through routing and hand-over to its one outcome."""

from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.requests import (
    Answer,
    NotRun,
    Outcome,
    Request,
    Unknown,
)
from dragonflynotch.core.routing import NoTarget, RoutingTable
from dragonflynotch.links.guard_link import GuardLink, GuardRefusal

__all__ = ('Dispatcher',)

_RETRY_AFTER = timedelta(seconds=1)


class Dispatcher:
    """Serves requests of callers."""

    def __init__(
        self, routing: RoutingTable, link: GuardLink, clock: Clock
    ) -> None:
        """Route with ``routing`` and hand over through ``link``."""
        self._routing = routing
        self._link = link
        self._clock = clock

    async def dispatch(self, request: Request) -> Outcome:
        """Return the one outcome of the request, at once when it is known."""
        tried: set[str] = set()
        while True:
            now = self._clock.now()
            target = self._routing.choose(now, excluded=tried)
            if isinstance(target, NoTarget):
                return NotRun(
                    target.reason,
                    'no minion can take the request now',
                    target.retry_after,
                    step='route',
                )
            tried.add(target.guard_id)
            attempt = f'{request.request_id}-{len(tried)}'
            try:
                reply = await self._link.run(
                    target, request, attempt, request.deadline - now
                )
            except LinkError as error:
                if request.is_idempotent:
                    continue
                return Unknown(
                    'no_answer',
                    str(error),
                    _RETRY_AFTER,
                    step=error.step,
                    peer=error.peer,
                    handed_to=target.guard_id,
                    handed_at=now,
                )
            if not isinstance(reply, GuardRefusal):
                return Answer(request.request_id, reply, target.minion_id)
