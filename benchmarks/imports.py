"""Memory after import: ``python -m benchmarks.imports``.

Repeats the measurement of section 4 of the design page. A fresh interpreter
imports each set of modules; the output shows the median of several runs.
"""

import statistics
import subprocess
import sys
from typing import Final

from benchmarks.processes import Memory

__all__ = ('main',)

_RUNS: Final = 5
_TIMEOUT_S: Final = 30
_MODULE_SETS: Final = (
    ('asyncio',),
    ('asyncio', 'msgspec', 'loguru'),
    ('asyncio', 'msgspec', 'loguru', 'h11'),
    ('asyncio', 'msgspec', 'loguru', 'h11', 'uvicorn', 'aioprometheus'),
    ('asyncio', 'msgspec', 'loguru', 'h11', 'httpx'),
    ('grpc.aio', 'msgspec', 'loguru'),
    ('asyncio', 'msgspec', 'loguru', 'cappa'),
    (
        'asyncio',
        'msgspec',
        'loguru',
        'uvicorn',
        'aioprometheus',
        'httpx',
        'grpc.aio',
        'pydantic',
        'litestar',
        'cappa',
    ),
    ('dragonflynotch.guard.daemon',),
    ('dragonflynotch.entry.daemon',),
)


def _measure(modules: tuple[str, ...]) -> Memory:
    script = (
        f'import {", ".join(modules)}\n'
        'from benchmarks.processes import read_memory\n'
        'memory = read_memory()\n'
        'print(memory.resident_kb, memory.private_kb)\n'
    )
    completed = subprocess.run(
        (sys.executable, '-c', script),
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=True,
    )
    resident_kb, private_kb = map(int, completed.stdout.split())
    return Memory(resident_kb, private_kb)


def main() -> None:
    """Print resident and private memory for each set of modules."""
    print(f'{"resident MB":>12} {"private MB":>11}  modules')
    for modules in _MODULE_SETS:
        samples = [_measure(modules) for _ in range(_RUNS)]
        resident_kb = statistics.median(
            sample.resident_kb for sample in samples
        )
        private_kb = statistics.median(sample.private_kb for sample in samples)
        print(
            f'{resident_kb / 1024:12.1f} {private_kb / 1024:11.1f}  '
            f'{" ".join(modules)}',
        )


if __name__ == '__main__':
    main()
