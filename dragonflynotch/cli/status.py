"""The status command: running jobs and why the others wait."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa

from dragonflynotch.cli.console import (
    format_duration,
    format_table,
    print_result,
    report_error,
    report_failure,
)
from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.cli.options import CallerOptions, OperatorOptions
from dragonflynotch.client.outcomes import Failure
from dragonflynotch.client.views import (
    EntryStatus,
    JobList,
    JobView,
    WaitingView,
)
from dragonflynotch.core.errors import InvalidInputError

__all__ = ('StatusCommand', 'entry_text', 'job_text', 'jobs_text')

_MS_PER_S = 1000
_WATCH_INTERVAL_S = 1
_WAITING_STATE = 'waiting'


@cappa.command(
    name='status',
    help='Print the running jobs, and how long and why others wait.',
    description=(
        'Without --workspace: the entry, its guards and all waiting jobs of '
        'the data centre, from the operator port. With --workspace: the jobs '
        'of the workspace, from the caller port.'
    ),
    epilog='Example: dragonflynotch status --workspace resort 4f1c9a',
)
@dataclass
class StatusCommand:
    """Print the status of an entry or of jobs."""

    options: cappa.Destructured[OperatorOptions]
    job: Annotated[str, cappa.Arg(help='Show only this job.')] = ''
    workspace: Annotated[
        str,
        cappa.Arg(long=True, help='Show the jobs of this workspace.'),
    ] = ''
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('DRAGONFLYNOTCH_TOKEN', default=''),
            help='Bearer token; prefer the environment variable.',
        ),
    ] = ''
    callers: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(
                'DRAGONFLYNOTCH_CALLERS', default=CallerOptions.callers
            ),
            help='Address of the caller port.',
        ),
    ] = CallerOptions.callers

    watch: Annotated[
        float,
        cappa.Arg(
            long=True,
            help='Print each change of the job, for this many seconds.',
        ),
    ] = 0

    def __call__(self) -> int:
        """Print the status and return the exit code."""
        if self.watch and not (self.workspace and self.job):
            return report_error(
                InvalidInputError(
                    '--watch', self.watch, 'also --workspace and a job'
                )
            )
        if self.workspace:
            return asyncio.run(self._show_jobs())
        if self.job:
            return report_error(
                InvalidInputError('job', self.job, 'also --workspace')
            )
        return asyncio.run(self._show_entry())

    async def _show_entry(self) -> ExitCode:
        async with self.options.client() as client:
            status = await client.status()
        if not isinstance(status, EntryStatus):
            return report_failure(status)
        print_result(self.options.output, status.content, entry_text(status))
        return ExitCode.done

    async def _show_jobs(self) -> ExitCode:
        found = await self._read_jobs()
        if isinstance(found, JobView):
            print_result(self.options.output, found, job_text(found))
            return await self._watch_job(found)
        if isinstance(found, JobList):
            text = jobs_text(found.jobs)
            print_result(self.options.output, found, text)
            return ExitCode.done
        return report_failure(found)

    async def _watch_job(self, job: JobView) -> ExitCode:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.watch
        printed = _watched_fields(job)
        while not job.is_final and loop.time() < end:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            found = await self._read_jobs()
            if not isinstance(found, JobView):
                # A failed poll says nothing about the job, which keeps running
                # while its entry is replaced.
                continue
            job = found
            if _watched_fields(job) != printed:
                printed = _watched_fields(job)
                print_result(self.options.output, job, job_text(job))
        return ExitCode.done

    async def _read_jobs(self) -> JobView | JobList | Failure:
        options = CallerOptions(
            self.workspace, self.token, self.callers, self.options.timeout_s
        )
        async with options.client() as client:
            if self.job:
                return await client.get_job(self.job)
            return await client.list_jobs()


def entry_text(status: EntryStatus) -> str:
    """Return the status of an entry as human-readable text."""
    table = 'reachable' if status.is_table_reachable else 'not reachable'
    ready = sum(bool(guard.get('is_ready')) for guard in status.guards)
    lines = [
        f'entry {status.entry} in data centre {status.data_centre}',
        f'configuration revision {status.configuration_revision}',
        f'table service {table}',
        f'guards {len(status.guards)}, ready {ready}',
        f'other entries {len(status.entries)}',
    ]
    if not status.is_deciding:
        lines.append('jobs: another entry of the data centre decides')
        return '\n'.join(lines)
    lines.append(f'running jobs {status.running_jobs}')
    lines.append(f'waiting jobs {len(status.waiting)}')
    if status.waiting:
        lines.append(_waiting_table(status.waiting))
    return '\n'.join(lines)


def jobs_text(jobs: tuple[JobView, ...]) -> str:
    """Return a human-readable table of jobs."""
    rows = [
        (
            job.job_id,
            job.state,
            job.kind,
            str(job.accelerators),
            _format_ms(job.waited_ms) if job.state == _WAITING_STATE else '-',
            _progress_text(job),
            job.waits_for or job.detail or '-',
        )
        for job in jobs
    ]
    return format_table(
        ('JOB', 'STATE', 'KIND', 'ACCELERATORS', 'WAITED', 'PROGRESS', 'WHY'),
        rows,
    )


def _waiting_table(waiting: tuple[WaitingView, ...]) -> str:
    rows = [
        (
            job.job_id,
            job.workspace,
            str(job.accelerators),
            _format_ms(job.waited_ms),
            _progress_text(job),
            job.guarantee or '-',
            job.start_by.isoformat() if job.start_by else '-',
            job.reason,
        )
        for job in sorted(waiting, key=lambda each: -each.waited_ms)
    ]
    return format_table(
        (
            'JOB',
            'WORKSPACE',
            'ACCELERATORS',
            'WAITED',
            'PROGRESS',
            'WAITS FOR',
            'START BY',
            'WHY',
        ),
        rows,
    )


def job_text(job: JobView) -> str:
    """Return the state of a job as human-readable text."""
    lines = [
        f'job {job.job_id} of workspace {job.workspace}',
        f'state {job.state}, attempt {job.attempt}',
        f'{job.accelerators} accelerators ({job.proximity})',
        f'progress {_progress_text(job)}',
    ]
    if job.state == _WAITING_STATE:
        lines.append(f'waits {_format_ms(job.waited_ms)}: {job.waits_for}')
    if job.workers:
        lines.append(f'workers {", ".join(job.workers)}')
    if job.detail:
        lines.append(job.detail)
    return '\n'.join(lines)


def _format_ms(milliseconds: int) -> str:
    return format_duration(milliseconds / _MS_PER_S)


def _watched_fields(job: JobView) -> tuple[str, ...]:
    return (job.state, job.waits_for, job.detail, _progress_text(job))


def _progress_text(job: JobView | WaitingView) -> str:
    saved = format_duration(job.work_done_ms / _MS_PER_S)
    return f'{saved} saved' if job.work_done_ms else 'nothing saved'
