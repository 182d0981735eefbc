"""Options shared by several commands."""

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
    'DEFAULT_OPERATORS_URL',
    'OPERATORS_ENV_VAR',
    'CallerOptions',
    'OperatorOptions',
    'Output',
    'open_operator_client',
)

_DEFAULT_CALLERS_URL = 'http://127.0.0.1:8080'
DEFAULT_OPERATORS_URL = 'http://127.0.0.1:8081'
OPERATORS_ENV_VAR = 'DRAGONFLYNOTCH_OPERATORS'

Output = Annotated[
    OutputFormat,
    cappa.Arg(long=True, help='Format of the result on stdout.'),
]
_Timeout = Annotated[
    float,
    cappa.Arg(long='--timeout', help='Time limit of one call, in seconds.'),
]


@dataclass
class OperatorOptions:
    """Connection options for the operator port of an entry."""

    operators: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(OPERATORS_ENV_VAR, default=DEFAULT_OPERATORS_URL),
            help='Address of the operator port.',
        ),
    ] = DEFAULT_OPERATORS_URL
    timeout_s: _Timeout = 10
    output: Output = 'text'

    @asynccontextmanager
    async def client(self) -> AsyncIterator[HttpOperatorClient]:
        """Open a client of the operator port."""
        async with open_operator_client(
            self.operators, self.timeout_s
        ) as client:
            yield client


@dataclass
class CallerOptions:
    """Connection options for the caller port of an entry."""

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
                'DRAGONFLYNOTCH_CALLERS', default=_DEFAULT_CALLERS_URL
            ),
            help='Address of the caller port.',
        ),
    ] = _DEFAULT_CALLERS_URL
    timeout_s: _Timeout = 30
    output: Output = 'text'

    @asynccontextmanager
    async def client(self) -> AsyncIterator[HttpCallerClient]:
        """Open a client of the caller port."""
        if not self.workspace:
            raise InvalidInputError(
                '--workspace', '', 'a workspace, or DRAGONFLYNOTCH_WORKSPACE'
            )
        timeout = timedelta(seconds=self.timeout_s)
        async with HttpTransport(self.callers, timeout=timeout) as transport:
            yield HttpCallerClient(transport, self.workspace, self.token)


@asynccontextmanager
async def open_operator_client(
    url: str, timeout_s: float
) -> AsyncIterator[HttpOperatorClient]:
    """Open a client of the operator port at ``url``."""
    timeout = timedelta(seconds=timeout_s)
    async with HttpTransport(url, timeout=timeout) as transport:
        yield HttpOperatorClient(transport)
