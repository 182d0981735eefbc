"""Commands for callers: send requests, submit and cancel jobs."""

import asyncio
import base64
import sys
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from dragonflynotch.cli.console import (
    print_result,
    report_error,
    report_failure,
)
from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.cli.options import CallerOptions
from dragonflynotch.client.caller import RequestCall, SubmitCall
from dragonflynotch.client.views import JobView, RequestAnswer
from dragonflynotch.core.errors import InvalidInputError

__all__ = ('CancelCommand', 'RequestCommand', 'SubmitCommand')

_STDIN_ARGUMENT = '-'

_Options = cappa.Destructured[CallerOptions]
_IdempotencyKey = Annotated[
    str,
    cappa.Arg(
        long=True,
        help='Idempotency key, for a retry; generated if not given.',
    ),
]


@cappa.command(
    name='request',
    help='Send a short request and print its answer.',
    epilog=(
        'Example: dragonflynotch request --workspace resort '
        '--request-class checklist "fridge 4 c"'
    ),
)
@dataclass
class RequestCommand:
    """Send a short request."""

    options: _Options
    body: Annotated[
        str, cappa.Arg(help='Body of the request; - reads it from stdin.')
    ]
    request_class: Annotated[
        str, cappa.Arg(long=True, help='Class of the request.')
    ] = 'default'
    idempotent: Annotated[
        bool, cappa.Arg(long=True, help='The request may run more than once.')
    ] = False
    key: _IdempotencyKey = ''
    deadline_ms: Annotated[
        int, cappa.Arg(long=True, help='Time limit of the answer, in ms.')
    ] = 30_000

    def __call__(self) -> int:
        """Send the request and return the exit code."""
        return asyncio.run(self._send())

    async def _send(self) -> ExitCode:
        body = self.body.encode()
        if self.body == _STDIN_ARGUMENT:
            body = sys.stdin.buffer.read()
        async with self.options.client() as client:
            answer = await client.request(
                RequestCall(
                    body=body,
                    request_class=self.request_class,
                    is_idempotent=self.idempotent,
                    key=self.key,
                    deadline=timedelta(milliseconds=self.deadline_ms),
                )
            )
        if not isinstance(answer, RequestAnswer):
            return report_failure(answer)
        print_result(
            self.options.output,
            {
                'request_id': answer.request_id,
                'key': answer.key,
                'body_base64': base64.b64encode(answer.body).decode(),
            },
            answer.body.decode(errors='replace'),
        )
        return ExitCode.done


@cappa.command(
    name='submit',
    help='Submit a job and print its identifier.',
    epilog='Example: dragonflynotch submit --workspace resort job.json',
)
@dataclass
class SubmitCommand:
    """Submit a job."""

    options: _Options
    file: Annotated[
        Path, cappa.Arg(help='Job as JSON (docs/schemas/job.json).')
    ]
    key: _IdempotencyKey = ''

    def __call__(self) -> int:
        """Submit the job and return the exit code."""
        try:
            job = _read_job_file(self.file)
        except InvalidInputError as error:
            return report_error(error)
        return asyncio.run(self._submit(job))

    async def _submit(self, job: dict[str, object]) -> ExitCode:
        async with self.options.client() as client:
            outcome = await client.submit(SubmitCall(job=job, key=self.key))
        if not isinstance(outcome, JobView):
            return report_failure(outcome)
        print_result(
            self.options.output,
            outcome,
            f'job {outcome.job_id} is {outcome.state}',
        )
        return ExitCode.done


@cappa.command(
    name='cancel',
    help='Cancel a job.',
    epilog='Example: dragonflynotch cancel --workspace resort 4f1c9a',
)
@dataclass
class CancelCommand:
    """Cancel a job."""

    options: _Options
    job: Annotated[str, cappa.Arg(help='Identifier of the job.')]

    def __call__(self) -> int:
        """Cancel the job and return the exit code."""
        return asyncio.run(self._cancel())

    async def _cancel(self) -> ExitCode:
        async with self.options.client() as client:
            outcome = await client.cancel_job(self.job)
        if not isinstance(outcome, JobView):
            return report_failure(outcome)
        print_result(
            self.options.output,
            outcome,
            f'job {outcome.job_id} is {outcome.state}',
        )
        return ExitCode.done


def _read_job_file(path: Path) -> dict[str, object]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, object])
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            str(path), str(error), 'a JSON object'
        ) from error
