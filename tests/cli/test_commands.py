"""Commands and their exit codes, most against a running deployment."""

import json

import pytest

from dragonflynotch.__main__ import run
from dragonflynotch.cli.local import ScenarioError
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
    """Guards against lost updates when operators change the same record."""
    file = tmp_path / 'lodge.json'
    file.write_text(json.dumps(workspace_record('lodge')))
    apply = ('apply', str(file))
    create = (*apply, '--create', '--output', 'json')
    out = await shell.retry_until_success(
        lambda: shell.run_as_operator(*create)
    )
    first = json.loads(out)[0]['revision']
    code, _, err = await shell.run_as_operator(*create)
    assert (code, f'current revision {first}' in err) == (4, True)
    change = (*apply, '--revision', str(first))
    code, *_ = await shell.run_as_operator(*change)
    assert code == 0
    code, _, err = await shell.run_as_operator(*change)
    assert (code, f'current revision {first + 1}' in err) == (4, True)
    code, out, _ = await shell.run_as_operator('get', 'workspace', 'lodge')
    assert (code, f'revision {first + 1}' in out) == (0, True)
    code, out, _ = await shell.run_as_operator('get', '--output', 'json')
    assert json.loads(out)['revision'] == first + 1


@pytest.mark.asyncio(loop_scope='module')
async def test_apply_prints_warnings(shell, tmp_path):
    """Guards against accepting a misspelled field without a warning."""
    record = workspace_record()
    record['spec']['bursts'] = 7
    file = tmp_path / 'resort.json'
    file.write_text(json.dumps([record]))
    out = await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(file))
    )
    assert "did you mean 'burst'" in out


@pytest.mark.asyncio(loop_scope='module')
async def test_missing_record_or_guard_is_an_error(shell):
    """Guards against success for a name that does not exist."""
    await shell.retry_until_success(lambda: shell.run_as_operator('status'))
    code, _, err = await shell.run_as_operator('get', 'workspace', 'none')
    assert (code, 'no_record' in err) == (2, True)
    code, _, err = await shell.run_as_operator('drain', 'none')
    assert (code, 'no_guard' in err) == (2, True)
    assert err.count('\n') == 1


@pytest.mark.asyncio(loop_scope='module')
async def test_request_prints_the_answer(shell, record_file):
    """Guards against an answer that is not printed on stdout."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    out = await shell.retry_until_success(
        lambda: shell.run_as_caller('request', 'fridge')
    )
    assert out == 'nadi-minion-1: FRIDGE\n'


@pytest.mark.asyncio(loop_scope='module')
async def test_refused_request_has_its_exit_code(shell, record_file):
    """Guards against exit code 0 for a request that did not run."""
    await shell.retry_until_success(
        lambda: shell.run_as_operator('apply', str(record_file))
    )
    code, _, err = await shell.run_as_caller('request', 'fridge', token='wrong')
    assert (code, 'token_refused' in err) == (3, True)
    assert "step 'identify'" in err


@pytest.mark.asyncio(loop_scope='module')
async def test_status_and_drain_of_a_guard(shell):
    """Guards against a guard that the operator cannot list or drain.

    Runs after all tests of the module that send requests, because the guard
    accepts none after the drain.
    """

    async def status():
        code, out, _ = await shell.run_as_operator('status')
        return (code if 'guards 1, ready 1' in out else 1), out, ''

    out = await shell.retry_until_success(status)
    assert 'waiting jobs 0' in out
    code, out, _ = await shell.run_as_operator('drain', 'nadi-guard-1')
    assert (code, 'is draining' in out) == (0, True)


@pytest.mark.parametrize(
    ('arguments', 'code', 'message'),
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
def test_usage_error_is_one_line(monkeypatch, capsys, arguments, code, message):
    """Guards against a traceback or exit code 0 after a usage error."""
    monkeypatch.delenv('DRAGONFLYNOTCH_WORKSPACE', raising=False)
    assert _exit_code(arguments) == code
    error = capsys.readouterr().err
    assert message in error
    assert error.count('\n') == 1


def test_stopped_entry_is_unreachable(capsys):
    """Guards against the exit code of a refusal when the entry is down."""
    url = f'http://127.0.0.1:{free_ports(1)[0]}'
    assert run(['status', '--operators', url]) == 6
    error = capsys.readouterr().err
    assert "step 'read status'" in error
    assert url.removeprefix('http://') in error


@pytest.mark.parametrize('command', _COMMANDS)
def test_help_has_an_example(capsys, command):
    """Guards against a command whose help lacks an example."""
    assert _exit_code((command, '--help')) == 0
    assert f'Example: dragonflynotch {command}' in capsys.readouterr().out


@pytest.mark.parametrize('command', ['entry', 'guard'])
def test_daemons_replace_the_process(monkeypatch, command):
    """Guards against daemons that keep the command-line library in memory."""
    exec_calls = []
    monkeypatch.setattr('os.execv', lambda *call: exec_calls.append(call))
    run([command, '--settings', 'a.json', '--log-format', 'json'])
    expected = ['-m', f'dragonflynotch.{command}', 'a.json']
    assert exec_calls[0][1][1:] == [*expected, '--log-format', 'json']


@pytest.mark.parametrize(
    ('path', 'subject'),
    [
        ('entries/nadi-entry-1.json', 'settings of entry nadi-entry-1'),
        ('guards/nadi-guard-1.json', 'settings of guard nadi-guard-1'),
        ('records.json', '8 records'),
    ],
)
def test_check_settings_identifies_the_file(capsys, path, subject):
    """Guards against rejecting one of the supported kinds of file."""
    assert run(['check-settings', f'examples/tavua/{path}']) == 0
    assert subject in capsys.readouterr().out


def _exit_code(arguments):
    try:
        return run(arguments)
    except SystemExit as exit_:
        return exit_.code


def test_failed_scenario_has_an_error_exit_code(monkeypatch, capsys):
    """Guards against ``make run`` succeeding although a step failed."""

    async def fail(deployment):
        raise ScenarioError('ran 2 times', step='run once')

    monkeypatch.setattr('dragonflynotch.cli.local.run_local', fail)
    assert run(['local', '--deployment', 'ravi']) == 3
    assert "ran 2 times (step 'run once')" in capsys.readouterr().err
