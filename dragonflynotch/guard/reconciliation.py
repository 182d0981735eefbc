"""Differences between the members of a guard and the tasks of its worker."""

from collections.abc import Iterable, Iterator

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

__all__ = ('adopt_task', 'commands_for', 'observe_view')


def adopt_task(table: MemberTable, task: TaskStatus) -> None:
    """Add a member for a task that the worker ran before a guard restart."""
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


def observe_view(
    table: MemberTable, view: WorkerView, commands: Iterable[TaskCommand]
) -> None:
    """Record the answer of the worker to ``commands``.

    Released members are dropped once the worker holds no task of theirs.
    """
    for command in commands:
        member = table.find((command.job_id, command.attempt))
        if member is not None and isinstance(command, CheckpointTask):
            member.wanted_label = ''
    tasks = {(task.job_id, task.attempt): task for task in view.tasks}
    for member in table:
        task = tasks.get(member.key)
        if task is None:
            _note_absence(table, member)
        elif not member.phase.is_final:
            member.observe(task)


def _note_absence(table: MemberTable, member: Member) -> None:
    if member.phase.is_final:
        if member.is_released:
            table.remove(member.key)
    elif member.phase is MemberPhase.stopping:
        member.end(MemberPhase.stopped)
    elif member.phase is not MemberPhase.preparing:
        member.end(MemberPhase.failed, 'task_vanished')


def commands_for(
    table: MemberTable, view: WorkerView | None
) -> tuple[TaskCommand, ...]:
    """Return the commands that bring the worker in line with the members."""
    commands = [
        command for member in table for command in _member_commands(member)
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
            yield _launch(member.order)
        case MemberPhase.starting:
            yield StartTask(*key)
        case MemberPhase.stopping:
            yield StopTask(*key, member.stop_limit_ms, member.stop_label)
        case MemberPhase.running:
            if member.wanted_label:
                yield CheckpointTask(*key, member.wanted_label)
            if member.wants_throttle:
                yield ThrottleTask(*key)
    if member.phase.is_final and member.is_released:
        yield ForgetTask(*key)


def _launch(order: PrepareOrder) -> LaunchTask:
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
