"""Job commands against a running deployment."""

import json

import pytest

_JOB = {
    'kind': 'recut',
    'shape': {'accelerators': 8, 'proximity': 'worker'},
    'command': '{"seconds": 60}',
}


@pytest.fixture
def job_file(tmp_path):
    """Return a function that writes a job file and returns its path."""

    def write(**changes):
        file = tmp_path / 'job.json'
        file.write_text(json.dumps({**_JOB, **changes}))
        return str(file)

    return write


async def _submit(shell, *arguments):
    submit = ('submit', *arguments, '--output', 'json')
    out = await shell.retry_until_success(lambda: shell.run_as_caller(*submit))
    return json.loads(out)['job_id']


@pytest.mark.asyncio(loop_scope='module')
async def test_status_lists_waiting_jobs(shell, record_file, job_file):
    """Guards against waiting jobs that are missing from the status."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    first = await _submit(shell, job_file(), '--key', 'first')
    second = await _submit(shell, job_file(), '--key', 'second')

    async def status():
        code, out, _ = await shell.run_as_operator('status')
        return (code if 'running jobs 1' in out else 1), out, ''

    out = await shell.retry_until_success(status)
    waiting = [line for line in out.splitlines() if line.startswith(second)]
    assert 'waiting jobs 1' in out
    assert len(waiting) == 1
    code, out, _ = await shell.run_as_caller('status', second)
    assert (code, 'state waiting' in out, 'waits ' in out) == (0, True, True)
    code, out, _ = await shell.run_as_caller('cancel', second)
    assert (code, 'is cancelled' in out) == (0, True)
    code, out, _ = await shell.run_as_caller('status')
    states = {line.split()[0]: line.split()[1] for line in out.splitlines()}
    assert (states[first], states[second]) == ('running', 'cancelled')
    await shell.run_as_caller('cancel', first)


@pytest.mark.asyncio(loop_scope='module')
async def test_repeated_submission_returns_the_same_job(
    shell, record_file, job_file
):
    """Guards against two jobs from one submission that was repeated."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    first = await _submit(shell, job_file(), '--key', 'k')
    assert await _submit(shell, job_file(), '--key', 'k') == first
    other = job_file(kind='other')
    code, _, err = await shell.run_as_caller('submit', other, '--key', 'k')
    assert (code, 'key_reused' in err) == (4, True)
    await shell.run_as_caller('cancel', first)


@pytest.mark.asyncio(loop_scope='module')
async def test_watch_follows_a_job_to_its_end(shell, record_file, job_file):
    """Guards against ``--watch`` ending before the job does."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    job = await _submit(shell, job_file(command='{"seconds": 0.5}'))
    code, out, _ = await shell.run_as_caller('status', job, '--watch', '10')
    assert (code, 'state finished' in out) == (0, True)


@pytest.mark.asyncio(loop_scope='module')
async def test_impossible_job_is_refused(shell, record_file, job_file):
    """Guards against accepting a job that can never start."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    await shell.run_as_caller('cancel', await _submit(shell, job_file()))
    impossible = job_file(shape={'accelerators': 9, 'proximity': 'rack'})
    code, _, err = await shell.run_as_caller('submit', impossible)
    assert (code, 'never_runnable' in err) == (3, True)


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('arguments', [('job-1',), ('--watch', '1')])
async def test_status_requires_a_workspace_for_a_job(shell, arguments):
    """Guards against printing the entry status when a job was meant."""
    code, _, err = await shell.run_as_operator('status', *arguments)
    assert (code, '--workspace' in err) == (2, True)
