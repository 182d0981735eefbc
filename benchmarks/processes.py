"""Memory and processor time of processes, and a least-squares line."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

__all__ = ('Line', 'Memory', 'fit_line', 'read_cpu_s', 'read_memory')

_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True)
class Memory:
    """Memory of a process.

    Parameters
    ----------
    resident_kb : int
        Resident set.
    private_kb : int
        Part of it that is not shared with other processes.
    """

    resident_kb: int
    private_kb: int


@dataclass(frozen=True)
class Line:
    """A fitted line.

    Parameters
    ----------
    intercept, slope : float
        Coefficients.
    worst_residual : float
        Largest distance of a point from the line.
    """

    intercept: float
    slope: float
    worst_residual: float

    def value_at(self, abscissa: float) -> float:
        """Return the ordinate at an abscissa."""
        return self.intercept + self.slope * abscissa


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
    """Return the processor time of a process in seconds."""
    stat = Path(f'/proc/{process_id}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def fit_line(abscissas: Sequence[float], ordinates: Sequence[float]) -> Line:
    """Return the least-squares line through points.

    Parameters
    ----------
    abscissas, ordinates : sequence of float
        Coordinates, at least two different abscissas.
    """
    count = len(abscissas)
    mean_x = sum(abscissas) / count
    mean_y = sum(ordinates) / count
    spread = sum((each - mean_x) ** 2 for each in abscissas)
    joint = sum(
        (one - mean_x) * (other - mean_y)
        for one, other in zip(abscissas, ordinates, strict=True)
    )
    slope = joint / spread
    intercept = mean_y - slope * mean_x
    residuals = [
        abs(other - intercept - slope * one)
        for one, other in zip(abscissas, ordinates, strict=True)
    ]
    return Line(intercept, slope, max(residuals))
