"""Checks of settings that their types cannot express."""

from collections.abc import Sequence

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.settings import (
    Address,
    EntrySettings,
    GuardSettings,
    OwnershipSettings,
)

__all__ = ('check_consistency', 'check_schema_version')

_LISTENER_FIELDS = ('callers', 'operators', 'link')


def check_schema_version(
    raw: object, readable: Sequence[int], source: str
) -> None:
    """Refuse settings of a schema version that this program cannot read.

    This check precedes the decoding, so that a newer file is reported by its
    version and not by an unknown field.

    Raises
    ------
    InvalidInputError
        If the version is missing or not readable.
    """
    if not isinstance(raw, dict):
        raise InvalidInputError(f'{source}: $', raw, 'a JSON object')
    version = raw.get('schema_version')
    if version not in readable:
        expected = ' or '.join(map(str, readable))
        raise InvalidInputError(
            f'{source}: $.schema_version', version, expected
        )


def check_consistency(settings: msgspec.Struct, source: str) -> None:
    """Check that the fields do not contradict each other.

    Raises
    ------
    InvalidInputError
        If two fields contradict each other.
    """
    if isinstance(settings, EntrySettings):
        _check_entry(settings, source)
    elif isinstance(settings, GuardSettings):
        _check_guard(settings, source)


def _check_entry(settings: EntrySettings, source: str) -> None:
    field_by_address: dict[Address, str] = {}
    for name in _LISTENER_FIELDS:
        address = getattr(settings, name)
        if address in field_by_address:
            raise InvalidInputError(
                f'{source}: $.{name}',
                address.url,
                f'an address other than $.{field_by_address[address]}',
            )
        field_by_address[address] = name
    if settings.link in settings.peers:
        raise InvalidInputError(
            f'{source}: $.peers',
            settings.link.url,
            'addresses of other entries',
        )
    _check_ownership(settings.ownership, f'{source}: $.ownership')


def _check_ownership(settings: OwnershipSettings, path: str) -> None:
    # These relations keep a former owner from renewing task leases after a
    # takeover (docs/design.md, 8.5).
    less_than = (
        ('renewal_ms', 'confirmation_ms'),
        ('confirmation_ms', 'lease_ms'),
        ('received_grant_ms', 'grant_ms'),
    )
    for shorter, longer in less_than:
        limit = getattr(settings, longer)
        value = getattr(settings, shorter)
        if value >= limit:
            raise InvalidInputError(
                f'{path}.{shorter}', value, f'less than {longer} ({limit})'
            )


def _check_guard(settings: GuardSettings, source: str) -> None:
    if settings.minion is None and settings.worker is None:
        raise InvalidInputError(
            f'{source}: $.minion',
            None,
            'settings of a minion, a worker or both',
        )
    for name in ('minion', 'worker'):
        machine = getattr(settings, name)
        if machine is not None and machine.address == settings.listen:
            raise InvalidInputError(
                f'{source}: $.{name}.address',
                machine.address.url,
                'an address other than $.listen',
            )
