"""Stand-in for the store behind a slow link: it sends its bytes slowly."""

import asyncio
import base64
from urllib.parse import parse_qs, urlsplit

import msgspec

_CHUNK_S = 0.02


class SlowStore:
    """Serves ``rows-get`` with a limited rate of bytes.

    Parameters
    ----------
    address : tuple of (str, int)
        Address to listen on.
    bytes_per_s : int
        Rate of each response.
    """

    def __init__(self, address, bytes_per_s):
        self.address = address
        self.bytes_per_s = bytes_per_s
        self.rows = {}
        self.version = 1
        self.queries = []
        # Bytes after which responses stop to arrive.
        self.stall_after = None
        # Requests that are served before responses stall.
        self.calls_before_stall = 0
        # Of the requests after those, one in this number stalls.
        self.stall_every = 1
        self._server = None
        self._writers = []
        self._stopped = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self):
        self._server.close()
        self._stopped.set()
        for writer in self._writers:
            writer.transport.abort()
        # Connections end in the next turns of the event loop.
        await asyncio.sleep(0.05)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._respond(head.split()[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, target, writer):
        query = {
            name: texts[0]
            for name, texts in parse_qs(urlsplit(target).query).items()
        }
        self.queries.append(query)
        body = self._page(query)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        response = head.encode() + body
        is_stalled = (
            self.stall_after is not None
            and len(self.queries) > self.calls_before_stall
            and len(self.queries) % self.stall_every == 0
        )
        if is_stalled:
            response = response[: self.stall_after]
        chunk = max(1, int(self.bytes_per_s * _CHUNK_S))
        for start in range(0, len(response), chunk):
            writer.write(response[start : start + chunk])
            await writer.drain()
            await asyncio.sleep(_CHUNK_S)
        if is_stalled:
            await self._stopped.wait()

    def _page(self, query):
        limit = min(int(query.get('limit', 500)), 500)
        keys = sorted(key for key in self.rows if key >= query.get('from', ''))
        page = {
            'ver': self.version,
            'now_ms': 1,
            'truncated': len(keys) > limit,
            'rows': [
                {
                    'table': query['table'],
                    'key': key,
                    'ver': 1,
                    'value': base64.b64encode(self.rows[key]).decode(),
                }
                for key in keys[:limit]
            ],
        }
        return msgspec.json.encode(page)
