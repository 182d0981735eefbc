"""The runner reports violations and mutants that are not found."""

import shutil

import pytest

from model.catalogue import Invariant, Mutant, Specification
from model.checker import CheckFailedError, run_check

pytestmark = pytest.mark.skipif(
    shutil.which('spin') is None, reason='spin is not installed'
)

SOURCE = """
bool small;
byte count;
active proctype events() {
  do
  :: d_step { count < 3 -> count++; assert(small || count <= LIMIT + WIDE) }
  :: count == 3 -> break
  od
}
"""


def _specification(tmp_path, limit: int) -> Specification:
    path = tmp_path / 'counter.pml'
    path.write_text(SOURCE.replace('LIMIT', str(limit)))
    return Specification(
        path=path,
        invariants=(Invariant('small', ('G1',), ''),),
        mutants=(Mutant('WIDE', 'small', ''),),
    )


def test_violation_fails(tmp_path):
    """A correct specification that is violated must not pass."""
    outcome = run_check(_specification(tmp_path, 2), None, tmp_path)
    assert not outcome.passed
    assert 'violated' in outcome.verdict


def test_invariant_that_holds_passes(tmp_path):
    """The verdict of a complete search without errors is a pass."""
    outcome = run_check(_specification(tmp_path, 3), None, tmp_path)
    assert outcome.passed
    assert outcome.states > 0


def test_mutant_that_is_not_found_fails(tmp_path):
    """A mutant without a violation shows that the invariant is blind."""
    specification = _specification(tmp_path, 3)
    outcome = run_check(specification, specification.mutants[0], tmp_path)
    assert not outcome.passed


def test_invalid_source_is_reported(tmp_path):
    """A failure of spin must not pass for a search without errors."""
    specification = _specification(tmp_path, 3)
    specification.path.write_text('active proctype {')
    with pytest.raises(CheckFailedError):
        run_check(specification, None, tmp_path)
