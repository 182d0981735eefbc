"""The embedded mode serves a request end to end."""

from dragonflynotch.cli.local import run_local


async def test_embedded_mode_answers_a_request(capsys):
    """Guards against a broken path from caller to minion."""
    assert await run_local() == 0
    assert 'FRIDGE 4 C' in capsys.readouterr().out
