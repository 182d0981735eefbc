"""Compares the members of a guard with the tasks of its worker."""

from collections.abc import Iterable, Iterator

from dragonflynotch.core.events import WORKER_RESTARTED
from dragonflynotch.guard.members import Member, MemberTable
from dragonflynotch.links.orders import MemberPhase, PrepareOrder
from dragonflynotch.services.worker import (
    CheckpointTask,
    ForgetTask,
    LaunchTask,
    StartTask,
    StopTask,
    TaskCommand,
    TaskStatus,
    ThrottleTask,
    WorkerView,
)

__all__ = (
    'adopt_task',
    'apply_worker_view',
    'end_lost_members',
    'worker_commands',
)


def adopt_task(table: MemberTable, task: TaskStatus) -> None:
    """Add a member for a task that was started before a guard restart."""
    order = PrepareOrder(
        task.job_id,
        task.attempt,
        task.accelerators,
        0,
        0,
        '',
        task.checkpoint,
        task.is_checkpointable,
    )
    if table.find((task.job_id, task.attempt)) is None:
        table.add(Member(order))


def apply_worker_view(
    table: MemberTable, view: WorkerView, commands: Iterable[TaskCommand]
) -> None:
    """Update the members from the answer of the worker to ``commands``.

    Released members are removed once the worker has no task for them.
    """
    for command in commands:
        member = table.find((command.job_id, command.attempt))
        if member is not None and isinstance(command, CheckpointTask):
            member.requested_checkpoint_label = ''
    tasks = {(task.job_id, task.attempt): task for task in view.tasks}
    for member in table:
        task = tasks.get(member.key)
        if task is None:
            _handle_missing_task(table, member)
        elif not member.phase.is_final:
            member.update_from_task(task)


def _handle_missing_task(table: MemberTable, member: Member) -> None:
    if member.phase.is_final:
        if member.is_released:
            table.remove(member.key)
    elif member.phase is MemberPhase.stopping:
        member.end(MemberPhase.stopped)
    elif member.phase is not MemberPhase.preparing:
        member.end(MemberPhase.failed, 'task_vanished')


def end_lost_members(table: MemberTable, view: WorkerView) -> None:
    """End the members whose tasks a restart of the worker has ended.

    A launch is not repeated: the task may have crashed the worker.
    """
    tasks = {(task.job_id, task.attempt) for task in view.tasks}
    for member in table.active:
        was_launched = (
            member.phase is not MemberPhase.preparing or member.is_launch_sent
        )
        if was_launched and member.key not in tasks:
            member.end(MemberPhase.failed, WORKER_RESTARTED)


def worker_commands(
    table: MemberTable, view: WorkerView | None, *, may_repeat_launches: bool
) -> tuple[TaskCommand, ...]:
    """Return the commands that make the tasks match the members.

    Parameters
    ----------
    may_repeat_launches : bool
        Whether to launch tasks again whose launch may have been received.
    """
    commands = [
        command
        for member in table
        for command in _member_commands(member)
        if may_repeat_launches
        or not member.is_launch_sent
        or not isinstance(command, LaunchTask)
    ]
    if view is not None:
        commands.extend(
            ForgetTask(task.job_id, task.attempt)
            for task in view.tasks
            if table.find((task.job_id, task.attempt)) is None
        )
    return tuple(commands)


def _member_commands(member: Member) -> Iterator[TaskCommand]:
    key = member.key
    match member.phase:
        case MemberPhase.preparing:
            yield _launch_command(member.order)
        case MemberPhase.starting:
            yield StartTask(*key)
        case MemberPhase.stopping:
            yield StopTask(
                *key, member.checkpoint_limit_ms, member.stop_checkpoint_label
            )
        case MemberPhase.running:
            if member.requested_checkpoint_label:
                yield CheckpointTask(*key, member.requested_checkpoint_label)
            if member.is_throttle_requested:
                yield ThrottleTask(*key)
    if member.phase.is_final and member.is_released:
        yield ForgetTask(*key)


def _launch_command(order: PrepareOrder) -> LaunchTask:
    return LaunchTask(
        order.job_id,
        order.attempt,
        order.accelerators,
        order.cores,
        order.memory_mb,
        order.command,
        order.checkpoint,
        order.is_checkpointable,
    )
