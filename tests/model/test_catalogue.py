"""Invariants and mutants declared in a specification match its code."""

import re

import pytest

from model.catalogue import Specification, load_specifications
from model.check import main

SPECIFICATIONS = load_specifications()
EXPECTED_NAMES = {
    'borrowing',
    'configuration',
    'election',
    'gang',
    'handover',
    'ownership',
    'rows',
    'task_lease',
}

for_each_specification = pytest.mark.parametrize(
    'specification',
    SPECIFICATIONS,
    ids=lambda specification: specification.name,
)


def _read_code(specification: Specification) -> str:
    text = specification.path.read_text()
    return re.sub(r'/\*.*?\*/', '', text, flags=re.DOTALL)


def test_every_expected_specification_is_loaded():
    """A missing specification would silently reduce what is checked."""
    assert {
        specification.name for specification in SPECIFICATIONS
    } == EXPECTED_NAMES


@for_each_specification
def test_every_invariant_has_a_mutant(specification):
    """Without a mutant, an invariant that can never fail goes unnoticed."""
    violated = {mutant.invariant for mutant in specification.mutants}
    assert {
        invariant.name for invariant in specification.invariants
    } == violated


@for_each_specification
def test_every_assertion_names_a_declared_invariant(specification):
    """The checker identifies a violated invariant by its assertion."""
    asserted = set(re.findall(r'assert\((\w+)', _read_code(specification)))
    assert {
        invariant.name for invariant in specification.invariants
    } == asserted


@for_each_specification
def test_invariant_variables_are_never_set(specification):
    """An assertion passes whenever the variable of its invariant is true."""
    code = _read_code(specification)
    for invariant in specification.invariants:
        assert len(re.findall(rf'bool {invariant.name};', code)) == 1
        assert not re.search(rf'\b{invariant.name}\s*=', code)


@for_each_specification
def test_every_mutant_macro_is_used_in_the_code(specification):
    """An unused macro would check the unchanged specification again."""
    macros = [mutant.macro for mutant in specification.mutants]
    assert len(macros) == len(set(macros))
    code = _read_code(specification)
    assert all(re.search(rf'\b{macro}\b', code) for macro in macros)


@for_each_specification
def test_invariants_refer_to_known_requirements(specification):
    """Each invariant refers to requirements G1 to G8 of the design page."""
    known = {f'G{number}' for number in range(1, 9)}
    for invariant in specification.invariants:
        assert set(invariant.requirements) <= known


def test_unknown_specification_name_fails():
    """A misspelt name must fail instead of checking no specification."""
    assert main(['no-such-specification']) == 1
