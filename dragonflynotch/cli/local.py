"""Embedded mode: a whole example deployment as tasks on loopback."""

import asyncio
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

import msgspec

from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.client.caller import (
    HttpCallerClient,
    RequestCall,
    SubmitCall,
)
from dragonflynotch.client.operator import HttpOperatorClient
from dragonflynotch.client.outcomes import Refused
from dragonflynotch.client.transport import HttpTransport, RetryPolicy
from dragonflynotch.client.views import JobView, RecordWritten, RequestAnswer
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.records.settings import EntrySettings
from dragonflynotch.testing.deployment import DeploymentPlan, plan_deployment
from dragonflynotch.testing.examples import EXAMPLES, Example, example_token
from dragonflynotch.testing.running_deployment import RunningDeployment

__all__ = ('MainJobError', 'run_local')

_STEP_LIMIT_S = 15
_POLL_S = 0.2
_ONCE = RetryPolicy(attempts=1)
_GANG_ACCELERATORS = 16
_GANG_RUN_TIME_S = 1.0
_IMPOSSIBLE_ACCELERATORS = 1000

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
    job_workspace : str
        Workspace of the jobs.
    gang : SubmitCall
        Job that needs all its accelerators in one rack.
    impossible : SubmitCall
        Job that no data centre can ever run.
    """

    workspace: str
    idempotent: RequestCall
    once: RequestCall
    job_workspace: str
    gang: SubmitCall
    impossible: SubmitCall


def _scenario(
    workspace: str,
    idempotent: tuple[str, bytes],
    once: tuple[str, bytes],
    job_workspace: str,
    job_kind: str,
) -> _Scenario:
    return _Scenario(
        workspace,
        RequestCall(
            body=idempotent[1], request_class=idempotent[0], is_idempotent=True
        ),
        RequestCall(body=once[1], request_class=once[0], key=uuid.uuid4().hex),
        job_workspace,
        _submission(job_kind, _GANG_ACCELERATORS, 'rack'),
        _submission(job_kind, _IMPOSSIBLE_ACCELERATORS, 'adjacent_racks'),
    )


def _submission(kind: str, accelerators: int, proximity: str) -> SubmitCall:
    command = msgspec.json.encode({'seconds': _GANG_RUN_TIME_S}).decode()
    return SubmitCall(
        job={
            'kind': kind,
            'shape': {'accelerators': accelerators, 'proximity': proximity},
            'command': command,
        },
        key=uuid.uuid4().hex,
    )


def _scenarios() -> dict[str, _Scenario]:
    return {
        'tavua': _scenario(
            'resorts',
            ('checklist', b'list the open checks'),
            ('checklist', b'fridge 4 c'),
            'head-office',
            'photo-training',
        ),
        'ravi': _scenario(
            'planning-north',
            ('recut-plan', b'recut profile 12'),
            ('tooling-quote', b'inserts 40'),
            'planning-north',
            'profile-recut',
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
        scenario = _scenarios()[deployment]
        await _run_requests(scenario, entries, running)
        async with _open_caller(entries[0], scenario.job_workspace) as client:
            await _run_gang(client, scenario.gang, plan)
            await _refuse_impossible(client, scenario.impossible)
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
        clients = [
            await stack.enter_async_context(
                _open_caller(entry, scenario.workspace)
            )
            for entry in entries
        ]
        await _answer_one(clients[0], scenario)
        await _run_once(clients, scenario.once, running)


@asynccontextmanager
async def _open_caller(
    entry: EntrySettings, workspace: str
) -> AsyncIterator[HttpCallerClient]:
    async with HttpTransport(entry.callers.url, retry=_ONCE) as transport:
        token = example_token(workspace)
        yield HttpCallerClient(transport, workspace, token)


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


async def _run_gang(
    client: HttpCallerClient, submission: SubmitCall, plan: DeploymentPlan
) -> None:
    submitted = await _until_answered(
        partial(client.submit, submission), JobView
    )
    job = await _until_answered(
        partial(client.get_job, submitted.job_id),
        JobView,
        lambda found: found.is_final,
    )
    racks = {
        guard.worker.rack
        for guard in plan.guards
        if guard.worker and guard.worker.worker_id in job.workers
    }
    if job.state != 'finished' or len(racks) != 1:
        raise MainJobError(
            f'the job is {job.state} on racks {sorted(racks)}', step='run gang'
        )
    print(
        f'{job.kind} finished on {job.accelerators} adjacent accelerators: '
        f'{", ".join(job.workers)} in rack {racks.pop()}'
    )


async def _refuse_impossible(
    client: HttpCallerClient, submission: SubmitCall
) -> None:
    refused = await _until_answered(
        partial(client.submit, submission),
        Refused,
        lambda found: found.reason == 'never_runnable',
    )
    print(f'impossible job refused: {refused.detail}')


async def _until_answered(
    send: Callable[[], Awaitable[object]],
    expected: type[_AnswerT],
    is_done: Callable[[_AnswerT], bool] | None = None,
) -> _AnswerT:
    """Repeat a call until it succeeds; entries and guards still start."""
    outcome: object = None
    try:
        async with asyncio.timeout(_STEP_LIMIT_S):
            while True:
                outcome = await send()
                if isinstance(outcome, expected) and (
                    is_done is None or is_done(outcome)
                ):
                    return outcome
                await asyncio.sleep(_POLL_S)
    except TimeoutError as error:
        raise MainJobError(f'no end: {outcome}', step='main job') from error
