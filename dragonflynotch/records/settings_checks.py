"""Checks of settings beyond their types."""

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

_LISTENERS = ('callers', 'operators', 'link')


def check_schema_version(
    raw: object, readable: Sequence[int], source: str
) -> None:
    """Refuse settings of a version that this program does not know.

    The version is checked first, so that a newer file is not reported as a
    list of unknown fields.

    Raises
    ------
    InvalidInputError
        If the version is missing or unknown.
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
    """Check fields against each other.

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
    used: dict[Address, str] = {}
    for name in _LISTENERS:
        address = getattr(settings, name)
        if address in used:
            raise InvalidInputError(
                f'{source}: $.{name}',
                address.url,
                f'another address than $.{used[address]}',
            )
        used[address] = name
    if settings.link in settings.peers:
        raise InvalidInputError(
            f'{source}: $.peers', settings.link.url, 'other entries than itself'
        )
    _check_ownership(settings.ownership, f'{source}: $.ownership')


def _check_ownership(settings: OwnershipSettings, place: str) -> None:
    # The order keeps an old owner from renewing task leases after a takeover
    # (docs/design.md, 8.5).
    ordered = (
        ('renewal_ms', 'confirmation_ms'),
        ('confirmation_ms', 'lease_ms'),
        ('received_grant_ms', 'grant_ms'),
    )
    for shorter, longer in ordered:
        limit = getattr(settings, longer)
        value = getattr(settings, shorter)
        if value >= limit:
            raise InvalidInputError(
                f'{place}.{shorter}', value, f'less than {longer} ({limit})'
            )


def _check_guard(settings: GuardSettings, source: str) -> None:
    if settings.minion is None and settings.worker is None:
        raise InvalidInputError(
            f'{source}: $.minion', None, 'a minion, a worker or both'
        )
    for name in ('minion', 'worker'):
        target = getattr(settings, name)
        if target is not None and target.address == settings.listen:
            raise InvalidInputError(
                f'{source}: $.{name}.address',
                target.address.url,
                'another address than $.listen',
            )
