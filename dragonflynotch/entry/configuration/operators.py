"""HTTP interface for operators: records, guards, health and metrics."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import httpx
import msgspec
from litestar import (
    Controller,
    Litestar,
    Request,
    Response,
    delete,
    get,
    post,
    put,
)
from litestar.datastructures import State
from litestar.params import FromPath

from dragonflynotch.core.configuration import RecordKey
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.membership import Membership
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
    RecordAccepted,
    RecordConflict,
    RecordRefused,
    WriteResult,
)
from dragonflynotch.entry.members.health import Health
from dragonflynotch.records.documents import MAX_DOCUMENT_BYTES

__all__ = ('OperatorServices', 'create_operator_app')

_DRAIN_TIMEOUT = timedelta(seconds=2)
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNPROCESSABLE = 422
_PRECONDITION_REQUIRED = 428
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

_JsonBody = Mapping[str, Any]
_HttpRequest = Request[Any, Any, State]


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """The parts of the entry that the operator interface uses.

    Parameters
    ----------
    configuration : ConfigurationService
        Reads and writes configuration records.
    membership : Membership
        Guards of the data centre.
    health : Health
        Readiness of the entry.
    describe : callable
        Returns the status of the entry and its partition.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    """

    configuration: ConfigurationService
    membership: Membership
    health: Health
    describe: Callable[[], Awaitable[_JsonBody]]
    render_metrics: Callable[[], bytes]


class RecordsController(Controller):
    """Routes for configuration records."""

    path = '/v1/records'

    @get()
    async def list_records(self, state: State) -> Response[bytes]:
        """Return all records with their revisions."""
        services: OperatorServices = state.services
        snapshot = services.configuration.log.snapshot
        return _json(
            _OK,
            {
                'revision': snapshot.revision,
                'records': [
                    {
                        'revision': record.revision,
                        'document': msgspec.Raw(record.document),
                    }
                    for _, record in sorted(snapshot.records.items())
                ],
            },
        )

    @get('/{kind:str}/{name:str}')
    async def get_record(
        self, state: State, kind: FromPath[str], name: FromPath[str]
    ) -> Response[bytes]:
        """Return one record; the ETag header holds its revision."""
        services: OperatorServices = state.services
        records = services.configuration.log.snapshot.records
        record = records.get(RecordKey(kind, name))
        if record is None:
            return _problem(_NOT_FOUND, 'no_record', f'no record {kind}/{name}')
        return Response(
            record.document,
            media_type='application/json',
            headers={'ETag': f'"{record.revision}"'},
        )

    @put('/{kind:str}/{name:str}', request_max_body_size=MAX_DOCUMENT_BYTES)
    async def put_record(
        self,
        state: State,
        request: _HttpRequest,
        kind: FromPath[str],
        name: FromPath[str],
    ) -> Response[bytes]:
        """Create or change the record at the revision in ``If-Match``."""
        services: OperatorServices = state.services
        try:
            expected_revision = _expected_revision(request)
            result = await services.configuration.write(
                RecordKey(kind, name), await request.body(), expected_revision
            )
        except InvalidInputError as error:
            return _problem(_BAD_REQUEST, 'invalid', str(error))
        return _result_response(result)

    @delete('/{kind:str}/{name:str}', status_code=_OK)
    async def delete_record(
        self,
        state: State,
        request: _HttpRequest,
        kind: FromPath[str],
        name: FromPath[str],
    ) -> Response[bytes]:
        """Delete the record at the revision in ``If-Match``."""
        services: OperatorServices = state.services
        try:
            expected_revision = _expected_revision(request)
        except InvalidInputError as error:
            return _problem(_BAD_REQUEST, 'invalid', str(error))
        if not expected_revision:
            return _problem(
                _PRECONDITION_REQUIRED, 'no_revision', 'If-Match is required'
            )
        return _result_response(
            await services.configuration.delete(
                RecordKey(kind, name), expected_revision
            )
        )


class GuardsController(Controller):
    """Routes for the guards of the data centre."""

    path = '/v1/guards'

    @post('/{guard_id:str}/drain')
    async def drain(
        self, state: State, guard_id: FromPath[str]
    ) -> Response[bytes]:
        """Ask a guard to finish its requests and shut down."""
        services: OperatorServices = state.services
        guard = services.membership.get(guard_id)
        if guard is None:
            return _problem(
                _NOT_FOUND,
                'no_guard',
                f'no live guard {guard_id!r} in this data centre',
            )
        host, port = guard.address
        async with httpx.AsyncClient(
            trust_env=False, timeout=_DRAIN_TIMEOUT.total_seconds()
        ) as client:
            try:
                reply = await client.post(f'http://{host}:{port}/v1/drain')
            except (httpx.HTTPError, httpx.InvalidURL) as error:
                return _problem(
                    _BAD_GATEWAY,
                    'no_answer',
                    repr(error),
                    outcome='unknown',
                    step='drain',
                    peer=guard_id,
                    retry_after=_DRAIN_TIMEOUT,
                )
        return _json(
            _ACCEPTED, {'guard': guard_id, 'status': reply.status_code}
        )


class HealthController(Controller):
    """Routes for liveness, readiness, metrics and status."""

    path = '/'

    @get('/live')
    async def live(self) -> str:
        """Return success while the process answers requests."""
        return 'live'

    @get('/ready')
    async def ready(self, state: State) -> Response[bytes]:
        """Return success while the entry accepts new requests."""
        services: OperatorServices = state.services
        if services.health.is_ready:
            return _json(_OK, {'ready': True})
        return _json(
            _SERVICE_UNAVAILABLE,
            {'ready': False, 'reason': services.health.reason},
        )

    @get('/metrics')
    async def metrics(self, state: State) -> Response[bytes]:
        """Return the metrics in the Prometheus text format."""
        services: OperatorServices = state.services
        return Response(
            services.render_metrics(),
            media_type='text/plain; version=0.0.4; charset=utf-8',
        )

    @get('/v1/status')
    async def status(self, state: State) -> Response[bytes]:
        """Return the status of the entry and its partition."""
        services: OperatorServices = state.services
        return _json(_OK, await services.describe())


def create_operator_app(services: OperatorServices) -> Litestar:
    """Return the ASGI application for operators."""
    return Litestar(
        [RecordsController, GuardsController, HealthController],
        openapi_config=None,
        logging_config=None,
        state=State({'services': services}),
    )


def _expected_revision(request: _HttpRequest) -> int:
    text = request.headers.get('if-match', '"0"').strip('"')
    if not text.isdigit():
        raise InvalidInputError('If-Match', text, 'a revision number')
    return int(text)


def _result_response(result: WriteResult) -> Response[bytes]:
    if isinstance(result, RecordAccepted):
        return _json(
            _OK,
            {'revision': result.revision, 'warnings': result.warnings},
            {'ETag': f'"{result.revision}"'},
        )
    if isinstance(result, RecordConflict):
        return _problem(
            _CONFLICT,
            'conflict',
            f'the record is at revision {result.current_revision}',
            current_revision=result.current_revision,
        )
    if isinstance(result, RecordRefused):
        is_temporary = result.retry_after is not None
        return _problem(
            _SERVICE_UNAVAILABLE if is_temporary else _UNPROCESSABLE,
            result.reason,
            result.detail,
            step='commit record' if is_temporary else 'check record',
            peer='table service' if is_temporary else '',
            retry_after=result.retry_after,
        )
    return _problem(
        _GATEWAY_TIMEOUT,
        'uncertain_write',
        result.detail,
        outcome='unknown',
        step='commit record',
        peer='table service',
        retry_after=result.retry_after,
    )


def _json(
    status: int, content: object, headers: dict[str, str] | None = None
) -> Response[bytes]:
    return Response(
        msgspec.json.encode(content),
        status_code=status,
        media_type='application/json',
        headers=headers,
    )


def _problem(
    status: int,
    reason: str,
    detail: str,
    *,
    outcome: str = 'not_run',
    step: str = 'check request',
    peer: str = '',
    retry_after: timedelta | None = None,
    **extra: object,
) -> Response[bytes]:
    headers = {}
    content = {
        'outcome': outcome,
        'reason': reason,
        'detail': detail,
        'step': step,
        'peer': peer,
        **extra,
    }
    if retry_after is not None:
        content['retry_after_ms'] = int(retry_after.total_seconds() * 1000)
        headers['Retry-After'] = str(int(retry_after.total_seconds()))
    return Response(
        msgspec.json.encode(content),
        status_code=status,
        media_type='application/problem+json',
        headers=headers,
    )
