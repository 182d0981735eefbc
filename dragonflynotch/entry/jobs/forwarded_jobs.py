"""Job calls that travel to the entry that owns the partition."""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError, LinkRefusedError
from dragonflynotch.entry.jobs.job_service import (
    HTTP_OK,
    JobAnswer,
    JobCommand,
    JobMethod,
    JobService,
    refusal_answer,
)
from dragonflynotch.entry.partition.owner_inputs import JobRefused, JobUnknown
from dragonflynotch.entry.partition.ownership import OwnershipKeeper
from dragonflynotch.entry.peers.exchange import SchedulingPort
from dragonflynotch.entry.peers.remote_entries import PeerState, RemoteEntries
from dragonflynotch.links.digest_codec import milliseconds
from dragonflynotch.links.entry_link import EntryLink
from dragonflynotch.links.entry_link_pb2 import JobCall, JobReply

__all__ = ('ForwardingJobService', 'LocalSchedulingPort')

# Longer than the 5 s that an owner waits for the record of a job.
_FORWARD_TIMEOUT = timedelta(seconds=6)
_RETRY_AFTER = timedelta(seconds=2)
_TRY_ELSEWHERE = frozenset(('unknown_job', 'never_runnable'))


class _JobList(msgspec.Struct):
    jobs: list[msgspec.Raw]


class ForwardingJobService(JobService):
    """Answers from the own partition or asks its owner.

    A call that names no data centre is tried in the own one first. A job that
    can never run in one data centre is offered to the next.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    local : JobService
        Service of the own partition.
    remote : RemoteEntries
        Other entries and the partitions that they own.
    link_to : callable
        Returns the link to an address ``host:port``.
    clock : Clock
        Clock of the entry.
    """

    def __init__(
        self,
        data_centre: str,
        local: JobService,
        remote: RemoteEntries,
        link_to: Callable[[str], EntryLink | None],
        clock: Clock,
    ) -> None:
        """Create the service."""
        self._data_centre = data_centre
        self._local = local
        self._remote = remote
        self._link_to = link_to
        self._clock = clock

    async def call(self, command: JobCommand) -> JobAnswer:
        """Return the answer to one call; never raises for bad input."""
        if command.method is JobMethod.list_all:
            return await self._list(command)
        first: JobAnswer | None = None
        for data_centre in self._targets(command):
            answer = await self._call_partition(data_centre, command)
            if answer.reason not in _TRY_ELSEWHERE:
                return answer
            first = first or answer
        return first or _no_owner(command.data_centre)

    def _targets(self, command: JobCommand) -> tuple[str, ...]:
        if command.data_centre:
            return (command.data_centre,)
        others = {
            peer.data_centre
            for peer in self._live_owners()
            if peer.data_centre != self._data_centre
        }
        return (self._data_centre, *sorted(others))

    async def _list(self, command: JobCommand) -> JobAnswer:
        jobs: list[msgspec.Raw] = []
        for data_centre in self._targets(command):
            answer = await self._call_partition(data_centre, command)
            if not answer.is_success:
                return answer
            jobs += msgspec.json.decode(answer.body, type=_JobList).jobs
        return JobAnswer(HTTP_OK, msgspec.json.encode(_JobList(jobs)))

    async def _call_partition(
        self, data_centre: str, command: JobCommand
    ) -> JobAnswer:
        if data_centre == self._data_centre:
            answer = await self._local.call(command)
            if not answer.is_not_owner:
                return answer
        owner = _newest_owner(self._live_owners(), data_centre)
        if owner is None:
            return _no_owner(data_centre)
        return await self._forward(owner, command)

    def _live_owners(self) -> tuple[PeerState, ...]:
        return tuple(
            peer
            for peer in self._remote.live(self._clock.now())
            if peer.owned_fence
        )

    async def _forward(
        self, owner: PeerState, command: JobCommand
    ) -> JobAnswer:
        link = self._link_to(f'{owner.link[0]}:{owner.link[1]}')
        if link is None:
            return _no_owner(owner.data_centre)
        try:
            reply = await link.call_jobs(
                _encode(command, owner.data_centre), _FORWARD_TIMEOUT
            )
        except LinkError as error:
            return _lost(command, error)
        retry_after = timedelta(milliseconds=reply.retry_after_ms)
        return JobAnswer(reply.status, reply.body, retry_after or None)


class LocalSchedulingPort(SchedulingPort):
    """Connects the exchange between entries to this entry's partition."""

    def __init__(self, keeper: OwnershipKeeper, jobs: JobService) -> None:
        """Answer calls with ``jobs`` and grants with ``keeper``."""
        self._keeper = keeper
        self._jobs = jobs

    @property
    def owned_fence(self) -> int:
        """Fence of the owned partition; 0 for none."""
        return self._keeper.fence

    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over for a time."""
        return self._keeper.grant(owner, fence)

    def receive_grant(self, entry_id: str, asked_at: datetime) -> None:
        """Record that an entry granted a digest sent at ``asked_at``."""
        self._keeper.receive_grant(entry_id, asked_at)

    async def answer(self, call: JobCall) -> JobReply:
        """Return the answer of this entry's partition to a job call."""
        answer = await self._jobs.call(
            JobCommand(
                JobMethod(call.method),
                call.workspace,
                call.job_id,
                call.idempotency_key,
                call.body,
                call.data_centre,
            )
        )
        return JobReply(
            status=answer.status,
            body=answer.body,
            retry_after_ms=milliseconds(answer.retry_after or timedelta()),
        )


def _newest_owner(
    owners: Iterable[PeerState], data_centre: str
) -> PeerState | None:
    # A former owner may still announce its fence until it notices the loss.
    return max(
        (peer for peer in owners if peer.data_centre == data_centre),
        key=lambda peer: peer.owned_fence,
        default=None,
    )


def _encode(command: JobCommand, data_centre: str) -> JobCall:
    return JobCall(
        data_centre=data_centre,
        workspace=command.workspace,
        method=command.method.value,
        job_id=command.job_id,
        idempotency_key=command.idempotency_key,
        body=command.body,
    )


def _no_owner(data_centre: str) -> JobAnswer:
    return refusal_answer(
        JobRefused(
            'no_owner',
            f'no owner of partition {data_centre!r} is known',
            _RETRY_AFTER,
        )
    )


def _lost(command: JobCommand, error: LinkError) -> JobAnswer:
    is_change = command.method in {JobMethod.submit, JobMethod.cancel}
    if is_change and not isinstance(error, LinkRefusedError):
        return refusal_answer(
            JobUnknown(
                'no_answer', f'owner did not answer: {error}', _RETRY_AFTER
            )
        )
    return refusal_answer(
        JobRefused('no_answer', f'owner did not answer: {error}', _RETRY_AFTER)
    )
