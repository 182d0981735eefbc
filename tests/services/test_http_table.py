"""Tests of the client of the table service."""

from datetime import timedelta

import httpx
import pytest

from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.services.http_table import HttpTableService

MALFORMED_BODIES = (
    b'{"cut off',
    b'[1]',
    b'{"key": "a", "content": "%", "version": 1, "writer_token": ""}',
)


def make_table(status, body):
    """Return a client whose calls all get the same response."""
    table = HttpTableService('http://table', timedelta(seconds=1))
    table._client = httpx.AsyncClient(
        base_url='http://table',
        transport=httpx.MockTransport(
            lambda _: httpx.Response(status, content=body)
        ),
    )
    return table


@pytest.mark.parametrize('body', MALFORMED_BODIES)
async def test_malformed_row_counts_as_no_response(body):
    """A body that cannot be read must not end the process that reads it."""
    table = make_table(200, body)
    with pytest.raises(PlatformUnavailableError):
        await table.read('a')
    with pytest.raises(PlatformUnavailableError):
        await table.scan('a')


async def test_malformed_answer_to_a_commit_leaves_it_uncertain():
    """The rows may have been written although the answer cannot be read."""
    with pytest.raises(UncertainWriteError):
        await make_table(200, b'{"a"').commit([], 'token')


async def test_malformed_conflict_means_that_nothing_was_written():
    """A conflict is certain, whatever its body says."""
    with pytest.raises(PlatformUnavailableError):
        await make_table(409, b'{"a"').commit([], 'token')
