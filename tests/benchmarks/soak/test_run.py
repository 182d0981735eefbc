"""A short seeded run, and seeds that have found a fault of the product."""

import pytest

from benchmarks.soak.plan import plan_faults
from benchmarks.soak.run import run_soak

SHORT_S = 7
FULL_S = 25


async def test_short_run_violates_no_invariant(tmp_path):
    """The soak test itself must work and have no findings in a short run."""
    result = await run_soak(3, plan_faults(3, SHORT_S), SHORT_S, tmp_path)
    assert not result.findings
    assert result.completed
    assert (tmp_path / 'run.svg').read_text().startswith('<svg')


# 6: a restarted guard rejected runs that were present on its minion, because
# their orders changed before the first answer of the minion.
@pytest.mark.parametrize('seed', [6])
async def test_seed_that_found_a_fault_has_no_findings(seed, tmp_path):
    """A fault that was fixed must not return."""
    result = await run_soak(seed, plan_faults(seed, FULL_S), FULL_S, tmp_path)
    assert not result.findings
