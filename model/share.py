"""Prints the share of test lines and fails above the limit."""

import sys
from pathlib import Path

__all__ = ('main',)

_LIMIT = 1 / 3
_GENERATED = ('_pb2.py', '_pb2_grpc.py')
_ROOTS = ('dragonflynotch', 'benchmarks', 'model', 'tests')


def _count_lines(root: str) -> int:
    return sum(
        len(path.read_text().splitlines())
        for path in Path(root).rglob('*.py')
        if not path.name.endswith(_GENERATED)
    )


def main() -> int:
    """Return 1 if tests exceed a third of the hand-written lines."""
    total = sum(_count_lines(root) for root in _ROOTS)
    tests = _count_lines('tests')
    share = tests / total
    print(f'test share: {tests} of {total} lines, {share:.1%}')
    return int(share > _LIMIT)


if __name__ == '__main__':
    sys.exit(main())
