"""HTTP client of the platform's minions and decoder of their heartbeats."""

import re
from dataclasses import replace
from datetime import timedelta
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from dragonflynotch.control.incarnations import Incarnation
from dragonflynotch.control.minions import (
    ConnectionClosed,
    Heartbeat,
    MinionClient,
    MinionState,
    NoAnswer,
    NotListening,
    OtherIncarnation,
    RefusalReason,
    Restarted,
    Started,
    StartRefused,
    StartRequest,
    Stopped,
    Unhealthy,
)
from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    parse_address,
)
from dragonflynotch.links.http11 import HttpReply
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.records.bounds import (
    MAX_LABEL_CHARACTERS,
    MINION_ID_PATTERN,
    Accelerators,
    Count,
    Label,
    Megabytes,
    Millicores,
    TimeMs,
)
from dragonflynotch.workflows.records import RunEnd, RunningTask

__all__ = ('HttpMinionClient', 'decode_departure', 'decode_heartbeat')

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED_REQUEST = 421
_UNHEALTHY_STATUSES = frozenset((429, 503))
_REFUSAL_REASONS = frozenset(reason.value for reason in RefusalReason)
_EXPECTED_INSTANCE_HEADER = 'Dragonflynotch-Expected-Instance'
# The minion is on the same machine, so a call that takes longer is taken as
# lost.
_CALL_TIMEOUT = timedelta(milliseconds=600)
# One day; a longer notice is taken as unreadable.
_MAX_REMAINING_MS = 86_400_000
_MAX_LABELS = 16
# A minion returns at most this many ends in one response.
_MAX_LISTED_ENDS = 500
# As it is stored. An order and the progress of a job also hold it.
_MAX_CHECKPOINT_BYTES = 4096
_RunT = TypeVar('_RunT', RunningTask, RunEnd)

_Labels = Annotated[list[Label], msgspec.Meta(max_length=_MAX_LABELS)]
_MINION_ID = re.compile(MINION_ID_PATTERN)


class _WireCapacity(msgspec.Struct):
    """Capacity of a minion; ``cpu`` is in millicores."""

    cpu: Millicores = 0
    mem_mb: Megabytes = 0
    gpu: Accelerators = 0


class _WireHeartbeat(msgspec.Struct):
    """Heartbeat; ``labels`` are the kind and the rack of the worker.

    ``zone`` is the data centre. Unreadable values of ``zone`` and
    ``remaining_ms`` must not make the heartbeat unreadable.
    """

    service: Label
    address: str
    state: Literal['ready', 'draining']
    seq: Count = 0
    capacity: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    labels: _Labels = []
    remaining_ms: object = None
    zone: object = ''
    # Unix time of the start of the minion; some minions do not tell it.
    born: Count | None = None


class _WireDeparture(msgspec.Struct):
    """Message of a minion that shuts down."""

    born: Count | None = None


class _WireAnswer(msgspec.Struct):
    """Response; ``running_count`` is the list of running tasks, no count.

    The entries of ``running_count`` and ``ended`` are arrays whose first items
    are the fields of ``RunningTask`` and ``RunEnd``.
    """

    clock_ms: TimeMs = 0
    reason: str = ''
    running_count: list[list[Any]] = []
    ended: list[list[Any]] = []
    # Absent in responses without the lists.
    born: Count | None = None


_heartbeat_decoder = msgspec.json.Decoder(_WireHeartbeat)
_departure_decoder = msgspec.json.Decoder(_WireDeparture)


def decode_heartbeat(minion_id: str, body: bytes) -> Heartbeat | Unreadable:
    """Return the heartbeat, or why it is unreadable.

    A heartbeat with a missing field or one out of range is unreadable as a
    whole, since each field is used to choose or to reach the minion.
    """
    if not _is_minion_id(minion_id):
        return Unreadable('malformed minion identifier')
    heartbeat = decode_untrusted(_heartbeat_decoder.decode, body)
    if isinstance(heartbeat, Unreadable):
        return heartbeat
    address = parse_address(heartbeat.address)
    if address is None:
        return Unreadable('malformed address')
    return Heartbeat(
        minion_id=str(Incarnation(minion_id, heartbeat.born)),
        service=heartbeat.service,
        address=address,
        sequence=heartbeat.seq,
        is_draining=heartbeat.state == 'draining',
        labels=tuple(heartbeat.labels),
        rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else '',
        capacity=(
            heartbeat.capacity.cpu,
            heartbeat.capacity.mem_mb,
            heartbeat.capacity.gpu,
        ),
        remaining_ms=_decode_remaining_ms(heartbeat.remaining_ms),
        data_centre=_decode_data_centre(heartbeat.zone),
    )


def decode_departure(minion_id: str, body: bytes) -> Incarnation | Unreadable:
    """Return which incarnation shuts down, or why that is unreadable."""
    if not body:
        return Incarnation(minion_id)
    departure = decode_untrusted(_departure_decoder.decode, body)
    if isinstance(departure, Unreadable):
        return departure
    return Incarnation(minion_id, departure.born)


def _is_minion_id(text: str) -> bool:
    return bool(text) and _MINION_ID.fullmatch(text) is not None


def _decode_data_centre(zone: object) -> str:
    if not isinstance(zone, str) or len(zone) > MAX_LABEL_CHARACTERS:
        return ''
    return zone


def _decode_remaining_ms(remaining: object) -> int | None:
    if isinstance(remaining, bool) or not isinstance(remaining, int | float):
        return None
    return int(remaining) if 0 <= remaining <= _MAX_REMAINING_MS else None


_answer_decoder = msgspec.json.Decoder(_WireAnswer)


class HttpMinionClient(MinionClient):
    """Calls one incarnation of the minion on this machine over HTTP."""

    def __init__(self, heartbeat: Heartbeat) -> None:
        """Create the client; no connection is opened yet."""
        self._pool = HttpPool(heartbeat.address)
        self._incarnation = Incarnation.parse(heartbeat.minion_id)
        self._headers = (
            (_EXPECTED_INSTANCE_HEADER, self._incarnation.minion_id),
        )

    @property
    def known_id(self) -> str:
        """Identifier of the incarnation by its heartbeat and responses."""
        return str(self._incarnation)

    async def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int, wait_ms: int
    ) -> MinionState | OtherIncarnation | Unhealthy | NoAnswer:
        """Extend the lease and return the running and the ended tasks."""
        body: dict[str, object] = {
            'fencing_token': token,
            'seen_upto': recorded_up_to,
        }
        if lease_end_ms:
            body['until_ms'] = lease_end_ms
        if wait_ms:
            body['wait_ms'] = wait_ms
        outcome = await self._call(
            'hold', body, _CALL_TIMEOUT + timedelta(milliseconds=wait_ms)
        )
        if isinstance(outcome, StartRefused):
            return NoAnswer(f'refused: {outcome.reason.value}')
        if not isinstance(outcome, _WireAnswer):
            return outcome
        if not self._incarnation.may_be(outcome.born):
            return Restarted(f'started again at {outcome.born}')
        state = decode_untrusted(_minion_state, outcome)
        if isinstance(state, Unreadable):
            return NoAnswer(f'malformed response: {state.reason}')
        if outcome.born is not None:
            self._incarnation = replace(
                self._incarnation, started_ms=outcome.born
            )
        return state

    async def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Start a run; the call is idempotent for each run."""
        body: dict[str, object] = {
            'task': request.task,
            'run': request.run,
            'spec': request.payload,
            'until_ms': request.lease_end_ms,
            'fencing_token': token,
        }
        if request.checkpoint:
            body['checkpoint'] = request.checkpoint
        outcome = await self._call('run-start', body, _CALL_TIMEOUT)
        if isinstance(outcome, _WireAnswer):
            return Started(outcome.clock_ms)
        return outcome

    async def stop(
        self, task: str, run: int, token: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Stop a run; a start of it that arrives later is refused."""
        body: dict[str, object] = {
            'task': task,
            'run': run,
            'fencing_token': token,
        }
        outcome = await self._call('run-stop', body, _CALL_TIMEOUT)
        if isinstance(outcome, _WireAnswer):
            return Stopped(outcome.clock_ms)
        return outcome

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _call(
        self, operation: str, body: dict[str, object], timeout: timedelta
    ) -> _WireAnswer | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        try:
            reply = await self._pool.exchange(
                'POST',
                f'/dragonflynotch/{operation}',
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout=timeout,
            )
        except LinkError as error:
            return _describe_failure(error)
        return _decode_reply(reply)


def _minion_state(answer: _WireAnswer) -> MinionState:
    return MinionState(
        answer.clock_ms,
        tuple(
            _without_long_checkpoint(msgspec.convert(entry[:4], RunningTask))
            for entry in answer.running_count
        ),
        tuple(
            _without_long_checkpoint(msgspec.convert(entry[:5], RunEnd))
            for entry in answer.ended
        ),
        has_all_ends=len(answer.ended) < _MAX_LISTED_ENDS,
    )


def _without_long_checkpoint(entry: _RunT) -> _RunT:
    """Return an entry without a checkpoint that no row has room for."""
    size = len(msgspec.json.encode(entry.checkpoint))
    if size <= _MAX_CHECKPOINT_BYTES:
        return entry
    unreadable_entries.record(
        'checkpoint_dropped',
        Unreadable(f'checkpoint of {size} bytes'),
        task=entry.task,
    )
    return msgspec.structs.replace(entry, checkpoint='')


def _describe_failure(error: LinkError) -> NoAnswer:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return NotListening(str(error))
    if isinstance(error, LinkTimeoutError | NotSentError):
        return NoAnswer(str(error))
    return ConnectionClosed(str(error))


def _decode_reply(
    reply: HttpReply,
) -> _WireAnswer | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
    if reply.status == _MISDIRECTED_REQUEST:
        return OtherIncarnation()
    if reply.status in _UNHEALTHY_STATUSES:
        return Unhealthy()
    if reply.status == _BAD_REQUEST:
        return StartRefused(RefusalReason.invalid)
    answer = decode_untrusted(_answer_decoder.decode, reply.body)
    if isinstance(answer, Unreadable):
        return NoAnswer(f'malformed response with status {reply.status}')
    if reply.status == _OK:
        return answer
    if reply.status == _CONFLICT and answer.reason in _REFUSAL_REASONS:
        return StartRefused(RefusalReason(answer.reason))
    return NoAnswer(
        f'unexpected status {reply.status}, reason {answer.reason!r}'
    )
