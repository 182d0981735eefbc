"""Runs commands against a running deployment."""

import asyncio
import hashlib

from dragonflynotch.__main__ import run
from dragonflynotch.testing.examples import example_token

_RETRY_TIMEOUT_S = 10
_TOKEN = example_token('resort')


class Shell:
    """Runs commands in a thread, while the deployment runs in the test."""

    def __init__(self, plan, capsys):
        self._operators = plan.entries[0].operators.url
        self._callers = plan.entries[0].callers.url
        self._capsys = capsys

    async def run_as_operator(self, *arguments):
        return await self._run(*arguments, '--operators', self._operators)

    async def run_as_caller(self, *arguments, token=_TOKEN):
        options = ('--workspace', 'resort', '--token', token)
        return await self._run(*arguments, *options, '--callers', self._callers)

    async def retry_until_success(self, run_command):
        async with asyncio.timeout(_RETRY_TIMEOUT_S):
            while True:
                code, out, _ = await run_command()
                if code == 0:
                    return out
                await asyncio.sleep(0.1)

    async def _run(self, *arguments):
        self._capsys.readouterr()
        code = await asyncio.to_thread(run, arguments)
        return code, *self._capsys.readouterr()


def workspace_record(name='resort'):
    digest = hashlib.sha256(_TOKEN.encode()).hexdigest()
    return {
        'schema_version': 2,
        'kind': 'workspace',
        'name': name,
        'spec': {
            'token_digests': [digest],
            'requests_per_second': 50,
        },
    }
