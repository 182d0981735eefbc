"""The decision log limits its output and never blocks."""

import json
import os

import pytest

from dragonflynotch.observability.decisions import DecisionLog


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_line_names_node_and_event(pipe):
    """Guards against lines without the node or the event."""
    log = DecisionLog(pipe[1])
    log.start('node')
    log.record('job_accepted', job='a')
    [line] = read_lines(pipe[0])
    assert (line['node'], line['event'], line['job']) == (
        'node',
        'job_accepted',
        'a',
    )


def test_slow_reader_does_not_block(pipe):
    """Guards against a process that blocks because nobody reads its log."""
    log = DecisionLog(pipe[1])
    log.start('node')
    for number in range(2000):
        log.record(f'event{number}', text='x' * 1000)
    # The pipe may fill up in the middle of the last line.
    *complete_lines, _ = os.read(pipe[0], 1 << 20).splitlines()
    assert all(json.loads(line)['node'] == 'node' for line in complete_lines)
    assert complete_lines


def test_repeated_event_is_rate_limited(pipe):
    """Guards against a frequent event that fills the disk of the reader."""
    log = DecisionLog(pipe[1])
    log.start('node')
    for _ in range(1000):
        log.record('storm')
    # The limit applies to each second, and the loop may span two.
    assert len(read_lines(pipe[0])) <= 400
