"""The embedded mode runs the main job of each example."""

import pytest

from dragonflynotch.cli.local import run_local


@pytest.mark.parametrize(
    ('deployment', 'answer', 'once'),
    [
        ('tavua', 'LIST THE OPEN CHECKS', 'FRIDGE 4 C'),
        ('ravi', 'RECUT PROFILE 12', 'INSERTS 40'),
    ],
)
async def test_embedded_mode_runs_the_main_job(
    capsys, deployment, answer, once
):
    """Guards against a broken path from caller to minion."""
    assert await run_local(deployment) == 0
    printed = capsys.readouterr().out
    assert answer in printed
    assert 'run once: ' in printed
    assert once in printed
