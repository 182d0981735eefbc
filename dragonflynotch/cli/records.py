"""Commands for operators: records of the configuration and guards."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from dragonflynotch.cli.console import (
    format_table,
    print_result,
    report_error,
    report_failure,
)
from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.cli.options import OperatorOptions
from dragonflynotch.cli.record_files import RecordFile, read_record_file
from dragonflynotch.client.operator import OperatorClient
from dragonflynotch.client.outcomes import Failure
from dragonflynotch.client.views import (
    GuardDraining,
    RecordView,
    RecordWritten,
    Snapshot,
)
from dragonflynotch.core.errors import InvalidInputError

__all__ = ('ApplyCommand', 'DrainCommand', 'GetCommand')

_Options = cappa.Destructured[OperatorOptions]


@cappa.command(
    name='apply',
    help='Create or change records.',
    description=(
        'Sends the records of a file to an entry, in order. Without --create '
        'or --revision, each record is changed under its present revision. '
        'Stops at the first record that is not accepted.'
    ),
    epilog='Example: dragonflynotch apply records.json --create',
)
@dataclass
class ApplyCommand:
    """Create or change records."""

    options: _Options
    file: Annotated[Path, cappa.Arg(help='A JSON document or a list of them.')]
    revision: Annotated[
        int | None,
        cappa.Arg(long=True, help='Revision to change; for one document.'),
    ] = None
    create: Annotated[
        bool, cappa.Arg(long=True, help='Refuse records that exist.')
    ] = False

    def __call__(self) -> int:
        """Send the records and return the exit code."""
        try:
            records = read_record_file(self.file)
            self._check(len(records))
        except InvalidInputError as error:
            return report_error(error)
        return asyncio.run(self._apply(records))

    def _check(self, count: int) -> None:
        if self.revision is None:
            return
        if self.create:
            raise InvalidInputError(
                '--revision', self.revision, 'not together with --create'
            )
        if count != 1 or self.revision < 1:
            raise InvalidInputError(
                '--revision',
                self.revision,
                'a positive revision and a file with one document',
            )

    async def _apply(self, records: tuple[RecordFile, ...]) -> ExitCode:
        written: list[tuple[RecordFile, RecordWritten]] = []
        code = ExitCode.done
        async with self.options.client() as client:
            for record in records:
                outcome = await self._write(client, record)
                if not isinstance(outcome, RecordWritten):
                    code = report_failure(outcome)
                    break
                written.append((record, outcome))
        print_result(
            self.options.output,
            [
                {
                    'kind': sent.kind,
                    'name': sent.name,
                    'revision': answer.revision,
                    'warnings': answer.warnings,
                }
                for sent, answer in written
            ],
            '\n'.join(_describe(*pair) for pair in written),
        )
        return code

    async def _write(
        self, client: OperatorClient, record: RecordFile
    ) -> RecordWritten | Failure:
        revision = 0 if self.create else self.revision
        if revision is None:
            present = await _present_revision(client, record)
            if not isinstance(present, int):
                return present
            revision = present
        return await client.put_record(
            record.kind, record.name, record.document, revision
        )


@cappa.command(
    name='get',
    help='Print records with their revisions.',
    epilog='Example: dragonflynotch get workspace resort --output json',
)
@dataclass
class GetCommand:
    """Print records."""

    options: _Options
    kind: Annotated[
        str, cappa.Arg(help='Kind of the record; all kinds if not given.')
    ] = ''
    name: Annotated[
        str, cappa.Arg(help='Name of the record; all names if not given.')
    ] = ''

    def __call__(self) -> int:
        """Print the records and return the exit code."""
        return asyncio.run(self._get())

    async def _get(self) -> ExitCode:
        found = await self._read()
        if isinstance(found, RecordView):
            print_result(self.options.output, found, _record_text(found))
        elif isinstance(found, Snapshot):
            shown = tuple(
                record
                for record in found.records
                if self.kind in {'', record.document['kind']}
            )
            print_result(
                self.options.output,
                Snapshot(found.revision, shown),
                _snapshot_text(found.revision, shown),
            )
        else:
            return report_failure(found)
        return ExitCode.done

    async def _read(self) -> RecordView | Snapshot | Failure:
        async with self.options.client() as client:
            if self.name:
                return await client.get_record(self.kind, self.name)
            return await client.list_records()


@cappa.command(
    name='drain',
    help='Tell a guard to finish its requests and leave.',
    epilog='Example: dragonflynotch drain nadi-guard-3',
)
@dataclass
class DrainCommand:
    """Drain a guard."""

    options: _Options
    guard: Annotated[str, cappa.Arg(help="Guard in the entry's data centre.")]

    def __call__(self) -> int:
        """Send the order and return the exit code."""
        return asyncio.run(self._drain())

    async def _drain(self) -> ExitCode:
        async with self.options.client() as client:
            outcome = await client.drain(self.guard)
        if not isinstance(outcome, GuardDraining):
            return report_failure(outcome)
        print_result(
            self.options.output, outcome, f'guard {outcome.guard} is draining'
        )
        return ExitCode.done


async def _present_revision(
    client: OperatorClient, record: RecordFile
) -> int | Failure:
    found = await client.get_record(record.kind, record.name)
    if isinstance(found, RecordView):
        return found.revision
    if found.reason == 'no_record':
        return 0
    return found


def _describe(record: RecordFile, outcome: RecordWritten) -> str:
    lines = [f'{record.kind}/{record.name} revision {outcome.revision}']
    lines.extend(f'  warning: {warning}' for warning in outcome.warnings)
    return '\n'.join(lines)


def _record_text(record: RecordView) -> str:
    document = record.document
    lines = [f'{document["kind"]}/{document["name"]}']
    lines.append(f'revision {record.revision}')
    lines.extend(f'{name}: {field}' for name, field in document['spec'].items())
    return '\n'.join(lines)


def _snapshot_text(revision: int, records: tuple[RecordView, ...]) -> str:
    rows = [
        (
            record.document['kind'],
            record.document['name'],
            str(record.revision),
            str(record.document['schema_version']),
        )
        for record in records
    ]
    table = format_table(('KIND', 'NAME', 'REVISION', 'SCHEMA'), rows)
    return f'configuration revision {revision}\n{table}'
