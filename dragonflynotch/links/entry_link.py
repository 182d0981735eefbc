"""gRPC client and server for calls between entry processes."""

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
# The default backoff reaches 120 s; 1 s allows a fast reconnect after a peer
# restarts.
_CHANNEL_OPTIONS = (
    *_MESSAGE_LIMITS,
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
)


class EntryLink(ABC):
    """Client for calls to one other entry.

    Calls raise ``LinkTimeoutError`` if the peer does not answer in time and
    ``LinkError`` on any other failure.
    """

    @abstractmethod
    async def send_digest(self, digest: Digest) -> DigestReply:
        """Send a membership digest and return the state of the peer."""

    @abstractmethod
    async def push_configuration(
        self, update: ConfigurationUpdate
    ) -> ConfigurationPosition:
        """Send configuration changes and return the revision of the peer."""

    @abstractmethod
    async def pull_configuration(
        self, position: ConfigurationPosition
    ) -> ConfigurationUpdate:
        """Fetch the configuration changes after a revision."""

    @abstractmethod
    async def call_jobs(self, call: JobCall, timeout: timedelta) -> JobReply:
        """Forward a job call to the owner of its partition."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class EntryLinkHandler(ABC):
    """Handles calls from other entries."""

    @abstractmethod
    async def on_digest(self, digest: Digest) -> DigestReply:
        """Apply a membership digest and return the state of this entry."""

    @abstractmethod
    async def on_push(self, update: ConfigurationUpdate) -> int:
        """Apply configuration changes and return the revision in force."""

    @abstractmethod
    async def on_pull(self, revision: int) -> ConfigurationUpdate:
        """Return the configuration changes after a revision."""

    @abstractmethod
    async def on_job_call(self, call: JobCall) -> JobReply:
        """Answer a forwarded job call."""


class GrpcEntryLink(EntryLink):
    """gRPC client of one other entry.

    The channel is replaced after a call misses its deadline, because an open
    connection can stop delivering data while new connections work.

    Parameters
    ----------
    address : str
        ``host:port`` of the peer.
    timeout : timedelta
        Deadline of each call, except for forwarded job calls.
    """

    def __init__(self, address: str, timeout: timedelta = CALL_TIMEOUT) -> None:
        """Create the client; the first call opens the connection."""
        self._address = address
        self._timeout = timeout
        self._open_channel()

    async def send_digest(self, digest: Digest) -> DigestReply:
        """Send a membership digest and return the state of the peer."""
        reply: DigestReply = await self._call('SendDigest', digest)
        return reply

    async def push_configuration(
        self, update: ConfigurationUpdate
    ) -> ConfigurationPosition:
        """Send configuration changes and return the revision of the peer."""
        reply: ConfigurationPosition = await self._call(
            'PushConfiguration', update
        )
        return reply

    async def pull_configuration(
        self, position: ConfigurationPosition
    ) -> ConfigurationUpdate:
        """Fetch the configuration changes after a revision."""
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

    def _open_channel(self) -> None:
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
                    f'no response within {deadline.total_seconds()} s',
                    step=method,
                    peer=self._address,
                ) from error
            raise _error_type(error)(
                f'gRPC call failed: {error.details()}',
                step=method,
                peer=self._address,
            ) from error

    async def _replace_channel(self) -> None:
        old_channel = self._channel
        self._open_channel()
        await old_channel.close()


class EntryLinkServer:
    """gRPC server for calls from other entries."""

    def __init__(self, handler: EntryLinkHandler) -> None:
        """Create the server; ``start`` opens the port."""
        self._handler = handler
        self._server: aio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the bound port.

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
            bound_port: int = self._server.add_insecure_port(f'{host}:{port}')
        except RuntimeError as error:
            raise LinkError(
                f'cannot listen: {error}', step='listen', peer=f'{host}:{port}'
            ) from error
        await self._server.start()
        return bound_port

    async def stop(self, grace: timedelta) -> None:
        """Refuse new calls and wait at most ``grace`` for those in flight."""
        if self._server is not None:
            await self._server.stop(grace.total_seconds())


def _error_type(error: aio.AioRpcError) -> type[LinkError]:
    # Calls do not wait for a connection. Without one they fail with this status
    # and text before anything is sent.
    is_unsent = (
        error.code() is StatusCode.UNAVAILABLE
        and 'failed to connect' in (error.details() or '').lower()
    )
    return EntryNotConnectedError if is_unsent else LinkError


class _Servicer(EntryLinkServicer):
    """Passes calls of the generated service class to the handler."""

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
