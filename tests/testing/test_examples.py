"""The example files are current, valid and of the documented sizes."""

from collections import Counter
from ipaddress import ip_address
from pathlib import Path

import pytest

from dragonflynotch.cli.record_files import read_record_file
from dragonflynotch.core.guarantees import Admitted, admit_guarantees
from dragonflynotch.core.placement import FragmentationAwarePlacer
from dragonflynotch.core.topology import Worker
from dragonflynotch.records.documents import parse_document, workspace_spec
from dragonflynotch.records.settings import EntrySettings, GuardSettings
from dragonflynotch.records.settings_files import load_settings
from dragonflynotch.testing.examples import EXAMPLES, example_files

_ROOT = Path(__file__).parents[2] / 'examples'
_NAMES = tuple(EXAMPLES)


def _load(name, part, model):
    files = sorted((_ROOT / name / part).glob('*.json'))
    return [load_settings(file, model) for file in files]


def _workspaces(name):
    records = read_record_file(_ROOT / name / 'records.json')
    return [
        workspace_spec(parse_document(record.document))
        for record in records
        if record.kind == 'workspace'
    ]


@pytest.mark.parametrize('name', _NAMES)
def test_files_match_their_source(name):
    """Detects files that were not regenerated after a source change."""
    expected = example_files(EXAMPLES[name])
    found = {
        str(file.relative_to(_ROOT)): file.read_bytes()
        for file in (_ROOT / name).rglob('*.json')
    }
    assert found == expected


@pytest.mark.parametrize('name', _NAMES)
def test_documented_sizes(name):
    """Detects examples whose sizes differ from the documentation."""
    guards = _load(name, 'guards', GuardSettings)
    minions = [guard.minion for guard in guards]
    workers = [guard.worker for guard in guards]
    racks = Counter((guard.data_centre, guard.worker.rack) for guard in guards)
    assert len({guard.data_centre for guard in guards}) == 3
    assert [(each.slots, each.connections) for each in minions] == [
        (8, 64)
    ] * 11
    assert [each.accelerators for each in workers] == [8] * 11
    assert max(racks.values()) == 3
    assert len(_workspaces(name)) == 4


@pytest.mark.parametrize('name', _NAMES)
def test_all_addresses_are_loopback_and_unique(name):
    """Detects addresses outside loopback and addresses used twice."""
    entries = _load(name, 'entries', EntrySettings)
    guards = _load(name, 'guards', GuardSettings)
    addresses = [
        address
        for entry in entries
        for address in (
            entry.callers,
            entry.operators,
            entry.announcements,
            entry.link,
        )
    ]
    for guard in guards:
        addresses += [guard.listen, guard.minion.address, guard.worker.address]
    assert all(ip_address(address.host).is_loopback for address in addresses)
    assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize('name', _NAMES)
def test_guarantees_fit_the_accelerators_of_each_data_centre(name):
    """Detects example guarantees that an entry would refuse."""
    workers = {}
    for guard in _load(name, 'guards', GuardSettings):
        worker = guard.worker
        workers.setdefault(guard.data_centre, []).append(
            Worker(
                worker.worker_id,
                worker.rack,
                worker.rack_position,
                worker.accelerators,
                worker.cores,
                worker.memory_mb,
            )
        )
    for data_centre, present in workers.items():
        wanted = [
            guarantee
            for workspace in _workspaces(name)
            for guarantee in workspace.guarantees.get(data_centre, ())
        ]
        verdict = admit_guarantees(wanted, present, FragmentationAwarePlacer())
        assert wanted
        assert isinstance(verdict, Admitted)


@pytest.mark.parametrize('name', _NAMES)
def test_objectives_refer_to_existing_classes(name):
    """Detects an objective for a class that no request can have."""
    classes = {
        (workspace.name, request_class)
        for workspace in _workspaces(name)
        for request_class in workspace.classes
    }
    objectives = [
        record['spec']
        for record in EXAMPLES[name].records
        if record['kind'] == 'objective'
    ]
    named = {(each['workspace'], each['request_class']) for each in objectives}
    assert named <= classes
    assert objectives
