"""The specifications declare what they check, and check what they declare."""

import re

import pytest

from model.catalogue import Specification, load_specifications
from model.check import main

SPECIFICATIONS = load_specifications()
PARTS = {
    'borrowing',
    'configuration',
    'gang',
    'handover',
    'ownership',
    'rows',
    'task_lease',
}

each_specification = pytest.mark.parametrize(
    'specification',
    SPECIFICATIONS,
    ids=lambda specification: specification.name,
)


def _read_code(specification: Specification) -> str:
    text = specification.path.read_text()
    return re.sub(r'/\*.*?\*/', '', text, flags=re.DOTALL)


def test_every_part_of_the_protocol_is_specified():
    """A specification that is lost would silently reduce the check."""
    assert {each.name for each in SPECIFICATIONS} == PARTS


@each_specification
def test_every_invariant_has_a_mutant(specification):
    """An invariant without a mutant may hold for a wrong reason."""
    broken = {mutant.invariant for mutant in specification.mutants}
    assert {each.name for each in specification.invariants} == broken


@each_specification
def test_every_assertion_names_a_declared_invariant(specification):
    """An undeclared assertion could not be told from the invariant."""
    asserted = set(re.findall(r'assert\((\w+)', _read_code(specification)))
    assert {each.name for each in specification.invariants} == asserted


@each_specification
def test_invariant_variables_are_never_set(specification):
    """Setting the variable to true would switch its assertions off."""
    code = _read_code(specification)
    for invariant in specification.invariants:
        assert len(re.findall(rf'bool {invariant.name};', code)) == 1
        assert not re.search(rf'\b{invariant.name}\s*=', code)


@each_specification
def test_every_mutant_changes_the_code(specification):
    """A macro that is only declared would check the correct version twice."""
    macros = [mutant.macro for mutant in specification.mutants]
    assert len(macros) == len(set(macros))
    code = _read_code(specification)
    assert all(re.search(rf'\b{macro}\b', code) for macro in macros)


@each_specification
def test_invariants_name_requirements(specification):
    """Each invariant is traceable to the design page."""
    known = {f'G{number}' for number in range(1, 9)}
    for invariant in specification.invariants:
        assert set(invariant.requirements) <= known


def test_unknown_name_fails():
    """A misspelt name must not pass for a check of nothing."""
    assert main(['no-such-specification']) == 1
