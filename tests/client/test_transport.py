"""Clients map answers to outcomes and retry only idempotent calls."""

from collections.abc import Callable
from datetime import timedelta

import httpx
import pytest

from dragonflynotch.client import (
    Conflict,
    HttpCallerClient,
    HttpOperatorClient,
    HttpTransport,
    Invalid,
    Refused,
    RequestAnswer,
    RequestCall,
    RetryPolicy,
    UnknownOutcome,
    Unreachable,
)
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.requests import content_digest
from tests.odd_entries import ODD_BODIES

_RETRY = RetryPolicy(attempts=3, first_delay=timedelta(milliseconds=1))


class _StubEntry:
    """Replies with ``answer`` and records the requests."""

    def __init__(self, answer: Callable[[], httpx.Response]) -> None:
        self.requests: list[httpx.Request] = []
        self._answer = answer

    def transport(self) -> HttpTransport:
        return HttpTransport(
            'http://127.0.0.1:1',
            retry=_RETRY,
            httpx_transport=httpx.MockTransport(self.handle),
        )

    def caller(self) -> HttpCallerClient:
        return HttpCallerClient(self.transport(), 'resort', 'token')

    def handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        return self._answer()


def _problem_response(
    status: int, **fields: object
) -> Callable[[], httpx.Response]:
    return lambda: httpx.Response(status, json=fields)


def _time_out() -> httpx.Response:
    raise httpx.ReadTimeout('silent')


def _refuse_connection() -> httpx.Response:
    raise httpx.ConnectError('refused')


def _ok_response() -> httpx.Response:
    headers = {'Content-Digest': content_digest(b'OK'), 'Request-Id': 'r1'}
    return httpx.Response(200, content=b'OK', headers=headers)


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (_problem_response(400, reason='malformed'), Invalid),
        (_problem_response(403, reason='token_refused'), Refused),
        (_problem_response(409, reason='key_reused'), Conflict),
        (
            _problem_response(503, outcome='not_run', reason='no_minion'),
            Refused,
        ),
        (_problem_response(503, outcome='unknown', reason='x'), UnknownOutcome),
        (_problem_response(504, outcome='unknown', reason='x'), UnknownOutcome),
        (lambda: httpx.Response(500, content=b'not json'), Refused),
        (_time_out, UnknownOutcome),
        (_refuse_connection, Unreachable),
        (lambda: httpx.Response(200, content=b'cut'), UnknownOutcome),
    ],
)
async def test_outcome_of_a_request(answer, kind):
    """Guards against reporting an unknown outcome as "not run"."""
    outcome = await _StubEntry(answer).caller().request(RequestCall(body=b'x'))
    assert isinstance(outcome, kind)


async def test_a_request_that_is_not_idempotent_is_sent_once():
    """Guards against a retry that could run a request twice."""
    entry = _StubEntry(_time_out)
    outcome = await entry.caller().request(RequestCall(body=b'x'))
    sent = entry.requests[0].headers
    assert len(entry.requests) == 1
    assert sent['request-first-attempt'] == 'true'
    assert outcome.key == sent['idempotency-key'] != ''


async def test_a_retry_is_not_marked_as_the_first_attempt():
    """Guards against "not run" for a request that an earlier attempt ran.

    An entry may answer "not run" to a first attempt while its ledger is down.
    """
    entry = _StubEntry(_ok_response)
    outcome = await entry.caller().request(RequestCall(body=b'x', key='k'))
    assert outcome == RequestAnswer('r1', b'OK', 'k')
    assert entry.requests[0].headers['request-first-attempt'] == 'false'


async def test_an_idempotent_request_is_retried():
    """Guards against giving up after a transient failure."""
    answers = iter(
        (_time_out, _problem_response(503, retry_after_ms=1), _ok_response)
    )
    entry = _StubEntry(lambda: next(answers)())
    call = RequestCall(body=b'x', is_idempotent=True)
    outcome = await entry.caller().request(call)
    assert isinstance(outcome, RequestAnswer)
    assert len(entry.requests) == 3


async def test_a_refusal_without_retry_delay_is_not_retried():
    """Guards against retries of a refusal that states no retry delay."""
    entry = _StubEntry(_problem_response(503, reason='no_minion'))
    call = RequestCall(body=b'x', is_idempotent=True)
    assert isinstance(await entry.caller().request(call), Refused)
    assert len(entry.requests) == 1


async def test_a_conflict_states_the_current_revision():
    """Guards against a conflict from which the operator cannot recover."""
    entry = _StubEntry(
        _problem_response(409, reason='conflict', current_revision=7)
    )
    client = HttpOperatorClient(entry.transport())
    outcome = await client.put_record('workspace', 'resort', b'{}', 3)
    assert isinstance(outcome, Conflict)
    assert outcome.current_revision == 7
    assert entry.requests[0].headers['if-match'] == '"3"'


async def test_a_write_without_an_answer_is_not_retried():
    """Guards against a retry that conflicts with the write that succeeded."""
    entry = _StubEntry(_time_out)
    client = HttpOperatorClient(entry.transport())
    outcome = await client.put_record('workspace', 'resort', b'{}', 3)
    assert isinstance(outcome, UnknownOutcome)
    assert len(entry.requests) == 1


@pytest.mark.parametrize(
    'url', ['', '127.0.0.1:80', 'ftp://x', 'http://[x', 'http://a:99999']
)
def test_an_invalid_address_is_refused(url):
    """Guards against an address error that appears only at the first call."""
    with pytest.raises(InvalidInputError, match='url'):
        HttpTransport(url)


@pytest.mark.parametrize(
    'fields',
    [
        {'body': b'x' * (1024 * 1024 + 1)},
        {'body': b'', 'key': 'a b'},
        {'body': b'', 'key': 'k' * 201},
        {'body': b'', 'request_class': 'caf\u00e9'},
        {'body': b'', 'deadline': timedelta(0)},
        {'body': b'', 'deadline': timedelta(seconds=601)},
    ],
)
def test_a_request_that_cannot_be_sent_is_refused_at_once(fields):
    """Guards against an invalid call that ends with an unknown outcome."""
    with pytest.raises(InvalidInputError):
        RequestCall(**fields)


async def test_retries_end_at_the_timeout_of_the_call():
    """Guards against retries that continue after the timeout."""
    entry = _StubEntry(_problem_response(503, retry_after_ms=1))
    retry = RetryPolicy(attempts=50, first_delay=timedelta(milliseconds=20))
    transport = HttpTransport(
        'http://127.0.0.1:1',
        timeout=timedelta(milliseconds=100),
        retry=retry,
        httpx_transport=httpx.MockTransport(entry.handle),
    )
    client = HttpOperatorClient(transport)
    assert isinstance(await client.status(), Refused)
    assert 2 <= len(entry.requests) <= 4


@pytest.mark.parametrize('body', ODD_BODIES)
async def test_odd_answer_has_an_unknown_outcome(body):
    """Odd entry ends the process that reads it; here, an answer."""
    answer = httpx.Response(200, content=body)
    client = HttpOperatorClient(_StubEntry(lambda: answer).transport())
    assert isinstance(await client.status(), UnknownOutcome)


@pytest.mark.parametrize(
    'body', [*ODD_BODIES, b'{"retry_after_ms":' + b'9' * 400 + b'}']
)
async def test_odd_problem_is_a_failure(body):
    """Odd entry ends the process that reads it; here, a problem."""
    answer = httpx.Response(404, content=body)
    client = HttpOperatorClient(_StubEntry(lambda: answer).transport())
    assert isinstance(await client.status(), Invalid | Refused)
