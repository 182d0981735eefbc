"""Reads service-level objectives from configuration records."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from dragonflynotch.cli.record_files import read_record_file
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.documents import ObjectiveBody
from dragonflynotch.reports.burn import Objective

__all__ = ('objectives_of', 'read_objectives')

_OBJECTIVE_KIND = 'objective'


def objectives_of(
    documents: Iterable[Mapping[str, Any]],
) -> tuple[Objective, ...]:
    """Return the objectives among validated record documents.

    Parameters
    ----------
    documents : iterable of dict
        Records of any kind.

    Raises
    ------
    InvalidInputError
        If there is no objective.
    """
    objectives = tuple(
        _objective_from_body(ObjectiveBody.model_validate(document['spec']))
        for document in documents
        if document['kind'] == _OBJECTIVE_KIND
    )
    if not objectives:
        raise InvalidInputError('records', (), 'a record of kind objective')
    return objectives


def read_objectives(path: Path) -> tuple[Objective, ...]:
    """Return the objectives in a record file."""
    return objectives_of(
        msgspec.json.decode(record.document)
        for record in read_record_file(path)
    )


def _objective_from_body(body: ObjectiveBody) -> Objective:
    return Objective(
        body.workspace,
        body.request_class,
        body.target,
        timedelta(milliseconds=body.latency_ms),
        timedelta(days=body.window_days),
    )
