"""The checker reports violations and mutants that violate no invariant."""

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


def _write_specification(tmp_path, limit: int) -> Specification:
    path = tmp_path / 'counter.pml'
    path.write_text(SOURCE.replace('LIMIT', str(limit)))
    return Specification(
        path=path,
        invariants=(Invariant('small', ('G1',), ''),),
        mutants=(Mutant('WIDE', 'small', ''),),
    )


def test_violation_fails(tmp_path):
    """A specification that violates its invariant must not pass."""
    outcome = run_check(_write_specification(tmp_path, 2), None, tmp_path)
    assert not outcome.passed
    assert 'violated' in outcome.verdict


def test_invariant_that_holds_passes(tmp_path):
    """A complete search without errors passes."""
    outcome = run_check(_write_specification(tmp_path, 3), None, tmp_path)
    assert outcome.passed
    assert outcome.states > 0


def test_mutant_without_a_violation_fails(tmp_path):
    """An invariant that holds in its mutant does not detect the fault."""
    specification = _write_specification(tmp_path, 3)
    outcome = run_check(specification, specification.mutants[0], tmp_path)
    assert not outcome.passed


def test_invalid_source_is_reported(tmp_path):
    """A failure of spin must not be taken for a search without errors."""
    specification = _write_specification(tmp_path, 3)
    specification.path.write_text('active proctype {')
    with pytest.raises(CheckFailedError):
        run_check(specification, None, tmp_path)
