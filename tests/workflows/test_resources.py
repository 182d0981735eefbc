"""Arithmetic of resources."""

import pytest

from dragonflynotch.workflows.resources import Resources


@pytest.mark.parametrize(
    'free',
    [
        Resources(-1000, 8000, 4),
        Resources(8000, -1000, 4),
        Resources(8000, 8000, -1),
        Resources(8000, 8000, 4),
    ],
)
@pytest.mark.parametrize(
    'needs',
    [Resources(0, 1000, 1), Resources(1000, 0, 1), Resources(1000, 1000, 0)],
)
def test_nothing_is_counted_where_nothing_fits(free, needs):
    """Guards against reservations and gangs where the guard starts no run."""
    assert (free.fit_count(needs) > 0) == free.covers(needs)
