"""A short seeded run."""

from benchmarks.soak.plan import plan_faults
from benchmarks.soak.run import run_soak

SHORT_S = 7


async def test_short_run_keeps_every_promise(tmp_path):
    """The soak itself must work, and find nothing in a short run."""
    result = await run_soak(3, plan_faults(3, SHORT_S), SHORT_S, tmp_path)
    assert not result.findings
    assert result.completed
    assert (tmp_path / 'run.svg').read_text().startswith('<svg')
