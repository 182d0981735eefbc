"""Caller of a platform deployment that uses persistent connections."""

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
_TIMEOUT = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a call.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if no answer arrived.
    is_sent : bool
        Whether the call was sent, so that it may have been carried out.
    body : dict
        Decoded JSON body.
    """

    status: int
    is_sent: bool = True
    body: dict[str, object] | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the call succeeded."""
        return self.status // 100 == 2

    @property
    def is_refused(self) -> bool:
        """Whether the call certainly had no effect."""
        return self.status in {429, 503} or not self.is_sent

    @property
    def is_unknown_job(self) -> bool:
        """Whether the entry answered that the job does not exist."""
        return self.status == 410

    @property
    def state(self) -> str:
        """State of the job, or an empty string if the answer has none."""
        return str((self.body or {}).get('state', ''))


class SiteCaller:
    """HTTP client of one entry."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the caller; no connection is opened yet."""
        self._pool = HttpPool(address, host=_HOST)

    async def submit(
        self, queue: str, job_id: str, payload: str, steps: list[StepSpec]
    ) -> Answer:
        """Submit a job."""
        body = {'spec': payload, 'steps': [_wire_step(step) for step in steps]}
        return await self._call('POST', f'/{queue}/{job_id}', body)

    async def state(self, queue: str, job_id: str) -> Answer:
        """Query the state of a job."""
        return await self._call('GET', f'/{queue}/{job_id}')

    async def cancel(self, queue: str, job_id: str) -> Answer:
        """Cancel a job."""
        return await self._call('DELETE', f'/{queue}/{job_id}')

    async def count(self, queue: str) -> Answer:
        """Query the number of waiting jobs of a queue."""
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
                timeout=_TIMEOUT,
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
