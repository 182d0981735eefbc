"""The embedded mode runs the scenario of each example deployment."""

import pytest

from dragonflynotch.cli.local import run_local


@pytest.mark.parametrize(
    ('deployment', 'answer', 'non_idempotent'),
    [
        ('tavua', 'LIST THE OPEN CHECKS', 'FRIDGE 4 C'),
        ('ravi', 'RECUT PROFILE 12', 'INSERTS 40'),
    ],
)
async def test_embedded_mode_runs_the_scenario(
    capsys, deployment, answer, non_idempotent
):
    """Guards against a broken request path from caller to minion."""
    assert await run_local(deployment) == 0
    printed = capsys.readouterr().out
    assert answer in printed
    assert 'run once: ' in printed
    assert non_idempotent in printed
