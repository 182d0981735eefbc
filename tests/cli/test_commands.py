"""Commands against a running deployment, with their exit codes."""

import json

import pytest

from dragonflynotch.__main__ import run
from dragonflynotch.cli.local import MainJobError
from dragonflynotch.testing.ports import free_ports
from tests.cli.shell import workspace_record

_COMMANDS = (
    'entry',
    'guard',
    'local',
    'request',
    'submit',
    'status',
    'cancel',
    'apply',
    'get',
    'drain',
    'check-settings',
    'report',
    'version',
)


@pytest.mark.asyncio(loop_scope='module')
async def test_records_are_created_changed_and_read(shell, tmp_path):
    """Guards against lost updates between operators."""
    file = tmp_path / 'lodge.json'
    file.write_text(json.dumps(workspace_record('lodge')))
    apply = ('apply', str(file))
    create = (*apply, '--create', '--output', 'json')
    out = await shell.until_done(lambda: shell.operator(*create))
    first = json.loads(out)[0]['revision']
    code, _, err = await shell.operator(*create)
    assert (code, f'current revision {first}' in err) == (4, True)
    change = (*apply, '--revision', str(first))
    code, *_ = await shell.operator(*change)
    assert code == 0
    code, _, err = await shell.operator(*change)
    assert (code, f'current revision {first + 1}' in err) == (4, True)
    code, out, _ = await shell.operator('get', 'workspace', 'lodge')
    assert (code, f'revision {first + 1}' in out) == (0, True)
    code, out, _ = await shell.operator('get', '--output', 'json')
    assert json.loads(out)['revision'] == first + 1


@pytest.mark.asyncio(loop_scope='module')
async def test_apply_prints_warnings(shell, tmp_path):
    """Guards against a mistyped field that is kept without notice."""
    record = workspace_record()
    record['spec']['bursts'] = 7
    file = tmp_path / 'resort.json'
    file.write_text(json.dumps([record]))
    out = await shell.until_done(lambda: shell.operator('apply', str(file)))
    assert "did you mean 'burst'" in out


@pytest.mark.asyncio(loop_scope='module')
async def test_a_missing_record_and_guard(shell):
    """Guards against success for a name that does not exist."""
    await shell.until_done(lambda: shell.operator('status'))
    code, _, err = await shell.operator('get', 'workspace', 'none')
    assert (code, 'no_record' in err) == (2, True)
    code, _, err = await shell.operator('drain', 'none')
    assert (code, 'no_guard' in err) == (2, True)
    assert err.count('\n') == 1


@pytest.mark.asyncio(loop_scope='module')
async def test_an_answered_request(shell, record_file):
    """Guards against an answer that does not reach stdout."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    out = await shell.until_done(lambda: shell.caller('request', 'fridge'))
    assert out == 'nadi-minion-1: FRIDGE\n'


@pytest.mark.asyncio(loop_scope='module')
async def test_a_refused_request(shell, record_file):
    """Guards against exit code 0 for a request that did not run."""
    await shell.until_done(lambda: shell.operator('apply', str(record_file)))
    code, _, err = await shell.caller('request', 'fridge', token='wrong')
    assert (code, 'token_refused' in err) == (3, True)
    assert "step 'identify'" in err


@pytest.mark.asyncio(loop_scope='module')
async def test_status_and_drain(shell):
    """Guards against an operator who cannot see or empty a guard.

    Runs after the other tests of the module that need the guard.
    """

    async def status():
        code, out, _ = await shell.operator('status')
        return (code if 'guards 1, ready 1' in out else 1), out, ''

    out = await shell.until_done(status)
    assert 'waiting jobs 0' in out
    code, out, _ = await shell.operator('drain', 'nadi-guard-1')
    assert (code, 'is draining' in out) == (0, True)


@pytest.mark.parametrize(
    ('arguments', 'code', 'sentence'),
    [
        (('bogus',), 2, 'bogus'),
        (('get', '--output', 'xml'), 2, '--output'),
        (('request', 'x'), 2, '--workspace'),
        (('apply', '/none'), 2, 'a readable file'),
        (('status', 'job-1'), 2, '--workspace'),
        (('status', '--operators', 'nowhere'), 2, 'http://'),
        (('check-settings', '/none'), 2, 'a readable file'),
    ],
)
def test_wrong_usage(monkeypatch, capsys, arguments, code, sentence):
    """Guards against a traceback, or a wrong call that reports success."""
    monkeypatch.delenv('DRAGONFLYNOTCH_WORKSPACE', raising=False)
    assert _exit_code(arguments) == code
    error = capsys.readouterr().err
    assert sentence in error
    assert error.count('\n') == 1


def test_an_entry_that_does_not_run(capsys):
    """Guards against a script that takes an outage for a refusal."""
    url = f'http://127.0.0.1:{free_ports(1)[0]}'
    assert run(['status', '--operators', url]) == 6
    error = capsys.readouterr().err
    assert "step 'read status'" in error
    assert url.removeprefix('http://') in error


@pytest.mark.parametrize('command', _COMMANDS)
def test_help_has_an_example(capsys, command):
    """Guards against a command without an example."""
    assert _exit_code((command, '--help')) == 0
    assert f'Example: dragonflynotch {command}' in capsys.readouterr().out


@pytest.mark.parametrize('command', ['entry', 'guard'])
def test_daemons_replace_the_process(monkeypatch, command):
    """Guards against a guard that carries the command-line library."""
    calls = []
    monkeypatch.setattr('os.execv', lambda *call: calls.append(call))
    run([command, '--settings', 'a.json', '--log-format', 'json'])
    expected = ['-m', f'dragonflynotch.{command}', 'a.json']
    assert calls[0][1][1:] == [*expected, '--log-format', 'json']


@pytest.mark.parametrize(
    ('path', 'subject'),
    [
        ('entries/nadi-entry-1.json', 'settings of entry nadi-entry-1'),
        ('guards/nadi-guard-1.json', 'settings of guard nadi-guard-1'),
        ('records.json', '8 records'),
    ],
)
def test_check_settings(capsys, path, subject):
    """Guards against a check that accepts only one kind of file."""
    assert run(['check-settings', f'examples/tavua/{path}']) == 0
    assert subject in capsys.readouterr().out


def _exit_code(arguments):
    try:
        return run(arguments)
    except SystemExit as exit_:
        return exit_.code


def test_a_main_job_that_fails_is_not_a_success(monkeypatch, capsys):
    """Guards against make run that succeeds although a step failed."""

    async def fail(deployment):
        raise MainJobError('ran 2 times', step='run once')

    monkeypatch.setattr('dragonflynotch.cli.local.run_local', fail)
    assert run(['local', '--deployment', 'ravi']) == 3
    assert "ran 2 times (step 'run once')" in capsys.readouterr().err
