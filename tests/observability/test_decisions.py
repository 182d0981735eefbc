"""Logs are bounded and never block."""

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


def lines_of(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_line_names_node_and_event(pipe):
    """A reader must find where and what was decided."""
    log = DecisionLog(pipe[1])
    log.start('node')
    log.record('job_accepted', job='a')
    [line] = lines_of(pipe[0])
    assert (line['node'], line['event'], line['job']) == (
        'node',
        'job_accepted',
        'a',
    )


def test_slow_reader_does_not_block(pipe):
    """A process must go on while nobody reads its log."""
    log = DecisionLog(pipe[1])
    log.start('node')
    for number in range(2000):
        log.record(f'event{number}', text='x' * 1000)
    # The last line may be cut where the pipe was full; the rest follows.
    *whole, _ = os.read(pipe[0], 1 << 20).splitlines()
    assert all(json.loads(line)['node'] == 'node' for line in whole)
    assert whole


def test_repeated_event_is_bounded(pipe):
    """A storm of one event must not fill the disk of its reader."""
    log = DecisionLog(pipe[1])
    log.start('node')
    for _ in range(1000):
        log.record('storm')
    # The limit is per second, and the loop may cross one boundary.
    assert len(lines_of(pipe[0])) <= 400
