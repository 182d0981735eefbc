"""Caller of the platform deployment, with connections that stay open."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from dragonflynotch.core.errors import LinkError, NotSentError
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.workflows.jobs import StepSpec

__all__ = ('Answer', 'SiteCaller')

_HOST = 'site.example'
_HEADERS = (
    ('Dragonflynotch-Credential', 'key'),
    ('Dragonflynotch-Deadline-Ms', '3000'),
)
_LIMIT = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a call.

    Parameters
    ----------
    status : int
        Status of the answer, or 0 without one.
    is_sent : bool
        Whether a connection was made, so that the call may have arrived.
    body : dict
        Decoded answer.
    """

    status: int
    is_sent: bool = True
    body: dict[str, object] | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the call has done what it asked for."""
        return self.status // 100 == 2

    @property
    def is_refused(self) -> bool:
        """Whether the call certainly did nothing."""
        return self.status in {429, 503} or not self.is_sent

    @property
    def is_gone(self) -> bool:
        """Whether no such job exists."""
        return self.status == 410

    @property
    def state(self) -> str:
        """State of the job, or ``''``."""
        return str((self.body or {}).get('state', ''))


class SiteCaller:
    """Calls one entry."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the caller; no connection is opened yet."""
        self._pool = HttpPool(address, host=_HOST)

    async def submit(
        self, queue: str, job_id: str, payload: str, steps: list[StepSpec]
    ) -> Answer:
        """Hand a job in."""
        body = {'spec': payload, 'steps': [_wire_step(step) for step in steps]}
        return await self._call('POST', f'/{queue}/{job_id}', body)

    async def state(self, queue: str, job_id: str) -> Answer:
        """Ask for the state of a job."""
        return await self._call('GET', f'/{queue}/{job_id}')

    async def cancel(self, queue: str, job_id: str) -> Answer:
        """Cancel a job."""
        return await self._call('DELETE', f'/{queue}/{job_id}')

    async def count(self, queue: str) -> Answer:
        """Ask how many jobs of a queue wait."""
        return await self._call('GET', f'/{queue}/')

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> Answer:
        try:
            reply = await self._pool.exchange(
                method,
                path,
                body=b'' if body is None else msgspec.json.encode(body),
                headers=_HEADERS,
                timeout=_LIMIT,
            )
        except NotSentError:
            return Answer(0, is_sent=False)
        except LinkError:
            return Answer(0)
        try:
            return Answer(
                reply.status, body=msgspec.json.decode(reply.body, type=dict)
            )
        except msgspec.DecodeError:
            return Answer(reply.status)


def _wire_step(step: StepSpec) -> dict[str, object]:
    return {
        'count': step.count,
        'cpu': step.millicores,
        'mem_mb': step.memory_mb,
        'gpu': step.accelerators,
        'estimated_ms': step.estimated_ms,
        'after': list(step.after),
        'gang': step.is_gang,
        'same_rack': step.wants_one_rack,
        'checkpointing': step.has_checkpoints,
    }
