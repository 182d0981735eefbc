"""Text about the tasks that may have crashed minions, for operators."""

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.crash_status import (
    SuspectedTask,
    read_suspected_tasks,
)
from dragonflynotch.platform.row_store import HttpRowStore
from dragonflynotch.platform.settings import PlatformSettings
from dragonflynotch.workflows.crash_records import TaskCrash

__all__ = ('crashes_text', 'describe_task')

_MS_PER_S = 1000


async def crashes_text(settings: PlatformSettings) -> str:
    """Return a line for each suspected task and one for each of its crashes.

    Raises
    ------
    PlatformUnavailableError
        If the store does not respond.
    """
    store = HttpRowStore(settings.store_address, BootClock())
    tasks = await read_suspected_tasks(store)
    now_ms = store.store_clock.latest_ms()
    lines = [line for task in tasks for line in describe_task(task, now_ms)]
    return '\n'.join(lines) or 'no crash'


def describe_task(task: SuspectedTask, now_ms: int) -> list[str]:
    """Return the lines about one task; ``now_ms`` is the time of the store."""
    count = len(task.crashes)
    return [
        f'{task.task}: {task.job_state.value}, {count} crashes',
        *(_describe_crash(crash, now_ms) for crash in task.crashes),
    ]


def _describe_crash(crash: TaskCrash, now_ms: int) -> str:
    ago_s = (now_ms - crash.at_ms) / _MS_PER_S
    return (
        f'  {ago_s:.1f} s ago: run {crash.run} on {crash.node}, '
        f'minion {crash.minion_id}, {crash.evidence.value} evidence'
    )
