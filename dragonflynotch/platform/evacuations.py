"""Decodes the evacuations that the operator writes to the row store."""

__all__ = ('decode_evacuation',)

_KEY_PREFIX = 'evacuate/'


def decode_evacuation(key: str) -> str | None:
    """Return the data centre of an evacuation.

    The name is in the key and may be empty in a malformed row. The content
    has no meaning, so an evacuation is in force whatever it contains.

    Returns
    -------
    str or None
        ``None`` if the row is not about an evacuation.
    """
    if not key.startswith(_KEY_PREFIX):
        return None
    return key.removeprefix(_KEY_PREFIX)
