"""Embedded mode: a whole example deployment as tasks on loopback."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

import msgspec

from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.client.caller import HttpCallerClient, RequestCall
from dragonflynotch.client.operator import HttpOperatorClient
from dragonflynotch.client.outcomes import Conflict, Failure
from dragonflynotch.client.transport import HttpTransport, RetryPolicy
from dragonflynotch.client.views import RecordWritten, RequestAnswer
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.records.settings import EntrySettings
from dragonflynotch.testing.deployment import plan_deployment
from dragonflynotch.testing.examples import EXAMPLES, Example, example_token
from dragonflynotch.testing.running_deployment import RunningDeployment

__all__ = ('MainJobError', 'run_local')

_START_LIMIT_S = 30
_POLL_S = 0.2
_ONCE = RetryPolicy(attempts=1)

_AnswerT = TypeVar('_AnswerT')


class MainJobError(DragonflynotchError):
    """A step of the main job had another result than expected."""


@dataclass(frozen=True, slots=True)
class _Scenario:
    """What the main job sends.

    Parameters
    ----------
    workspace : str
        Workspace of the requests.
    idempotent : RequestCall
        Request that may run more than once.
    once : RequestCall
        Request that must run once, with its key.
    """

    workspace: str
    idempotent: RequestCall
    once: RequestCall


def _scenario(
    workspace: str, idempotent: tuple[str, bytes], once: tuple[str, bytes]
) -> _Scenario:
    return _Scenario(
        workspace,
        RequestCall(
            body=idempotent[1], request_class=idempotent[0], is_idempotent=True
        ),
        RequestCall(body=once[1], request_class=once[0], key=uuid.uuid4().hex),
    )


def _scenarios() -> dict[str, _Scenario]:
    return {
        'tavua': _scenario(
            'resorts',
            ('checklist', b'list the open checks'),
            ('checklist', b'fridge 4 c'),
        ),
        'ravi': _scenario(
            'planning-north',
            ('recut-plan', b'recut profile 12'),
            ('tooling-quote', b'inserts 40'),
        ),
    }


async def run_local(deployment: str = 'tavua') -> int:
    """Run an example with its main job and return the exit code.

    Parameters
    ----------
    deployment : str
        ``'tavua'`` or ``'ravi'``.

    Raises
    ------
    MainJobError
        If a step has another result than expected.
    """
    example = EXAMPLES[deployment]
    plan = plan_deployment(example.sites, stop_notice_ms=0)
    async with RunningDeployment(plan) as running:
        print(
            f'{deployment}: {len(plan.entries)} entries and '
            f'{len(plan.guards)} guards in {len(example.sites)} data centres'
        )
        entries = [
            entry
            for entry in plan.entries
            if entry.data_centre == example.sites[0].name
        ]
        await _apply(example, entries[0])
        await _run_requests(_scenarios()[deployment], entries, running)
    return ExitCode.done


async def _apply(example: Example, entry: EntrySettings) -> None:
    revision = 0
    async with HttpTransport(entry.operators.url, retry=_ONCE) as transport:
        client = HttpOperatorClient(transport)
        for record in example.records:
            create = partial(
                client.put_record,
                record['kind'],
                record['name'],
                msgspec.json.encode(record),
                0,
            )
            written = await _until_answered(create, RecordWritten)
            revision = written.revision
    print(f'applied {len(example.records)} records, revision {revision}')


async def _run_requests(
    scenario: _Scenario,
    entries: list[EntrySettings],
    running: RunningDeployment,
) -> None:
    async with AsyncExitStack() as stack:
        clients = []
        for entry in entries:
            transport = await stack.enter_async_context(
                HttpTransport(entry.callers.url, retry=_ONCE)
            )
            token = example_token(scenario.workspace)
            clients.append(
                HttpCallerClient(transport, scenario.workspace, token)
            )
        await _answer_one(clients[0], scenario)
        await _run_once(clients, scenario.once, running)


async def _answer_one(client: HttpCallerClient, scenario: _Scenario) -> None:
    call = scenario.idempotent
    answer = await _until_answered(partial(client.request, call), RequestAnswer)
    print(f'{call.request_class} answered: {answer.body.decode()}')


async def _run_once(
    clients: list[HttpCallerClient],
    call: RequestCall,
    running: RunningDeployment,
) -> None:
    first, *others = [
        await _until_answered(partial(client.request, call), RequestAnswer)
        for client in clients
    ]
    runs = running.count_runs(call.body)
    is_same = all(other.body == first.body for other in others)
    if runs != 1 or not is_same:
        raise MainJobError(
            f'the request ran {runs} times, equal answers: {is_same}',
            step='run once',
        )
    print(
        f'{call.request_class} sent {len(clients)} times under one key, '
        f'run once: {first.body.decode()}'
    )


async def _until_answered(
    send: Callable[[], Awaitable[_AnswerT | Failure]], expected: type[_AnswerT]
) -> _AnswerT:
    """Repeat a call until it succeeds; entries and guards still start."""
    outcome: _AnswerT | Failure | None = None
    for _ in range(int(_START_LIMIT_S / _POLL_S)):
        outcome = await send()
        if isinstance(outcome, expected):
            return outcome
        if isinstance(outcome, Conflict):
            break
        await asyncio.sleep(_POLL_S)
    raise MainJobError(f'no answer: {outcome}', step='main job')
