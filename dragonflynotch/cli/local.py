"""Embedded mode: an example deployment in one process, on loopback."""

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

__all__ = ('ScenarioError', 'run_local')

_STEP_TIMEOUT_S = 15
_POLL_INTERVAL_S = 0.2
_NO_RETRY = RetryPolicy(attempts=1)
_GANG_ACCELERATORS = 16
_GANG_RUN_TIME_S = 1.0
_IMPOSSIBLE_ACCELERATORS = 1000

_AnswerT = TypeVar('_AnswerT')


class ScenarioError(DragonflynotchError):
    """A step of the example scenario did not have the expected result."""


@dataclass(frozen=True, slots=True)
class _Scenario:
    """Requests and jobs that are sent to an example deployment.

    Parameters
    ----------
    workspace : str
        Workspace of the requests.
    idempotent : RequestCall
        Request that may run more than once.
    non_idempotent : RequestCall
        Request that must run only once, with its idempotency key.
    job_workspace : str
        Workspace of the jobs.
    gang : SubmitCall
        Job that needs all its accelerators in one rack.
    impossible : SubmitCall
        Job that needs more accelerators than any data centre has.
    """

    workspace: str
    idempotent: RequestCall
    non_idempotent: RequestCall
    job_workspace: str
    gang: SubmitCall
    impossible: SubmitCall


def _build_scenario(
    workspace: str,
    idempotent: tuple[str, bytes],
    non_idempotent: tuple[str, bytes],
    job_workspace: str,
    job_kind: str,
) -> _Scenario:
    return _Scenario(
        workspace,
        RequestCall(
            body=idempotent[1], request_class=idempotent[0], is_idempotent=True
        ),
        RequestCall(
            body=non_idempotent[1],
            request_class=non_idempotent[0],
            key=uuid.uuid4().hex,
        ),
        job_workspace,
        _build_submission(job_kind, _GANG_ACCELERATORS, 'rack'),
        _build_submission(job_kind, _IMPOSSIBLE_ACCELERATORS, 'adjacent_racks'),
    )


def _build_submission(
    kind: str, accelerators: int, proximity: str
) -> SubmitCall:
    command = msgspec.json.encode({'seconds': _GANG_RUN_TIME_S}).decode()
    return SubmitCall(
        job={
            'kind': kind,
            'shape': {'accelerators': accelerators, 'proximity': proximity},
            'command': command,
        },
        key=uuid.uuid4().hex,
    )


def _scenarios_by_deployment() -> dict[str, _Scenario]:
    return {
        'tavua': _build_scenario(
            'resorts',
            ('checklist', b'list the open checks'),
            ('checklist', b'fridge 4 c'),
            'head-office',
            'photo-training',
        ),
        'ravi': _build_scenario(
            'planning-north',
            ('recut-plan', b'recut profile 12'),
            ('tooling-quote', b'inserts 40'),
            'planning-north',
            'profile-recut',
        ),
    }


async def run_local(deployment: str = 'tavua') -> int:
    """Run an example deployment and its scenario; return the exit code.

    Parameters
    ----------
    deployment : str
        ``'tavua'`` or ``'ravi'``.

    Raises
    ------
    ScenarioError
        If a step does not have the expected result.
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
        await _apply_records(example, entries[0])
        scenario = _scenarios_by_deployment()[deployment]
        await _run_requests(scenario, entries, running)
        async with _open_caller(entries[0], scenario.job_workspace) as client:
            await _run_gang(client, scenario.gang, plan)
            await _check_impossible_refused(client, scenario.impossible)
    return ExitCode.done


async def _apply_records(example: Example, entry: EntrySettings) -> None:
    revision = 0
    async with HttpTransport(entry.operators.url, retry=_NO_RETRY) as transport:
        client = HttpOperatorClient(transport)
        for record in example.records:
            create = partial(
                client.put_record,
                record['kind'],
                record['name'],
                msgspec.json.encode(record),
                0,
            )
            written = await _retry_until(create, RecordWritten)
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
        await _run_idempotent(clients[0], scenario)
        await _run_non_idempotent(clients, scenario.non_idempotent, running)


@asynccontextmanager
async def _open_caller(
    entry: EntrySettings, workspace: str
) -> AsyncIterator[HttpCallerClient]:
    async with HttpTransport(entry.callers.url, retry=_NO_RETRY) as transport:
        token = example_token(workspace)
        yield HttpCallerClient(transport, workspace, token)


async def _run_idempotent(
    client: HttpCallerClient, scenario: _Scenario
) -> None:
    call = scenario.idempotent
    answer = await _retry_until(partial(client.request, call), RequestAnswer)
    print(f'{call.request_class} answered: {answer.body.decode()}')


async def _run_non_idempotent(
    clients: list[HttpCallerClient],
    call: RequestCall,
    running: RunningDeployment,
) -> None:
    first, *others = [
        await _retry_until(partial(client.request, call), RequestAnswer)
        for client in clients
    ]
    runs = running.count_runs(call.body)
    are_answers_equal = all(other.body == first.body for other in others)
    if runs != 1 or not are_answers_equal:
        raise ScenarioError(
            f'the request ran {runs} times, expected 1; '
            f'equal answers: {are_answers_equal}',
            step='run once',
        )
    print(
        f'{call.request_class} sent {len(clients)} times under one key, '
        f'run once: {first.body.decode()}'
    )


async def _run_gang(
    client: HttpCallerClient, submission: SubmitCall, plan: DeploymentPlan
) -> None:
    submitted = await _retry_until(partial(client.submit, submission), JobView)
    job = await _retry_until(
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
        raise ScenarioError(
            f'the job is {job.state} on racks {sorted(racks)}, expected '
            'finished on one rack',
            step='run gang',
        )
    print(
        f'{job.kind} finished on {job.accelerators} adjacent accelerators: '
        f'{", ".join(job.workers)} in rack {racks.pop()}'
    )


async def _check_impossible_refused(
    client: HttpCallerClient, submission: SubmitCall
) -> None:
    refused = await _retry_until(
        partial(client.submit, submission),
        Refused,
        lambda found: found.reason == 'never_runnable',
    )
    print(f'impossible job refused: {refused.detail}')


async def _retry_until(
    send: Callable[[], Awaitable[object]],
    expected: type[_AnswerT],
    is_done: Callable[[_AnswerT], bool] | None = None,
) -> _AnswerT:
    """Repeat a call until it succeeds, while entries and guards start."""
    outcome: object = None
    try:
        async with asyncio.timeout(_STEP_TIMEOUT_S):
            while True:
                outcome = await send()
                if isinstance(outcome, expected) and (
                    is_done is None or is_done(outcome)
                ):
                    return outcome
                await asyncio.sleep(_POLL_INTERVAL_S)
    except TimeoutError as error:
        raise ScenarioError(
            f'no expected result within {_STEP_TIMEOUT_S} s, '
            f'last outcome: {outcome}',
            step='run scenario',
        ) from error
