"""Conditions for accepting a record and for using a copy.

A record is accepted only if every running entry and guard can read it.
"""

import json
from collections.abc import Mapping

import pytest

from dragonflynotch.core.configuration import RecordKey
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
    GuaranteeAdmission,
    RecordAccepted,
    RecordRefused,
)
from dragonflynotch.entry.configuration.configuration_store import (
    ConfigurationStore,
)
from dragonflynotch.testing.table import MemoryTable

KEY = RecordKey('workspace', 'resort')


class AdmitAll(GuaranteeAdmission):
    """Admits every set of guarantees."""

    def refusal_reason(self, guarantees: Mapping) -> str:
        return ''


def make_service(table, readable_versions):
    return ConfigurationService(
        ConfigurationStore(table),
        AdmitAll(),
        lambda: readable_versions,
        lambda changes: None,
    )


def document(version, **spec):
    return json.dumps(
        {
            'schema_version': version,
            'kind': 'workspace',
            'name': 'resort',
            'spec': spec,
        }
    ).encode()


async def test_version_that_a_member_cannot_read_is_refused_by_name():
    """Guards against a record that a member of an older version misreads.

    The refusal names the members that cannot read the schema version.
    """
    readable_versions = {'entry a': (1, 2), 'guard old': (1,)}
    service = make_service(MemoryTable(), readable_versions)
    result = await service.write(KEY, document(2), 0)
    assert isinstance(result, RecordRefused)
    assert 'guard old' in result.detail
    assert 'entry a' not in result.detail
    assert isinstance(await service.write(KEY, document(1), 0), RecordAccepted)


async def test_other_entrys_change_does_not_disturb_a_write():
    """Guards against a false conflict after a change to another record.

    The second entry still has the revision from before that change.
    """
    table = MemoryTable()
    services = [make_service(table, {}) for _ in range(2)]
    for service in services:
        await service.refresh()
    await services[0].write(KEY, document(2), 0)
    other = document(2).replace(b'resort', b'canteen')
    result = await services[1].write(
        RecordKey('workspace', 'canteen'), other, 0
    )
    assert result == RecordAccepted(2)


@pytest.mark.parametrize('known', [0, 3])
async def test_copy_is_confirmed_only_at_the_newest_known_revision(known):
    """Guards against an entry that starts with an outdated copy.

    Another process may have reported a higher revision than that of the copy.
    """
    service = make_service(MemoryTable(), {})
    await service.write(KEY, document(2), 0)
    restarted = make_service(MemoryTable(), {})
    restarted.observe_revision(known)
    restarted.apply(service.log.snapshot)
    assert restarted.confirm_copy() is (known <= 1)
