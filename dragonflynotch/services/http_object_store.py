"""Client of the object store over HTTP."""

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
        For example ``'http://127.0.0.1:7001'``.
    timeout : timedelta
        Limit for each step of a call.
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
            reply = await self._client.get(_path(key))
        except httpx.HTTPError as error:
            raise _unavailable('get object', error) from error
        if reply.status_code == httpx.codes.NOT_FOUND:
            return None
        if reply.status_code != httpx.codes.OK:
            raise _unavailable('get object', reply.status_code)
        return reply.content

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; storing the same key again is idempotent."""
        try:
            reply = await self._client.put(_path(key), content=content)
        except httpx.HTTPError as error:
            raise _unavailable('put object', error) from error
        if reply.status_code != httpx.codes.OK:
            raise _unavailable('put object', reply.status_code)


def _path(key: str) -> str:
    return f'/v1/objects/{quote(key, safe="")}'


def _unavailable(step: str, cause: object) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'object store is unavailable: {cause!r}', step=step, peer=_PEER
    )
