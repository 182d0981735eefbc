"""Clients turn answers into outcomes and repeat only idempotent calls."""

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

_RETRY = RetryPolicy(attempts=3, first_delay=timedelta(milliseconds=1))


class _Peer:
    """Answers with ``answer`` and keeps the calls."""

    def __init__(self, answer: Callable[[], httpx.Response]) -> None:
        self.calls: list[httpx.Request] = []
        self._answer = answer

    def transport(self) -> HttpTransport:
        return HttpTransport(
            'http://127.0.0.1:1',
            retry=_RETRY,
            connection=httpx.MockTransport(self.take),
        )

    def caller(self) -> HttpCallerClient:
        return HttpCallerClient(self.transport(), 'resort', 'token')

    def take(self, request: httpx.Request) -> httpx.Response:
        self.calls.append(request)
        return self._answer()


def _problem(status: int, **fields: object) -> Callable[[], httpx.Response]:
    return lambda: httpx.Response(status, json=fields)


def _silent() -> httpx.Response:
    raise httpx.ReadTimeout('silent')


def _closed() -> httpx.Response:
    raise httpx.ConnectError('refused')


def _answered() -> httpx.Response:
    headers = {'Content-Digest': content_digest(b'OK'), 'Request-Id': 'r1'}
    return httpx.Response(200, content=b'OK', headers=headers)


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (_problem(400, reason='malformed'), Invalid),
        (_problem(403, reason='token_refused'), Refused),
        (_problem(409, reason='key_reused'), Conflict),
        (_problem(503, outcome='not_run', reason='no_minion'), Refused),
        (_problem(503, outcome='unknown', reason='x'), UnknownOutcome),
        (_problem(504, outcome='unknown', reason='x'), UnknownOutcome),
        (lambda: httpx.Response(500, content=b'not json'), Refused),
        (_silent, UnknownOutcome),
        (_closed, Unreachable),
        (lambda: httpx.Response(200, content=b'cut'), UnknownOutcome),
    ],
)
async def test_outcome_of_a_request(answer, kind):
    """Guards against a caller that takes an open outcome for "not run"."""
    outcome = await _Peer(answer).caller().request(RequestCall(body=b'x'))
    assert isinstance(outcome, kind)


async def test_a_request_that_is_not_idempotent_is_sent_once():
    """Guards against a repetition that would run a request twice."""
    peer = _Peer(_silent)
    outcome = await peer.caller().request(RequestCall(body=b'x'))
    sent = peer.calls[0].headers
    assert len(peer.calls) == 1
    assert sent['request-first-attempt'] == 'true'
    assert outcome.key == sent['idempotency-key'] != ''


async def test_a_repetition_does_not_claim_to_be_the_first_attempt():
    """Guards against "not run" about a request that an earlier call ran."""
    peer = _Peer(_answered)
    outcome = await peer.caller().request(RequestCall(body=b'x', key='k'))
    assert outcome == RequestAnswer('r1', b'OK', 'k')
    assert peer.calls[0].headers['request-first-attempt'] == 'false'


async def test_an_idempotent_request_is_repeated():
    """Guards against giving up after a failure that passes."""
    answers = iter((_silent, _problem(503, retry_after_ms=1), _answered))
    peer = _Peer(lambda: next(answers)())
    call = RequestCall(body=b'x', is_idempotent=True)
    outcome = await peer.caller().request(call)
    assert isinstance(outcome, RequestAnswer)
    assert len(peer.calls) == 3


async def test_a_refusal_without_retry_time_is_final():
    """Guards against calls that load an entry for nothing."""
    peer = _Peer(_problem(503, reason='no_minion'))
    call = RequestCall(body=b'x', is_idempotent=True)
    assert isinstance(await peer.caller().request(call), Refused)
    assert len(peer.calls) == 1


async def test_a_conflict_tells_the_current_revision():
    """Guards against an operator who cannot tell what to merge with."""
    peer = _Peer(_problem(409, reason='conflict', current_revision=7))
    client = HttpOperatorClient(peer.transport())
    outcome = await client.put_record('workspace', 'resort', b'{}', 3)
    assert isinstance(outcome, Conflict)
    assert outcome.current_revision == 7
    assert peer.calls[0].headers['if-match'] == '"3"'


async def test_a_lost_answer_to_a_write_is_not_repeated():
    """Guards against a conflict of a write with itself."""
    peer = _Peer(_silent)
    client = HttpOperatorClient(peer.transport())
    outcome = await client.put_record('workspace', 'resort', b'{}', 3)
    assert isinstance(outcome, UnknownOutcome)
    assert len(peer.calls) == 1


@pytest.mark.parametrize(
    'url', ['', '127.0.0.1:80', 'ftp://x', 'http://[x', 'http://a:99999']
)
def test_an_address_of_another_form_is_refused(url):
    """Guards against an obscure failure at the first call."""
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
    """Guards against an unknown outcome of a call that was never sent."""
    with pytest.raises(InvalidInputError):
        RequestCall(**fields)


async def test_repetitions_end_with_the_limit_of_the_call():
    """Guards against a caller that waits longer than its deadline."""
    peer = _Peer(_problem(503, retry_after_ms=1))
    retry = RetryPolicy(attempts=50, first_delay=timedelta(milliseconds=20))
    transport = HttpTransport(
        'http://127.0.0.1:1',
        timeout=timedelta(milliseconds=100),
        retry=retry,
        connection=httpx.MockTransport(peer.take),
    )
    client = HttpOperatorClient(transport)
    assert isinstance(await client.status(), Refused)
    assert 2 <= len(peer.calls) <= 4
