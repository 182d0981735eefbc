"""Minion that can send invalid answers and counts the requests it runs."""

import asyncio
from collections import Counter

from dragonflynotch.core.requests import content_digest


def encode_answer(request_id, body):
    head = (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        f'Content-Digest: {content_digest(body)}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class RawMinion:
    """Serves one request per connection; ``fault`` alters the answer."""

    def __init__(self, name):
        self.fault = ''
        self.delay_s = 0
        self.runs = Counter()
        self._name = name
        self._previous_answer = encode_answer(
            'none', b'ANSWER OF ANOTHER CALLER'
        )
        self._server = None
        self._tasks = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in head[1:] if line)
        body = await reader.readexactly(int(headers['content-length']))
        self.runs[body.decode('latin-1')] += 1
        answer = encode_answer(
            headers['request-id'], f'{self._name}: '.encode() + body.upper()
        )
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        writer.write(self._apply_fault(answer))
        self._previous_answer = answer
        await writer.drain()

    def _apply_fault(self, answer):
        match self.fault:
            case 'crossed':
                return self._previous_answer
            case 'late_and_crossed':
                return self._previous_answer + answer
            case 'duplicated':
                return answer + answer
            case 'truncated':
                return answer[:-3]
            case 'half_with_length':
                head, body = answer.split(b'\r\n\r\n')
                first_half = body[: len(body) // 2]
                old_length = f'Content-Length: {len(body)}'.encode()
                new_length = f'Content-Length: {len(first_half)}'.encode()
                return (
                    head.replace(old_length, new_length)
                    + b'\r\n\r\n'
                    + first_half
                )
            case 'failing':
                return b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'
            case 'garbage':
                return b'\x00\xff' * 4096
            case 'endless':
                return b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 1_000_000
            case _:
                return answer
