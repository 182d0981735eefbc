"""HTTP client of the object store."""

from datetime import timedelta
from urllib.parse import quote

import httpx

from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.services.object_store import ObjectStore

__all__ = ('HttpObjectStore',)

_PEER = 'object store'


class HttpObjectStore(ObjectStore):
    """Object store reached over HTTP.

    Parameters
    ----------
    base_url : str
        URL of the service, for example ``'http://127.0.0.1:7001'``.
    timeout : timedelta
        Time limit for each network operation of a call, as in ``httpx``.
    """

    def __init__(self, base_url: str, timeout: timedelta) -> None:
        """Create the client; no connection is opened yet."""
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout.total_seconds(),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        try:
            reply = await self._client.get(_object_path(key))
        except httpx.HTTPError as error:
            raise _unavailable_error('get object', error) from error
        if reply.status_code == httpx.codes.NOT_FOUND:
            return None
        if reply.status_code != httpx.codes.OK:
            raise _unavailable_error('get object', reply.status_code)
        return reply.content

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; a repeated call has no further effect."""
        try:
            reply = await self._client.put(_object_path(key), content=content)
        except httpx.HTTPError as error:
            raise _unavailable_error('put object', error) from error
        if reply.status_code != httpx.codes.OK:
            raise _unavailable_error('put object', reply.status_code)


def _object_path(key: str) -> str:
    return f'/v1/objects/{quote(key, safe="")}'


def _unavailable_error(step: str, cause: object) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'object store is unavailable: {cause!r}', step=step, peer=_PEER
    )
