"""docs/OPERATIONS.md covers every metric and every reason code."""

import ast
from pathlib import Path

from dragonflynotch.observability.guard_metrics import GuardMetrics
from dragonflynotch.observability.metrics import EntryMetrics

_ROOT = Path(__file__).parents[2]
_PAGE = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
_REFUSAL_CLASSES = frozenset(
    (
        'JobRefused',
        'JobOutcomeUnknown',
        'NoTarget',
        'NotIdentified',
        'NotRun',
        'ProvenNotRun',
        'RecordRefused',
        'Refused',
        'RunUnknown',
        'Unknown',
    )
)


def _metric_names(text):
    lines = text.decode().splitlines()
    return {line.split()[2] for line in lines if line.startswith('# HELP')}


def test_every_metric_is_documented():
    """Guards against a metric that operators cannot look up."""
    entry = EntryMetrics('e1', 'nadi').render()
    guard = GuardMetrics('g1', 'nadi', dict).render()
    names = _metric_names(entry) | _metric_names(guard)
    assert {name for name in names if f'`{name}`' not in _PAGE} == set()


def test_every_reason_code_is_documented():
    """Guards against a reason code that operators cannot look up."""
    reasons = set()
    for file in (_ROOT / 'dragonflynotch').rglob('*.py'):
        reasons |= _reason_codes(ast.parse(file.read_text()))
    assert 'no_minion' in reasons
    assert {name for name in reasons if f'`{name}`' not in _PAGE} == set()


def _reason_codes(tree):
    return {
        call.args[0].value
        for call in ast.walk(tree)
        if isinstance(call, ast.Call)
        and isinstance(call.func, ast.Name)
        and call.func.id in _REFUSAL_CLASSES
        and call.args
        and isinstance(call.args[0], ast.Constant)
    }
