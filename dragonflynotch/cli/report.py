"""The report command: burn rates of service-level objectives."""

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
    DEFAULT_OPERATORS_URL,
    OPERATORS_ENV_VAR,
    Output,
    open_operator_client,
)
from dragonflynotch.client.outcomes import Failure
from dragonflynotch.client.views import Snapshot
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.reports.burn import BurnReport, Objective, burn_report
from dragonflynotch.reports.picture import render_burn_chart
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
        'Samples the metrics of entries for --duration seconds, or reads '
        'recorded samples. An alert rule needs samples that cover its '
        'windows: collect them with --record in regular runs, then report '
        'with --samples.'
    ),
    epilog=(
        'Example: dragonflynotch report burn '
        '--entry http://127.0.0.1:8081 --duration 600 --picture burn.svg'
    ),
)
@dataclass
class BurnCommand:
    """Print the burn rates of the service-level objectives."""

    entry: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help=(
                'Address of an operator port; may be given repeatedly. '
                'Default: DRAGONFLYNOTCH_OPERATORS.'
            ),
        ),
    ] = field(default_factory=list)
    duration: Annotated[
        float, cappa.Arg(long=True, help='Sampling duration, in seconds.')
    ] = 60
    interval: Annotated[
        float, cappa.Arg(long=True, help='Sampling interval, in seconds.')
    ] = 5
    samples: Annotated[
        Path | None,
        cappa.Arg(long=True, help='Read recorded samples instead of entries.'),
    ] = None
    objectives: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help='Record file. Default: the records of the first entry.',
        ),
    ] = None
    record: Annotated[
        Path | None,
        cappa.Arg(long=True, help='Append the samples to this file.'),
    ] = None
    picture: Annotated[
        Path | None,
        cappa.Arg(long=True, help='Write a chart (SVG) to this file.'),
    ] = None
    output: Output = 'text'

    @property
    def _entry_urls(self) -> list[str]:
        variable = os.environ.get(OPERATORS_ENV_VAR, DEFAULT_OPERATORS_URL)
        return self.entry or [variable]

    def __call__(self) -> int:
        """Print the report and return the exit code."""
        try:
            return asyncio.run(self._run())
        except InvalidInputError as error:
            return report_error(error)

    async def _run(self) -> ExitCode:
        self._check_times()
        objectives = await self._read_objectives()
        if not isinstance(objectives, tuple):
            return report_failure(objectives)
        samples = await self._collect_samples()
        if not isinstance(samples, tuple):
            return report_failure(samples)
        if self.record is not None:
            _write_file(self.record, encode_samples(samples), 'ab')
        end = max((sample.at for sample in samples), default=datetime.now(UTC))
        reports = tuple(
            burn_report(each, counter_samples(samples, each), end)
            for each in objectives
        )
        if self.picture is not None:
            _write_file(self.picture, render_burn_chart(reports).encode(), 'wb')
        print_result(
            self.output, _json_content(reports), _report_table(reports)
        )
        return ExitCode.done

    def _check_times(self) -> None:
        if self.interval <= 0 or self.duration < 0:
            raise InvalidInputError(
                '--interval and --duration',
                (self.interval, self.duration),
                'an interval above 0 and a duration of at least 0',
            )

    async def _read_objectives(self) -> tuple[Objective, ...] | Failure:
        if self.objectives is not None:
            return read_objectives(self.objectives)
        async with open_operator_client(
            self._entry_urls[0], _TIMEOUT_S
        ) as client:
            found = await client.list_records()
        if not isinstance(found, Snapshot):
            return found
        return objectives_of(record.document for record in found.records)

    async def _collect_samples(self) -> tuple[RequestSample, ...] | Failure:
        if self.samples is not None:
            content = _read_file(self.samples)
            return decode_samples(content, str(self.samples))
        samples: list[RequestSample] = []
        loop = asyncio.get_running_loop()
        end = loop.time() + self.duration
        while True:
            for url in self._entry_urls:
                text = await self._read_metrics(url)
                if not isinstance(text, str):
                    return text
                samples.extend(parse_metrics(text, datetime.now(UTC)))
            if loop.time() + self.interval > end:
                return tuple(samples)
            await asyncio.sleep(self.interval)

    async def _read_metrics(self, url: str) -> str | Failure:
        async with open_operator_client(url, _TIMEOUT_S) as client:
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


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error


def _write_file(path: Path, content: bytes, mode: Literal['ab', 'wb']) -> None:
    try:
        with path.open(mode) as file:
            file.write(content)
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a writable file'
        ) from error


def _json_content(reports: tuple[BurnReport, ...]) -> list[dict[str, Any]]:
    return [
        {
            'workspace': report.objective.workspace,
            'request_class': report.objective.request_class,
            'target': report.objective.target,
            'latency_ms': _to_milliseconds(report.objective.latency),
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


def _report_table(reports: tuple[BurnReport, ...]) -> str:
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


def _to_milliseconds(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)
