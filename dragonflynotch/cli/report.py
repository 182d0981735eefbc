"""The report command: service-level burn."""

import asyncio
import os
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa

from dragonflynotch.cli.console import (
    format_table,
    print_result,
    report_error,
    report_failure,
)
from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.cli.objectives import objectives_of, read_objectives
from dragonflynotch.cli.options import (
    DEFAULT_OPERATORS,
    OPERATORS_VARIABLE,
    Output,
    open_operator,
)
from dragonflynotch.client.outcomes import Failure
from dragonflynotch.client.views import Snapshot
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.reports.burn import BurnReport, Objective, burn_report
from dragonflynotch.reports.picture import draw_burn
from dragonflynotch.reports.samples import (
    RequestSample,
    counter_samples,
    decode_samples,
    encode_samples,
    parse_metrics,
)

__all__ = ('BurnCommand', 'ReportCommand')

_TIMEOUT_S = 10


@cappa.command(
    name='burn',
    help='Print the burn rates of the service-level objectives.',
    description=(
        'Samples the metrics of entries for a time, or reads recorded '
        'samples. Alerts need samples that cover their windows: record with '
        '--record in regular runs and report with --samples.'
    ),
    epilog=(
        'Example: dragonflynotch report burn '
        '--entry http://127.0.0.1:8081 --duration 600 --picture burn.svg'
    ),
)
@dataclass
class BurnCommand:
    """Print burn rates."""

    entry: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help=(
                'Operator port; may be given repeatedly. Else '
                'DRAGONFLYNOTCH_OPERATORS.'
            ),
        ),
    ] = field(default_factory=list)
    duration: Annotated[
        float, cappa.Arg(long=True, help='Time to sample, in seconds.')
    ] = 60
    interval: Annotated[
        float, cappa.Arg(long=True, help='Time between samples, in seconds.')
    ] = 5
    samples: Annotated[
        Path | None,
        cappa.Arg(long=True, help='Read recorded samples instead of entries.'),
    ] = None
    objectives: Annotated[
        Path | None,
        cappa.Arg(
            long=True, help='Record file; else the records of the first entry.'
        ),
    ] = None
    record: Annotated[
        Path | None, cappa.Arg(long=True, help='Append the samples to a file.')
    ] = None
    picture: Annotated[
        Path | None, cappa.Arg(long=True, help='Write a picture (SVG).')
    ] = None
    output: Output = 'text'

    @property
    def _entries(self) -> list[str]:
        variable = os.environ.get(OPERATORS_VARIABLE, DEFAULT_OPERATORS)
        return self.entry or [variable]

    def __call__(self) -> int:
        """Print the report and return the exit code."""
        try:
            return asyncio.run(self._report())
        except InvalidInputError as error:
            return report_error(error)

    async def _report(self) -> ExitCode:
        self._check()
        objectives = await self._read_objectives()
        if not isinstance(objectives, tuple):
            return report_failure(objectives)
        samples = await self._collect()
        if not isinstance(samples, tuple):
            return report_failure(samples)
        if self.record is not None:
            _write(self.record, encode_samples(samples), 'ab')
        end = max((sample.at for sample in samples), default=datetime.now(UTC))
        reports = tuple(
            burn_report(each, counter_samples(samples, each), end)
            for each in objectives
        )
        if self.picture is not None:
            _write(self.picture, draw_burn(reports).encode(), 'wb')
        print_result(self.output, _content(reports), _text(reports))
        return ExitCode.done

    def _check(self) -> None:
        if self.interval <= 0 or self.duration < 0:
            raise InvalidInputError(
                '--interval and --duration',
                (self.interval, self.duration),
                'positive numbers',
            )

    async def _read_objectives(self) -> tuple[Objective, ...] | Failure:
        if self.objectives is not None:
            return read_objectives(self.objectives)
        async with open_operator(self._entries[0], _TIMEOUT_S) as client:
            found = await client.list_records()
        if not isinstance(found, Snapshot):
            return found
        return objectives_of(record.document for record in found.records)

    async def _collect(self) -> tuple[RequestSample, ...] | Failure:
        if self.samples is not None:
            content = _read(self.samples)
            return decode_samples(content, str(self.samples))
        samples: list[RequestSample] = []
        loop = asyncio.get_running_loop()
        end = loop.time() + self.duration
        while True:
            for url in self._entries:
                text = await self._read_metrics(url)
                if not isinstance(text, str):
                    return text
                samples.extend(parse_metrics(text, datetime.now(UTC)))
            if loop.time() + self.interval > end:
                return tuple(samples)
            await asyncio.sleep(self.interval)

    async def _read_metrics(self, url: str) -> str | Failure:
        async with open_operator(url, _TIMEOUT_S) as client:
            return await client.metrics()


@cappa.command(
    name='report',
    help='Reports about the service.',
    epilog='Example: dragonflynotch report burn --samples samples.jsonl',
)
@dataclass
class ReportCommand:
    """Reports about the service."""

    command: cappa.Subcommands[BurnCommand]


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error


def _write(path: Path, content: bytes, mode: Literal['ab', 'wb']) -> None:
    try:
        with path.open(mode) as file:
            file.write(content)
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a writable file'
        ) from error


def _content(reports: tuple[BurnReport, ...]) -> list[dict[str, Any]]:
    return [
        {
            'workspace': report.objective.workspace,
            'request_class': report.objective.request_class,
            'target': report.objective.target,
            'latency_ms': _milliseconds(report.objective.latency),
            'at': report.at,
            'rules': [
                {
                    'severity': result.rule.severity,
                    'threshold': round(result.threshold, 4),
                    'state': result.state.value,
                    'windows': [
                        {
                            'window_s': burn.window.total_seconds(),
                            'covered_s': burn.covered.total_seconds(),
                            'rate': round(burn.rate, 4),
                            'bad': burn.bad,
                            'total': burn.total,
                        }
                        for burn in (result.short, result.long)
                    ],
                }
                for result in report.results
            ],
        }
        for report in reports
    ]


def _text(reports: tuple[BurnReport, ...]) -> str:
    rows = [
        (
            report.objective.workspace,
            report.objective.request_class,
            f'{result.short.window} and {result.long.window}',
            f'{result.short.rate:.2f}',
            f'{result.long.rate:.2f}',
            f'{result.threshold:.2f}',
            f'{result.long.bad:g} of {result.long.total:g}',
            result.rule.severity,
            result.state.value,
        )
        for report in reports
        for result in report.results
    ]
    return format_table(
        (
            'WORKSPACE',
            'CLASS',
            'WINDOWS',
            'SHORT',
            'LONG',
            'THRESHOLD',
            'BAD',
            'SEVERITY',
            'STATE',
        ),
        rows,
    )


def _milliseconds(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)
