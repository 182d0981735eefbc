"""Options that several commands share."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

import cappa

from dragonflynotch.cli.console import OutputFormat
from dragonflynotch.client.caller import HttpCallerClient
from dragonflynotch.client.operator import HttpOperatorClient
from dragonflynotch.client.transport import HttpTransport
from dragonflynotch.core.errors import InvalidInputError

__all__ = (
    'DEFAULT_OPERATORS',
    'OPERATORS_VARIABLE',
    'CallerOptions',
    'OperatorOptions',
    'Output',
    'open_operator',
)

_DEFAULT_CALLERS = 'http://127.0.0.1:8080'
DEFAULT_OPERATORS = 'http://127.0.0.1:8081'
OPERATORS_VARIABLE = 'DRAGONFLYNOTCH_OPERATORS'

Output = Annotated[
    OutputFormat,
    cappa.Arg(long=True, help='Form of the result on stdout.'),
]
_Timeout = Annotated[
    float,
    cappa.Arg(long='--timeout', help='Limit of one call, in seconds.'),
]


@dataclass
class OperatorOptions:
    """How to reach the operator port of an entry."""

    operators: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(OPERATORS_VARIABLE, default=DEFAULT_OPERATORS),
            help='Address of the operator port.',
        ),
    ] = DEFAULT_OPERATORS
    timeout_s: _Timeout = 10
    output: Output = 'text'

    @asynccontextmanager
    async def client(self) -> AsyncIterator[HttpOperatorClient]:
        """Open a client."""
        async with open_operator(self.operators, self.timeout_s) as client:
            yield client


@dataclass
class CallerOptions:
    """How to reach the caller port of an entry."""

    workspace: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('DRAGONFLYNOTCH_WORKSPACE', default=''),
            help='Workspace of the caller.',
        ),
    ] = ''
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('DRAGONFLYNOTCH_TOKEN', default=''),
            help='Bearer token; prefer the environment variable.',
        ),
    ] = ''
    callers: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(
                'DRAGONFLYNOTCH_CALLERS', default=_DEFAULT_CALLERS
            ),
            help='Address of the caller port.',
        ),
    ] = _DEFAULT_CALLERS
    timeout_s: _Timeout = 30
    output: Output = 'text'

    @asynccontextmanager
    async def client(self) -> AsyncIterator[HttpCallerClient]:
        """Open a client."""
        if not self.workspace:
            raise InvalidInputError(
                '--workspace', '', 'a workspace, or DRAGONFLYNOTCH_WORKSPACE'
            )
        timeout = timedelta(seconds=self.timeout_s)
        async with HttpTransport(self.callers, timeout=timeout) as transport:
            yield HttpCallerClient(transport, self.workspace, self.token)


@asynccontextmanager
async def open_operator(
    url: str, timeout_s: float
) -> AsyncIterator[HttpOperatorClient]:
    """Open a client of the operator port at ``url``."""
    timeout = timedelta(seconds=timeout_s)
    async with HttpTransport(url, timeout=timeout) as transport:
        yield HttpOperatorClient(transport)
