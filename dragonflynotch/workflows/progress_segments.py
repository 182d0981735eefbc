"""Rows that hold the progress of one job, each with a range of its tasks.

A job with few tasks has one row. A row that grows too large is divided, so that
the progress of a job of any size can be stored, and a change rewrites only the
rows of the tasks that changed.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Iterator, Sequence

from dragonflynotch.workflows.records import ProgressRow, TaskRow, encode_row

__all__ = ('ProgressSegments', 'progress_key', 'split_progress_key')

# Rows are divided before they reach the limit of the store, so that a change
# of one task rewrites little.
_ROWS_PER_LIMIT = 4


def progress_key(job_id: str, start: int) -> str:
    """Return the key of the row with the tasks from a position on."""
    return f'{job_id}/{start}' if start else job_id


def split_progress_key(key: str) -> tuple[str, int] | None:
    """Return job and first position of a row, or ``None`` if it is malformed.

    The first row of a job has the identifier of the job as its key.
    """
    job_id, slash, start = key.partition('/')
    if not slash:
        return job_id, 0
    is_position = start.isascii() and start.isdecimal() and len(start) < 10
    return (job_id, int(start)) if is_position else None


class ProgressSegments:
    """How the tasks of a job are divided among rows.

    A row is decisive for the tasks from its position to the next row. Stored
    rows may hold older entries of later tasks, which were there before the row
    was divided.

    Parameters
    ----------
    task_count : int
        Number of tasks of the job, in the order of their positions.
    """

    def __init__(self, task_count: int) -> None:
        """Create one segment with all tasks."""
        self._task_count = task_count
        self._starts = [0]
        # Hashes of the rows as they were last taken, by first position.
        self._taken: dict[int, int] = {}

    @property
    def further_starts(self) -> list[int]:
        """First positions of all rows but the first one."""
        return self._starts[1:]

    def add(self, start: int) -> None:
        """Add a stored row, which begins at a position."""
        if 0 < start < self._task_count and start not in self._starts:
            insort(self._starts, start)

    def is_decisive(self, start: int, position: int) -> bool:
        """Return whether the row from ``start`` on tells the task there."""
        index = bisect_right(self._starts, position) - 1
        return self._starts[index] == start

    def take_changes(
        self,
        first_row: ProgressRow,
        list_tasks: Callable[[int, int], Sequence[TaskRow]],
        max_row_bytes: int,
    ) -> Iterator[tuple[int, ProgressRow]]:
        """Iterate over the rows that differ from those taken before.

        A row from a later position comes first, since an earlier one may have
        lost tasks to it. The first row of the job comes last.

        Parameters
        ----------
        first_row : ProgressRow
            First row without tasks.
        list_tasks : callable
            Returns the entries of the tasks in a range of positions.
        max_row_bytes : int
            Longest row that the store accepts.
        """
        rows = self._divide(first_row, list_tasks, max_row_bytes)
        for start, row, digest in reversed(rows):
            if start and not row.tasks and start not in self._taken:
                continue
            if self._taken.get(start) != digest:
                self._taken[start] = digest
                yield start, row

    def _divide(
        self,
        first_row: ProgressRow,
        list_tasks: Callable[[int, int], Sequence[TaskRow]],
        max_row_bytes: int,
    ) -> list[tuple[int, ProgressRow, int]]:
        """Divide the rows that are too long; return all with their hashes."""
        rows = []
        index = 0
        while index < len(self._starts):
            start = self._starts[index]
            end = self._end_of(index)
            row = _create_row(first_row, start, list_tasks(start, end))
            content = encode_row(row)
            is_long = len(content) > max_row_bytes // _ROWS_PER_LIMIT
            if is_long and end - start > 1:
                self._starts.insert(index + 1, (start + end) // 2)
                continue
            rows.append((start, row, hash(content)))
            index += 1
        return rows

    def _end_of(self, index: int) -> int:
        following = self._starts[index + 1 : index + 2]
        return following[0] if following else self._task_count


def _create_row(
    first_row: ProgressRow, start: int, tasks: Sequence[TaskRow]
) -> ProgressRow:
    if start:
        return ProgressRow(first_row.state.running, list(tasks))
    return ProgressRow(
        first_row.state,
        list(tasks),
        first_row.ended_ms,
        first_row.workspace,
        first_row.reason,
        first_row.queue,
        first_row.has_started,
        first_row.policy,
    )
