"""Calls between entry processes over gRPC."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import Any

from grpc import StatusCode, aio

from dragonflynotch.core.errors import (
    EntryNotConnectedError,
    LinkError,
    LinkTimeoutError,
)
from dragonflynotch.links.entry_link_pb2 import (
    ConfigurationPosition,
    ConfigurationUpdate,
    Digest,
    DigestReply,
    JobCall,
    JobReply,
)
from dragonflynotch.links.entry_link_pb2_grpc import (
    EntryLinkServicer,
    EntryLinkStub,
    add_EntryLinkServicer_to_server,
)

__all__ = (
    'EntryLink',
    'EntryLinkHandler',
    'EntryLinkServer',
    'GrpcEntryLink',
)

CALL_TIMEOUT = timedelta(seconds=1)
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_MESSAGE_LIMITS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
)
# Reconnects fast after a peer restarted; the default backoff reaches 120 s.
_CHANNEL_OPTIONS = (
    *_MESSAGE_LIMITS,
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class EntryLink(ABC):
    """Calls to one other entry.

    All methods raise ``LinkTimeoutError`` or ``LinkError`` on failure.
    """

    @abstractmethod
    async def send_digest(self, digest: Digest) -> DigestReply:
        """Send a digest and return the position of the peer."""

    @abstractmethod
    async def push_configuration(
        self, update: ConfigurationUpdate
    ) -> ConfigurationPosition:
        """Deliver changes and return the revision of the peer."""

    @abstractmethod
    async def pull_configuration(
        self, position: ConfigurationPosition
    ) -> ConfigurationUpdate:
        """Return what is missing after a position."""

    @abstractmethod
    async def call_jobs(self, call: JobCall, timeout: timedelta) -> JobReply:
        """Forward a job call to the owner of its partition."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class EntryLinkHandler(ABC):
    """Answers calls of other entries."""

    @abstractmethod
    async def on_digest(self, digest: Digest) -> DigestReply:
        """Apply a digest."""

    @abstractmethod
    async def on_push(self, update: ConfigurationUpdate) -> int:
        """Apply changes and return the revision in force."""

    @abstractmethod
    async def on_pull(self, revision: int) -> ConfigurationUpdate:
        """Return what is missing after a revision."""

    @abstractmethod
    async def on_job_call(self, call: JobCall) -> JobReply:
        """Answer a forwarded job call."""


class GrpcEntryLink(EntryLink):
    """Another entry reached over gRPC.

    A call that misses its deadline replaces the channel, because a connection
    can go silent for good while new ones work.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    timeout : timedelta
        Deadline of each call, except for forwarded job calls.
    """

    def __init__(self, address: str, timeout: timedelta = CALL_TIMEOUT) -> None:
        """Create the link; the connection is opened by the first call."""
        self._address = address
        self._timeout = timeout
        self._open()

    async def send_digest(self, digest: Digest) -> DigestReply:
        """Send a digest and return the position of the peer."""
        reply: DigestReply = await self._call('SendDigest', digest)
        return reply

    async def push_configuration(
        self, update: ConfigurationUpdate
    ) -> ConfigurationPosition:
        """Deliver changes and return the revision of the peer."""
        reply: ConfigurationPosition = await self._call(
            'PushConfiguration', update
        )
        return reply

    async def pull_configuration(
        self, position: ConfigurationPosition
    ) -> ConfigurationUpdate:
        """Return what is missing after a position."""
        reply: ConfigurationUpdate = await self._call(
            'PullConfiguration', position
        )
        return reply

    async def call_jobs(self, call: JobCall, timeout: timedelta) -> JobReply:
        """Forward a job call to the owner of its partition."""
        reply: JobReply = await self._call('CallJobs', call, timeout)
        return reply

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    def _open(self) -> None:
        self._channel = aio.insecure_channel(
            self._address, options=_CHANNEL_OPTIONS
        )
        self._stub = EntryLinkStub(self._channel)  # type: ignore[no-untyped-call]

    async def _call(
        self, method: str, message: object, timeout: timedelta | None = None
    ) -> Any:
        deadline = timeout or self._timeout
        try:
            return await getattr(self._stub, method)(
                message, timeout=deadline.total_seconds()
            )
        except aio.AioRpcError as error:
            if error.code() is StatusCode.DEADLINE_EXCEEDED:
                await self._replace_channel()
                raise LinkTimeoutError(
                    f'no answer within {deadline.total_seconds()} s',
                    step=method,
                    peer=self._address,
                ) from error
            raise _link_error(error)(
                f'call failed: {error.details()}',
                step=method,
                peer=self._address,
            ) from error

    async def _replace_channel(self) -> None:
        silent = self._channel
        self._open()
        await silent.close()


class EntryLinkServer:
    """Serves calls of other entries on one port."""

    def __init__(self, handler: EntryLinkHandler) -> None:
        """Serve with ``handler``."""
        self._handler = handler
        self._server: aio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port.

        Raises
        ------
        LinkError
            If the address cannot be bound.
        """
        self._server = aio.server(
            options=(*_MESSAGE_LIMITS, ('grpc.so_reuseport', 0))
        )
        add_EntryLinkServicer_to_server(  # type: ignore[no-untyped-call]
            _Servicer(self._handler), self._server
        )
        try:
            bound: int = self._server.add_insecure_port(f'{host}:{port}')
        except RuntimeError as error:
            raise LinkError(
                f'cannot listen: {error}', step='listen', peer=f'{host}:{port}'
            ) from error
        await self._server.start()
        return bound

    async def stop(self, grace: timedelta) -> None:
        """Refuse new calls and wait for those in flight."""
        if self._server is not None:
            await self._server.stop(grace.total_seconds())


def _link_error(error: aio.AioRpcError) -> type[LinkError]:
    # A call fails with this status before it is sent if the channel has no
    # connection, because calls do not wait for one.
    is_unsent = (
        error.code() is StatusCode.UNAVAILABLE
        and 'failed to connect' in (error.details() or '').lower()
    )
    return EntryNotConnectedError if is_unsent else LinkError


class _Servicer(EntryLinkServicer):
    """Adapts the handler to the generated service class."""

    def __init__(self, handler: EntryLinkHandler) -> None:
        self._handler = handler

    async def SendDigest(  # noqa: N802
        self, request: Digest, context: object
    ) -> DigestReply:
        return await self._handler.on_digest(request)

    async def PushConfiguration(  # noqa: N802
        self, request: ConfigurationUpdate, context: object
    ) -> ConfigurationPosition:
        revision = await self._handler.on_push(request)
        return ConfigurationPosition(revision=revision)

    async def PullConfiguration(  # noqa: N802
        self, request: ConfigurationPosition, context: object
    ) -> ConfigurationUpdate:
        return await self._handler.on_pull(request.revision)

    async def CallJobs(  # noqa: N802
        self, request: JobCall, context: object
    ) -> JobReply:
        return await self._handler.on_job_call(request)
