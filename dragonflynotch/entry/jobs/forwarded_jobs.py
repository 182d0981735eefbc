"""Forwarding of job calls to the entry that owns the partition.

A partition is the scheduler of one data centre. One entry owns it at a time.
"""

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import EntryNotConnectedError, LinkError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.entry.jobs.job_service import (
    HTTP_OK,
    JobAnswer,
    JobCommand,
    JobMethod,
    JobService,
    refusal_answer,
)
from dragonflynotch.entry.partition.owner_inputs import (
    JobOutcomeUnknown,
    JobRefused,
)
from dragonflynotch.entry.partition.ownership import OwnershipManager
from dragonflynotch.entry.peers.exchange import SchedulingHandler
from dragonflynotch.entry.peers.remote_entries import PeerState, RemoteEntries
from dragonflynotch.links.digest_codec import milliseconds
from dragonflynotch.links.entry_link import EntryLink
from dragonflynotch.links.entry_link_pb2 import JobCall, JobReply
from dragonflynotch.observability.logs import part_logger

__all__ = ('ForwardingJobService', 'LocalSchedulingHandler')

# Longer than the 5 s for which an owner waits until a job record is written.
_FORWARD_TIMEOUT = timedelta(seconds=6)
_RETRY_AFTER = timedelta(seconds=2)
_REASONS_TO_TRY_NEXT = frozenset(('unknown_job', 'never_runnable'))


class _JobList(msgspec.Struct):
    jobs: list[msgspec.Raw]


_list_decoder = msgspec.json.Decoder(_JobList)
_log = part_logger('entry.jobs')


class ForwardingJobService(JobService):
    """Answers calls from the local partition, or forwards them to its owner.

    A call without a data centre goes to the local one first. It goes on to the
    next one if the job is unknown or can never run there.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    local : JobService
        Answers calls for the partition of this data centre.
    remote : RemoteEntries
        Other entries, with the partitions that they own.
    link_to : callable
        Returns the link to the entry at ``host:port``, if there is one.
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
        """Create the service for one entry."""
        self._data_centre = data_centre
        self._local = local
        self._remote = remote
        self._link_to = link_to
        self._clock = clock

    async def call(self, command: JobCommand) -> JobAnswer:
        """Return the answer to a call; invalid input gives a problem answer."""
        if command.method is JobMethod.list_all:
            return await self._list(command)
        first_refusal: JobAnswer | None = None
        for data_centre in self._candidate_data_centres(command):
            answer = await self._call_partition(data_centre, command)
            if answer.reason not in _REASONS_TO_TRY_NEXT:
                return answer
            first_refusal = first_refusal or answer
        return first_refusal or _no_owner(command.data_centre)

    def _candidate_data_centres(self, command: JobCommand) -> tuple[str, ...]:
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
        for data_centre in self._candidate_data_centres(command):
            answer = await self._call_partition(data_centre, command)
            if not answer.is_success:
                return answer
            listed = decode_untrusted(_list_decoder.decode, answer.body)
            if isinstance(listed, Unreadable):
                _log.error(
                    'the jobs of data centre {} are left out: {}',
                    data_centre,
                    listed.reason,
                )
                continue
            jobs += listed.jobs
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
                _encode_call(command, owner.data_centre), _FORWARD_TIMEOUT
            )
        except LinkError as error:
            return _no_answer(command, error)
        retry_after = timedelta(milliseconds=reply.retry_after_ms)
        return JobAnswer(reply.status, reply.body, retry_after or None)


class LocalSchedulingHandler(SchedulingHandler):
    """Serves requests of other entries from the partition of this entry."""

    def __init__(self, ownership: OwnershipManager, jobs: JobService) -> None:
        """Answer job calls with ``jobs``; give grants with ``ownership``."""
        self._ownership = ownership
        self._jobs = jobs

    @property
    def owned_fence(self) -> int:
        """Fencing token of the owned partition; 0 for none."""
        return self._ownership.fence

    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over its partition for a time.

        Returns ``None`` if the grant is refused.
        """
        return self._ownership.grant(owner, fence)

    def receive_grant(self, entry_id: str, sent_at: datetime) -> None:
        """Record a grant in the reply to the digest sent at ``sent_at``."""
        self._ownership.receive_grant(entry_id, sent_at)

    async def answer(self, call: JobCall) -> JobReply:
        """Answer a job call from the partition of this entry."""
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
    # A former owner announces its fencing token until it notices the loss.
    return max(
        (peer for peer in owners if peer.data_centre == data_centre),
        key=lambda peer: peer.owned_fence,
        default=None,
    )


def _encode_call(command: JobCommand, data_centre: str) -> JobCall:
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
            f'no entry is known to own partition {data_centre!r}',
            _RETRY_AFTER,
        )
    )


def _no_answer(command: JobCommand, error: LinkError) -> JobAnswer:
    is_write = command.method in {JobMethod.submit, JobMethod.cancel}
    if is_write and not isinstance(error, EntryNotConnectedError):
        return refusal_answer(
            JobOutcomeUnknown(
                'no_answer', f'owner did not answer: {error}', _RETRY_AFTER
            )
        )
    return refusal_answer(
        JobRefused('no_answer', f'owner did not answer: {error}', _RETRY_AFTER)
    )
