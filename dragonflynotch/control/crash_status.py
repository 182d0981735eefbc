"""Tasks that may have crashed minions, read from the rows of the store."""

from dataclasses import dataclass

from dragonflynotch.control.rows import PROGRESS, RowStore
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.workflows.crash_records import TaskCrash
from dragonflynotch.workflows.progress_segments import split_progress_key
from dragonflynotch.workflows.records import (
    JobState,
    ProgressRow,
    decode_row,
)

__all__ = ('SuspectedTask', 'read_suspected_tasks')


@dataclass(frozen=True, slots=True)
class SuspectedTask:
    """A task with the crashes that it may have caused.

    Parameters
    ----------
    task : str
        Name of the task.
    job_state : JobState
        State of its job.
    crashes : tuple of TaskCrash
        Crashes, the oldest first.
    """

    task: str
    job_state: JobState
    crashes: tuple[TaskCrash, ...]


async def read_suspected_tasks(store: RowStore) -> list[SuspectedTask]:
    """Return the suspected tasks of all stored jobs, by name.

    Jobs are stored for some time after their end.

    Raises
    ------
    PlatformUnavailableError
        If the store does not respond.
    """
    states: dict[str, JobState] = {}
    suspected: dict[str, SuspectedTask] = {}
    for row in await store.read_table(PROGRESS):
        progress = decode_row(row.content, ProgressRow)
        job_and_start = split_progress_key(row.key)
        if isinstance(progress, Unreadable) or job_and_start is None:
            continue
        # The first row of a job comes before its others and has the state.
        job_id, start = job_and_start
        if not start:
            states[job_id] = progress.state
        suspected.update(
            {
                f'{job_id}.{task.name}': SuspectedTask(
                    f'{job_id}.{task.name}',
                    states.get(job_id, progress.state),
                    tuple(task.crashes),
                )
                for task in progress.tasks
                if task.crashes
            }
        )
    return sorted(suspected.values(), key=lambda entry: entry.task)
