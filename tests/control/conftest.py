"""Fixtures of the control tests: a manual clock and a store on it."""

import pytest

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.testing.row_store import MemoryRowStore


@pytest.fixture
def clock():
    return ManualSteadyClock(1_000_000)


@pytest.fixture
def store(clock):
    return MemoryRowStore(clock)
