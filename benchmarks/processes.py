"""Memory and CPU time of processes, and a least-squares line."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

__all__ = ('Line', 'Memory', 'fit_line', 'read_cpu_s', 'read_memory')

# Fields of /proc/PID/stat, counted after the command name.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True)
class Memory:
    """Memory of a process.

    Parameters
    ----------
    resident_kb : int
        Resident set size.
    private_kb : int
        Part of the resident set that is not shared with other processes.
    """

    resident_kb: int
    private_kb: int


@dataclass(frozen=True)
class Line:
    """A fitted straight line.

    Parameters
    ----------
    intercept, slope : float
        Coefficients.
    worst_residual : float
        Largest vertical distance of a point from the line.
    """

    intercept: float
    slope: float
    worst_residual: float

    def value_at(self, x_value: float) -> float:
        """Return the y value at an x value."""
        return self.intercept + self.slope * x_value


def read_memory(process_id: int | None = None) -> Memory:
    """Return the memory of a process, by default of this one."""
    name = 'self' if process_id is None else str(process_id)
    sizes_kb: dict[str, int] = {}
    for line in Path(f'/proc/{name}/smaps_rollup').read_text().splitlines()[1:]:
        label, size = line.split(':')
        sizes_kb[label] = int(size.split()[0])
    return Memory(
        resident_kb=sizes_kb['Rss'],
        private_kb=sizes_kb['Private_Clean'] + sizes_kb['Private_Dirty'],
    )


def read_cpu_s(process_id: int) -> float:
    """Return the CPU time of a process in seconds."""
    stat = Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def fit_line(x_values: Sequence[float], y_values: Sequence[float]) -> Line:
    """Return the least-squares line through points.

    Parameters
    ----------
    x_values, y_values : sequence of float
        Coordinates of the points, with at least two different x values.
    """
    count = len(x_values)
    mean_x = sum(x_values) / count
    mean_y = sum(y_values) / count
    sum_of_squares = sum((x_value - mean_x) ** 2 for x_value in x_values)
    sum_of_products = sum(
        (x_value - mean_x) * (y_value - mean_y)
        for x_value, y_value in zip(x_values, y_values, strict=True)
    )
    slope = sum_of_products / sum_of_squares
    intercept = mean_y - slope * mean_x
    residuals = [
        abs(y_value - intercept - slope * x_value)
        for x_value, y_value in zip(x_values, y_values, strict=True)
    ]
    return Line(intercept, slope, max(residuals))
