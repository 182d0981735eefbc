"""Reports that are too long for a row of the store."""

from dragonflynotch.control.report_size import fit_report
from dragonflynotch.workflows.records import (
    EndKind,
    Report,
    RunEnd,
    RunningTask,
    encode_row,
)

MAX_BYTES = 65_536


def report(runs, ends=0, built_ms=0):
    return Report(
        'm1',
        'planner',
        is_ready=True,
        is_live=True,
        authority_end_ms=10**12,
        token=3,
        running=[
            RunningTask(f'0123456789abcdef.0.0.{number}', 1, 'c' * 16, 50)
            for number in range(runs)
        ],
        ended=[
            RunEnd(
                number, f'0123456789abcdef.0.1.{number}', 1, EndKind.done, ''
            )
            for number in range(ends)
        ],
        built_ms=built_ms,
    )


def test_report_that_fits_is_complete():
    """A guard must not leave out what the scheduler needs."""
    full = report(500, 100)
    assert fit_report(full, MAX_BYTES) is full


def test_report_of_a_worker_with_many_runs_can_be_written():
    """A row that the store refuses costs a guard its authority and all runs."""
    fitting = fit_report(report(3000, 300), MAX_BYTES)
    assert MAX_BYTES - 200 < len(encode_row(fitting)) <= MAX_BYTES
    # Ends come first, since their tasks wait for being recorded.
    assert len(fitting.ended) == 300
    assert fitting.is_live


def test_each_run_is_reported_at_some_time():
    """A run that no report lists counts as one that did not start."""
    seen = set()
    for round_number in range(20):
        fitting = fit_report(
            report(3000, built_ms=round_number * 700), MAX_BYTES
        )
        seen.update(running.task for running in fitting.running)
    assert len(seen) == 3000


def test_ends_are_reported_in_order_until_they_are_recorded():
    """An end that is left out must not be lost."""
    fitting = fit_report(report(0, 3000), MAX_BYTES)
    numbers = [end.number for end in fitting.ended]
    assert numbers == list(range(len(numbers)))
    assert len(numbers) > 1000
