"""Commands about jobs against a running deployment."""

import json

import pytest

_JOB = {
    'kind': 'recut',
    'shape': {'accelerators': 8, 'proximity': 'worker'},
    'command': '{"seconds": 60}',
}


@pytest.fixture
def job_file(tmp_path):
    """Write a job and return its file."""

    def write(**changes):
        file = tmp_path / 'job.json'
        file.write_text(json.dumps({**_JOB, **changes}))
        return str(file)

    return write


async def _submit(shell, *arguments):
    submit = ('submit', *arguments, '--output', 'json')
    out = await shell.until_done(lambda: shell.caller(*submit))
    return json.loads(out)['job_id']


@pytest.mark.asyncio(loop_scope='module')
async def test_status_tells_what_waits(shell, record_file, job_file):
    """Guards against a supervisor who cannot see what is still waiting."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    first = await _submit(shell, job_file(), '--key', 'first')
    second = await _submit(shell, job_file(), '--key', 'second')

    async def status():
        code, out, _ = await shell.operator('status')
        return (code if 'running jobs 1' in out else 1), out, ''

    out = await shell.until_done(status)
    waiting = [line for line in out.splitlines() if line.startswith(second)]
    assert 'waiting jobs 1' in out
    assert len(waiting) == 1
    code, out, _ = await shell.caller('status', second)
    assert (code, 'state waiting' in out, 'waits ' in out) == (0, True, True)
    code, out, _ = await shell.caller('cancel', second)
    assert (code, 'is cancelled' in out) == (0, True)
    code, out, _ = await shell.caller('status')
    states = {line.split()[0]: line.split()[1] for line in out.splitlines()}
    assert (states[first], states[second]) == ('running', 'cancelled')
    await shell.caller('cancel', first)


@pytest.mark.asyncio(loop_scope='module')
async def test_a_repeated_submission(shell, record_file, job_file):
    """Guards against two jobs for one submission."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    first = await _submit(shell, job_file(), '--key', 'k')
    assert await _submit(shell, job_file(), '--key', 'k') == first
    other = job_file(kind='other')
    code, _, err = await shell.caller('submit', other, '--key', 'k')
    assert (code, 'key_reused' in err) == (4, True)
    await shell.caller('cancel', first)


@pytest.mark.asyncio(loop_scope='module')
async def test_a_job_is_followed_to_its_end(shell, record_file, job_file):
    """Guards against a long wait without a sign of progress."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    job = await _submit(shell, job_file(command='{"seconds": 0.5}'))
    code, out, _ = await shell.caller('status', job, '--watch', '10')
    assert (code, 'state finished' in out) == (0, True)


@pytest.mark.asyncio(loop_scope='module')
async def test_an_impossible_job(shell, record_file, job_file):
    """Guards against a job that waits for ever."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    await shell.caller('cancel', await _submit(shell, job_file()))
    impossible = job_file(shape={'accelerators': 9, 'proximity': 'rack'})
    code, _, err = await shell.caller('submit', impossible)
    assert (code, 'never_runnable' in err) == (3, True)


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('arguments', [('job-1',), ('--watch', '1')])
async def test_an_unclear_status(shell, arguments):
    """Guards against a status of something else than was asked for."""
    code, _, err = await shell.operator('status', *arguments)
    assert (code, '--workspace' in err) == (2, True)
