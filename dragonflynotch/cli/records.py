"""Commands for operators: change records, read records, drain a guard."""

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
from dragonflynotch.cli.record_files import FileRecord, read_record_file
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
        'or --revision, each record is changed under its current revision. '
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
        cappa.Arg(
            long=True,
            help='Expected revision of the only document in the file.',
        ),
    ] = None
    create: Annotated[
        bool,
        cappa.Arg(
            long=True, help='Create only; fail for records that already exist.'
        ),
    ] = False

    def __call__(self) -> int:
        """Send the records and return the exit code."""
        try:
            records = read_record_file(self.file)
            self._check_revision(len(records))
        except InvalidInputError as error:
            return report_error(error)
        return asyncio.run(self._apply(records))

    def _check_revision(self, count: int) -> None:
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

    async def _apply(self, records: tuple[FileRecord, ...]) -> ExitCode:
        written: list[tuple[FileRecord, RecordWritten]] = []
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
            '\n'.join(_written_text(*pair) for pair in written),
        )
        return code

    async def _write(
        self, client: OperatorClient, record: FileRecord
    ) -> RecordWritten | Failure:
        revision = 0 if self.create else self.revision
        if revision is None:
            current = await _current_revision(client, record)
            if not isinstance(current, int):
                return current
            revision = current
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
        str, cappa.Arg(help='Kind of the records; all kinds if not given.')
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
    help='Drain a guard: it finishes its work, then exits.',
    epilog='Example: dragonflynotch drain nadi-guard-3',
)
@dataclass
class DrainCommand:
    """Tell a guard to drain."""

    options: _Options
    guard: Annotated[str, cappa.Arg(help="Guard in the entry's data centre.")]

    def __call__(self) -> int:
        """Start the drain and return the exit code."""
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


async def _current_revision(
    client: OperatorClient, record: FileRecord
) -> int | Failure:
    found = await client.get_record(record.kind, record.name)
    if isinstance(found, RecordView):
        return found.revision
    if found.reason == 'no_record':
        return 0
    return found


def _written_text(record: FileRecord, outcome: RecordWritten) -> str:
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
