"""Ranges of the fields of entries that another process writes.

Later steps calculate with these fields, put them into rows with a limited
size and open connections to the addresses, none of which may fail.
"""

from typing import Annotated

from msgspec import Meta

__all__ = (
    'MAX_LABEL_CHARACTERS',
    'MINION_ID_PATTERN',
    'Accelerators',
    'Cores',
    'Count',
    'DurationMs',
    'Factor',
    'FloatDurationMs',
    'IncarnationId',
    'Label',
    'Megabytes',
    'Millicores',
    'MinionId',
    'Port',
    'SchemaVersion',
    'Slots',
    'TimeMs',
)

# Exact in a float too, so that no later division or sum can fail.
_MAX_INTEGER = 2**53
# Larger than any worker, in each resource.
_MAX_MILLICORES = 10_000_000
_MAX_MEMORY_MB = 67_108_864
_MAX_ACCELERATORS = 1024
# About 30 years.
_MAX_DURATION_MS = 1_000_000_000_000
_MAX_FACTOR = 1_000_000
MAX_LABEL_CHARACTERS = 200
# Printable ASCII without the slash, which separates the parts of a row key. The
# key of an order also contains the task, and is limited to 200 bytes.
MINION_ID_PATTERN = r'^[!-.0-~]{0,100}\Z'
# The identifier of a minion, and the time of its start.
_INCARNATION_ID_PATTERN = r'^[!-.0-~]{0,115}\Z'

Accelerators = Annotated[int, Meta(ge=0, le=_MAX_ACCELERATORS)]
Count = Annotated[int, Meta(ge=0, le=_MAX_INTEGER)]
Cores = Annotated[int, Meta(ge=0, le=_MAX_MILLICORES // 1000)]
DurationMs = Annotated[int, Meta(ge=0, le=_MAX_DURATION_MS)]
Factor = Annotated[float, Meta(ge=0, le=_MAX_FACTOR)]
FloatDurationMs = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]
Label = Annotated[str, Meta(max_length=MAX_LABEL_CHARACTERS)]
Megabytes = Annotated[int, Meta(ge=0, le=_MAX_MEMORY_MB)]
Millicores = Annotated[int, Meta(ge=0, le=_MAX_MILLICORES)]
IncarnationId = Annotated[str, Meta(pattern=_INCARNATION_ID_PATTERN)]
MinionId = Annotated[str, Meta(pattern=MINION_ID_PATTERN)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
SchemaVersion = Annotated[int, Meta(ge=0, le=65_535)]
Slots = Annotated[int, Meta(ge=0, le=1_000_000)]
# Times of a steady clock, which may be before its start.
TimeMs = Annotated[int, Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]
